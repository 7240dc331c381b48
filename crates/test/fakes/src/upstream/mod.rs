//! Fake of the upstream servers of one service.
//!
//! One process holds many servers, each with its own address, connection
//! limit and execution slots. A server reports the index version that it used,
//! respects deadlines, cancels the execution when its caller disconnects, sheds
//! load, drains, and counts the executions of each request.

mod behaviour;
mod connection;
mod counters;
mod server;

use {
    self::server::{accept, Server},
    axum::{
        extract::{Path, State},
        http::StatusCode,
        routing::{get, put},
        Json, Router,
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{atomic::Ordering, Arc},
    },
    tokio::{net::TcpListener, spawn},
};

pub use self::{behaviour::Behaviour, counters::Counters};

/// The fake servers of one process.
#[derive(Clone)]
pub struct FakeUpstreams {
    counters: Arc<Mutex<Counters>>,
    servers: Arc<HashMap<SocketAddr, Arc<Server>>>,
}

impl FakeUpstreams {
    /// Starts one server on each listener and returns a handle to control them.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener has no address.
    pub fn spawn(listeners: Vec<TcpListener>, behaviour: &Behaviour) -> io::Result<Self> {
        let mut servers = HashMap::new();
        for (i, listener) in listeners.iter().enumerate() {
            let addr = listener.local_addr()?;
            servers.insert(
                addr,
                Arc::new(Server::new(addr, behaviour.clone(), i as u64)),
            );
        }
        let upstreams = Self {
            counters: Arc::default(),
            servers: Arc::new(servers),
        };
        for listener in listeners {
            let server = Arc::clone(&upstreams.servers[&listener.local_addr()?]);
            spawn(accept(listener, server, upstreams.clone()));
        }
        Ok(upstreams)
    }

    /// Returns the counters of the servers.
    pub fn counters(&self) -> Counters {
        self.counters.lock().clone()
    }

    /// Changes the behaviour of one server.
    pub fn set_behaviour(&self, addr: SocketAddr, behaviour: Behaviour) {
        if let Some(server) = self.servers.get(&addr) {
            *server.behaviour.lock() = behaviour;
        }
    }

    /// Silences the open connections; later ones work.
    pub fn silence_open_connections(&self) {
        for server in self.servers.values() {
            let last_id = server.last_connection_id.load(Ordering::SeqCst);
            server.silenced_up_to.store(last_id, Ordering::SeqCst);
        }
    }

    /// Serves the control API on `listener` until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub async fn serve_control(self, listener: TcpListener) -> io::Result<()> {
        let router = Router::new()
            .route("/fake/seen", get(get_counters))
            .route("/fake/silence", put(put_silence))
            .route("/fake/behaviour", put(put_behaviour))
            .route("/fake/behaviour/{addr}", put(put_one_behaviour))
            .with_state(self);
        axum::serve(listener, router).await
    }
}

async fn get_counters(State(upstreams): State<FakeUpstreams>) -> Json<Counters> {
    Json(upstreams.counters())
}

async fn put_silence(State(upstreams): State<FakeUpstreams>) -> StatusCode {
    upstreams.silence_open_connections();
    StatusCode::NO_CONTENT
}

async fn put_behaviour(
    State(upstreams): State<FakeUpstreams>,
    Json(behaviour): Json<Behaviour>,
) -> StatusCode {
    for addr in upstreams.servers.keys() {
        upstreams.set_behaviour(*addr, behaviour.clone());
    }
    StatusCode::NO_CONTENT
}

async fn put_one_behaviour(
    State(upstreams): State<FakeUpstreams>,
    Path(addr): Path<SocketAddr>,
    Json(behaviour): Json<Behaviour>,
) -> StatusCode {
    if !upstreams.servers.contains_key(&addr) {
        return StatusCode::NOT_FOUND;
    }
    upstreams.set_behaviour(addr, behaviour);
    StatusCode::NO_CONTENT
}
