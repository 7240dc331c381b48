//! The way of a call past the quarantine: pass, go as a canary, wait, or be held back.

use {
    crate::{relay::news, shared::Shared},
    kind::{Error, Kind, Ran, Result},
    link::{Clearance, Fingerprint, Outcome, Quarantine},
    plan::{LeafFault, Reason, Refusal},
    record::ServerAddr,
    std::time::{Duration, Instant},
    tokio::{pin, select, sync::Notify, time::sleep_until},
};

/// Signals for the ends of canaries; fingerprints share them.
const SIGNALS: usize = 64;

/// The quarantine with the signals for those who wait for a canary.
pub(crate) struct Canaries {
    pub(crate) quarantine: Quarantine,
    signals: Vec<Notify>,
}

/// What the end of a call means for its fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ended {
    /// Nothing against it.
    Well,
    /// A canary crashed its server.
    InCrash,
    /// The crash of a canary began a quarantine.
    InQuarantine,
}

/// A call that may run; its end goes to the quarantine.
pub(crate) struct Cleared<'a> {
    canaries: &'a Canaries,
    fingerprint: Fingerprint,
    server: ServerAddr,
    is_canary: bool,
    is_ended: bool,
}

impl Default for Canaries {
    fn default() -> Self {
        Self {
            quarantine: Quarantine::default(),
            signals: (0..SIGNALS).map(|_| Notify::new()).collect(),
        }
    }
}

impl Canaries {
    /// Waits until a call of the fingerprint may run on `server`.
    ///
    /// # Errors
    ///
    /// Returns the time for which the fingerprint is held back.
    pub(crate) async fn clear(
        &self,
        fingerprint: Fingerprint,
        server: ServerAddr,
    ) -> Result<Cleared<'_>, Duration> {
        loop {
            let signal = self.signal(fingerprint).notified();
            pin!(signal);
            // Listening begins before the question, so that no signal is lost between.
            signal.as_mut().enable();
            let is_canary = match self.quarantine.check(fingerprint, Instant::now()) {
                Clearance::Pass => false,
                Clearance::Canary => true,
                Clearance::Quarantined(left) => return Err(left),
                Clearance::Wait(until) => {
                    select! {
                        () = signal => {}
                        () = sleep_until(until.into()) => {}
                    }
                    continue;
                }
            };
            return Ok(Cleared {
                canaries: self,
                fingerprint,
                server,
                is_canary,
                is_ended: false,
            });
        }
    }

    fn signal(&self, fingerprint: Fingerprint) -> &Notify {
        // The remainder is below the number of signals, so it fits.
        &self.signals[(fingerprint % SIGNALS as u64) as usize]
    }
}

impl Cleared<'_> {
    /// Takes the end of the call, and returns what it means for its fingerprint.
    pub(crate) fn on_end(mut self, fault: Option<LeafFault>) -> Ended {
        self.is_ended = true;
        self.end(match fault {
            None => Outcome::Success,
            Some(LeafFault::LostAfterWrite | LeafFault::LostInReply) => Outcome::Crash,
            Some(_) => Outcome::NoVerdict,
        })
    }

    fn end(&self, outcome: Outcome) -> Ended {
        let now = Instant::now();
        let quarantine = &self.canaries.quarantine;
        if !self.is_canary {
            if outcome == Outcome::Crash {
                quarantine.on_non_canary_crash(self.fingerprint, self.server, now);
            }
            return Ended::Well;
        }
        let begins = quarantine.on_canary_end(self.fingerprint, self.server, outcome, now);
        self.canaries.signal(self.fingerprint).notify_waiters();
        match outcome {
            Outcome::Crash if begins => Ended::InQuarantine,
            Outcome::Crash => Ended::InCrash,
            _ => Ended::Well,
        }
    }
}

impl Drop for Cleared<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end(Outcome::NoVerdict);
        }
    }
}

/// Refuses a query whose fingerprint is held back.
///
/// # Errors
///
/// Returns [`Kind::Quarantined`] with the time that is left.
pub(crate) fn check(shared: &Shared, fingerprint: Fingerprint) -> Result<()> {
    let quarantine = &shared.canaries.quarantine;
    let Some(left) = quarantine.quarantined_for(fingerprint, Instant::now()) else {
        return Ok(());
    };
    shared.metrics.on_event("link", "held-back");
    let detail = format!("request {fingerprint:016x} has crashed upstreams and is held back");
    Err(Error::new(Kind::Quarantined, detail).with_retry_after(left))
}

/// Reports the end of a call here and to peers.
pub(crate) fn on_ended(shared: &Shared, route: &str, fingerprint: Fingerprint, ended: Ended) {
    if ended == Ended::Well {
        return;
    }
    news::tell_quarantine(shared, fingerprint);
    if ended == Ended::InQuarantine {
        shared.metrics.on_event("link", "quarantine");
        log::warn!(
            target: "link",
            "Request {fingerprint:016x} on route {route} is held back, it has crashed upstreams."
        );
    }
}

/// Returns the fault of a call that is held back.
pub(crate) fn held_back() -> LeafFault {
    LeafFault::Refused(Refusal {
        reason: Reason::Quarantined,
        ran: Ran::No,
        echoes_ids: true,
        newest_version: None,
    })
}
