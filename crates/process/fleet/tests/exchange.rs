//! The exchange between many hosts, under passed-in time and fixed seeds.

mod net;

use {
    fleet::{
        Budget, Fact, FactKey, Purpose, LEFT_RETENTION, ROUND_PAUSE, SEND_BURST_BYTES,
        SEND_BYTES_PER_S, YOUNG_BYTES, YOUNG_TIME,
    },
    net::Net,
    std::time::{Duration, Instant},
};

const SEED: u64 = 6;
const HOSTS: usize = 60;
const REGIONS: usize = 3;
/// Rounds within 8 s, the time in which a change has to be in force everywhere.
const ROUNDS_IN_8_S: usize = 16;
const ROUNDS_IN_A_MINUTE: usize = 120;
const MOST_ROUNDS: usize = 400;
/// Hosts whose entries together are as large as the bucket of one of them.
const LARGE: usize = 325;

fn settled() -> Net {
    let mut net = Net::new(HOSTS, REGIONS, SEED);
    let rounds = net.rounds_until(MOST_ROUNDS, |net| net.everyone_knows(HOSTS));
    assert!(rounds.is_some(), "the hosts never knew each other");
    net
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
fn a_change_is_in_force_everywhere_and_known_to_be_within_8_s() {
    let mut net = settled();
    for revision in 1..4 {
        net.adopt(revision, revision as u64);
        net.rounds(ROUNDS_IN_8_S);
        assert!(net.in_force_everywhere(revision as u64));
        net.rounds(ROUNDS_IN_8_S);
        let now = net.now;
        for host in net.up() {
            let progress = host.state.progress(revision as u64, now);
            assert_eq!((progress.in_force, progress.members), (HOSTS, HOSTS));
        }
    }
}

#[test]
fn a_cut_region_neither_holds_up_the_others_nor_is_lost_for_good() {
    let mut net = settled();
    net.cut = Some(1);
    // A list that has dropped the hosts leads nobody back to them.
    for host in &mut net.hosts {
        host.state.set_seeds(Vec::new());
    }
    // The cut lasts for three minutes.
    net.rounds(360);
    net.adopt(0, 1);
    net.rounds(ROUNDS_IN_8_S);
    let lagging = net.up().filter(|host| host.revision == 0).count();
    assert_eq!(lagging, HOSTS / REGIONS);
    let now = net.now;
    let outside = &net.hosts[0].state;
    assert_eq!(outside.members(now).len(), HOSTS - HOSTS / REGIONS);
    net.cut = None;
    net.rounds(2 * ROUNDS_IN_8_S);
    assert!(net.in_force_everywhere(1));
    let rounds = net.rounds_until(MOST_ROUNDS, |net| net.everyone_knows(HOSTS));
    assert!(rounds.is_some(), "the regions never found each other again");
}

#[test]
fn a_dead_host_is_no_relay_and_comes_back_as_itself() {
    let mut net = settled();
    net.hosts[7].is_up = false;
    let rounds = net.rounds_until(MOST_ROUNDS, |net| net.everyone_knows(HOSTS - 1));
    assert!(rounds.is_some());
    net.restart(7, 2);
    net.hosts[7].state.set_seeds(vec![net::addr_of(0)]);
    let rounds = net.rounds_until(MOST_ROUNDS, |net| net.everyone_knows(HOSTS));
    assert!(rounds.is_some());
}

#[test]
fn a_host_that_joins_makes_no_rumours_of_the_others() {
    let mut net = settled();
    net.rounds(2 * ROUNDS_IN_8_S);
    assert!(net.up().all(|host| host.state.backlog() == 0));
    net.restart(7, 2);
    net.hosts[7].state.set_seeds(vec![net::addr_of(0)]);
    for _ in 0..ROUNDS_IN_8_S {
        net.round();
        let most = net.up().map(|host| host.state.backlog()).max();
        assert!(
            most <= Some(1),
            "{most:?} rumours, only the new entry is news"
        );
    }
}

#[test]
fn hosts_that_all_start_at_once_know_each_other_within_a_minute() {
    let mut net = Net::new(LARGE, REGIONS, SEED);
    let rounds = net.rounds_until(ROUNDS_IN_A_MINUTE, |net| net.everyone_knows(LARGE));
    assert!(rounds.is_some(), "some hosts lack others after a minute");
    let most = u64::from(SEND_BYTES_PER_S) * 60 + u64::from(SEND_BURST_BYTES + YOUNG_BYTES);
    assert!(net.up().all(|host| host.sent_bytes <= most));
}

#[test]
fn only_a_young_host_may_send_beside_its_bucket_and_only_for_joining() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    let burst = SEND_BURST_BYTES as usize;
    let with_young = burst + YOUNG_BYTES as usize;
    assert_eq!(budget.left_bytes(Purpose::News, now), burst);
    assert_eq!(budget.left_bytes(Purpose::Joining, now), with_young);
    budget.on_sent(1_000, Purpose::Joining, now);
    assert_eq!(budget.left_bytes(Purpose::News, now), burst);
    assert_eq!(budget.left_bytes(Purpose::Joining, now), with_young - 1_000);
    budget.on_sent(burst, Purpose::News, now);
    assert_eq!(budget.left_bytes(Purpose::News, now), 0);
    let later = now + YOUNG_TIME;
    assert_eq!(budget.left_bytes(Purpose::Joining, later), burst);
}

