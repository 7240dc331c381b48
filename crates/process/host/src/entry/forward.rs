//! Forwards a query from the entry to a relay.
//!
//! If a relay is unreachable, draining or behind in its configuration, the
//! next relay is tried, provided that the request is repeatable or provably
//! did not run. A refusal for lack of capacity is final, because another relay
//! would queue for the same upstream slots.

use {
    crate::{
        peer::{CallFailure, PeerHealth},
        relay,
        relay_sets::{lock_stripe_of, RelaySet},
        shared::Shared,
    },
    fleet::{Member, Outcome, QueryAnswer, QueryCall, RelaySelector},
    kind::{Error, Kind, Ran, Result},
    link::Fingerprint,
    parking_lot::Mutex,
    record::{HostId, Route},
    std::{
        cmp::Reverse,
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Part of the deadline that is reserved for the entry's own work, in milliseconds.
const ENTRY_RESERVE_MS: u64 = 2;
/// Number of independently locked stripes of [`RelaySelectors`].
const LOCK_STRIPES: usize = 8;

/// Relay statistics that guide the selection, in lock stripes by service name.
#[derive(Default)]
pub(crate) struct RelaySelectors([Mutex<RelaySelector>; LOCK_STRIPES]);

impl RelaySelectors {
    fn get(&self, service: &str) -> &Mutex<RelaySelector> {
        &self.0[lock_stripe_of(service) % LOCK_STRIPES]
    }
}

/// Counts a forward as in flight until dropped, which also covers cancelled forwards.
struct ForwardGuard<'a> {
    selector: &'a Mutex<RelaySelector>,
    id: &'a HostId,
    outcome: Outcome,
}

impl<'a> ForwardGuard<'a> {
    fn start(selector: &'a Mutex<RelaySelector>, id: &'a HostId) -> Self {
        selector.lock().on_sent(id);
        Self {
            selector,
            id,
            outcome: Outcome::Dropped,
        }
    }
}

impl Drop for ForwardGuard<'_> {
    fn drop(&mut self) {
        let mut selector = self.selector.lock();
        selector.on_done(self.id, self.outcome, Instant::now());
    }
}

/// Sends the query to a relay of the service and returns its answer.
///
/// The query runs in this process if this host is the selected relay.
///
/// # Errors
///
/// Returns the error of the last relay that was tried, [`Kind::TooLate`] if the
/// deadline leaves no time for the upstreams, or an error if the service is unknown.
pub(crate) async fn send_to_relay(
    shared: &Arc<Shared>,
    route: &Route,
    mut call: QueryCall,
    deadline: Instant,
) -> Result<QueryAnswer> {
    let service = shared.in_force().service(&route.service)?;
    let set = shared.relay_sets.get(shared, &service);
    let selector = shared.relay_selectors.get(&route.service);
    let fingerprint = link::fingerprint(&route.name, call.query.get());
    let mut candidates = relays_in_order(shared, selector, &set, fingerprint);
    let mut retried = None;
    let mut last_error =
        Error::new(Kind::HostLost, "no relay is known for the service").with_ran(Ran::No);
    while let Some(relay) = candidates.pop_front() {
        call.time_left_ms = time_left_ms(deadline).map_err(|e| e.with_ran(last_error.ran()))?;
        let attempt = try_relay(shared, selector, relay, &call, deadline).await;
        match attempt {
            Ok(mut answer) => {
                if answer.coverage.is_complete() {
                    shared.canaries.quarantine.on_success(fingerprint);
                }
                // An earlier relay that was lost may have run the request.
                answer.ran = last_error.ran().and(answer.ran);
                return Ok(answer);
            }
            Err(failure) => {
                let may_try_next = may_try_next(route, &failure.error);
                last_error = with_combined_ran(&last_error, failure.error);
                if !may_try_next {
                    return Err(last_error);
                }
                // Only the old connection failed; the host answers on a fresh one.
                if failure.health == PeerHealth::OldConnection && retried != Some(&relay.id) {
                    retried = Some(&relay.id);
                    candidates.push_front(relay);
                }
            }
        }
    }
    Err(last_error)
}

