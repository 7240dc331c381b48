//! Decisions of the gate under passed-in time.

use {
    admit::{Action, Config, Fixed, Gate, Offer, Refusal, RefusalKind, Shown, Ticket},
    kind::{Error, Kind, Ran},
    record::{ByRank, Rank},
    std::time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);

/// A gate with its time and a source of tickets.
struct Bench {
    gate: Gate<Fixed>,
    now: Instant,
    next_ticket: Ticket,
}

impl Bench {
    fn new(window: usize, config: Config) -> Self {
        Self {
            gate: Gate::new(config, Fixed::new(window)),
            now: Instant::now(),
            next_ticket: 1,
        }
    }

    fn offer(&mut self, rank: Rank, tenant: &str, within: Duration) -> (Ticket, Vec<Action>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let offer = Offer {
            ticket,
            rank,
            tenant: tenant.to_owned(),
            deadline: self.now + within,
        };
        (ticket, self.gate.offer(offer, self.now))
    }

    fn offer_many(&mut self, rank: Rank, tenant: &str, count: usize) -> Vec<Ticket> {
        let within = Duration::from_secs(1_000);
        (0..count)
            .map(|_| self.offer(rank, tenant, within).0)
            .collect()
    }

    fn complete(&mut self, ticket: Ticket) -> Vec<Action> {
        self.gate.complete(ticket, &Shown::default(), self.now)
    }

    /// Completes `first` and what follows it, and returns the order of admission.
    fn drain(&mut self, first: Ticket) -> Vec<Ticket> {
        let mut order = Vec::new();
        let mut last = first;
        while let [Action::Admit(next)] = self.complete(last)[..] {
            order.push(next);
            last = next;
        }
        order
    }
}

fn floors(urgent: f64, routine: f64, background: f64) -> Config {
    Config::default().floor_share(ByRank::from_fn(|rank| match rank {
        Rank::Urgent => urgent,
        Rank::Routine => routine,
        Rank::Background => background,
    }))
}

fn refusal(action: &Action) -> Option<Refusal> {
    match action {
        Action::Refuse(_, refusal) => Some(*refusal),
        Action::Admit(_) => None,
    }
}

#[test]
fn urgent_goes_first_and_the_window_holds() {
    let mut bench = Bench::new(1, Config::default());
    let first = bench.offer_many(Rank::Background, "a", 1)[0];
    let background = bench.offer_many(Rank::Background, "a", 1)[0];
    let routine = bench.offer_many(Rank::Routine, "a", 1)[0];
    let urgent = bench.offer_many(Rank::Urgent, "a", 1)[0];
    assert_eq!(bench.gate.running(), 1);
    assert_eq!(bench.drain(first), [urgent, routine, background]);
}

#[test]
fn a_flood_of_urgent_leaves_the_floors() {
    // Floors, then what each rank gets of 200 admissions.
    let cases = [
        ([0.3, 0.1, 0.05], [170, 20, 10]),
        ([0.3, 0.2, 0.3], [100, 40, 60]),
        ([0.0, 0.5, 0.5], [0, 100, 100]),
        ([0.3, 0.0, 0.0], [200, 0, 0]),
    ];
    for ([urgent, routine, background], wanted) in cases {
        let config = floors(urgent, routine, background).max_waiting(300);
        let mut bench = Bench::new(1, config);
        let first = bench.offer_many(Rank::Urgent, "a", 1)[0];
        let ranks = Rank::ALL.map(|rank| bench.offer_many(rank, "a", 250));
        let order = bench.drain(first);
        let got = ranks.map(|t| order[..200].iter().filter(|o| t.contains(o)).count());
        for (got, wanted) in got.into_iter().zip(wanted) {
            // The first credits still have to be earned.
            assert!(got.abs_diff(wanted) <= 3, "{got} instead of {wanted}");
        }
    }
}

#[test]
fn an_unused_floor_goes_to_the_others() {
    let mut bench = Bench::new(1, floors(0.5, 0.5, 0.0));
    let first = bench.offer_many(Rank::Background, "a", 1)[0];
    let background = bench.offer_many(Rank::Background, "a", 50);
    assert_eq!(bench.drain(first), background);
}

#[test]
fn the_reserve_is_for_urgent_work_and_ranks_that_are_due() {
    let mut bench = Bench::new(4, floors(0.0, 0.0, 0.25).reserve_share(0.5));
    let background = bench.offer_many(Rank::Background, "a", 1);
    bench.offer_many(Rank::Routine, "a", 3);
    let (_, waits) = bench.offer(Rank::Routine, "a", 1_000 * MS);
    assert_eq!(waits, []);
    let (urgent, actions) = bench.offer(Rank::Urgent, "a", 1_000 * MS);
    assert_eq!(actions, [Action::Admit(urgent)]);
    // Four admissions have earned background one, but no urgent query waits.
    let (due, actions) = bench.offer(Rank::Background, "a", 1_000 * MS);
    assert_eq!(actions, []);
    // The next urgent query shows that the floor is in need of the reserve.
    let (_, actions) = bench.offer(Rank::Urgent, "a", 1_000 * MS);
    assert_eq!(actions, [Action::Admit(due)]);
    assert_eq!(bench.gate.running(), 6);
    let ended = bench.complete(background[0]);
    assert!(matches!(ended[..], [Action::Admit(t)] if t > due));
}

