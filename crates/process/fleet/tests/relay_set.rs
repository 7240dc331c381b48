//! Tests of relay sets and their size.

use {
    fleet::{eligible, relay_count, relay_set, Member, RelayLimits},
    quickcheck::{Gen, QuickCheck},
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        net::{Ipv4Addr, SocketAddr},
    },
};

fn member(i: usize, zones: usize) -> Member {
    Member {
        id: format!("host-{i}"),
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_001)),
        region: format!("region-{}", i % zones % 2),
        zone: format!("zone-{}", i % zones),
    }
}

fn fleet_of(count: usize, zones: usize) -> Vec<Member> {
    (0..count).map(|i| member(i, zones)).collect()
}

fn ids(relays: &[&Member]) -> BTreeSet<String> {
    relays.iter().map(|relay| relay.id.clone()).collect()
}

struct CountCase {
    what: &'static str,
    limits: RelayLimits,
    members: usize,
    count: usize,
}

const LIMITS: RelayLimits = RelayLimits {
    record: None,
    settings: Some(2),
    connection_limit: 25,
};

#[test]
fn the_number_of_relays_depends_on_record_settings_and_limit() {
    let record = |relays| RelayLimits {
        record: Some(relays),
        ..LIMITS
    };
    let every_host = RelayLimits {
        settings: None,
        ..LIMITS
    };
    let limit = |connection_limit| RelayLimits {
        connection_limit,
        ..every_host
    };
    #[rustfmt::skip]
    let cases = [
        CountCase { what: "settings", limits: LIMITS, members: 8, count: 2 },
        CountCase { what: "record takes precedence", limits: record(3), members: 8, count: 3 },
        CountCase { what: "every host of a small fleet", limits: every_host, members: 8, count: 8 },
        CountCase { what: "20 of 25 connections, 2 for each relay", limits: every_host, members: 1_300, count: 10 },
        CountCase { what: "record over the limit", limits: record(500), members: 1_300, count: 10 },
        CountCase { what: "fewer hosts than wanted", limits: record(3), members: 2, count: 2 },
        CountCase { what: "a limit of one connection", limits: limit(1), members: 8, count: 1 },
        CountCase { what: "no hosts", limits: LIMITS, members: 0, count: 0 },
    ];
    for case in cases {
        let count = relay_count(case.limits, case.members);
        assert_eq!(count, case.count, "{}", case.what);
    }
}

#[test]
fn relays_together_stay_under_the_limit_with_headroom() {
    for limit in 2..200 {
        for members in [1, 8, 1_300] {
            let limits = RelayLimits {
                record: None,
                settings: None,
                connection_limit: limit,
            };
            let relays = relay_count(limits, members);
            // Each relay holds two connections, and 20% of the limit is headroom.
            let held = 2 * relays as u32;
            assert!(held * 10 <= limit * 8 || relays == 1, "{limit} {members}");
        }
    }
}

fn check_property(property: fn(u8, u8, u8) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 13))
        .tests(200)
        .quickcheck(property);
}

fn sizes(members: u8, zones: u8, count: u8) -> (usize, usize, usize) {
    (
        usize::from(members % 60) + 1,
        usize::from(zones % 14) + 1,
        usize::from(count % 12) + 1,
    )
}

#[test]
fn losing_a_member_replaces_at_most_one_relay() {
    fn replaces_at_most_one(members: u8, zones: u8, count: u8) -> bool {
        let (members, zones, count) = sizes(members, zones, count);
        let fleet = fleet_of(members, zones);
        let before = ids(&relay_set("desk", &fleet, count));
        fleet.iter().all(|lost| {
            let rest: Vec<_> = fleet.iter().filter(|m| m.id != lost.id).cloned().collect();
            let after = ids(&relay_set("desk", &rest, count));
            let moved = before.difference(&after).count();
            moved == usize::from(before.contains(&lost.id))
        })
    }
    check_property(replaces_at_most_one);
}

#[test]
fn relays_spread_over_zones() {
    fn is_even(members: u8, zones: u8, count: u8) -> bool {
        let (members, zones, count) = sizes(members, zones, count);
        let fleet = fleet_of(members, zones);
        let relays = relay_set("desk", &fleet, count);
        let mut chosen: HashMap<_, usize> = HashMap::new();
        let mut present: HashMap<_, usize> = HashMap::new();
        for relay in &relays {
            *chosen.entry(&relay.zone).or_default() += 1;
        }
        for member in &fleet {
            *present.entry(&member.zone).or_default() += 1;
        }
        let most = chosen.values().max().copied().unwrap_or(0);
        // Zones differ by at most one relay, unless a zone has no more hosts.
        relays.len() == count.min(members)
            && present.iter().all(|(zone, hosts)| {
                let relays = chosen.get(zone).copied().unwrap_or(0);
                relays + 1 >= most || relays == *hosts
            })
    }
    check_property(is_even);
}

#[test]
fn services_share_the_fleet_evenly() {
    let fleet = fleet_of(100, 5);
    let mut shares: HashMap<String, usize> = HashMap::new();
    for service in 0..1_000 {
        for relay in relay_set(&format!("service-{service}"), &fleet, 2) {
            *shares.entry(relay.id.clone()).or_default() += 1;
        }
    }
    // The expected number of sets that contain a host is 20, the standard deviation 4.5.
    assert!(fleet
        .iter()
        .all(|m| (2..=45).contains(&shares.get(&m.id).copied().unwrap_or(0))));
}

#[test]
fn relays_come_from_the_regions_of_the_servers() {
    let fleet = fleet_of(12, 4);
    let zones = |names: &[&str]| {
        names
            .iter()
            .map(|z| (*z).to_owned())
            .collect::<HashSet<_>>()
    };
    let of_one = eligible(&fleet, &zones(&["zone-1"]));
    assert!(of_one.iter().all(|m| m.region == "region-1") && of_one.len() == 6);
    assert_eq!(eligible(&fleet, &zones(&["zone-0", "zone-1"])).len(), 12);
    assert_eq!(eligible(&fleet, &zones(&["elsewhere"])).len(), 12);
}
