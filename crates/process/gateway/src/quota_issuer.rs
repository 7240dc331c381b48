//! The slots for which this host is the issuer of permits, or its deputy.
//!
//! The key of a slot in the store names its issuer and its deputy. The issuer renews
//! the lease of the key, and sends its counts to the deputy several times a second. The
//! crate `quota` decides when an issuer may grant and when a deputy takes over; this
//! module makes the calls.

use {
    crate::{
        busy_record,
        membership::{with_most_cpu, HostRecord},
        peer::{self, CopyCall, CopyReply, PermitCall, WireCopy, PROTOCOL_VERSION},
        quota::SlotState,
        shared::Shared,
        Adapter,
    },
    bytes::Bytes,
    fleet::{relay_set, Member, Phase},
    kind::{Error, Kind, Result},
    quota::{
        Answer, Claim, FoundKey, Issuer, Knowledge, Limits, Mandate, NamingAttempt, Slot, Standby,
        Start, SuspensionGuard, Term, Vacancy, BEAT_PAUSE, LEASE_TTL, RENEW_PAUSE, TAKEOVER_DELAY,
    },
    rand::Rng,
    record::HostId,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    store::{
        Fault, Freshness, KeyPrefixStore, LeaseId, StoreEra, StorePosition, StoreRevision, Trust,
    },
    tokio::{
        task::spawn_local,
        time::{timeout, timeout_at},
    },
};

/// Prefix of the keys of slots.
pub(crate) const SLOT_PREFIX: &str = "wharf/issuers/";
/// Pause between questions whether the deputy of a host that is cut off from the store
/// can take over.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Pause between looks at a slot in which this host has no part.
const IDLE_PAUSE: Duration = Duration::from_millis(500);
/// Time after which candidates acquire a vacant slot. Its deputy, which knows the
/// counts, does so at once.
const VACANCY_PAUSE: Duration = Duration::from_millis(300);
/// Time by which a host waits longer for each slot that it holds already, so that the
/// slots of a starting fleet do not all go to its first host.
const HELD_SLOT_PAUSE: Duration = Duration::from_millis(500);
/// Age up to which a host of a new fleet knows that there were no issuers before.
const NEW_FLEET_AGE: Duration = Duration::from_secs(30);
/// Time by which each further candidate waits longer for a vacant slot, so that the
/// first one that lives gets it and the store sees few calls.
const CANDIDATE_PAUSE: Duration = Duration::from_millis(200);
/// Longest such time, for fleets of any size.
const MAX_CANDIDATE_PAUSE: Duration = Duration::from_secs(3);
/// Longest time for which an issuer waits for its deputy to confirm a message.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for which the answer to a call waits for the deputy.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(100);
/// Pause after a failed call to the store.
const FAULT_PAUSE: Duration = Duration::from_millis(300);
/// Pause between removals of idle workspaces.
const CLEANUP_PAUSE: Duration = Duration::from_secs(1);
/// Number of terms whose messages are refused.
const MAX_FENCED_TERMS: usize = 16;

/// The value of a slot's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SlotRecord {
    pub(crate) term: Term,
    pub(crate) issuer: Member,
    pub(crate) deputy: Option<Member>,
}

/// A slot's key as last read from the store.
#[derive(Clone, Debug)]
pub(crate) struct KnownRecord {
    pub(crate) record: SlotRecord,
    pub(crate) position: StorePosition,
}

impl KnownRecord {
    fn found(&self) -> FoundKey<'_> {
        FoundKey {
            term: self.record.term,
            deputy: self.record.deputy.as_ref().map(|deputy| &*deputy.id),
        }
    }
}

/// The part of this host in a slot.
pub(crate) enum Role {
    None,
    Deputy(Deputyship),
    Issuer(Box<Issuership>),
}

/// State of a deputy.
pub(crate) struct Deputyship {
    standby: Standby,
    issuer: HostId,
    /// Position of the issuer's key.
    position: StorePosition,
}

impl Deputyship {
    /// Returns whether the key of the issuer was removed from the store.
    fn is_vacant(&self, state: &SlotState) -> bool {
        // The issuer may name this host before the store's news of its key arrives.
        state.record.borrow().is_none() && state.removed_position.get() > self.position
    }
}

/// State of an issuer.
pub(crate) struct Issuership {
    pub(crate) issuer: Issuer,
    mandate: Mandate,
    guard: SuspensionGuard,
    record: SlotRecord,
    /// Position of the key, whose era is also that of the lease.
    position: StorePosition,
    lease: LeaseId,
    /// Term of the issuer whose deputy this host was.
    former_term: Option<Term>,
    /// Whether this host is leaving and grants nothing more.
    has_ended: bool,
    has_started: bool,
    renewed_at: Instant,
    is_renewing: bool,
    copied_at: Option<Instant>,
    /// Time at which the deputy was asked to take over last.
    probed_at: Option<Instant>,
    is_copying: bool,
    is_copy_due: bool,
    is_naming: bool,
    named_at: Instant,
    cleaned_at: Instant,
}

impl Issuership {
    /// Returns the term of this host.
    pub(crate) fn term(&self) -> Term {
        self.record.term
    }

    /// Returns whether permits may be granted at this moment.
    fn allows_grants(&mut self, now: Instant) -> bool {
        if self.guard.was_suspended(now, SystemTime::now()) {
            self.mandate.on_suspended();
            log::warn!(target: "quota", "This host was suspended and grants nothing until its lease is confirmed.");
        }
        !self.has_ended && self.mandate.allows_grants(now)
    }
}

/// Returns the number of the slot whose key this is.
pub(crate) fn slot_of_key(key: &str) -> Option<Slot> {
    Slot::new(key.strip_prefix(SLOT_PREFIX)?.parse().ok()?)
}

/// Applies a new value of a slot's key.
pub(crate) fn on_record<A: Adapter>(shared: &Shared<A>, slot: Slot, known: KnownRecord) {
    let state = shared.quotas.slot(slot);
    let deputy = known.record.deputy.as_ref();
    let deputy = deputy.map_or("-", |deputy| &deputy.id);
    log::debug!(target: "quota", "Host {} issues the permits of slot {slot}, deputy {deputy}.", known.record.issuer.id);
    state.held_era.set(Some(known.position.era));
    state.changed_at.set(Instant::now());
    state.record.replace(Some(known));
    state.changed.notify_waiters();
}

