//! Startup and graceful shutdown of a host.

use {
    crate::{
        admin,
        claims::Claims,
        config::{self, RefusedHead},
        entry::{self, RelaySelectors},
        members::{self, Members},
        peer::{self, Peers},
        relay::{self, canary::Canaries, gate::Gates, pool::Pools},
        relay_sets::RelaySets,
        shared::Shared,
        Settings,
    },
    anyhow::{Context, Result},
    axum::middleware::from_fn,
    fleet::{LifecycleEvent, Phase},
    life::SharedLifecycle,
    linger::{close_if_unread, LingeringListener},
    link::ServerTable,
    meter::Metrics,
    plan::ServiceStates,
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

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to send the error responses for requests still in flight after the
/// longest drain.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for callers' connections to close after their last response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to tell peers that this host leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a host that has announced that it leaves still refuses calls
/// of peers explicitly, before its listeners close.
const REFUSAL_PERIOD: Duration = Duration::from_millis(200);

/// A host running in this process.
pub struct RunningHost {
    /// Bound address for callers.
    pub entry_addr: SocketAddr,
    /// Bound address for peers.
    pub peer_addr: SocketAddr,
    /// Bound address of the administration API.
    pub admin_addr: SocketAddr,
    shared: Arc<Shared>,
    entry_task: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts a host and its background tasks.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run(mut settings: Settings) -> Result<RunningHost> {
    let entry = bind("--entry-addr", settings.entry_addr).await?;
    let admin = bind("--admin-addr", settings.admin_addr).await?;
    let peers = bind("--peer-addr", settings.member.peer_addr).await?;
    let (entry_addr, admin_addr) = (entry.local_addr()?, admin.local_addr()?);
    // Peers need the bound port, which the system picks if the setting is port 0.
    settings.member.peer_addr = peers.local_addr()?;
    let peer_addr = settings.member.peer_addr;
    let shared = Arc::new(new_shared(settings)?);
    log::info!(target: "host", "Listening on {entry_addr} (callers), {peer_addr} (peers), {admin_addr} (operators).");
    members::use_configured_seeds(&shared);
    let tasks = vec![
        spawn(peer::serve(Arc::clone(&shared), peers)),
        spawn(serve_http(admin, admin::router(Arc::clone(&shared)))),
        spawn(config::follow_head(Arc::clone(&shared))),
        spawn(config::follow_peers(Arc::clone(&shared))),
        spawn(members::poll_host_list(Arc::clone(&shared))),
        spawn(members::run_exchange(Arc::clone(&shared))),
        spawn(relay::maintain_connections(Arc::clone(&shared))),
        spawn(relay::follow_gossip(Arc::clone(&shared))),
    ];
    Ok(RunningHost {
        entry_addr,
        peer_addr,
        admin_addr,
        entry_task: spawn(serve_entry(entry, Arc::clone(&shared))),
        shared,
        tasks,
    })
}

fn new_shared(settings: Settings) -> Result<Shared> {
    Ok(Shared {
        metrics: Metrics::new()?,
        platform: HttpPlatform::new(settings.platform_addr, PLATFORM_TIMEOUT),
        config: watch::Sender::new(Arc::new(InForce::default())),
        refused_head: RefusedHead::default(),
        claims: Claims::default(),
        members: Members::new(settings.member.clone()),
        relay_sets: RelaySets::default(),
        relay_selectors: RelaySelectors::default(),
        peers: Peers::default(),
        pools: Pools::default(),
        servers: ServerTable::default(),
        canaries: Canaries::default(),
        service_states: ServiceStates::default(),
        gates: Gates::default(),
        life: Arc::new(SharedLifecycle::new()),
        settings,
    })
}

impl RunningHost {
    /// Waits until the host accepts requests.
    pub async fn ready(&self) {
        self.shared.life.wait_for_phase(Phase::Ready).await;
    }

    /// Shuts the host down once the requests in flight have finished.
    ///
    /// Requests that are still in flight after the longest drain get an error
    /// response.
    pub async fn shut_down(self) {
        let life = &self.shared.life;
        life.on_event(LifecycleEvent::Stop);
        // Peers can switch to other relays while this one still serves.
        self.shared.members.drain();
        if life.phase() == Phase::Leaving {
            sleep(self.shared.settings.balancer_lag).await;
            life.on_event(LifecycleEvent::BalancerLagElapsed);
        }
        if timeout(self.shared.settings.max_drain, life.wait_idle())
            .await
            .is_err()
        {
            log::warn!(target: "host", "{} requests still in flight after the longest drain.", life.in_flight());
            life.on_event(LifecycleEvent::DrainTimedOut);
            let _ = timeout(CANCEL_TIMEOUT, life.wait_idle()).await;
        }
        // The last responses may still be in the socket buffers.
        let _ = timeout(CLOSE_TIMEOUT, self.entry_task).await;
        life.on_event(LifecycleEvent::Idle);
        let _ = timeout(LEAVE_TIMEOUT, members::announce_leaving(&self.shared)).await;
        sleep(REFUSAL_PERIOD).await;
        life.on_event(LifecycleEvent::PeersNotified);
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

async fn serve_entry(listener: TcpListener, shared: Arc<Shared>) {
    let life = Arc::clone(&shared.life);
    let finishing = async move { life.wait_for_phase(Phase::Finishing).await };
    let router = entry::router(shared).layer(from_fn(close_if_unread));
    let serving = axum::serve(LingeringListener::new(listener), router);
    let serving = serving.with_graceful_shutdown(finishing);
    if let Err(error) = serving.await {
        log::error!(target: "host", "Listener failed: {error}.");
    }
}

async fn serve_http(listener: TcpListener, router: axum::Router) {
    let router = router.layer(from_fn(close_if_unread));
    if let Err(error) = axum::serve(LingeringListener::new(listener), router).await {
        log::error!(target: "host", "Listener failed: {error}.");
    }
}
