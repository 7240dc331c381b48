//! Detection of requests that end the servers that run them, by hosts together.
//!
//! Load: a request that ends each server that begins to run it, sent again and
//! again by its caller, at any host. Requests are too many and too different for
//! canaries of each, so that a request counts as harmless until servers were lost
//! while they ran it. Hosts report such losses to the owner of the request's
//! [`Fingerprint`], which holds the request back once it has ended several servers
//! without any answer. A single answer proves a request harmless.
//!
//! A request that is held back runs again only as a canary of its owner, so that a
//! mistake, such as many servers lost for another reason, ends by itself. The
//! canaries are counted for the request: within [`HOLD_TIME`] it reaches no more
//! servers than there are [`CANARY_TIMES`], whichever hosts own it meanwhile.

use {
    crate::{known_good::KnownGood, Fingerprint},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Number of servers that a request ends before it is held back.
const CRASHES_TO_HOLD: usize = 3;
/// Age from which a crash no longer counts.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Time for which a request is held back unless a canary is answered.
const HOLD_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Times since the beginning of a hold from which the canaries may run.
const CANARY_TIMES: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(30),
    Duration::from_secs(600),
];
/// Time until the next canary after one that no server has run.
const UNUSED_CANARY_PAUSE: Duration = Duration::from_secs(5);
/// Shortest time that callers of a request that is held back are told to wait.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// Largest number of requests about which crashes are remembered, and of those that
/// are held back.
const MAX_SUSPECTS: usize = 4_096;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run the request.
    Run,
    /// Run the request on one server of each shard, without retries, once the canary
    /// is counted where all hosts see it.
    Canary,
    /// Do not run the request; after this time it may run again.
    Held(Duration),
}

/// Crashes of servers that ran a request.
#[derive(Debug)]
struct Suspect {
    /// Names of distinct incarnations of servers, with the times of their loss.
    crashes: Vec<(String, Instant)>,
    last_crash_at: Instant,
}

/// What hosts tell each other of a request that is held back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HoldState {
    /// Time for which the request is still held back.
    pub left: Duration,
    /// Number of canaries that have run or may have.
    pub canaries: usize,
}

#[derive(Debug)]
struct Hold {
    since: Instant,
    until: Instant,
    canaries: usize,
    /// Time before which no further canary runs.
    paused_until: Instant,
}

impl Hold {
    /// Returns the time from which the next canary may run, or at which the hold ends.
    fn next_run_at(&self) -> Instant {
        let canary_time = CANARY_TIMES.get(self.canaries);
        let next_at = canary_time.map(|time| (self.since + *time).max(self.paused_until));
        next_at.map_or(self.until, |at| at.min(self.until))
    }
}

/// What a host knows of requests that end servers.
#[derive(Debug, Default)]
pub struct CrashLedger {
    known_good: KnownGood,
    suspects: HashMap<Fingerprint, Suspect>,
    holds: HashMap<Fingerprint, Hold>,
}

impl CrashLedger {
    /// Records that a server has answered a request, and returns whether the request
    /// was held back.
    pub fn on_answered(&mut self, request: Fingerprint) -> bool {
        self.known_good.insert(request);
        self.suspects.remove(&request);
        self.holds.remove(&request).is_some()
    }

    /// Records that a server was lost while it ran a request, and returns whether
    /// that casts suspicion on the request.
    pub fn on_server_lost(&mut self, request: Fingerprint) -> bool {
        let is_suspect = !self.known_good.contains(request);
        // A request that was harmless may have become a harmful one.
        self.known_good.remove(request);
        is_suspect
    }

    /// Returns whether a server has answered the request since it was last lost with one.
    pub fn is_known_good(&mut self, request: Fingerprint) -> bool {
        self.known_good.contains(request)
    }