#[test]
fn a_host_that_the_list_misses_is_a_member() {
    let mut net = settled();
    let new = net.start_host();
    net.hosts[new].state.set_seeds(vec![net::addr_of(3)]);
    let rounds = net.rounds_until(ROUNDS_IN_8_S, |net| net.everyone_knows(HOSTS + 1));
    assert!(rounds.is_some());
}

#[test]
fn a_host_that_leaves_is_forgotten_and_stays_so() {
    let mut net = settled();
    let now = net.now;
    net.hosts[5].state.leave(now);
    net.rounds(2);
    net.hosts[5].is_up = false;
    net.rounds(ROUNDS_IN_8_S);
    assert!(net.everyone_knows(HOSTS - 1));
    let rounds = 2 * LEFT_RETENTION.as_millis() / ROUND_PAUSE.as_millis();
    net.rounds(rounds as usize);
    assert!(net
        .up()
        .all(|host| host.state.table().entries().count() == HOSTS - 1));
}

#[test]
fn a_fact_reaches_every_host_and_the_newest_wins() {
    let mut net = settled();
    let now = net.now;
    net.hosts[0].state.tell(fact("leaving", 1), now);
    net.hosts[9].state.tell(fact("back", 2), now);
    net.rounds(2 * ROUNDS_IN_8_S);
    let now = net.now;
    let key = fact("", 0).key;
    let holds = |host: &net::Host| {
        host.state
            .fact(&key, now)
            .is_some_and(|f| f.value == "back")
    };
    assert!(net.up().all(holds));
    net.rounds(2 * 60);
    let now = net.now;
    assert!(net.up().all(|host| host.state.fact(&key, now).is_none()));
}

#[test]
fn bytes_stay_within_the_budget_whatever_there_is_to_tell() {
    let mut net = settled();
    net.reset_bytes();
    let rounds = 60;
    for round in 0..rounds {
        let now = net.now;
        for host in 0..12 {
            let mut fact = fact("x", 1);
            fact.key.subject = format!("{round}-{host}");
            net.hosts[host].state.tell(fact, now);
        }
        net.round();
    }
    let seconds = (ROUND_PAUSE * rounds).as_secs();
    let most = u64::from(SEND_BYTES_PER_S) * seconds + 2 * u64::from(SEND_BURST_BYTES);
    assert!(net.up().all(|host| host.sent_bytes <= most));
}