/// Applies the removal of a slot's key.
pub(crate) fn on_removed<A: Adapter>(shared: &Shared<A>, slot: Slot, position: StorePosition) {
    let state = shared.quotas.slot(slot);
    log::info!(target: "quota", "No host issues the permits of slot {slot}.");
    state.changed_at.set(Instant::now());
    state.removed_position.set(position);
    state.record.replace(None);
    state.changed.notify_waiters();
}

/// Lets issuers write their keys again after the store has returned from a copy. There
/// are few of them, so their calls need not be spread over time.
///
/// What is known of issuers and deputies stays: they rely on each other, and a missing
/// or older key is no news of them.
pub(crate) fn on_store_restored<A: Adapter>(shared: &Shared<A>) {
    for slot in Slot::all() {
        let state = shared.quotas.slot(slot);
        if let Role::Issuer(held) = &mut *state.role.borrow_mut() {
            held.issuer.on_store_restored(Instant::now());
        }
        state.changed.notify_waiters();
    }
}

/// Answers a peer's call for permits of a slot. A deputy passes it on, as the peer may
/// not reach the issuer.
///
/// # Errors
///
/// Returns the errors of [`answer`] and those of the call to the issuer.
pub(crate) async fn answer_peer<A: Adapter>(
    shared: &Rc<Shared<A>>,
    slot: Slot,
    call: PermitCall,
) -> Result<Vec<Answer>> {
    let state = shared.quotas.slot(slot);
    let is_deputy = matches!(&*state.role.borrow(), Role::Deputy(_));
    let record = state.record.borrow().clone();
    match record.filter(|_| is_deputy && !call.is_passed_on) {
        Some(known) => {
            let call = PermitCall {
                is_passed_on: true,
                ..call
            };
            let deadline = Instant::now() + MAX_CONFIRMATION_WAIT;
            let call = peer::request_permits(shared, known.record.issuer.peer_addr, call, deadline);
            let answers = timeout_at(deadline.into(), call).await;
            answers.unwrap_or_else(|_| Err(no_issuer(slot)))
        }
        None => answer(shared, slot, call.asks).await,
    }
}

/// Answers a call for permits of a slot, of which this host has to be the issuer.
///
/// # Errors
///
/// Returns [`Kind::NoPermit`] if this host may not grant permits of the slot.
pub(crate) async fn answer<A: Adapter>(
    shared: &Rc<Shared<A>>,
    slot: Slot,
    asks: Vec<(String, u32)>,
) -> Result<Vec<Answer>> {
    let state = shared.quotas.slot(slot);
    let deadline = Instant::now() + MAX_CONFIRMATION_WAIT;
    let asks: Vec<(Arc<str>, u32)> = asks
        .into_iter()
        .map(|(workspace, count)| (workspace.into(), count))
        .collect();
    let mut answers = vec![Answer::default(); asks.len()];
    loop {
        let confirmed = state.confirmed.notified();
        let is_decided = decide(shared, state, &asks, &mut answers)?;
        busy_record::write_if_due(shared, state);
        if is_decided || Instant::now() >= deadline {
            return Ok(answers);
        }
        if timeout_at(deadline.into(), confirmed).await.is_err() {
            return Ok(answers);
        }
    }
}

/// Decides what can be decided now, and returns whether nothing waits for the deputy.
fn decide<A: Adapter>(
    shared: &Shared<A>,
    state: &SlotState,
    asks: &[(Arc<str>, u32)],
    answers: &mut [Answer],
) -> Result<bool> {
    let now = Instant::now();
    let table = shared.table();
    let mut role = state.role.borrow_mut();
    let has_granted = answers.iter().any(|answer| answer.granted > 0);
    let held = match &mut *role {
        Role::Issuer(held) => Some(held),
        Role::None | Role::Deputy(_) => None,
    };
    let held = held.and_then(|held| held.allows_grants(now).then_some(held));
    let Some(held) = held else {
        // Permits that were granted before the mandate ended are valid.
        return has_granted
            .then_some(true)
            .ok_or_else(|| no_issuer(state.slot));
    };
    let mut is_decided = true;
    for ((workspace, count), answer) in asks.iter().zip(answers) {
        let left = count - answer.granted - answer.refused;
        // A host with a newer configuration asks for workspaces that this one does not
        // know yet; they have to wait.
        let known = table.as_ref().and_then(|table| table.workspace(workspace));
        let Some(known) = known.filter(|_| left > 0) else {
            continue;
        };
        let has_deputy = held.record.deputy.is_some();
        let decided = held
            .issuer
            .decide(workspace, known.quota, left, has_deputy, now);
        answer.granted += decided.granted;
        answer.refused += decided.refused;
        answer.retry_after = decided.retry_after;
        let waits = decided.granted + decided.refused < left;
        is_decided &= !waits;
        let is_copy_due = |quota| held.issuer.is_copy_due(workspace, quota);
        if has_deputy && (waits || known.quota.is_some_and(is_copy_due)) {
            held.is_copy_due = true;
            state.copy_due.notify_one();
        }
    }
    Ok(is_decided)
}

fn no_issuer(slot: Slot) -> Error {
    let detail = format!("this host does not grant permits of slot {slot} now");
    Error::new(Kind::NoPermit, detail)
}

