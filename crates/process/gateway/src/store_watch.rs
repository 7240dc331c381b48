//! Reads the store and follows its changes.
//!
//! State read earlier is kept while the store does not answer: a failed read
//! is not an empty listing.

use {
    crate::{
        apply, shared::Shared, store_cache::KeyRange, store_restore, store_sync::DataSource,
        Adapter,
    },
    std::{
        cell::Cell,
        time::{Duration, Instant},
    },
    store::{Changes, Fault, Freshness, KeyPrefixStore, StoreEra, StorePosition, Trust},
    tokio::{time::sleep, try_join},
};

/// Time for which one long poll waits for a change of the hosts.
const HOSTS_WAIT: Duration = Duration::from_secs(10);

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

    /// Records that the keys of `range` matched the store at `at`.
    fn confirm<A: Adapter>(&self, shared: &Shared<A>, range: KeyRange, at: Instant) {
        match range {
            KeyRange::Fleet => return,
            KeyRange::Config => self.config.set(at),
            KeyRange::Servers => self.servers.set(at),
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
    let era = shared.store_cache.borrow().era();
    let is_settled = shared.store_cache.borrow().have_writers_had_time(began);
    let trust = if is_settled {
        Trust::Settled
    } else {
        Trust::Unconfirmed
    };
    let load_all = |range| load_in_era(shared, range, Freshness::Current, trust, era);
    // The shortest listing comes first, so that a store that fails gets one call.
    let config = load_all(KeyRange::Config).await?;
    let (hosts, servers) = try_join!(load_all(KeyRange::Fleet), load_all(KeyRange::Servers))?;
    if is_settled && shared.store_cache.borrow().era() == era {
        store_restore::settle(shared);
    }
    // Peers get an answer only once all keys are loaded.
    shared.on_store_read(began);
    on_loaded();
    let confirmations = Confirmations::new(began);
    // Servers write about once a second, so a long poll for their changes would return
    // at once each time. Each reply for the configuration confirms it, which bounds the
    // age that hosts which ask this one see.
    let poll_pause = shared.settings.change_budget.poll_pause();
    let watch = |range, after, wait, pause| {
        let poll = Poll { wait, pause };
        watch(shared, &confirmations, range, after, poll)
    };
    try_join!(
        watch(KeyRange::Fleet, hosts, HOSTS_WAIT, Duration::ZERO),
        watch(KeyRange::Config, config, poll_pause, Duration::ZERO),
        watch(KeyRange::Servers, servers, Duration::ZERO, poll_pause),
    )
    .map(|_| ())
}

/// Loads all keys of `range`, and returns the position from which to follow
/// changes.
///
/// # Errors
///
/// Returns the fault of the call.
pub(crate) async fn load<A: Adapter>(
    shared: &Shared<A>,
    range: KeyRange,
    freshness: Freshness,
) -> Result<StorePosition, Fault> {
    load_in_era(shared, range, freshness, Trust::Unconfirmed, 0).await
}

/// Like [`load`]; the listing is trusted as far as `trust` says if it is of the era `era`.
async fn load_in_era<A: Adapter>(
    shared: &Shared<A>,
    range: KeyRange,
    freshness: Freshness,
    trust: Trust,
    era: StoreEra,
) -> Result<StorePosition, Fault> {
    let prefix = range.prefix::<A::Layout>();
    let listing = shared.keys.list(prefix, freshness).await?;
    let position = listing.position;
    let trust = if position.era == era {
        trust
    } else {
        Trust::Unconfirmed
    };
    shared.on_data_source(DataSource::Store, Duration::ZERO);
    apply::apply_listing(shared, range, listing, trust);
    Ok(position)
}

/// How a prefix is polled for changes.
#[derive(Clone, Copy)]
struct Poll {
    /// Time for which the store waits for a change before it replies.
    wait: Duration,
    /// Pause before each call.
    pause: Duration,
}

/// Applies changes of the keys of `range` until a call fails.
async fn watch<A: Adapter>(
    shared: &Shared<A>,
    confirmations: &Confirmations,
    range: KeyRange,
    mut after: StorePosition,
    poll: Poll,
) -> Result<(), Fault> {
    let prefix = range.prefix::<A::Layout>();
    loop {
        sleep(poll.pause).await;
        let began = Instant::now();
        let changes = shared
            .keys
            .wait_for_changes(prefix, after, poll.wait)
            .await?;
        let mut confirmed_at = began;
        match changes {
            Changes::Since { events, position } => {
                // The store had no change when it replied, which was not before
                // the end of the wait.
                if events.is_empty() && began.elapsed() >= poll.wait {
                    confirmed_at = began + poll.wait;
                }
                apply::apply_events(shared, events);
                let mut store_cache = shared.store_cache.borrow_mut();
                store_cache.set_complete_through(range, position);
                after = position;
            }
            Changes::Compacted => {
                log::info!(target: "store", "The store does not have the changes of {prefix} any more; all keys are read again.");
                confirmed_at = Instant::now();
                after = load(shared, range, Freshness::Current).await?;
            }
        }
        confirmations.confirm(shared, range, confirmed_at);
    }
}
