//! Processor time of the gate: one query through it, and one refusal in a flood.

use {
    admit::{Action, Config, Fixed, Gate, Offer, Shown, Ticket},
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

fn gate(c: &mut Criterion) {
    let now = Instant::now();
    c.bench_function("offer and complete in a free gate", |b| {
        let mut gate = Gate::new(Config::default(), Fixed::new(WINDOW));
        let mut ticket = 0;
        b.iter(|| {
            ticket += 1;
            gate.offer(offer(ticket, now), now);
            gate.complete(ticket, &Shown::default(), now)
        });
    });
    c.bench_function("offer and complete in a flood", |b| {
        let mut gate = Gate::new(Config::default(), Fixed::new(WINDOW));
        let mut ticket = 0;
        let mut running = std::collections::VecDeque::new();
        b.iter(|| {
            ticket += 1;
            let mut actions = gate.offer(offer(ticket, now), now);
            if gate.running() >= WINDOW {
                if let Some(first) = running.pop_front() {
                    actions.extend(gate.complete(first, &Shown::default(), now));
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
