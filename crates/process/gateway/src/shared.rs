//! State that all tasks of a host share.

use {
    crate::{
        cold_news::NewsQueue, connections::Connections, log_limiter::LogLimiter,
        membership::Members, peer::Peers, quota::Quotas, relay::Relays, store_cache::StoreCache,
        store_sync::DataSource, zones::ColdCallers, Adapter, Settings,
    },
    anyhow::Result,
    fleet::LifecycleEvent,
    life::SharedLifecycle,
    link::{CrashLedger, Fingerprint, LeftCalls},
    meter::ForwardingMetrics,
    record::ZoneId,
    replica::{LatencyMedians, ReplicaKey, ServerDirectory},
    routing::Table,
    scatter::{
        AnswerTimes, BudgetStart, DelayForecast, ExtraCallBudgets, FairShares, WeightedSplits,
    },
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{StoreEra, StoreRevision},
    tokio::sync::Notify,
};

/// State of a host for the lifetime of its process.
///
/// All tasks run on one thread, so cells suffice and no locks are needed. No
/// borrow is held across an await.
pub(crate) struct Shared<A: Adapter> {
    pub(crate) settings: Settings,
    pub(crate) keys: A::Keys,
    pub(crate) life: Arc<SharedLifecycle>,
    /// Time at which the host began to start.
    pub(crate) started_at: Instant,
    pub(crate) table: RefCell<Option<Arc<Table>>>,
    pub(crate) servers: RefCell<ServerDirectory>,
    pub(crate) latency_medians: RefCell<LatencyMedians>,
    pub(crate) extra_call_budgets: RefCell<ExtraCallBudgets>,
    pub(crate) splits: RefCell<WeightedSplits>,
    pub(crate) delay_forecast: RefCell<DelayForecast>,
    pub(crate) fair_shares: RefCell<FairShares>,
    /// Times of the responses to callers, by route.
    pub(crate) answer_times: RefCell<AnswerTimes>,
    /// Times of the replies to peers for which this host is a relay, by route.
    pub(crate) relay_answer_times: RefCell<AnswerTimes>,
    pub(crate) crash_ledger: RefCell<CrashLedger>,
    /// Calls that were left while their servers may still run them.
    pub(crate) left_calls: RefCell<LeftCalls<ReplicaKey>>,
    /// Revisions of the keys of holds that this host has written.
    pub(crate) written_holds: RefCell<HashMap<Fingerprint, StoreRevision>>,
    /// Requests whose holds are being written, and whether they have changed since.
    pub(crate) unwritten_holds: RefCell<HashMap<Fingerprint, bool>>,
    pub(crate) connections: RefCell<Connections>,
    pub(crate) members: RefCell<Members>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) relays: RefCell<Relays>,
    pub(crate) quotas: Quotas,
    pub(crate) store_cache: RefCell<StoreCache>,
    /// Hosts that may call each cold server.
    pub(crate) cold_callers: RefCell<ColdCallers>,
    /// Servers that have become cold, of which other hosts are to be told.
    pub(crate) cold_news: NewsQueue,
    /// Number of cold servers, as logged last.
    pub(crate) cold_count: Cell<usize>,
    /// Lost zones, as logged last.
    pub(crate) lost_zones: RefCell<BTreeSet<ZoneId>>,
    /// Notified when a server begins to leave or to warm up, is removed, wants no calls
    /// for a while or is in a zone that is evacuated.
    pub(crate) servers_changed: Notify,
    /// Notified when the store cache changes, is first filled or is confirmed.
    pub(crate) store_changed: Notify,
    /// Latest era of the store in which it was this host's turn to write its key again.
    pub(crate) rewrites_host_key_in: Cell<Option<StoreEra>>,
    /// Notified when it is.
    pub(crate) host_key_is_due: Notify,
    /// Notified when a configuration with other limits for callers is in force.
    pub(crate) limits_changed: Notify,
    /// Where the data in the store cache came from last.
    pub(crate) data_source: Cell<DataSource>,
    /// Whether this host has looked for other hosts since its start.
    has_discovered: Cell<bool>,
    discovered: Notify,
    /// Total size of the replies of servers that are being read, in bytes.
    pub(crate) reply_bytes: Cell<usize>,
    pub(crate) metrics: ForwardingMetrics,
    pub(crate) log_limiter: RefCell<LogLimiter>,
    /// Number of hosts that share connections and extra calls.
    pub(crate) hosts: Cell<usize>,
    /// Whether the keys of servers have been listed at least once.
    pub(crate) has_servers: Cell<bool>,
    last_number: Cell<u64>,
}

