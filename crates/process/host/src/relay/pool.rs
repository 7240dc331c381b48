//! Connection pools for upstream servers: opens and probes the connections that
//! `link::Pool` decides on.
//!
//! A new connection is used only after the server has sent a byte on it. A
//! server at its connection limit may accept a connection and close it at once.
//! Without the probe, this would look like a server crash with a call in flight.

use {
    bytes::Bytes,
    http::{header, HeaderValue, Request},
    http_body_util::{BodyExt, Full, Limited},
    hyper::client::conn::http1::{handshake, SendRequest},
    hyper_util::rt::TokioIo,
    link::{CheckedOutConnection, CheckoutDecision, PoolConfig, SilenceDetector, SuspicionAction},
    parking_lot::Mutex,
    record::ServerAddr,
    std::{
        collections::{HashMap, HashSet},
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        select, spawn,
        sync::Notify,
        time::{sleep_until, timeout},
    },
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the probe of a new or suspected connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after its last received byte for which a connection is used without a probe.
const TRUSTED_FOR: Duration = Duration::from_millis(500);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of connections kept open to each server in advance.
const WARM_CONNECTIONS: u32 = 2;

pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// The connection pools of all servers.
#[derive(Default)]
pub(crate) struct Pools {
    by_addr: Mutex<HashMap<ServerAddr, Arc<Pool>>>,
    counts: Arc<Counts>,
}

/// Event counts over all pools since they were last read and reset.
#[derive(Default)]
pub(crate) struct Counts {
    /// Calls that were repeated because their connection was suspected.
    pub(crate) repeated: AtomicU64,
    /// Connections refused by a server at its connection limit.
    pub(crate) refused: AtomicU64,
}

/// The connections to one server.
pub(crate) struct Pool {
    addr: ServerAddr,
    counts: Arc<Counts>,
    state: Mutex<State>,
    connection_freed: Notify,
}

struct State {
    pool: link::Pool<Sender>,
    silence: SilenceDetector,
}

/// A connection in use. It is closed when dropped.
pub(crate) struct Connection {
    pub(crate) is_reused: bool,
    last_byte: Instant,
    sender: Option<Sender>,
    pool: Arc<Pool>,
}

/// Why no connection was obtained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CheckoutError {
    /// The server cannot be reached.
    Unreachable,
    /// The server accepts no further connection.
    AtLimit,
}

/// Guard of a connection that is being opened.
///
/// When dropped, it tells the pool that the connection was not opened, unless
/// the outcome is known already.
struct OpeningGuard<'a>(Option<&'a Pool>);

impl Pools {
    /// Returns the pool of a server, limited to `share` connections.
    pub(crate) fn get(&self, addr: ServerAddr, share: u32) -> Arc<Pool> {
        let mut pools = self.by_addr.lock();
        let pool = pools
            .entry(addr)
            .or_insert_with(|| Arc::new(Pool::new(addr, share, Arc::clone(&self.counts))));
        pool.state.lock().pool.set_max_connections(share);
        Arc::clone(pool)
    }

    /// Returns the event counts; the caller resets them.
    pub(crate) fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Closes expired idle connections and opens warm ones.
    ///
    /// Pools of servers that are no longer `in_use` are dropped, which closes
    /// their idle connections. Calls in flight keep their connections.
    pub(crate) fn maintain(&self, in_use: &HashSet<ServerAddr>) {
        let mut pools = self.by_addr.lock();
        pools.retain(|addr, _| in_use.contains(addr));
        for pool in pools.values() {
            pool.maintain();
        }
    }
}

impl Pool {
    fn new(addr: ServerAddr, share: u32, counts: Arc<Counts>) -> Self {
        let config = PoolConfig {
            max_connections: share,
            min_idle: WARM_CONNECTIONS,
            idle_timeout: IDLE_TIMEOUT,
        };
        Self {
            addr,
            counts,
            state: Mutex::new(State {
                pool: link::Pool::new(config),
                silence: SilenceDetector::default(),
            }),
            connection_freed: Notify::new(),
        }
    }

    /// Returns the value of the `Host` header.
    pub(crate) fn host_header(&self) -> HeaderValue {
        HeaderValue::from_str(&self.addr.to_string())
            .unwrap_or_else(|_| HeaderValue::from_static("upstream"))
    }

    /// Returns a trusted idle connection, or opens a new one.
    pub(crate) async fn checkout(self: &Arc<Self>) -> Result<Connection, CheckoutError> {
        loop {
            let (decision, held) = {
                let pool = &mut self.state.lock().pool;
                (pool.checkout(Instant::now()), pool.held())
            };
            match decision {
                CheckoutDecision::Reuse(checked_out) if checked_out.connection.is_closed() => {
                    self.on_closed()
                }
                CheckoutDecision::Reuse(checked_out) => return Ok(self.to_connection(checked_out)),
                CheckoutDecision::Open(replaced) => {
                    drop(replaced);
                    return self.open().await;
                }
                CheckoutDecision::Wait => self.connection_freed.notified().await,
                CheckoutDecision::BackOff(_) if held == 0 => return Err(CheckoutError::AtLimit),
                CheckoutDecision::BackOff(until) => select! {
                    () = self.connection_freed.notified() => {}
                    () = sleep_until(until.into()) => {}
                },
            }
        }
    }

    /// Returns a connection that is known to work.
    ///
    /// A call that is not repeatable cannot be sent again, so its connection is
    /// probed first unless a byte was received on it within [`TRUSTED_FOR`].
    pub(crate) async fn checkout_verified(self: &Arc<Self>) -> Result<Connection, CheckoutError> {
        loop {
            let mut connection = self.checkout().await?;
            let age = Instant::now().saturating_duration_since(connection.last_byte);
            if !connection.is_reused || age < TRUSTED_FOR {
                return Ok(connection);
            }
            let probed_at = Instant::now();
            if connection.probe().await {
                return Ok(connection);
            }
            self.suspect_silent_since(probed_at);
        }
    }

