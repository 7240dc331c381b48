//! The latency that canaries add to queries whose fingerprints are unknown.
//!
//! Each query fans out to several shards, whose latencies are exponentially
//! distributed with a mean of 8 ms, and has a fingerprint of its own. The 99th
//! percentile is compared with that of the same latencies without canaries.

use {
    link::{Clearance, Fingerprint, Outcome, Quarantine},
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::{
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

const MEAN_LATENCY_MS: f64 = 8.0;
const QUERIES: u64 = 20_000;
const SEED: u64 = 9;
/// Largest allowed ratio of the 99th percentiles with and without canaries.
const MAX_RATIO: f64 = 1.25;

/// Returns the latency of one fan-out with canaries, in milliseconds.
fn latency_with_canaries_ms(
    quarantine: &Quarantine,
    fingerprint: Fingerprint,
    latencies_ms: &[f64],
) -> f64 {
    let now = Instant::now();
    let is_canary: Vec<_> = latencies_ms
        .iter()
        .map(|_| quarantine.check(fingerprint, now) == Clearance::Canary)
        .collect();
    let canaries = || {
        latencies_ms
            .iter()
            .zip(&is_canary)
            .filter(|(_, is_canary)| **is_canary)
    };
    let first_success_ms = canaries().map(|(ms, _)| *ms).fold(f64::MAX, f64::min);
    let end = now + Duration::from_secs_f64(first_success_ms / 1e3);
    let server = (Ipv4Addr::LOCALHOST, 1).into();
    quarantine.on_canary_end(fingerprint, server, Outcome::Success, end);
    assert_eq!(quarantine.check(fingerprint, end), Clearance::Pass);
    latencies_ms
        .iter()
        .zip(&is_canary)
        .map(|(ms, is_canary)| {
            if *is_canary {
                *ms
            } else {
                first_success_ms + ms
            }
        })
        .fold(0.0, f64::max)
}

fn p99(mut latencies_ms: Vec<f64>) -> f64 {
    latencies_ms.sort_by(f64::total_cmp);
    latencies_ms[latencies_ms.len() * 99 / 100]
}

#[test]
fn canaries_add_little_latency_to_unknown_and_none_to_known_requests() {
    for shards in [20, 30, 50] {
        let quarantine = Quarantine::default();
        let mut random = StdRng::seed_from_u64(SEED);
        let (mut without_canaries_ms, mut with_canaries_ms) = (Vec::new(), Vec::new());
        for fingerprint in 0..QUERIES {
            let latencies_ms: Vec<_> = (0..shards)
                .map(|_| -random.random_range(f64::EPSILON..1.0_f64).ln() * MEAN_LATENCY_MS)
                .collect();
            without_canaries_ms.push(latencies_ms.iter().copied().fold(0.0, f64::max));
            with_canaries_ms.push(latency_with_canaries_ms(
                &quarantine,
                fingerprint,
                &latencies_ms,
            ));
        }
        let (without_canaries_ms, with_canaries_ms) =
            (p99(without_canaries_ms), p99(with_canaries_ms));
        println!(
            "{shards} shards: p99 {without_canaries_ms:.1} ms without canaries, \
             {with_canaries_ms:.1} ms with them, ratio {:.2}",
            with_canaries_ms / without_canaries_ms
        );
        assert!(with_canaries_ms <= without_canaries_ms * MAX_RATIO);
    }
}
