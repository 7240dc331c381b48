//! Detection of silent connections: one test at a time for each server, and few for
//! servers that are merely slow.

use {
    link::{SilenceDetector, SuspicionAction},
    std::time::{Duration, Instant},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn detector(first_byte: Duration) -> SilenceDetector {
    let mut detector = SilenceDetector::default();
    for _ in 0..64 {
        detector.on_first_byte(first_byte);
    }
    detector
}

#[test]
fn suspicion_time_depends_on_latency_load_and_deadline() {
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
        let time = detector(ms(c.first_byte_ms)).suspicion_time(ms(c.time_left_ms), c.in_flight);
        assert_eq!(time, ms(c.expected_ms), "{} ms first byte", c.first_byte_ms);
    }
    // Without samples, the suspicion time depends on the deadline only.
    assert_eq!(
        SilenceDetector::default().suspicion_time(ms(1_000), 1),
        ms(250)
    );
}

#[test]
fn single_test_that_confirms_silence_lets_other_calls_repeat() {
    let mut detector = detector(ms(2));
    let start = Instant::now();
    let now = start + ms(50);
    assert_eq!(detector.on_suspicion(start, now), SuspicionAction::Test);
    for _ in 0..10 {
        assert_eq!(detector.on_suspicion(start, now), SuspicionAction::Wait);
    }
    detector.on_test_end(Some(true), 0.5, now + ms(10));
    assert_eq!(
        detector.on_suspicion(start, now + ms(10)),
        SuspicionAction::Repeat
    );
    // A call that was sent after the confirmation needs another test.
    let later = now + ms(11);
    assert_eq!(
        detector.on_suspicion(later, later + ms(50)),
        SuspicionAction::Test
    );
}

#[test]
fn tests_of_slow_server_back_off() {
    let mut detector = detector(ms(2));
    let start = Instant::now();
    let mut tests = 0;
    // Suspects 100 calls a second for an hour.
    for i in 0..360_000 {
        let now = start + ms(10 * i);
        if detector.on_suspicion(now, now) == SuspicionAction::Test {
            tests += 1;
            detector.on_test_end(Some(false), 1.0, now);
        }
    }
    assert!(
        tests <= 126,
        "{tests} tests; expected 5 before the pause is at its maximum, then one in 30 s"
    );
}

#[test]
fn cancelled_test_allows_another_test() {
    let mut detector = detector(ms(2));
    let now = Instant::now();
    assert_eq!(detector.on_suspicion(now, now), SuspicionAction::Test);
    detector.on_test_end(None, 0.5, now);
    assert_eq!(detector.on_suspicion(now, now), SuspicionAction::Test);
}
