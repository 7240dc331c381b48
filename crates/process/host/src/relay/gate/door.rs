//! A gate whose queries wait as tasks.

use {
    admit::{Action, Gate, Offer, Refusal, Shown, Ticket, Window},
    parking_lot::Mutex,
    record::{Rank, TenantId},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{select, sync::oneshot, time::sleep_until},
};

/// Shortest pause between two looks at the deadline of a waiting query.
const MIN_WAIT: Duration = Duration::from_millis(1);

type Verdict = Result<(), Refusal>;

/// A gate under its lock, with those who wait at it.
pub(crate) struct Door<W: Window>(Mutex<State<W>>);

struct State<W> {
    gate: Gate<W>,
    waiters: HashMap<Ticket, oneshot::Sender<Verdict>>,
    next_ticket: Ticket,
}

/// A place at a gate, given back when dropped.
pub(crate) struct Place<W: Window> {
    door: Arc<Door<W>>,
    ticket: Ticket,
}

/// Who wants to pass.
#[derive(Clone, Debug)]
pub(crate) struct Passer {
    pub(crate) rank: Rank,
    pub(crate) tenant: TenantId,
    pub(crate) deadline: Instant,
}

impl<W: Window> Door<W> {
    pub(crate) fn new(gate: Gate<W>) -> Self {
        Self(Mutex::new(State {
            gate,
            waiters: HashMap::new(),
            next_ticket: 1,
        }))
    }

    /// Returns what `change` returns for the gate.
    pub(crate) fn with_gate<T>(&self, change: impl FnOnce(&mut Gate<W>) -> T) -> T {
        change(&mut self.0.lock().gate)
    }

    /// Waits until the gate admits `passer`.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the gate.
    pub(crate) async fn pass(self: &Arc<Self>, passer: &Passer) -> Result<Place<W>, Refusal> {
        let (sender, mut verdict) = oneshot::channel();
        let place = Place {
            door: Arc::clone(self),
            ticket: self.offer(passer, sender),
        };
        loop {
            let service_time = self.with_gate(|gate| gate.service_time(passer.rank));
            let latest_start = passer.deadline.checked_sub(service_time);
            let wake = latest_start.unwrap_or(passer.deadline);
            let wake = wake.max(Instant::now() + MIN_WAIT);
            select! {
                biased;
                // The sender lives until it has sent, so the channel cannot close before.
                Ok(verdict) = &mut verdict => return verdict.map(|()| place),
                () = sleep_until(wake.into()) => {
                    let mut state = self.0.lock();
                    let actions = state.gate.wake(Instant::now());
                    state.apply(&actions);
                }
            }
        }
    }

    fn offer(&self, passer: &Passer, sender: oneshot::Sender<Verdict>) -> Ticket {
        let mut state = self.0.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiters.insert(ticket, sender);
        let offer = Offer {
            ticket,
            rank: passer.rank,
            tenant: passer.tenant.clone(),
            deadline: passer.deadline,
        };
        let actions = state.gate.offer(offer, Instant::now());
        state.apply(&actions);
        ticket
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

impl<W: Window> Place<W> {
    /// Ends the query with what its upstreams showed.
    pub(crate) fn complete(self, shown: &Shown) {
        let mut state = self.door.0.lock();
        let actions = state.gate.complete(self.ticket, shown, Instant::now());
        state.apply(&actions);
    }
}

impl<W: Window> Drop for Place<W> {
    fn drop(&mut self) {
        let mut state = self.door.0.lock();
        state.waiters.remove(&self.ticket);
        // Without effect if the query was completed or refused.
        let actions = state.gate.cancel(self.ticket, Instant::now());
        state.apply(&actions);
    }
}
