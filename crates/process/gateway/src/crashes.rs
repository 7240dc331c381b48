//! Requests that end servers: reports to their owners, and the holds that all
//! hosts learn from the store.

use {
    crate::{
        exchange::{FailedCall, OutgoingRequest},
        peer::{self, CrashReport, PROTOCOL_VERSION},
        shared::Shared,
        Adapter,
    },
    bytes::Bytes,
    fleet::Member,
    kind::{Error, Kind, Result},
    link::{owner_weight, Admission, Fingerprint, HoldState},
    replica::ReplicaKey,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        rc::Rc,
        time::{Duration, Instant},
    },
    store::{Fault, KeyPrefixStore},
    tokio::{task::spawn_local, time::sleep},
};

/// Prefix of the keys of requests that are held back.
pub(crate) const HOLD_PREFIX: &str = "wharf/held/";
/// Time for which another server may still answer a request before the loss of
/// one is reported.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// Longest time for which a report waits for its answer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of hosts to which a report is sent until one takes it.
const OWNERS_TO_TRY: usize = 2;
/// Number of attempts to write a hold to the store.
const WRITE_ATTEMPTS: u32 = 10;
/// Pause between these attempts.
const WRITE_PAUSE: Duration = Duration::from_secs(1);
/// Time after which the store drops a hold that no host renews.
const HOLD_LEASE_TTL: Duration = Duration::from_secs(600);
/// Pause between renewals; two may fail before a hold is dropped.
const RENEW_PAUSE: Duration = Duration::from_secs(180);
/// Time until this host has learned of its own write that has counted a canary.
const TAKE_BACK_DELAY: Duration = Duration::from_secs(2);
/// Time that callers are told to wait if a canary could not be counted.
const UNCOUNTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The value of a hold's key in the store.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct HoldRecord {
    /// Time for which the request is held back, in milliseconds.
    hold_ms: u64,
    /// Number of canaries that have run or may have.
    #[serde(default)]
    canaries: usize,
}

impl From<HoldRecord> for HoldState {
    fn from(record: HoldRecord) -> Self {
        Self {
            left: Duration::from_millis(record.hold_ms),
            canaries: record.canaries,
        }
    }
}

impl From<HoldState> for HoldRecord {
    fn from(state: HoldState) -> Self {
        Self {
            hold_ms: u64::try_from(state.left.as_millis()).unwrap_or(u64::MAX),
            canaries: state.canaries,
        }
    }
}

/// Returns the request that the key of a hold names, without its prefix.
pub(crate) fn held_request(key: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(key, 16).ok()
}

/// Records what the end of a call tells about its request.
pub(crate) fn on_call_ended<A: Adapter, T>(
    shared: &Rc<Shared<A>>,
    outgoing: &OutgoingRequest,
    server: ReplicaKey,
    result: &std::result::Result<T, FailedCall>,
) {
    let request = outgoing.fingerprint;
    match result {
        Ok(_) => on_answered(shared, request),
        Err(failed) if failed.reply.is_some() => on_answered(shared, request),
        Err(failed) if failed.is_connection_lost => {
            let server = shared.servers.borrow().entry(server).map(|entry| {
                // Each incarnation of a server ends once.
                let started_at_ms = entry.started_at_ms.unwrap_or_default();
                format!("{}@{started_at_ms}", entry.id)
            });
            let is_suspect = shared.crash_ledger.borrow_mut().on_server_lost(request);
            if let Some(server) = server.filter(|_| is_suspect) {
                spawn_local(report(Rc::clone(shared), request, server));
            }
        }
        Err(_) => {}
    }
}

/// Records that a server has answered a request.
pub(crate) fn on_answered<A: Adapter>(shared: &Rc<Shared<A>>, request: Fingerprint) {
    let was_held = shared.crash_ledger.borrow_mut().on_answered(request);
    let lease = shared.hold_leases.borrow_mut().remove(&request);
    if was_held {
        log::info!(target: "crash", "Request {request:016x} was answered and is not held back any longer.");
    }
    if let Some(lease) = lease {
        let keys = shared.keys.clone();
        spawn_local(async move {
            if let Err(fault) = keys.end(lease).await {
                log::warn!(target: "crash", "The hold of request {request:016x} could not be ended and will expire: {fault:?}.");
            }
        });
    }
}

