//! A server with its execution slots, connection limit and crashes.

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

/// State of a server.
pub(super) struct Server {
    pub(super) addr: SocketAddr,
    pub(super) behaviour: Mutex<Behaviour>,
    /// Ids of the connections that received a call while the server was silent.
    pub(super) silenced_connections: Mutex<HashSet<u64>>,
    pub(super) last_connection_id: AtomicU64,
    /// Connections up to this id are silent.
    pub(super) silenced_up_to: AtomicU64,
    pub(super) open_connections: AtomicUsize,
    pub(super) waiting: AtomicUsize,
    pub(super) slots: Semaphore,
    pub(super) is_crashed: Mutex<bool>,
    pub(super) crash: Notify,
    pub(super) random: Mutex<StdRng>,
}

impl Server {
    pub(super) fn new(addr: SocketAddr, behaviour: Behaviour, seed: u64) -> Self {
        Self {
            addr,
            slots: Semaphore::new(behaviour.slots),
            behaviour: Mutex::new(behaviour),
            silenced_connections: Mutex::default(),
            last_connection_id: AtomicU64::new(0),
            silenced_up_to: AtomicU64::new(0),
            open_connections: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            is_crashed: Mutex::new(false),
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
        *self.is_crashed.lock() = true;
        self.crash.notify_waiters();
        let crash_ms = self.behaviour.lock().crash_ms;
        let server = Arc::clone(self);
        spawn(async move {
            sleep(Duration::from_millis(crash_ms)).await;
            *server.is_crashed.lock() = false;
        });
    }
}

/// Accepts connections up to the connection limit of the server.
pub(super) async fn accept(listener: TcpListener, server: Arc<Server>, upstreams: FakeUpstreams) {
    let mut next_id = 0;
    while let Ok((stream, _)) = listener.accept().await {
        next_id += 1;
        server.last_connection_id.store(next_id, Ordering::SeqCst);
        let limit = server.behaviour.lock().connection_limit;
        let open = server.open_connections.load(Ordering::SeqCst);
        if *server.is_crashed.lock() || open >= limit {
            upstreams.counters.lock().refused_connections += 1;
            drop(stream);
            continue;
        }
        server.open_connections.fetch_add(1, Ordering::SeqCst);
        {
            let mut counters = upstreams.counters.lock();
            counters.peak_connections = counters.peak_connections.max(open as u64 + 1);
        }
        let connection = Connection {
            id: next_id,
            server: Arc::clone(&server),
            upstreams: upstreams.clone(),
        };
        spawn(connection.serve(stream));
    }
}
