//! Decisions of the gate, with the time passed in.

use {
    admit::{Action, Config, FixedWindow, Gate, LeafStats, Offer, Refusal, RefusalKind, Ticket},
    kind::{Error, Kind, Ran},
    record::{ByRank, Rank},
    std::time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);

/// A gate with a simulated clock and a ticket counter.
struct TestGate {
    gate: Gate<FixedWindow>,
    now: Instant,
    next_ticket: Ticket,
}

impl TestGate {
    fn new(window: usize, config: Config) -> Self {
        Self {
            gate: Gate::new(config, FixedWindow::new(window)),
            now: Instant::now(),
            next_ticket: 1,
        }
    }

    fn offer(&mut self, rank: Rank, tenant: &str, timeout: Duration) -> (Ticket, Vec<Action>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let offer = Offer {
            ticket,
            rank,
            tenant: tenant.to_owned(),
            deadline: self.now + timeout,
        };
        (ticket, self.gate.offer(offer, self.now))
    }

    fn offer_many(&mut self, rank: Rank, tenant: &str, count: usize) -> Vec<Ticket> {
        let timeout = Duration::from_secs(1_000);
        (0..count)
            .map(|_| self.offer(rank, tenant, timeout).0)
            .collect()
    }

    fn complete(&mut self, ticket: Ticket) -> Vec<Action> {
        self.gate.complete(ticket, &LeafStats::default(), self.now)
    }

