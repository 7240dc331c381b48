//! Stand-in for the upstream servers of one service.
//!
//! One process holds many servers, each with its own address, connection
//! limit and execution slots. A server states the index version that it used,
//! honours deadlines, stops when its caller goes away, sheds, drains, and
//! counts how often it ran each request.

use {
    axum::{
        body::Bytes,
        extract::{Path, State},
        http::{HeaderMap, HeaderValue, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, post, put},
        Json, Router,
    },
    hyper::server::conn::http1,
    hyper_util::{rt::TokioIo, service::TowerToHyperService},
    parking_lot::Mutex,
    rand::{rngs::StdRng, Rng, SeedableRng},
    serde::{Deserialize, Serialize},
    serde_json::{json, value::RawValue, Value},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        future::pending,
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, AtomicUsize, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        select, spawn,
        sync::{Notify, Semaphore},
        time::{sleep, timeout},
    },
};

/// Header by which a server says that it takes no new work.
const DRAINING_HEADER: &str = "x-upstream-draining";
/// Header by which a server states its slots in use.
const LOAD_HEADER: &str = "x-upstream-load";

/// How a server behaves.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Number of connections that the server accepts.
    pub connection_limit: usize,
    /// Number of requests that the server executes at once.
    pub slots: usize,
    /// Number of requests that wait for a slot before the server sheds.
    pub queue_limit: usize,
    /// Mean execution time, in milliseconds.
    pub mean_ms: f64,
    /// Whether execution times vary exponentially around the mean.
    pub is_exponential: bool,
    /// Index versions that the server holds.
    pub index_versions: Vec<u64>,
    /// Whether the server takes no new work.
    pub is_draining: bool,
    /// Whether the server sheds all work.
    pub is_shedding: bool,
    /// Whether established connections have gone silent.
    pub is_silent: bool,
    /// Whether the server answers with the ids of another request.
    pub is_crossed: bool,
    /// Whether the health endpoint claims health whatever happens.
    pub health_lies: bool,
    /// Text in a query that crashes the server.
    pub poison: Option<String>,
    /// Time for which a crashed server stays away, in milliseconds.
    pub crash_ms: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            connection_limit: 25,
            slots: 2,
            queue_limit: 16,
            mean_ms: 2.0,
            is_exponential: false,
            index_versions: vec![1],
            is_draining: false,
            is_shedding: false,
            is_silent: false,
            is_crossed: false,
            health_lies: false,
            poison: None,
            crash_ms: 500,
        }
    }
}

/// What the servers have seen.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Seen {
    /// Number of executions by request id, shard and server.
    pub runs: BTreeMap<String, u64>,
    /// Leaf calls received.
    pub calls: u64,
    /// Executions that reached their end.
    pub completed: u64,
    /// Executions that were cancelled.
    pub cancelled: u64,
    /// Calls refused without execution.
    pub refused: u64,
    /// Calls refused without execution, by server.
    pub refused_by: BTreeMap<SocketAddr, u64>,
    /// Connections refused at the limit.
    pub refused_connections: u64,
    /// Most connections held by one server at once.
    pub peak_connections: u64,
    /// Crashes.
    pub crashes: u64,
}

impl Seen {
    /// Returns the number of pairs of request and shard that ran; a call that
    /// is repeated or hedged counts once.
    pub fn shards_run(&self) -> u64 {
        let pairs: HashSet<_> = self
            .runs
            .keys()
            .filter_map(|key| key.rsplit_once('/').map(|(pair, _server)| pair))
            .collect();
        pairs.len() as u64
    }
}

#[derive(Deserialize)]
struct LeafCall {
    request_id: String,
    attempt_id: u64,
    index_version: u64,
    deadline_ms: u64,
    query: Box<RawValue>,
}

/// The stand-in for all servers of one process.
#[derive(Clone)]
pub struct FakeUpstreams {
    seen: Arc<Mutex<Seen>>,
    servers: Arc<HashMap<SocketAddr, Arc<Server>>>,
}

struct Server {
    addr: SocketAddr,
    behaviour: Mutex<Behaviour>,
    silent_before: Mutex<HashSet<u64>>,
    newest_connection: AtomicU64,
    silent_up_to: AtomicU64,
    open_connections: AtomicUsize,
    waiting: AtomicUsize,
    slots: Semaphore,
    crashed: Mutex<bool>,
    crash: Notify,
    random: Mutex<StdRng>,
}

#[derive(Clone)]
struct Connection {
    id: u64,
    server: Arc<Server>,
    all: FakeUpstreams,
}

impl FakeUpstreams {
    /// Serves one server on each listener and returns the shared control.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener has no address.
    pub fn spawn(listeners: Vec<TcpListener>, behaviour: &Behaviour) -> io::Result<Self> {
        let mut servers = HashMap::new();
        for (i, listener) in listeners.iter().enumerate() {
            let addr = listener.local_addr()?;
            servers.insert(
                addr,
                Arc::new(Server::new(addr, behaviour.clone(), i as u64)),
            );
        }
        let all = Self {
            seen: Arc::default(),
            servers: Arc::new(servers),
        };
        for listener in listeners {
            let server = Arc::clone(&all.servers[&listener.local_addr()?]);
            spawn(accept(listener, server, all.clone()));
        }
        Ok(all)
    }

