//! Holds in the store, from where all hosts learn them.
//!
//! The key of a hold has no lease, since a hold outlives the host that wrote it. It is
//! removed once the hold is over: by the request's owner, or, if the owner does not in
//! time, by any other host. A key that is missing or outdated while a hold lasts, as
//! after a return of the store from a copy, is written again in the same way.

use {
    crate::{
        crash_reports::is_owner, crashes::hold_state, exchange::OutgoingRequest, shared::Shared,
        Adapter,
    },
    bytes::Bytes,
    link::{Fingerprint, HoldState},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, HashSet},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{Fault, KeyPrefixStore, StorePosition, StoreRevision},
    tokio::{task::spawn_local, time::sleep},
};

/// Prefix of the keys of requests that are held back.
pub(crate) const HOLD_PREFIX: &str = "wharf/held/";
/// Time within which changes of a hold are written together.
const WRITE_DELAY: Duration = Duration::from_millis(20);
/// Number of attempts to write a hold to the store.
const WRITE_ATTEMPTS: u32 = 10;
/// Pause between these attempts.
const WRITE_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two comparisons of the holds with the store.
const COMPARE_PAUSE: Duration = Duration::from_secs(1);
/// Time that the owner of a request has to write or remove its key before any host does.
const OWNER_TIME: Duration = Duration::from_secs(5);
/// Age from which the owner writes a key again, so that the time left in it is right for
/// hosts that start.
const RENEW_PAUSE: Duration = Duration::from_secs(180);
/// Largest number of keys that a host writes or removes in a comparison. 68 hosts thus
/// take less than half of the 1,200 writes a second that the store handles.
const MAX_WRITES: usize = 8;

/// A hold as hosts write it to the store and tell it to each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HoldRecord {
    /// Time for which the request is held back, in milliseconds.
    hold_ms: u64,
    /// Number of canaries that have run or may have.
    #[serde(default)]
    canaries: usize,
    /// Services at which the request may run.
    #[serde(default)]
    proven: Vec<String>,
    /// Number of the record, which rises with each write.
    #[serde(default)]
    version: u64,
}

impl From<HoldRecord> for HoldState {
    fn from(record: HoldRecord) -> Self {
        Self {
            left: Duration::from_millis(record.hold_ms),
            canaries: record.canaries,
            proven: record.proven.into_iter().map(Into::into).collect(),
            version: record.version,
        }
    }
}

impl From<HoldState> for HoldRecord {
    fn from(state: HoldState) -> Self {
        Self {
            hold_ms: u64::try_from(state.left.as_millis()).unwrap_or(u64::MAX),
            canaries: state.canaries,
            proven: state.proven.iter().map(ToString::to_string).collect(),
            version: state.version,
        }
    }
}

/// Returns the request that the key of a hold names, without its prefix.
pub(crate) fn held_request(key: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(key, 16).ok()
}

fn hold_key(request: Fingerprint) -> String {
    format!("{HOLD_PREFIX}{request:016x}")
}

/// Returns the last known revision of the key of a hold, 0 if there is none.
pub(crate) fn known_revision<A: Adapter>(
    shared: &Shared<A>,
    request: Fingerprint,
) -> StoreRevision {
    let written = shared.written_holds.borrow().get(&request).copied();
    let revision = shared.store_cache.borrow().revision(&hold_key(request));
    written.map_or(revision, |written| written.max(revision))
}

/// Writes the hold of a request to the store, or ends it if all services of its route
/// are proven.
pub(crate) fn publish<A: Adapter>(shared: &Rc<Shared<A>>, outgoing: &Rc<OutgoingRequest>) {
    let route = Arc::clone(&outgoing.route);
    spawn_publication(shared, outgoing.fingerprint, move |state| {
        let mut services = route.services().into_iter();
        services.all(|service| state.proven.contains(service))
    });
}

/// Writes the hold of a request to the store, from where all hosts learn it, unless
/// `is_over` tells that it ends.
pub(crate) fn spawn_publication<A: Adapter>(
    shared: &Rc<Shared<A>>,
    request: Fingerprint,
    is_over: impl Fn(&HoldState) -> bool + 'static,
) {
    let mut unwritten_holds = shared.unwritten_holds.borrow_mut();
    if let Some(has_changed) = unwritten_holds.get_mut(&request) {
        *has_changed = true;
        return;
    }
    unwritten_holds.insert(request, true);
    let shared = Rc::clone(shared);
    spawn_local(async move {
        sleep(WRITE_DELAY).await;
        let take_change = || {
            let mut unwritten_holds = shared.unwritten_holds.borrow_mut();
            unwritten_holds.insert(request, false) == Some(true)
        };
        while take_change() {
            write_or_end(&shared, request, &is_over).await;
        }
        shared.unwritten_holds.borrow_mut().remove(&request);
    });
}

/// Writes the hold of a request as it is now, or ends it, and tries again if the store
/// does not answer, or if the record of another host has come first that lacks a service
/// which is proven here.
async fn write_or_end<A: Adapter>(
    shared: &Shared<A>,
    request: Fingerprint,
    is_over: impl Fn(&HoldState) -> bool,
) {
    for _ in 0..WRITE_ATTEMPTS {
        let Some(state) = hold_state(shared, request) else {
            return;
        };
        let written = if is_over(&state) {
            end_hold(shared, request, state).await
        } else {
            write_hold(shared, request, state).await
        };
        match written {
            Ok(true) => return,
            Ok(false) => {
                // Another host has written the hold, which the cache shows after the pause.
                sleep(WRITE_PAUSE).await;
                let crash_ledger = shared.crash_ledger.borrow();
                if !crash_ledger.has_unwritten_proven(request, Instant::now()) {
                    return;
                }
                continue;
            }
            Err(fault) => {
                log::warn!(target: "crash", "The hold of request {request:016x} is not in the store yet: {fault:?}.");
            }
        }
        sleep(WRITE_PAUSE).await;
    }
}

