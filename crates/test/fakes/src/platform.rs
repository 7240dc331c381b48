//! Stand-in for the platform's key-value service and host list.
//!
//! Conditional writes, waiting watches, leases and a lagging host list, with
//! faults: down, slow, and replies lost after the write took effect.

use {
    axum::{
        body::Bytes,
        extract::{Path, Query, State},
        http::{HeaderMap, HeaderValue, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, post, put},
        Json, Router,
    },
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        future::pending,
        io,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::ListedHost,
    tokio::{
        net::TcpListener,
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Largest value that a key may hold, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct Entry {
    key_revision: u64,
    bytes: Bytes,
    lease_id: Option<u64>,
}

/// Faults that the stand-in shows from now on.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether every call is refused.
    pub down: bool,
    /// Whether every call but reads of the host list is refused.
    pub store_down: bool,
    /// Whether watches wait to their end and tell of no change.
    pub watches_cut: bool,
    /// Delay before each answer, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes that take effect and then lose their reply.
    pub lose_replies: u64,
    /// Number of writes that are lost before they take effect.
    pub lose_requests: u64,
}

/// Number of calls that the stand-in has seen.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Calls {
    /// Reads.
    pub gets: u64,
    /// Writes, refused ones included.
    pub puts: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the host list.
    pub host_lists: u64,
    /// Lease calls.
    pub leases: u64,
}

#[derive(Default)]
struct Shelf {
    entries: HashMap<String, Entry>,
    leases: HashMap<u64, Instant>,
    next_key_revision: u64,
    next_lease_id: u64,
    hosts: Vec<ListedHost>,
    backup: HashMap<String, Entry>,
    faults: Faults,
    calls: Calls,
    /// Cloned by each watch while it waits.
    waiting: Arc<()>,
}

/// The stand-in, shared between its connections.
#[derive(Clone, Default)]
pub struct FakePlatform {
    shelf: Arc<Mutex<Shelf>>,
    changed: Arc<Notify>,
}

#[derive(Deserialize)]
struct PutQuery {
    expected: u64,
    lease_id: Option<u64>,
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

#[derive(Deserialize, Serialize)]
struct Lease {
    id: u64,
    ttl_ms: u64,
}

impl FakePlatform {
    /// Creates an empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shelf.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.shelf.lock().hosts = hosts;
    }

    /// Keeps the present state for a later [`FakePlatform::restore`].
    pub fn back_up(&self) {
        let mut shelf = self.shelf.lock();
        shelf.backup = shelf.entries.clone();
    }

    /// Goes back to the state that was kept.
    pub fn restore(&self) {
        let mut shelf = self.shelf.lock();
        shelf.entries = shelf.backup.clone();
    }

    /// Returns the calls seen so far.
    pub fn calls(&self) -> Calls {
        self.shelf.lock().calls.clone()
    }

    /// Returns the number of watches that wait now.
    pub fn waiting_watches(&self) -> usize {
        Arc::strong_count(&self.shelf.lock().waiting) - 1
    }

    /// Serves the platform on `listener` until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        axum::serve(listener, self.router()).await
    }

    fn router(self) -> Router {
        Router::new()
            .route("/v1/kv/{*key}", get(read_key).put(write_key))
            .route("/v1/watch/{*key}", get(watch_key))
            .route("/v1/leases", post(grant_lease))
            .route("/v1/leases/{id}", put(renew_lease))
            .route("/v1/hosts", get(list_hosts))
            .route("/fake/faults", put(put_faults))
            .route("/fake/hosts", put(put_hosts))
            .route("/fake/calls", get(get_calls))
            .route("/fake/backup", put(put_backup))
            .route("/fake/restore", put(put_restore))
            .with_state(self)
    }

    /// Shows the faults that come before a call takes effect.
    async fn enter(&self, count: impl FnOnce(&mut Calls)) -> Result<(), StatusCode> {
        let (faults, is_list) = {
            let mut shelf = self.shelf.lock();
            let lists_before = shelf.calls.host_lists;
            count(&mut shelf.calls);
            let is_list = shelf.calls.host_lists > lists_before;
            (shelf.faults.clone(), is_list)
        };
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down || (faults.store_down && !is_list) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }
}

impl Shelf {
    fn live_entry(&mut self, key: &str) -> Option<Entry> {
        let entry = self.entries.get(key)?.clone();
        let now = Instant::now();
        let is_expired = entry
            .lease_id
            .is_some_and(|id| self.leases.get(&id).is_none_or(|until| *until <= now));
        if is_expired {
            self.entries.remove(key);
            return None;
        }
        Some(entry)
    }

    fn write(&mut self, key: &str, query: &PutQuery, bytes: Bytes) -> Result<u64, StatusCode> {
        let found = self.live_entry(key).map_or(0, |entry| entry.key_revision);
        if found != query.expected {
            return Err(StatusCode::PRECONDITION_FAILED);
        }
        self.next_key_revision += 1;
        let key_revision = self.next_key_revision;
        self.entries.insert(
            key.to_owned(),
            Entry {
                key_revision,
                bytes,
                lease_id: query.lease_id,
            },
        );
        Ok(key_revision)
    }
}

