//! Permits for the requests of workspaces with a quota.
//!
//! Requests wait here until the issuer of their slot has answered. The module
//! `quota_issuer` holds the slots for which this host is the issuer or its deputy.

use {
    crate::{
        exchange::OutgoingRequest,
        peer::{self, PermitCall, PROTOCOL_VERSION},
        quota_issuer::{self, KnownRecord, Role},
        shared::Shared,
        Adapter,
    },
    fleet::Member,
    kind::{Error, Kind, Result},
    quota::{Limits, Outcome, Slot, Term, Waiting, MAX_USE_DELAY},
    record::HostId,
    routing::{Quota, Workspace},
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, VecDeque},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{StoreEra, StorePosition, StoreRevision},
    tokio::{
        select,
        sync::{oneshot, Mutex, Notify},
        task::spawn_local,
        time::{sleep, sleep_until, timeout_at},
    },
};

/// Longest time for which a call for permits waits for its answer. Permits that arrive
/// later could not be used.
const CALL_TIMEOUT: Duration = MAX_USE_DELAY;
/// Pause after a call for permits that was not answered in time.
const FAILURE_PAUSE: Duration = Duration::from_millis(40);
/// Pause after a call in which some permits were neither granted nor refused.
const UNDECIDED_PAUSE: Duration = Duration::from_millis(15);
/// Time for which a host that did not answer is not named as a deputy.
const UNREACHABLE_MEMORY: Duration = Duration::from_secs(10);
/// Value of `Retry-After` while no issuer responds: the time that a deputy needs to
/// take over.
const NO_ISSUER_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Time of waiting that is left in any case, if the median of the route's latency
/// leaves none.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Longest time for which a request that has a connection to a server waits for another
/// permit.
const MAX_RENEWAL_WAIT: Duration = Duration::from_millis(300);

type Ticket = oneshot::Sender<Outcome>;

/// What a host knows and does for one slot.
pub(crate) struct SlotState {
    pub(crate) slot: Slot,
    /// The key of the slot, `None` while no host holds it.
    pub(crate) record: RefCell<Option<KnownRecord>>,
    /// Time at which the key was written or removed last.
    pub(crate) changed_at: Cell<Instant>,
    /// Position at which the key was removed last.
    pub(crate) removed_position: Cell<StorePosition>,
    /// Era in which this host has known a holder of the slot last.
    pub(crate) held_era: Cell<Option<StoreEra>>,
    pub(crate) role: RefCell<Role>,
    /// Terms of issuers whose messages this host no longer confirms.
    pub(crate) fenced: RefCell<VecDeque<Term>>,
    /// Notified when the key or the role of this host changes.
    pub(crate) changed: Notify,
    /// Notified when permits wait for a copy to the deputy.
    pub(crate) copy_due: Notify,
    /// Notified when the deputy has confirmed a copy.
    pub(crate) confirmed: Notify,
    /// Whether the busy workspaces of the slot are being recorded.
    pub(crate) is_recording: Cell<bool>,
    /// Era and revision of the record, if this host wrote it last.
    pub(crate) busy_revision: Cell<Option<(Option<StoreEra>, StoreRevision)>>,
    waiting: RefCell<Waiting<Ticket>>,
    is_calling: Cell<bool>,
    /// Time since which calls of this host have not been answered.
    failing_since: Cell<Option<Instant>>,
}

impl SlotState {
    fn new(slot: Slot) -> Self {
        Self {
            slot,
            record: RefCell::default(),
            changed_at: Cell::new(Instant::now()),
            removed_position: Cell::default(),
            held_era: Cell::new(None),
            role: RefCell::new(Role::None),
            fenced: RefCell::default(),
            changed: Notify::new(),
            copy_due: Notify::new(),
            confirmed: Notify::new(),
            is_recording: Cell::new(false),
            busy_revision: Cell::new(None),
            waiting: RefCell::default(),
            is_calling: Cell::new(false),
            failing_since: Cell::new(None),
        }
    }
}

/// The state of a host for all slots.
pub(crate) struct Quotas {
    slots: Vec<Rc<SlotState>>,
    /// Hosts that did not answer, and when. The store lists a lost host for some time.
    unreachable: RefCell<HashMap<HostId, Instant>>,
}

