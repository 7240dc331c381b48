//! Poison requests are held back after few crashes; innocent ones are not.

use {
    link::{
        fingerprint, BadDelta, Clearance, Fingerprint, HeldBack, Mark, Outcome, Quarantine,
        QuarantineDelta, WireHeldBack, WireQuarantineDelta,
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

/// Runs a call of a fingerprint that crashes its server, and returns whether it ran.
fn crash(quarantine: &Quarantine, fingerprint: Fingerprint, port: u16, now: Instant) -> bool {
    match quarantine.clear(fingerprint, now) {
        Clearance::Canary => {
            quarantine.on_canary_end(fingerprint, addr(port), Outcome::Crash, now);
            true
        }
        Clearance::Pass => {
            quarantine.on_crash_in_fan_out(fingerprint, addr(port), now);
            true
        }
        Clearance::Wait(_) | Clearance::Held(_) => false,
    }
}

#[test]
fn fingerprints_follow_the_query_and_nothing_else() {
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
fn a_first_fan_out_of_a_poison_request_crashes_two_of_fifty() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    // All calls of the fan-out ask before the first crash is seen.
    let cleared: Vec<_> = (0..50).map(|_| quarantine.clear(POISON, now)).collect();
    let canaries = cleared.iter().filter(|c| **c == Clearance::Canary).count();
    assert_eq!(canaries, 2);
    assert!(cleared[2..].iter().all(|c| matches!(c, Clearance::Wait(_))));
    let soon = now + ms(5);
    assert!(!quarantine.on_canary_end(POISON, addr(1), Outcome::Crash, soon));
    assert!(matches!(quarantine.clear(POISON, soon), Clearance::Wait(_)));
    assert!(quarantine.on_canary_end(POISON, addr(2), Outcome::Crash, soon));
    assert_eq!(quarantine.clear(POISON, soon), Clearance::Held(QUARANTINE));
}

#[test]
fn the_first_success_lets_the_fan_out_go() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    assert_eq!(quarantine.clear(POISON, now), Clearance::Canary);
    assert_eq!(quarantine.clear(POISON, now), Clearance::Canary);
    quarantine.on_canary_end(POISON, addr(1), Outcome::Success, now);
    assert_eq!(quarantine.clear(POISON, now), Clearance::Pass);
    assert!(quarantine.is_known_good(POISON));
}

#[test]
fn canaries_without_a_verdict_get_one_more_and_no_further() {
    let quarantine = Quarantine::default();
    let begin = Instant::now();
    assert_eq!(quarantine.clear(POISON, begin), Clearance::Canary);
    assert_eq!(quarantine.clear(POISON, begin), Clearance::Canary);
    let Clearance::Wait(until) = quarantine.clear(POISON, begin) else {
        panic!("two canaries are out");
    };
    assert_eq!(quarantine.clear(POISON, until), Clearance::Canary);
    for i in 1..100 {
        let cleared = quarantine.clear(POISON, until + ms(100 * i));
        assert!(matches!(cleared, Clearance::Wait(_)));
    }
    // A refused canary makes room at once.
    quarantine.on_canary_end(POISON, addr(1), Outcome::NoVerdict, until + ms(100));
    quarantine.on_canary_end(POISON, addr(2), Outcome::NoVerdict, until + ms(100));
    assert_eq!(quarantine.clear(POISON, until + ms(100)), Clearance::Canary);
}

#[test]
fn quarantine_expires_and_comes_back_after_one_crash_for_twice_as_long() {
    let quarantine = Quarantine::default();
    let mut now = Instant::now();
    assert!(crash(&quarantine, POISON, 1, now));
    assert!(crash(&quarantine, POISON, 2, now));
    for (round, held_s) in [600_u64, 1_200, 2_400, 4_800].into_iter().enumerate() {
        let held = quarantine.held_for(POISON, now);
        assert_eq!(held, Some(Duration::from_secs(held_s)), "round {round}");
        now += Duration::from_secs(held_s);
        assert_eq!(quarantine.held_for(POISON, now), None);
        assert!(crash(&quarantine, POISON, 3, now));
    }
    // Once mended, a success clears it for good.
    now += 6 * HOUR;
    quarantine.on_success(POISON);
    assert_eq!(quarantine.clear(POISON, now), Clearance::Pass);
}

#[test]
fn a_known_good_request_that_turns_poisonous_goes_through_canaries_again() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    quarantine.on_success(POISON);
    assert!(crash(&quarantine, POISON, 1, now));
    assert_eq!(quarantine.held_for(POISON, now), None);
    assert!(crash(&quarantine, POISON, 2, now));
    assert!(crash(&quarantine, POISON, 3, now));
    assert!(quarantine.held_for(POISON, now).is_some());
}