#[test]
fn tenants_take_turns_inside_a_rank() {
    let mut bench = Bench::new(1, Config::default());
    let first = bench.offer_many(Rank::Routine, "z", 1)[0];
    let a = bench.offer_many(Rank::Routine, "a", 3);
    let b = bench.offer_many(Rank::Routine, "b", 1);
    let c = bench.offer_many(Rank::Routine, "c", 2);
    assert_eq!(bench.drain(first), [a[0], b[0], c[0], a[1], c[1], a[2]]);
}

#[test]
fn a_tenant_that_fills_the_line_makes_room_for_another() {
    let mut bench = Bench::new(1, Config::default().max_waiting(4));
    bench.offer_many(Rank::Routine, "z", 1);
    let a = bench.offer_many(Rank::Routine, "a", 4);
    let (_, actions) = bench.offer(Rank::Routine, "a", 1_000 * MS);
    assert!(matches!(actions[..], [Action::Refuse(5.., _)]));
    let (_, actions) = bench.offer(Rank::Routine, "b", 1_000 * MS);
    assert!(matches!(actions[..], [Action::Refuse(t, _)] if t == a[3]));
    assert_eq!(bench.gate.waiting(Rank::Routine), 4);
}

#[test]
fn a_full_line_refuses_with_the_time_to_drain() {
    let mut bench = Bench::new(1, Config::default().max_waiting(20));
    let mut last = bench.offer_many(Rank::Routine, "a", 1)[0];
    // One admission each 100 ms for two seconds.
    for _ in 0..20 {
        bench.offer_many(Rank::Routine, "a", 1);
        bench.now += 100 * MS;
        let [Action::Admit(next)] = bench.complete(last)[..] else {
            panic!("nothing was admitted");
        };
        last = next;
    }
    bench.offer_many(Rank::Routine, "a", 20);
    let (_, actions) = bench.offer(Rank::Routine, "a", 60_000 * MS);
    let refused = refusal(&actions[0]).unwrap();
    assert_eq!(refused.kind, RefusalKind::Overloaded);
    // 21 queries at 10 a second, counted over periods of a second.
    assert!(
        refused.retry_after >= 1_800 * MS && refused.retry_after <= 2_400 * MS,
        "{refused:?}"
    );
    let error = Error::from(refused);
    assert_eq!((error.kind(), error.ran()), (Kind::Overloaded, Ran::No));
    assert_eq!(
        error.retry_after().map(|t| t.as_millis()),
        Some(refused.retry_after.as_millis())
    );
}

#[test]
fn what_gets_late_is_refused_while_it_waits() {
    let mut bench = Bench::new(1, Config::default());
    // Twenty queries of 50 ms settle the estimate.
    for _ in 0..40 {
        let ticket = bench.offer_many(Rank::Routine, "a", 1)[0];
        bench.now += 50 * MS;
        bench.complete(ticket);
    }
    bench.offer_many(Rank::Routine, "a", 1);
    let (late, actions) = bench.offer(Rank::Routine, "a", 120 * MS);
    assert_eq!(actions, []);
    let wake = bench.gate.next_wake().unwrap();
    let left = (bench.now + 120 * MS) - wake;
    assert!(left >= 50 * MS && left <= 60 * MS, "{left:?}");
    bench.now = wake - MS;
    assert_eq!(bench.gate.wake(bench.now), []);
    bench.now = wake;
    let actions = bench.gate.wake(bench.now);
    assert!(
        matches!(actions[..], [Action::Refuse(t, r)] if t == late && r.kind == RefusalKind::TooLate)
    );
    assert_eq!(bench.gate.waiting(Rank::Routine), 0);
}

#[test]
fn room_at_the_gate_is_tried_whatever_the_estimate() {
    let mut bench = Bench::new(1, Config::default());
    let ticket = bench.offer_many(Rank::Routine, "a", 1)[0];
    bench.now += 10_000 * MS;
    bench.complete(ticket);
    let (ticket, actions) = bench.offer(Rank::Routine, "a", 10 * MS);
    assert_eq!(actions, [Action::Admit(ticket)]);
    // Behind it the estimate counts, and the refusal is at once.
    let (late, actions) = bench.offer(Rank::Routine, "a", 10 * MS);
    assert!(matches!(actions[..], [Action::Refuse(t, _)] if t == late));
}

#[test]
fn a_caller_that_goes_away_frees_its_place() {
    let mut bench = Bench::new(1, Config::default());
    let running = bench.offer_many(Rank::Routine, "a", 1)[0];
    let waiting = bench.offer_many(Rank::Routine, "a", 2);
    assert_eq!(bench.gate.cancel(waiting[0], bench.now), []);
    assert_eq!(
        bench.gate.cancel(running, bench.now),
        [Action::Admit(waiting[1])]
    );
    assert_eq!(bench.gate.cancel(running, bench.now), []);
    assert_eq!(bench.gate.waiting(Rank::Routine), 0);
    assert_eq!(bench.gate.next_wake(), None);
}