async fn try_relay(
    shared: &Arc<Shared>,
    selector: &Mutex<RelaySelector>,
    relay: &Member,
    call: &QueryCall,
    deadline: Instant,
) -> Result<QueryAnswer, CallFailure> {
    let mut guard = ForwardGuard::start(selector, &relay.id);
    let result = if relay.id == shared.settings.member.id {
        Ok(relay::run_query(shared, call.clone()).await)
    } else {
        let addr = relay.peer_addr;
        shared
            .peers
            .query(shared, addr, call.clone(), deadline)
            .await
    };
    let answer = match result {
        Ok(answer) => answer,
        Err(failure) => {
            guard.outcome = Outcome::Failed;
            shared.metrics.on_forward("lost");
            if failure.health == PeerHealth::Silent {
                shared.members.on_no_response(&relay.id);
            }
            return Err(failure);
        }
    };
    let is_refused = matches!(&answer, Err(e) if is_host_error(e.kind()));
    guard.outcome = if is_refused {
        Outcome::Failed
    } else {
        Outcome::Answered
    };
    let name = answer
        .as_ref()
        .map_or_else(|e| e.kind().answer().name, |_| "ok");
    shared.metrics.on_forward(name);
    let verified = answer.and_then(|answer| verify_request_id(answer, call));
    verified.map_err(|error| CallFailure {
        error,
        health: PeerHealth::Unknown,
    })
}

fn verify_request_id(answer: QueryAnswer, call: &QueryCall) -> Result<QueryAnswer> {
    if answer.request_id == call.request_id {
        return Ok(answer);
    }
    Err(Error::new(
        Kind::Internal,
        "the relay's answer carries the id of another request",
    ))
}

/// Returns `error` with the execution state that follows from all attempts so far.
fn with_combined_ran(earlier: &Error, error: Error) -> Error {
    let ran = earlier.ran().and(error.ran());
    error.with_ran(ran)
}

fn may_try_next(route: &Route, error: &Error) -> bool {
    is_host_error(error.kind()) && (route.repeatable || error.ran() == Ran::No)
}

fn is_host_error(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::HostLost
            | Kind::Draining
            | Kind::NotReady
            | Kind::BadPeer
            | Kind::UnknownVersion
            | Kind::UnknownRoute
            | Kind::UnknownRecord
    )
}

/// Returns the hosts to try, in order: healthy relays, spares, suspected relays.
///
/// A request whose fingerprint has no known success is sent first to the relay
/// with the greatest weight for that fingerprint, so that a single host counts
/// the upstream crashes that it causes.
fn relays_in_order<'a>(
    shared: &Shared,
    selector: &Mutex<RelaySelector>,
    set: &'a RelaySet,
    fingerprint: Fingerprint,
) -> VecDeque<&'a Member> {
    let own = &shared.settings.member;
    let now = Instant::now();
    let mut relays = selector
        .lock()
        .order(&set.relays, own, now, &mut rand::rng());
    if !shared.canaries.quarantine.is_known_good(fingerprint) {
        relays.sort_by_key(|relay| Reverse(link::owner_weight(fingerprint, &relay.id)));
    }
    let view = shared.members.view();
    let (suspect, healthy): (Vec<_>, Vec<_>) = relays
        .into_iter()
        .partition(|relay| view.suspects.contains(&relay.id));
    healthy
        .into_iter()
        .chain(&set.spares)
        .chain(suspect)
        .collect()
}

fn time_left_ms(deadline: Instant) -> Result<u64> {
    let left = deadline.saturating_duration_since(Instant::now());
    let left = left.saturating_sub(Duration::from_millis(ENTRY_RESERVE_MS));
    match u64::try_from(left.as_millis()) {
        Ok(0) | Err(_) => Err(Error::new(
            Kind::TooLate,
            "the deadline leaves no time for the upstreams",
        )),
        Ok(left_ms) => Ok(left_ms),
    }
}