    /// Returns what the servers have seen.
    pub fn seen(&self) -> Seen {
        self.seen.lock().clone()
    }

    /// Changes the behaviour of one server.
    pub fn set_behaviour(&self, addr: SocketAddr, behaviour: Behaviour) {
        if let Some(server) = self.servers.get(&addr) {
            *server.behaviour.lock() = behaviour;
        }
    }

    /// Silences the connections that are open now; later ones work.
    pub fn silence_open_connections(&self) {
        for server in self.servers.values() {
            let newest = server.newest_connection.load(Ordering::SeqCst);
            server.silent_up_to.store(newest, Ordering::SeqCst);
        }
    }

    /// Serves the control path on `listener` until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub async fn serve_control(self, listener: TcpListener) -> io::Result<()> {
        let router = Router::new()
            .route("/fake/seen", get(get_seen))
            .route("/fake/silence", put(put_silence))
            .route("/fake/behaviour", put(put_behaviour))
            .route("/fake/behaviour/{addr}", put(put_one_behaviour))
            .with_state(self);
        axum::serve(listener, router).await
    }
}

impl Server {
    fn new(addr: SocketAddr, behaviour: Behaviour, seed: u64) -> Self {
        Self {
            addr,
            slots: Semaphore::new(behaviour.slots),
            behaviour: Mutex::new(behaviour),
            silent_before: Mutex::default(),
            newest_connection: AtomicU64::new(0),
            silent_up_to: AtomicU64::new(0),
            open_connections: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            crashed: Mutex::new(false),
            crash: Notify::new(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    fn execution_time(&self) -> Duration {
        let behaviour = self.behaviour.lock();
        let mean_s = behaviour.mean_ms / 1_000.0;
        if !behaviour.is_exponential {
            return Duration::from_secs_f64(mean_s);
        }
        let uniform: f64 = self.random.lock().random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean_s)
    }

    async fn crash(self: &Arc<Self>) {
        *self.crashed.lock() = true;
        self.crash.notify_waiters();
        let crash_ms = self.behaviour.lock().crash_ms;
        let server = Arc::clone(self);
        spawn(async move {
            sleep(Duration::from_millis(crash_ms)).await;
            *server.crashed.lock() = false;
        });
    }
}

async fn accept(listener: TcpListener, server: Arc<Server>, all: FakeUpstreams) {
    let mut next_id = 0;
    while let Ok((stream, _)) = listener.accept().await {
        next_id += 1;
        server.newest_connection.store(next_id, Ordering::SeqCst);
        let limit = server.behaviour.lock().connection_limit;
        let open = server.open_connections.load(Ordering::SeqCst);
        if *server.crashed.lock() || open >= limit {
            all.seen.lock().refused_connections += 1;
            drop(stream);
            continue;
        }
        server.open_connections.fetch_add(1, Ordering::SeqCst);
        {
            let mut seen = all.seen.lock();
            seen.peak_connections = seen.peak_connections.max(open as u64 + 1);
        }
        let connection = Connection {
            id: next_id,
            server: Arc::clone(&server),
            all: all.clone(),
        };
        spawn(connection.serve(stream));
    }
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let server = Arc::clone(&self.server);
        let _ = stream.set_nodelay(true);
        let router = Router::new()
            .route("/v1/shards/{shard}/search", post(search))
            .route("/healthz", get(health))
            .route("/load", get(load))
            .with_state(self);
        let serving = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
        select! {
            _ = serving => {}
            () = server.crash.notified() => {}
        }
        server.open_connections.fetch_sub(1, Ordering::SeqCst);
    }

    fn is_silent(&self) -> bool {
        let is_silent = self.server.behaviour.lock().is_silent;
        let mut silent_before = self.server.silent_before.lock();
        if is_silent {
            silent_before.insert(self.id);
        }
        silent_before.contains(&self.id)
            || self.id <= self.server.silent_up_to.load(Ordering::SeqCst)
    }

    fn refuse(&self, status: StatusCode, kind: &str, call: Option<&LeafCall>) -> Response {
        {
            let mut seen = self.all.seen.lock();
            seen.refused += 1;
            *seen.refused_by.entry(self.server.addr).or_default() += 1;
        }
        let newest = self
            .server
            .behaviour
            .lock()
            .index_versions
            .iter()
            .max()
            .copied();
        let body = json!({
            "request_id": call.map(|call| &call.request_id),
            "attempt_id": call.map(|call| call.attempt_id),
            "kind": kind,
            "ran": "no",
            "newest_version": newest,
        });
        (status, self.headers(), Json(body)).into_response()
    }

    fn headers(&self) -> HeaderMap {
        let behaviour = self.server.behaviour.lock();
        let mut headers = HeaderMap::new();
        if behaviour.is_draining {
            headers.insert(DRAINING_HEADER, HeaderValue::from_static("true"));
        }
        let in_use = behaviour
            .slots
            .saturating_sub(self.server.slots.available_permits());
        headers.insert(LOAD_HEADER, HeaderValue::from(in_use as u64));
        headers
    }

    async fn run(&self, shard: u32, call: &LeafCall) -> Response {
        let key = format!("{}/{shard}/{}", call.request_id, self.server.addr);
        *self.all.seen.lock().runs.entry(key).or_default() += 1;
        let mut guard = CancelGuard {
            seen: &self.all.seen,
            is_completed: false,
        };
        let poison = self.server.behaviour.lock().poison.clone();
        if poison.is_some_and(|text| call.query.get().contains(&text)) {
            self.all.seen.lock().crashes += 1;
            guard.is_completed = true;
            self.server.crash().await;
            pending::<()>().await;
        }
        sleep(self.server.execution_time()).await;
        guard.is_completed = true;
        self.all.seen.lock().completed += 1;
        let is_crossed = self.server.behaviour.lock().is_crossed;
        let attempt_id = if is_crossed {
            call.attempt_id ^ 1
        } else {
            call.attempt_id
        };
        let row = json!({ "shard": shard, "version": call.index_version });
        let body = json!({
            "request_id": call.request_id,
            "attempt_id": attempt_id,
            "shard": shard,
            "index_version": call.index_version,
            "rows": [row],
        });
        (StatusCode::OK, self.headers(), Json(body)).into_response()
    }
}

struct CancelGuard<'a> {
    seen: &'a Mutex<Seen>,
    is_completed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.is_completed {
            self.seen.lock().cancelled += 1;
        }
    }
}

