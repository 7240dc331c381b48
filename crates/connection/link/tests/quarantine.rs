//! Poison requests are quarantined after few crashes, and harmless ones are not.

use {
    link::{
        fingerprint, Clearance, DeltaError, Fingerprint, Outcome, Quarantine, QuarantineDelta,
        QuarantinedFingerprint, ReportedCrash, WireQuarantineDelta, WireQuarantinedFingerprint,
    },
    quickcheck::{Gen, QuickCheck},
    record::ServerAddr,
    std::{
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

const POISON: Fingerprint = 7;
const QUARANTINE: Duration = Duration::from_secs(600);
const HOUR: Duration = Duration::from_secs(3_600);

fn addr(port: u16) -> ServerAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Runs a call that crashes its server, unless the quarantine forbids it, and returns
/// whether it ran.
fn crash(quarantine: &Quarantine, fingerprint: Fingerprint, port: u16, now: Instant) -> bool {
    match quarantine.check(fingerprint, now) {
        Clearance::Canary => {
            quarantine.on_canary_end(fingerprint, addr(port), Outcome::Crash, now);
            true
        }
        Clearance::Pass => {
            quarantine.on_non_canary_crash(fingerprint, addr(port), now);
            true
        }
        Clearance::Wait(_) | Clearance::Quarantined(_) => false,
    }
}

#[test]
fn fingerprint_depends_on_route_and_parsed_query_only() {
    let cases = [
        (
            "r",
            "{\"a\":1,\"b\":[1,2]}",
            "{ \"b\" : [1, 2], \"a\":1 }",
            true,
        ),
        ("r", "{\"a\":1}", "{\"a\":2}", false),
        ("r", "[1,2]", "[2,1]", false),
        ("r", "{\"a\":{\"b\":1}}", "{\"b\":{\"a\":1}}", false),
        ("r", "\"ab\"", "[\"a\",\"b\"]", false),
        ("r", "null", "false", false),
        ("r", "not json", "not json", true),
    ];
    for (route, one, other, is_same) in cases {
        let is_equal = fingerprint(route, one) == fingerprint(route, other);
        assert_eq!(is_equal, is_same, "{one} and {other}");
    }
    assert_ne!(fingerprint("r", "{}"), fingerprint("s", "{}"));
}

#[test]
fn first_fan_out_of_a_poison_request_crashes_two_servers_of_fifty() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    // All calls of the fan-out ask before the first crash is known.
    let clearances: Vec<_> = (0..50).map(|_| quarantine.check(POISON, now)).collect();
    let canaries = clearances
        .iter()
        .filter(|c| **c == Clearance::Canary)
        .count();
    assert_eq!(canaries, 2);
    assert!(clearances[2..]
        .iter()
        .all(|c| matches!(c, Clearance::Wait(_))));
    let soon = now + ms(5);
    assert!(!quarantine.on_canary_end(POISON, addr(1), Outcome::Crash, soon));
    assert!(matches!(quarantine.check(POISON, soon), Clearance::Wait(_)));
    assert!(quarantine.on_canary_end(POISON, addr(2), Outcome::Crash, soon));
    assert_eq!(
        quarantine.check(POISON, soon),
        Clearance::Quarantined(QUARANTINE)
    );
}

#[test]
fn first_success_clears_the_rest_of_the_fan_out() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    assert_eq!(quarantine.check(POISON, now), Clearance::Canary);
    assert_eq!(quarantine.check(POISON, now), Clearance::Canary);
    quarantine.on_canary_end(POISON, addr(1), Outcome::Success, now);
    assert_eq!(quarantine.check(POISON, now), Clearance::Pass);
    assert!(quarantine.is_known_good(POISON));
}

#[test]
fn only_one_extra_canary_runs_while_two_have_no_outcome() {
    let quarantine = Quarantine::default();
    let start = Instant::now();
    assert_eq!(quarantine.check(POISON, start), Clearance::Canary);
    assert_eq!(quarantine.check(POISON, start), Clearance::Canary);
    let Clearance::Wait(until) = quarantine.check(POISON, start) else {
        panic!("expected a wait, as two canaries are running");
    };
    assert_eq!(quarantine.check(POISON, until), Clearance::Canary);
    for i in 1..100 {
        let clearance = quarantine.check(POISON, until + ms(100 * i));
        assert!(matches!(clearance, Clearance::Wait(_)));
    }
    // A canary without a verdict allows another one as soon as it ends.
    quarantine.on_canary_end(POISON, addr(1), Outcome::NoVerdict, until + ms(100));
    quarantine.on_canary_end(POISON, addr(2), Outcome::NoVerdict, until + ms(100));
    assert_eq!(quarantine.check(POISON, until + ms(100)), Clearance::Canary);
}

#[test]
fn quarantine_expires_and_doubles_after_one_further_crash() {
    let quarantine = Quarantine::default();
    let mut now = Instant::now();
    assert!(crash(&quarantine, POISON, 1, now));
    assert!(crash(&quarantine, POISON, 2, now));
    for (round, quarantine_s) in [600_u64, 1_200, 2_400, 4_800].into_iter().enumerate() {
        let remaining = quarantine.quarantined_for(POISON, now);
        assert_eq!(
            remaining,
            Some(Duration::from_secs(quarantine_s)),
            "round {round}"
        );
        now += Duration::from_secs(quarantine_s);
        assert_eq!(quarantine.quarantined_for(POISON, now), None);
        assert!(crash(&quarantine, POISON, 3, now));
    }
    // Once the request no longer crashes servers, a success clears it for good.
    now += 6 * HOUR;
    quarantine.on_success(POISON);
    assert_eq!(quarantine.check(POISON, now), Clearance::Pass);
}

