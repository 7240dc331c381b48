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
    link::{owner_weight, Admission, Fingerprint},
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

/// The value of a hold's key in the store.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct HoldRecord {
    /// Time for which the request is held back, in milliseconds.
    pub(crate) hold_ms: u64,
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
/// # Errors
///
/// Returns [`Kind::Held`] if the request is held back.
pub(crate) fn admit<A: Adapter>(shared: &Shared<A>, request: Fingerprint) -> Result<Admission> {
    let is_owner = || owners(shared, request).first() == Some(&shared.settings.member);
    let mut crash_ledger = shared.crash_ledger.borrow_mut();
    match crash_ledger.admit(request, is_owner, Instant::now()) {
        Admission::Held(left) => {
            let detail = format!("request {request:016x}");
            Err(Error::new(Kind::Held, detail).with_retry_after(left))
        }
        admission => Ok(admission),
    }
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
                    let hold = Duration::from_millis(hold_ms.into());
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
        let hold_s = hold.as_secs();
        log::warn!(target: "crash", "Request {request:016x} has ended its servers, {server} last, and is held back for {hold_s} s.");
        spawn_local(publish(Rc::clone(shared), request, hold));
    }
    crash_ledger.held_for(request, now)
}

/// Writes a hold to the store, from where all hosts learn it.
async fn publish<A: Adapter>(shared: Rc<Shared<A>>, request: Fingerprint, hold: Duration) {
    for _ in 0..WRITE_ATTEMPTS {
        match write_hold(&shared, request, hold).await {
            Ok(()) => return,
            Err(fault) => {
                log::warn!(target: "crash", "The hold of request {request:016x} is not in the store yet: {fault:?}.");
            }
        }
        sleep(WRITE_PAUSE).await;
        let is_held = shared
            .crash_ledger
            .borrow()
            .held_for(request, Instant::now());
        if is_held.is_none() {
            return;
        }
    }
}

async fn write_hold<A: Adapter>(
    shared: &Shared<A>,
    request: Fingerprint,
    hold: Duration,
) -> std::result::Result<(), Fault> {
    let lease = shared.keys.grant(hold).await?;
    let record = HoldRecord {
        hold_ms: u64::try_from(hold.as_millis()).unwrap_or(u64::MAX),
    };
    let value = serde_json::to_vec(&record).map_err(|e| Fault::Unreachable(e.to_string()))?;
    let key = format!("{HOLD_PREFIX}{request:016x}");
    shared.hold_leases.borrow_mut().insert(request, lease);
    shared.keys.write(&key, Bytes::from(value), lease).await?;
    Ok(())
}
