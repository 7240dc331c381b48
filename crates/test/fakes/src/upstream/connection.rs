//! A connection and its calls.

use {
    crate::upstream::{server::Server, Counters, FakeUpstreams},
    axum::{
        body::Bytes,
        extract::{Path, State},
        http::{HeaderMap, HeaderValue, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, post},
        Json, Router,
    },
    hyper::server::conn::http1,
    hyper_util::{rt::TokioIo, service::TowerToHyperService},
    parking_lot::Mutex,
    serde::Deserialize,
    serde_json::{json, value::RawValue, Value},
    std::{
        future::pending,
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        select,
        time::{sleep, timeout},
    },
};

/// Header by which a server reports that it is draining.
const DRAINING_HEADER: &str = "x-upstream-draining";
/// Header by which a server reports the number of its slots in use.
const LOAD_HEADER: &str = "x-upstream-load";

#[derive(Deserialize)]
struct LeafCall {
    request_id: String,
    attempt_id: u64,
    index_version: u64,
    deadline_ms: u64,
    query: Box<RawValue>,
}

/// A connection that a server has accepted.
#[derive(Clone)]
pub(super) struct Connection {
    pub(super) id: u64,
    pub(super) server: Arc<Server>,
    pub(super) upstreams: FakeUpstreams,
}

impl Connection {
    pub(super) async fn serve(self, stream: TcpStream) {
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
        let mut silenced_connections = self.server.silenced_connections.lock();
        if is_silent {
            silenced_connections.insert(self.id);
        }
        silenced_connections.contains(&self.id)
            || self.id <= self.server.silenced_up_to.load(Ordering::SeqCst)
    }

    fn refuse(&self, status: StatusCode, kind: &str, call: Option<&LeafCall>) -> Response {
        {
            let mut counters = self.upstreams.counters.lock();
            counters.refused += 1;
            *counters.refused_by.entry(self.server.addr).or_default() += 1;
        }
        let newest_version = self
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
            "newest_version": newest_version,
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

    async fn execute(&self, shard: u32, call: &LeafCall) -> Response {
        let key = format!("{}/{shard}/{}", call.request_id, self.server.addr);
        *self.upstreams.counters.lock().runs.entry(key).or_default() += 1;
        let mut guard = CancelGuard {
            counters: &self.upstreams.counters,
            is_completed: false,
        };
        let poison = self.server.behaviour.lock().poison.clone();
        if poison.is_some_and(|text| call.query.get().contains(&text)) {
            self.upstreams.counters.lock().crashes += 1;
            guard.is_completed = true;
            self.server.crash().await;
            pending::<()>().await;
        }
        sleep(self.server.execution_time()).await;
        guard.is_completed = true;
        self.upstreams.counters.lock().completed += 1;
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

/// Counts an execution as cancelled if dropped before it completes.
struct CancelGuard<'a> {
    counters: &'a Mutex<Counters>,
    is_completed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.is_completed {
            self.counters.lock().cancelled += 1;
        }
    }
}

/// Counts a waiting call until dropped.
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
    connection.upstreams.counters.lock().calls += 1;
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
    connection.execute(shard, &call).await
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
