//! The gates of this relay, one for each service, each under its own lock.
//!
//! A query waits here before any upstream is touched. Whatever ends it gives
//! its place back: the answer through [`Place::complete`], everything else,
//! the caller's going away included, through the drop of its [`Place`].

use {
    crate::shared::Shared,
    admit::{Action, Bounds, Config, DelayAimd, Gate, Offer, Refusal, Shown, Ticket},
    fleet::QueryCall,
    kind::{Error, Result},
    parking_lot::{Mutex, RwLock},
    plan::Reason,
    record::{ByRank, InForce, Rank, Revision, Service},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{select, sync::oneshot, time::sleep_until},
};

/// Shortest pause between two looks at the deadline of a waiting query.
const MIN_WAIT: Duration = Duration::from_millis(1);

type Verdict = std::result::Result<(), Refusal>;

/// The gates of all services.
#[derive(Default)]
pub(crate) struct Gates(RwLock<HashMap<String, Arc<ServiceGate>>>);

struct ServiceGate(Mutex<GateState>);

struct GateState {
    gate: Gate<DelayAimd>,
    built_for: BuiltFor,
    waiters: HashMap<Ticket, oneshot::Sender<Verdict>>,
    next_ticket: Ticket,
}

/// What floors and bounds were computed for.
#[derive(Clone, Copy, Eq, PartialEq)]
struct BuiltFor {
    revision: Revision,
    relays: usize,
}

/// A query's place at a gate, given back when dropped.
pub(crate) struct Place {
    gate: Arc<ServiceGate>,
    rank: Rank,
    ticket: Ticket,
}

/// What the leaf calls of one query showed.
#[derive(Default)]
pub(crate) struct Tally(Mutex<LeafCounts>);

#[derive(Default)]
struct LeafCounts {
    latencies: Vec<Duration>,
    sheds: u32,
}

/// Waits until the gate of `service` admits a query.
///
/// # Errors
///
/// Returns [`kind::Kind::Overloaded`] or [`kind::Kind::TooLate`]; the query has not run.
pub(crate) async fn admit(
    shared: &Shared,
    service: &Service,
    call: &QueryCall,
    deadline: Instant,
) -> Result<Place> {
    let began = Instant::now();
    let gate = shared.gates.get(shared, service);
    let (place, verdict) = gate.offer(call, deadline, began);
    let verdict = place.wait(verdict, deadline).await;
    let window = gate.0.lock().gate.window();
    shared.metrics.on_gate_window(&service.name, window);
    match verdict {
        Ok(()) => {
            let wait = began.elapsed();
            shared.metrics.on_gate_admit(&service.name, call.rank, wait);
            Ok(place)
        }
        Err(refusal) => {
            let error = Error::from(refusal);
            let kind = error.kind().answer().name;
            shared
                .metrics
                .on_gate_refusal(&service.name, call.rank, kind);
            Err(error)
        }
    }
}

impl Gates {
    fn get(&self, shared: &Shared, service: &Service) -> Arc<ServiceGate> {
        let in_force = shared.in_force();
        let built_for = BuiltFor {
            revision: in_force.revision(),
            relays: relay_count(shared, service),
        };
        let found = self.0.read().get(&service.name).cloned();
        let gate = found.unwrap_or_else(|| {
            let mut gates = self.0.write();
            let name = service.name.clone();
            let gate = gates
                .entry(name)
                .or_insert_with(|| Arc::new(ServiceGate::new(&in_force, service, built_for)));
            Arc::clone(gate)
        });
        gate.refresh(&in_force, service, built_for);
        gate
    }
}

impl ServiceGate {
    fn new(in_force: &InForce, service: &Service, built_for: BuiltFor) -> Self {
        let config = Config::default().floor_share(floors(in_force, service));
        let window = DelayAimd::new(bounds(service, built_for.relays));
        Self(Mutex::new(GateState {
            gate: Gate::new(config, window),
            built_for,
            waiters: HashMap::new(),
            next_ticket: 1,
        }))
    }

