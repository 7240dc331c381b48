//! Tests of the exchange in simulated clusters, with virtual time and fixed seeds.

mod net;

use {
    fleet::{
        Budget, Fact, FactKey, Purpose, LEFT_RETENTION, ROUND_PAUSE, SEND_BURST_BYTES,
        SEND_BYTES_PER_S, STARTUP_BYTES, STARTUP_TIME,
    },
    net::Cluster,
    std::time::{Duration, Instant},
};

const SEED: u64 = 6;
const HOSTS: usize = 60;
const REGIONS: usize = 3;
/// Rounds within 8 s, the time limit for a change to be in force everywhere.
const ROUNDS_IN_8_S: usize = 16;
const ROUNDS_IN_A_MINUTE: usize = 120;
const MAX_ROUNDS: usize = 400;
/// Number of hosts whose entries together are as large as the bucket of one host.
const LARGE: usize = 325;

fn converged() -> Cluster {
    let mut cluster = Cluster::new(HOSTS, REGIONS, SEED);
    let rounds = cluster.rounds_until(MAX_ROUNDS, |cluster| cluster.all_have_members(HOSTS));
    assert!(
        rounds.is_some(),
        "the hosts did not all discover each other"
    );
    cluster
}

fn fact(value: &str, stamp: u64) -> Fact {
    Fact {
        key: FactKey {
            topic: "drain".to_owned(),
            subject: "10.9.0.1:9000".to_owned(),
        },
        value: value.to_owned(),
        stamp,
        time_left: Duration::from_secs(60),
    }
}

#[test]
fn a_revision_and_its_progress_reach_every_host_within_8_s() {
    let mut cluster = converged();
    for revision in 1..4 {
        cluster.adopt(revision, revision as u64);
        cluster.rounds(ROUNDS_IN_8_S);
        assert!(cluster.in_force_everywhere(revision as u64));
        cluster.rounds(ROUNDS_IN_8_S);
        let now = cluster.now;
        for host in cluster.running() {
            let progress = host.state.progress(revision as u64, now);
            assert_eq!((progress.in_force, progress.members), (HOSTS, HOSTS));
        }
    }
}

#[test]
fn an_isolated_region_does_not_delay_the_others_and_rejoins() {
    let mut cluster = converged();
    cluster.isolated_region = Some(1);
    // Without seeds, the hosts can rejoin only through their tables.
    for host in &mut cluster.hosts {
        host.state.set_seeds(Vec::new());
    }
    // The region stays isolated for three minutes.
    cluster.rounds(360);
    cluster.adopt(0, 1);
    cluster.rounds(ROUNDS_IN_8_S);
    let lagging = cluster.running().filter(|host| host.revision == 0).count();
    assert_eq!(lagging, HOSTS / REGIONS);
    let now = cluster.now;
    let outside = &cluster.hosts[0].state;
    assert_eq!(outside.members(now).len(), HOSTS - HOSTS / REGIONS);
    cluster.isolated_region = None;
    cluster.rounds(2 * ROUNDS_IN_8_S);
    assert!(cluster.in_force_everywhere(1));
    let rounds = cluster.rounds_until(MAX_ROUNDS, |cluster| cluster.all_have_members(HOSTS));
    assert!(
        rounds.is_some(),
        "the regions did not rediscover each other"
    );
}

#[test]
fn a_dead_host_is_removed_and_rejoins_after_a_restart() {
    let mut cluster = converged();
    cluster.hosts[7].is_up = false;
    let rounds = cluster.rounds_until(MAX_ROUNDS, |cluster| cluster.all_have_members(HOSTS - 1));
    assert!(rounds.is_some());
    cluster.restart(7, 2);
    cluster.hosts[7].state.set_seeds(vec![net::addr_of(0)]);
    let rounds = cluster.rounds_until(MAX_ROUNDS, |cluster| cluster.all_have_members(HOSTS));
    assert!(rounds.is_some());
}

#[test]
fn a_joining_host_queues_no_updates_about_others() {
    let mut cluster = converged();
    cluster.rounds(2 * ROUNDS_IN_8_S);
    assert!(cluster
        .running()
        .all(|host| host.state.queued_updates() == 0));
    cluster.restart(7, 2);
    cluster.hosts[7].state.set_seeds(vec![net::addr_of(0)]);
    for _ in 0..ROUNDS_IN_8_S {
        cluster.round();
        let max = cluster
            .running()
            .map(|host| host.state.queued_updates())
            .max();
        assert!(
            max <= Some(1),
            "{max:?} queued updates, expected only the new entry"
        );
    }
}