impl Default for Quotas {
    fn default() -> Self {
        let slots = Slot::all().map(|slot| Rc::new(SlotState::new(slot)));
        Self {
            slots: slots.collect(),
            unreachable: RefCell::default(),
        }
    }
}

impl Quotas {
    /// Returns the state of a slot.
    pub(crate) fn slot(&self, slot: Slot) -> &Rc<SlotState> {
        &self.slots[slot.index()]
    }

    /// Records that a host did not answer.
    pub(crate) fn on_unreachable(&self, id: &HostId) {
        let now = Instant::now();
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.retain(|_, at| now.saturating_duration_since(*at) < UNREACHABLE_MEMORY);
        unreachable.insert(id.clone(), now);
    }

    /// Returns whether a host did not answer a short time ago.
    pub(crate) fn is_unreachable(&self, id: &HostId, now: Instant) -> bool {
        let unreachable = self.unreachable.borrow();
        let at = unreachable.get(id);
        at.is_some_and(|at| now.saturating_duration_since(*at) < UNREACHABLE_MEMORY)
    }

    /// Returns the number of slots of which this host is the issuer.
    pub(crate) fn held_slots(&self) -> u32 {
        let is_held = |state: &&Rc<SlotState>| matches!(&*state.role.borrow(), Role::Issuer(_));
        u32::try_from(self.slots.iter().filter(is_held).count()).unwrap_or_default()
    }
}

/// Whether a request has a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PermitState {
    /// The request needs none.
    NotNeeded,
    /// The request may be sent first until this time, which has passed if it never had
    /// a permit.
    UseBy(Instant),
    /// The request has been sent. Further calls of it need none.
    Used,
}

/// The permit of a request.
#[derive(Debug)]
pub(crate) struct RequestPermit {
    state: Cell<PermitState>,
    /// Held while a permit is requested, so that the parts of a query share one.
    request: Mutex<()>,
}

impl RequestPermit {
    /// Creates the state of a request that has no permit yet, or needs none.
    pub(crate) fn new<A: Adapter>(shared: &Shared<A>, workspace: Option<&Workspace>) -> Self {
        let needs_permit = quota_of(shared, workspace).is_some();
        Self::with_state(if needs_permit {
            PermitState::UseBy(Instant::now())
        } else {
            PermitState::NotNeeded
        })
    }

    /// Creates the state of a request for which a relay got a permit that it may use
    /// for `time_left`; `None` if it needs none.
    pub(crate) fn relayed(time_left: Option<Duration>) -> Self {
        let use_by = time_left.map(|time_left| Instant::now() + time_left);
        Self::with_state(use_by.map_or(PermitState::NotNeeded, PermitState::UseBy))
    }

    fn with_state(state: PermitState) -> Self {
        Self {
            state: Cell::new(state),
            request: Mutex::new(()),
        }
    }

    /// Returns the time for which a relay may use the permit, `None` if it needs none.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        match self.state.get() {
            PermitState::NotNeeded | PermitState::Used => None,
            PermitState::UseBy(use_by) => Some(use_by.saturating_duration_since(Instant::now())),
        }
    }

    fn is_usable(&self) -> bool {
        match self.state.get() {
            PermitState::NotNeeded | PermitState::Used => true,
            PermitState::UseBy(use_by) => Instant::now() < use_by,
        }
    }

    /// Checks that the request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoPermit`] if its permit has expired meanwhile.
    pub(crate) fn check(&self) -> Result<()> {
        if self.is_usable() {
            return Ok(());
        }
        let detail = "the permit was not used in time";
        Err(Error::new(Kind::NoPermit, detail).with_retry_after(MIN_WAIT))
    }

    /// Records that the request is being sent; returns what to pass to
    /// [`on_unsent`](Self::on_unsent) if it was not.
    pub(crate) fn on_sent(&self) -> UnusedPermit {
        let state = self.state.get();
        if state != PermitState::NotNeeded {
            self.state.set(PermitState::Used);
        }
        UnusedPermit(state)
    }

    /// Records that the request was not sent after all.
    pub(crate) fn on_unsent(&self, before: UnusedPermit) {
        self.state.set(before.0);
    }
}

