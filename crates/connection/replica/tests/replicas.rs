//! Which server a call goes to, by what earlier calls and discovery showed.

use {
    link::{Evidence, Refusal},
    rand::{rngs::StdRng, SeedableRng},
    replica::{Arrival, Distance, Entry, Place, Replicas, Standing, StatedLoad, Want, Works},
    routing::ServiceName,
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TYPICAL_MS: f64 = 10.0;
const WANT: Want = Want {
    typical_ms: TYPICAL_MS,
    reserve: 1.0,
};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn place() -> Place {
    let regions = [("a-1", "a"), ("a-2", "a"), ("b-1", "b")];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    Place {
        zone: "a-1".to_owned(),
        regions: HashMap::from(regions),
    }
}

fn entry(id: &str, port: u16, zone: &str) -> Entry {
    Entry {
        id: id.into(),
        service: "shard".into(),
        addr: ([10, 0, 0, 1], port).into(),
        zone: zone.to_owned(),
        slots: 2,
        standing: Standing::Ready,
        cold_for: Duration::ZERO,
        born_ms: Some(1),
    }
}

fn service() -> ServiceName {
    "shard".into()
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

/// Returns the id of the server that is picked.
fn picked(replicas: &Replicas, now: Instant) -> Option<String> {
    let pick = replicas.pick(&service(), &[], WANT, now, &mut rng())?;
    replicas.entry(pick.key).map(|entry| entry.id.to_string())
}

fn two(now: Instant) -> (Replicas, u64, u64) {
    let mut replicas = Replicas::new(place());
    replicas.learn(entry("near", 1, "a-1"), now);
    replicas.learn(entry("far", 2, "b-1"), now);
    let keys = replicas.ready(&service());
    (replicas, keys[0], keys[1])
}

#[test]
fn the_nearest_server_is_picked_while_it_is_well() {
    let now = Instant::now();
    let (replicas, near, _) = two(now);
    assert_eq!(picked(&replicas, now).as_deref(), Some("near"));
    let pick = replicas
        .pick(&service(), &[near], WANT, now, &mut rng())
        .unwrap();
    assert_eq!(pick.distance, Distance::Far);
    assert!(pick.expected >= ms(25));
}

#[test]
fn a_server_that_owes_an_answer_for_long_is_passed_over_at_once() {
    let now = Instant::now();
    let (mut replicas, near, _) = two(now);
    replicas.on_begin(near, 1, ms(10), now);
    assert_eq!(picked(&replicas, now + ms(20)).as_deref(), Some("near"));
    assert_eq!(picked(&replicas, now + ms(40)).as_deref(), Some("far"));
    // It answers, and is picked again.
    replicas.on_end(near, 1, Evidence::Replied(ms(60)), TYPICAL_MS, now + ms(60));
    assert_eq!(picked(&replicas, now + ms(400)).as_deref(), Some("near"));
}

#[test]
fn one_pause_does_not_make_a_server_slow_and_several_slow_answers_do() {
    let now = Instant::now();
    for (slow_answers, expected) in [(1, "near"), (6, "far")] {
        let (mut replicas, near, _) = two(now);
        for call in 0..slow_answers {
            replicas.on_begin(near, call, ms(10), now);
            replicas.on_end(near, call, Evidence::Replied(ms(100)), TYPICAL_MS, now);
        }
        assert_eq!(
            picked(&replicas, now).as_deref(),
            Some(expected),
            "{slow_answers}"
        );
        // It gets another chance after a while without calls.
        let later = now + Duration::from_secs(9);
        assert_eq!(picked(&replicas, later).as_deref(), Some("near"));
    }
}

#[test]
fn a_stated_load_counts_for_a_moment() {
    let now = Instant::now();
    let (mut replicas, near, _) = two(now);
    let load = StatedLoad {
        running: 2,
        waiting: 8,
    };
    replicas.on_load(near, load, now);
    assert_eq!(picked(&replicas, now).as_deref(), Some("far"));
    assert_eq!(picked(&replicas, now + ms(500)).as_deref(), Some("near"));
}

#[test]
fn servers_that_fail_or_shed_go_last_but_are_picked_if_there_is_no_other() {
    let now = Instant::now();
    for evidence in [
        Evidence::Died,
        Evidence::Unreachable,
        Evidence::Refused(Refusal::Shed),
    ] {
        let (mut replicas, near, far) = two(now);
        for call in 0..4 {
            replicas.on_begin(near, call, ms(10), now);
            replicas.on_end(near, call, evidence, TYPICAL_MS, now);
        }
        assert_eq!(
            picked(&replicas, now).as_deref(),
            Some("far"),
            "{evidence:?}"
        );
        let only = replicas.pick(&service(), &[far], WANT, now, &mut rng());
        assert_eq!(only.map(|pick| pick.key), Some(near));
    }
}

#[test]
fn a_server_that_leaves_is_a_last_resort_for_a_short_time() {
    let now = Instant::now();
    let draining = Entry {
        standing: Standing::Draining,
        ..entry("near", 1, "a-1")
    };
    let (mut replicas, near, far) = two(now);
    assert_eq!(replicas.learn(draining, now), Arrival::Changed);
    assert_eq!(picked(&replicas, now).as_deref(), Some("far"));
    let only = |at| {
        replicas
            .pick(&service(), &[far], WANT, at, &mut rng())
            .map(|pick| pick.key)
    };
    assert_eq!(only(now + ms(1_000)), Some(near));
    assert_eq!(only(now + ms(2_000)), None);
}

#[test]
fn entries_that_lapse_with_the_store_and_come_back_leave_no_trace() {
    let now = Instant::now();
    let (mut replicas, ..) = two(now);
    assert_eq!(replicas.unlist_all_but(&HashSet::new(), now), 2);
    // Nobody else is left, so that the lapsed ones still serve.
    assert_eq!(picked(&replicas, now).as_deref(), Some("near"));
    assert!(replicas.take_gone(now + ms(1_000)).is_empty());
    replicas.learn(entry("near", 1, "a-1"), now + ms(1_200));
    assert_eq!(replicas.take_gone(now + ms(1_600)).len(), 1);
    assert_eq!(picked(&replicas, now + ms(5_000)).as_deref(), Some("near"));
}

#[test]
fn a_new_life_under_the_same_id_knows_nothing_of_the_old_one() {
    let now = Instant::now();
    let (mut replicas, near, _) = two(now);
    assert_eq!(replicas.learn(entry("near", 1, "a-1"), now), Arrival::Same);
    let reborn = Entry {
        born_ms: Some(2),
        ..entry("near", 1, "a-1")
    };
    replicas.on_begin(near, 1, ms(10), now);
    assert_eq!(replicas.learn(reborn, now), Arrival::New);
    assert!(replicas.entry(near).is_none());
    assert_eq!(picked(&replicas, now + ms(60)).as_deref(), Some("near"));
}

#[test]
fn a_server_whose_address_went_to_another_is_forgotten() {
    let now = Instant::now();
    let (mut replicas, near, _) = two(now);
    replicas.on_moved(near);
    assert_eq!(replicas.len(), 1);
    assert_eq!(picked(&replicas, now).as_deref(), Some("far"));
}

#[test]
fn a_few_slow_servers_do_not_move_the_usual_time() {
    let mut works = Works::default();
    let route: Arc<str> = "sweep".into();
    for sample in 0..400 {
        let took = if sample % 5 == 0 { ms(200) } else { ms(10) };
        works.on_sample(&route, took);
    }
    let typical_ms = works.typical_ms(&route);
    assert!((7.0..14.0).contains(&typical_ms), "{typical_ms}");
}

#[test]
fn the_delay_of_a_service_is_that_of_its_soonest_server() {
    let now = Instant::now();
    let (mut replicas, near, far) = two(now);
    let delay = |replicas: &Replicas| replicas.delay(&service(), TYPICAL_MS, now);
    assert_eq!(delay(&replicas), Some(Duration::ZERO));
    // Two slots are taken and four requests wait: three rounds of 10 ms each.
    let loaded = StatedLoad {
        running: 2,
        waiting: 4,
    };
    replicas.on_load(near, loaded, now);
    assert_eq!(delay(&replicas), Some(Duration::ZERO));
    replicas.on_load(far, loaded, now);
    assert_eq!(delay(&replicas), Some(ms(25)));
    assert_eq!(replicas.delay(&"other".into(), TYPICAL_MS, now), None);
}

#[test]
fn a_refusal_tells_of_the_whole_queue_with_the_own_calls_in_it() {
    let now = Instant::now();
    let (mut replicas, near, _) = two(now);
    for call in 0..9 {
        replicas.on_begin(near, call, ms(10), now);
    }
    replicas.on_end(near, 0, Evidence::Refused(Refusal::Shed), TYPICAL_MS, now);
    // Ten requests are assumed at a server of two slots that refuses, eight of them own.
    replicas.unlist("far", now);
    assert_eq!(
        replicas.delay(&service(), TYPICAL_MS, now),
        Some(ms(45)),
        "the own calls count once"
    );
}

#[test]
fn a_server_that_sheds_is_avoided_the_more_the_fewer_retries_are_left() {
    let now = Instant::now();
    let (mut replicas, near, far) = two(now);
    for call in 0..6 {
        replicas.on_begin(near, call, ms(10), now);
        replicas.on_end(
            near,
            call,
            Evidence::Refused(Refusal::Shed),
            TYPICAL_MS,
            now,
        );
    }
    // What the refusals told of the queue is over; the far one has a queue of 90 ms.
    let later = now + ms(900);
    replicas.on_load(
        far,
        StatedLoad {
            running: 2,
            waiting: 15,
        },
        later,
    );
    let picked = |reserve| {
        let want = Want { reserve, ..WANT };
        let pick = replicas.pick(&service(), &[], want, later, &mut rng());
        pick.map(|pick| pick.key)
    };
    assert_eq!(picked(1.0), Some(near));
    assert_eq!(picked(0.0), Some(far));
}
