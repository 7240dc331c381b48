//! Connections to servers, with one pool per server.

use {
    crate::{
        exchange::{ExchangeTarget, OutgoingRequest},
        shared::Shared,
        Adapter,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    link::{CheckedOutConnection, CheckoutDecision, Pool, PoolConfig},
    record::ServerAddr,
    replica::{ReplicaKey, SendRefusal},
    socket2::{SockRef, TcpKeepalive},
    std::{
        collections::HashMap,
        io,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        select,
        sync::Notify,
        task::spawn_local,
        time::{sleep_until, timeout},
    },
};

/// Time without use after which a connection is closed if the server has not
/// stated its own idle timeout. Common servers close after 5 s.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of a server's stated idle timeout during which a connection is
/// reused. The remainder covers the network latency.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Maximum time for opening a connection. Covers a round trip to the other side
/// of the world, but not the retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that sent data may remain unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the read buffer of a connection, in bytes. A server's head is no larger, so
/// that heads without end hold bounded memory on all connections together.
const READ_BUFFER_BYTES: usize = 32 * 1_024;
/// Interval of TCP keepalive probes, which detect idle connections whose peer is gone.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// The sending half of an HTTP/1.1 connection to a server.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// Why no connection could be acquired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AcquireError {
    /// The server did not accept a connection.
    Unreachable,
    /// The server's machine did not respond in time.
    NoResponse,
    /// All connections that this host may hold are in use, or the server is at its
    /// limit, is cold or wants no calls now.
    Busy,
    /// The server leaves, or its zone or region must not be used.
    Leaving,
}

impl From<SendRefusal> for AcquireError {
    fn from(refusal: SendRefusal) -> Self {
        match refusal {
            SendRefusal::Unknown => Self::Unreachable,
            SendRefusal::Quiet | SendRefusal::Cold => Self::Busy,
            SendRefusal::Leaving | SendRefusal::Evacuated | SendRefusal::OutsideRegions => {
                Self::Leaving
            }
        }
    }
}

struct ServerPool {
    pool: Pool<Connection>,
    connection_returned: Rc<Notify>,
}

/// The connection pools of all servers.
#[derive(Default)]
pub(crate) struct Connections(HashMap<ReplicaKey, ServerPool>);

impl Connections {
    fn pool(&mut self, key: ReplicaKey, share: u32) -> &mut ServerPool {
        let entry = self.0.entry(key).or_insert_with(|| ServerPool {
            pool: Pool::new(PoolConfig {
                max_connections: share,
                min_idle: 0,
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
            }),
            connection_returned: Rc::default(),
        });
        entry.pool.set_max_connections(share);
        entry
    }

    /// Removes the pool of a server. Connections in use are closed when their calls end.
    pub(crate) fn remove_pool(&mut self, key: ReplicaKey) {
        self.0.remove(&key);
    }

    /// Returns a connection to its pool after its reply has been read in full.
    pub(crate) fn release(&mut self, key: ReplicaKey, connection: Connection, now: Instant) {
        if let Some(server) = self.0.get_mut(&key) {
            drop(server.pool.check_in(connection, now));
            server.connection_returned.notify_one();
        }
    }

    /// Removes a connection that was in use or being opened from the count.
    pub(crate) fn on_closed(&mut self, key: ReplicaKey) {
        if let Some(server) = self.0.get_mut(&key) {
            server.pool.on_closed();
            server.connection_returned.notify_one();
        }
    }

    /// Marks connections that received no data since `sent_at` as possibly dead.
    pub(crate) fn mark_suspect(&mut self, key: ReplicaKey, sent_at: Instant) {
        if let Some(server) = self.0.get_mut(&key) {
            server.pool.suspect_silent_since(sent_at);
        }
    }

    /// Drops idle connections that a server has closed, and returns whether there were any.
    pub(crate) fn drop_closed(&mut self, key: ReplicaKey) -> bool {
        let server = self.0.get_mut(&key);
        server.is_some_and(|server| !server.pool.take_idle_if(Connection::is_closed).is_empty())
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&mut self, key: ReplicaKey) {
        if let Some(server) = self.0.get_mut(&key) {
            drop(server.pool.take_idle_if(|_| true));
        }
    }

    /// Sets the time for which a server keeps an idle connection open.
    pub(crate) fn on_idle_timeout(&mut self, key: ReplicaKey, idle_timeout: Duration) {
        if let Some(server) = self.0.get_mut(&key) {
            server
                .pool
                .set_idle_timeout(idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION));
        }
    }

    /// Closes connections that have exceeded their idle timeout.
    pub(crate) fn close_expired(&mut self, now: Instant) {
        for server in self.0.values_mut() {
            drop(server.pool.take_expired(now));
        }
    }

    /// Returns the number of open connections, including those being opened.
    pub(crate) fn connection_count(&self) -> u32 {
        self.0.values().map(|server| server.pool.held()).sum()
    }
}