/// Takes a copy of an issuer's counts.
///
/// # Errors
///
/// Returns [`Kind::BadPeer`] if the call names no slot or this host has no quotas.
pub(crate) fn on_copy<A: Adapter>(shared: &Shared<A>, call: CopyCall) -> Result<CopyReply> {
    let bad_call = || Error::new(Kind::BadPeer, "this host has no such quotas");
    let limits = shared.settings.quota_limits.ok_or_else(bad_call)?;
    let slot = Slot::new(call.slot).ok_or_else(bad_call)?;
    let state = shared.quotas.slot(slot);
    if state.fenced.borrow().contains(&call.term) {
        return Ok(CopyReply::Refused);
    }
    let now = Instant::now();
    let (era, revision) = call.position;
    let position = StorePosition { era, revision };
    let mut role = state.role.borrow_mut();
    if let Role::Issuer(_) = &*role {
        return Ok(CopyReply::Refused);
    }
    let is_known = matches!(&*role, Role::Deputy(known) if known.standby.term() == call.term);
    if !is_known {
        log::info!(target: "quota", "This host is the deputy of {} for slot {slot}.", call.issuer);
        *role = Role::Deputy(Deputyship {
            standby: Standby::new(call.term, now),
            issuer: call.issuer,
            position,
        });
    }
    let Role::Deputy(deputyship) = &mut *role else {
        return Ok(CopyReply::Refused);
    };
    deputyship.position = position;
    let copy = call.copy.into_copy(now);
    deputyship.standby.on_copy(copy, call.is_last, &limits, now);
    let needs_full_copy = !deputyship.standby.is_complete();
    drop(role);
    if call.is_last || !is_known {
        state.changed.notify_waiters();
    }
    Ok(CopyReply::Taken { needs_full_copy })
}

/// Does what is due for a slot, and returns the time after which to look again.
pub(crate) async fn step<A: Adapter>(
    shared: &Rc<Shared<A>>,
    state: &Rc<SlotState>,
    limits: Limits,
) -> Duration {
    enum Due {
        Nothing(Duration),
        Acquire,
        Reclaim(Box<KnownRecord>),
        TakeOver,
        Hold,
    }
    let now = Instant::now();
    let due = {
        become_deputy(shared, state, now);
        match &*state.role.borrow() {
            Role::Issuer(_) => Due::Hold,
            Role::Deputy(_) if !is_candidate(shared) => Due::Nothing(IDLE_PAUSE),
            Role::Deputy(deputyship)
                if deputyship.standby.is_takeover_due(now) || deputyship.is_vacant(state) =>
            {
                Due::TakeOver
            }
            Role::Deputy(deputyship) => {
                let left = deputyship.standby.takeover_at();
                Due::Nothing(left.saturating_duration_since(now))
            }
            Role::None if state.record.borrow().is_some() => {
                let known = state.record.borrow().clone();
                let former = known.filter(|known| is_former_process(shared, state, known));
                former.map_or(Due::Nothing(IDLE_PAUSE), |known| {
                    Due::Reclaim(Box::new(known))
                })
            }
            Role::None => match turn(shared, state) {
                Some(turn_at) if turn_at <= now => Due::Acquire,
                Some(turn_at) => Due::Nothing(turn_at - now),
                None => Due::Nothing(IDLE_PAUSE),
            },
        }
    };
    match due {
        Due::Nothing(pause) => pause,
        Due::Acquire => acquire(shared, state, limits).await,
        Due::Reclaim(known) => reclaim(shared, state, limits, &known).await,
        Due::TakeOver => take_over(shared, state, limits).await,
        Due::Hold => hold(shared, state, now).await,
    }
}

/// Returns whether this host may issue permits.
fn is_candidate<A: Adapter>(shared: &Shared<A>) -> bool {
    let has_quotas = shared.table().is_some_and(|table| table.has_quotas());
    has_quotas && shared.life.phase() == Phase::Ready && shared.has_store_state()
}

/// Begins or ends the deputyship that the key of the slot names.
///
/// It does not begin while the store settles after its return from a copy: the key may
/// be an old one, whose issuer has ended long ago.
fn become_deputy<A: Adapter>(shared: &Shared<A>, state: &SlotState, now: Instant) {
    let own_id = &shared.settings.member.id;
    let record = state.record.borrow();
    let Some(known) = &*record else { return };
    let is_named = known
        .record
        .deputy
        .as_ref()
        .is_some_and(|d| d.id == *own_id);
    let is_settled = shared.store_cache.borrow().trust(now) != Trust::Deferring
        && known.position.era == current_era(shared);
    let mut role = state.role.borrow_mut();
    match &*role {
        Role::None
            if is_named && is_settled && !state.fenced.borrow().contains(&known.record.term) =>
        {
            log::info!(target: "quota", "This host is the deputy of {} for slot {}.", known.record.issuer.id, state.slot);
            *role = Role::Deputy(Deputyship {
                standby: Standby::new(known.record.term, now),
                issuer: known.record.issuer.id.clone(),
                position: known.position,
            });
        }
        Role::Deputy(deputyship)
            if deputyship.standby.term() == known.record.term
                && known.position.era == deputyship.position.era
                && known.position >= deputyship.position
                && !is_named =>
        {
            *role = Role::None;
        }
        Role::None | Role::Deputy(_) | Role::Issuer(_) => {}
    }
}

/// Returns the time at which this host acquires a slot that has become vacant, `None`
/// if it is no candidate.
fn turn<A: Adapter>(shared: &Shared<A>, state: &SlotState) -> Option<Instant> {
    if !is_candidate(shared) {
        return None;
    }
    let order = candidates(shared, state.slot);
    let own_id = &shared.settings.member.id;
    let rank = order.iter().position(|host| host.id == *own_id)?;
    let pause = CANDIDATE_PAUSE.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
    let pause = VACANCY_PAUSE + pause.min(MAX_CANDIDATE_PAUSE);
    let held_pause = HELD_SLOT_PAUSE * shared.quotas.held_slots();
    Some(state.changed_at.get() + pause + held_pause)
}

/// Returns the hosts that may hold a slot, those first that do if they can. Weak hosts
/// get no part, as all hosts wait for the issuer.
fn candidates<A: Adapter>(shared: &Shared<A>, slot: Slot) -> Vec<Member> {
    let members = shared.members.borrow();
    let hosts: Vec<&HostRecord> = members.listed().collect();
    let strong = with_most_cpu(&hosts);
    let order = relay_set(&format!("{SLOT_PREFIX}{slot}"), &strong, strong.len());
    order.into_iter().cloned().collect()
}