/// State of a permit before an attempt to send its request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnusedPermit(PermitState);

/// Returns the quota that applies to requests of a workspace.
fn quota_of<A: Adapter>(shared: &Shared<A>, workspace: Option<&Workspace>) -> Option<Quota> {
    shared.settings.quota_limits?;
    workspace?.quota
}

/// Waits for a permit for a request, unless it has one or needs none.
///
/// # Errors
///
/// Returns [`Kind::QuotaExceeded`] if the workspace exceeds its quota, and
/// [`Kind::NoPermit`] if no issuer has answered until `until`.
pub(crate) async fn acquire<A: Adapter>(
    shared: &Rc<Shared<A>>,
    outgoing: &OutgoingRequest,
    until: Instant,
) -> Result<()> {
    let permit = &outgoing.permit;
    if permit.is_usable() {
        return Ok(());
    }
    let _request = permit.request.lock().await;
    let Some(workspace) = outgoing.workspace.as_ref().filter(|_| !permit.is_usable()) else {
        return Ok(());
    };
    let (ticket, outcome) = oneshot::channel();
    let state = Rc::clone(shared.quotas.slot(Slot::of(&workspace.name)));
    let name = Arc::clone(&workspace.name);
    state.waiting.borrow_mut().push(name, until, ticket);
    if !state.is_calling.replace(true) {
        spawn_local(call_issuer(Rc::clone(shared), state));
    }
    match timeout_at(until.into(), outcome).await {
        Ok(Ok(Outcome::Granted(use_by))) => {
            shared.metrics.on_permit("granted");
            permit.state.set(PermitState::UseBy(use_by));
            Ok(())
        }
        Ok(Ok(Outcome::Limited(retry_after))) => {
            shared.metrics.on_permit("limited");
            let detail = format!("workspace {}", workspace.name);
            Err(Error::new(Kind::QuotaExceeded, detail).with_retry_after(retry_after))
        }
        Ok(Err(_)) | Err(_) => {
            shared.metrics.on_permit("no-issuer");
            let detail = format!("no issuer has answered for workspace {}", workspace.name);
            Err(Error::new(Kind::NoPermit, detail).with_retry_after(NO_ISSUER_RETRY_AFTER))
        }
    }
}

/// Waits for another permit if that of a request has expired while it waited for a
/// connection.
///
/// # Errors
///
/// Returns the errors of [`acquire`].
pub(crate) async fn renew<A: Adapter>(
    shared: &Rc<Shared<A>>,
    outgoing: &OutgoingRequest,
) -> Result<()> {
    let until = Instant::now() + MAX_RENEWAL_WAIT;
    acquire(shared, outgoing, until.min(outgoing.deadline)).await
}

/// Returns the time until which a request can wait for a permit: the time at which its
/// answer is due, less the usual latency of its route.
pub(crate) fn wait_limit<A: Adapter>(
    shared: &Shared<A>,
    outgoing: &OutgoingRequest,
    answer_at: Instant,
) -> Instant {
    let median_ms = shared
        .latency_medians
        .borrow()
        .median_ms(&outgoing.route.name);
    let latency = Duration::try_from_secs_f64(median_ms / 1_000.0).unwrap_or_default();
    let latest = answer_at.checked_sub(latency).unwrap_or(answer_at);
    latest.max(Instant::now() + MIN_WAIT).min(outgoing.deadline)
}

