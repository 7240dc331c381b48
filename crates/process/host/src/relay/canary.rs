//! The way of a call past the quarantine: pass, go as a canary, wait, or be held back.

use {
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

/// A call that may run; its end goes to the quarantine.
pub(crate) struct Cleared<'a> {
    canaries: &'a Canaries,
    fingerprint: Fingerprint,
    server: ServerAddr,
    is_canary: bool,
    outcome: Outcome,
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
            let is_canary = match self.quarantine.clear(fingerprint, Instant::now()) {
                Clearance::Pass => false,
                Clearance::Canary => true,
                Clearance::Held(left) => return Err(left),
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
                outcome: Outcome::NoVerdict,
            });
        }
    }

    fn signal(&self, fingerprint: Fingerprint) -> &Notify {
        // The remainder is below the number of signals, so it fits.
        &self.signals[(fingerprint % SIGNALS as u64) as usize]
    }
}

impl Cleared<'_> {
    /// Takes the end of the call.
    pub(crate) fn on_end(mut self, fault: Option<LeafFault>) {
        self.outcome = match fault {
            None => Outcome::Success,
            Some(LeafFault::LostAfterWrite | LeafFault::LostInReply) => Outcome::Crash,
            Some(_) => Outcome::NoVerdict,
        };
    }
}

impl Drop for Cleared<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let quarantine = &self.canaries.quarantine;
        if !self.is_canary {
            if self.outcome == Outcome::Crash {
                quarantine.on_crash_in_fan_out(self.fingerprint, self.server, now);
            }
            return;
        }
        if quarantine.on_canary_end(self.fingerprint, self.server, self.outcome, now) {
            log::warn!(
                target: "link",
                "Request {:016x} is held back, it has crashed upstreams.",
                self.fingerprint
            );
        }
        self.canaries.signal(self.fingerprint).notify_waiters();
    }
}

/// Refuses a query whose fingerprint is held back.
///
/// # Errors
///
/// Returns [`Kind::Quarantined`] with the time that is left.
pub(crate) fn check(canaries: &Canaries, fingerprint: Fingerprint) -> Result<()> {
    match canaries.quarantine.held_for(fingerprint, Instant::now()) {
        None => Ok(()),
        Some(left) => Err(Error::new(
            Kind::Quarantined,
            format!("request {fingerprint:016x} has crashed upstreams and is held back"),
        )
        .with_retry_after(left)),
    }
}

/// Returns the fault of a call that is held back.
pub(crate) fn held_back() -> LeafFault {
    LeafFault::Refused(Refusal {
        reason: Reason::Quarantined,
        ran: Ran::No,
        is_own: true,
        newest_version: None,
    })
}