    /// Records a reported crash as the owner of the request. Returns the hold to begin
    /// if this crash decides it.
    pub fn on_crash(
        &mut self,
        request: Fingerprint,
        server: &str,
        now: Instant,
    ) -> Option<HoldState> {
        if self.known_good.contains(request) || self.is_held(request, now) {
            return None;
        }
        self.make_room(now);
        let suspect = self.suspects.entry(request).or_insert(Suspect {
            crashes: Vec::new(),
            last_crash_at: now,
        });
        suspect.last_crash_at = now;
        suspect.crashes.retain(|(_, at)| !is_expired(*at, now));
        if !suspect.crashes.iter().any(|(known, _)| known == server) {
            suspect.crashes.push((server.to_owned(), now));
        }
        if suspect.crashes.len() < CRASHES_TO_HOLD {
            return None;
        }
        self.suspects.remove(&request);
        Some(HoldState {
            left: HOLD_TIME,
            canaries: 0,
        })
    }

    /// Holds a request back. If it already is, only canaries that other hosts have
    /// counted are added.
    pub fn hold(&mut self, request: Fingerprint, state: HoldState, now: Instant) {
        let known = self.holds.get_mut(&request);
        if let Some(hold) = known.filter(|hold| now < hold.until) {
            hold.canaries = hold.canaries.max(state.canaries);
            return;
        }
        self.make_room_for_hold(now);
        let hold = Hold {
            since: now,
            until: now + state.left.min(HOLD_TIME),
            canaries: state.canaries,
            paused_until: now,
        };
        self.holds.insert(request, hold);
    }

    fn is_held(&self, request: Fingerprint, now: Instant) -> bool {
        let hold = self.holds.get(&request);
        hold.is_some_and(|hold| now < hold.until)
    }

    /// Returns what to tell other hosts of a request that is held back.
    pub fn hold_state(&self, request: Fingerprint, now: Instant) -> Option<HoldState> {
        let hold = self.holds.get(&request)?;
        Some(HoldState {
            left: hold.until.saturating_duration_since(now),
            canaries: hold.canaries,
        })
    }

    /// Returns the requests that are held back.
    pub fn held(&self, now: Instant) -> Vec<Fingerprint> {
        let holds = self.holds.iter().filter(|(_, hold)| now < hold.until);
        holds.map(|(request, _)| *request).collect()
    }

    /// Ends the hold of a request.
    pub fn release(&mut self, request: Fingerprint) {
        self.holds.remove(&request);
    }

    /// Returns the time after which a request that is held back may run again.
    pub fn held_for(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let hold = self.holds.get(&request).filter(|hold| now < hold.until)?;
        let wait = hold.next_run_at().saturating_duration_since(now);
        Some(wait.max(MIN_WAIT))
    }

    /// Decides whether a request may run. Only its owner runs canaries, each of which
    /// it counts here first.
    pub fn admit(
        &mut self,
        request: Fingerprint,
        is_owner: impl FnOnce() -> bool,
        now: Instant,
    ) -> Admission {
        let Some(hold) = self.holds.get_mut(&request) else {
            return Admission::Run;
        };
        if now >= hold.until {
            self.holds.remove(&request);
            return Admission::Run;
        }
        if now >= hold.next_run_at() && is_owner() {
            hold.canaries += 1;
            return Admission::Canary;
        }
        let wait = hold.next_run_at().saturating_duration_since(now);
        Admission::Held(wait.max(MIN_WAIT))
    }

    /// Records what all hosts know of a request that is held back.
    pub fn on_record(&mut self, request: Fingerprint, state: HoldState, now: Instant) {
        self.hold(request, state, now);
        if let Some(hold) = self.holds.get_mut(&request) {
            hold.canaries = state.canaries;
        }
    }

    /// Records that no server has run a canary, and returns what to tell other hosts
    /// so that it does not count.
    pub fn on_canary_not_run(&mut self, request: Fingerprint, now: Instant) -> Option<HoldState> {
        let hold = self.holds.get_mut(&request)?;
        hold.paused_until = now + UNUSED_CANARY_PAUSE;
        let state = self.hold_state(request, now)?;
        Some(HoldState {
            canaries: state.canaries.saturating_sub(1),
            ..state
        })
    }

    /// Makes room for another hold: drops those that have ended, else the oldest.
    fn make_room_for_hold(&mut self, now: Instant) {
        if self.holds.len() < MAX_SUSPECTS {
            return;
        }
        self.holds.retain(|_, hold| now < hold.until);
        if self.holds.len() >= MAX_SUSPECTS {
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