/// Chooses a deputy, if possible in another region, else in another zone, as these are
/// lost as a whole.
fn choose_deputy<A: Adapter>(
    shared: &Shared<A>,
    slot: Slot,
    current: Option<&HostId>,
) -> Option<Member> {
    let own = &shared.settings.member;
    let now = Instant::now();
    let order = candidates(shared, slot);
    let usable = order.into_iter().filter(|host| {
        let is_other = host.id != own.id && Some(&host.id) != current;
        is_other && !shared.quotas.is_unreachable(&host.id, now)
    });
    usable.min_by_key(|host| (host.region == own.region, host.zone == own.zone))
}

/// Writes a key that names this host as the issuer. Returns the new state, or the pause
/// before another attempt.
async fn write_own_key<A: Adapter>(
    shared: &Shared<A>,
    slot: Slot,
    expected: Option<StorePosition>,
    claim: Claim<'_>,
) -> std::result::Result<WrittenKey, Option<Fault>> {
    let record = SlotRecord {
        term: rand::rng().random(),
        issuer: shared.settings.member.clone(),
        // Named once it has answered.
        deputy: None,
    };
    write_under_new_lease(shared, slot, expected, claim, record).await
}

/// A key of a slot that was written under a new lease.
struct WrittenKey {
    record: SlotRecord,
    lease: LeaseId,
    position: StorePosition,
}

/// Writes a key if it is at `expected`, or does not exist if there is no position. In a
/// new era, writes it if `claim` holds for the key that the store has. Returns no fault
/// if it was not written for one of these reasons.
async fn write_under_new_lease<A: Adapter>(
    shared: &Shared<A>,
    slot: Slot,
    expected: Option<StorePosition>,
    claim: Claim<'_>,
    record: SlotRecord,
) -> std::result::Result<WrittenKey, Option<Fault>> {
    let lease = shared.keys.grant(LEASE_TTL).await.map_err(Some)?;
    let era = current_era(shared);
    let revision = match expected {
        None => 0,
        Some(expected) if expected.era == era => expected.revision,
        Some(_) => {
            let listed = match read_key(shared, slot).await {
                Ok(listed) if claim.may_replace(listed.as_ref().map(KnownRecord::found)) => listed,
                other => {
                    end_lease(shared, slot, lease).await;
                    return Err(other.err());
                }
            };
            listed.map_or(0, |known| known.position.revision)
        }
    };
    let outcome = write_record(shared, slot, revision, &record, lease).await;
    let is_same_era = current_era(shared) == era;
    match outcome {
        Ok(Some(revision)) if is_same_era => Ok(WrittenKey {
            record,
            lease,
            position: StorePosition { era, revision },
        }),
        outcome => {
            // Removes the key if it was written although no reply has arrived. In a new
            // era, the lease is void and its identifier may be that of another one.
            if is_same_era {
                end_lease(shared, slot, lease).await;
            }
            match outcome {
                Ok(None) => Err(None),
                Ok(Some(_)) => Err(Some(Fault::Unknown("a new era has begun".to_owned()))),
                Err(fault) => Err(Some(fault)),
            }
        }
    }
}

async fn end_lease<A: Adapter>(shared: &Shared<A>, slot: Slot, lease: LeaseId) {
    if let Err(fault) = shared.keys.end(lease).await {
        log::debug!(target: "quota", "The lease for slot {slot} could not be ended: {fault:?}.");
    }
}

/// Returns the era of the store as this host knows it, 0 before any response.
fn current_era<A: Adapter>(shared: &Shared<A>) -> StoreEra {
    shared.keys.eras().current().unwrap_or_default()
}

/// Reads the key of a slot from the store.
async fn read_key<A: Adapter>(
    shared: &Shared<A>,
    slot: Slot,
) -> std::result::Result<Option<KnownRecord>, Fault> {
    let key = format!("{SLOT_PREFIX}{slot}");
    let listing = shared.keys.list(&key, Freshness::Current).await?;
    let item = listing.items.into_iter().find(|item| item.key == key);
    Ok(item.and_then(|item| {
        let record = parse_record(&item.bytes).ok()?;
        let (era, revision) = (item.era, item.revision);
        let position = StorePosition { era, revision };
        Some(KnownRecord { record, position })
    }))
}

async fn write_record<A: Adapter>(
    shared: &Shared<A>,
    slot: Slot,
    expected: StoreRevision,
    record: &SlotRecord,
    lease: LeaseId,
) -> std::result::Result<Option<StoreRevision>, Fault> {
    let value = serde_json::to_vec(record).map_err(|e| Fault::Unreachable(e.to_string()))?;
    let key = format!("{SLOT_PREFIX}{slot}");
    shared
        .keys
        .write_if(&key, expected, Bytes::from(value), Some(lease))
        .await
}

/// Returns whether this host has read all keys in `era` after writers have had time.
fn is_settled<A: Adapter>(shared: &Shared<A>, era: StoreEra, now: Instant) -> bool {
    let cache = shared.store_cache.borrow();
    cache.era() == era && cache.trust(now) == Trust::Settled
}

/// Acquires a vacant slot.
async fn acquire<A: Adapter>(shared: &Shared<A>, state: &SlotState, limits: Limits) -> Duration {
    let slot = state.slot;
    let requested_at = Instant::now();
    let known = state.record.borrow().as_ref().map(|known| known.position);
    let busy = busy_record::read(shared, slot).await.ok();
    match write_own_key(shared, slot, known, Claim::Vacancy).await {
        Ok(written) => {
            let now = Instant::now();
            let age = now.saturating_duration_since(shared.started_at);
            let is_new_fleet = shared.settings.is_new_fleet && age < NEW_FLEET_AGE;
            let vacancy = Vacancy {
                is_settled: is_settled(shared, written.position.era, now),
                was_restored: written.position.era > 0,
                knows_holder: state.held_era.get() == Some(written.position.era),
                is_first: is_new_fleet && state.held_era.get().is_none(),
            };
            let is_orderly = vacancy.is_orderly();
            let mandate = Mandate::of_vacant_slot(requested_at, now, is_orderly);
            let busy = busy.filter(|_| is_orderly).map(|(busy, _)| busy);
            let start = Start {
                at: mandate.starts_at(),
                knowledge: if busy.is_some() {
                    Knowledge::Busy
                } else {
                    Knowledge::Nothing
                },
            };
            let mut issuer = Issuer::new(limits, vec![start], HashMap::new()).recording_busy();
            issuer.assume_busy(busy.unwrap_or_default(), start.at);
            become_issuer(state, issuer, mandate, written, requested_at, None);
            Duration::ZERO
        }
        Err(fault) => {
            log::debug!(target: "quota", "Slot {slot} was not acquired: {fault:?}.");
            state.changed_at.set(Instant::now());
            FAULT_PAUSE
        }
    }
}

