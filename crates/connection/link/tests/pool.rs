//! The connection pool: its share, suspected connections and back-off at the server's limit.

use {
    link::{connection_share, CheckoutDecision, Pool, PoolConfig},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::time::{Duration, Instant},
};

const SHARE: u32 = 4;

fn pool() -> Pool<u32> {
    Pool::new(PoolConfig {
        max_connections: SHARE,
        min_idle: 2,
        idle_timeout: Duration::from_secs(30),
    })
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Opens a connection and returns it to the pool.
fn open_and_return(pool: &mut Pool<u32>, connection: u32, now: Instant) {
    assert!(matches!(pool.checkout(now), CheckoutDecision::Open(None)));
    let lease = pool.on_opened(connection, now);
    assert!(pool.check_in(lease.connection, now).is_none());
}

#[test]
fn shares_of_relays_and_replacements_stay_within_limit() {
    for limit in 1..200 {
        for relays in 1..=usize::try_from(limit).unwrap() / 2 {
            let share = connection_share(limit, relays);
            let replaced = u32::try_from(relays.div_ceil(4)).unwrap();
            let holders = u32::try_from(relays).unwrap() + replaced;
            assert!(
                share * holders <= limit.max(holders),
                "{limit} connections for {relays} relays"
            );
        }
    }
}

#[test]
fn most_recently_used_connection_is_reused_first() {
    let now = Instant::now();
    let mut pool = pool();
    for (connection, held) in [(1, 1), (2, 1)] {
        if connection == 1 {
            open_and_return(&mut pool, connection, now);
        }
        assert_eq!(pool.held(), held);
    }
    let CheckoutDecision::Reuse(first) = pool.checkout(now) else {
        panic!("expected the idle connection");
    };
    open_and_return(&mut pool, 2, now);
    pool.check_in(first.connection, now + ms(1));
    assert!(matches!(pool.checkout(now), CheckoutDecision::Reuse(lease) if lease.connection == 1));
}

#[test]
fn suspicion_excludes_connections_with_a_later_byte() {
    let now = Instant::now();
    let mut pool = pool();
    open_and_return(&mut pool, 1, now);
    let CheckoutDecision::Reuse(first) = pool.checkout(now) else {
        panic!("expected the idle connection");
    };
    open_and_return(&mut pool, 2, now + ms(20));
    pool.suspect_silent_since(now + ms(10));
    assert!(matches!(pool.checkout(now + ms(30)), CheckoutDecision::Reuse(l) if l.connection == 2));
    pool.check_in(first.connection, now + ms(30));
    assert!(
        pool.take_suspected().is_empty(),
        "the connection received a byte at 30 ms"
    );
    pool.suspect_silent_since(now + ms(40));
    let suspected: Vec<_> = pool.take_suspected().iter().map(|l| l.connection).collect();
    assert_eq!(suspected, [1]);
    assert!(matches!(
        pool.checkout(now + ms(50)),
        CheckoutDecision::Open(None)
    ));
}

#[test]
fn full_pool_of_suspected_connections_opens_a_new_one() {
    let now = Instant::now();
    let mut pool = pool();
    let leases: Vec<_> = (0..SHARE)
        .map(|connection| {
            assert!(matches!(pool.checkout(now), CheckoutDecision::Open(None)));
            pool.on_opened(connection, now)
        })
        .collect();
    assert!(matches!(pool.checkout(now), CheckoutDecision::Wait));
    for lease in leases {
        pool.check_in(lease.connection, now);
    }
    pool.suspect_silent_since(now + ms(1));
    assert!(matches!(
        pool.checkout(now + ms(2)),
        CheckoutDecision::Open(Some(0))
    ));
    assert_eq!(pool.held(), SHARE);
}

#[test]
fn refusals_at_the_limit_back_off_exponentially() {
    let mut now = Instant::now();
    let mut pool = pool();
    for pause_ms in [20, 40, 80, 160, 320, 640, 1_000, 1_000] {
        assert!(matches!(pool.checkout(now), CheckoutDecision::Open(None)));
        pool.on_refused(1.0, now);
        let CheckoutDecision::BackOff(until) = pool.checkout(now) else {
            panic!("expected a back-off");
        };
        assert_eq!(until, now + ms(pause_ms));
        now = until;
    }
    assert!(matches!(pool.checkout(now), CheckoutDecision::Open(None)));
    let lease = pool.on_opened(1, now);
    pool.check_in(lease.connection, now);
    assert_eq!(pool.held(), 1);
}

#[test]
fn surplus_idle_connections_expire_down_to_the_warm_ones() {
    let now = Instant::now();
    let mut pool = pool();
    let mut opened = 0;
    while pool.reserve_warm_connection(now) {
        opened += 1;
        let lease = pool.on_opened(opened, now);
        pool.check_in(lease.connection, now);
    }
    assert_eq!(opened, 2);
    let leases: Vec<_> = (0..SHARE)
        .map(|_| match pool.checkout(now) {
            CheckoutDecision::Reuse(lease) => lease.connection,
            _ => pool.on_opened(9, now).connection,
        })
        .collect();
    for connection in leases {
        pool.check_in(connection, now);
    }
    assert!(pool.take_expired(now + ms(29_999)).is_empty());
    assert_eq!(pool.take_expired(now + ms(30_000)).len(), 2);
    assert_eq!(pool.held(), 2);
}

/// One step of a random sequence of events.
#[derive(Clone, Copy, Debug)]
enum Step {
    CheckoutDecision,
    GiveBack,
    Close,
    Suspect,
    Warm,
    Refuse,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&[
            Self::CheckoutDecision,
            Self::CheckoutDecision,
            Self::GiveBack,
            Self::Close,
            Self::Suspect,
            Self::Warm,
            Self::Refuse,
        ])
        .expect("the list is not empty")
    }
}

