//! Detection of requests that end the servers that run them, by hosts together.
//!
//! Load: a request that ends each server that begins to run it, sent again and
//! again by its caller, at any host; or a query that does so at one of its shards.
//!
//! What is suspect is a request at a service. A server that is lost while it runs the
//! request is a crash, which the next answer of the service clears. One that has
//! answered something since its last crash has come back, and may crash again. A host
//! reports the crashes that no answer has cleared to the owner of the request's
//! [`Fingerprint`]. Each host counts what it has seen and what it was told by the
//! same rule: a request is held back that has ended [`CRASHES_TO_HOLD`] servers of a
//! service, or of all services together if none has answered it.
//!
//! A request that is held back runs only at proven services: those that have answered
//! it after their last crash. At the others it runs as a canary, so that a mistake,
//! such as many servers lost for another reason, ends by itself. The canaries are
//! counted for the request: within [`HOLD_TIME`] no more of them crash than there are
//! [`CANARY_TIMES`], whichever hosts run them.

use {
    crate::{
        hold::{Hold, HOLD_TIME},
        loss::{is_harmful, late_attempts},
        Fingerprint, HoldState,
    },
    routing::ServiceName,
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Age from which a crash no longer counts.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Time for which a canary is left to the owner before any host may run it.
const OWNER_HEAD_START: Duration = Duration::from_secs(2);
/// Time until the next canary after one that no server has run. With the owner's head
/// start, a request runs again within 5 s after its servers are back.
const UNUSED_CANARY_PAUSE: Duration = Duration::from_secs(2);
/// Largest number of requests about which crashes are remembered.
const MAX_SUSPECTS: usize = 1_024;
/// Largest number of requests that are held back.
const MAX_HOLDS: usize = 4_096;
/// Largest number of crashes that are remembered of a request.
const MAX_CRASHES: usize = 64;
/// Largest number of canaries that attempts before a hold count for, so that one is
/// left by which a mistake ends.
const MAX_LATE_ATTEMPTS: usize = 2;
/// Shortest time in which a server that has ended answers again. It covers the
/// difference between the delays of two reports of one crash.
const MIN_RESTART_TIME: Duration = Duration::from_millis(250);

/// A set of services.
pub type ServiceNames = BTreeSet<ServiceName>;

/// The loss of a server that ran a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Service of the server.
    pub service: ServiceName,
    /// Name of the server's incarnation.
    pub server: String,
    /// Time at which the server was lost.
    pub lost_at: Instant,
    /// Time of the server's last answer to any request of the host that lost it.
    pub replied_at: Option<Instant>,
}

impl Crash {
    /// Returns whether the server had come back from `earlier` and ended once more.
    /// Its entry may not tell, as hosts learn of a restart late or not at all while
    /// the store is out of reach.
    fn is_repeat_of(&self, earlier: &Self) -> bool {
        let back_at = earlier.lost_at + MIN_RESTART_TIME;
        self.replied_at
            .is_some_and(|replied_at| replied_at >= back_at)
    }
}

/// What a host has seen of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashEvidence {
    /// Crashes that no answer of their services has followed.
    pub crashes: Vec<Crash>,
    /// Services that have answered after their last crash.
    pub proven: ServiceNames,
}

/// What follows from the crashes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Too few servers have ended.
    Suspected,
    /// The request has been held back already.
    Held,
    /// The request is held back from now on.
    HoldBegun,
    /// A service no longer counts as proven.
    HoldChanged,
}

impl Verdict {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Held => "held",
            Self::HoldBegun => "hold-begun",
            Self::HoldChanged => "hold-changed",
        }
    }

    /// Returns whether other hosts have to be told of the hold.
    pub const fn is_news(self) -> bool {
        matches!(self, Self::HoldBegun | Self::HoldChanged)
    }
}

/// Where a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Everywhere.
    Run,
    /// At these services only.
    RunAt(ServiceNames),
    /// At these services only, on one server of each, without retries, once the canary
    /// is counted where all hosts see it.
    Canary(ServiceNames),
    /// Nowhere; after this time that may change.
    Held(Duration),
}

#[derive(Debug)]
struct RecordedCrash {
    crash: Crash,
    /// Whether no answer has come within the time that a report waits for one.
    is_counted: bool,
    /// Whether this host has seen it.
    is_own: bool,
}

/// Where a crash was seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seen {
    Here,
    Reported,
}