    /// Returns the time after which a call on a reused connection is suspected.
    pub(crate) fn suspicion_time(&self, time_left: Duration) -> Duration {
        let state = self.state.lock();
        state
            .silence
            .suspicion_time(time_left, state.pool.checked_out())
    }

    /// Records the time to the first byte of a reply.
    pub(crate) fn on_first_byte(&self, time: Duration) {
        self.state.lock().silence.on_first_byte(time);
    }

    /// Returns whether the share allows another connection.
    pub(crate) fn has_capacity(&self) -> bool {
        self.state.lock().pool.has_capacity()
    }

    /// Decides how to proceed with a suspected call that was sent at `sent_at`.
    pub(crate) fn on_suspicion(&self, sent_at: Instant) -> SuspicionAction {
        let mut state = self.state.lock();
        state.silence.on_suspicion(sent_at, Instant::now())
    }

    /// Records the result of a test: whether the other connection was answered
    /// first, or `None` if the test was cancelled or proves nothing.
    pub(crate) fn on_test_end(&self, is_silence_confirmed: Option<bool>) {
        let mut state = self.state.lock();
        let jitter = rand::random();
        state
            .silence
            .on_test_end(is_silence_confirmed, jitter, Instant::now());
    }

    /// Counts a repeated call.
    pub(crate) fn count_repeat(&self) {
        self.counts.repeated.fetch_add(1, Ordering::Relaxed);
    }

    /// Suspends idle connections that have received no byte since `sent_at`.
    ///
    /// They are probed, and those that answer are returned to the pool.
    pub(crate) fn suspect_silent_since(self: &Arc<Self>, sent_at: Instant) {
        let suspected = {
            let pool = &mut self.state.lock().pool;
            pool.suspect_silent_since(sent_at);
            pool.take_suspected()
        };
        for checked_out in suspected {
            let mut connection = self.to_connection(checked_out);
            spawn(async move {
                if connection.probe().await {
                    connection.check_in();
                }
            });
        }
    }

    fn maintain(self: &Arc<Self>) {
        let (closed, needs_connection) = {
            let pool = &mut self.state.lock().pool;
            let mut closed = pool.take_idle_if(Sender::is_closed);
            closed.extend(pool.take_expired(Instant::now()));
            (closed, pool.reserve_warm_connection(Instant::now()))
        };
        drop(closed);
        if needs_connection {
            let pool = Arc::clone(self);
            spawn(async move {
                if let Ok(connection) = pool.open().await {
                    connection.check_in();
                }
            });
        }
    }

    fn to_connection(self: &Arc<Self>, checked_out: CheckedOutConnection<Sender>) -> Connection {
        Connection {
            is_reused: checked_out.is_reused,
            last_byte: checked_out.last_byte,
            sender: Some(checked_out.connection),
            pool: Arc::clone(self),
        }
    }

    fn on_closed(&self) {
        self.state.lock().pool.on_closed();
        self.connection_freed.notify_one();
    }

    /// Opens a connection that the pool already counts.
    async fn open(self: &Arc<Self>) -> Result<Connection, CheckoutError> {
        let mut guard = OpeningGuard(Some(self));
        let mut sender = timeout(CONNECT_TIMEOUT, self.connect())
            .await
            .ok()
            .flatten()
            .ok_or(CheckoutError::Unreachable)?;
        let is_accepted = probe(&mut sender, self.host_header()).await;
        guard.0 = None;
        let now = Instant::now();
        if !is_accepted {
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
            let pool = &mut self.state.lock().pool;
            pool.on_refused(rand::random(), now);
            return Err(CheckoutError::AtLimit);
        }
        let checked_out = self.state.lock().pool.on_opened(sender, now);
        Ok(self.to_connection(checked_out))
    }

    async fn connect(&self) -> Option<Sender> {
        let stream = TcpStream::connect(self.addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn(connection);
        Some(sender)
    }
}

/// Maximum size of the body of a reply to a health request, in bytes.
const MAX_PROBE_BYTES: usize = 64 * 1_024;

/// Sends a health request and returns whether a complete reply was received in time.
async fn probe(sender: &mut Sender, host: HeaderValue) -> bool {
    let built = Request::get("/healthz")
        .header(header::HOST, host)
        .body(Full::default());
    let Ok(request) = built else { return false };
    let exchange = async {
        let response = sender.send_request(request).await.ok()?;
        // Any status will do: the probe tests the connection, not the server's health.
        let body = Limited::new(response.into_body(), MAX_PROBE_BYTES);
        body.collect().await.ok()?;
        sender.ready().await.ok()
    };
    matches!(timeout(PROBE_TIMEOUT, exchange).await, Ok(Some(())))
}

impl Connection {
    /// Returns the HTTP sender of the connection.
    pub(crate) fn sender(&mut self) -> Option<&mut Sender> {
        self.sender.as_mut()
    }

    /// Returns the connection to its pool, after the reply has been read completely.
    pub(crate) fn check_in(mut self) {
        if let Some(sender) = self.sender.take() {
            let closed = self.pool.state.lock().pool.check_in(sender, Instant::now());
            drop(closed);
            self.pool.connection_freed.notify_one();
        }
    }

    async fn probe(&mut self) -> bool {
        let host = self.pool.host_header();
        match self.sender.as_mut() {
            Some(sender) => probe(sender, host).await,
            None => false,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.take().is_some() {
            self.pool.on_closed();
        }
    }
}

impl Drop for OpeningGuard<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.0 {
            pool.on_closed();
        }
    }
}
