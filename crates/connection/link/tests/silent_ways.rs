//! Compares strategies against connections that have gone silent, in a simulation
//! with paused time.
//!
//! One server with 2 slots, exponentially distributed execution times with a mean
//! of 8 ms, a network round trip of 1.5 ms and 6 ms to open a connection gets 100
//! calls a second. After 2 s every open connection goes silent. Connections that
//! are opened later work.

use {
    link::{
        CheckedOutConnection, CheckoutDecision, Pool, PoolConfig, SilenceDetector, SuspicionAction,
    },
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::{
        cell::{Cell, RefCell},
        future::pending,
        rc::Rc,
        time::{Duration, Instant as StdInstant},
    },
    tokio::{
        select,
        sync::{Notify, Semaphore},
        task::{spawn_local, LocalSet},
        time::{sleep, timeout, Instant},
    },
};

const ROUND_TRIP: Duration = Duration::from_micros(1_500);
const OPEN_TIME: Duration = Duration::from_millis(6);
const DEADLINE: Duration = Duration::from_secs(1);
const SHARE: u32 = 8;
const SEED: u64 = 5;
/// Time after which a probe of a reused connection fails.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Strategy {
    /// Uses a fresh connection for the last of three attempts, as in the related paper.
    LastRetry,
    /// Repeats each suspected call on another connection.
    EachSuspicion,
    /// Probes a reused connection before each call.
    ProbeFirst,
    /// Repeats one suspected call as a test, and all others once the test confirms silence.
    TestedSuspicion,
}

/// A connection, as a flag of whether it has gone silent.
type Conn = Rc<Cell<bool>>;

struct Simulation {
    strategy: Strategy,
    mean_execution_ms: f64,
    pool: RefCell<Pool<Conn>>,
    silence: RefCell<SilenceDetector>,
    opened: RefCell<Vec<Conn>>,
    slots: Semaphore,
    returned: Notify,
    random: RefCell<StdRng>,
    calls: Cell<u32>,
    probes: Cell<u32>,
}

#[derive(Debug, Default)]
struct Stats {
    sent_requests: u32,
    answered_requests: u32,
    latencies_ms: Vec<f64>,
    calls: u32,
    probes: u32,
}

impl Stats {
    fn p99_ms(&self) -> f64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() * 99 / 100]
    }

    fn extra_call_ratio(&self) -> f64 {
        f64::from(self.calls) / f64::from(self.sent_requests) - 1.0
    }
}

fn now() -> StdInstant {
    Instant::now().into_std()
}

/// A checked-out connection, which is closed when it is dropped.
struct CheckedOut<'a> {
    simulation: &'a Simulation,
    conn: Option<Conn>,
    is_reused: bool,
}

impl Drop for CheckedOut<'_> {
    fn drop(&mut self) {
        if self.conn.take().is_some() {
            self.simulation.pool.borrow_mut().on_closed();
            self.simulation.returned.notify_one();
        }
    }
}

impl CheckedOut<'_> {
    fn give_back(mut self) {
        if let Some(conn) = self.conn.take() {
            let closed = self.simulation.pool.borrow_mut().check_in(conn, now());
            drop(closed);
            self.simulation.returned.notify_one();
        }
    }
}

