//! The way of a query from the entry to a relay.
//!
//! A relay that is lost, drains or lags leads to the next one, as long as the
//! request may be repeated or provably did not run. What a relay refuses for
//! lack of capacity is final: another relay would queue for the same slots.

use {
    crate::{
        peer::{Lost, Verdict},
        relay,
        relay_sets::{shard_of, RelaySet},
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

/// Time that an entry keeps for itself out of a deadline, in milliseconds.
const OWN_SHARE_MS: u64 = 2;
/// Number of shards that the choices are kept in, each under its own lock.
const SHARDS: usize = 8;

/// What the entry remembers of the relays, in shards by service.
#[derive(Default)]
pub(crate) struct Choices([Mutex<RelaySelector>; SHARDS]);

impl Choices {
    fn of(&self, service: &str) -> &Mutex<RelaySelector> {
        &self.0[shard_of(service) % SHARDS]
    }
}

/// Marks a forward as in flight, also if nobody waits for its end.
struct Forward<'a> {
    choice: &'a Mutex<RelaySelector>,
    id: &'a HostId,
    outcome: Outcome,
}

impl<'a> Forward<'a> {
    fn begin(choice: &'a Mutex<RelaySelector>, id: &'a HostId) -> Self {
        choice.lock().on_sent(id);
        Self {
            choice,
            id,
            outcome: Outcome::Dropped,
        }
    }
}

impl Drop for Forward<'_> {
    fn drop(&mut self) {
        let mut choice = self.choice.lock();
        choice.on_done(self.id, self.outcome, Instant::now());
    }
}

/// Runs the query here if this host is a relay of the service, else on a relay.
pub(crate) async fn send_to_relay(
    shared: &Arc<Shared>,
    route: &Route,
    mut call: QueryCall,
    deadline: Instant,
) -> Result<QueryAnswer> {
    let service = shared.in_force().service(&route.service)?;
    let set = shared.relay_sets.of(shared, &service);
    let choice = shared.choices.of(&route.service);
    let fingerprint = link::fingerprint(&route.name, call.query.get());
    let mut queue = in_turn(shared, choice, &set, fingerprint);
    let mut retried = None;
    let mut last_error = Error::new(Kind::HostLost, "no relay is known").with_ran(Ran::No);
    while let Some(relay) = queue.pop_front() {
        call.time_left_ms = time_left_ms(deadline).map_err(|e| e.with_ran(last_error.ran()))?;
        let attempt = try_relay(shared, choice, relay, &call, deadline).await;
        match attempt {
            Ok(mut answer) => {
                if answer.coverage.is_complete() {
                    shared.canaries.quarantine.on_success(fingerprint);
                }
                // A relay that was lost before may have run the request.
                answer.ran = last_error.ran().and(answer.ran);
                return Ok(answer);
            }
            Err(lost) => {
                let may_try_next = may_try_next(route, &lost.error);
                last_error = combine(&last_error, lost.error);
                if !may_try_next {
                    return Err(last_error);
                }
                // The host is fine, only the connection to it was not.
                if lost.verdict == Verdict::OldConnection && retried != Some(&relay.id) {
                    retried = Some(&relay.id);
                    queue.push_front(relay);
                }
            }
        }
    }
    Err(last_error)
}

async fn try_relay(
    shared: &Arc<Shared>,
    choice: &Mutex<RelaySelector>,
    relay: &Member,
    call: &QueryCall,
    deadline: Instant,
) -> Result<QueryAnswer, Lost> {
    let mut forward = Forward::begin(choice, &relay.id);
    let result = if relay.id == shared.settings.member.id {
        Ok(relay::serve(shared, call.clone()).await)
    } else {
        let addr = relay.peer_addr;
        shared
            .peers
            .query(shared, addr, call.clone(), deadline)
            .await
    };
    let answer = match result {
        Ok(answer) => answer,
        Err(lost) => {
            forward.outcome = Outcome::Failed;
            shared.metrics.on_forward("lost");
            if lost.verdict == Verdict::Silent {
                shared.members.on_silence(&relay.id);
            }
            return Err(lost);
        }
    };
    let is_refused = matches!(&answer, Err(e) if is_about_host(e.kind()));
    forward.outcome = if is_refused {
        Outcome::Failed
    } else {
        Outcome::Answered
    };
    let name = answer
        .as_ref()
        .map_or_else(|e| e.kind().answer().name, |_| "ok");
    shared.metrics.on_forward(name);
    let checked = answer.and_then(|answer| checked(answer, call));
    checked.map_err(|error| Lost {
        error,
        verdict: Verdict::Unknown,
    })
}

fn checked(answer: QueryAnswer, call: &QueryCall) -> Result<QueryAnswer> {
    if answer.request_id == call.request_id {
        return Ok(answer);
    }
    Err(Error::new(
        Kind::Internal,
        "the relay answered another request",
    ))
}

/// Returns the error of an attempt with what all attempts together say of execution.
fn combine(earlier: &Error, error: Error) -> Error {
    let ran = earlier.ran().and(error.ran());
    error.with_ran(ran)
}

fn may_try_next(route: &Route, error: &Error) -> bool {
    is_about_host(error.kind()) && (route.repeatable || error.ran() == Ran::No)
}

fn is_about_host(kind: Kind) -> bool {
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

/// Orders the relays: the fine ones, then the spares, then the suspected ones.
///
/// A request that no host knows as harmless goes to the relay with the
/// greatest weight for it, so that one host counts its crashes.
fn in_turn<'a>(
    shared: &Shared,
    choice: &Mutex<RelaySelector>,
    set: &'a RelaySet,
    fingerprint: Fingerprint,
) -> VecDeque<&'a Member> {
    let own = &shared.settings.member;
    let now = Instant::now();
    let mut relays = choice.lock().order(&set.relays, own, now, &mut rand::rng());
    if !shared.canaries.quarantine.is_known_good(fingerprint) {
        relays.sort_by_key(|relay| Reverse(link::owner_weight(fingerprint, &relay.id)));
    }
    let view = shared.members.view();
    let (suspect, fine): (Vec<_>, Vec<_>) = relays
        .into_iter()
        .partition(|relay| view.suspects.contains(&relay.id));
    fine.into_iter().chain(&set.spares).chain(suspect).collect()
}

fn time_left_ms(deadline: Instant) -> Result<u64> {
    let left = deadline.saturating_duration_since(Instant::now());
    let left = left.saturating_sub(Duration::from_millis(OWN_SHARE_MS));
    match u64::try_from(left.as_millis()) {
        Ok(0) | Err(_) => Err(Error::new(
            Kind::TooLate,
            "no time is left for the upstreams",
        )),
        Ok(left_ms) => Ok(left_ms),
    }
}
