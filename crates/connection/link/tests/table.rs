//! Load balancing: the choice of a server follows its health and load, and no
//! evidence leaves a shard without a server.

use {
    link::{DrainSign, Evidence, Refusal, ServerReport, ServerTable},
    quickcheck::{Gen, QuickCheck},
    rand::{rngs::StdRng, Rng, SeedableRng},
    record::{Server, ServerAddr, Shard},
    std::{
        collections::{HashMap, HashSet},
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

/// A time longer than the slow-start window.
const SLOW_START_OVER: Duration = Duration::from_secs(60);

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

fn run_call(table: &ServerTable, port: u16, evidence: Evidence, now: Instant) {
    table.on_begin(addr(port), now);
    table.on_end(addr(port), evidence, 0.5, now);
}

/// Returns a table with the shard's servers, and a time after their slow start.
fn after_slow_start(shard: &Shard) -> (ServerTable, Instant) {
    let table = ServerTable::default();
    let start = Instant::now();
    picks(&table, shard, start);
    (table, start + SLOW_START_OVER)
}

#[test]
fn slow_server_is_avoided_until_the_other_is_loaded() {
    let shard = shard(2);
    let (table, now) = after_slow_start(&shard);
    run_call(&table, 1, Evidence::Replied(ms(80)), now);
    run_call(&table, 2, Evidence::Replied(ms(4)), now);
    assert_eq!(picks(&table, &shard, now).get(&1), None);
    // Once the fast server has enough calls in flight, the slow one is cheaper.
    for _ in 0..20 {
        table.on_begin(addr(2), now);
    }
    assert_eq!(picks(&table, &shard, now).get(&2), None);
}

#[test]
fn cancelled_call_counts_as_slow() {
    let shard = shard(2);
    let (table, now) = after_slow_start(&shard);
    run_call(&table, 1, Evidence::Cancelled(ms(900)), now);
    assert_eq!(picks(&table, &shard, now).get(&1), None);
}

#[test]
fn call_limit_falls_with_refusals_and_recovers() {
    const CONFIGURED: usize = 4;
    let shard = shard(2);
    let (table, now) = after_slow_start(&shard);
    let limit = |port| table.call_limit(addr(port), CONFIGURED, now);
    for _ in 0..20 {
        run_call(&table, 1, Evidence::Refused(Refusal::Shed), now);
    }
    // The limit is never below one call, so that a reply can raise it again.
    assert_eq!(
        (limit(1), limit(2), table.limited_count(now)),
        (1, CONFIGURED, 1)
    );
    // When the ejection is over, the other server is preferred while calls wait
    // for this one.
    let now = now + ms(2_000);
    let waiting = |server| usize::from(server == addr(1));
    let mut random = StdRng::seed_from_u64(1);
    let mut pick = |tried: &[ServerAddr]| {
        let mut chance = || random.random();
        table.pick_avoiding_queue(&shard, tried, waiting, &mut chance, now)
    };
    assert_eq!(pick(&[]), Some(addr(2)));
    assert_eq!(
        pick(&[addr(2)]),
        Some(addr(1)),
        "the other server has been tried"
    );
    for _ in 0..100 {
        run_call(&table, 1, Evidence::Replied(ms(5)), now);
    }
    assert_eq!((limit(1), table.limited_count(now)), (CONFIGURED, 0));
    // The limit also recovers without replies.
    run_call(&table, 1, Evidence::Refused(Refusal::Shed), now);
    assert_eq!(table.limited_count(now), 1);
    assert_eq!(table.limited_count(now + SLOW_START_OVER), 0);
}

#[test]
fn draining_server_is_not_picked_whatever_the_source() {
    for source in [DrainSign::Own, DrainSign::Listed, DrainSign::Peer] {
        let shard = shard(3);
        let (table, now) = after_slow_start(&shard);
        assert!(table.on_drain(addr(2), source, now), "{source:?} is news");
        assert!(!table.on_drain(addr(2), source, now));
        let counts = picks(&table, &shard, now);
        assert_eq!(counts.get(&2), None, "{source:?}");
        assert_eq!(table.draining_servers(now), [addr(2)]);
    }
    let shard = shard(1);
    let (table, now) = after_slow_start(&shard);
    let report = ServerReport {
        is_draining: true,
        slots_in_use: None,
    };
    table.on_report(addr(1), report, now);
    assert!(table.all_drain(&shard, now));
    assert_eq!(table.pick(&shard, &[], &mut || 0.0, now), None);
}

#[test]
fn server_no_longer_listed_as_leaving_starts_slowly() {
    let shard = shard(2);
    let (table, now) = after_slow_start(&shard);
    table.on_drain(addr(1), DrainSign::Listed, now);
    let much_later = now + Duration::from_secs(86_400);
    assert_eq!(picks(&table, &shard, much_later).get(&1), None);
    table.on_listed_as_active(addr(1), much_later);
    let at_start = picks(&table, &shard, much_later)[&1];
    assert!(at_start < 150, "{at_start} of 1000");
    let after_window = picks(&table, &shard, much_later + SLOW_START_OVER)[&1];
    assert!((400..600).contains(&after_window), "{after_window} of 1000");
}

#[test]
fn new_servers_share_the_load_if_all_are_new() {
    let shard = shard(2);
    let table = ServerTable::default();
    let counts = picks(&table, &shard, Instant::now());
    assert!((400..600).contains(&counts[&1]), "{counts:?}");
}

#[test]
fn at_most_half_of_the_failing_servers_are_ejected() {
    for (servers, max_ejected) in [(1, 0), (2, 1), (3, 1), (4, 2), (5, 2)] {
        let shard = shard(servers);
        let (table, now) = after_slow_start(&shard);
        for port in 1..=servers {
            for _ in 0..8 {
                run_call(&table, port, Evidence::Unreachable, now);
            }
        }
        let picked_servers = picks(&table, &shard, now).len();
        assert_eq!(
            picked_servers,
            usize::from(servers) - max_ejected,
            "{servers} servers"
        );
    }
}

#[test]
fn refusals_unrelated_to_health_are_not_failures() {
    let shard = shard(2);
    let (table, now) = after_slow_start(&shard);
    for _ in 0..100 {
        run_call(&table, 1, Evidence::Inconclusive, now);
        run_call(&table, 1, Evidence::Refused(Refusal::Other), now);
    }
    let counts = picks(&table, &shard, now);
    assert!((400..600).contains(&counts[&1]), "{counts:?}");
}

#[test]
fn shedding_server_is_ejected_and_reported_as_shedding_briefly() {
    let shard = shard(2);
    let (table, now) = after_slow_start(&shard);
    run_call(&table, 1, Evidence::Refused(Refusal::Shed), now);
    assert!(table.is_shedding(&shard, now));
    assert_eq!(picks(&table, &shard, now).get(&1), None);
    let later = now + Duration::from_secs(2);
    assert!(!table.is_shedding(&shard, later));
    assert!(picks(&table, &shard, later)[&1] > 400);
}

#[test]
fn call_is_a_probe_only_while_another_server_is_healthy() {
    let shed = Evidence::Refused(Refusal::Shed);
    let cases = [
        (Evidence::Replied(ms(4)), Evidence::Replied(ms(4)), false),
        (shed, Evidence::Replied(ms(4)), true),
        (shed, shed, false),
        (shed, Evidence::Unreachable, false),
        (Evidence::Unreachable, Evidence::Replied(ms(4)), false),
    ];
    for (first, second, is_recovery_probe) in cases {
        let shard = shard(2);
        let (table, now) = after_slow_start(&shard);
        run_call(&table, 1, first, now);
        run_call(&table, 2, second, now);
        let found = table.is_recovery_probe(&shard, addr(1), now);
        assert_eq!(found, is_recovery_probe, "{first:?} {second:?}");
    }
}

#[test]
fn tried_servers_are_avoided_where_possible() {
    let shard = shard(2);
    let (table, now) = after_slow_start(&shard);
    let mut random = || 0.0;
    let both = [addr(1), addr(2)];
    assert_eq!(
        table.pick(&shard, &both[..1], &mut random, now),
        Some(addr(2))
    );
    assert!(table.pick(&shard, &both, &mut random, now).is_some());
}

#[test]
fn servers_in_no_record_are_evicted() {
    let shard = shard(100);
    let (table, _) = after_slow_start(&shard);
    assert_eq!(table.len(), 100);
    table.retain(&HashSet::from([addr(3)]));
    assert_eq!(table.len(), 1);
}

#[test]
fn shard_with_a_server_that_is_not_draining_always_has_a_pick() {
    fn always_picks_a_server(steps: Vec<(u8, u8)>, seed: u64) -> bool {
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
                1 => run_call(&table, port, Evidence::ConnectionLost, now),
                2 => run_call(&table, port, Evidence::Refused(Refusal::Shed), now),
                3 => run_call(&table, port, Evidence::Unreachable, now),
                4 => run_call(&table, port, Evidence::Replied(ms(5)), now),
                _ => run_call(&table, port, Evidence::Cancelled(ms(500)), now),
            }
            let picked = table.pick(&shard, &[], &mut || random.random(), now);
            let draining = table.draining_servers(now);
            if picked.is_none_or(|picked| draining.contains(&picked)) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .tests(300)
        .quickcheck(always_picks_a_server as fn(Vec<(u8, u8)>, u64) -> bool);
}
