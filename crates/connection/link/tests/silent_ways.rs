//! Ways to meet connections that have gone silent, measured under paused time.
//!
//! One server of 2 slots with exponential execution times of 8 ms, 1.5 ms of
//! network each round and 6 ms to open a connection, gets 100 calls a second.
//! After 2 s every open connection goes silent; later ones work.

use {
    link::{Checkout, Lease, Pool, PoolConfig, Silence, Suspicion},
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

const ROUND: Duration = Duration::from_micros(1_500);
const OPEN: Duration = Duration::from_millis(6);
const DEADLINE: Duration = Duration::from_secs(1);
const SHARE: u32 = 8;
const SEED: u64 = 5;
/// Time of the probe of an idle connection.
const PROBE: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Fresh connection on the last of three tries, as in the related paper.
    LastRetry,
    /// Fresh connection for each call on its own suspicion.
    EachSuspicion,
    /// Probe of the connection before each call.
    ProbeFirst,
    /// One test for each server, then all calls without a byte repeat.
    TestedSuspicion,
}

type Conn = Rc<Cell<bool>>;

struct World {
    way: Way,
    mean_ms: f64,
    pool: RefCell<Pool<Conn>>,
    silence: RefCell<Silence>,
    open: RefCell<Vec<Conn>>,
    slots: Semaphore,
    freed: Notify,
    random: RefCell<StdRng>,
    calls: Cell<u32>,
    probes: Cell<u32>,
}

#[derive(Debug, Default)]
struct Figures {
    asked: u32,
    answered: u32,
    latencies_ms: Vec<f64>,
    calls: u32,
    probes: u32,
}

impl Figures {
    fn p99_ms(&self) -> f64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() * 99 / 100]
    }

    fn extra_share(&self) -> f64 {
        f64::from(self.calls) / f64::from(self.asked) - 1.0
    }
}

fn now() -> StdInstant {
    Instant::now().into_std()
}

/// A connection on loan, closed when dropped.
struct Loan<'a> {
    world: &'a World,
    conn: Option<Conn>,
    is_reused: bool,
}

impl Drop for Loan<'_> {
    fn drop(&mut self) {
        if self.conn.take().is_some() {
            self.world.pool.borrow_mut().on_closed();
            self.world.freed.notify_one();
        }
    }
}

impl Loan<'_> {
    fn give_back(mut self) {
        if let Some(conn) = self.conn.take() {
            let closed = self.world.pool.borrow_mut().give_back(conn, now());
            drop(closed);
            self.world.freed.notify_one();
        }
    }
}

impl World {
    async fn checkout(&self) -> Loan<'_> {
        loop {
            let decision = self.pool.borrow_mut().checkout(now());
            match decision {
                Checkout::Reuse(lease) => return self.lend(lease),
                Checkout::Open(_) => return self.open().await,
                Checkout::Wait | Checkout::BackOff(_) => self.freed.notified().await,
            }
        }
    }

    fn lend(&self, lease: Lease<Conn>) -> Loan<'_> {
        Loan {
            world: self,
            conn: Some(lease.connection),
            is_reused: lease.is_reused,
        }
    }

    /// Opens a connection that the pool counts already.
    async fn open(&self) -> Loan<'_> {
        let conn = Conn::default();
        let opening = Loan {
            world: self,
            conn: Some(Rc::clone(&conn)),
            is_reused: false,
        };
        sleep(OPEN).await;
        self.open.borrow_mut().push(Rc::clone(&conn));
        drop(self.pool.borrow_mut().on_opened(conn, now()));
        opening
    }

    async fn send(&self, loan: Loan<'_>) {
        self.calls.set(self.calls.get() + 1);
        let sent = Instant::now();
        if loan.conn.as_ref().is_some_and(|conn| conn.get()) {
            pending::<()>().await;
        }
        sleep(ROUND).await;
        let uniform: f64 = self.random.borrow_mut().random_range(f64::EPSILON..1.0);
        let slot = self.slots.acquire().await;
        sleep(Duration::from_secs_f64(-uniform.ln() * self.mean_ms / 1e3)).await;
        drop(slot);
        self.silence.borrow_mut().on_first_byte(sent.elapsed());
        loan.give_back();
    }

    async fn call(&self) {
        match self.way {
            Way::LastRetry => self.call_with_last_retry().await,
            Way::ProbeFirst => self.call_with_probe().await,
            Way::EachSuspicion | Way::TestedSuspicion => self.call_with_suspicion().await,
        }
    }

    async fn call_with_last_retry(&self) {
        for _ in 0..2 {
            let attempt = async { self.send(self.checkout().await).await };
            if timeout(DEADLINE / 3, attempt).await.is_ok() {
                return;
            }
        }
        // The fresh connection counts beside the pool.
        let loan = Loan {
            world: self,
            conn: None,
            is_reused: false,
        };
        sleep(OPEN).await;
        self.send(loan).await;
    }

    async fn call_with_probe(&self) {
        loop {
            let loan = self.checkout().await;
            if loan.is_reused {
                self.probes.set(self.probes.get() + 1);
                if loan.conn.as_ref().is_some_and(|conn| conn.get()) {
                    sleep(PROBE).await;
                    continue;
                }
                sleep(ROUND).await;
            }
            return self.send(loan).await;
        }
    }

    async fn call_with_suspicion(&self) {
        let began = Instant::now();
        let loan = self.checkout().await;
        if !loan.is_reused {
            return self.send(loan).await;
        }
        let sent_at = now();
        let time_left = DEADLINE.saturating_sub(began.elapsed());
        let in_flight = self.pool.borrow().out();
        let mut pause = self.silence.borrow().suspicion_time(time_left, in_flight);
        let mut first = Box::pin(self.send(loan));
        let is_test = loop {
            select! {
                () = &mut first => return,
                () = sleep(pause) => {}
            }
            if self.way == Way::EachSuspicion {
                break false;
            }
            match self.silence.borrow_mut().on_suspicion(sent_at, now()) {
                Suspicion::Wait => pause = Duration::from_millis(10),
                verdict => break verdict == Suspicion::Test,
            }
        };
        if self.way == Way::TestedSuspicion {
            let mut pool = self.pool.borrow_mut();
            pool.on_suspicion(sent_at);
            // The probes of silent siblings fail, those of live ones succeed.
            for lease in pool.take_suspected() {
                pool.on_closed();
                drop(lease);
            }
        }
        let has_room = self.pool.borrow().has_room();
        let second = async { self.send(self.checkout().await).await };
        let is_proved = if has_room {
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
            silence.on_test_end(Some(is_proved), 0.5, now());
        }
    }
}

