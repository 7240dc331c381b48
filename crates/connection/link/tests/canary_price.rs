//! What canaries cost a query that no host knows as harmless.
//!
//! A fan-out to shards with exponential latencies of 8 ms, each query with a
//! fingerprint of its own, against the same latencies without canaries.

use {
    link::{Clearance, Fingerprint, Outcome, Quarantine},
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::{
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

const MEAN_MS: f64 = 8.0;
const QUERIES: u64 = 20_000;
const SEED: u64 = 9;
/// Most that canaries may add to the 99th percentile of unknown requests.
const MAX_PRICE: f64 = 1.25;

/// Returns the time of one fan-out with canaries, in milliseconds.
fn with_canaries(quarantine: &Quarantine, fingerprint: Fingerprint, latencies_ms: &[f64]) -> f64 {
    let now = Instant::now();
    let is_canary: Vec<_> = latencies_ms
        .iter()
        .map(|_| quarantine.clear(fingerprint, now) == Clearance::Canary)
        .collect();
    let canaries = || latencies_ms.iter().zip(&is_canary).filter(|(_, is)| **is);
    let hold_ms = canaries().map(|(ms, _)| *ms).fold(f64::MAX, f64::min);
    let end = now + Duration::from_secs_f64(hold_ms / 1e3);
    let server = (Ipv4Addr::LOCALHOST, 1).into();
    quarantine.on_canary_end(fingerprint, server, Outcome::Success, end);
    assert_eq!(quarantine.clear(fingerprint, end), Clearance::Pass);
    latencies_ms
        .iter()
        .zip(&is_canary)
        .map(|(ms, is_canary)| if *is_canary { *ms } else { hold_ms + ms })
        .fold(0.0, f64::max)
}

fn p99(mut times_ms: Vec<f64>) -> f64 {
    times_ms.sort_by(f64::total_cmp);
    times_ms[times_ms.len() * 99 / 100]
}

#[test]
fn canaries_cost_unknown_requests_little_and_known_ones_nothing() {
    for shards in [20, 30, 50] {
        let quarantine = Quarantine::default();
        let mut random = StdRng::seed_from_u64(SEED);
        let (mut plain, mut held) = (Vec::new(), Vec::new());
        for fingerprint in 0..QUERIES {
            let latencies_ms: Vec<_> = (0..shards)
                .map(|_| -random.random_range(f64::EPSILON..1.0_f64).ln() * MEAN_MS)
                .collect();
            plain.push(latencies_ms.iter().copied().fold(0.0, f64::max));
            held.push(with_canaries(&quarantine, fingerprint, &latencies_ms));
        }
        let (plain, held) = (p99(plain), p99(held));
        println!(
            "{shards} shards: p99 {plain:.1} ms without, {held:.1} ms with canaries, {:.2} times",
            held / plain
        );
        assert!(held <= plain * MAX_PRICE);
    }
}