#[test]
fn a_zone_lost_under_many_requests_quarantines_none_of_them_for_long() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    // 20 requests have both canaries on lost servers, 40 servers in all.
    for fingerprint in 0..20 {
        for canary in 0..2_u16 {
            let port = u16::try_from(fingerprint).unwrap() * 2 + canary;
            assert!(crash(&quarantine, fingerprint, port, now));
        }
    }
    // The first few fall before the failure shows as one of many servers.
    let held = (0..20).filter(|f| quarantine.held_for(*f, now).is_some());
    assert!(held.count() <= 2);
    // The others go on with a further canary, on a server that lives.
    for fingerprint in 2..20 {
        let later = now + ms(60);
        assert_eq!(quarantine.clear(fingerprint, later), Clearance::Canary);
        quarantine.on_canary_end(fingerprint, addr(999), Outcome::Success, later);
        assert_eq!(quarantine.clear(fingerprint, later), Clearance::Pass);
    }
}

#[test]
fn a_poison_request_inside_a_mass_failure_crashes_three_and_is_held_shortly() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    for port in 100..150 {
        quarantine.on_crash_in_fan_out(1, addr(port), now);
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
        quarantine.delta(now).marks.is_empty(),
        "peers are not misled"
    );
    assert_eq!(
        quarantine.held_for(POISON, now + Duration::from_secs(11)),
        None
    );
}

#[test]
fn eight_hosts_that_exchange_deltas_hold_a_poison_request_back_together() {
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
    assert!(hosts.iter().all(|h| h.held_for(POISON, now).is_some()));
    // A quarantine that has run out does not come back from a peer's memory.
    let later = now + QUARANTINE + ms(1);
    for host in &hosts {
        let delta = host.delta(later);
        hosts.iter().for_each(|peer| peer.merge(&delta, later));
    }
    assert!(hosts.iter().all(|h| h.held_for(POISON, later).is_none()));
}

#[test]
fn a_success_here_outweighs_a_crash_there() {
    let quarantine = Quarantine::default();
    let now = Instant::now();
    quarantine.on_success(POISON);
    let marks = (1..4).map(|port| Mark {
        fingerprint: POISON,
        server: addr(port),
        age: ms(10),
    });
    let delta = QuarantineDelta {
        marks: marks.collect(),
        held_back: Vec::new(),
    };
    quarantine.merge(&delta, now);
    assert_eq!(quarantine.clear(POISON, now), Clearance::Pass);
}

#[test]
fn malformed_deltas_are_refused_whole() {
    let entry = WireHeldBack {
        fingerprint: 1,
        left_ms: 1,
    };
    let cases = [
        (vec![entry; 1_025], BadDelta::TooLong),
        (
            vec![WireHeldBack {
                left_ms: u64::MAX,
                ..entry
            }],
            BadDelta::TimeOutOfRange,
        ),
    ];
    for (held_back, problem) in cases {
        let wire = WireQuarantineDelta {
            marks: Vec::new(),
            held_back,
        };
        assert_eq!(QuarantineDelta::try_from(wire), Err(problem));
    }
    let known = HeldBack {
        fingerprint: 1,
        left: ms(1),
    };
    let wire = WireQuarantineDelta {
        marks: Vec::new(),
        held_back: vec![entry],
    };
    assert_eq!(QuarantineDelta::try_from(wire).unwrap().held_back, [known]);
}

#[test]
fn no_history_of_sendings_crashes_more_than_three_within_a_quarantine() {
    /// Each step is the time since the last, and whether it asks or ends a canary.
    fn holds(steps: Vec<(u8, bool)>) -> bool {
        let quarantine = Quarantine::default();
        let mut now = Instant::now();
        let mut running: Vec<u16> = Vec::new();
        let mut started = 0;
        for (pause_ms, asks) in steps {
            now += ms(u64::from(pause_ms));
            if asks {
                if quarantine.clear(POISON, now) == Clearance::Canary {
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
        .quickcheck(holds as fn(Vec<(u8, bool)>) -> bool);
}