/// Acquires a connection to a server. Waits until the request's deadline if all connections that
/// this host may hold are in use, as long as the server may be called.
pub(crate) async fn acquire<A: Adapter>(
    shared: &Shared<A>,
    target: ExchangeTarget,
    outgoing: &OutgoingRequest,
) -> Result<CheckedOutConnection<Connection>, AcquireError> {
    let ExchangeTarget {
        key,
        max_connections,
        ..
    } = target;
    let deadline = outgoing.deadline;
    let addr = shared.servers.borrow().entry(key).map(|entry| entry.addr);
    let addr = addr.ok_or(AcquireError::Unreachable)?;
    loop {
        let now = Instant::now();
        let mut cold_until = None;
        let callable_until = {
            let servers = shared.servers.borrow();
            let call = target.pending_call(outgoing);
            let checked = servers.check_send(call, now);
            let cold_wait = servers.cold_wait(call, now);
            match (checked, cold_wait) {
                (Err(SendRefusal::Cold), Some(wait)) if now + wait < deadline => {
                    cold_until = Some(now + wait);
                }
                (checked, _) => checked.map_err(|refusal| shared.refused(refusal))?,
            }
            servers.callable_until(key)
        };
        if let Some(until) = cold_until {
            select! {
                () = shared.servers_changed.notified() => {}
                () = sleep_until(until.into()) => {}
            }
            continue;
        }
        let wait_until = callable_until.map_or(deadline, |until| until.min(deadline));
        if now >= deadline {
            return Err(AcquireError::Busy);
        }
        let (checkout, connection_returned) = {
            let mut connections = shared.connections.borrow_mut();
            let server = connections.pool(key, max_connections);
            drop(server.pool.take_expired(now));
            (
                server.pool.checkout(now),
                Rc::clone(&server.connection_returned),
            )
        };
        match checkout {
            CheckoutDecision::Reuse(lease) if lease.connection.is_closed() => {
                shared.connections.borrow_mut().on_closed(key);
                shared.left_calls.borrow_mut().on_connection_closed(key);
            }
            CheckoutDecision::Reuse(lease) => return Ok(lease),
            CheckoutDecision::Open(_) => return open(shared, key, addr, deadline).await,
            CheckoutDecision::Wait => {
                select! {
                    () = connection_returned.notified() => {}
                    () = shared.servers_changed.notified() => {}
                    () = sleep_until(wait_until.into()) => {}
                }
            }
            CheckoutDecision::BackOff(until) if until >= deadline => {
                return Err(AcquireError::Busy)
            }
            CheckoutDecision::BackOff(until) => {
                select! {
                    () = shared.servers_changed.notified() => {}
                    () = sleep_until(until.min(wait_until).into()) => {}
                }
            }
        }
    }
}

/// Opens an idle connection to a server in the place of one that was closed with its call,
/// unless the host may hold no more or the server's address refuses it. It serves the next
/// call, and its end shows at once that the server was lost.
pub(crate) async fn replace<A: Adapter>(
    shared: &Shared<A>,
    key: ReplicaKey,
    max_connections: u32,
) -> Result<(), AcquireError> {
    let addr = shared.servers.borrow().entry(key).map(|entry| entry.addr);
    let addr = addr.ok_or(AcquireError::Unreachable)?;
    let now = Instant::now();
    let checkout = {
        let mut connections = shared.connections.borrow_mut();
        connections.pool(key, max_connections).pool.checkout(now)
    };
    match checkout {
        CheckoutDecision::Open(_) => {}
        CheckoutDecision::Reuse(lease) => {
            let mut connections = shared.connections.borrow_mut();
            connections.release(key, lease.connection, now);
            return Ok(());
        }
        CheckoutDecision::Wait | CheckoutDecision::BackOff(_) => return Ok(()),
    }
    let opened = open(shared, key, addr, now + CONNECT_TIMEOUT).await?;
    let mut connections = shared.connections.borrow_mut();
    connections.release(key, opened.connection, Instant::now());
    Ok(())
}

async fn open<A: Adapter>(
    shared: &Shared<A>,
    key: ReplicaKey,
    addr: ServerAddr,
    deadline: Instant,
) -> Result<CheckedOutConnection<Connection>, AcquireError> {
    // Counts the connection as closed if this future is dropped while it is being opened.
    let mut opening = OpeningConnection {
        shared,
        key,
        is_established: false,
    };
    let started_at = Instant::now();
    let time_left = deadline.saturating_duration_since(started_at);
    let opened = timeout(time_left.min(CONNECT_TIMEOUT), connect(addr)).await;
    let now = Instant::now();
    match opened {
        Ok(Ok(connection)) => {
            opening.is_established = true;
            shared
                .servers
                .borrow_mut()
                .on_connected(key, now - started_at);
            let mut connections = shared.connections.borrow_mut();
            let server = connections.0.get_mut(&key);
            let server = server.ok_or(AcquireError::Unreachable)?;
            Ok(server.pool.on_opened(connection, now))
        }
        Ok(Err(error)) => {
            log::debug!(target: "upstream", "Failed to connect to {addr}: {error}.");
            Err(AcquireError::Unreachable)
        }
        Err(_) => {
            log::debug!(target: "upstream", "Connecting to {addr} timed out.");
            Err(if time_left < CONNECT_TIMEOUT {
                AcquireError::Unreachable
            } else {
                AcquireError::NoResponse
            })
        }
    }
}

struct OpeningConnection<'a, A: Adapter> {
    shared: &'a Shared<A>,
    key: ReplicaKey,
    is_established: bool,
}

impl<A: Adapter> Drop for OpeningConnection<'_, A> {
    fn drop(&mut self) {
        if !self.is_established {
            self.shared.connections.borrow_mut().on_closed(self.key);
        }
    }
}

async fn connect(addr: ServerAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    enable_dead_peer_detection(&stream)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "upstream", "Connection to {addr} failed: {error}.");
        }
    });
    Ok(sender)
}

/// Enables keepalive probes and a timeout for unacknowledged data, so that a
/// connection whose peer disappeared without closing it is closed.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
