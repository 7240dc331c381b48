//! Connections to servers, in a pool each.

use {
    crate::{shared::Shared, Adapter},
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    link::{Checkout, Lease, Pool, PoolConfig},
    record::ServerAddr,
    replica::ReplicaKey,
    socket2::{SockRef, TcpKeepalive},
    std::{
        collections::HashMap,
        io,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        sync::Notify,
        task::spawn_local,
        time::{sleep_until, timeout, timeout_at},
    },
};

/// Time without use after which a connection is closed, until the server
/// states its own. Common servers close after 5 s.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of a server's stated time for which a connection is used again; the
/// rest covers the way there.
const IDLE_SHARE: f64 = 0.7;
/// Longest time for opening a connection: a round trip to the other end of
/// the world and a lost packet's worth of waiting less than its resend.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which unacknowledged bytes end a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between probes of an idle connection, so that a silent one ends.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// One connection.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// Why there is no connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoConnection {
    /// The server did not take one.
    Unreachable,
    /// All of this host's share is in use, or the server has no room for more.
    Busy,
}

struct ServerPool {
    pool: Pool<Connection>,
    returned: Rc<Notify>,
}

/// Pools of all servers.
#[derive(Default)]
pub(crate) struct Connections(HashMap<ReplicaKey, ServerPool>);

impl Connections {
    fn pool(&mut self, key: ReplicaKey, share: u32) -> &mut ServerPool {
        let entry = self.0.entry(key).or_insert_with(|| ServerPool {
            pool: Pool::new(PoolConfig {
                share,
                warm: 0,
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
            }),
            returned: Rc::default(),
        });
        entry.pool.set_share(share);
        entry
    }

    /// Forgets the pool of a server; connections on loan end by themselves.
    pub(crate) fn forget(&mut self, key: ReplicaKey) {
        self.0.remove(&key);
    }

    /// Takes back a connection whose answer has been read whole.
    pub(crate) fn give_back(&mut self, key: ReplicaKey, connection: Connection, now: Instant) {
        if let Some(server) = self.0.get_mut(&key) {
            drop(server.pool.give_back(connection, now));
            server.returned.notify_one();
        }
    }

    /// Takes the end of a connection on loan.
    pub(crate) fn on_closed(&mut self, key: ReplicaKey) {
        if let Some(server) = self.0.get_mut(&key) {
            server.pool.on_closed();
            server.returned.notify_one();
        }
    }

    /// Takes the suspicion that connections without a byte since `sent_at` are silent.
    pub(crate) fn on_silence(&mut self, key: ReplicaKey, sent_at: Instant) {
        if let Some(server) = self.0.get_mut(&key) {
            server.pool.on_suspicion(sent_at);
        }
    }

    /// Takes the time for which a server keeps an idle connection.
    pub(crate) fn on_idle_timeout(&mut self, key: ReplicaKey, stated: Duration) {
        if let Some(server) = self.0.get_mut(&key) {
            server.pool.set_idle_timeout(stated.mul_f64(IDLE_SHARE));
        }
    }

    /// Closes connections that were not used for long.
    pub(crate) fn close_expired(&mut self, now: Instant) {
        for server in self.0.values_mut() {
            drop(server.pool.take_expired(now));
        }
    }

    /// Returns the number of connections held.
    pub(crate) fn held(&self) -> u32 {
        self.0.values().map(|server| server.pool.held()).sum()
    }
}

/// Gets one of at most `share` connections to a server until `deadline`.
pub(crate) async fn acquire<A: Adapter>(
    shared: &Shared<A>,
    key: ReplicaKey,
    share: u32,
    deadline: Instant,
) -> Result<Lease<Connection>, NoConnection> {
    let addr = shared.replicas.borrow().entry(key).map(|entry| entry.addr);
    let addr = addr.ok_or(NoConnection::Unreachable)?;
    loop {
        let now = Instant::now();
        let (checkout, returned) = {
            let mut connections = shared.connections.borrow_mut();
            let server = connections.pool(key, share);
            drop(server.pool.take_expired(now));
            (server.pool.checkout(now), Rc::clone(&server.returned))
        };
        match checkout {
            Checkout::Reuse(lease) if lease.connection.is_closed() => {
                shared.connections.borrow_mut().on_closed(key);
            }
            Checkout::Reuse(lease) => return Ok(lease),
            Checkout::Open(_) => return open(shared, key, addr, deadline).await,
            Checkout::Wait => {
                let wait = timeout_at(deadline.into(), returned.notified());
                wait.await.map_err(|_| NoConnection::Busy)?;
            }
            Checkout::BackOff(until) if until >= deadline => return Err(NoConnection::Busy),
            Checkout::BackOff(until) => sleep_until(until.into()).await,
        }
    }
}

async fn open<A: Adapter>(
    shared: &Shared<A>,
    key: ReplicaKey,
    addr: ServerAddr,
    deadline: Instant,
) -> Result<Lease<Connection>, NoConnection> {
    // Counted as closed if the call is dropped while the connection opens.
    let mut pending = Pending {
        shared,
        key,
        is_done: false,
    };
    let began = Instant::now();
    let left = deadline.saturating_duration_since(began);
    let opened = timeout(left.min(CONNECT_TIMEOUT), connect(addr)).await;
    let now = Instant::now();
    match opened {
        Ok(Ok(connection)) => {
            pending.is_done = true;
            shared.replicas.borrow_mut().on_opened(key, now - began);
            let mut connections = shared.connections.borrow_mut();
            let server = connections.0.get_mut(&key);
            let server = server.ok_or(NoConnection::Unreachable)?;
            Ok(server.pool.on_opened(connection, now))
        }
        Ok(Err(error)) => {
            log::debug!(target: "upstream", "No connection to {addr}: {error}.");
            Err(NoConnection::Unreachable)
        }
        Err(_) => {
            log::debug!(target: "upstream", "No connection to {addr} in time.");
            Err(NoConnection::Unreachable)
        }
    }
}

struct Pending<'a, A: Adapter> {
    shared: &'a Shared<A>,
    key: ReplicaKey,
    is_done: bool,
}

impl<A: Adapter> Drop for Pending<'_, A> {
    fn drop(&mut self) {
        if !self.is_done {
            self.shared.connections.borrow_mut().on_closed(self.key);
        }
    }
}

async fn connect(addr: ServerAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    watch_for_silence(&stream)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "upstream", "Connection to {addr} ended: {error}.");
        }
    });
    Ok(sender)
}

/// Lets a connection end whose other end is gone without a word.
pub(crate) fn watch_for_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE)
        .with_interval(KEEP_ALIVE);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
