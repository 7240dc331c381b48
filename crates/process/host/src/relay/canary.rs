//! Applies the quarantine to calls: each one runs freely, runs as a canary, waits or is refused.

use {
    crate::{relay::gossip, shared::Shared},
    kind::{Error, Kind, Ran, Result},
    link::{Clearance, Fingerprint, Outcome, Quarantine},
    plan::{LeafFault, Reason, Refusal},
    record::ServerAddr,
    std::time::{Duration, Instant},
    tokio::{pin, select, sync::Notify, time::sleep_until},
};

/// Number of signals for the end of a canary, shared by all fingerprints.
const SIGNALS: usize = 64;

/// The quarantine, and signals for calls that wait for the end of a canary.
pub(crate) struct Canaries {
    pub(crate) quarantine: Quarantine,
    signals: Vec<Notify>,
}

/// What the result of a call says about its fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CanaryVerdict {
    /// The call is no evidence against the fingerprint.
    NoCrash,
    /// A canary crashed its server.
    Crash,
    /// A canary crashed its server, and the fingerprint is now quarantined.
    QuarantineStarted,
}

/// Permission for a call to run; reports the result of the call to the quarantine.
pub(crate) struct CallClearance<'a> {
    canaries: &'a Canaries,
    fingerprint: Fingerprint,
    server: ServerAddr,
    is_canary: bool,
    is_reported: bool,
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
    /// Waits until a call with the fingerprint may run on `server`.
    ///
    /// # Errors
    ///
    /// Returns the remaining quarantine time if the fingerprint is quarantined.
    pub(crate) async fn request_clearance(
        &self,
        fingerprint: Fingerprint,
        server: ServerAddr,
    ) -> Result<CallClearance<'_>, Duration> {
        loop {
            let signal = self.signal(fingerprint).notified();
            pin!(signal);
            // Registering before the check ensures that a signal sent in
            // between is not lost.
            signal.as_mut().enable();
            let is_canary = match self.quarantine.check(fingerprint, Instant::now()) {
                Clearance::Pass => false,
                Clearance::Canary => true,
                Clearance::Quarantined(time_left) => return Err(time_left),
                Clearance::Wait(until) => {
                    select! {
                        () = signal => {}
                        () = sleep_until(until.into()) => {}
                    }
                    continue;
                }
            };
            return Ok(CallClearance {
                canaries: self,
                fingerprint,
                server,
                is_canary,
                is_reported: false,
            });
        }
    }

    fn signal(&self, fingerprint: Fingerprint) -> &Notify {
        // The remainder is less than SIGNALS, so the cast does not truncate.
        &self.signals[(fingerprint % SIGNALS as u64) as usize]
    }
}

impl CallClearance<'_> {
    /// Reports the result of the call, and returns what it says about the fingerprint.
    pub(crate) fn on_end(mut self, fault: Option<LeafFault>) -> CanaryVerdict {
        self.is_reported = true;
        self.report(match fault {
            None => Outcome::Success,
            Some(LeafFault::LostAfterWrite | LeafFault::LostInReply) => Outcome::Crash,
            Some(_) => Outcome::NoVerdict,
        })
    }

    fn report(&self, outcome: Outcome) -> CanaryVerdict {
        let now = Instant::now();
        let quarantine = &self.canaries.quarantine;
        if !self.is_canary {
            if outcome == Outcome::Crash {
                quarantine.on_non_canary_crash(self.fingerprint, self.server, now);
            }
            return CanaryVerdict::NoCrash;
        }
        let is_new_quarantine =
            quarantine.on_canary_end(self.fingerprint, self.server, outcome, now);
        self.canaries.signal(self.fingerprint).notify_waiters();
        match outcome {
            Outcome::Crash if is_new_quarantine => CanaryVerdict::QuarantineStarted,
            Outcome::Crash => CanaryVerdict::Crash,
            _ => CanaryVerdict::NoCrash,
        }
    }
}

impl Drop for CallClearance<'_> {
    fn drop(&mut self) {
        if !self.is_reported {
            self.report(Outcome::NoVerdict);
        }
    }
}

/// Refuses a query whose fingerprint is quarantined.
///
/// # Errors
///
/// Returns [`Kind::Quarantined`] with the remaining time.
pub(crate) fn refuse_if_quarantined(shared: &Shared, fingerprint: Fingerprint) -> Result<()> {
    let quarantine = &shared.canaries.quarantine;
    let Some(time_left) = quarantine.quarantined_for(fingerprint, Instant::now()) else {
        return Ok(());
    };
    shared.metrics.on_event("link", "held-back");
    let detail = format!("request {fingerprint:016x} has crashed upstreams and is held back");
    Err(Error::new(Kind::Quarantined, detail).with_retry_after(time_left))
}

/// Logs a crash of a canary, counts it and reports it to peers.
pub(crate) fn report_verdict(
    shared: &Shared,
    route: &str,
    fingerprint: Fingerprint,
    verdict: CanaryVerdict,
) {
    if verdict == CanaryVerdict::NoCrash {
        return;
    }
    gossip::publish_quarantine(shared, fingerprint);
    if verdict == CanaryVerdict::QuarantineStarted {
        shared.metrics.on_event("link", "quarantine");
        log::warn!(
            target: "link",
            "Request {fingerprint:016x} on route {route} is held back, it has crashed upstreams."
        );
    }
}

/// Returns the fault of a call that the quarantine refuses.
pub(crate) fn quarantined_fault() -> LeafFault {
    LeafFault::Refused(Refusal {
        reason: Reason::Quarantined,
        ran: Ran::No,
        echoes_ids: true,
        newest_version: None,
    })
}
