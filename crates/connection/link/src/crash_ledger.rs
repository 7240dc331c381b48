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
//! mistake, such as many servers lost for another reason, ends by itself.

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
/// Time for which a request is held back at first.
const FIRST_HOLD: Duration = Duration::from_secs(60);
/// Factor by which the next hold of the same request is longer.
const HOLD_FACTOR: u32 = 10;
/// Longest time for which a request is held back.
const LONGEST_HOLD: Duration = Duration::from_secs(600);
/// Times since the beginning of a hold at which a canary may run.
const CANARY_TIMES: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(30)];
/// Largest number of requests about which crashes are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run the request.
    Run,
    /// Run the request on one server of each shard, without retries.
    Canary,
    /// Do not run the request; it is held back for this time.
    Held(Duration),
}

/// Crashes of servers that ran a request.
#[derive(Debug)]
struct Suspect {
    /// Names of distinct incarnations of servers, with the times of their loss.
    crashes: Vec<(String, Instant)>,
    holds: u32,
    last_crash_at: Instant,
}

#[derive(Debug)]
struct Hold {
    since: Instant,
    until: Instant,
    canaries: usize,
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

    /// Records a reported crash as the owner of the request. Returns for how long
    /// the request is to be held back if this crash decides it.
    pub fn on_crash(
        &mut self,
        request: Fingerprint,
        server: &str,
        now: Instant,
    ) -> Option<Duration> {
        if self.known_good.contains(request) || self.holds.contains_key(&request) {
            return None;
        }
        self.make_room(now);
        let suspect = self.suspects.entry(request).or_insert(Suspect {
            crashes: Vec::new(),
            holds: 0,
            last_crash_at: now,
        });
        suspect.last_crash_at = now;
        suspect.crashes.retain(|(_, at)| !is_expired(*at, now));
        if !suspect.crashes.iter().any(|(known, _)| known == server) {
            suspect.crashes.push((server.to_owned(), now));
        }
        let needed = if suspect.holds == 0 {
            CRASHES_TO_HOLD
        } else {
            1
        };
        if suspect.crashes.len() < needed {
            return None;
        }
        let factor = HOLD_FACTOR.saturating_pow(suspect.holds);
        suspect.holds = suspect.holds.saturating_add(1);
        suspect.crashes.clear();
        Some(FIRST_HOLD.saturating_mul(factor).min(LONGEST_HOLD))
    }

    /// Holds a request back for `duration`, unless it already is.
    pub fn hold(&mut self, request: Fingerprint, duration: Duration, now: Instant) {
        self.holds.entry(request).or_insert(Hold {
            since: now,
            until: now + duration,
            canaries: 0,
        });
    }

    /// Ends the hold of a request.
    pub fn release(&mut self, request: Fingerprint) {
        self.holds.remove(&request);
    }

    /// Returns the time for which a request is still held back.
    pub fn held_for(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.holds.get(&request)?.until;
        until
            .checked_duration_since(now)
            .filter(|left| !left.is_zero())
    }

    /// Decides whether a request may run. Only its owner runs canaries.
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
        let canary_time = CANARY_TIMES.get(hold.canaries);
        if canary_time.is_some_and(|time| now >= hold.since + *time) && is_owner() {
            hold.canaries += 1;
            return Admission::Canary;
        }
        Admission::Held(hold.until - now)
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