impl Simulation {
    async fn checkout(&self) -> CheckedOut<'_> {
        loop {
            let decision = self.pool.borrow_mut().checkout(now());
            match decision {
                CheckoutDecision::Reuse(lease) => return self.guard(lease),
                CheckoutDecision::Open(_) => return self.open().await,
                CheckoutDecision::Wait | CheckoutDecision::BackOff(_) => {
                    self.returned.notified().await
                }
            }
        }
    }

    fn guard(&self, lease: CheckedOutConnection<Conn>) -> CheckedOut<'_> {
        CheckedOut {
            simulation: self,
            conn: Some(lease.connection),
            is_reused: lease.is_reused,
        }
    }

    /// Opens a connection that the pool already counts as being opened.
    async fn open(&self) -> CheckedOut<'_> {
        let conn = Conn::default();
        let checked_out = CheckedOut {
            simulation: self,
            conn: Some(Rc::clone(&conn)),
            is_reused: false,
        };
        sleep(OPEN_TIME).await;
        self.opened.borrow_mut().push(Rc::clone(&conn));
        drop(self.pool.borrow_mut().on_opened(conn, now()));
        checked_out
    }

    async fn send(&self, checked_out: CheckedOut<'_>) {
        self.calls.set(self.calls.get() + 1);
        let sent = Instant::now();
        if checked_out.conn.as_ref().is_some_and(|conn| conn.get()) {
            pending::<()>().await;
        }
        sleep(ROUND_TRIP).await;
        let uniform: f64 = self.random.borrow_mut().random_range(f64::EPSILON..1.0);
        let slot = self.slots.acquire().await;
        sleep(Duration::from_secs_f64(
            -uniform.ln() * self.mean_execution_ms / 1e3,
        ))
        .await;
        drop(slot);
        self.silence.borrow_mut().on_first_byte(sent.elapsed());
        checked_out.give_back();
    }

    async fn call(&self) {
        match self.strategy {
            Strategy::LastRetry => self.call_with_last_retry().await,
            Strategy::ProbeFirst => self.call_with_probe().await,
            Strategy::EachSuspicion | Strategy::TestedSuspicion => self.call_with_suspicion().await,
        }
    }

    async fn call_with_last_retry(&self) {
        for _ in 0..2 {
            let attempt = async { self.send(self.checkout().await).await };
            if timeout(DEADLINE / 3, attempt).await.is_ok() {
                return;
            }
        }
        // The pool does not count this connection.
        let checked_out = CheckedOut {
            simulation: self,
            conn: None,
            is_reused: false,
        };
        sleep(OPEN_TIME).await;
        self.send(checked_out).await;
    }

    async fn call_with_probe(&self) {
        loop {
            let checked_out = self.checkout().await;
            if checked_out.is_reused {
                self.probes.set(self.probes.get() + 1);
                if checked_out.conn.as_ref().is_some_and(|conn| conn.get()) {
                    sleep(PROBE_TIMEOUT).await;
                    continue;
                }
                sleep(ROUND_TRIP).await;
            }
            return self.send(checked_out).await;
        }
    }

    async fn call_with_suspicion(&self) {
        let start = Instant::now();
        let checked_out = self.checkout().await;
        if !checked_out.is_reused {
            return self.send(checked_out).await;
        }
        let sent_at = now();
        let time_left = DEADLINE.saturating_sub(start.elapsed());
        let in_flight = self.pool.borrow().checked_out();
        let mut pause = self.silence.borrow().suspicion_time(time_left, in_flight);
        let mut first = Box::pin(self.send(checked_out));
        let is_test = loop {
            select! {
                () = &mut first => return,
                () = sleep(pause) => {}
            }
            if self.strategy == Strategy::EachSuspicion {
                break false;
            }
            match self.silence.borrow_mut().on_suspicion(sent_at, now()) {
                SuspicionAction::Wait => pause = Duration::from_millis(10),
                action => break action == SuspicionAction::Test,
            }
        };
        if self.strategy == Strategy::TestedSuspicion {
            let mut pool = self.pool.borrow_mut();
            pool.suspect_silent_since(sent_at);
            // Closes all suspected connections, as if their probes had failed. A relay
            // keeps those whose probe succeeds.
            for lease in pool.take_suspected() {
                pool.on_closed();
                drop(lease);
            }
        }
        let has_room = self.pool.borrow().has_capacity();
        let second = async { self.send(self.checkout().await).await };
        let is_confirmed = if has_room {
            select! {
                () = &mut first => false,
                () = second => true,
            }
        } else {
            drop(first);
            second.await;
            true
        };
        if is_test {
            let mut silence = self.silence.borrow_mut();
            silence.on_test_end(Some(is_confirmed), 0.5, now());
        }
    }
}