/// Ends the hold of a request on all hosts. Returns `false` if another host has written it.
async fn end_hold<A: Adapter>(
    shared: &Shared<A>,
    request: Fingerprint,
    state: HoldState,
) -> Result<bool, Fault> {
    let version = state.version.saturating_add(1);
    let over = HoldState {
        left: Duration::ZERO,
        ..state
    };
    if !write_hold(shared, request, over).await? {
        return Ok(false);
    }
    log::info!(target: "crash", "Request {request:016x} is not held back any longer.");
    let mut crash_ledger = shared.crash_ledger.borrow_mut();
    crash_ledger.end_hold(request, version, Instant::now());
    Ok(true)
}

/// Writes a hold if its key has not changed since this host learned of it, and returns
/// whether it has not.
pub(crate) async fn write_hold<A: Adapter>(
    shared: &Shared<A>,
    request: Fingerprint,
    state: HoldState,
) -> Result<bool, Fault> {
    let expected = known_revision(shared, request);
    let proven = state.proven.clone();
    let mut record = HoldRecord::from(state);
    record.version = record.version.saturating_add(1);
    let value = serde_json::to_vec(&record).map_err(|e| Fault::Unreachable(e.to_string()))?;
    let key = hold_key(request);
    let written = shared
        .keys
        .write_if(&key, expected, Bytes::from(value), None)
        .await?;
    let mut written_holds = shared.written_holds.borrow_mut();
    let Some(revision) = written else {
        // The key has been written or removed by another host, which the cache will show.
        written_holds.remove(&request);
        return Ok(false);
    };
    written_holds.insert(request, revision);
    let mut crash_ledger = shared.crash_ledger.borrow_mut();
    crash_ledger.on_written(request, record.version, &proven);
    Ok(true)
}

/// What a comparison of the holds with the store asks a host to do with a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Repair {
    Write,
    Remove(StoreRevision),
}

/// Compares the holds with the store again and again: writes those that are missing,
/// outdated or old, and removes the keys of those that are over.
pub(crate) async fn keep_holds<A: Adapter>(shared: Rc<Shared<A>>) {
    let mut last_writes: HashMap<Fingerprint, Instant> = HashMap::new();
    let mut differs_since: HashMap<Fingerprint, Instant> = HashMap::new();
    loop {
        sleep(COMPARE_PAUSE).await;
        if !shared.has_store_state() {
            continue;
        }
        let now = Instant::now();
        let held: HashSet<Fingerprint> = {
            let crash_ledger = shared.crash_ledger.borrow();
            crash_ledger.held(now).into_iter().collect()
        };
        last_writes.retain(|request, _| held.contains(request));
        let mut repairs = HashMap::new();
        for request in &held {
            let revision = known_revision(&shared, *request);
            let is_outdated = shared.crash_ledger.borrow().is_store_outdated(*request);
            if revision == 0 || is_outdated {
                repairs.insert(*request, Repair::Write);
                continue;
            }
            let written_at = last_writes.entry(*request).or_insert(now);
            if now >= *written_at + RENEW_PAUSE {
                // Another host that is the owner renews it.
                *written_at = now;
                if is_owner(&shared, *request) {
                    repairs.insert(*request, Repair::Write);
                }
            }
        }
        repairs.extend(ended_holds(&shared, &held));
        differs_since.retain(|request, _| repairs.contains_key(request));
        repairs.retain(|request, _| {
            let since = *differs_since.entry(*request).or_insert(now);
            now >= since + OWNER_TIME || is_owner(&shared, *request)
        });
        for (request, repair) in repairs.into_iter().take(MAX_WRITES) {
            if repair_key(&shared, request, repair).await {
                last_writes.insert(request, Instant::now());
            }
        }
    }
}

/// Returns the keys of requests that are not held back any longer.
fn ended_holds<A: Adapter>(
    shared: &Shared<A>,
    held: &HashSet<Fingerprint>,
) -> Vec<(Fingerprint, Repair)> {
    let store_cache = shared.store_cache.borrow();
    let all = StorePosition {
        era: store_cache.era(),
        revision: StoreRevision::MAX,
    };
    let keys = store_cache.keys(HOLD_PREFIX, all, true);
    let ended = keys.into_iter().filter_map(|key| {
        let request = held_request(key.strip_prefix(HOLD_PREFIX)?)?;
        let revision = store_cache.revision(&key);
        (!held.contains(&request)).then_some((request, Repair::Remove(revision)))
    });
    ended.collect()
}

/// Writes or removes the key of a hold, and returns whether it was written.
async fn repair_key<A: Adapter>(shared: &Shared<A>, request: Fingerprint, repair: Repair) -> bool {
    let done = match repair {
        Repair::Write => {
            let Some(state) = hold_state(shared, request) else {
                return false;
            };
            write_hold(shared, request, state).await
        }
        Repair::Remove(revision) => shared.keys.remove_if(&hold_key(request), revision).await,
    };
    match &done {
        Ok(true) => {
            log::info!(target: "crash", "The key of request {request:016x} was repaired: {repair:?}.")
        }
        Ok(false) => {}
        Err(fault) => {
            log::warn!(target: "crash", "The key of request {request:016x} could not be repaired: {repair:?}, {fault:?}.")
        }
    }
    repair == Repair::Write && done == Ok(true)
}