#[test]
fn hosts_that_start_at_once_discover_each_other_within_a_minute() {
    let mut cluster = Cluster::new(LARGE, REGIONS, SEED);
    let rounds = cluster.rounds_until(ROUNDS_IN_A_MINUTE, |cluster| {
        cluster.all_have_members(LARGE)
    });
    assert!(
        rounds.is_some(),
        "some hosts do not know all others after a minute"
    );
    let max = u64::from(SEND_BYTES_PER_S) * 60 + u64::from(SEND_BURST_BYTES + STARTUP_BYTES);
    assert!(cluster.running().all(|host| host.sent_bytes <= max));
}

#[test]
fn the_startup_allowance_is_temporary_and_only_for_joining() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    let burst = SEND_BURST_BYTES as usize;
    let with_startup = burst + STARTUP_BYTES as usize;
    assert_eq!(budget.left_bytes(Purpose::Gossip, now), burst);
    assert_eq!(budget.left_bytes(Purpose::Joining, now), with_startup);
    budget.on_sent(1_000, Purpose::Joining, now);
    assert_eq!(budget.left_bytes(Purpose::Gossip, now), burst);
    assert_eq!(
        budget.left_bytes(Purpose::Joining, now),
        with_startup - 1_000
    );
    budget.on_sent(burst, Purpose::Gossip, now);
    assert_eq!(budget.left_bytes(Purpose::Gossip, now), 0);
    let later = now + STARTUP_TIME;
    assert_eq!(budget.left_bytes(Purpose::Joining, later), burst);
}

#[test]
fn a_host_missing_from_the_seed_lists_becomes_a_member() {
    let mut cluster = converged();
    let new = cluster.start_host();
    cluster.hosts[new].state.set_seeds(vec![net::addr_of(3)]);
    let rounds = cluster.rounds_until(ROUNDS_IN_8_S, |cluster| cluster.all_have_members(HOSTS + 1));
    assert!(rounds.is_some());
}

#[test]
fn a_host_that_left_is_removed_and_stays_removed() {
    let mut cluster = converged();
    let now = cluster.now;
    cluster.hosts[5].state.leave(now);
    cluster.rounds(2);
    cluster.hosts[5].is_up = false;
    cluster.rounds(ROUNDS_IN_8_S);
    assert!(cluster.all_have_members(HOSTS - 1));
    let rounds = 2 * LEFT_RETENTION.as_millis() / ROUND_PAUSE.as_millis();
    cluster.rounds(rounds as usize);
    assert!(cluster
        .running()
        .all(|host| host.state.table().entries().count() == HOSTS - 1));
}

#[test]
fn a_fact_reaches_every_host_and_the_newest_wins() {
    let mut cluster = converged();
    let now = cluster.now;
    cluster.hosts[0].state.add_fact(fact("leaving", 1), now);
    cluster.hosts[9].state.add_fact(fact("back", 2), now);
    cluster.rounds(2 * ROUNDS_IN_8_S);
    let now = cluster.now;
    let key = fact("", 0).key;
    let has_newest = |host: &net::Host| {
        host.state
            .fact(&key, now)
            .is_some_and(|f| f.value == "back")
    };
    assert!(cluster.running().all(has_newest));
    cluster.rounds(2 * 60);
    let now = cluster.now;
    assert!(cluster
        .running()
        .all(|host| host.state.fact(&key, now).is_none()));
}

#[test]
fn bytes_stay_within_the_budget_under_many_updates() {
    let mut cluster = converged();
    cluster.reset_bytes();
    let rounds = 60;
    for round in 0..rounds {
        let now = cluster.now;
        for host in 0..12 {
            let mut fact = fact("x", 1);
            fact.key.subject = format!("{round}-{host}");
            cluster.hosts[host].state.add_fact(fact, now);
        }
        cluster.round();
    }
    let seconds = (ROUND_PAUSE * rounds).as_secs();
    let max = u64::from(SEND_BYTES_PER_S) * seconds + 2 * u64::from(SEND_BURST_BYTES);
    assert!(cluster.running().all(|host| host.sent_bytes <= max));
}
