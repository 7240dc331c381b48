//! Requests that end servers: what calls show of them, and where they may run.

use {
    crate::{
        adapter::Reply,
        connections::{self, AcquireError},
        crash_reports::{self, is_owner},
        exchange::{ExchangeTarget, FailedCall, OutgoingRequest},
        hold_store::{known_revision, publish, write_hold},
        shared::Shared,
        Adapter,
    },
    kind::{Error, Kind, Result},
    link::{Admission, Crash, Fingerprint, HoldState, LeftCall, ServiceNames},
    plan::Reason,
    replica::ReplicaKey,
    routing::ServiceName,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{task::spawn_local, time::sleep},
};
/// Pause between checks whether a server is lost to which a call was left.
const LEFT_CALL_CHECK_PAUSE: Duration = Duration::from_millis(250);
/// Time that callers are told to wait if a canary could not be counted.
const UNCOUNTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Forgets the revisions of the keys of holds after the store has returned from a copy,
/// whose revisions begin again. Missing and outdated keys are then written again by
/// [`keep_holds`](crate::hold_store::keep_holds), spread over hosts and time.
pub(crate) fn on_store_restored<A: Adapter>(shared: &Shared<A>) {
    let holds = shared.crash_ledger.borrow().held(Instant::now()).len();
    shared.written_holds.borrow_mut().clear();
    log::info!(target: "crash", "The store was restored; {holds} holds are compared with it.");
}

/// Where a request may run, and how.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Services at which the request may run, `None` for all.
    pub(crate) scope: Option<ServiceNames>,
    /// Whether it runs on one server of each service, without retries.
    pub(crate) is_canary: bool,
}

/// Records what the end of a call tells about its request.
pub(crate) fn on_call_ended<A: Adapter>(
    shared: &Rc<Shared<A>>,
    outgoing: &Rc<OutgoingRequest>,
    service: &ServiceName,
    server: ReplicaKey,
    result: &std::result::Result<Reply, FailedCall>,
) {
    match result {
        Ok(reply) if reply.metadata.is_not_executed => {}
        Ok(_) => on_answered(shared, outgoing, service),
        Err(failed) if failed.reply.is_some() => on_answered(shared, outgoing, service),
        Err(failed) if failed.is_connection_lost => {
            on_server_lost(shared, outgoing, service, server);
            on_server_gone(shared, server);
        }
        // Nothing, or another server, listens at the address of a server that has ended.
        Err(failed) if failed.failure.reason == Reason::Unreachable => {
            on_server_gone(shared, server);
        }
        Err(_) => {}
    }
}

/// Records that a server of `service` has answered a request.
pub(crate) fn on_answered<A: Adapter>(
    shared: &Rc<Shared<A>>,
    outgoing: &Rc<OutgoingRequest>,
    service: &ServiceName,
) {
    let mut evidence = outgoing.evidence.borrow_mut();
    evidence.answered.push(service.clone());
    let request = outgoing.fingerprint;
    let mut left_calls = shared.left_calls.borrow_mut();
    left_calls.on_answered(request, service);
    let mut crash_ledger = shared.crash_ledger.borrow_mut();
    if crash_ledger.on_answered(request, service) {
        log::info!(target: "crash", "Request {request:016x} was answered by {service} and may run there.");
        publish(shared, outgoing);
    }
}

fn on_server_lost<A: Adapter>(
    shared: &Rc<Shared<A>>,
    outgoing: &Rc<OutgoingRequest>,
    service: &ServiceName,
    server: ReplicaKey,
) {
    let mut evidence = outgoing.evidence.borrow_mut();
    evidence.lost += 1;
    if let Some(incarnation) = incarnation(shared, server) {
        let request = outgoing.fingerprint;
        record_loss(
            shared,
            request,
            service,
            server,
            incarnation,
            &evidence.answered,
        );
    }
}

/// Returns the name of the incarnation of a server, if the server is known.
fn incarnation<A: Adapter>(shared: &Shared<A>, server: ReplicaKey) -> Option<String> {
    let servers = shared.servers.borrow();
    let entry = servers.entry(server)?;
    let started_at_ms = entry.started_at_ms.unwrap_or_default();
    Some(format!("{}@{started_at_ms}", entry.id))
}

