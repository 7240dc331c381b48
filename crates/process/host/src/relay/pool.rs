//! Connections to upstream servers: the sockets behind the pool decisions.
//!
//! A fresh connection is used only after the server has sent a byte on it. A
//! server at its connection limit may accept and close at once, and only the
//! byte tells that apart from a server that dies with a call in flight.

use {
    bytes::Bytes,
    http::{header, HeaderValue, Request},
    http_body_util::{BodyExt, Full},
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

/// Time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the first byte on a fresh or suspected connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after its last byte for which a connection counts as working.
const PROVEN_FOR: Duration = Duration::from_millis(500);
/// Time without use after which a spare connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Connections kept open to each server ahead of need.
const WARM_CONNECTIONS: u32 = 2;

pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// Pools of all servers.
#[derive(Default)]
pub(crate) struct Pools {
    by_addr: Mutex<HashMap<ServerAddr, Arc<Pool>>>,
    counts: Arc<Counts>,
}

/// What has happened to the connections of all pools since the last look.
#[derive(Default)]
pub(crate) struct Counts {
    /// Calls sent again because their connection was suspected.
    pub(crate) repeated: AtomicU64,
    /// Connections refused at the limit of their server.
    pub(crate) refused: AtomicU64,
}

/// Connections to one server.
pub(crate) struct Pool {
    addr: ServerAddr,
    counts: Arc<Counts>,
    state: Mutex<State>,
    freed: Notify,
}

struct State {
    pool: link::Pool<Sender>,
    silence: SilenceDetector,
}

/// A connection in use, closed when dropped.
pub(crate) struct Connection {
    pub(crate) is_reused: bool,
    last_byte: Instant,
    sender: Option<Sender>,
    pool: Arc<Pool>,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CheckoutError {
    /// The server cannot be reached.
    Unreachable,
    /// The server accepts no further connection.
    AtLimit,
}

/// Counts a connection being opened, until it is open or has failed.
struct Opening<'a>(Option<&'a Pool>);

impl Pools {
    /// Returns the pool of a server, which may hold `share` connections.
    pub(crate) fn get(&self, addr: ServerAddr, share: u32) -> Arc<Pool> {
        let mut pools = self.by_addr.lock();
        let pool = pools
            .entry(addr)
            .or_insert_with(|| Arc::new(Pool::new(addr, share, Arc::clone(&self.counts))));
        pool.state.lock().pool.set_max_connections(share);
        Arc::clone(pool)
    }

    /// Returns what has happened since the last look.
    pub(crate) fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Closes what has been idle for long and opens what is wanted ahead of need.
    ///
    /// Pools of servers that are not `in_use` any more are dropped, which
    /// closes their idle connections; calls in flight keep theirs.
    pub(crate) fn upkeep(&self, in_use: &HashSet<ServerAddr>) {
        let mut pools = self.by_addr.lock();
        pools.retain(|addr, _| in_use.contains(addr));
        for pool in pools.values() {
            pool.upkeep();
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
            freed: Notify::new(),
        }
    }

    /// Returns the value of the host header.
    pub(crate) fn host_header(&self) -> HeaderValue {
        HeaderValue::from_str(&self.addr.to_string())
            .unwrap_or_else(|_| HeaderValue::from_static("upstream"))
    }

    /// Takes a trusted idle connection or opens one.
    pub(crate) async fn checkout(self: &Arc<Self>) -> Result<Connection, CheckoutError> {
        loop {
            let (decision, held) = {
                let pool = &mut self.state.lock().pool;
                (pool.checkout(Instant::now()), pool.held())
            };
            match decision {
                CheckoutDecision::Reuse(lease) if lease.connection.is_closed() => self.on_closed(),
                CheckoutDecision::Reuse(lease) => return Ok(self.lend(lease)),
                CheckoutDecision::Open(replaced) => {
                    drop(replaced);
                    return self.open().await;
                }
                CheckoutDecision::Wait => self.freed.notified().await,
                CheckoutDecision::BackOff(_) if held == 0 => return Err(CheckoutError::AtLimit),
                CheckoutDecision::BackOff(until) => select! {
                    () = self.freed.notified() => {}
                    () = sleep_until(until.into()) => {}
                },
            }
        }
    }

    /// Takes a connection that has just shown that it works.
    ///
    /// A call that may not be repeated gets no second chance, so its
    /// connection is probed first unless a byte came on it lately.
    pub(crate) async fn checkout_proven(self: &Arc<Self>) -> Result<Connection, CheckoutError> {
        loop {
            let mut connection = self.checkout().await?;
            let age = Instant::now().saturating_duration_since(connection.last_byte);
            if !connection.is_reused || age < PROVEN_FOR {
                return Ok(connection);
            }
            let asked_at = Instant::now();
            if connection.probe().await {
                return Ok(connection);
            }
            self.distrust(asked_at);
        }
    }

    /// Returns the time after which a call on a reused connection is suspected.
    pub(crate) fn suspicion_time(&self, time_left: Duration) -> Duration {
        let state = self.state.lock();
        state
            .silence
            .suspicion_time(time_left, state.pool.checked_out())
    }

    /// Takes the time to the first byte of a reply.
    pub(crate) fn on_first_byte(&self, time: Duration) {
        self.state.lock().silence.on_first_byte(time);
    }

    /// Returns whether a further connection fits the share.
    pub(crate) fn has_room(&self) -> bool {
        self.state.lock().pool.has_capacity()
    }

    /// Decides what a suspected call does that was sent at `sent_at`.
    pub(crate) fn on_suspicion(&self, sent_at: Instant) -> SuspicionAction {
        let mut state = self.state.lock();
        state.silence.on_suspicion(sent_at, Instant::now())
    }

    /// Takes the end of a test: whether the fresh connection was answered first.
    pub(crate) fn on_test_end(&self, is_proved: Option<bool>) {
        let mut state = self.state.lock();
        let jitter = rand::random();
        state.silence.on_test_end(is_proved, jitter, Instant::now());
    }

    /// Counts a call that is sent again.
    pub(crate) fn on_repeat(&self) {
        self.counts.repeated.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops handing out connections without a byte since `sent_at`.
    ///
    /// They are probed, and those that answer come back into use.
    pub(crate) fn distrust(self: &Arc<Self>, sent_at: Instant) {
        let suspected = {
            let pool = &mut self.state.lock().pool;
            pool.suspect_silent_since(sent_at);
            pool.take_suspected()
        };
        for lease in suspected {
            let mut connection = self.lend(lease);
            spawn(async move {
                if connection.probe().await {
                    connection.give_back();
                }
            });
        }
    }

    fn upkeep(self: &Arc<Self>) {
        let (closed, wants_warm) = {
            let pool = &mut self.state.lock().pool;
            let mut closed = pool.take_idle_if(Sender::is_closed);
            closed.extend(pool.take_expired(Instant::now()));
            (closed, pool.reserve_warm_connection(Instant::now()))
        };
        drop(closed);
        if wants_warm {
            let pool = Arc::clone(self);
            spawn(async move {
                if let Ok(connection) = pool.open().await {
                    connection.give_back();
                }
            });
        }
    }

    fn lend(self: &Arc<Self>, lease: CheckedOutConnection<Sender>) -> Connection {
        Connection {
            is_reused: lease.is_reused,
            last_byte: lease.last_byte,
            sender: Some(lease.connection),
            pool: Arc::clone(self),
        }
    }

    fn on_closed(&self) {
        self.state.lock().pool.on_closed();
        self.freed.notify_one();
    }

    /// Opens a connection that the pool counts already.
    async fn open(self: &Arc<Self>) -> Result<Connection, CheckoutError> {
        let mut opening = Opening(Some(self));
        let mut sender = timeout(CONNECT_TIMEOUT, self.connect())
            .await
            .ok()
            .flatten()
            .ok_or(CheckoutError::Unreachable)?;
        let is_accepted = probe(&mut sender, self.host_header()).await;
        opening.0 = None;
        let now = Instant::now();
        if !is_accepted {
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
            let pool = &mut self.state.lock().pool;
            pool.on_refused(rand::random(), now);
            return Err(CheckoutError::AtLimit);
        }
        let lease = self.state.lock().pool.on_opened(sender, now);
        Ok(self.lend(lease))
    }

    async fn connect(&self) -> Option<Sender> {
        let stream = TcpStream::connect(self.addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn(connection);
        Some(sender)
    }
}

/// Asks for a byte and returns whether one came.
async fn probe(sender: &mut Sender, host: HeaderValue) -> bool {
    let asked = Request::get("/healthz")
        .header(header::HOST, host)
        .body(Full::default());
    let Ok(request) = asked else { return false };
    let exchange = async {
        let response = sender.send_request(request).await.ok()?;
        // What the health endpoint says is not trusted, only that it answers.
        response.into_body().collect().await.ok()?;
        sender.ready().await.ok()
    };
    matches!(timeout(PROBE_TIMEOUT, exchange).await, Ok(Some(())))
}

impl Connection {
    /// Returns the sending half.
    pub(crate) fn sender(&mut self) -> Option<&mut Sender> {
        self.sender.as_mut()
    }

    /// Gives the connection back once its reply has been read in full.
    pub(crate) fn give_back(mut self) {
        if let Some(sender) = self.sender.take() {
            let closed = self.pool.state.lock().pool.check_in(sender, Instant::now());
            drop(closed);
            self.pool.freed.notify_one();
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

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.0 {
            pool.on_closed();
        }
    }
}
