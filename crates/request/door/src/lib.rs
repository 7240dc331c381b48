//! Gates whose queries wait as tasks.
//!
//! [`admit::Gate`] is plain state and keeps nobody waiting by itself. A
//! [`Door`] holds a gate under its lock, wakes those whom the gate admits or
//! refuses, and gives a [`Place`] back when its holder drops it. The relay and
//! the trials share it, each with a [`Clock`] of its own.
//!
//! # Examples
//!
//! ```
//! use {
//!     admit::{Config, Fixed, Gate},
//!     door::{Door, Passer, SystemClock},
//!     record::Rank,
//!     std::{sync::Arc, time::{Duration, Instant}},
//! };
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let gate = Gate::new(Config::default(), Fixed::new(1));
//! let door = Arc::new(Door::new(gate, SystemClock));
//! let passer = Passer {
//!     rank: Rank::Urgent,
//!     tenant: "clerks".to_owned(),
//!     deadline: Instant::now() + Duration::from_secs(1),
//! };
//! let place = door.pass(&passer).await.expect("the only query is admitted");
//! drop(place);
//! # }
//! ```

mod clock;

use {
    admit::{Action, Gate, Offer, Refusal, Shown, Ticket, Window},
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

/// Shortest pause between two looks at the deadline of a waiting query.
const MIN_WAIT: Duration = Duration::from_millis(1);

type Verdict = Result<(), Refusal>;

/// A gate under its lock, with those who wait at it.
pub struct Door<W: Window, C: Clock> {
    state: Mutex<State<W>>,
    clock: C,
}

struct State<W> {
    gate: Gate<W>,
    waiters: HashMap<Ticket, oneshot::Sender<Verdict>>,
    next_ticket: Ticket,
}

/// A place at a gate, given back when dropped.
pub struct Place<W: Window, C: Clock> {
    door: Arc<Door<W, C>>,
    ticket: Ticket,
}

/// Who wants to pass.
#[derive(Clone, Debug)]
pub struct Passer {
    /// Rank.
    pub rank: Rank,
    /// Tenant.
    pub tenant: TenantId,
    /// Time by which the answer has to be there.
    pub deadline: Instant,
}

impl<W: Window, C: Clock> Door<W, C> {
    /// Returns a door at which nobody waits.
    pub fn new(gate: Gate<W>, clock: C) -> Self {
        let state = Mutex::new(State {
            gate,
            waiters: HashMap::new(),
            next_ticket: 1,
        });
        Self { state, clock }
    }

    /// Returns what `change` returns for the gate.
    pub fn with_gate<T>(&self, change: impl FnOnce(&mut Gate<W>) -> T) -> T {
        change(&mut self.state.lock().gate)
    }

    /// Returns the number of those who wait.
    pub fn waiting(&self) -> usize {
        self.with_gate(|gate| Rank::ALL.into_iter().map(|rank| gate.waiting(rank)).sum())
    }

    /// Waits until the gate admits `passer`.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the gate.
    pub async fn pass(self: &Arc<Self>, passer: &Passer) -> Result<Place<W, C>, Refusal> {
        let (sender, mut verdict) = oneshot::channel();
        let place = Place {
            door: Arc::clone(self),
            ticket: self.offer(passer, sender),
        };
        loop {
            let service_time = self.with_gate(|gate| gate.service_time(passer.rank));
            let latest_start = passer.deadline.checked_sub(service_time);
            let wake = latest_start.unwrap_or(passer.deadline);
            let wake = wake.max(self.clock.now() + MIN_WAIT);
            select! {
                biased;
                // The sender lives until it has sent, so the channel cannot close before.
                Ok(verdict) = &mut verdict => return verdict.map(|()| place),
                () = self.clock.sleep_until(wake) => {
                    let mut state = self.state.lock();
                    let actions = state.gate.wake(self.clock.now());
                    state.apply(&actions);
                }
            }
        }
    }

    fn offer(&self, passer: &Passer, sender: oneshot::Sender<Verdict>) -> Ticket {
        let mut state = self.state.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiters.insert(ticket, sender);
        let offer = Offer {
            ticket,
            rank: passer.rank,
            tenant: passer.tenant.clone(),
            deadline: passer.deadline,
        };
        let actions = state.gate.offer(offer, self.clock.now());
        state.apply(&actions);
        ticket
    }
}

impl<W: Window, C: Clock> fmt::Debug for Door<W, C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waiting = self.state.lock().waiters.len();
        f.debug_struct("Door").field("waiting", &waiting).finish()
    }
}

impl<W: Window, C: Clock> fmt::Debug for Place<W, C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Place")
            .field("ticket", &self.ticket)
            .finish()
    }
}

impl<W> State<W> {
    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            let (ticket, verdict) = match action {
                Action::Admit(ticket) => (ticket, Ok(())),
                Action::Refuse(ticket, refusal) => (ticket, Err(*refusal)),
            };
            if let Some(waiter) = self.waiters.remove(ticket) {
                // A waiter that is gone gives its place back by itself.
                let _ = waiter.send(verdict);
            }
        }
    }
}

impl<W: Window, C: Clock> Place<W, C> {
    /// Ends the query with what its upstreams showed.
    pub fn complete(self, shown: &Shown) {
        let mut state = self.door.state.lock();
        let actions = state
            .gate
            .complete(self.ticket, shown, self.door.clock.now());
        state.apply(&actions);
    }
}

impl<W: Window, C: Clock> Drop for Place<W, C> {
    fn drop(&mut self) {
        let mut state = self.door.state.lock();
        state.waiters.remove(&self.ticket);
        // Without effect if the query was completed or refused.
        let actions = state.gate.cancel(self.ticket, self.door.clock.now());
        state.apply(&actions);
    }
}
