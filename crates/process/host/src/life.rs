//! The life of the host, watched by its parts.

use {
    fleet::{Life, LifeEvent, Phase},
    parking_lot::Mutex,
    std::sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    tokio::sync::watch,
};

/// Life of the host with the count of work in flight.
pub(crate) struct LifeWatch {
    life: Mutex<Life>,
    phase: watch::Sender<Phase>,
    in_flight: AtomicUsize,
}

/// Marks one request as in flight for as long as it lives.
pub(crate) struct InFlight(Arc<LifeWatch>);

impl LifeWatch {
    pub(crate) fn new() -> Self {
        Self {
            life: Mutex::default(),
            phase: watch::Sender::new(Phase::Starting),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Takes an event of the host's life.
    pub(crate) fn on_event(&self, event: LifeEvent) {
        let next = self.life.lock().on_event(event);
        let was = self.phase.send_replace(next);
        if was != next {
            log::info!(target: "life", "Host moved from {was:?} to {next:?}.");
        }
    }

    /// Returns the phase.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the host has reached `wanted`.
    pub(crate) async fn reached(&self, wanted: Phase) {
        // The sender lives in `self`, so waiting cannot fail.
        let _ = self
            .phase
            .subscribe()
            .wait_for(|phase| *phase == wanted)
            .await;
    }

    /// Counts a request as in flight, unless the host takes no new work.
    pub(crate) fn enter(self: &Arc<Self>) -> Option<InFlight> {
        // Counted before the check, so that a drain cannot miss it in between.
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = InFlight(Arc::clone(self));
        matches!(self.phase(), Phase::Ready | Phase::Leaving).then_some(guard)
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