/// Returns whether the key of a slot names an earlier process of this host, which has
/// ended since this one listens at its address.
fn is_former_process<A: Adapter>(
    shared: &Shared<A>,
    state: &SlotState,
    known: &KnownRecord,
) -> bool {
    is_candidate(shared)
        && known.record.issuer == shared.settings.member
        && !state.fenced.borrow().contains(&known.record.term)
}

/// Replaces the key of an earlier process of this host, whose counts are lost.
///
/// The deputy, which has a copy of them, comes first if it is not lost as well.
async fn reclaim<A: Adapter>(
    shared: &Shared<A>,
    state: &SlotState,
    limits: Limits,
    known: &KnownRecord,
) -> Duration {
    let (slot, requested_at) = (state.slot, Instant::now());
    if let Some(wait) = (shared.started_at + TAKEOVER_DELAY).checked_duration_since(requested_at) {
        if known.record.deputy.is_some() && !wait.is_zero() {
            return wait.min(IDLE_PAUSE);
        }
    }
    let era_before = shared.keys.eras().current();
    let busy = busy_record::read(shared, slot).await;
    let claim = Claim::Restart(known.record.term);
    let written = write_own_key(shared, slot, Some(known.position), claim).await;
    let (written, (busy, busy_revision)) = match (written, busy) {
        (Ok(written), Ok(busy)) => (written, busy),
        (Ok(written), Err(fault)) => {
            log::warn!(target: "quota", "Slot {slot} was not reclaimed: {fault:?}.");
            end_lease(shared, slot, written.lease).await;
            return FAULT_PAUSE;
        }
        (Err(fault), _) => {
            log::debug!(target: "quota", "Slot {slot} was not reclaimed: {fault:?}.");
            return FAULT_PAUSE;
        }
    };
    let now = Instant::now();
    let era = written.position.era;
    // After a return of the store, the key may be an earlier one.
    let vacancy = Vacancy {
        is_settled: is_settled(shared, era, now),
        was_restored: era > 0,
        knows_holder: known.position.era == era,
        is_first: false,
    };
    let is_orderly = vacancy.is_orderly();
    log::info!(target: "quota", "Slot {slot} is reclaimed after a restart; {} workspaces were busy.", busy.len());
    let mandate = Mandate::of_vacant_slot(requested_at, now, is_orderly);
    let (at, knowledge) = if is_orderly {
        // The earlier process had ended when this one started.
        (shared.started_at, Knowledge::Busy)
    } else {
        (mandate.starts_at(), Knowledge::Nothing)
    };
    let start = Start { at, knowledge };
    let mut issuer = Issuer::new(limits, vec![start], HashMap::new()).recording_busy();
    issuer.assume_busy(busy, at);
    state.busy_revision.set(Some((era_before, busy_revision)));
    become_issuer(state, issuer, mandate, written, requested_at, None);
    Duration::ZERO
}

/// Replaces the issuer of a slot, of which this host is the deputy.
async fn take_over<A: Adapter>(shared: &Shared<A>, state: &SlotState, limits: Limits) -> Duration {
    let slot = state.slot;
    let (term, has_copy, era, expected, former) = match &*state.role.borrow() {
        Role::Deputy(deputyship) => (
            deputyship.standby.term(),
            deputyship.standby.is_complete(),
            deputyship.position.era,
            (!deputyship.is_vacant(state)).then_some(deputyship.position),
            deputyship.issuer.clone(),
        ),
        Role::None | Role::Issuer(_) => return Duration::ZERO,
    };
    fence(state, term);
    shared.quotas.on_unreachable(&former);
    // Without a copy, the deputy relies on what the issuer has recorded.
    let busy = match (has_copy, busy_record::read(shared, slot)) {
        (true, _) => None,
        (false, read) => read.await.ok().map(|(busy, _)| busy),
    };
    let requested_at = Instant::now();
    let claim = Claim::Deputyship {
        issuer: term,
        own: &shared.settings.member.id,
    };
    let written = write_own_key(shared, slot, expected, claim).await;
    let now = Instant::now();
    let role = match &written {
        // The deputyship goes on, and the write is attempted again.
        Err(Some(_)) => return FAULT_PAUSE,
        Ok(_) | Err(None) => state.role.replace(Role::None),
    };
    match (written, role) {
        (Ok(written), Role::Deputy(deputyship)) => {
            log::info!(target: "quota", "Slot {slot} is taken over from {former}.");
            let is_restored = written.position.era != era;
            let (issuer, mandate) =
                deputyship
                    .standby
                    .take_over(limits, requested_at, now, is_restored, busy);
            let issuer = issuer.recording_busy();
            become_issuer(state, issuer, mandate, written, requested_at, Some(term));
        }
        // The role has changed meanwhile, so the counts are gone.
        (Ok(written), _) => end_lease(shared, slot, written.lease).await,
        (Err(_), _) => {
            // The issuer may name this host again.
            state.fenced.borrow_mut().retain(|fenced| *fenced != term);
            log::info!(target: "quota", "Slot {slot} is not taken over from {former}: its key has changed.");
        }
    }
    Duration::ZERO
}

/// Refuses further messages of an issuer.
fn fence(state: &SlotState, term: Term) {
    let mut fenced = state.fenced.borrow_mut();
    if !fenced.contains(&term) {
        fenced.push_back(term);
    }
    if fenced.len() > MAX_FENCED_TERMS {
        fenced.pop_front();
    }
}