/// Calls the issuer of a slot, one call at a time, until no request waits.
async fn call_issuer<A: Adapter>(shared: Rc<Shared<A>>, state: Rc<SlotState>) {
    let mut attempt = 0;
    loop {
        {
            let mut waiting = state.waiting.borrow_mut();
            waiting.remove_gone(oneshot::Sender::is_closed);
            // Dropping a ticket ends the wait of its request.
            waiting.take_expired(Instant::now());
            if waiting.is_empty() {
                state.is_calling.set(false);
                return;
            }
        }
        let Some(target) = target(&state, attempt) else {
            attempt = 0;
            pause(&state, FAILURE_PAUSE).await;
            continue;
        };
        let asks = state.waiting.borrow_mut().begin_call();
        let sent_at = Instant::now();
        let use_by = sent_at + MAX_USE_DELAY;
        let wire_asks = asks
            .iter()
            .map(|ask| (ask.workspace.to_string(), ask.count));
        let wire_asks = wire_asks.collect();
        let answers = if target.id == shared.settings.member.id {
            quota_issuer::answer(&shared, state.slot, wire_asks).await
        } else {
            let call = PermitCall {
                protocol_version: PROTOCOL_VERSION,
                slot: state.slot.number(),
                is_passed_on: false,
                asks: wire_asks,
            };
            let deadline = sent_at + CALL_TIMEOUT;
            let call = peer::request_permits(&shared, target.peer_addr, call, deadline);
            let answers = timeout_at(deadline.into(), call).await;
            answers.unwrap_or_else(|_| Err(Error::new(Kind::HostLost, "no answer in time")))
        };
        match answers {
            Ok(answers) if Instant::now() < use_by && answers.len() == asks.len() => {
                on_answering(&state);
                let ended = {
                    let mut waiting = state.waiting.borrow_mut();
                    waiting.on_answered(&asks, &answers, use_by)
                };
                let is_undecided = ended.len() < asks.iter().map(|ask| ask.count as usize).sum();
                for (ticket, outcome) in ended {
                    // The request may have ended meanwhile.
                    let _ = ticket.send(outcome);
                }
                if is_undecided {
                    pause(&state, UNDECIDED_PAUSE).await;
                }
            }
            Ok(_) => {
                state.waiting.borrow_mut().on_unanswered();
                let took_ms = sent_at.elapsed().as_millis();
                log::debug!(target: "quota", "Permits of slot {} came too late, after {took_ms} ms.", state.slot);
                pause(&state, FAILURE_PAUSE).await;
            }
            Err(error) => {
                state.waiting.borrow_mut().on_unanswered();
                if error.kind() == Kind::HostLost {
                    shared.quotas.on_unreachable(&target.id);
                }
                on_failing(&state, &target, &error);
                attempt += 1;
                pause(&state, FAILURE_PAUSE).await;
            }
        }
    }
}

/// Returns the issuer of a slot, or at every other attempt its deputy, which answers as
/// soon as it has taken over.
fn target(state: &SlotState, attempt: usize) -> Option<Member> {
    let record = state.record.borrow();
    let record = &record.as_ref()?.record;
    let deputy = record.deputy.as_ref().filter(|_| attempt % 2 == 1);
    Some(deputy.unwrap_or(&record.issuer).clone())
}

async fn pause(state: &SlotState, pause: Duration) {
    let next_expiry = state.waiting.borrow().next_expiry();
    let until = Instant::now() + pause;
    let until = next_expiry.map_or(until, |at| at.min(until));
    select! {
        () = state.changed.notified() => {}
        () = sleep_until(until.into()) => {}
    }
}

fn on_failing(state: &SlotState, target: &Member, error: &Error) {
    if state.failing_since.get().is_none() {
        state.failing_since.set(Some(Instant::now()));
        log::warn!(target: "quota", "Host {} grants no permits of slot {}: {error}.", target.id, state.slot);
    }
}

fn on_answering(state: &SlotState) {
    if let Some(since) = state.failing_since.take() {
        let took_ms = since.elapsed().as_millis();
        log::info!(target: "quota", "Permits of slot {} are granted again after {took_ms} ms.", state.slot);
    }
}

/// Starts the tasks that hold slots, if the settings ask for quotas.
pub(crate) async fn run<A: Adapter>(shared: Rc<Shared<A>>) {
    let Some(limits) = shared.settings.quota_limits else {
        return;
    };
    let tasks = Slot::all().map(|slot| keep_slot(Rc::clone(&shared), slot, limits));
    futures::future::join_all(tasks).await;
}

async fn keep_slot<A: Adapter>(shared: Rc<Shared<A>>, slot: Slot, limits: Limits) {
    let state = Rc::clone(shared.quotas.slot(slot));
    loop {
        let pause = quota_issuer::step(&shared, &state, limits).await;
        select! {
            () = sleep(pause) => {}
            () = state.copy_due.notified() => {}
            () = state.changed.notified() => {}
        }
    }
}
