//! The lifecycle of a host, shared by its components.
//!
//! `fleet::Lifecycle` is the state machine; this crate counts the requests in flight
//! and notifies the tasks that wait for a phase.

use {
    fleet::{Lifecycle, LifecycleEvent, Phase},
    kind::{Error, Kind, Ran},
    parking_lot::Mutex,
    std::sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    tokio::{
        pin,
        sync::{watch, Notify},
    },
};

/// Lifecycle of the host and the number of requests in flight.
pub struct SharedLifecycle {
    life: Mutex<Lifecycle>,
    phase: watch::Sender<Phase>,
    in_flight: AtomicUsize,
    idle: Notify,
}

/// Guard that counts one request as in flight until it is dropped.
pub struct InFlightGuard(Arc<SharedLifecycle>);

impl Default for SharedLifecycle {
    fn default() -> Self {
        Self::new()
    }
}

impl SharedLifecycle {
    /// Creates the lifecycle of a starting host.
    pub fn new() -> Self {
        Self {
            life: Mutex::default(),
            phase: watch::Sender::new(Phase::Starting),
            in_flight: AtomicUsize::new(0),
            idle: Notify::new(),
        }
    }

    /// Handles a lifecycle event.
    pub fn on_event(&self, event: LifecycleEvent) {
        let next = self.life.lock().on_event(event);
        let previous = self.phase.send_replace(next);
        if previous != next {
            log::info!(target: "life", "Host moved from {previous:?} to {next:?}.");
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the host has reached `wanted` or a later phase.
    pub async fn wait_for_phase(&self, wanted: Phase) {
        // The sender lives in `self`, so waiting cannot fail.
        let _ = self
            .phase
            .subscribe()
            .wait_for(|phase| *phase >= wanted)
            .await;
    }

    /// Counts a request as in flight; returns `None` if the host accepts no new requests.
    pub fn try_begin_request(self: &Arc<Self>) -> Option<InFlightGuard> {
        // Counted before the check, so that a drain cannot end between the two.
        let guard = self.begin_work();
        matches!(self.phase(), Phase::Ready | Phase::Leaving).then_some(guard)
    }

    /// Counts work as in flight that the host must finish in any phase.
    pub fn begin_work(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(self))
    }

    /// Waits until nothing is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            pin!(idle);
            // Registered before the check, so that no notification is missed.
            idle.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            idle.await;
        }
    }

    /// Waits until the maximum drain time is over, and returns the error for the
    /// requests that are aborted then.
    pub async fn wait_for_abort(&self) -> Error {
        self.wait_for_phase(Phase::GivingUp).await;
        let detail = "the host reached its maximum drain time while the request was running";
        Error::new(Kind::Draining, detail).with_ran(Ran::Unknown)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.0.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