fn become_issuer(
    state: &SlotState,
    issuer: Issuer,
    mandate: Mandate,
    written: WrittenKey,
    requested_at: Instant,
    former_term: Option<Term>,
) {
    let WrittenKey {
        record,
        lease,
        position,
    } = written;
    let now = Instant::now();
    let slot = state.slot;
    let wait_ms = mandate
        .starts_at()
        .saturating_duration_since(now)
        .as_millis();
    log::info!(target: "quota", "This host issues the permits of slot {slot} in {wait_ms} ms.");
    state.record.replace(Some(KnownRecord {
        record: record.clone(),
        position,
    }));
    state.held_era.set(Some(position.era));
    state.role.replace(Role::Issuer(Box::new(Issuership {
        issuer,
        mandate,
        guard: SuspensionGuard::new(now, SystemTime::now()),
        record,
        position,
        lease,
        former_term,
        has_ended: false,
        has_started: false,
        renewed_at: requested_at,
        is_renewing: false,
        copied_at: None,
        probed_at: None,
        is_copying: false,
        is_copy_due: false,
        is_naming: false,
        named_at: now,
        cleaned_at: now,
    })));
    state.changed.notify_waiters();
}

/// Does what is due for a slot of which this host is the issuer.
async fn hold<A: Adapter>(shared: &Rc<Shared<A>>, state: &Rc<SlotState>, now: Instant) -> Duration {
    if shared.life.phase() > Phase::Ready {
        hand_over(shared, state, "it leaves").await;
        return IDLE_PAUSE;
    }
    if is_replaced(state) {
        step_down(shared, state, "another host holds it").await;
        return Duration::ZERO;
    }
    if let Some(deputy) = deputy_if_cut_off(state, now) {
        if answers(shared, state.slot, &deputy).await {
            hand_over(shared, state, "it does not reach the store").await;
            return IDLE_PAUSE;
        }
        if let Role::Issuer(held) = &mut *state.role.borrow_mut() {
            held.probed_at = Some(now);
        }
    }
    do_what_is_due(shared, state, now);
    busy_record::write_if_due(shared, state);
    BEAT_PAUSE / 2
}

/// Returns the deputy to which this host should hand a slot over because it does not
/// reach the store, unless it has just been asked.
fn deputy_if_cut_off(state: &SlotState, now: Instant) -> Option<Member> {
    let role = state.role.borrow();
    let Role::Issuer(held) = &*role else {
        return None;
    };
    let probed_at = held.probed_at;
    let is_due = probed_at.is_none_or(|at| now.saturating_duration_since(at) >= PROBE_PAUSE);
    (is_due && held.mandate.is_cut_off(now))
        .then(|| held.record.deputy.clone())
        .flatten()
}

fn do_what_is_due<A: Adapter>(shared: &Rc<Shared<A>>, state: &Rc<SlotState>, now: Instant) {
    let mut role = state.role.borrow_mut();
    let Role::Issuer(held) = &mut *role else {
        return;
    };
    // Also detects a suspension.
    let allows_grants = held.allows_grants(now);
    if allows_grants != held.has_started {
        held.has_started = allows_grants;
        let change = if allows_grants {
            "granted"
        } else {
            "not granted"
        };
        log::info!(target: "quota", "Permits of slot {} are {change} from now on.", state.slot);
    }
    let is_void = held.position.era != current_era(shared);
    let renewed_ago = now.saturating_duration_since(held.renewed_at);
    if !held.is_renewing && (renewed_ago >= RENEW_PAUSE || (is_void && renewed_ago >= FAULT_PAUSE))
    {
        held.is_renewing = true;
        held.renewed_at = now;
        let (shared, state) = (Rc::clone(shared), Rc::clone(state));
        if is_void {
            spawn_local(write_again(shared, state, held.record.term));
        } else {
            spawn_local(renew(shared, state, held.lease, now));
        }
    }
    if now.saturating_duration_since(held.cleaned_at) >= CLEANUP_PAUSE {
        held.cleaned_at = now;
        held.issuer.remove_idle(now);
    }
    name_deputy_if_due(shared, state, held, now);
    let copied_at = held.copied_at;
    let is_beat_due = copied_at.is_none_or(|at| now.saturating_duration_since(at) >= BEAT_PAUSE);
    if let Some(deputy) = held.record.deputy.clone() {
        if !held.is_copying && (is_beat_due || held.is_copy_due) {
            held.is_copying = true;
            held.is_copy_due = false;
            held.copied_at = Some(now);
            let call = copy_call(state.slot, held, false, now);
            spawn_local(send_copy(
                Rc::clone(shared),
                Rc::clone(state),
                deputy,
                call,
                now,
            ));
        }
    }
}

/// Returns whether a newer key of the slot names another term.
fn is_replaced(state: &SlotState) -> bool {
    let record = state.record.borrow();
    match (&*state.role.borrow(), &*record) {
        (Role::Issuer(held), Some(known)) => {
            // In a new era, the key may be an earlier one, which is written again.
            known.position.era == held.position.era
                && known.position > held.position
                && known.record.term != held.record.term
        }
        (Role::None | Role::Deputy(_) | Role::Issuer(_), _) => false,
    }
}

fn copy_call(slot: Slot, held: &mut Issuership, is_last: bool, now: Instant) -> CopyCall {
    let copy = held.issuer.copy(now);
    CopyCall {
        protocol_version: PROTOCOL_VERSION,
        slot: slot.number(),
        term: held.record.term,
        issuer: held.record.issuer.id.clone(),
        position: (held.position.era, held.position.revision),
        is_last,
        copy: WireCopy::new(copy, now),
    }
}

async fn renew<A: Adapter>(
    shared: Rc<Shared<A>>,
    state: Rc<SlotState>,
    lease: LeaseId,
    sent_at: Instant,
) {
    let renewed = shared.keys.renew(lease).await;
    let era = current_era(&shared);
    let has_ended = {
        let mut role = state.role.borrow_mut();
        let Role::Issuer(held) = &mut *role else {
            return;
        };
        if held.lease != lease {
            return;
        }
        held.is_renewing = false;
        if held.position.era != era {
            // The lease is void, and its identifier may be that of another one.
            return;
        }
        match &renewed {
            Ok(true) => held.mandate.on_renewed(sent_at),
            Ok(false) => {}
            Err(fault) => {
                held.renewed_at = Instant::now() + FAULT_PAUSE - RENEW_PAUSE;
                log::debug!(target: "quota", "The lease of slot {} was not renewed: {fault:?}.", state.slot);
            }
        }
        matches!(renewed, Ok(false))
    };
    if has_ended {
        step_down(&shared, &state, "its lease has ended").await;
    }
}

