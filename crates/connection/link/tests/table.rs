//! The choice of a server follows evidence, and no evidence empties a shard.

use {
    link::{DrainSign, Evidence, Refusal, ServerTable, Stated},
    quickcheck::{Gen, QuickCheck},
    rand::{rngs::StdRng, Rng, SeedableRng},
    record::{Server, ServerAddr, Shard},
    std::{
        collections::{HashMap, HashSet},
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

/// Time after which every ramp is over.
const RAMPED: Duration = Duration::from_secs(60);

fn addr(port: u16) -> ServerAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn shard(servers: u16) -> Shard {
    let servers = (1..=servers).map(|port| Server {
        addr: addr(port),
        zone: format!("zone-{port}"),
    });
    Shard {
        id: 0,
        servers: servers.collect(),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns how often each server is picked in 1,000 picks.
fn picks(table: &ServerTable, shard: &Shard, now: Instant) -> HashMap<u16, usize> {
    let mut random = StdRng::seed_from_u64(1);
    let mut counts = HashMap::new();
    for _ in 0..1_000 {
        let picked = table.pick(shard, &[], &mut || random.random(), now);
        *counts.entry(picked.map_or(0, |a| a.port())).or_default() += 1;
    }
    counts
}

fn end(table: &ServerTable, port: u16, evidence: Evidence, now: Instant) {
    table.on_begin(addr(port), now);
    table.on_end(addr(port), evidence, 0.5, now);
}

/// Makes both servers known and lets their ramps end.
fn settled(shard: &Shard) -> (ServerTable, Instant) {
    let table = ServerTable::default();
    let begin = Instant::now();
    picks(&table, shard, begin);
    (table, begin + RAMPED)
}

#[test]
fn a_slow_server_gets_less_and_is_tried_again_later() {
    let shard = shard(2);
    let (table, now) = settled(&shard);
    end(&table, 1, Evidence::Replied(ms(80)), now);
    end(&table, 2, Evidence::Replied(ms(4)), now);
    assert_eq!(picks(&table, &shard, now).get(&1), None);
    // With the other one under load the slow one is better again.
    for _ in 0..20 {
        table.on_begin(addr(2), now);
    }
    assert_eq!(picks(&table, &shard, now).get(&2), None);
}

#[test]
fn a_call_that_hangs_counts_as_slow() {
    let shard = shard(2);
    let (table, now) = settled(&shard);
    end(&table, 1, Evidence::Cancelled(ms(900)), now);
    assert_eq!(picks(&table, &shard, now).get(&1), None);
}

#[test]
fn draining_servers_get_nothing_whoever_says_it() {
    for sign in [DrainSign::Own, DrainSign::Listed, DrainSign::Peer] {
        let shard = shard(3);
        let (table, now) = settled(&shard);
        assert!(table.on_drain(addr(2), sign, now), "{sign:?} is the first");
        assert!(!table.on_drain(addr(2), sign, now));
        let counts = picks(&table, &shard, now);
        assert_eq!(counts.get(&2), None, "{sign:?}");
        assert_eq!(table.draining(now), [addr(2)]);
    }
    let shard = shard(1);
    let (table, now) = settled(&shard);
    let stated = Stated {
        is_draining: true,
        slots_in_use: None,
    };
    table.on_stated(addr(1), stated, now);
    assert!(table.all_drain(&shard, now));
    assert_eq!(table.pick(&shard, &[], &mut || 0.0, now), None);
}

#[test]
fn a_server_that_was_listed_as_leaving_comes_back_over_a_ramp() {
    let shard = shard(2);
    let (table, now) = settled(&shard);
    table.on_drain(addr(1), DrainSign::Listed, now);
    let much_later = now + Duration::from_secs(86_400);
    assert_eq!(picks(&table, &shard, much_later).get(&1), None);
    table.on_listed_as_staying(addr(1), much_later);
    let cold = picks(&table, &shard, much_later)[&1];
    assert!(cold < 150, "{cold} of 1000");
    let warm = picks(&table, &shard, much_later + RAMPED)[&1];
    assert!((400..600).contains(&warm), "{warm} of 1000");
}

#[test]
fn servers_that_are_all_new_share_the_load_at_once() {
    let shard = shard(2);
    let table = ServerTable::default();
    let counts = picks(&table, &shard, Instant::now());
    assert!((400..600).contains(&counts[&1]), "{counts:?}");
}

#[test]
fn a_failing_server_is_held_out_but_never_more_than_half_of_a_shard() {
    for (servers, most) in [(1, 0), (2, 1), (3, 1), (4, 2), (5, 2)] {
        let shard = shard(servers);
        let (table, now) = settled(&shard);
        for port in 1..=servers {
            for _ in 0..8 {
                end(&table, port, Evidence::Unreachable, now);
            }
        }
        let used = picks(&table, &shard, now).len();
        assert_eq!(used, usize::from(servers) - most, "{servers} servers");
    }
}

#[test]
fn a_refusal_at_the_connection_limit_is_no_failure() {
    let shard = shard(2);
    let (table, now) = settled(&shard);
    for _ in 0..100 {
        end(&table, 1, Evidence::Nothing, now);
        end(&table, 1, Evidence::Refused(Refusal::Other), now);
    }
    let counts = picks(&table, &shard, now);
    assert!((400..600).contains(&counts[&1]), "{counts:?}");
}

#[test]
fn a_shedding_server_is_avoided_for_a_moment_and_stops_hedges() {
    let shard = shard(2);
    let (table, now) = settled(&shard);
    end(&table, 1, Evidence::Refused(Refusal::Shed), now);
    assert!(table.is_shedding(&shard, now));
    assert_eq!(picks(&table, &shard, now).get(&1), None);
    let later = now + Duration::from_secs(2);
    assert!(!table.is_shedding(&shard, later));
    assert!(picks(&table, &shard, later)[&1] > 400);
}

#[test]
fn a_call_is_a_test_only_while_another_server_works() {
    let shed = Evidence::Refused(Refusal::Shed);
    let cases = [
        (Evidence::Replied(ms(4)), Evidence::Replied(ms(4)), false),
        (shed, Evidence::Replied(ms(4)), true),
        (shed, shed, false),
        (shed, Evidence::Unreachable, false),
        (Evidence::Unreachable, Evidence::Replied(ms(4)), false),
    ];
    for (first, second, is_test) in cases {
        let shard = shard(2);
        let (table, now) = settled(&shard);
        end(&table, 1, first, now);
        end(&table, 2, second, now);
        let found = table.is_test(&shard, addr(1), now);
        assert_eq!(found, is_test, "{first:?} {second:?}");
    }
}

#[test]
fn tried_servers_are_left_out_where_possible() {
    let shard = shard(2);
    let (table, now) = settled(&shard);
    let mut first = || 0.0;
    let both = [addr(1), addr(2)];
    assert_eq!(
        table.pick(&shard, &both[..1], &mut first, now),
        Some(addr(2))
    );
    assert!(table.pick(&shard, &both, &mut first, now).is_some());
}

#[test]
fn servers_that_left_all_records_are_evicted() {
    let shard = shard(100);
    let (table, _) = settled(&shard);
    assert_eq!(table.len(), 100);
    table.retain(&HashSet::from([addr(3)]));
    assert_eq!(table.len(), 1);
}

#[test]
fn a_shard_with_one_server_that_does_not_drain_always_gets_one() {
    fn holds(steps: Vec<(u8, u8)>, seed: u64) -> bool {
        let shard = shard(3);
        let table = ServerTable::default();
        let mut random = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        for (port, step) in steps {
            now += ms(u64::from(step));
            let port = u16::from(port % 3) + 1;
            match step % 6 {
                0 if port != 3 => {
                    table.on_drain(addr(port), DrainSign::Peer, now);
                }
                1 => end(&table, port, Evidence::Died, now),
                2 => end(&table, port, Evidence::Refused(Refusal::Shed), now),
                3 => end(&table, port, Evidence::Unreachable, now),
                4 => end(&table, port, Evidence::Replied(ms(5)), now),
                _ => end(&table, port, Evidence::Cancelled(ms(500)), now),
            }
            let picked = table.pick(&shard, &[], &mut || random.random(), now);
            let drains = table.draining(now);
            if picked.is_none_or(|picked| drains.contains(&picked)) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, u8)>, u64) -> bool);
}
