//! Windows under synthetic latencies and sheds.

use {
    admit::{AimdWindow, Bounds, LeafStats, WindowControl},
    std::time::{Duration, Instant},
};

const SHARDS: usize = 20;

fn stats(latency_ms: u64, sheds: u32) -> LeafStats {
    LeafStats {
        leaf_latency: Some(Duration::from_millis(latency_ms)),
        answered: SHARDS as u32,
        sheds,
    }
}

fn feed(window: &mut AimdWindow, count: usize, stats: &LeafStats) {
    for _ in 0..count {
        let limit = window.limit();
        window.on_complete(stats, limit, Instant::now());
    }
}

/// Feeds a batch of queries that each ran alone, without queueing.
fn feed_idle(window: &mut AimdWindow) {
    for _ in 0..16 {
        window.on_complete(&stats(8, 0), 1, Instant::now());
    }
}

#[test]
fn window_follows_delay_and_sheds_within_its_bounds() {
    let bounds = Bounds::for_slots(4, 20, 2);
    let mut window = AimdWindow::new(bounds);
    let initial = window.limit();
    feed(&mut window, 200, &stats(8, 0));
    let grown = window.limit();
    assert!(grown > initial, "no growth without queueing");
    feed(&mut window, 200, &stats(40, 0));
    let shrunk = window.limit();
    assert!(shrunk < grown, "no decrease on delay");
    feed(&mut window, 200, &stats(8, 0));
    let before = window.limit();
    feed(&mut window, 200, &stats(8, 1));
    assert!(
        window.limit() >= before,
        "decrease although only one server sheds"
    );
    feed(&mut window, 200, &stats(8, 4));
    assert!(window.limit() < before, "no decrease on sheds");
    feed(&mut window, 10_000, &stats(40, 4));
    assert_eq!(window.limit(), initial / 4, "not the minimum window");
    feed(&mut window, 100_000, &stats(1, 0));
    assert!(window.limit() <= 4 * initial);
}

#[test]
fn an_idle_window_does_not_grow() {
    let mut window = AimdWindow::new(Bounds::for_slots(4, 20, 1));
    let initial = window.limit();
    for _ in 0..1_000 {
        window.on_complete(&stats(8, 0), 1, Instant::now());
    }
    assert_eq!(window.limit(), initial);
}

#[test]
fn windows_that_share_slots_converge_to_a_fair_share() {
    // The bounds are wide enough that neither window reaches them; clamping
    // alone would make the windows equal.
    let mut windows = [AimdWindow::new(Bounds::for_slots(4, 20, 1)); 2];
    // Both measure the idle service first. Then one grows and the other shrinks on sheds.
    for window in &mut windows {
        feed_idle(window);
    }
    feed(&mut windows[0], 16 * 18, &stats(8, 0));
    feed(&mut windows[1], 16 * 7, &stats(8, 4));
    let [a, b] = windows.map(|window| window.limit());
    assert!(a >= 2 * b, "{a} and {b}");
    // From here on both see the same latency, which grows with the total number
    // of running queries beyond the 40 that run without queueing.
    for i in 0..20_000 {
        if i % 1_600 == 0 {
            // Without samples from an idle service the baseline would rise with the load.
            for window in &mut windows {
                feed_idle(window);
            }
        }
        let running: usize = windows.iter().map(WindowControl::limit).sum();
        let latency_ms = 8 * running.max(40) as u64 / 40;
        for window in &mut windows {
            feed(window, 1, &stats(latency_ms, 0));
        }
    }
    let [a, b] = windows.map(|window| window.limit());
    assert!(a.abs_diff(b) <= 3, "{a} and {b}");
}

#[test]
fn new_bounds_scale_the_window() {
    let mut window = AimdWindow::new(Bounds::for_slots(4, 20, 1));
    let initial = window.limit();
    window.set_bounds(Bounds::for_slots(4, 20, 4));
    assert_eq!(window.limit(), initial / 4);
}