/// Writes the key of a slot again under a new lease, after the store has returned from a
/// copy. The issuer goes on meanwhile, as long as it may rely on its former lease.
async fn write_again<A: Adapter>(shared: Rc<Shared<A>>, state: Rc<SlotState>, term: Term) {
    let sent_at = Instant::now();
    let (record, former_term) = match &*state.role.borrow() {
        Role::Issuer(held) if held.record.term == term => (held.record.clone(), held.former_term),
        Role::None | Role::Deputy(_) | Role::Issuer(_) => return,
    };
    let known = read_key(&shared, state.slot).await;
    let claim = Claim::Hold {
        own: term,
        former: former_term,
    };
    let (written, is_lost) = match known {
        Ok(known) if !claim.may_replace(known.as_ref().map(KnownRecord::found)) => {
            (Err(None), true)
        }
        Ok(known) => {
            let expected = known.map(|known| known.position);
            let written = write_under_new_lease(&shared, state.slot, expected, claim, record).await;
            (written, false)
        }
        Err(fault) => (Err(Some(fault)), false),
    };
    {
        let mut role = state.role.borrow_mut();
        let held = match &mut *role {
            Role::Issuer(held) if held.record.term == term => held,
            Role::None | Role::Deputy(_) | Role::Issuer(_) => return,
        };
        held.is_renewing = false;
        match written {
            Ok(written) => {
                let (era, position) = (written.position.era, written.position);
                log::info!(target: "quota", "The key of slot {} is written again in era {era}.", state.slot);
                held.lease = written.lease;
                held.position = position;
                held.record = written.record;
                held.mandate.on_renewed(sent_at);
                held.mandate.on_key_written_again();
                state.held_era.set(Some(era));
                let record = held.record.clone();
                state.record.replace(Some(KnownRecord { record, position }));
            }
            Err(fault) => {
                log::debug!(target: "quota", "The key of slot {} was not written again: {fault:?}.", state.slot);
            }
        }
    }
    if is_lost {
        step_down(
            &shared,
            &state,
            "another host has written its key in a new era",
        )
        .await;
    }
}

/// Names a deputy if there is none, or if the last one is silent or no longer listed.
fn name_deputy_if_due<A: Adapter>(
    shared: &Rc<Shared<A>>,
    state: &Rc<SlotState>,
    held: &mut Issuership,
    now: Instant,
) {
    if held.is_naming || now < held.named_at {
        return;
    }
    let current = held.record.deputy.as_ref().map(|deputy| deputy.id.clone());
    if let Some(current) = &current {
        if held.mandate.is_deputy_silent(now) {
            shared.quotas.on_unreachable(current);
        } else if shared.members.borrow().is_listed(current) {
            return;
        }
    }
    let deputy = choose_deputy(shared, state.slot, current.as_ref());
    // With further hosts, this one may be cut off from all of them, and its deputy, which
    // is not, has to take over.
    let has_further_hosts = shared.members.borrow().listed().count() > 2;
    if deputy.is_none() && (current.is_none() || has_further_hosts) {
        return;
    }
    held.is_naming = true;
    let (shared, state) = (Rc::clone(shared), Rc::clone(state));
    spawn_local(name_deputy(shared, state, held.record.term, deputy));
}

/// Writes a key that names `deputy`, provided that it answers. Without one, the issuer
/// relies on its lease alone.
async fn name_deputy<A: Adapter>(
    shared: Rc<Shared<A>>,
    state: Rc<SlotState>,
    term: Term,
    deputy: Option<Member>,
) {
    let is_usable = match &deputy {
        Some(deputy) => answers(&shared, state.slot, deputy).await,
        None => true,
    };
    let now = Instant::now();
    let (record, lease, expected, attempt) = {
        let mut role = state.role.borrow_mut();
        let held = match &mut *role {
            Role::Issuer(held) if held.record.term == term => held,
            Role::None | Role::Deputy(_) | Role::Issuer(_) => return,
        };
        if !is_usable {
            held.is_naming = false;
            return;
        }
        if held.position.era != current_era(&shared) {
            // The key is written again first.
            held.is_naming = false;
            return;
        }
        let attempt = held.mandate.on_naming(now);
        let record = SlotRecord {
            deputy,
            ..held.record.clone()
        };
        (record, held.lease, held.position.revision, attempt)
    };
    let written = write_record(&shared, state.slot, expected, &record, lease).await;
    let era = current_era(&shared);
    on_deputy_written(&state, record, attempt, (era, now), written);
}

/// Returns whether a host answers as a deputy would, and remembers if it does not.
async fn answers<A: Adapter>(shared: &Shared<A>, slot: Slot, host: &Member) -> bool {
    let deadline = Instant::now() + COPY_TIMEOUT;
    let call = peer::probe_deputy(shared, host.peer_addr, slot.number(), deadline);
    let is_usable = matches!(timeout_at(deadline.into(), call).await, Ok(Ok(true)));
    if !is_usable {
        shared.quotas.on_unreachable(&host.id);
        log::debug!(target: "quota", "Host {} cannot be the deputy for slot {slot}.", host.id);
    }
    is_usable
}

/// Returns whether this host can be the deputy for a slot: it must reach the store to
/// take the slot over.
pub(crate) async fn can_be_deputy<A: Adapter>(shared: &Shared<A>, slot: u8) -> bool {
    let Some(slot) = Slot::new(slot) else {
        return false;
    };
    if shared.settings.quota_limits.is_none() || !is_candidate(shared) {
        return false;
    }
    let key = format!("{SLOT_PREFIX}{slot}");
    let read = shared.keys.list(&key, Freshness::Current);
    matches!(timeout(COPY_TIMEOUT, read).await, Ok(Ok(_)))
}

