//! The pool keeps to its share, distrusts silent connections and backs off at the limit.

use {
    link::{connection_share, Checkout, Pool, PoolConfig},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::time::{Duration, Instant},
};

const SHARE: u32 = 4;

fn pool() -> Pool<u32> {
    Pool::new(PoolConfig {
        share: SHARE,
        warm: 2,
        idle_timeout: Duration::from_secs(30),
    })
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Opens a connection and puts it into the pool.
fn add(pool: &mut Pool<u32>, connection: u32, now: Instant) {
    assert!(matches!(pool.checkout(now), Checkout::Open(None)));
    let lease = pool.on_opened(connection, now);
    assert!(pool.give_back(lease.connection, now).is_none());
}

#[test]
fn shares_of_old_and_new_relays_stay_within_the_limit() {
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
fn the_connection_used_last_goes_out_first() {
    let now = Instant::now();
    let mut pool = pool();
    for (connection, held) in [(1, 1), (2, 1)] {
        if connection == 1 {
            add(&mut pool, connection, now);
        }
        assert_eq!(pool.held(), held);
    }
    let Checkout::Reuse(first) = pool.checkout(now) else {
        panic!("the idle connection is trusted");
    };
    add(&mut pool, 2, now);
    pool.give_back(first.connection, now + ms(1));
    assert!(matches!(pool.checkout(now), Checkout::Reuse(lease) if lease.connection == 1));
}

#[test]
fn a_suspicion_spares_connections_that_brought_a_byte_since() {
    let now = Instant::now();
    let mut pool = pool();
    add(&mut pool, 1, now);
    let Checkout::Reuse(old) = pool.checkout(now) else {
        panic!("the idle connection is trusted");
    };
    add(&mut pool, 2, now + ms(20));
    pool.on_suspicion(now + ms(10));
    assert!(matches!(pool.checkout(now + ms(30)), Checkout::Reuse(l) if l.connection == 2));
    pool.give_back(old.connection, now + ms(30));
    assert!(pool.take_suspected().is_empty(), "a byte came at 30 ms");
    pool.on_suspicion(now + ms(40));
    let suspected: Vec<_> = pool.take_suspected().iter().map(|l| l.connection).collect();
    assert_eq!(suspected, [1]);
    assert!(matches!(pool.checkout(now + ms(50)), Checkout::Open(None)));
}

#[test]
fn a_full_pool_of_suspected_connections_still_opens_fresh_ones() {
    let now = Instant::now();
    let mut pool = pool();
    let leases: Vec<_> = (0..SHARE)
        .map(|connection| {
            assert!(matches!(pool.checkout(now), Checkout::Open(None)));
            pool.on_opened(connection, now)
        })
        .collect();
    assert!(matches!(pool.checkout(now), Checkout::Wait));
    for lease in leases {
        pool.give_back(lease.connection, now);
    }
    pool.on_suspicion(now + ms(1));
    assert!(matches!(
        pool.checkout(now + ms(2)),
        Checkout::Open(Some(0))
    ));
    assert_eq!(pool.held(), SHARE);
}

#[test]
fn a_refusal_at_the_limit_backs_off_and_doubles() {
    let mut now = Instant::now();
    let mut pool = pool();
    for pause_ms in [20, 40, 80, 160, 320, 640, 1_000, 1_000] {
        assert!(matches!(pool.checkout(now), Checkout::Open(None)));
        pool.on_refused(1.0, now);
        let Checkout::BackOff(until) = pool.checkout(now) else {
            panic!("the pool backs off");
        };
        assert_eq!(until, now + ms(pause_ms));
        now = until;
    }
    assert!(matches!(pool.checkout(now), Checkout::Open(None)));
    let lease = pool.on_opened(1, now);
    pool.give_back(lease.connection, now);
    assert_eq!(pool.held(), 1);
}

#[test]
fn spare_connections_retire_down_to_the_warm_ones() {
    let now = Instant::now();
    let mut pool = pool();
    let mut opened = 0;
    while pool.wants_warm(now) {
        opened += 1;
        let lease = pool.on_opened(opened, now);
        pool.give_back(lease.connection, now);
    }
    assert_eq!(opened, 2);
    let leases: Vec<_> = (0..SHARE)
        .map(|_| match pool.checkout(now) {
            Checkout::Reuse(lease) => lease.connection,
            _ => pool.on_opened(9, now).connection,
        })
        .collect();
    for connection in leases {
        pool.give_back(connection, now);
    }
    assert!(pool.take_expired(now + ms(29_999)).is_empty());
    assert_eq!(pool.take_expired(now + ms(30_000)).len(), 2);
    assert_eq!(pool.held(), 2);
}

/// One step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Checkout,
    GiveBack,
    Close,
    Suspect,
    Warm,
    Refuse,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&[
            Self::Checkout,
            Self::Checkout,
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
fn no_history_holds_more_than_the_share() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut pool = pool();
        let mut now = Instant::now();
        // What the pool ought to count: connections on loan, and idle ones.
        let mut out = Vec::new();
        let mut open = 0;
        for (i, step) in steps.into_iter().enumerate() {
            now += ms(50);
            match step {
                Step::Checkout => match pool.checkout(now) {
                    Checkout::Reuse(lease) => out.push(lease.connection),
                    Checkout::Open(replaced) => {
                        open += 1 - u32::from(replaced.is_some());
                        out.push(pool.on_opened(i as u32, now).connection);
                    }
                    Checkout::Wait | Checkout::BackOff(_) => {}
                },
                Step::GiveBack => {
                    if let Some(connection) = out.pop() {
                        open -= u32::from(pool.give_back(connection, now).is_some());
                    }
                }
                Step::Close => {
                    if out.pop().is_some() {
                        pool.on_closed();
                        open -= 1;
                    }
                }
                Step::Suspect => {
                    pool.on_suspicion(now);
                    out.extend(pool.take_suspected().into_iter().map(|l| l.connection));
                }
                Step::Warm => {
                    if pool.wants_warm(now) {
                        open += 1;
                        let lease = pool.on_opened(i as u32, now);
                        open -= u32::from(pool.give_back(lease.connection, now).is_some());
                    }
                }
                Step::Refuse => {
                    if let Checkout::Open(None) = pool.checkout(now) {
                        pool.on_refused(0.5, now);
                    } else {
                        return pool.held() <= SHARE;
                    }
                }
            }
            if pool.held() != open || open > SHARE {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(500)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
