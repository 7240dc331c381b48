//! One server: its slots, its connections and its crashes.

use {
    crate::upstream::{connection::Connection, Behaviour, FakeUpstreams},
    parking_lot::Mutex,
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, AtomicUsize, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        spawn,
        sync::{Notify, Semaphore},
        time::sleep,
    },
};

/// State of one server.
pub(super) struct Server {
    pub(super) addr: SocketAddr,
    pub(super) behaviour: Mutex<Behaviour>,
    pub(super) silent_before: Mutex<HashSet<u64>>,
    pub(super) newest_connection: AtomicU64,
    pub(super) silent_up_to: AtomicU64,
    pub(super) open_connections: AtomicUsize,
    pub(super) waiting: AtomicUsize,
    pub(super) slots: Semaphore,
    pub(super) crashed: Mutex<bool>,
    pub(super) crash: Notify,
    pub(super) random: Mutex<StdRng>,
}

impl Server {
    pub(super) fn new(addr: SocketAddr, behaviour: Behaviour, seed: u64) -> Self {
        Self {
            addr,
            slots: Semaphore::new(behaviour.slots),
            behaviour: Mutex::new(behaviour),
            silent_before: Mutex::default(),
            newest_connection: AtomicU64::new(0),
            silent_up_to: AtomicU64::new(0),
            open_connections: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            crashed: Mutex::new(false),
            crash: Notify::new(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    pub(super) fn execution_time(&self) -> Duration {
        let behaviour = self.behaviour.lock();
        let mean_s = behaviour.mean_ms / 1_000.0;
        if !behaviour.is_exponential {
            return Duration::from_secs_f64(mean_s);
        }
        let uniform: f64 = self.random.lock().random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean_s)
    }

    pub(super) async fn crash(self: &Arc<Self>) {
        *self.crashed.lock() = true;
        self.crash.notify_waiters();
        let crash_ms = self.behaviour.lock().crash_ms;
        let server = Arc::clone(self);
        spawn(async move {
            sleep(Duration::from_millis(crash_ms)).await;
            *server.crashed.lock() = false;
        });
    }
}

/// Accepts connections up to the limit of the server.
pub(super) async fn accept(listener: TcpListener, server: Arc<Server>, all: FakeUpstreams) {
    let mut next_id = 0;
    while let Ok((stream, _)) = listener.accept().await {
        next_id += 1;
        server.newest_connection.store(next_id, Ordering::SeqCst);
        let limit = server.behaviour.lock().connection_limit;
        let open = server.open_connections.load(Ordering::SeqCst);
        if *server.crashed.lock() || open >= limit {
            all.seen.lock().refused_connections += 1;
            drop(stream);
            continue;
        }
        server.open_connections.fetch_add(1, Ordering::SeqCst);
        {
            let mut seen = all.seen.lock();
            seen.peak_connections = seen.peak_connections.max(open as u64 + 1);
        }
        let connection = Connection {
            id: next_id,
            server: Arc::clone(&server),
            all: all.clone(),
        };
        spawn(connection.serve(stream));
    }
}
