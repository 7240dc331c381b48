//! Start and end of a host.

use {
    crate::{
        admin,
        claims::Claims,
        config::{self, Refused},
        entry,
        life::LifeWatch,
        members::{self, Members},
        peer::{self, Peers},
        relay::{self, canary::Canaries, gate::Gates, pool::Pools},
        shared::Shared,
        Settings,
    },
    anyhow::{Context, Result},
    fleet::{LifeEvent, Phase},
    link::ServerTable,
    meter::Metrics,
    plan::Groups,
    record::InForce,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    store::HttpPlatform,
    tokio::{net::TcpListener, spawn, sync::watch, task::JoinHandle, time::sleep},
};

/// Time for one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two looks at the work in flight.
const IDLE_PAUSE: Duration = Duration::from_millis(20);

/// A host that runs in this process.
pub struct RunningHost {
    /// Address for callers.
    pub entry_addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: SocketAddr,
    /// Address for operators.
    pub admin_addr: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts a host.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run(settings: Settings) -> Result<RunningHost> {
    let shared = Arc::new(Shared {
        metrics: Metrics::new()?,
        platform: HttpPlatform::new(settings.platform_addr, PLATFORM_TIMEOUT),
        config: watch::Sender::new(Arc::new(InForce::default())),
        refused: Refused::default(),
        claims: Claims::default(),
        members: Members::new(settings.member.clone()),
        peers: Peers::default(),
        pools: Pools::default(),
        servers: ServerTable::default(),
        canaries: Canaries::default(),
        groups: Groups::default(),
        gates: Gates::default(),
        life: Arc::new(LifeWatch::new()),
        settings,
    });
    let settings = &shared.settings;
    let entry = bind("--entry-addr", settings.entry_addr).await?;
    let admin = bind("--admin-addr", settings.admin_addr).await?;
    let (peer_addr, peers) = peer::listen(Arc::clone(&shared), settings.member.peer_addr)
        .await
        .with_context(|| format!("--peer-addr: {} cannot be bound", settings.member.peer_addr))?;
    let entry_addr = entry.local_addr()?;
    let admin_addr = admin.local_addr()?;
    log::info!(target: "host", "Listening on {entry_addr} (callers), {peer_addr} (peers), {admin_addr} (operators).");
    let tasks = vec![
        spawn(peers),
        spawn(serve_http(entry, entry::router(Arc::clone(&shared)))),
        spawn(serve_http(admin, admin::router(Arc::clone(&shared)))),
        spawn(config::follow_head(Arc::clone(&shared))),
        spawn(config::follow_peers(Arc::clone(&shared))),
        spawn(members::follow_list(Arc::clone(&shared))),
        spawn(relay::keep_up(Arc::clone(&shared))),
    ];
    Ok(RunningHost {
        entry_addr,
        peer_addr,
        admin_addr,
        shared,
        tasks,
    })
}

impl RunningHost {
    /// Waits until the host takes work.
    pub async fn ready(&self) {
        self.shared.life.reached(Phase::Ready).await;
    }

    /// Shuts the host down without cutting work in flight.
    pub async fn shut_down(self) {
        let life = &self.shared.life;
        life.on_event(LifeEvent::Stop);
        if life.phase() == Phase::Leaving {
            sleep(self.shared.settings.balancer_lag).await;
            life.on_event(LifeEvent::BalancerLagOver);
        }
        while life.in_flight() > 0 {
            sleep(IDLE_PAUSE).await;
        }
        // The last answers are still on their way through the sockets.
        sleep(IDLE_PAUSE).await;
        life.on_event(LifeEvent::Idle);
        for task in self.tasks {
            task.abort();
        }
    }
}

async fn bind(flag: &str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .with_context(|| format!("{flag}: {addr} cannot be bound"))
}

async fn serve_http(listener: TcpListener, router: axum::Router) {
    if let Err(error) = axum::serve(listener, router).await {
        log::error!(target: "host", "Listener failed: {error}.");
    }
}
