//! Silence is found by one test for each server, and slowness is not taken for it.

use {
    link::{Silence, Suspicion},
    std::time::{Duration, Instant},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn silence(first_byte: Duration) -> Silence {
    let mut silence = Silence::default();
    for _ in 0..64 {
        silence.on_first_byte(first_byte);
    }
    silence
}

#[test]
fn the_suspicion_time_follows_the_server_its_load_and_the_deadline() {
    struct Case {
        first_byte_ms: u64,
        in_flight: u32,
        time_left_ms: u64,
        expected_ms: u64,
    }
    let case = |first_byte_ms, in_flight, time_left_ms, expected_ms| Case {
        first_byte_ms,
        in_flight,
        time_left_ms,
        expected_ms,
    };
    let cases = [
        case(2, 1, 1_000, 50),
        case(20, 1, 1_000, 80),
        case(20, 3, 1_000, 240),
        case(20, 12, 1_000, 250),
        case(100, 12, 20_000, 4_800),
        case(100, 0, 20_000, 400),
        case(2, 1, 100, 25),
    ];
    for c in cases {
        let time = silence(ms(c.first_byte_ms)).suspicion_time(ms(c.time_left_ms), c.in_flight);
        assert_eq!(time, ms(c.expected_ms), "{} ms first byte", c.first_byte_ms);
    }
    // Without samples only the deadline counts.
    assert_eq!(Silence::default().suspicion_time(ms(1_000), 1), ms(250));
}

#[test]
fn one_call_tests_and_its_proof_lets_the_others_repeat() {
    let mut silence = silence(ms(2));
    let begin = Instant::now();
    let now = begin + ms(50);
    assert_eq!(silence.on_suspicion(begin, now), Suspicion::Test);
    for _ in 0..10 {
        assert_eq!(silence.on_suspicion(begin, now), Suspicion::Wait);
    }
    silence.on_test_end(Some(true), 0.5, now + ms(10));
    assert_eq!(silence.on_suspicion(begin, now + ms(10)), Suspicion::Repeat);
    // A call that was sent after the proof needs a new one.
    let later = now + ms(11);
    assert_eq!(silence.on_suspicion(later, later + ms(50)), Suspicion::Test);
}

#[test]
fn a_slow_server_gets_fewer_and_fewer_tests() {
    let mut silence = silence(ms(2));
    let begin = Instant::now();
    let mut tests = 0;
    // For an hour, 100 calls a second are suspected.
    for i in 0..360_000 {
        let now = begin + ms(10 * i);
        if silence.on_suspicion(now, now) == Suspicion::Test {
            tests += 1;
            silence.on_test_end(Some(false), 1.0, now);
        }
    }
    assert!(tests <= 126, "{tests} tests: 5 on the way to one in 30 s");
}

#[test]
fn a_test_that_is_cancelled_lets_the_next_one_go() {
    let mut silence = silence(ms(2));
    let now = Instant::now();
    assert_eq!(silence.on_suspicion(now, now), Suspicion::Test);
    silence.on_test_end(None, 0.5, now);
    assert_eq!(silence.on_suspicion(now, now), Suspicion::Test);
}