struct WaitGuard<'a>(&'a AtomicUsize);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn search(
    State(connection): State<Connection>,
    Path(shard): Path<u32>,
    body: Bytes,
) -> Response {
    if connection.is_silent() {
        pending::<()>().await;
    }
    connection.all.seen.lock().calls += 1;
    let Ok(call) = serde_json::from_slice::<LeafCall>(&body) else {
        return connection.refuse(StatusCode::BAD_REQUEST, "bad-call", None);
    };
    let behaviour = connection.server.behaviour.lock().clone();
    if behaviour.is_draining {
        return connection.refuse(StatusCode::SERVICE_UNAVAILABLE, "draining", Some(&call));
    }
    if !behaviour.index_versions.contains(&call.index_version) {
        return connection.refuse(StatusCode::GONE, "version-gone", Some(&call));
    }
    let waiting = connection.server.waiting.fetch_add(1, Ordering::SeqCst);
    let waiting_guard = WaitGuard(&connection.server.waiting);
    let has_slot = connection.server.slots.available_permits() > 0;
    if behaviour.is_shedding || (!has_slot && waiting >= behaviour.queue_limit) {
        return connection.refuse(StatusCode::SERVICE_UNAVAILABLE, "shed", Some(&call));
    }
    let deadline = Duration::from_millis(call.deadline_ms);
    let slot = timeout(deadline, connection.server.slots.acquire()).await;
    drop(waiting_guard);
    let Ok(Ok(_slot)) = slot else {
        return connection.refuse(StatusCode::SERVICE_UNAVAILABLE, "too-late", Some(&call));
    };
    connection.run(shard, &call).await
}

async fn health(State(connection): State<Connection>) -> StatusCode {
    if connection.is_silent() {
        pending::<()>().await;
    }
    let behaviour = connection.server.behaviour.lock();
    if behaviour.health_lies || !behaviour.is_draining {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn load(State(connection): State<Connection>) -> Json<Value> {
    if connection.is_silent() {
        pending::<()>().await;
    }
    let slots = connection.server.behaviour.lock().slots;
    let in_use = slots.saturating_sub(connection.server.slots.available_permits());
    Json(json!({ "slots": slots, "in_use": in_use }))
}

async fn get_seen(State(all): State<FakeUpstreams>) -> Json<Seen> {
    Json(all.seen())
}

async fn put_silence(State(all): State<FakeUpstreams>) -> StatusCode {
    all.silence_open_connections();
    StatusCode::NO_CONTENT
}

async fn put_behaviour(
    State(all): State<FakeUpstreams>,
    Json(behaviour): Json<Behaviour>,
) -> StatusCode {
    for addr in all.servers.keys() {
        all.set_behaviour(*addr, behaviour.clone());
    }
    StatusCode::NO_CONTENT
}

async fn put_one_behaviour(
    State(all): State<FakeUpstreams>,
    Path(addr): Path<SocketAddr>,
    Json(behaviour): Json<Behaviour>,
) -> StatusCode {
    if !all.servers.contains_key(&addr) {
        return StatusCode::NOT_FOUND;
    }
    all.set_behaviour(addr, behaviour);
    StatusCode::NO_CONTENT
}
