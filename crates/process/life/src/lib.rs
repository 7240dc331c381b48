//! The life of a host, watched by its parts.
//!
//! `fleet::Life` decides the steps; this crate counts the work in flight and
//! wakes whoever waits for a step.

use {
    fleet::{Life, LifeEvent, Phase},
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

/// Life of the host with the count of work in flight.
pub struct LifeWatch {
    life: Mutex<Life>,
    phase: watch::Sender<Phase>,
    in_flight: AtomicUsize,
    idle: Notify,
}

/// Marks one request as in flight for as long as it lives.
pub struct InFlight(Arc<LifeWatch>);

impl Default for LifeWatch {
    fn default() -> Self {
        Self::new()
    }
}

impl LifeWatch {
    /// Creates the watch of a host that starts.
    pub fn new() -> Self {
        Self {
            life: Mutex::default(),
            phase: watch::Sender::new(Phase::Starting),
            in_flight: AtomicUsize::new(0),
            idle: Notify::new(),
        }
    }

    /// Takes an event of the host's life.
    pub fn on_event(&self, event: LifeEvent) {
        let next = self.life.lock().on_event(event);
        let was = self.phase.send_replace(next);
        if was != next {
            log::info!(target: "life", "Host moved from {was:?} to {next:?}.");
        }
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the host has reached `wanted` or a later phase.
    pub async fn reached(&self, wanted: Phase) {
        // The sender lives in `self`, so waiting cannot fail.
        let _ = self
            .phase
            .subscribe()
            .wait_for(|phase| *phase >= wanted)
            .await;
    }

    /// Counts a request as in flight, unless the host takes no new work.
    pub fn enter(self: &Arc<Self>) -> Option<InFlight> {
        // Counted before the check, so that a drain cannot miss it in between.
        let guard = self.hold();
        matches!(self.phase(), Phase::Ready | Phase::Leaving).then_some(guard)
    }

    /// Counts something as in flight that the host has to finish in any phase.
    pub fn hold(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(self))
    }

    /// Waits until nothing is in flight.
    pub async fn is_idle(&self) {
        loop {
            let idle = self.idle.notified();
            pin!(idle);
            // Registered before the look, so that no end is missed in between.
            idle.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            idle.await;
        }
    }

    /// Waits until the longest drain is over, and returns the error for what is cut then.
    pub async fn given_up(&self) -> Error {
        self.reached(Phase::GivingUp).await;
        let detail = "the host ended its longest drain while the request was running";
        Error::new(Kind::Draining, detail).with_ran(Ran::Unknown)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.0.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
