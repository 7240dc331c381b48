//! Quarantine of requests that crash upstream servers.
//!
//! A poison request crashes every server that runs it, so a single success
//! proves that a request, identified by its fingerprint, is harmless. A
//! fingerprint without a success first runs on two servers, as canaries, while
//! its other calls wait for the first success. Crashes of two distinct servers
//! put the fingerprint into quarantine. Only the crash of a canary counts
//! against a fingerprint: other requests that were in flight on a crashed
//! server merely need canaries again.
//!
//! In a mass failure, many servers crash at about the same time, and most of them
//! while they did not run the fingerprint. As the cause is then more likely
//! elsewhere, the fingerprint's quarantine takes one more crash to begin and is
//! shorter.

use {
    crate::{
        delta::{QuarantineDelta, QuarantinedFingerprint, ReportedCrash},
        known_good::KnownGood,
        loss::is_unrelated_mass_failure,
        suspect::{is_expired, Crash, Decision, Suspect},
        Fingerprint,
    },
    parking_lot::Mutex,
    record::ServerAddr,
    std::{
        collections::{HashMap, HashSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Number of stripes of the state, each under its own lock.
const STRIPES: usize = 16;
/// Number of suspects in a stripe from which discardable ones are removed.
const MAX_SUSPECTS: usize = 512;
/// Time within which crashes count towards the same mass failure.
const MASS_FAILURE_WINDOW: Duration = Duration::from_secs(2);
/// Largest number of crashes kept for the detection of mass failures.
const MAX_RECENT_CRASHES: usize = 1_024;

/// Whether a call may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Clearance {
    /// Run the call: the fingerprint has had a success.
    Pass,
    /// Run the call as a canary, and report its end with [`Quarantine::on_canary_end`].
    Canary,
    /// Ask again when a canary ends, or at this time.
    Wait(Instant),
    /// Do not run the call: the fingerprint is in quarantine for this time.
    Quarantined(Duration),
}

/// How a call ended, as far as the quarantine is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server replied.
    Success,
    /// The connection was lost while the call was running.
    Crash,
    /// Any other end, which says nothing about the request.
    NoVerdict,
}

#[derive(Debug, Default)]
struct Stripe {
    known_good: KnownGood,
    suspects: HashMap<Fingerprint, Suspect>,
}

/// Tracks which fingerprints crash upstream servers and which are harmless.
#[derive(Debug)]
pub struct Quarantine {
    stripes: Vec<Mutex<Stripe>>,
    recent_crashes: Mutex<VecDeque<Crash>>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            stripes: (0..STRIPES).map(|_| Mutex::default()).collect(),
            recent_crashes: Mutex::default(),
        }
    }
}

impl Quarantine {
    /// Decides whether a call may run.
    pub fn check(&self, fingerprint: Fingerprint, now: Instant) -> Clearance {
        let mut stripe = self.stripe(fingerprint).lock();
        if stripe.known_good.contains(fingerprint) {
            return Clearance::Pass;
        }
        if stripe.suspects.len() >= MAX_SUSPECTS {
            stripe
                .suspects
                .retain(|_, suspect| !suspect.is_discardable(now));
        }
        match stripe.suspects.entry(fingerprint).or_default().decide(now) {
            Decision::Canary => Clearance::Canary,
            Decision::WaitUntil(until) => Clearance::Wait(until),
            Decision::Quarantined(remaining) => Clearance::Quarantined(remaining),
        }
    }

