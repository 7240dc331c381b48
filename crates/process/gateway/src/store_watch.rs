//! Reads the store and follows its changes.
//!
//! State read earlier is kept while the store does not answer: a failed read
//! is not an empty listing.

use {
    crate::{apply, shared::Shared, store_sync::DataSource, Adapter, StoreLayout},
    std::time::{Duration, Instant},
    store::{Changes, Fault, Freshness, KeyPrefixStore, StoreRevision},
    tokio::{time::sleep, try_join},
};

/// Time for which one long poll waits for a change of the configuration. It
/// bounds how long a connection that has gone silent hides changes.
const CONFIG_WAIT: Duration = Duration::from_secs(4);
/// Time for which one long poll waits for a change of the hosts.
const HOSTS_WAIT: Duration = Duration::from_secs(10);
/// Pause between polls for changes of servers. Servers write about once a
/// second, so a long poll would return at once each time. The pause is well
/// below the 3 s at least for which a draining server still serves after the
/// store has recorded it.
const SERVER_POLL_PAUSE: Duration = Duration::from_millis(900);

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
    try_join!(
        watch(
            shared,
            apply::HOST_PREFIX,
            hosts,
            HOSTS_WAIT,
            Duration::ZERO
        ),
        watch(
            shared,
            A::Layout::CONFIG_KEY,
            config,
            CONFIG_WAIT,
            Duration::ZERO
        ),
        watch(
            shared,
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

/// Applies changes of keys that begin with `prefix` until a call fails.
async fn watch<A: Adapter>(
    shared: &Shared<A>,
    prefix: &str,
    mut after: StoreRevision,
    wait: Duration,
    pause: Duration,
) -> Result<(), Fault> {
    loop {
        sleep(pause).await;
        let began = Instant::now();
        match shared.keys.wait_for_changes(prefix, after, wait).await? {
            Changes::Since { events, revision } => {
                apply::apply_events(shared, events);
                after = revision;
            }
            Changes::Compacted => {
                log::info!(target: "store", "The store has dropped old changes of {prefix}; all keys are read again.");
                after = load(shared, prefix, Freshness::Current).await?;
            }
        }
        if prefix == A::Layout::SERVER_PREFIX {
            // Servers are polled about every second, so a successful poll
            // stands for the whole store.
            shared.on_store_read(began);
        }
    }
}
