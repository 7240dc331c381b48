//! When a query is refused, for given delays at its shards.

use {
    routing::ServiceName,
    scatter::Outlook,
    std::time::{Duration, Instant},
};

const TARGET: Duration = Duration::from_millis(200);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn shards(count: usize) -> Vec<ServiceName> {
    (0..count)
        .map(|n| format!("s{n}").as_str().into())
        .collect()
}

#[test]
fn a_query_is_refused_if_too_few_shards_answer_soon() {
    // Delays in milliseconds, least share, and the time after which to come back.
    let table: &[(&[u64], f64, Option<u64>)] = &[
        (&[0, 0, 0, 0], 1.0, None),
        (&[0, 0, 0, 100], 1.0, None),
        (&[0, 0, 0, 101], 1.0, Some(101)),
        (&[0, 0, 0, 900], 0.75, None),
        (&[0, 300, 0, 900], 0.75, Some(300)),
        (&[300, 300, 300, 300], 0.0, Some(300)),
        (&[0, 300, 300, 300], 0.0, None),
        (&[], 1.0, None),
    ];
    for (delays, min_share, expected) in table {
        let shards = shards(delays.len());
        let own = |shard: &ServiceName| {
            let position = shards.iter().position(|known| known == shard);
            position.map(|position| ms(delays[position]))
        };
        let refusal = Outlook::default().refusal(&shards, *min_share, TARGET, Instant::now(), own);
        let told = refusal.map(|refusal| refusal.retry_after);
        assert_eq!(told, expected.map(ms), "{delays:?} {min_share}");
    }
}

#[test]
fn a_peers_word_goes_before_the_own_one_for_a_quarter_of_a_second() {
    let shards = shards(1);
    let mut outlook = Outlook::default();
    let now = Instant::now();
    let ask = |outlook: &mut Outlook, own: Option<u64>, at| {
        let refusal = outlook.refusal(&shards, 1.0, TARGET, at, |_| own.map(ms));
        refusal.map(|refusal| refusal.delay)
    };
    assert_eq!(ask(&mut outlook, None, now), None);
    outlook.learn(&shards[0], ms(150), now);
    assert_eq!(ask(&mut outlook, Some(0), now), Some(ms(150)));
    assert_eq!(ask(&mut outlook, Some(0), now + ms(250)), None);
    assert_eq!(ask(&mut outlook, Some(170), now + ms(250)), Some(ms(170)));
    outlook.learn(&shards[0], ms(10), now + ms(300));
    assert_eq!(ask(&mut outlook, Some(170), now + ms(300)), None);
}

#[test]
fn callers_come_back_one_by_one_and_within_two_seconds() {
    let shards = shards(1);
    let mut outlook = Outlook::default();
    let mut now = Instant::now();
    // Queries are let in every 20 ms, after a long pause without any.
    assert_eq!(outlook.refusal(&shards, 1.0, TARGET, now, |_| None), None);
    now += Duration::from_secs(3_600);
    for _ in 0..100 {
        assert_eq!(outlook.refusal(&shards, 1.0, TARGET, now, |_| None), None);
        now += ms(20);
    }
    let mut refuse = || {
        let refusal = outlook.refusal(&shards, 1.0, TARGET, now, |_| Some(ms(150)));
        refusal.map(|refusal| refusal.retry_after.as_millis())
    };
    assert_eq!(refuse(), Some(150));
    let second = refuse().unwrap_or_default();
    assert!((168..=172).contains(&second), "{second}");
    let last = (0..500).filter_map(|_| refuse()).max();
    assert_eq!(last, Some(2_000));
}