#[test]
fn known_good_request_that_crashes_needs_canaries_again() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    quarantine.on_success(POISON);
    assert!(crash(&quarantine, POISON, 1, now));
    assert_eq!(quarantine.quarantined_for(POISON, now), None);
    assert!(crash(&quarantine, POISON, 2, now));
    assert!(crash(&quarantine, POISON, 3, now));
    assert!(quarantine.quarantined_for(POISON, now).is_some());
}

#[test]
fn loss_of_a_zone_leaves_most_requests_out_of_quarantine() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    // Both canaries of each of 20 requests run on lost servers, 40 servers in all.
    for fingerprint in 0..20 {
        for canary in 0..2_u16 {
            let port = u16::try_from(fingerprint).unwrap() * 2 + canary;
            assert!(crash(&quarantine, fingerprint, port, now));
        }
    }
    // The first few crash before enough servers have crashed to show a mass failure.
    let quarantined = (0..20).filter(|f| quarantine.quarantined_for(*f, now).is_some());
    assert!(quarantined.count() <= 2);
    // Each other request gets a further canary, on a server that works.
    for fingerprint in 2..20 {
        let later = now + ms(60);
        assert_eq!(quarantine.check(fingerprint, later), Clearance::Canary);
        quarantine.on_canary_end(fingerprint, addr(999), Outcome::Success, later);
        assert_eq!(quarantine.check(fingerprint, later), Clearance::Pass);
    }
}

#[test]
fn poison_request_in_a_mass_failure_crashes_three_servers_and_is_quarantined_briefly() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    for port in 100..150 {
        quarantine.on_non_canary_crash(1, addr(port), now);
    }
    let mut crashes = 0;
    for i in 0..100 {
        crashes += u32::from(crash(
            &quarantine,
            POISON,
            i,
            now + ms(60 * u64::from(i % 10)),
        ));
    }
    assert_eq!(crashes, 3);
    assert!(
        quarantine.delta(now).crashes.is_empty(),
        "the crashes of a mass failure are not sent to peers"
    );
    assert_eq!(
        quarantine.quarantined_for(POISON, now + Duration::from_secs(11)),
        None
    );
}

#[test]
fn hosts_that_exchange_deltas_share_a_quarantine() {
    let hosts: Vec<_> = (0..8).map(|_| Quarantine::default()).collect();
    let now = Instant::now();
    let mut crashes = 0;
    for (port, round) in (0..64).zip(0..) {
        let host = &hosts[round % 8];
        crashes += u32::from(crash(host, POISON, port, now));
        let wire = WireQuarantineDelta::from(host.delta(now));
        let delta = QuarantineDelta::try_from(wire).unwrap();
        hosts.iter().for_each(|peer| peer.merge(&delta, now));
    }
    assert_eq!(crashes, 2);
    assert!(hosts
        .iter()
        .all(|h| h.quarantined_for(POISON, now).is_some()));
    // A quarantine that has expired is not restored by a peer's delta.
    let later = now + QUARANTINE + ms(1);
    for host in &hosts {
        let delta = host.delta(later);
        hosts.iter().for_each(|peer| peer.merge(&delta, later));
    }
    assert!(hosts
        .iter()
        .all(|h| h.quarantined_for(POISON, later).is_none()));
}

#[test]
fn own_success_outweighs_crashes_reported_by_peers() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    quarantine.on_success(POISON);
    let crashes = (1..4).map(|port| ReportedCrash {
        fingerprint: POISON,
        server: addr(port),
        age: ms(10),
    });
    let delta = QuarantineDelta {
        crashes: crashes.collect(),
        quarantined: Vec::new(),
    };
    quarantine.merge(&delta, now);
    assert_eq!(quarantine.check(POISON, now), Clearance::Pass);
}

#[test]
fn invalid_delta_is_rejected_as_a_whole() {
    let entry = WireQuarantinedFingerprint {
        fingerprint: 1,
        left_ms: 1,
    };
    let cases = [
        (vec![entry; 1_025], DeltaError::TooManyEntries),
        (
            vec![WireQuarantinedFingerprint {
                left_ms: u64::MAX,
                ..entry
            }],
            DeltaError::DurationTooLong,
        ),
    ];
    for (held_back, error) in cases {
        let wire = WireQuarantineDelta {
            marks: Vec::new(),
            held_back,
        };
        assert_eq!(QuarantineDelta::try_from(wire), Err(error));
    }
    let known = QuarantinedFingerprint {
        fingerprint: 1,
        remaining: ms(1),
    };
    let wire = WireQuarantineDelta {
        marks: Vec::new(),
        held_back: vec![entry],
    };
    assert_eq!(
        QuarantineDelta::try_from(wire).unwrap().quarantined,
        [known]
    );
}

#[test]
fn no_sequence_of_calls_starts_more_than_three_canaries() {
    /// Each step is the time since the previous one in milliseconds, and whether it
    /// asks for clearance or ends a canary.
    fn crashes_at_most_three(steps: Vec<(u8, bool)>) -> bool {
        let quarantine = Quarantine::default();
        let mut now = Instant::now();
        let mut running: Vec<u16> = Vec::new();
        let mut started = 0;
        for (pause_ms, asks) in steps {
            now += ms(u64::from(pause_ms));
            if asks {
                if quarantine.check(POISON, now) == Clearance::Canary {
                    started += 1;
                    running.push(started);
                }
            } else if let Some(port) = running.pop() {
                quarantine.on_canary_end(POISON, addr(port), Outcome::Crash, now);
            }
        }
        started <= 3
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 11))
        .tests(500)
        .quickcheck(crashes_at_most_three as fn(Vec<(u8, bool)>) -> bool);
}