/// Sends calls at a rate of `per_s` for 2 s, then silences the open connections if
/// `is_silenced`, and returns the statistics of the calls of the next 4 s.
fn run(strategy: Strategy, mean_execution_ms: f64, per_s: f64, is_silenced: bool) -> Stats {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("failed to start a runtime");
    let simulation = Rc::new(Simulation {
        strategy,
        mean_execution_ms,
        pool: RefCell::new(Pool::new(PoolConfig {
            max_connections: SHARE,
            min_idle: SHARE,
            idle_timeout: Duration::from_secs(60),
        })),
        silence: RefCell::default(),
        opened: RefCell::default(),
        slots: Semaphore::new(2),
        returned: Notify::new(),
        random: RefCell::new(StdRng::seed_from_u64(SEED)),
        calls: Cell::new(0),
        probes: Cell::new(0),
    });
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        while simulation.pool.borrow_mut().reserve_warm_connection(now()) {
            simulation.open().await.give_back();
        }
        send_for(&simulation, per_s, Duration::from_secs(2)).await;
        if is_silenced {
            simulation
                .opened
                .borrow()
                .iter()
                .for_each(|conn| conn.set(true));
        }
        simulation.calls.set(0);
        simulation.probes.set(0);
        let mut stats = send_for(&simulation, per_s, Duration::from_secs(4)).await;
        stats.calls = simulation.calls.get();
        stats.probes = simulation.probes.get();
        stats
    })
}

async fn send_for(simulation: &Rc<Simulation>, per_s: f64, time: Duration) -> Stats {
    let mut arrivals = StdRng::seed_from_u64(SEED);
    let start = Instant::now();
    let mut sent = Vec::new();
    while start.elapsed() < time {
        let simulation = Rc::clone(simulation);
        sent.push(spawn_local(async move {
            let call_start = Instant::now();
            let is_answered = timeout(DEADLINE, simulation.call()).await.is_ok();
            (is_answered, call_start.elapsed())
        }));
        let uniform: f64 = arrivals.random_range(f64::EPSILON..1.0);
        sleep(Duration::from_secs_f64(-uniform.ln() / per_s)).await;
    }
    let mut stats = Stats::default();
    for call in sent {
        let (is_answered, latency) = call.await.expect("a call panicked");
        stats.sent_requests += 1;
        stats.answered_requests += u32::from(is_answered);
        stats.latencies_ms.push(latency.as_secs_f64() * 1e3);
    }
    stats
}

#[test]
fn tested_suspicion_recovers_from_silence_and_rarely_repeats_calls_to_slow_servers() {
    let strategies = [
        Strategy::LastRetry,
        Strategy::EachSuspicion,
        Strategy::ProbeFirst,
        Strategy::TestedSuspicion,
    ];
    for strategy in strategies {
        let with_silence = run(strategy, 8.0, 100.0, true);
        let without_silence = run(strategy, 8.0, 100.0, false);
        // With 80 ms a call, 2 slots can serve 25 calls a second.
        let slow_server = run(strategy, 80.0, 23.0, false);
        println!(
            "{strategy:?}: after silence {} of {} answered, p99 {:.0} ms; without silence p99 {:.0} ms, \
             extra calls {:.1}%, probes {}; slow server extra calls {:.1}%",
            with_silence.answered_requests,
            with_silence.sent_requests,
            with_silence.p99_ms(),
            without_silence.p99_ms(),
            without_silence.extra_call_ratio() * 100.0,
            without_silence.probes,
            slow_server.extra_call_ratio() * 100.0,
        );
        if strategy == Strategy::TestedSuspicion {
            assert!(
                with_silence.answered_requests * 100 >= with_silence.sent_requests * 99,
                "{with_silence:?}"
            );
            assert!(
                without_silence.extra_call_ratio() <= 0.01,
                "{}",
                without_silence.extra_call_ratio()
            );
            assert!(
                slow_server.extra_call_ratio() <= 0.05,
                "{}",
                slow_server.extra_call_ratio()
            );
        }
    }
}