    /// Returns the remaining time of the fingerprint's quarantine, if it is in quarantine.
    pub fn quarantined_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let stripe = self.stripe(fingerprint).lock();
        stripe.suspects.get(&fingerprint)?.quarantined_for(now)
    }

    /// Returns whether the fingerprint has had a success.
    pub fn is_known_good(&self, fingerprint: Fingerprint) -> bool {
        self.stripe(fingerprint)
            .lock()
            .known_good
            .contains(fingerprint)
    }

    /// Records a success of the fingerprint, on this host or on a peer.
    pub fn on_success(&self, fingerprint: Fingerprint) {
        let mut stripe = self.stripe(fingerprint).lock();
        stripe.suspects.remove(&fingerprint);
        stripe.known_good.insert(fingerprint);
    }

    /// Records the end of a canary, and returns whether it starts a quarantine.
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
                let mut stripe = self.stripe(fingerprint).lock();
                if let Some(suspect) = stripe.suspects.get_mut(&fingerprint) {
                    suspect.on_canary_end();
                }
                false
            }
            Outcome::Crash => {
                self.record_crash(server, now);
                let mut stripe = self.stripe(fingerprint).lock();
                if stripe.known_good.contains(fingerprint) {
                    // Another canary has succeeded, so one of the two outcomes is
                    // misleading. Further calls start with canaries again.
                    stripe.known_good.remove(fingerprint);
                    return false;
                }
                let suspect = stripe.suspects.entry(fingerprint).or_default();
                suspect.on_canary_end();
                self.add_crash(suspect, server, now)
            }
        }
    }

    /// Records a crash during a call that was not a canary.
    ///
    /// The fingerprint needs canaries again.
    pub fn on_non_canary_crash(&self, fingerprint: Fingerprint, server: ServerAddr, now: Instant) {
        self.record_crash(server, now);
        self.stripe(fingerprint)
            .lock()
            .known_good
            .remove(fingerprint);
    }

    /// Returns the state that peers need to know.
    pub fn delta(&self, now: Instant) -> QuarantineDelta {
        let mut delta = QuarantineDelta::default();
        for stripe in &self.stripes {
            for (fingerprint, suspect) in &stripe.lock().suspects {
                add_to_delta(&mut delta, *fingerprint, suspect, now);
            }
        }
        delta
    }

    /// Returns the state of one fingerprint that peers need to know.
    pub fn delta_of(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineDelta {
        let mut delta = QuarantineDelta::default();
        let stripe = self.stripe(fingerprint).lock();
        if let Some(suspect) = stripe.suspects.get(&fingerprint) {
            add_to_delta(&mut delta, fingerprint, suspect, now);
        }
        delta
    }

    /// Merges the state of a peer; merging it twice changes nothing.
    pub fn merge(&self, delta: &QuarantineDelta, now: Instant) {
        for reported in &delta.crashes {
            let mut stripe = self.stripe(reported.fingerprint).lock();
            let crash = Crash {
                server: reported.server,
                at: now.checked_sub(reported.age).unwrap_or(now),
            };
            // A success on this host outweighs a crash seen by a peer.
            if stripe.known_good.contains(reported.fingerprint) || is_expired(&crash, now) {
                continue;
            }
            let suspect = stripe.suspects.entry(reported.fingerprint).or_default();
            suspect.on_crash(crash, false, now);
        }
        for quarantined in &delta.quarantined {
            let mut stripe = self.stripe(quarantined.fingerprint).lock();
            stripe.known_good.remove(quarantined.fingerprint);
            let suspect = stripe.suspects.entry(quarantined.fingerprint).or_default();
            suspect.quarantine_until(now + quarantined.remaining);
        }
    }

    fn add_crash(&self, suspect: &mut Suspect, server: ServerAddr, now: Instant) -> bool {
        let crashed_by_suspect = 1 + suspect
            .crashes()
            .iter()
            .filter(|crash| crash.server != server && is_recent(crash, now))
            .count();
        let crashed = self.crashed_servers(now);
        let is_mass_failure = is_unrelated_mass_failure(crashed, crashed_by_suspect);
        suspect.on_crash(Crash { server, at: now }, is_mass_failure, now)
    }

    /// Records a crash for the detection of mass failures.
    fn record_crash(&self, server: ServerAddr, now: Instant) {
        let mut recent = self.recent_crashes.lock();
        while recent.front().is_some_and(|c| !is_recent(c, now))
            || recent.len() >= MAX_RECENT_CRASHES
        {
            recent.pop_front();
        }
        recent.push_back(Crash { server, at: now });
    }

    /// Returns the number of distinct servers that crashed recently.
    fn crashed_servers(&self, now: Instant) -> usize {
        let recent = self.recent_crashes.lock();
        let in_window = recent.iter().filter(|crash| is_recent(crash, now));
        in_window
            .map(|crash| crash.server)
            .collect::<HashSet<_>>()
            .len()
    }

    fn stripe(&self, fingerprint: Fingerprint) -> &Mutex<Stripe> {
        // The cast is lossless, as the remainder is less than `STRIPES`.
        &self.stripes[(fingerprint % STRIPES as u64) as usize]
    }
}

fn add_to_delta(
    delta: &mut QuarantineDelta,
    fingerprint: Fingerprint,
    suspect: &Suspect,
    now: Instant,
) {
    let crashes = suspect.crashes().iter();
    let reported = crashes
        .filter(|_| suspect.shares_crashes())
        .map(|crash| ReportedCrash {
            fingerprint,
            server: crash.server,
            age: now.saturating_duration_since(crash.at),
        });
    delta.crashes.extend(reported);
    if let Some(remaining) = suspect.quarantined_for(now) {
        delta.quarantined.push(QuarantinedFingerprint {
            fingerprint,
            remaining,
        });
    }
}

/// Returns whether a crash lies within the window for mass failures.
fn is_recent(crash: &Crash, now: Instant) -> bool {
    now.saturating_duration_since(crash.at) < MASS_FAILURE_WINDOW
}