fn record_loss<A: Adapter>(
    shared: &Rc<Shared<A>>,
    request: Fingerprint,
    service: &ServiceName,
    server: ReplicaKey,
    incarnation: String,
    answered: &[ServiceName],
) {
    let now = Instant::now();
    let crash = Crash {
        service: service.clone(),
        server: incarnation,
        lost_at: now,
        replied_at: shared.servers.borrow().last_reply_at(server),
    };
    let mut crash_ledger = shared.crash_ledger.borrow_mut();
    if crash_ledger.on_server_lost(request, crash, answered, now) {
        spawn_local(crash_reports::report(Rc::clone(shared), request));
    }
}

/// Records that a call was sent to a server and left before its end. Counts the server's
/// loss against the request if the server is lost while it may run it.
pub(crate) fn on_call_left<A: Adapter>(
    shared: &Rc<Shared<A>>,
    outgoing: &Rc<OutgoingRequest>,
    service: &ServiceName,
    target: ExchangeTarget,
) {
    let (server, now) = (target.key, Instant::now());
    let started_at_ms = {
        let servers = shared.servers.borrow();
        // A server whose entry has gone without notice is lost, and does not leave.
        let entry = servers.entry(server).filter(|entry| {
            !servers.is_leaving(server) || servers.is_lost(server, entry.started_at_ms)
        });
        entry.map(|entry| entry.started_at_ms)
    };
    let (Some(started_at_ms), Some(incarnation)) = (started_at_ms, incarnation(shared, server))
    else {
        return;
    };
    let number = shared.next_number();
    let runs_until = outgoing.deadline.max(now);
    let call = LeftCall {
        request: outgoing.fingerprint,
        service: service.clone(),
        server,
        incarnation,
        answered: outgoing.evidence.borrow().answered.clone(),
        runs_until,
    };
    shared.left_calls.borrow_mut().add(number, call);
    let shared = Rc::clone(shared);
    spawn_local(async move {
        // A server does not run a call after its deadline, of which it was told.
        if now < runs_until {
            let replaced = connections::replace(&shared, server, target.max_connections).await;
            if matches!(replaced, Err(AcquireError::Unreachable)) {
                on_server_gone(&shared, server);
            }
        }
        let is_remembered = || {
            let mut left_calls = shared.left_calls.borrow_mut();
            left_calls.contains(number, Instant::now())
        };
        let mut is_watched = true;
        while is_remembered() {
            if is_watched && Instant::now() >= runs_until {
                is_watched = false;
                close_unused(&shared, server, now);
            }
            if has_ended(&shared, server, started_at_ms) {
                on_server_gone(&shared, server);
            }
            sleep(LEFT_CALL_CHECK_PAUSE).await;
        }
    });
}

/// Closes the idle connections to a server that has not answered anything since `left_at`.
fn close_unused<A: Adapter>(shared: &Shared<A>, server: ReplicaKey, left_at: Instant) {
    let replied_at = shared.servers.borrow().last_reply_at(server);
    if replied_at.is_none_or(|replied_at| replied_at < left_at) {
        shared.connections.borrow_mut().close_idle(server);
    }
}

/// Returns whether a server shows that it has ended without leaving: its entry is gone,
/// or it has closed idle connections.
fn has_ended<A: Adapter>(
    shared: &Shared<A>,
    server: ReplicaKey,
    started_at_ms: Option<u64>,
) -> bool {
    if shared.connections.borrow_mut().drop_closed(server) {
        shared.left_calls.borrow_mut().on_connection_closed(server);
    }
    let servers = shared.servers.borrow();
    let has_closed = shared.left_calls.borrow().has_closed_connection(server);
    servers.is_lost(server, started_at_ms) || (has_closed && !servers.is_leaving(server))
}

/// Counts the loss of a server against the requests whose calls to it were left.
fn on_server_gone<A: Adapter>(shared: &Rc<Shared<A>>, server: ReplicaKey) {
    let now = Instant::now();
    let lost = shared.left_calls.borrow_mut().take_lost(server, now);
    for call in lost {
        let request = call.request;
        log::info!(
            target: "crash",
            "Server {} of {} was lost after a call of request {request:016x} to it was left.",
            call.incarnation, call.service
        );
        record_loss(
            shared,
            request,
            &call.service,
            server,
            call.incarnation,
            &call.answered,
        );
    }
}

