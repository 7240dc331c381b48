//! Which requests are held back because they crash upstreams.
//!
//! A poison request crashes each upstream that runs it, so one success proves
//! a fingerprint innocent. A fingerprint without a success runs on two servers
//! first, as canaries, and the rest of its calls wait for the first success.
//! Two crashes on distinct servers hold it back for a while. A crash counts
//! only against canaries: whatever else was in flight on a crashed server is
//! merely sent through canaries again.
//!
//! When servers crash that a fingerprint had no part in, the cause is more
//! likely elsewhere, and the fingerprint is held back later and for less long.

use {
    crate::{
        delta::{HeldBack, Mark, QuarantineDelta},
        known_good::KnownGood,
        suspect::{is_old, Crash, Suspect, Turn},
        Fingerprint,
    },
    parking_lot::Mutex,
    record::ServerAddr,
    std::{
        collections::{HashMap, HashSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Parts of the state, each under its own lock.
const PARTS: usize = 16;
/// Most suspects that a part remembers.
const MAX_SUSPECTS: usize = 512;
/// Time within which crashes count as one mass failure.
const MASS_WINDOW: Duration = Duration::from_secs(2);
/// Crashed servers below which nothing counts as a mass failure.
const MIN_MASS_SERVERS: usize = 5;
/// Most crashes that are remembered for telling a mass failure.
const MAX_RECENT: usize = 1_024;

/// What a call may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Clearance {
    /// The fingerprint has a success to its name; run.
    Pass,
    /// Run as a canary, and report its end with [`Quarantine::on_canary_end`].
    Canary,
    /// Ask again at the end of a canary, or at this time.
    Wait(Instant),
    /// Held back for this time; the call has not run.
    Held(Duration),
}

/// How a call ended, as far as the quarantine is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server replied.
    Success,
    /// The connection died while the call was running.
    Crash,
    /// Anything else.
    NoVerdict,
}

#[derive(Debug, Default)]
struct Part {
    known_good: KnownGood,
    suspects: HashMap<Fingerprint, Suspect>,
}

/// Fingerprints that crash upstreams, and those that do not.
#[derive(Debug)]
pub struct Quarantine {
    parts: Vec<Mutex<Part>>,
    recent: Mutex<VecDeque<Crash>>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            parts: (0..PARTS).map(|_| Mutex::default()).collect(),
            recent: Mutex::default(),
        }
    }
}

impl Quarantine {
    /// Decides whether a call may run.
    pub fn clear(&self, fingerprint: Fingerprint, now: Instant) -> Clearance {
        let mut part = self.part(fingerprint).lock();
        if part.known_good.contains(fingerprint) {
            return Clearance::Pass;
        }
        if part.suspects.len() >= MAX_SUSPECTS {
            part.suspects.retain(|_, suspect| !suspect.is_blank(now));
        }
        match part.suspects.entry(fingerprint).or_default().turn(now) {
            Turn::Canary => Clearance::Canary,
            Turn::Wait(until) => Clearance::Wait(until),
            Turn::Held(left) => Clearance::Held(left),
        }
    }