/// Crashes of a request that is not held back.
#[derive(Debug)]
struct Suspect {
    crashes: Vec<RecordedCrash>,
    proven: ServiceNames,
    last_crash_at: Instant,
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            proven: ServiceNames::new(),
            last_crash_at: now,
        }
    }

    /// Records a crash unless it is expired. Its age counts from the loss of the server, as
    /// hosts report the same crash again whenever the hosts change.
    fn add(&mut self, crash: Crash, seen: Seen, now: Instant) {
        self.crashes
            .retain(|known| !is_expired(known.crash.lost_at, now));
        if is_expired(crash.lost_at, now) {
            return;
        }
        self.last_crash_at = now;
        self.proven.remove(&crash.service);
        let mut crashes = self.crashes.iter_mut();
        // Each end of a server counts once, whichever hosts report it.
        let known =
            crashes.find(|k| k.crash.server == crash.server && !crash.is_repeat_of(&k.crash));
        if let Some(known) = known {
            known.is_counted |= seen == Seen::Reported;
            known.is_own |= seen == Seen::Here;
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(RecordedCrash {
            crash,
            is_counted: seen == Seen::Reported,
            is_own: seen == Seen::Here,
        });
    }

    /// Returns the counted crashes that this host has seen and that still count.
    fn own_evidence(&self, now: Instant) -> CrashEvidence {
        let own = self.recent(now).filter(|k| k.is_own && k.is_counted);
        CrashEvidence {
            crashes: own.map(|known| known.crash.clone()).collect(),
            proven: self.proven.clone(),
        }
    }

    /// Returns whether the request has ended enough servers.
    fn is_harmful(&self, now: Instant) -> bool {
        let losses = self
            .counted(now)
            .map(|crash| (&crash.service, crash.lost_at));
        is_harmful(losses, !self.proven.is_empty())
    }

    fn counted(&self, now: Instant) -> impl Iterator<Item = &Crash> {
        let counted = self.recent(now).filter(|known| known.is_counted);
        counted.map(|known| &known.crash)
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = &RecordedCrash> {
        let crashes = self.crashes.iter();
        crashes.filter(move |known| !is_expired(known.crash.lost_at, now))
    }
}

/// A hold that is over.
#[derive(Debug)]
struct EndedHold {
    version: u64,
    at: Instant,
}

/// What a host knows of requests that end servers.
#[derive(Debug, Default)]
pub struct CrashLedger {
    suspects: HashMap<Fingerprint, Suspect>,
    holds: HashMap<Fingerprint, Hold>,
    /// The last holds that have ended, at most [`MAX_HOLDS`].
    ended: HashMap<Fingerprint, EndedHold>,
}

impl CrashLedger {
    /// Records that a server of `service` has answered a request, and returns whether
    /// the service is proven by that for a request that is held back.
    pub fn on_answered(&mut self, request: Fingerprint, service: &ServiceName) -> bool {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect
                .crashes
                .retain(|known| known.crash.service != *service);
            suspect.proven.insert(service.clone());
            if suspect.crashes.is_empty() {
                self.suspects.remove(&request);
            }
        }
        let hold = self.holds.get_mut(&request);
        hold.is_some_and(|hold| hold.on_answered(service))
    }

    /// Records that a server was lost while it ran a request, of which `answered` have
    /// been answered. Returns whether [`CrashLedger::confirm`] is to be called after the
    /// time that an answer may still take.
    pub fn on_server_lost(
        &mut self,
        request: Fingerprint,
        crash: Crash,
        answered: &[ServiceName],
        now: Instant,
    ) -> bool {
        let suspect = self.suspect(request, now);
        let is_pending = suspect.crashes.iter().any(|known| !known.is_counted);
        suspect.proven.extend(answered.iter().cloned());
        suspect.add(crash, Seen::Here, now);
        !is_pending
    }

    /// Counts the crashes of a request that no answer has followed. Returns what to
    /// report: all crashes that this host has seen, or `None` if none is new.
    pub fn confirm(&mut self, request: Fingerprint, now: Instant) -> Option<CrashEvidence> {
        let suspect = self.suspects.get_mut(&request)?;
        let mut is_new = false;
        for known in &mut suspect.crashes {
            is_new |= !known.is_counted;
            known.is_counted = true;
        }
        is_new.then(|| suspect.own_evidence(now))
    }

    /// Returns what this host has seen of the requests with the latest crashes, at most
    /// `count` of them, to report it again to hosts that may not know it.
    pub fn own_evidence(&self, count: usize, now: Instant) -> Vec<(Fingerprint, CrashEvidence)> {
        let evidence = self.suspects.iter().map(|(request, suspect)| {
            let evidence = suspect.own_evidence(now);
            (suspect.last_crash_at, (*request, evidence))
        });
        let mut evidence: Vec<_> = evidence
            .filter(|(_, (_, evidence))| !evidence.crashes.is_empty())
            .collect();
        evidence.sort_by_key(|(at, _)| Reverse(*at));
        evidence.truncate(count);
        evidence.into_iter().map(|(_, evidence)| evidence).collect()
    }

    /// Counts crashes that another host reports.
    pub fn on_report(&mut self, request: Fingerprint, evidence: &CrashEvidence, now: Instant) {
        let mut crashes = evidence.crashes.iter();
        if crashes.all(|crash| is_expired(crash.lost_at, now)) {
            return;
        }
        let suspect = self.suspect(request, now);
        suspect.proven.extend(evidence.proven.iter().cloned());
        for crash in &evidence.crashes {
            suspect.add(crash.clone(), Seen::Reported, now);
        }
    }

    /// Returns what follows from the crashes of a request that are counted. To be called
    /// once the reports of one moment can have arrived, as many losses at one moment
    /// prove less.
    pub fn judge(&mut self, request: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.suspects.get(&request) else {
            return Verdict::Suspected;
        };
        let hold = self.holds.get_mut(&request);
        if let Some(hold) = hold.filter(|hold| now < hold.until) {
            let since = hold.since;
            let crashes = suspect.counted(now).filter(|crash| crash.lost_at >= since);
            let disproven = crashes.filter(|crash| hold.on_disproven(&crash.service));
            let has_changed = disproven.count() > 0;
            self.suspects.remove(&request);
            if !has_changed {
                return Verdict::Held;
            }
            // Else a request that is answered at times would be tried without end.
            hold.canaries += 1;
            return Verdict::HoldChanged;
        }
        if !suspect.is_harmful(now) {
            return Verdict::Suspected;
        }
        let proven = suspect.proven.clone();
        let canaries = late_attempts(suspect.counted(now).map(|crash| crash.lost_at));
        self.suspects.remove(&request);
        let state = HoldState {
            left: HOLD_TIME,
            canaries: canaries.min(MAX_LATE_ATTEMPTS),
            proven,
            version: self.ended_version(request),
        };
        self.ended.remove(&request);
        let proven = state.proven.clone();
        self.insert_hold(request, state, now);
        if let Some(hold) = self.holds.get_mut(&request) {
            hold.unwritten_proven = proven;
        }
        Verdict::HoldBegun
    }

    /// Returns the number of servers that a request has ended since the last answers.
    pub fn crash_count(&self, request: Fingerprint, now: Instant) -> usize {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| suspect.counted(now).count())
    }

    /// Records what another host knows of a request that is held back. A record that is
    /// older than what is known, as from a copy of the store, changes nothing.
    pub fn on_record(&mut self, request: Fingerprint, state: HoldState, now: Instant) {
        let known = self.holds.get_mut(&request);
        if let Some(hold) = known.filter(|hold| now < hold.until) {
            hold.is_store_outdated = state.version < hold.version;
            if state.version > hold.version {
                if state.left.is_zero() {
                    self.end_hold(request, state.version, now);
                    return;
                }
                hold.take_newer(state);
            } else if state.version == hold.version {
                hold.canaries = hold.canaries.max(state.canaries);
            }
            return;
        }
        let ended = self.ended.get(&request);
        if ended.is_some_and(|ended| state.version <= ended.version) {
            return;
        }
        if state.left.is_zero() {
            self.end_hold(request, state.version, now);
        } else {
            self.ended.remove(&request);
            self.insert_hold(request, state, now);
        }
    }

    fn insert_hold(&mut self, request: Fingerprint, state: HoldState, now: Instant) {
        // Crashes before the hold must not be reported again as crashes after it.
        self.suspects.remove(&request);
        self.make_room_for_hold(now);
        self.holds.insert(request, Hold::new(state, now));
    }

    /// Records that the hold of a request is in the store under this number, with these
    /// `proven` services.
    pub fn on_written(&mut self, request: Fingerprint, version: u64, proven: &ServiceNames) {
        if let Some(hold) = self.holds.get_mut(&request) {
            hold.on_proven_written(proven);
            hold.version = hold.version.max(version);
            hold.is_store_outdated = false;
        }
    }

    /// Ends the hold of a request with the record of this number. Records up to that
    /// number no longer begin a hold, so that a copy of the store does not bring it back.
    pub fn end_hold(&mut self, request: Fingerprint, version: u64, now: Instant) {
        self.holds.remove(&request);
        if self.ended.len() >= MAX_HOLDS {
            let oldest = self.ended.iter().min_by_key(|(_, ended)| ended.at);
            if let Some(oldest) = oldest.map(|(request, _)| *request) {
                self.ended.remove(&oldest);
            }
        }
        self.ended.insert(request, EndedHold { version, at: now });
    }

    fn ended_version(&self, request: Fingerprint) -> u64 {
        self.ended.get(&request).map_or(0, |ended| ended.version)
    }

    /// Returns whether this host has found proven services that are in no record yet.
    pub fn has_unwritten_proven(&self, request: Fingerprint, now: Instant) -> bool {
        let hold = self.active_hold(request, now);
        hold.is_some_and(|hold| !hold.unwritten_proven.is_empty())
    }

    /// Returns whether the store holds an older record than this host.
    pub fn is_store_outdated(&self, request: Fingerprint) -> bool {
        let hold = self.holds.get(&request);
        hold.is_some_and(|hold| hold.is_store_outdated)
    }

    /// Returns what to tell other hosts of a request that is held back.
    pub fn hold_state(&self, request: Fingerprint, now: Instant) -> Option<HoldState> {
        self.active_hold(request, now).map(|hold| hold.state(now))
    }

    /// Returns the requests that are held back.
    pub fn held(&self, now: Instant) -> Vec<Fingerprint> {
        let holds = self.holds.iter().filter(|(_, hold)| now < hold.until);
        holds.map(|(request, _)| *request).collect()
    }

    /// Returns the time after which a request that is held back may run again where it
    /// may not now.
    pub fn held_for(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        self.active_hold(request, now).map(|hold| hold.wait(now))
    }

    /// Returns whether a request may run at a service only as a canary.
    pub fn is_held_at(&self, request: Fingerprint, service: &str, now: Instant) -> bool {
        let hold = self.active_hold(request, now);
        hold.is_some_and(|hold| !hold.proven.contains(service))
    }

    fn active_hold(&self, request: Fingerprint, now: Instant) -> Option<&Hold> {
        self.holds.get(&request).filter(|hold| now < hold.until)
    }

    /// Decides where a request to `services` may run. `is_enough` tells whether it is
    /// of use at that many of them. Canaries run on the owner of the request, or on any
    /// host if the owner does not get it in time; they are counted here first.
    pub fn admit(
        &mut self,
        request: Fingerprint,
        services: &[ServiceName],
        is_enough: impl FnOnce(usize) -> bool,
        is_owner: impl FnOnce() -> bool,
        now: Instant,
    ) -> Admission {
        let Some(hold) = self.holds.get_mut(&request) else {
            return Admission::Run;
        };
        if now >= hold.until {
            let version = hold.version;
            self.end_hold(request, version, now);
            return Admission::Run;
        }
        let services = services.iter().cloned();
        let (mut proven, unproven): (ServiceNames, ServiceNames) =
            services.partition(|service| hold.proven.contains(service));
        if unproven.is_empty() {
            return Admission::Run;
        }
        let due_at = hold.next_run_at();
        if now >= due_at && (now >= due_at + OWNER_HEAD_START || is_owner()) {
            proven.extend(hold.probed(unproven));
            hold.canaries += 1;
            return Admission::Canary(proven);
        }
        if is_enough(proven.len()) {
            return Admission::RunAt(proven);
        }
        Admission::Held(hold.wait(now))
    }

    /// Takes back a canary that no server has run; the next one follows after a pause.
    pub fn on_canary_not_run(&mut self, request: Fingerprint, now: Instant) {
        if let Some(hold) = self.holds.get_mut(&request) {
            hold.paused_until = now + UNUSED_CANARY_PAUSE;
            hold.canaries = hold.canaries.saturating_sub(1);
        }
    }

    /// Takes back a canary that has been answered, so that the next one can reach the
    /// services that are still unproven at once.
    pub fn on_canary_answered(&mut self, request: Fingerprint) {
        if let Some(hold) = self.holds.get_mut(&request) {
            hold.canaries = hold.canaries.saturating_sub(1);
        }
    }

    /// Returns what is remembered of the crashes of a request.
    fn suspect(&mut self, request: Fingerprint, now: Instant) -> &mut Suspect {
        if !self.suspects.contains_key(&request) {
            self.make_room(now);
        }
        self.suspects
            .entry(request)
            .or_insert_with(|| Suspect::new(now))
    }

    /// Makes room for another hold: drops those that have ended, else the oldest.
    fn make_room_for_hold(&mut self, now: Instant) {
        if self.holds.len() < MAX_HOLDS {
            return;
        }
        self.holds.retain(|_, hold| now < hold.until);
        if self.holds.len() >= MAX_HOLDS {
            let oldest = self.holds.iter().min_by_key(|(_, hold)| hold.since);
            if let Some(request) = oldest.map(|(request, _)| *request) {
                self.holds.remove(&request);
            }
        }
    }

    /// Makes room for another suspect: drops expired ones, else the oldest.
    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects
            .retain(|_, suspect| !is_expired(suspect.last_crash_at, now));
        if self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_crash_at);
            if let Some(request) = oldest.map(|(request, _)| *request) {
                self.suspects.remove(&request);
            }
        }
    }
}

fn is_expired(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) >= CRASH_TTL
}
