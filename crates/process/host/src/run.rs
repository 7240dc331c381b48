//! Start and end of a host.

use {
    crate::{
        admin,
        claims::Claims,
        config::{self, Refused},
        entry::{self, Choices},
        members::{self, Members},
        peer::{self, Peers},
        relay::{self, canary::Canaries, gate::Gates, pool::Pools},
        relay_sets::RelaySets,
        shared::Shared,
        Settings,
    },
    anyhow::{Context, Result},
    fleet::{LifeEvent, Phase},
    life::LifeWatch,
    link::ServerTable,
    meter::Metrics,
    plan::Groups,
    record::InForce,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    store::HttpPlatform,
    tokio::{
        net::TcpListener,
        spawn,
        sync::watch,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Time for one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the answers of a drain that was given up.
const GIVE_UP_TIME: Duration = Duration::from_secs(1);
/// Time for callers' connections to close after their last answer.
const CLOSE_TIME: Duration = Duration::from_secs(1);
/// Time for telling peers that the host leaves.
const FAREWELL_TIME: Duration = Duration::from_millis(1_000);
/// Time for which a host that has said so still answers its peers with a refusal.
const LINGER_TIME: Duration = Duration::from_millis(200);

/// A host that runs in this process.
pub struct RunningHost {
    /// Address for callers.
    pub entry_addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: SocketAddr,
    /// Address for operators.
    pub admin_addr: SocketAddr,
    shared: Arc<Shared>,
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts a host.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run(mut settings: Settings) -> Result<RunningHost> {
    let entry = bind("--entry-addr", settings.entry_addr).await?;
    let admin = bind("--admin-addr", settings.admin_addr).await?;
    let peers = bind("--peer-addr", settings.member.peer_addr).await?;
    let (entry_addr, admin_addr) = (entry.local_addr()?, admin.local_addr()?);
    // Peers need the port that was bound, which port 0 leaves to the system.
    settings.member.peer_addr = peers.local_addr()?;
    let peer_addr = settings.member.peer_addr;
    let shared = Arc::new(share(settings)?);
    log::info!(target: "host", "Listening on {entry_addr} (callers), {peer_addr} (peers), {admin_addr} (operators).");
    members::begin_with_seeds(&shared);
    let tasks = vec![
        spawn(peer::serve(Arc::clone(&shared), peers)),
        spawn(serve_http(admin, admin::router(Arc::clone(&shared)))),
        spawn(config::follow_head(Arc::clone(&shared))),
        spawn(config::follow_peers(Arc::clone(&shared))),
        spawn(members::follow_list(Arc::clone(&shared))),
        spawn(members::run_exchange(Arc::clone(&shared))),
        spawn(relay::keep_up(Arc::clone(&shared))),
        spawn(relay::follow_news(Arc::clone(&shared))),
    ];
    Ok(RunningHost {
        entry_addr,
        peer_addr,
        admin_addr,
        callers: spawn(serve_callers(entry, Arc::clone(&shared))),
        shared,
        tasks,
    })
}

fn share(settings: Settings) -> Result<Shared> {
    Ok(Shared {
        metrics: Metrics::new()?,
        platform: HttpPlatform::new(settings.platform_addr, PLATFORM_TIMEOUT),
        config: watch::Sender::new(Arc::new(InForce::default())),
        refused: Refused::default(),
        claims: Claims::default(),
        members: Members::new(settings.member.clone()),
        relay_sets: RelaySets::default(),
        choices: Choices::default(),
        peers: Peers::default(),
        pools: Pools::default(),
        servers: ServerTable::default(),
        canaries: Canaries::default(),
        groups: Groups::default(),
        gates: Gates::default(),
        life: Arc::new(LifeWatch::new()),
        settings,
    })
}

impl RunningHost {
    /// Waits until the host takes work.
    pub async fn ready(&self) {
        self.shared.life.reached(Phase::Ready).await;
    }

    /// Shuts the host down without cutting work in flight.
    ///
    /// What is still in flight at the end of the longest drain is answered
    /// with an error that says so.
    pub async fn shut_down(self) {
        let life = &self.shared.life;
        life.on_event(LifeEvent::Stop);
        // Peers may pick other relays while this one still serves.
        self.shared.members.drain();
        if life.phase() == Phase::Leaving {
            sleep(self.shared.settings.balancer_lag).await;
            life.on_event(LifeEvent::BalancerLagOver);
        }
        if timeout(self.shared.settings.max_drain, life.is_idle())
            .await
            .is_err()
        {
            log::warn!(target: "host", "{} in flight after the longest drain.", life.in_flight());
            life.on_event(LifeEvent::DrainOver);
            let _ = timeout(GIVE_UP_TIME, life.is_idle()).await;
        }
        // The last answers are still on their way through the sockets.
        let _ = timeout(CLOSE_TIME, self.callers).await;
        life.on_event(LifeEvent::Idle);
        let _ = timeout(FAREWELL_TIME, members::leave(&self.shared)).await;
        sleep(LINGER_TIME).await;
        life.on_event(LifeEvent::PeersTold);
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

async fn serve_callers(listener: TcpListener, shared: Arc<Shared>) {
    let life = Arc::clone(&shared.life);
    let refusing = async move { life.reached(Phase::Finishing).await };
    let serving = axum::serve(listener, entry::router(shared)).with_graceful_shutdown(refusing);
    if let Err(error) = serving.await {
        log::error!(target: "host", "Listener failed: {error}.");
    }
}

async fn serve_http(listener: TcpListener, router: axum::Router) {
    if let Err(error) = axum::serve(listener, router).await {
        log::error!(target: "host", "Listener failed: {error}.");
    }
}