/// Decides whether a request may run, and whether only as a canary.
///
/// A canary is counted in the store before it runs, so that a host that restarts, or
/// that takes itself for the owner as well, does not run it once more.
///
/// # Errors
///
/// Returns [`Kind::Held`] if the request is held back.
pub(crate) async fn admit<A: Adapter>(
    shared: &Shared<A>,
    request: Fingerprint,
) -> Result<Admission> {
    let admission = {
        let is_owner = || is_owner(shared, request);
        let mut crash_ledger = shared.crash_ledger.borrow_mut();
        crash_ledger.admit(request, is_owner, Instant::now())
    };
    let retry_after = match admission {
        Admission::Run => return Ok(admission),
        Admission::Canary => {
            let is_counted = count_canary(shared, request).await;
            log::info!(target: "crash", "A canary of request {request:016x} {}.",
                if is_counted { "runs" } else { "could not be counted and does not run" });
            if is_counted {
                return Ok(admission);
            }
            UNCOUNTED_RETRY_AFTER
        }
        Admission::Held(wait) => wait,
    };
    let detail = format!("request {request:016x}");
    Err(Error::new(Kind::Held, detail).with_retry_after(retry_after))
}

/// Counts a canary where all hosts see it, and returns whether it may run.
async fn count_canary<A: Adapter>(shared: &Shared<A>, request: Fingerprint) -> bool {
    // A hold that is not in the store yet has no canaries.
    let is_stored = shared.store_cache.borrow().revision(&hold_key(request)) > 0;
    match hold_state(shared, request).filter(|_| is_stored) {
        Some(state) => write_hold(shared, request, state).await == Ok(true),
        None => false,
    }
}

/// Takes back a canary that no server has run.
pub(crate) async fn on_canary_not_run<A: Adapter>(shared: Rc<Shared<A>>, request: Fingerprint) {
    sleep(TAKE_BACK_DELAY).await;
    let state = shared
        .crash_ledger
        .borrow_mut()
        .on_canary_not_run(request, Instant::now());
    let Some(state) = state else {
        return;
    };
    if write_hold(&shared, request, state).await != Ok(true) {
        log::info!(target: "crash", "A canary of request {request:016x} did not run and counts all the same.");
    }
}

fn is_owner<A: Adapter>(shared: &Shared<A>, request: Fingerprint) -> bool {
    owners(shared, request).first() == Some(&shared.settings.member)
}

fn hold_state<A: Adapter>(shared: &Shared<A>, request: Fingerprint) -> Option<HoldState> {
    let crash_ledger = shared.crash_ledger.borrow();
    crash_ledger.hold_state(request, Instant::now())
}

fn hold_key(request: Fingerprint) -> String {
    format!("{HOLD_PREFIX}{request:016x}")
}

/// Returns the hosts that may own a request, the one to try first at the front.
fn owners<A: Adapter>(shared: &Shared<A>, request: Fingerprint) -> Vec<Member> {
    let members = shared.members.borrow();
    let listed = members.listed().map(|host| &host.member);
    let mut owners: Vec<Member> = listed.cloned().collect();
    owners.sort_by_key(|member| Reverse(owner_weight(request, &member.id)));
    owners.truncate(OWNERS_TO_TRY);
    owners
}