impl IntoResponse for Entry {
    fn into_response(self) -> Response {
        (revision_headers(self.key_revision), self.bytes).into_response()
    }
}

fn revision_headers(key_revision: u64) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("x-key-revision", HeaderValue::from(key_revision));
    headers
}

async fn read_key(
    State(platform): State<FakePlatform>,
    Path(key): Path<String>,
) -> Result<Response, StatusCode> {
    platform.enter(|calls| calls.gets += 1).await?;
    let found = platform.shelf.lock().live_entry(&key);
    Ok(found.map_or_else(
        || StatusCode::NOT_FOUND.into_response(),
        Entry::into_response,
    ))
}

async fn write_key(
    State(platform): State<FakePlatform>,
    Path(key): Path<String>,
    Query(query): Query<PutQuery>,
    bytes: Bytes,
) -> Result<Response, StatusCode> {
    platform.enter(|calls| calls.puts += 1).await?;
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let (written, is_lost) = {
        let mut shelf = platform.shelf.lock();
        if shelf.faults.lose_requests > 0 {
            shelf.faults.lose_requests -= 1;
            (Ok(0), true)
        } else {
            let written = shelf.write(&key, &query, bytes);
            let is_lost = shelf.faults.lose_replies > 0;
            shelf.faults.lose_replies = shelf.faults.lose_replies.saturating_sub(1);
            (written, is_lost)
        }
    };
    platform.changed.notify_waiters();
    if is_lost {
        // The caller never hears of the write and has to run into its timeout.
        pending::<()>().await;
    }
    Ok(revision_headers(written?).into_response())
}

async fn watch_key(
    State(platform): State<FakePlatform>,
    Path(key): Path<String>,
    Query(query): Query<WatchQuery>,
) -> Result<Response, StatusCode> {
    platform.enter(|calls| calls.watches += 1).await?;
    let _waiting = Arc::clone(&platform.shelf.lock().waiting);
    let newer = async {
        loop {
            let changed = platform.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let mut shelf = platform.shelf.lock();
                if shelf.faults.down || shelf.faults.store_down {
                    return Err(StatusCode::SERVICE_UNAVAILABLE);
                }
                let is_cut = shelf.faults.watches_cut;
                if let Some(entry) = shelf.live_entry(&key).filter(|_| !is_cut) {
                    if entry.key_revision > query.after {
                        return Ok(entry);
                    }
                }
            }
            changed.await;
        }
    };
    match timeout(Duration::from_millis(query.wait_ms), newer).await {
        Ok(found) => Ok(found?.into_response()),
        Err(_) => Ok(StatusCode::NO_CONTENT.into_response()),
    }
}

async fn grant_lease(
    State(platform): State<FakePlatform>,
    Json(wanted): Json<Lease>,
) -> Result<Json<Lease>, StatusCode> {
    platform.enter(|calls| calls.leases += 1).await?;
    let mut shelf = platform.shelf.lock();
    shelf.next_lease_id += 1;
    let id = shelf.next_lease_id;
    let until = Instant::now() + Duration::from_millis(wanted.ttl_ms);
    shelf.leases.insert(id, until);
    Ok(Json(Lease { id, ..wanted }))
}

async fn renew_lease(
    State(platform): State<FakePlatform>,
    Path(id): Path<u64>,
    Json(wanted): Json<Lease>,
) -> Result<StatusCode, StatusCode> {
    platform.enter(|calls| calls.leases += 1).await?;
    let mut shelf = platform.shelf.lock();
    let now = Instant::now();
    let until = shelf.leases.get_mut(&id).filter(|until| **until > now);
    let until = until.ok_or(StatusCode::NOT_FOUND)?;
    *until = now + Duration::from_millis(wanted.ttl_ms);
    Ok(StatusCode::NO_CONTENT)
}

async fn list_hosts(
    State(platform): State<FakePlatform>,
) -> Result<Json<Vec<ListedHost>>, StatusCode> {
    platform.enter(|calls| calls.host_lists += 1).await?;
    let hosts = platform.shelf.lock().hosts.clone();
    Ok(Json(hosts))
}

async fn put_faults(
    State(platform): State<FakePlatform>,
    Json(faults): Json<Faults>,
) -> StatusCode {
    platform.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn put_hosts(
    State(platform): State<FakePlatform>,
    Json(hosts): Json<Vec<ListedHost>>,
) -> StatusCode {
    platform.set_hosts(hosts);
    StatusCode::NO_CONTENT
}

async fn put_backup(State(platform): State<FakePlatform>) -> StatusCode {
    platform.back_up();
    StatusCode::NO_CONTENT
}

async fn put_restore(State(platform): State<FakePlatform>) -> StatusCode {
    platform.restore();
    StatusCode::NO_CONTENT
}

async fn get_calls(State(platform): State<FakePlatform>) -> Json<Calls> {
    Json(platform.calls())
}
