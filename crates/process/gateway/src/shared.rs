//! What the parts of a host share for the life of the process.

use {
    crate::{
        catalog::Catalog, connections::Connections, lines::Lines, membership::Members, peer::Peers,
        relay::Relays, Adapter, Settings,
    },
    anyhow::Result,
    fleet::LifeEvent,
    life::LifeWatch,
    meter::ForwardingMetrics,
    replica::{Replicas, Works},
    routing::Table,
    scatter::{Extras, Outlook, Splits},
    std::{
        cell::{Cell, RefCell},
        sync::Arc,
        time::Instant,
    },
    tokio::sync::Notify,
};

/// State of a host that lives as long as its process.
///
/// All tasks run on one thread, so cells take the place of locks; no borrow
/// lasts over an await.
pub(crate) struct Shared<A: Adapter> {
    pub(crate) settings: Settings,
    pub(crate) keys: A::Keys,
    pub(crate) life: Arc<LifeWatch>,
    pub(crate) table: RefCell<Option<Arc<Table>>>,
    pub(crate) replicas: RefCell<Replicas>,
    pub(crate) works: RefCell<Works>,
    pub(crate) extras: RefCell<Extras>,
    pub(crate) splits: RefCell<Splits>,
    pub(crate) outlook: RefCell<Outlook>,
    pub(crate) connections: RefCell<Connections>,
    pub(crate) members: RefCell<Members>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) relays: RefCell<Relays>,
    pub(crate) catalog: RefCell<Catalog>,
    pub(crate) has_news: Notify,
    pub(crate) metrics: ForwardingMetrics,
    pub(crate) lines: RefCell<Lines>,
    pub(crate) hosts: Cell<usize>,
    pub(crate) has_servers: Cell<bool>,
    last_call: Cell<u64>,
}

impl<A: Adapter> Shared<A> {
    /// Creates the state of a host that starts.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be set up.
    pub(crate) fn new(settings: Settings, keys: A::Keys) -> Result<Self> {
        Ok(Self {
            metrics: ForwardingMetrics::new()?,
            lines: RefCell::default(),
            keys,
            life: Arc::default(),
            table: RefCell::default(),
            replicas: RefCell::new(Replicas::new(settings.place.clone())),
            works: RefCell::default(),
            extras: RefCell::new(Extras::new(settings.allowance, 1)),
            splits: RefCell::default(),
            outlook: RefCell::default(),
            connections: RefCell::default(),
            members: RefCell::default(),
            peers: RefCell::default(),
            relays: RefCell::default(),
            catalog: RefCell::default(),
            has_news: Notify::new(),
            hosts: Cell::new(1),
            has_servers: Cell::new(false),
            last_call: Cell::new(0),
            settings,
        })
    }

    /// Returns the configuration in force; a request takes it once and keeps it.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// Returns a number for a call, unique within the process.
    pub(crate) fn next_call(&self) -> u64 {
        self.last_call.set(self.last_call.get() + 1);
        self.last_call.get()
    }

    /// Notes that all that is known was as the store had it at `at`.
    pub(crate) fn on_read(&self, at: Instant) {
        let was_informed = self.is_informed();
        self.catalog.borrow_mut().on_read(at);
        if !was_informed {
            // Peers may be waiting for a host that knows anything at all.
            self.has_news.notify_waiters();
        }
    }

    /// Returns whether this host knows what stands in the store, or did a moment ago.
    pub(crate) fn is_informed(&self) -> bool {
        self.catalog.borrow().age(Instant::now()).is_some()
    }

    /// Returns whether `part` may write one more line about a request.
    pub(crate) fn may_log(&self, part: &'static str) -> bool {
        self.lines.borrow_mut().may_write(part, Instant::now())
    }

    /// Lets the host take work once it knows configuration and servers.
    pub(crate) fn check_ready(&self) {
        if self.table.borrow().is_some() && self.has_servers.get() {
            self.life.on_event(LifeEvent::Configured);
        }
    }
}
