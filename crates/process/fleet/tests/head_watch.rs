//! Tests of the selection of watchers, and of the time until a change is found
//! and distributed without any watch.

mod net;

use {
    fleet::{
        first_read_pause, head_access, next_read_pause, watcher_count, HeadAccess, Member,
        RetryBackoff,
    },
    net::Cluster,
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::{collections::BTreeMap, time::Duration},
};

const KEY: &str = "wharf/head";
const REGIONS: usize = 5;
const SEED: u64 = 16;
/// Time limit for a change to be in force everywhere.
const TARGET: Duration = Duration::from_secs(8);
/// Limit on reads of the head, in calls a second: 1/500 of the reads and writes
/// that the store accepts.
const MAX_READS_PER_S: f64 = 4.0;

fn fleet_of(hosts: usize) -> Vec<Member> {
    (0..hosts).map(|i| net::member(i, REGIONS)).collect()
}

fn watchers(members: &[Member]) -> Vec<usize> {
    let is_watcher = |i: &usize| head_access(KEY, &members[*i].id, members) == HeadAccess::Watch;
    (0..members.len()).filter(is_watcher).collect()
}

fn pause_of_readers(members: &[Member]) -> Option<Duration> {
    let duties = members.iter().map(|m| head_access(KEY, &m.id, members));
    let mut pauses = duties.filter_map(|duty| match duty {
        HeadAccess::Watch => None,
        HeadAccess::Read { pause } => Some(pause),
    });
    let first = pauses.next()?;
    assert!(pauses.all(|pause| pause == first));
    Some(first)
}

struct DutyCase {
    hosts: usize,
    watchers: usize,
    zones: usize,
    read_pause_ms: Option<u64>,
}

#[test]
fn a_few_hosts_across_zones_watch_and_the_others_read() {
    #[rustfmt::skip]
    let cases = [
        DutyCase { hosts: 1, watchers: 1, zones: 1, read_pause_ms: None },
        DutyCase { hosts: 4, watchers: 4, zones: 4, read_pause_ms: None },
        DutyCase { hosts: 8, watchers: 4, zones: 4, read_pause_ms: Some(4_000) },
        DutyCase { hosts: 32, watchers: 16, zones: 15, read_pause_ms: Some(8_000) },
        DutyCase { hosts: 1_300, watchers: 16, zones: 15, read_pause_ms: Some(642_000) },
    ];
    for case in cases {
        let members = fleet_of(case.hosts);
        let watchers = watchers(&members);
        assert_eq!(watchers.len(), case.watchers, "{} hosts", case.hosts);
        let mut by_zone = BTreeMap::<_, usize>::new();
        for i in watchers {
            *by_zone.entry(&members[i].zone).or_default() += 1;
        }
        assert_eq!(by_zone.len(), case.zones, "{} hosts", case.hosts);
        let pause = case.read_pause_ms.map(Duration::from_millis);
        assert_eq!(pause_of_readers(&members), pause, "{} hosts", case.hosts);
    }
}

#[test]
fn a_lost_watcher_is_replaced_by_one_host() {
    let mut members = fleet_of(64);
    let before = watchers(&members);
    let ids: Vec<_> = before.iter().map(|i| members[*i].id.clone()).collect();
    members.remove(before[0]);
    let after = watchers(&members);
    let kept = after.iter().filter(|i| ids.contains(&members[**i].id));
    assert_eq!((kept.count(), after.len()), (ids.len() - 1, ids.len()));
}

#[test]
fn a_draining_host_does_not_watch() {
    let members = fleet_of(8);
    let duty = head_access(KEY, "host-of-no-list", &members);
    assert!(matches!(duty, HeadAccess::Read { .. }));
}

/// Returns the times, in order, at which hosts that start together read.
fn reads(hosts: usize, duration: Duration, rng: &mut StdRng) -> Vec<Duration> {
    let members = fleet_of(hosts);
    let Some(pause) = pause_of_readers(&members) else {
        return Vec::new();
    };
    let mut reads = Vec::new();
    for _ in watcher_count(hosts)..hosts {
        let mut at = first_read_pause(pause, rng);
        while at < duration {
            reads.push(at);
            at += next_read_pause(pause, rng);
        }
    }
    reads.sort_unstable();
    reads
}

/// Returns the maximum over several seeds of the rounds that a change needs from
/// one host to all.
fn max_rounds_from_one_host(hosts: usize, seeds: u64) -> usize {
    let rounds = (0..seeds).filter_map(|seed| {
        let mut cluster = Cluster::new(hosts, REGIONS, seed);
        cluster.converge();
        cluster.adopt(0, 1);
        cluster.rounds_until(100, |cluster| cluster.in_force_everywhere(1))
    });
    rounds.max().unwrap_or(usize::MAX)
}

/// Without watches, a change is found by a periodic read and distributed by the exchange.
#[test]
fn without_any_watch_99_percent_of_changes_are_in_force_within_8_s() {
    let duration = Duration::from_secs(3_600);
    let mut rng = StdRng::seed_from_u64(SEED);
    for (hosts, seeds) in [(8, 100), (64, 20), (325, 1)] {
        let rounds = max_rounds_from_one_host(hosts, seeds);
        let distribution_time = fleet::ROUND_PAUSE * u32::try_from(rounds).unwrap_or(u32::MAX);
        let reads = reads(hosts, duration, &mut rng);
        let reads_per_s = reads.len() as f64 / duration.as_secs_f64();
        let (mut in_time, changes) = (0, 10_000);
        for _ in 0..changes {
            let at = duration.mul_f64(rng.random_range(0.0..0.99));
            let found_after = reads[reads.partition_point(|read| *read < at)] - at;
            in_time += usize::from(found_after + distribution_time <= TARGET);
        }
        println!("{hosts} hosts: {reads_per_s:.2} reads/s, distributed in {rounds} rounds, {in_time} of {changes} in time");
        assert!(in_time * 100 >= changes * 99, "{hosts} hosts: {in_time}");
        assert!(reads_per_s <= MAX_READS_PER_S);
    }
}

#[test]
fn retry_pauses_grow_and_reset_after_a_success() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut retry_pause = RetryBackoff::default();
    for max_pause_ms in [500, 1_000, 2_000, 4_000, 4_000, 4_000] {
        let pause = retry_pause.on_failure(&mut rng);
        let max_pause = Duration::from_millis(max_pause_ms);
        assert!(pause >= max_pause / 2 && pause < max_pause, "{pause:?}");
    }
    retry_pause.on_success();
    assert!(retry_pause.on_failure(&mut rng) < Duration::from_millis(500));
}