/// Reports the loss of a server to the owner of the request, unless another server
/// answers the request in the meantime.
async fn report<A: Adapter>(shared: Rc<Shared<A>>, request: Fingerprint, server: String) {
    sleep(REPORT_DELAY).await;
    if shared.crash_ledger.borrow_mut().is_known_good(request) {
        return;
    }
    for owner in owners(&shared, request) {
        if owner.id == shared.settings.member.id {
            break;
        }
        let report = CrashReport {
            protocol_version: PROTOCOL_VERSION,
            request,
            server: server.clone(),
        };
        let deadline = Instant::now() + REPORT_TIMEOUT;
        match peer::report_crash(&shared, owner.peer_addr, report, deadline).await {
            Ok(hold_ms) => {
                if let Some(hold_ms) = hold_ms {
                    // The record in the store tells how many canaries have run.
                    let hold = HoldState {
                        left: Duration::from_millis(hold_ms.into()),
                        canaries: 0,
                    };
                    let mut crash_ledger = shared.crash_ledger.borrow_mut();
                    crash_ledger.hold(request, hold, Instant::now());
                }
                return;
            }
            Err(error) => log::warn!(target: "crash", "Host {} took no report: {error}.", owner.id),
        }
    }
    on_reported(&shared, request, &server);
}

/// Records a crash as the owner of the request. Returns for how long the request is
/// held back from now on, if it is.
pub(crate) fn on_reported<A: Adapter>(
    shared: &Rc<Shared<A>>,
    request: Fingerprint,
    server: &str,
) -> Option<Duration> {
    let now = Instant::now();
    let mut crash_ledger = shared.crash_ledger.borrow_mut();
    if let Some(hold) = crash_ledger.on_crash(request, server, now) {
        crash_ledger.hold(request, hold, now);
        let hold_s = hold.left.as_secs();
        log::warn!(target: "crash", "Request {request:016x} has ended its servers, {server} last, and is held back for {hold_s} s.");
        spawn_local(publish(Rc::clone(shared), request));
    }
    let state = crash_ledger.hold_state(request, now)?;
    Some(state.left)
}

/// Writes a hold to the store, from where all hosts learn it.
async fn publish<A: Adapter>(shared: Rc<Shared<A>>, request: Fingerprint) {
    for _ in 0..WRITE_ATTEMPTS {
        let Some(state) = hold_state(&shared, request) else {
            return;
        };
        match write_hold(&shared, request, state).await {
            // Another host may have written the hold.
            Ok(_) => return,
            Err(fault) => {
                log::warn!(target: "crash", "The hold of request {request:016x} is not in the store yet: {fault:?}.");
            }
        }
        sleep(WRITE_PAUSE).await;
    }
}

/// Writes a hold under a new lease if its key has not changed since this host learned of
/// it, and returns whether it has not.
async fn write_hold<A: Adapter>(
    shared: &Shared<A>,
    request: Fingerprint,
    state: HoldState,
) -> std::result::Result<bool, Fault> {
    let expected = shared.store_cache.borrow().revision(&hold_key(request));
    let lease = shared.keys.grant(HOLD_LEASE_TTL).await?;
    let value = serde_json::to_vec(&HoldRecord::from(state))
        .map_err(|e| Fault::Unreachable(e.to_string()))?;
    let key = hold_key(request);
    let previous = shared.hold_leases.borrow_mut().insert(request, lease);
    let written = shared
        .keys
        .write_if(&key, expected, Bytes::from(value), lease)
        .await;
    if written == Ok(false) {
        // The key is still attached to the lease of an earlier write, of this host or another.
        let mut hold_leases = shared.hold_leases.borrow_mut();
        match previous {
            Some(previous) => hold_leases.insert(request, previous),
            None => hold_leases.remove(&request),
        };
    }
    written
}

/// Writes the holds of requests that this host owns anew before the store drops them.
/// A host that has become the owner thus takes them over.
pub(crate) async fn keep_holds<A: Adapter>(shared: Rc<Shared<A>>) {
    loop {
        sleep(RENEW_PAUSE).await;
        let held = shared.crash_ledger.borrow().held(Instant::now());
        shared
            .hold_leases
            .borrow_mut()
            .retain(|request, _| held.contains(request));
        for request in held {
            if !is_owner(&shared, request) {
                continue;
            }
            let Some(state) = hold_state(&shared, request) else {
                continue;
            };
            if let Err(fault) = write_hold(&shared, request, state).await {
                log::warn!(target: "crash", "The hold of request {request:016x} was not renewed: {fault:?}.");
            }
        }
    }
}