    /// Follows changes of the records and of the number of relays.
    fn refresh(&self, in_force: &InForce, service: &Service, built_for: BuiltFor) {
        let mut state = self.0.lock();
        if state.built_for == built_for {
            return;
        }
        state.built_for = built_for;
        state.gate.set_floor_share(floors(in_force, service));
        state.gate.set_bounds(bounds(service, built_for.relays));
    }

    fn offer(
        self: &Arc<Self>,
        call: &QueryCall,
        deadline: Instant,
        now: Instant,
    ) -> (Place, oneshot::Receiver<Verdict>) {
        let (sender, verdict) = oneshot::channel();
        let mut state = self.0.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiters.insert(ticket, sender);
        let offer = Offer {
            ticket,
            rank: call.rank,
            tenant: call.tenant.clone(),
            deadline,
        };
        let actions = state.gate.offer(offer, now);
        state.apply(&actions);
        let place = Place {
            gate: Arc::clone(self),
            rank: call.rank,
            ticket,
        };
        (place, verdict)
    }
}

impl GateState {
    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            let (ticket, verdict) = match action {
                Action::Admit(ticket) => (ticket, Ok(())),
                Action::Refuse(ticket, refusal) => (ticket, Err(*refusal)),
            };
            if let Some(waiter) = self.waiters.remove(ticket) {
                // A waiter that is gone gives its place back by itself.
                let _ = waiter.send(verdict);
            }
        }
    }
}

impl Place {
    /// Ends the query with what its upstreams showed.
    pub(crate) fn complete(self, tally: Tally) {
        let counts = tally.0.into_inner();
        let shown = Shown::new(counts.latencies, counts.sheds);
        let mut state = self.gate.0.lock();
        let actions = state.gate.complete(self.ticket, &shown, Instant::now());
        state.apply(&actions);
    }

    async fn wait(&self, mut verdict: oneshot::Receiver<Verdict>, deadline: Instant) -> Verdict {
        loop {
            let service_time = self.gate.0.lock().gate.service_time(self.rank);
            let latest_start = deadline.checked_sub(service_time).unwrap_or(deadline);
            let wake = latest_start.max(Instant::now() + MIN_WAIT);
            select! {
                biased;
                // The sender lives until it has sent, so the channel cannot close before.
                Ok(verdict) = &mut verdict => return verdict,
                () = sleep_until(wake.into()) => {
                    let mut state = self.gate.0.lock();
                    let actions = state.gate.wake(Instant::now());
                    state.apply(&actions);
                }
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.gate.0.lock();
        state.waiters.remove(&self.ticket);
        // Without effect if the query was completed or refused.
        let actions = state.gate.cancel(self.ticket, Instant::now());
        state.apply(&actions);
    }
}

impl Tally {
    /// Counts a leaf call that took `took` and failed for `failed`, if it did.
    pub(crate) fn add(&self, took: Duration, failed: Option<Reason>) {
        let mut counts = self.0.lock();
        match failed {
            None => counts.latencies.push(took),
            Some(Reason::Shed) => counts.sheds += 1,
            Some(_) => {}
        }
    }
}

fn relay_count(shared: &Shared, service: &Service) -> usize {
    let members = shared.members.all().len().max(1);
    let wanted = service.relays.map(|relays| relays as usize);
    wanted
        .or(shared.settings.default_relays)
        .map_or(members, |relays| relays.min(members))
}

/// Returns the bounds of the window from the slots of the scarcest shard.
fn bounds(service: &Service, relays: usize) -> Bounds {
    let servers = service
        .indexes
        .first()
        .and_then(|index| index.shards.iter().map(|shard| shard.servers.len()).min())
        .unwrap_or(1);
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    Bounds::for_slots(servers.saturating_mul(service.slots), relays)
}

/// Returns the floors of a service: for each rank the largest of its routes,
/// scaled down where they exceed the whole.
fn floors(in_force: &InForce, service: &Service) -> ByRank<f64> {
    let routes = || in_force.routes().filter(|r| r.service == service.name);
    let largest = |rank: Rank| {
        let shares = routes().map(|route| *route.floor_share.get(rank));
        shares.fold(0.0, f64::max)
    };
    let total: f64 = Rank::ALL.into_iter().map(largest).sum();
    ByRank::from_fn(|rank| largest(rank) / total.max(1.0))
}
