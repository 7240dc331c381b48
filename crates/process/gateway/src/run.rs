//! Startup, housekeeping and shutdown of a host.

use {
    crate::{
        cold_news, crash_reports, hold_store, listen, membership, peer, quota, shared::Shared,
        store_restore, store_sync, Adapter, Settings,
    },
    anyhow::{Context, Result},
    fleet::{LifecycleEvent, Phase},
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        task::{spawn_local, JoinHandle},
        time::{sleep, timeout},
    },
};

/// Pause between runs of housekeeping.
const HOUSEKEEPING_PAUSE: Duration = Duration::from_secs(1);
/// Time without a call after which the budget of extra calls of a service is
/// dropped. It spans several windows of the platform's bound on extra calls.
const UNUSED_BUDGET_RETENTION: Duration = Duration::from_secs(60);
/// Time for the last answers to be written to the sockets, and then for the
/// store to confirm the end of the lease.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// A running host.
pub struct RunningGateway<A: Adapter> {
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address at which the balancer asks whether the host takes work.
    pub ready_addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: SocketAddr,
    shared: Rc<Shared<A>>,
    /// Ends with the last connection of a caller.
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    registration: JoinHandle<()>,
}

/// Starts a host inside a [`LocalSet`](tokio::task::LocalSet).
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run<A: Adapter>(mut settings: Settings, keys: A::Keys) -> Result<RunningGateway<A>> {
    let callers = bind("callers", settings.caller_addr).await?;
    let balancer = bind("the balancer", settings.ready_addr).await?;
    let peers = bind("peers", settings.member.peer_addr).await?;
    // Peers need the real port, which the system chooses if the setting is 0.
    settings.member.peer_addr = peers.local_addr()?;
    let (caller_addr, ready_addr) = (callers.local_addr()?, balancer.local_addr()?);
    let metrics = match settings.metrics_addr {
        Some(addr) => Some(bind("metrics", addr).await?),
        None => None,
    };
    let shared = Rc::new(Shared::<A>::new(settings, keys)?);
    log::info!(
        target: "host",
        "Host {} in {} listens on {caller_addr} (callers) and {ready_addr} (balancer).",
        shared.settings.member.id, shared.settings.member.zone
    );
    let mut tasks = vec![
        spawn_local(listen::serve_balancer(Rc::clone(&shared), balancer)),
        spawn_local(peer::serve(Rc::clone(&shared), peers)),
        spawn_local(store_sync::run(Rc::clone(&shared))),
        spawn_local(store_restore::run(Rc::clone(&shared))),
        spawn_local(run_housekeeping(Rc::clone(&shared))),
        spawn_local(hold_store::keep_holds(Rc::clone(&shared))),
        spawn_local(quota::run(Rc::clone(&shared))),
        spawn_local(crash_reports::repeat_reports(Rc::clone(&shared))),
        spawn_local(cold_news::run(Rc::clone(&shared))),
    ];
    if let Some(listener) = metrics {
        tasks.push(spawn_local(listen::serve_balancer(
            Rc::clone(&shared),
            listener,
        )));
    }
    Ok(RunningGateway {
        caller_addr,
        ready_addr,
        peer_addr: shared.settings.member.peer_addr,
        callers: spawn_local(listen::serve_callers(Rc::clone(&shared), callers)),
        registration: spawn_local(membership::stay_listed(Rc::clone(&shared))),
        shared,
        tasks,
    })
}

async fn bind(user: &str, addr: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(addr).await;
    bound.with_context(|| format!("the address {addr} for {user} cannot be bound"))
}

async fn run_housekeeping<A: Adapter>(shared: Rc<Shared<A>>) {
    loop {
        sleep(HOUSEKEEPING_PAUSE).await;
        let now = Instant::now();
        shared.on_hosts_changed();
        report_state(&shared, now);
        for key in shared.servers.borrow_mut().remove_expired(now) {
            shared.connections.borrow_mut().remove_pool(key);
        }
        shared.connections.borrow_mut().close_expired(now);
        shared.delay_forecast.borrow_mut().remove_expired(now);
        if let Some(before) = now.checked_sub(UNUSED_BUDGET_RETENTION) {
            shared.extra_call_budgets.borrow_mut().remove_unused(before);
        }
    }
}