    /// Returns how long the fingerprint is held back yet.
    pub fn held_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let part = self.part(fingerprint).lock();
        part.suspects.get(&fingerprint)?.held_for(now)
    }

    /// Returns whether the fingerprint has a success to its name.
    pub fn is_known_good(&self, fingerprint: Fingerprint) -> bool {
        self.part(fingerprint)
            .lock()
            .known_good
            .contains(fingerprint)
    }

    /// Takes a success of the fingerprint, here or on a peer.
    pub fn on_success(&self, fingerprint: Fingerprint) {
        let mut part = self.part(fingerprint).lock();
        part.suspects.remove(&fingerprint);
        part.known_good.insert(fingerprint);
    }

    /// Takes the end of a canary, and returns whether a quarantine begins.
    pub fn on_canary_end(
        &self,
        fingerprint: Fingerprint,
        server: ServerAddr,
        outcome: Outcome,
        now: Instant,
    ) -> bool {
        match outcome {
            Outcome::Success => {
                self.on_success(fingerprint);
                false
            }
            Outcome::NoVerdict => {
                let mut part = self.part(fingerprint).lock();
                if let Some(suspect) = part.suspects.get_mut(&fingerprint) {
                    suspect.on_canary_end();
                }
                false
            }
            Outcome::Crash => {
                self.remember(server, now);
                let mut part = self.part(fingerprint).lock();
                if part.known_good.contains(fingerprint) {
                    // Another canary has succeeded, so one of the two misleads: ask again.
                    part.known_good.remove(fingerprint);
                    return false;
                }
                let suspect = part.suspects.entry(fingerprint).or_default();
                suspect.on_canary_end();
                self.add_crash(suspect, server, now)
            }
        }
    }

    /// Takes a crash under a call that was no canary: the fingerprint needs canaries again.
    pub fn on_crash_in_fan_out(&self, fingerprint: Fingerprint, server: ServerAddr, now: Instant) {
        self.remember(server, now);
        self.part(fingerprint).lock().known_good.remove(fingerprint);
    }

    /// Returns what peers need to know.
    pub fn delta(&self, now: Instant) -> QuarantineDelta {
        let mut delta = QuarantineDelta::default();
        for part in &self.parts {
            for (fingerprint, suspect) in &part.lock().suspects {
                add_to(&mut delta, *fingerprint, suspect, now);
            }
        }
        delta
    }

    /// Returns what peers need to know about one fingerprint.
    pub fn delta_of(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineDelta {
        let mut delta = QuarantineDelta::default();
        let part = self.part(fingerprint).lock();
        if let Some(suspect) = part.suspects.get(&fingerprint) {
            add_to(&mut delta, fingerprint, suspect, now);
        }
        delta
    }

    /// Takes what a peer knows; taking it twice changes nothing.
    pub fn merge(&self, delta: &QuarantineDelta, now: Instant) {
        for mark in &delta.marks {
            let mut part = self.part(mark.fingerprint).lock();
            let crash = Crash {
                server: mark.server,
                at: now.checked_sub(mark.age).unwrap_or(now),
            };
            // A success here outweighs a crash there.
            if part.known_good.contains(mark.fingerprint) || is_old(&crash, now) {
                continue;
            }
            let suspect = part.suspects.entry(mark.fingerprint).or_default();
            suspect.on_crash(crash, false, now);
        }
        for held_back in &delta.held_back {
            let mut part = self.part(held_back.fingerprint).lock();
            part.known_good.remove(held_back.fingerprint);
            let suspect = part.suspects.entry(held_back.fingerprint).or_default();
            suspect.hold(now + held_back.left);
        }
    }

    fn add_crash(&self, suspect: &mut Suspect, server: ServerAddr, now: Instant) -> bool {
        let own = 1 + suspect
            .crashes()
            .iter()
            .filter(|crash| crash.server != server && is_recent(crash, now))
            .count();
        let crashed = self.crashed_servers(now);
        let is_mass = crashed >= MIN_MASS_SERVERS && own * 2 < crashed;
        suspect.on_crash(Crash { server, at: now }, is_mass, now)
    }

    fn remember(&self, server: ServerAddr, now: Instant) {
        let mut recent = self.recent.lock();
        while recent.front().is_some_and(|c| !is_recent(c, now)) || recent.len() >= MAX_RECENT {
            recent.pop_front();
        }
        recent.push_back(Crash { server, at: now });
    }

    fn crashed_servers(&self, now: Instant) -> usize {
        let recent = self.recent.lock();
        let within = recent.iter().filter(|crash| is_recent(crash, now));
        within
            .map(|crash| crash.server)
            .collect::<HashSet<_>>()
            .len()
    }

    fn part(&self, fingerprint: Fingerprint) -> &Mutex<Part> {
        // The remainder is below the number of parts, so it fits.
        &self.parts[(fingerprint % PARTS as u64) as usize]
    }
}

fn add_to(delta: &mut QuarantineDelta, fingerprint: Fingerprint, suspect: &Suspect, now: Instant) {
    let crashes = suspect.crashes().iter();
    let marks = crashes.filter(|_| suspect.is_shared()).map(|crash| Mark {
        fingerprint,
        server: crash.server,
        age: now.saturating_duration_since(crash.at),
    });
    delta.marks.extend(marks);
    if let Some(left) = suspect.held_for(now) {
        delta.held_back.push(HeldBack { fingerprint, left });
    }
}

fn is_recent(crash: &Crash, now: Instant) -> bool {
    now.saturating_duration_since(crash.at) < MASS_WINDOW
}
