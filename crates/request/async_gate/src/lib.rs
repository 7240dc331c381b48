//! Asynchronous wrapper of the admission gate.
//!
//! [`admit::Gate`] is a state machine that does not block. An [`AsyncGate`] guards a
//! gate with a lock and lets tasks wait until the gate admits or refuses them.
//! An admitted task holds a [`Permit`], which it releases by dropping it. The
//! relay and the simulations both use this crate, each with its own [`Clock`].
//!
//! # Examples
//!
//! ```
//! use {
//!     admit::{Config, FixedWindow, Gate},
//!     async_gate::{AdmissionRequest, AsyncGate, SystemClock},
//!     record::Rank,
//!     std::{sync::Arc, time::{Duration, Instant}},
//! };
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let gate = Gate::new(Config::default(), FixedWindow::new(1));
//! let gate = Arc::new(AsyncGate::new(gate, SystemClock));
//! let query = AdmissionRequest {
//!     rank: Rank::Urgent,
//!     tenant: "clerks".to_owned(),
//!     deadline: Instant::now() + Duration::from_secs(1),
//! };
//! let permit = gate.acquire(&query).await.expect("the only query is admitted");
//! drop(permit);
//! # }
//! ```

mod clock;

use {
    admit::{Action, Gate, LeafStats, Offer, Refusal, Ticket, WindowControl},
    parking_lot::Mutex,
    record::{Rank, TenantId},
    std::{
        collections::HashMap,
        fmt,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{select, sync::oneshot},
};

pub use crate::clock::{Clock, SystemClock};

/// Minimum time between two deadline checks of a waiting query.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

type Decision = Result<(), Refusal>;

/// A gate behind a lock, with the tasks that wait for it.
pub struct AsyncGate<W: WindowControl, C: Clock> {
    state: Mutex<State<W>>,
    clock: C,
}

struct State<W> {
    gate: Gate<W>,
    waiters: HashMap<Ticket, oneshot::Sender<Decision>>,
    next_ticket: Ticket,
}

/// A slot of a gate, released when dropped.
pub struct Permit<W: WindowControl, C: Clock> {
    gate: Arc<AsyncGate<W, C>>,
    ticket: Ticket,
}

/// A query that requests admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Rank of the query.
    pub rank: Rank,
    /// Tenant of the query.
    pub tenant: TenantId,
    /// Time by which the query must be answered.
    pub deadline: Instant,
}

impl<W: WindowControl, C: Clock> AsyncGate<W, C> {
    /// Creates a gate without waiting queries.
    pub fn new(gate: Gate<W>, clock: C) -> Self {
        let state = Mutex::new(State {
            gate,
            waiters: HashMap::new(),
            next_ticket: 1,
        });
        Self { state, clock }
    }

    /// Calls `change` on the gate under its lock and returns the result.
    pub fn with_gate<T>(&self, change: impl FnOnce(&mut Gate<W>) -> T) -> T {
        change(&mut self.state.lock().gate)
    }

    /// Returns the number of queries that would wait if one more arrived; zero if it would be
    /// admitted at once.
    pub fn queue_len_after_offer(&self) -> usize {
        self.with_gate(|gate| gate.queue_len_after_offer())
    }

    /// Waits until the gate admits `query`.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] if the gate refuses the query.
    pub async fn acquire(
        self: &Arc<Self>,
        query: &AdmissionRequest,
    ) -> Result<Permit<W, C>, Refusal> {
        let (sender, mut decision) = oneshot::channel();
        let permit = Permit {
            gate: Arc::clone(self),
            ticket: self.offer(query, sender),
        };
        loop {
            let service_time = self.with_gate(|gate| gate.service_time(query.rank));
            let latest_start = query.deadline.checked_sub(service_time);
            let check_at = latest_start.unwrap_or(query.deadline);
            let check_at = check_at.max(self.clock.now() + MIN_CHECK_INTERVAL);
            select! {
                biased;
                // The sender is dropped only after sending, so the channel cannot close before.
                Ok(decision) = &mut decision => return decision.map(|()| permit),
                () = self.clock.sleep_until(check_at) => {
                    let mut state = self.state.lock();
                    let actions = state.gate.wake(self.clock.now());
                    state.apply(&actions);
                }
            }
        }
    }

    fn offer(&self, query: &AdmissionRequest, sender: oneshot::Sender<Decision>) -> Ticket {
        let mut state = self.state.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiters.insert(ticket, sender);
        let offer = Offer {
            ticket,
            rank: query.rank,
            tenant: query.tenant.clone(),
            deadline: query.deadline,
        };
        let actions = state.gate.offer(offer, self.clock.now());
        state.apply(&actions);
        ticket
    }
}

impl<W: WindowControl, C: Clock> fmt::Debug for AsyncGate<W, C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waiting = self.state.lock().waiters.len();
        f.debug_struct("AsyncGate")
            .field("waiting", &waiting)
            .finish()
    }
}

impl<W: WindowControl, C: Clock> fmt::Debug for Permit<W, C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit")
            .field("ticket", &self.ticket)
            .finish()
    }
}

impl<W> State<W> {
    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            let (ticket, decision) = match action {
                Action::Admit(ticket) => (ticket, Ok(())),
                Action::Refuse(ticket, refusal) => (ticket, Err(*refusal)),
            };
            if let Some(waiter) = self.waiters.remove(ticket) {
                // If the task is gone, dropping its `Permit` releases the capacity.
                let _ = waiter.send(decision);
            }
        }
    }
}

impl<W: WindowControl, C: Clock> Permit<W, C> {
    /// Completes the query and reports what was observed of its upstreams.
    pub fn complete(self, observed: &LeafStats) {
        let mut state = self.gate.state.lock();
        let actions = state
            .gate
            .complete(self.ticket, observed, self.gate.clock.now());
        state.apply(&actions);
    }
}

impl<W: WindowControl, C: Clock> Drop for Permit<W, C> {
    fn drop(&mut self) {
        let mut state = self.gate.state.lock();
        state.waiters.remove(&self.ticket);
        // Has no effect if the query was completed or refused.
        let actions = state.gate.cancel(self.ticket, self.gate.clock.now());
        state.apply(&actions);
    }
}