    /// Completes `first` and each query admitted after it, and returns the order of admission.
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

fn floor_config(urgent: f64, routine: f64, background: f64) -> Config {
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
fn urgent_queries_are_admitted_first_within_the_window() {
    let mut test = TestGate::new(1, Config::default());
    let first = test.offer_many(Rank::Background, "a", 1)[0];
    let background = test.offer_many(Rank::Background, "a", 1)[0];
    let routine = test.offer_many(Rank::Routine, "a", 1)[0];
    let urgent = test.offer_many(Rank::Urgent, "a", 1)[0];
    assert_eq!(test.gate.running(), 1);
    assert_eq!(test.drain(first), [urgent, routine, background]);
}

#[test]
fn floors_hold_under_a_flood_of_urgent_queries() {
    // Floor of each rank, and its expected number of 200 admissions.
    let cases = [
        ([0.3, 0.1, 0.05], [170, 20, 10]),
        ([0.3, 0.2, 0.3], [100, 40, 60]),
        ([0.0, 0.5, 0.5], [0, 100, 100]),
        ([0.3, 0.0, 0.0], [200, 0, 0]),
    ];
    for ([urgent, routine, background], expected) in cases {
        let config = floor_config(urgent, routine, background).max_waiting(300);
        let mut test = TestGate::new(1, config);
        let first = test.offer_many(Rank::Urgent, "a", 1)[0];
        let tickets_by_rank = Rank::ALL.map(|rank| test.offer_many(rank, "a", 250));
        let order = test.drain(first);
        let actual = tickets_by_rank
            .map(|tickets| order[..200].iter().filter(|t| tickets.contains(t)).count());
        for (actual, expected) in actual.into_iter().zip(expected) {
            // Credits start at zero, so the counts deviate slightly.
            assert!(
                actual.abs_diff(expected) <= 3,
                "{actual} admissions, expected {expected}"
            );
        }
    }
}

#[test]
fn unused_floor_share_goes_to_other_ranks() {
    let mut test = TestGate::new(1, floor_config(0.5, 0.5, 0.0));
    let first = test.offer_many(Rank::Background, "a", 1)[0];
    let background = test.offer_many(Rank::Background, "a", 50);
    assert_eq!(test.drain(first), background);
}

#[test]
fn reserve_admits_urgent_queries_and_ranks_with_credit() {
    let mut test = TestGate::new(4, floor_config(0.0, 0.0, 0.25).reserve_share(0.5));
    let background = test.offer_many(Rank::Background, "a", 1);
    test.offer_many(Rank::Routine, "a", 3);
    let (_, actions) = test.offer(Rank::Routine, "a", 1_000 * MS);
    assert_eq!(actions, []);
    let (urgent, actions) = test.offer(Rank::Urgent, "a", 1_000 * MS);
    assert_eq!(actions, [Action::Admit(urgent)]);
    // The last four admissions give background one credit, but the reserve stays
    // closed to it while no urgent query waits.
    let (background_with_credit, actions) = test.offer(Rank::Background, "a", 1_000 * MS);
    assert_eq!(actions, []);
    // A waiting urgent query opens the reserve to the rank with credit.
    let (_, actions) = test.offer(Rank::Urgent, "a", 1_000 * MS);
    assert_eq!(actions, [Action::Admit(background_with_credit)]);
    assert_eq!(test.gate.running(), 6);
    let actions = test.complete(background[0]);
    assert!(matches!(actions[..], [Action::Admit(t)] if t > background_with_credit));
}

#[test]
fn tenants_within_a_rank_are_served_round_robin() {
    let mut test = TestGate::new(1, Config::default());
    let first = test.offer_many(Rank::Routine, "z", 1)[0];
    let a = test.offer_many(Rank::Routine, "a", 3);
    let b = test.offer_many(Rank::Routine, "b", 1);
    let c = test.offer_many(Rank::Routine, "c", 2);
    assert_eq!(test.drain(first), [a[0], b[0], c[0], a[1], c[1], a[2]]);
}

#[test]
fn full_queue_evicts_from_the_tenant_with_the_most_waiting() {
    let mut test = TestGate::new(1, Config::default().max_waiting(4));
    test.offer_many(Rank::Routine, "z", 1);
    let a = test.offer_many(Rank::Routine, "a", 4);
    let (_, actions) = test.offer(Rank::Routine, "a", 1_000 * MS);
    assert!(matches!(actions[..], [Action::Refuse(5.., _)]));
    let (_, actions) = test.offer(Rank::Routine, "b", 1_000 * MS);
    assert!(matches!(actions[..], [Action::Refuse(t, _)] if t == a[3]));
    assert_eq!(test.gate.waiting(Rank::Routine), 4);
}

#[test]
fn full_queue_refuses_with_the_time_to_drain() {
    let mut test = TestGate::new(1, Config::default().max_waiting(20));
    let mut last = test.offer_many(Rank::Routine, "a", 1)[0];
    // One admission every 100 ms for two seconds.
    for _ in 0..20 {
        test.offer_many(Rank::Routine, "a", 1);
        test.now += 100 * MS;
        let [Action::Admit(next)] = test.complete(last)[..] else {
            panic!("no query was admitted");
        };
        last = next;
    }
    test.offer_many(Rank::Routine, "a", 20);
    let (_, actions) = test.offer(Rank::Routine, "a", 60_000 * MS);
    let refusal = refusal(&actions[0]).unwrap();
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
    // 21 queries at a rate of 10 per second, measured over periods of one second.
    assert!(
        refusal.retry_after >= 1_800 * MS && refusal.retry_after <= 2_400 * MS,
        "{refusal:?}"
    );
    let error = Error::from(refusal);
    assert_eq!((error.kind(), error.ran()), (Kind::Overloaded, Ran::No));
    assert_eq!(
        error.retry_after().map(|t| t.as_millis()),
        Some(refusal.retry_after.as_millis())
    );
}

#[test]
fn waiting_query_that_cannot_meet_its_deadline_is_refused() {
    let mut test = TestGate::new(1, Config::default());
    // Forty queries of 50 ms each make the estimate converge.
    for _ in 0..40 {
        let ticket = test.offer_many(Rank::Routine, "a", 1)[0];
        test.now += 50 * MS;
        test.complete(ticket);
    }
    test.offer_many(Rank::Routine, "a", 1);
    let (late, actions) = test.offer(Rank::Routine, "a", 120 * MS);
    assert_eq!(actions, []);
    let wake = test.gate.next_wake().unwrap();
    let reserved = (test.now + 120 * MS) - wake;
    assert!(reserved >= 50 * MS && reserved <= 60 * MS, "{reserved:?}");
    test.now = wake - MS;
    assert_eq!(test.gate.wake(test.now), []);
    test.now = wake;
    let actions = test.gate.wake(test.now);
    assert!(
        matches!(actions[..], [Action::Refuse(t, r)] if t == late && r.kind == RefusalKind::TooLate)
    );
    assert_eq!(test.gate.waiting(Rank::Routine), 0);
}

#[test]
fn free_slot_admits_regardless_of_the_estimate() {
    let mut test = TestGate::new(1, Config::default());
    let ticket = test.offer_many(Rank::Routine, "a", 1)[0];
    test.now += 10_000 * MS;
    test.complete(ticket);
    let (ticket, actions) = test.offer(Rank::Routine, "a", 10 * MS);
    assert_eq!(actions, [Action::Admit(ticket)]);
    // The next query has to wait, so the estimate applies and it is refused at once.
    let (late, actions) = test.offer(Rank::Routine, "a", 10 * MS);
    assert!(matches!(actions[..], [Action::Refuse(t, _)] if t == late));
}

#[test]
fn cancel_frees_the_slot() {
    let mut test = TestGate::new(1, Config::default());
    let running = test.offer_many(Rank::Routine, "a", 1)[0];
    let waiting = test.offer_many(Rank::Routine, "a", 2);
    assert_eq!(test.gate.cancel(waiting[0], test.now), []);
    assert_eq!(
        test.gate.cancel(running, test.now),
        [Action::Admit(waiting[1])]
    );
    assert_eq!(test.gate.cancel(running, test.now), []);
    assert_eq!(test.gate.waiting(Rank::Routine), 0);
    assert_eq!(test.gate.next_wake(), None);
}
