//! Invariants of the gate under arbitrary sequences of events.

use {
    admit::{Action, Config, FixedWindow, Gate, LeafStats, Offer, Ticket},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    record::{ByRank, Rank},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

const WINDOW: usize = 3;
const MAX_WAITING: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    Offer(u8, u8, u8),
    Complete(u8),
    Cancel(u8),
    Advance(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 6 {
            0..=2 => Self::Offer(u8::arbitrary(g), u8::arbitrary(g), u8::arbitrary(g)),
            3 => Self::Complete(u8::arbitrary(g)),
            4 => Self::Cancel(u8::arbitrary(g)),
            _ => Self::Advance(u8::arbitrary(g)),
        }
    }
}

/// Tickets by state, as the actions of the gate report it.
#[derive(Default)]
struct TicketStates {
    waiting: BTreeSet<Ticket>,
    running: BTreeSet<Ticket>,
}

impl TicketStates {
    /// Applies `actions` and returns whether each of them concerns a waiting query.
    fn apply(&mut self, actions: Vec<Action>) -> bool {
        actions.into_iter().all(|action| match action {
            Action::Admit(ticket) => self.waiting.remove(&ticket) && self.running.insert(ticket),
            Action::Refuse(ticket, _) => self.waiting.remove(&ticket),
        })
    }
}

fn choose(tickets: &BTreeSet<Ticket>, choice: u8) -> Option<Ticket> {
    tickets
        .iter()
        .nth(usize::from(choice) % tickets.len().max(1))
        .copied()
}

fn invariants_hold(steps: Vec<Step>) -> bool {
    let config = Config::default()
        .max_waiting(MAX_WAITING)
        .floor_share(ByRank::from_fn(|_| 0.2));
    let mut gate = Gate::new(config, FixedWindow::new(WINDOW));
    let mut now = Instant::now();
    let mut states = TicketStates::default();
    for (ticket, step) in (1..).zip(steps) {
        let actions = match step {
            Step::Offer(rank, tenant, timeout_ms) => {
                states.waiting.insert(ticket);
                let offer = Offer {
                    ticket,
                    rank: Rank::ALL[usize::from(rank) % 3],
                    tenant: (tenant % 3).to_string(),
                    deadline: now + Duration::from_millis(timeout_ms.into()),
                };
                gate.offer(offer, now)
            }
            Step::Complete(choice) => {
                let Some(ticket) = choose(&states.running, choice) else {
                    continue;
                };
                states.running.remove(&ticket);
                gate.complete(ticket, &LeafStats::default(), now)
            }
            Step::Cancel(choice) => {
                let all = &states.running | &states.waiting;
                let Some(ticket) = choose(&all, choice) else {
                    continue;
                };
                states.running.remove(&ticket);
                states.waiting.remove(&ticket);
                gate.cancel(ticket, now)
            }
            Step::Advance(ms) => {
                now += Duration::from_millis(ms.into());
                gate.wake(now)
            }
        };
        let waiting: usize = Rank::ALL.into_iter().map(|rank| gate.waiting(rank)).sum();
        let is_consistent = states.apply(actions)
            && gate.running() == states.running.len()
            && gate.running() <= WINDOW
            && waiting == states.waiting.len()
            && Rank::ALL.into_iter().all(|rank| gate.waiting(rank) <= MAX_WAITING)
            // No query waits while a slot is free.
            && (waiting == 0 || gate.running() == WINDOW);
        if !is_consistent {
            return false;
        }
    }
    true
}

#[test]
fn every_query_is_resolved_once_and_no_slot_stays_idle() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(3_000)
        .quickcheck(invariants_hold as fn(Vec<Step>) -> bool);
}
