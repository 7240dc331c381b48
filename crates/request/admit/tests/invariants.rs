//! Invariants of the gate over arbitrary sequences of events.

use {
    admit::{Action, Config, Fixed, Gate, Offer, Shown, Ticket},
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
    Pass(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 6 {
            0..=2 => Self::Offer(u8::arbitrary(g), u8::arbitrary(g), u8::arbitrary(g)),
            3 => Self::Complete(u8::arbitrary(g)),
            4 => Self::Cancel(u8::arbitrary(g)),
            _ => Self::Pass(u8::arbitrary(g)),
        }
    }
}

/// What the queries have been told.
#[derive(Default)]
struct Told {
    waiting: BTreeSet<Ticket>,
    running: BTreeSet<Ticket>,
}

impl Told {
    /// Returns whether every action concerns a query that waits for one.
    fn take(&mut self, actions: Vec<Action>) -> bool {
        actions.into_iter().all(|action| match action {
            Action::Admit(ticket) => self.waiting.remove(&ticket) && self.running.insert(ticket),
            Action::Refuse(ticket, _) => self.waiting.remove(&ticket),
        })
    }
}

fn nth(tickets: &BTreeSet<Ticket>, choice: u8) -> Option<Ticket> {
    tickets
        .iter()
        .nth(usize::from(choice) % tickets.len().max(1))
        .copied()
}

fn holds(steps: Vec<Step>) -> bool {
    let config = Config::default()
        .max_waiting(MAX_WAITING)
        .floor_share(ByRank::from_fn(|_| 0.2));
    let mut gate = Gate::new(config, Fixed::new(WINDOW));
    let mut now = Instant::now();
    let mut told = Told::default();
    for (ticket, step) in (1..).zip(steps) {
        let actions = match step {
            Step::Offer(rank, tenant, within_ms) => {
                told.waiting.insert(ticket);
                let offer = Offer {
                    ticket,
                    rank: Rank::ALL[usize::from(rank) % 3],
                    tenant: (tenant % 3).to_string(),
                    deadline: now + Duration::from_millis(within_ms.into()),
                };
                gate.offer(offer, now)
            }
            Step::Complete(choice) => {
                let Some(ticket) = nth(&told.running, choice) else {
                    continue;
                };
                told.running.remove(&ticket);
                gate.complete(ticket, &Shown::default(), now)
            }
            Step::Cancel(choice) => {
                let all = &told.running | &told.waiting;
                let Some(ticket) = nth(&all, choice) else {
                    continue;
                };
                told.running.remove(&ticket);
                told.waiting.remove(&ticket);
                gate.cancel(ticket, now)
            }
            Step::Pass(ms) => {
                now += Duration::from_millis(ms.into());
                gate.wake(now)
            }
        };
        let lines: usize = Rank::ALL.into_iter().map(|rank| gate.waiting(rank)).sum();
        let is_sound = told.take(actions)
            && gate.running() == told.running.len()
            && gate.running() <= WINDOW
            && lines == told.waiting.len()
            && Rank::ALL.into_iter().all(|rank| gate.waiting(rank) <= MAX_WAITING)
            // Nobody waits beside a free place.
            && (lines == 0 || gate.running() == WINDOW);
        if !is_sound {
            return false;
        }
    }
    true
}

#[test]
fn every_query_is_told_once_and_no_place_stays_free() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(3_000)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
