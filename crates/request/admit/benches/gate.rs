//! CPU time of the gate per query, with free slots and under overload.

use {
    admit::{Action, Config, FixedWindow, Gate, LeafStats, Offer, Ticket},
    criterion::{criterion_group, criterion_main, Criterion},
    record::Rank,
    std::time::{Duration, Instant},
};

const WINDOW: usize = 32;

fn offer(ticket: Ticket, now: Instant) -> Offer {
    Offer {
        ticket,
        rank: Rank::ALL[ticket as usize % 3],
        tenant: format!("tenant-{}", ticket % 8),
        deadline: now + Duration::from_secs(1_000_000),
    }
}

fn gate(criterion: &mut Criterion) {
    let now = Instant::now();
    criterion.bench_function("offer and complete with free slots", |bencher| {
        let mut gate = Gate::new(Config::default(), FixedWindow::new(WINDOW));
        let mut ticket = 0;
        bencher.iter(|| {
            ticket += 1;
            gate.offer(offer(ticket, now), now);
            gate.complete(ticket, &LeafStats::default(), now)
        });
    });
    criterion.bench_function("offer and complete under overload", |bencher| {
        let mut gate = Gate::new(Config::default(), FixedWindow::new(WINDOW));
        let mut ticket = 0;
        let mut running = std::collections::VecDeque::new();
        bencher.iter(|| {
            ticket += 1;
            let mut actions = gate.offer(offer(ticket, now), now);
            if gate.running() >= WINDOW {
                if let Some(oldest) = running.pop_front() {
                    actions.extend(gate.complete(oldest, &LeafStats::default(), now));
                }
            }
            running.extend(actions.iter().filter_map(|action| match action {
                Action::Admit(ticket) => Some(*ticket),
                Action::Refuse(..) => None,
            }));
        });
    });
}

criterion_group!(benches, gate);
criterion_main!(benches);
