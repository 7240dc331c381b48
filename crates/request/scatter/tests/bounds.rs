//! Property tests of merging, budgets and traffic splits, with a fixed seed.

use {
    bytes::Bytes,
    quickcheck::{Gen, QuickCheck},
    routing::{ServiceName, WeightedService},
    scatter::{
        top_records, Allowance, BudgetStart, ExtraCallBudgets, WeightedSplits, RECORD_BYTES,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

fn fixed_seed_quickcheck() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 20_261_204))
        .tests(500)
}

/// Relays merge some of the parts, and the host merges their results.
#[test]
fn merging_in_two_steps_equals_merging_at_once() {
    fn check(parts: Vec<Vec<u8>>, limit: u8, cut: usize) -> bool {
        let parts: Vec<Bytes> = parts.into_iter().map(Bytes::from).collect();
        let limit = usize::from(limit % 12);
        let (left, right) = parts.split_at(cut % (parts.len() + 1));
        let steps = [top_records(left, limit), top_records(right, limit)];
        top_records(&steps, limit) == top_records(&parts, limit)
    }
    fixed_seed_quickcheck().quickcheck(check as fn(Vec<Vec<u8>>, u8, usize) -> bool);
}

#[test]
fn greatest_records_are_sorted_in_descending_order_without_remainders() {
    fn check(parts: Vec<Vec<u8>>, limit: u8) -> bool {
        let limit = usize::from(limit % 12);
        let chunks = parts
            .iter()
            .flat_map(|part| part.chunks_exact(RECORD_BYTES));
        let mut records: Vec<Vec<u8>> = chunks.map(<[u8]>::to_vec).collect();
        records.sort();
        records.reverse();
        records.truncate(limit);
        let parts: Vec<Bytes> = parts.into_iter().map(Bytes::from).collect();
        top_records(&parts, limit) == records.concat()
    }
    fixed_seed_quickcheck().quickcheck(check as fn(Vec<Vec<u8>>, u8) -> bool);
}

/// Every host makes an extra call whenever its budget allows, in random order.
///
/// In every window, the extra calls of all hosts stay below the platform's limit.
#[test]
fn hosts_together_stay_below_extra_call_limit() {
    const WINDOW_MS: u64 = 10_000;
    // QuickCheck passes its arguments by value.
    #[allow(clippy::needless_pass_by_value)]
    fn check(steps: Vec<(u8, u8, bool)>, hosts: u8) -> bool {
        let allowance = Allowance {
            ratio: 0.2,
            slack: 54.0,
            window: Duration::from_millis(WINDOW_MS),
        };
        let hosts = usize::from(hosts % 9) + 1;
        let service: ServiceName = "shard".into();
        let start = Instant::now();
        let mut at_ms = 0;
        let mut budgets: Vec<ExtraCallBudgets> = (0..hosts)
            .map(|_| ExtraCallBudgets::new(allowance, hosts, BudgetStart::New))
            .collect();
        let (mut firsts, mut extras) = (Vec::new(), Vec::new());
        // The steps are repeated to fill several windows.
        for (host, pause_ms, is_first) in steps.iter().cycle().take(steps.len() * 20) {
            at_ms += u64::from(*pause_ms);
            let now = start + Duration::from_millis(at_ms);
            let budget = &mut budgets[usize::from(*host) % hosts];
            if *is_first {
                budget.on_first_call(&service, now);
                firsts.push(at_ms);
            }
            if budget.take(&service, now) {
                extras.push(at_ms);
            }
        }
        let count_in_window = |times: &[u64], from: u64| {
            let in_window = |at: &&u64| (from..from + WINDOW_MS).contains(*at);
            times.iter().filter(in_window).count() as f64
        };
        extras.iter().all(|from| {
            count_in_window(&extras, *from)
                <= allowance.ratio * count_in_window(&firsts, *from) + allowance.slack
        })
    }
    fixed_seed_quickcheck().quickcheck(check as fn(Vec<(u8, u8, bool)>, u8) -> bool);
}

// Guards against a fixed number of extra calls that begins anew with each restart.
#[test]
fn hosts_that_all_restart_stay_below_extra_call_limit() {
    let allowance = Allowance {
        ratio: 0.2,
        slack: 54.0,
        window: Duration::from_secs(10),
    };
    let service: ServiceName = "shard".into();
    let start = Instant::now();
    for hosts in [1, 7, 20] {
        // All hosts use all that they have, restart and do so again.
        let extras = |begin, at| {
            let mut budgets = ExtraCallBudgets::new(allowance, hosts, begin);
            let taken = (0..1_000).filter(|_| budgets.take(&service, at)).count();
            let later = at + allowance.window;
            let whole = (0..1_000).filter(|_| budgets.take(&service, later)).count();
            (hosts * taken, hosts * (taken + whole))
        };
        let restarted_at = start + Duration::from_secs(1);
        let (before, _) = extras(BudgetStart::New, start);
        let (after, whole) = extras(BudgetStart::At(restarted_at), restarted_at);
        let limit = allowance.slack as usize;
        assert!(before + after <= limit, "{before} and {after} of {hosts}");
        assert!(whole + 2 * hosts >= before, "{whole} of {before} come back");
    }
}

#[test]
fn split_follows_weights_over_few_requests() {
    let cases: [&[f64]; 4] = [&[1.0, 1.0], &[9.0, 1.0], &[0.0, 1.0], &[0.2, 0.3, 0.5]];
    for weights in cases {
        let parts: Vec<WeightedService> = weights
            .iter()
            .enumerate()
            .map(|(number, weight)| WeightedService {
                service: format!("s{number}").as_str().into(),
                weight: *weight,
            })
            .collect();
        let mut splits = WeightedSplits::default();
        let mut counts: HashMap<ServiceName, f64> = HashMap::new();
        for _ in 0..40 {
            let service = splits.next(&"route".into(), &parts).unwrap();
            *counts.entry(service).or_default() += 1.0;
        }
        let total: f64 = weights.iter().sum();
        for part in &parts {
            let share = counts.get(&part.service).copied().unwrap_or(0.0) / 40.0;
            assert!(
                (share - part.weight / total).abs() <= 0.03,
                "{weights:?} {counts:?}"
            );
        }
    }
}