/// Sends calls at `per_s` for 2 s, silences what is open if wanted, and
/// returns the figures of the calls of the next 4 s.
fn run(way: Way, mean_ms: f64, per_s: f64, is_silenced: bool) -> Figures {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime starts");
    let world = Rc::new(World {
        way,
        mean_ms,
        pool: RefCell::new(Pool::new(PoolConfig {
            share: SHARE,
            warm: SHARE,
            idle_timeout: Duration::from_secs(60),
        })),
        silence: RefCell::default(),
        open: RefCell::default(),
        slots: Semaphore::new(2),
        freed: Notify::new(),
        random: RefCell::new(StdRng::seed_from_u64(SEED)),
        calls: Cell::new(0),
        probes: Cell::new(0),
    });
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        while world.pool.borrow_mut().wants_warm(now()) {
            world.open().await.give_back();
        }
        send_for(&world, per_s, Duration::from_secs(2)).await;
        if is_silenced {
            world.open.borrow().iter().for_each(|conn| conn.set(true));
        }
        world.calls.set(0);
        world.probes.set(0);
        let mut figures = send_for(&world, per_s, Duration::from_secs(4)).await;
        figures.calls = world.calls.get();
        figures.probes = world.probes.get();
        figures
    })
}

async fn send_for(world: &Rc<World>, per_s: f64, time: Duration) -> Figures {
    let mut arrivals = StdRng::seed_from_u64(SEED);
    let begin = Instant::now();
    let mut sent = Vec::new();
    while begin.elapsed() < time {
        let world = Rc::clone(world);
        sent.push(spawn_local(async move {
            let began = Instant::now();
            let is_answered = timeout(DEADLINE, world.call()).await.is_ok();
            (is_answered, began.elapsed())
        }));
        let uniform: f64 = arrivals.random_range(f64::EPSILON..1.0);
        sleep(Duration::from_secs_f64(-uniform.ln() / per_s)).await;
    }
    let mut figures = Figures::default();
    for call in sent {
        let (is_answered, latency) = call.await.expect("no call panics");
        figures.asked += 1;
        figures.answered += u32::from(is_answered);
        figures.latencies_ms.push(latency.as_secs_f64() * 1e3);
    }
    figures
}

#[test]
fn a_tested_suspicion_answers_after_silence_and_spares_slow_servers() {
    let ways = [
        Way::LastRetry,
        Way::EachSuspicion,
        Way::ProbeFirst,
        Way::TestedSuspicion,
    ];
    for way in ways {
        let silent = run(way, 8.0, 100.0, true);
        let calm = run(way, 8.0, 100.0, false);
        // 2 slots of 80 ms work off 25 calls a second.
        let slow = run(way, 80.0, 23.0, false);
        println!(
            "{way:?}: after silence {} of {} answered, p99 {:.0} ms; calm p99 {:.0} ms, \
             extra calls {:.1}%, probes {}; slow server extra calls {:.1}%",
            silent.answered,
            silent.asked,
            silent.p99_ms(),
            calm.p99_ms(),
            calm.extra_share() * 100.0,
            calm.probes,
            slow.extra_share() * 100.0,
        );
        if way == Way::TestedSuspicion {
            assert!(silent.answered * 100 >= silent.asked * 99, "{silent:?}");
            assert!(calm.extra_share() <= 0.01, "{}", calm.extra_share());
            assert!(slow.extra_share() <= 0.05, "{}", slow.extra_share());
        }
    }
}