fn report_state<A: Adapter>(shared: &Shared<A>, now: Instant) {
    for (part, count) in shared.log_limiter.borrow_mut().take_dropped() {
        log::warn!(target: "host", part, count; "Lines of a part were over their budget.");
        shared.metrics.on_lines_dropped(part, count);
    }
    shared.report_zones();
    let version = shared.table().map_or(0, |table| table.version());
    let server_count = shared.servers.borrow().len();
    let connections = shared.connections.borrow().connection_count();
    shared
        .metrics
        .on_state(version, shared.hosts.get(), server_count, connections);
    if let Some(age) = shared.store_cache.borrow().age(now) {
        shared.metrics.on_state_age(age);
    }
}

impl<A: Adapter> RunningGateway<A> {
    /// Returns the number of connections to servers.
    pub fn connections(&self) -> u32 {
        self.shared.connections.borrow().connection_count()
    }

    /// Returns the total size of the replies of servers that are being read, in bytes.
    pub fn reply_bytes(&self) -> usize {
        self.shared.reply_bytes.get()
    }

    /// Returns the version of the configuration in force, or 0 before the first one.
    pub fn config_version(&self) -> u64 {
        self.shared.table().map_or(0, |table| table.version())
    }

    /// Applies changed settings. Only the limit on extra calls takes effect; all
    /// other settings need a restart.
    pub fn reload(&self, newer: &Settings) {
        let mut own = self.shared.settings.clone();
        // The own address holds the real port, and the settings may hold port 0.
        own.member.peer_addr = newer.member.peer_addr;
        self.shared
            .extra_call_budgets
            .borrow_mut()
            .set_allowance(newer.allowance);
        if own.differs_only_in_allowance(newer) {
            log::info!(target: "host", "Settings taken: {:?}.", newer.allowance);
        } else {
            log::warn!(
                target: "host",
                "Settings taken: {:?}. Others have changed too, which takes a restart.",
                newer.allowance
            );
        }
    }

    /// Shuts the host down.
    ///
    /// Requests in flight may finish until the longest drain is over. That
    /// includes requests of which only a part has been received.
    pub async fn shut_down(mut self) {
        let life = &self.shared.life;
        let began = Instant::now();
        log::info!(target: "host", "Shutdown begins with {} requests in flight.", life.in_flight());
        life.on_event(LifecycleEvent::Stop);
        if life.phase() == Phase::Leaving {
            sleep(self.shared.settings.balancer_lag).await;
            life.on_event(LifecycleEvent::BalancerLagElapsed);
        }
        let left = self
            .shared
            .settings
            .max_drain
            .saturating_sub(began.elapsed());
        let finished = async {
            if let Err(error) = (&mut self.callers).await {
                log::error!(target: "host", "The task that serves callers failed: {error}.");
            }
            life.wait_idle().await;
        };
        if timeout(left, finished).await.is_err() {
            log::warn!(target: "host", "{} requests are still in flight after the longest drain.", life.in_flight());
            life.on_event(LifecycleEvent::DrainTimedOut);
        }
        life.on_event(LifecycleEvent::Idle);
        sleep(CLOSE_TIMEOUT).await;
        if timeout(CLOSE_TIMEOUT, self.registration).await.is_err() {
            log::warn!(target: "host", "The store did not confirm the end of the lease in time.");
        }
        life.on_event(LifecycleEvent::PeersNotified);
        self.callers.abort();
        self.tasks.iter().for_each(JoinHandle::abort);
        let took_ms = began.elapsed().as_millis();
        log::info!(target: "host", "Stopped after {took_ms} ms, {} connections to servers closed.",
            self.shared.connections.borrow().connection_count());
    }
}
