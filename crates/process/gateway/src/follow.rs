//! The store, read by this host itself.
//!
//! What is known is kept while the store does not answer: a read that failed
//! is not an empty list.

use {
    crate::{apply, shared::Shared, Adapter, Layout},
    std::time::{Duration, Instant},
    store::{Changes, Fault, Keys, StoreRevision},
    tokio::{time::sleep, try_join},
};

/// Time for which one call waits for a change of the configuration. It bounds
/// how long a call that went silent hides changes.
const CONFIG_WAIT: Duration = Duration::from_secs(4);
/// Time for which one call waits for a change of the hosts.
const HOSTS_WAIT: Duration = Duration::from_secs(10);
/// Pause between questions for changes of servers. Servers write about every
/// second, so that a call that waits is answered at once; a server that
/// drains serves for 3 s at least after the store knows.
const SERVER_PAUSE: Duration = Duration::from_millis(900);

/// Reads the store until a call fails.
///
/// # Errors
///
/// Returns the fault of the call.
pub(crate) async fn read<A: Adapter>(
    shared: &Shared<A>,
    on_answer: &mut impl FnMut(),
) -> Result<(), Fault> {
    let began = Instant::now();
    let (hosts, config, servers) = try_join!(
        list(shared, apply::HOST_PREFIX),
        list(shared, A::Layout::CONFIG_KEY),
        list(shared, A::Layout::SERVER_PREFIX),
    )?;
    // Peers are told once everything is there.
    shared.on_read(began);
    on_answer();
    try_join!(
        keep(
            shared,
            apply::HOST_PREFIX,
            hosts,
            HOSTS_WAIT,
            Duration::ZERO
        ),
        keep(
            shared,
            A::Layout::CONFIG_KEY,
            config,
            CONFIG_WAIT,
            Duration::ZERO
        ),
        keep(
            shared,
            A::Layout::SERVER_PREFIX,
            servers,
            Duration::ZERO,
            SERVER_PAUSE
        ),
    )
    .map(|_| ())
}

/// Reads all keys that begin with `prefix`, and returns the revision to go on from.
///
/// # Errors
///
/// Returns the fault of the call.
pub(crate) async fn list<A: Adapter>(
    shared: &Shared<A>,
    prefix: &str,
) -> Result<StoreRevision, Fault> {
    let listing = shared.keys.list(prefix).await?;
    apply::listing(shared, prefix, listing.items);
    Ok(listing.revision)
}

/// Takes changes of keys that begin with `prefix`.
async fn keep<A: Adapter>(
    shared: &Shared<A>,
    prefix: &str,
    mut after: StoreRevision,
    wait: Duration,
    pause: Duration,
) -> Result<(), Fault> {
    loop {
        sleep(pause).await;
        let began = Instant::now();
        match shared.keys.changes(prefix, after, wait).await? {
            Changes::Since { events, revision } => {
                for event in &events {
                    apply::event(shared, event);
                }
                after = revision;
            }
            Changes::HistoryGone => {
                log::info!(target: "store", "The history of {prefix} is gone; read again.");
                after = list(shared, prefix).await?;
            }
        }
        if prefix == A::Layout::SERVER_PREFIX {
            // Asked every second, so that it tells for all of the store.
            shared.on_read(began);
        }
    }
}