/// Decides where a request to `services` may run, and whether as a canary.
/// `is_enough` tells whether it is of use at that many of them.
///
/// A canary is counted in the store before it runs, so that no other host, and no host
/// that restarts, runs it once more.
///
/// # Errors
///
/// Returns [`Kind::Held`] if the request is held back.
pub(crate) async fn admit<A: Adapter>(
    shared: &Shared<A>,
    request: Fingerprint,
    services: &[ServiceName],
    is_enough: impl FnOnce(usize) -> bool,
) -> Result<Permit> {
    let admission = {
        let is_owner = || is_owner(shared, request);
        let mut crash_ledger = shared.crash_ledger.borrow_mut();
        crash_ledger.admit(request, services, is_enough, is_owner, Instant::now())
    };
    let retry_after = match admission {
        Admission::Run => {
            return Ok(Permit {
                scope: None,
                is_canary: false,
            })
        }
        Admission::RunAt(services) => {
            return Ok(Permit {
                scope: Some(services),
                is_canary: false,
            })
        }
        Admission::Canary(services) => {
            let is_counted = count_canary(shared, request).await;
            log::info!(target: "crash", "A canary of request {request:016x} {}.",
                if is_counted { "runs" } else { "could not be counted and does not run" });
            if is_counted {
                return Ok(Permit {
                    scope: Some(services),
                    is_canary: true,
                });
            }
            UNCOUNTED_RETRY_AFTER
        }
        Admission::Held(wait) => wait,
    };
    let detail = format!(
        "request {request:016x} is tried again on one server in {} ms, and runs if it is answered",
        retry_after.as_millis()
    );
    Err(Error::new(Kind::Held, detail).with_retry_after(retry_after))
}

/// Returns the services at which a request of a peer may run here, `None` for all.
pub(crate) fn relay_scope<A: Adapter>(
    shared: &Shared<A>,
    request: Fingerprint,
    services: &[ServiceName],
) -> Option<ServiceNames> {
    let now = Instant::now();
    let crash_ledger = shared.crash_ledger.borrow();
    crash_ledger.held_for(request, now)?;
    let proven = services
        .iter()
        .filter(|service| !crash_ledger.is_held_at(request, service, now));
    Some(proven.cloned().collect())
}

/// Counts a canary where all hosts see it, and returns whether it may run.
async fn count_canary<A: Adapter>(shared: &Shared<A>, request: Fingerprint) -> bool {
    // A hold that is not in the store yet has no canaries.
    let is_stored = known_revision(shared, request) > 0;
    let state = hold_state(shared, request).filter(|_| is_stored);
    let written = match state {
        Some(state) => write_hold(shared, request, state).await,
        None => Ok(false),
    };
    if written != Ok(true) {
        let mut crash_ledger = shared.crash_ledger.borrow_mut();
        crash_ledger.on_canary_not_run(request, Instant::now());
    }
    written == Ok(true)
}

/// Takes back a canary that no server has run, or that all its services have answered.
pub(crate) fn on_canary_ended<A: Adapter>(
    shared: &Rc<Shared<A>>,
    outgoing: &Rc<OutgoingRequest>,
    scope: &ServiceNames,
    has_not_run: bool,
) {
    let request = outgoing.fingerprint;
    let now = Instant::now();
    let mut crash_ledger = shared.crash_ledger.borrow_mut();
    let is_answered = scope
        .iter()
        .all(|service| !crash_ledger.is_held_at(request, service, now));
    if has_not_run {
        crash_ledger.on_canary_not_run(request, now);
    } else if is_answered {
        crash_ledger.on_canary_answered(request);
    } else {
        return;
    }
    publish(shared, outgoing);
}

pub(crate) fn hold_state<A: Adapter>(
    shared: &Shared<A>,
    request: Fingerprint,
) -> Option<HoldState> {
    let crash_ledger = shared.crash_ledger.borrow();
    crash_ledger.hold_state(request, Instant::now())
}