fn on_deputy_written(
    state: &SlotState,
    record: SlotRecord,
    attempt: NamingAttempt,
    (era, sent_at): (StoreEra, Instant),
    written: std::result::Result<Option<StoreRevision>, Fault>,
) {
    let mut role = state.role.borrow_mut();
    let held = match &mut *role {
        Role::Issuer(held) if held.record.term == record.term => held,
        Role::None | Role::Deputy(_) | Role::Issuer(_) => return,
    };
    held.is_naming = false;
    if !held.mandate.on_naming_ended(attempt) {
        log::info!(target: "quota", "The deputy for slot {} is named again, as the key was written in a new era.", state.slot);
        return;
    }
    if held.position.era != era {
        // Which key the store has shows when it is written again.
        held.named_at = Instant::now() + FAULT_PAUSE;
        return;
    }
    // The store may have written an earlier key although its reply was lost.
    let known = state.record.borrow().clone();
    let is_own =
        |known: &KnownRecord| known.record.term == record.term && known.position > held.position;
    let (record, position) = match (written, known.filter(is_own)) {
        (Ok(Some(revision)), _) => (record, StorePosition { era, revision }),
        (Ok(None), Some(known)) => (known.record, known.position),
        (Err(Fault::Unreachable(_)), _) => {
            held.mandate.on_naming_failed();
            held.named_at = Instant::now() + FAULT_PAUSE;
            return;
        }
        (Ok(None) | Err(_), _) => {
            held.named_at = Instant::now() + FAULT_PAUSE;
            return;
        }
    };
    match &record.deputy {
        Some(deputy) => {
            held.mandate.on_deputy_named(sent_at);
            log::info!(target: "quota", "Host {} is the deputy for slot {} from now on.", deputy.id, state.slot);
        }
        None => {
            held.mandate.on_no_deputy();
            log::warn!(target: "quota", "There is no deputy for slot {}.", state.slot);
        }
    }
    held.record = record.clone();
    held.position = position;
    held.issuer.on_deputy_changed();
    held.copied_at = None;
    state.record.replace(Some(KnownRecord { record, position }));
    state.copy_due.notify_one();
}

/// Sends the counts to the deputy and records its answer.
async fn send_copy<A: Adapter>(
    shared: Rc<Shared<A>>,
    state: Rc<SlotState>,
    deputy: Member,
    call: CopyCall,
    sent_at: Instant,
) {
    let (term, was_full) = (call.term, call.copy.is_full);
    let deadline = sent_at + COPY_TIMEOUT;
    let call = peer::send_copy(&shared, deputy.peer_addr, call, deadline);
    let reply = timeout_at(deadline.into(), call).await;
    let reply = reply.unwrap_or_else(|_| Err(Error::new(Kind::HostLost, "no answer in time")));
    {
        let mut role = state.role.borrow_mut();
        let Role::Issuer(held) = &mut *role else {
            return;
        };
        if held.record.term != term {
            return;
        }
        held.is_copying = false;
        if held.record.deputy.as_ref() != Some(&deputy) {
            state.copy_due.notify_one();
            return;
        }
        match &reply {
            Ok(CopyReply::Taken { needs_full_copy }) => {
                held.issuer.on_copy_confirmed(was_full);
                if *needs_full_copy {
                    held.issuer.on_deputy_changed();
                }
                held.mandate.on_confirmed(sent_at);
                if held.is_copy_due {
                    state.copy_due.notify_one();
                }
            }
            Ok(CopyReply::Refused) => {}
            Err(error) => {
                held.issuer.on_copy_lost();
                log::debug!(target: "quota", "The deputy {} has not confirmed: {error}.", deputy.id);
            }
        }
    }
    match reply {
        Ok(CopyReply::Taken { .. }) => state.confirmed.notify_waiters(),
        Ok(CopyReply::Refused) => {
            step_down(&shared, &state, "its deputy has taken over").await;
        }
        Err(_) => {}
    }
}

/// Gives a slot up that this host no longer holds.
async fn step_down<A: Adapter>(shared: &Shared<A>, state: &SlotState, reason: &str) {
    let role = state.role.replace(Role::None);
    let Role::Issuer(held) = role else {
        state.role.replace(role);
        return;
    };
    log::warn!(target: "quota", "This host no longer issues the permits of slot {}: {reason}.", state.slot);
    fence(state, held.record.term);
    state.changed.notify_waiters();
    // Removes the key only if it is still that of this host.
    if held.position.era == current_era(shared) {
        end_lease(shared, state.slot, held.lease).await;
    }
}

/// Leaves a slot to the deputy, or to any host if there is none that confirms.
async fn hand_over<A: Adapter>(shared: &Rc<Shared<A>>, state: &Rc<SlotState>, reason: &str) {
    let slot = state.slot;
    let (deputy, call, lease, era) = {
        let mut role = state.role.borrow_mut();
        let Role::Issuer(held) = &mut *role else {
            return;
        };
        held.has_ended = true;
        // This host must not take the key for that of an earlier process.
        fence(state, held.record.term);
        let call = copy_call(slot, held, true, Instant::now());
        (
            held.record.deputy.clone(),
            call,
            held.lease,
            held.position.era,
        )
    };
    let mut is_taken = false;
    if let Some(deputy) = deputy {
        let deadline = Instant::now() + COPY_TIMEOUT;
        let call = peer::send_copy(shared, deputy.peer_addr, call, deadline);
        let reply = timeout(COPY_TIMEOUT, call).await;
        is_taken = matches!(reply, Ok(Ok(CopyReply::Taken { .. })));
    }
    state.role.replace(Role::None);
    log::info!(target: "quota", "This host gives up slot {slot}: {reason}; the deputy has its counts: {is_taken}.");
    if !is_taken && era == current_era(shared) {
        end_lease(shared, slot, lease).await;
    }
}

/// Parses the value of a slot's key.
pub(crate) fn parse_record(bytes: &[u8]) -> std::result::Result<SlotRecord, serde_json::Error> {
    serde_json::from_slice(bytes)
}