#[test]
fn no_sequence_of_events_exceeds_the_share() {
    fn stays_within_share(steps: Vec<Step>) -> bool {
        let mut pool = pool();
        let mut now = Instant::now();
        // Tracks which connections are checked out and how many the pool should hold in all.
        let mut checked_out = Vec::new();
        let mut expected_held = 0;
        for (i, step) in steps.into_iter().enumerate() {
            now += ms(50);
            match step {
                Step::CheckoutDecision => match pool.checkout(now) {
                    CheckoutDecision::Reuse(lease) => checked_out.push(lease.connection),
                    CheckoutDecision::Open(replaced) => {
                        expected_held += 1 - u32::from(replaced.is_some());
                        checked_out.push(pool.on_opened(i as u32, now).connection);
                    }
                    CheckoutDecision::Wait | CheckoutDecision::BackOff(_) => {}
                },
                Step::GiveBack => {
                    if let Some(connection) = checked_out.pop() {
                        expected_held -= u32::from(pool.check_in(connection, now).is_some());
                    }
                }
                Step::Close => {
                    if checked_out.pop().is_some() {
                        pool.on_closed();
                        expected_held -= 1;
                    }
                }
                Step::Suspect => {
                    pool.suspect_silent_since(now);
                    checked_out.extend(pool.take_suspected().into_iter().map(|l| l.connection));
                }
                Step::Warm => {
                    if pool.reserve_warm_connection(now) {
                        expected_held += 1;
                        let lease = pool.on_opened(i as u32, now);
                        expected_held -= u32::from(pool.check_in(lease.connection, now).is_some());
                    }
                }
                Step::Refuse => {
                    if let CheckoutDecision::Open(None) = pool.checkout(now) {
                        pool.on_refused(0.5, now);
                    } else {
                        return pool.held() <= SHARE;
                    }
                }
            }
            if pool.held() != expected_held || expected_held > SHARE {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(500)
        .quickcheck(stays_within_share as fn(Vec<Step>) -> bool);
}
