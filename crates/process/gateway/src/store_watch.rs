//! Reads the store and follows its changes.
//!
//! State read earlier is kept while the store does not answer: a failed read
//! is not an empty listing.

use {
    crate::{apply, shared::Shared, store_sync::DataSource, Adapter, StoreLayout},
    std::{
        cell::Cell,
        time::{Duration, Instant},
    },
    store::{Changes, Fault, Freshness, KeyPrefixStore, StoreRevision},
    tokio::{time::sleep, try_join},
};

/// Time for which one long poll waits for a change of the configuration. Each
/// reply confirms the configuration, so this bounds the age that hosts which ask
/// this one see.
const CONFIG_WAIT: Duration = Duration::from_millis(900);
/// Time for which one long poll waits for a change of the hosts.
const HOSTS_WAIT: Duration = Duration::from_secs(10);
/// Pause between polls for changes of servers. Servers write about once a
/// second, so a long poll would return at once each time. The pause is well
/// below the 3 s at least for which a draining server still serves after the
/// store has recorded it.
const SERVER_POLL_PAUSE: Duration = Duration::from_millis(900);

/// Times at which the keys that requests depend on last matched the store.
///
/// The data as a whole is as old as the part that was confirmed longest ago: a
/// watch that the store never answers must not be taken for one without changes.
struct Confirmations {
    config: Cell<Instant>,
    servers: Cell<Instant>,
}

impl Confirmations {
    fn new(at: Instant) -> Self {
        Self {
            config: Cell::new(at),
            servers: Cell::new(at),
        }
    }

    /// Records that the keys that begin with `prefix` matched the store at `at`.
    fn confirm<A: Adapter>(&self, shared: &Shared<A>, prefix: &str, at: Instant) {
        if prefix == A::Layout::CONFIG_KEY {
            self.config.set(at);
        } else if prefix == A::Layout::SERVER_PREFIX {
            self.servers.set(at);
        } else {
            return;
        }
        shared.on_store_read(self.config.get().min(self.servers.get()));
    }
}

/// Loads all keys and follows their changes until a call to the store fails.
///
/// Calls `on_loaded` once all keys are loaded.
///
/// # Errors
///
/// Returns the fault of the failed call.
pub(crate) async fn load_and_watch<A: Adapter>(
    shared: &Shared<A>,
    on_loaded: &mut impl FnMut(),
) -> Result<(), Fault> {
    let began = Instant::now();
    // The shortest listing comes first, so that a store that fails gets one call.
    let config = load(shared, A::Layout::CONFIG_KEY, Freshness::Current).await?;
    let (hosts, servers) = try_join!(
        load(shared, apply::HOST_PREFIX, Freshness::Current),
        load(shared, A::Layout::SERVER_PREFIX, Freshness::Current),
    )?;
    // Peers get an answer only once all keys are loaded.
    shared.on_store_read(began);
    on_loaded();
    let confirmations = Confirmations::new(began);
    let watch = |prefix, after, wait, pause| {
        let poll = Poll { wait, pause };
        watch(shared, &confirmations, prefix, after, poll)
    };
    try_join!(
        watch(apply::HOST_PREFIX, hosts, HOSTS_WAIT, Duration::ZERO),
        watch(A::Layout::CONFIG_KEY, config, CONFIG_WAIT, Duration::ZERO),
        watch(
            A::Layout::SERVER_PREFIX,
            servers,
            Duration::ZERO,
            SERVER_POLL_PAUSE
        ),
    )
    .map(|_| ())
}

/// Loads all keys that begin with `prefix`, and returns the revision from which
/// to follow changes.
///
/// # Errors
///
/// Returns the fault of the call.
pub(crate) async fn load<A: Adapter>(
    shared: &Shared<A>,
    prefix: &str,
    freshness: Freshness,
) -> Result<StoreRevision, Fault> {
    let listing = shared.keys.list(prefix, freshness).await?;
    shared.on_data_source(DataSource::Store, Duration::ZERO);
    apply::apply_listing(shared, prefix, listing.items);
    Ok(listing.revision)
}

/// How a prefix is polled for changes.
#[derive(Clone, Copy)]
struct Poll {
    /// Time for which the store waits for a change before it replies.
    wait: Duration,
    /// Pause before each call.
    pause: Duration,
}

/// Applies changes of keys that begin with `prefix` until a call fails.
async fn watch<A: Adapter>(
    shared: &Shared<A>,
    confirmations: &Confirmations,
    prefix: &str,
    mut after: StoreRevision,
    poll: Poll,
) -> Result<(), Fault> {
    loop {
        sleep(poll.pause).await;
        let began = Instant::now();
        let changes = shared
            .keys
            .wait_for_changes(prefix, after, poll.wait)
            .await?;
        let mut confirmed_at = began;
        match changes {
            Changes::Since { events, revision } => {
                // The store had no change when it replied, which was not before
                // the end of the wait.
                if events.is_empty() && began.elapsed() >= poll.wait {
                    confirmed_at = began + poll.wait;
                }
                apply::apply_events(shared, events);
                after = revision;
            }
            Changes::Compacted => {
                log::info!(target: "store", "The store has dropped old changes of {prefix}; all keys are read again.");
                confirmed_at = Instant::now();
                after = load(shared, prefix, Freshness::Current).await?;
            }
        }
        confirmations.confirm(shared, prefix, confirmed_at);
    }
}
