//! A gate whose queries wait as tasks.

use {
    crate::clock::Clock,
    admit::{Action, Config, Gate, Offer, Refusal, Shown, Ticket, Window},
    record::{Rank, TenantId},
    std::{
        cell::RefCell,
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{select, sync::oneshot},
};

/// Shortest pause between two looks at the deadline of a waiting query.
const MIN_WAIT: Duration = Duration::from_millis(1);

type Verdict = Result<(), Refusal>;

/// A gate and those who wait at it.
pub(crate) struct Door<W: Window>(RefCell<State<W>>, Clock);

struct State<W> {
    gate: Gate<W>,
    waiters: HashMap<Ticket, oneshot::Sender<Verdict>>,
    next_ticket: Ticket,
}

/// A place, given back when dropped.
pub(crate) struct Place<W: Window> {
    door: Rc<Door<W>>,
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
    pub(crate) fn new(config: Config, window: W, clock: Clock) -> Self {
        let state = State {
            gate: Gate::new(config, window),
            waiters: HashMap::new(),
            next_ticket: 1,
        };
        Self(RefCell::new(state), clock)
    }

    pub(crate) fn window(&self) -> usize {
        self.0.borrow().gate.window()
    }

    /// Returns what `change` returns for the gate.
    pub(crate) fn with_gate<T>(&self, change: impl FnOnce(&mut Gate<W>) -> T) -> T {
        change(&mut self.0.borrow_mut().gate)
    }

    pub(crate) async fn pass(self: &Rc<Self>, passer: &Passer) -> Result<Place<W>, Refusal> {
        let (sender, mut verdict) = oneshot::channel();
        let place = Place {
            door: Rc::clone(self),
            ticket: self.offer(passer, sender),
        };
        loop {
            let service_time = self.0.borrow().gate.service_time(passer.rank);
            let latest_start = passer.deadline.checked_sub(service_time);
            let wake = latest_start.unwrap_or(passer.deadline);
            let wake = wake.max(self.1.now() + MIN_WAIT);
            select! {
                biased;
                Ok(verdict) = &mut verdict => return verdict.map(|()| place),
                () = self.1.sleep_until(wake) => {
                    let mut state = self.0.borrow_mut();
                    let actions = state.gate.wake(self.1.now());
                    state.apply(&actions);
                }
            }
        }
    }

    fn offer(&self, passer: &Passer, sender: oneshot::Sender<Verdict>) -> Ticket {
        let mut state = self.0.borrow_mut();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiters.insert(ticket, sender);
        let offer = Offer {
            ticket,
            rank: passer.rank,
            tenant: passer.tenant.clone(),
            deadline: passer.deadline,
        };
        let actions = state.gate.offer(offer, self.1.now());
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
                let _ = waiter.send(verdict);
            }
        }
    }
}

impl<W: Window> Place<W> {
    pub(crate) fn complete(self, shown: &Shown) {
        let mut state = self.door.0.borrow_mut();
        let actions = state.gate.complete(self.ticket, shown, self.door.1.now());
        state.apply(&actions);
    }
}

impl<W: Window> Drop for Place<W> {
    fn drop(&mut self) {
        let mut state = self.door.0.borrow_mut();
        state.waiters.remove(&self.ticket);
        let actions = state.gate.cancel(self.ticket, self.door.1.now());
        state.apply(&actions);
    }
}
