//! Tests of the order in which an entry tries relays.

mod net;

use {
    fleet::{Member, Outcome, RelaySelector, FAILURE_MEMORY},
    rand::{rngs::StdRng, SeedableRng},
    std::time::{Duration, Instant},
};

const REGIONS: usize = 2;
const SEED: u64 = 3;

fn relays(count: usize) -> Vec<Member> {
    (0..count).map(|i| net::member(i, REGIONS)).collect()
}

fn order(selector: &RelaySelector, relays: &[Member], own: &Member, now: Instant) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let order = selector.order(relays, own, now, &mut rng);
    order.into_iter().map(|m| m.id.clone()).collect()
}

#[test]
fn the_entry_itself_comes_first_then_its_region() {
    let relays = relays(6);
    let own = &relays[3];
    let order = order(&RelaySelector::default(), &relays, own, Instant::now());
    assert_eq!(order[0], own.id);
    assert!(order[1..3].contains(&relays[1].id) && order[1..3].contains(&relays[5].id));
    assert_eq!(order.len(), 6);
}

#[test]
fn a_failed_relay_comes_last_until_it_answers_or_the_failure_expires() {
    let relays = relays(6);
    let outside = net::member(100, REGIONS);
    let now = Instant::now();
    let mut selector = RelaySelector::default();
    selector.on_sent(&relays[0].id);
    selector.on_done(&relays[0].id, Outcome::Failed, now);
    let last = |selector: &RelaySelector, now| order(selector, &relays, &outside, now).pop();
    assert_eq!(last(&selector, now), Some(relays[0].id.clone()));
    assert_ne!(
        last(&selector, now + FAILURE_MEMORY),
        Some(relays[0].id.clone())
    );
    selector.on_done(&relays[0].id, Outcome::Answered, now);
    assert_ne!(
        last(&selector, now + Duration::from_millis(1)),
        Some(relays[0].id.clone())
    );
}

#[test]
fn load_is_balanced_by_requests_in_flight() {
    let relays = relays(8);
    let outside = net::member(100, 1_000);
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut selector = RelaySelector::default();
    let mut counts = [0_u32; 8];
    for _ in 0..800 {
        let first = selector.order(&relays, &outside, now, &mut rng)[0]
            .id
            .clone();
        selector.on_sent(&first);
        let position = relays.iter().position(|m| m.id == first).unwrap();
        counts[position] += 1;
    }
    // All relays are in other regions than the entry, so each expects 100 requests;
    // two random choices keep the counts close to that.
    let used: Vec<_> = counts.into_iter().filter(|count| *count > 0).collect();
    let (min, max) = (used.iter().min().unwrap(), used.iter().max().unwrap());
    assert!(max - min <= 10, "{counts:?}");
    assert_eq!(selector.in_flight(), 800);
}