impl<A: Adapter> Shared<A> {
    /// Creates the state of a starting host.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be set up.
    pub(crate) fn new(settings: Settings, keys: A::Keys) -> Result<Self> {
        Ok(Self {
            metrics: ForwardingMetrics::new()?,
            log_limiter: RefCell::default(),
            keys,
            life: Arc::default(),
            table: RefCell::default(),
            servers: RefCell::new(ServerDirectory::new(
                settings.locality.clone(),
                settings.server_drain,
            )),
            latency_medians: RefCell::default(),
            extra_call_budgets: RefCell::new(ExtraCallBudgets::new(
                settings.allowance,
                1,
                if settings.is_new_fleet {
                    BudgetStart::New
                } else {
                    BudgetStart::At(Instant::now())
                },
            )),
            splits: RefCell::default(),
            delay_forecast: RefCell::default(),
            fair_shares: RefCell::default(),
            answer_times: RefCell::default(),
            relay_answer_times: RefCell::default(),
            crash_ledger: RefCell::default(),
            left_calls: RefCell::default(),
            written_holds: RefCell::default(),
            unwritten_holds: RefCell::default(),
            connections: RefCell::default(),
            members: RefCell::default(),
            peers: RefCell::default(),
            relays: RefCell::default(),
            quotas: Quotas::default(),
            store_cache: RefCell::default(),
            cold_callers: RefCell::default(),
            cold_news: NewsQueue::default(),
            cold_count: Cell::new(0),
            lost_zones: RefCell::default(),
            servers_changed: Notify::new(),
            store_changed: Notify::new(),
            rewrites_host_key_in: Cell::new(None),
            host_key_is_due: Notify::new(),
            limits_changed: Notify::new(),
            data_source: Cell::new(DataSource::Store),
            has_discovered: Cell::new(false),
            discovered: Notify::new(),
            reply_bytes: Cell::new(0),
            started_at: Instant::now(),
            hosts: Cell::new(1),
            has_servers: Cell::new(false),
            last_number: Cell::new(0),
            settings,
        })
    }

    /// Returns the routing table in force, or `None` before the first one.
    ///
    /// A request takes the table once and uses it to its end.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// Returns a number that is unique within the process.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Records where the data that follows comes from and how old it is, and logs
    /// a change of the source.
    pub(crate) fn on_data_source(&self, source: DataSource, age: Duration) {
        if self.data_source.replace(source) != source {
            let age_ms = age.as_millis();
            log::info!(target: "fleet", "Data of the store is now taken from {source}, {age_ms} ms old.");
        }
    }

    /// Records that the whole store cache matched the store at `at`.
    pub(crate) fn on_store_read(&self, at: Instant) {
        // After a return of the store from a copy, a server may have begun to leave before
        // a read that does not show it, because its write was lost.
        if !self.store_cache.borrow().is_deferring(Instant::now()) {
            self.servers.borrow_mut().on_confirmed(at);
        }
        if self.store_cache.borrow_mut().on_read(at) {
            // Peers may be waiting for newer data, or for any at all.
            self.store_changed.notify_waiters();
        }
    }

    /// Records that this host has looked for other hosts.
    pub(crate) fn on_discovered(&self) {
        self.has_discovered.set(true);
        self.discovered.notify_waiters();
    }

    /// Waits until this host has looked for other hosts.
    pub(crate) async fn wait_until_discovered(&self) {
        let notified = self.discovered.notified();
        if !self.has_discovered.get() {
            notified.await;
        }
    }

    /// Returns whether the store cache has been filled, from the store or a peer.
    pub(crate) fn has_store_state(&self) -> bool {
        self.store_cache.borrow().age(Instant::now()).is_some()
    }

    /// Returns whether one more line for a request may be written to the log target
    /// `target`.
    pub(crate) fn may_log(&self, target: &'static str) -> bool {
        self.log_limiter
            .borrow_mut()
            .try_write(target, Instant::now())
    }

    /// Marks the host as configured once it has a routing table and the servers.
    pub(crate) fn update_readiness(&self) {
        if self.table.borrow().is_some() && self.has_servers.get() {
            self.life.on_event(LifecycleEvent::Configured);
        }
    }
}
