//! What a host does when the store has returned from a copy.
//!
//! `store::Settling` decides what may be believed. This module finds out whether a key
//! that was read would take this host back, and lets each part of the host write its
//! own keys again.

use {
    crate::{
        crashes, membership,
        peer::ChangesReply,
        quota_issuer,
        shared::Shared,
        store_cache::{KeyRange, KEY_RANGES},
        Adapter, StoreLayout,
    },
    std::{
        future::pending,
        rc::Rc,
        time::{Duration, Instant},
    },
    store::{rewrite_delay, EraChange, KeyEvent, KeyPrefixStore, StoreEra, StorePosition, Trust},
    tokio::time::sleep,
};

/// Lets each part of this host write its own keys again, in keys and leases of the
/// era `era`. Called once for each rise of the era.
///
/// The call must not write by itself, since all hosts get it at about the same time: a
/// part starts a task that first waits for [`own_rewrite_delay`]. Leases that were
/// granted before are void, and their identifiers may belong to others now.
fn on_store_restored<A: Adapter>(shared: &Rc<Shared<A>>, era: StoreEra) {
    membership::on_store_restored(shared, era);
    crashes::on_store_restored(shared);
    quota_issuer::on_store_restored(shared);
}

/// Returns the time after which a part of this host writes its keys again, which spreads
/// the writes of all hosts.
pub(crate) fn own_rewrite_delay<A: Adapter>(shared: &Shared<A>) -> Duration {
    rewrite_delay(shared.hosts.get(), &mut rand::rng())
}

/// Follows the era of the store for as long as the process lives.
pub(crate) async fn run<A: Adapter>(shared: Rc<Shared<A>>) {
    let eras = shared.keys.eras().clone();
    let mut era = eras.wait_until_known().await;
    loop {
        note_era(&shared);
        era = eras.wait_above(era).await;
        note_era(&shared);
        on_store_restored(&shared, era);
    }
}

/// Takes the latest known era into the store cache, before anything of that era is
/// applied.
pub(crate) fn note_era<A: Adapter>(shared: &Shared<A>) {
    let Some(era) = shared.keys.eras().current() else {
        return;
    };
    let hosts = shared.hosts.get();
    let change = shared
        .store_cache
        .borrow_mut()
        .on_era(era, hosts, Instant::now());
    if change == EraChange::Risen {
        shared.metrics.on_store_restored();
        log::warn!(target: "store", "The store has returned from a copy, era {era} begins; what is known is kept until its writers have had time.");
        // Hosts that ask this one learn of the era at once.
        shared.store_changed.notify_waiters();
    }
}

/// Returns whether what the store or a host sends of `range` in the current era is to be
/// taken as it is, keys that are missing included.
pub(crate) fn is_final<A: Adapter>(shared: &Shared<A>, source: Trust) -> bool {
    let own = shared.store_cache.borrow().trust(Instant::now());
    match source {
        Trust::Settled => true,
        Trust::Unconfirmed => own != Trust::Deferring,
        Trust::Deferring => false,
    }
}

/// Removes from `events` those that may be older than what this host knows, and logs
/// their number. They are taken later, when writers have had time, if the store still
/// says so.
pub(crate) fn defer_reversals<A: Adapter>(
    shared: &Shared<A>,
    range: KeyRange,
    events: &mut Vec<KeyEvent>,
) {
    let before = events.len();
    events.retain(|event| !may_revert(shared, range, event));
    let deferred = before - events.len();
    if deferred > 0 {
        shared.metrics.on_changes_deferred(deferred);
        let prefix = range.prefix::<A::Layout>();
        log::info!(target: "store", "{deferred} changes of {prefix} are not taken yet, because they may be older than what is known.");
    }
}

/// Returns whether an event may take this host back behind what it knows.
fn may_revert<A: Adapter>(shared: &Shared<A>, range: KeyRange, event: &KeyEvent) -> bool {
    let store_cache = shared.store_cache.borrow();
    let position = event.position();
    if store_cache.is_of_this_era(range, position) || !store_cache.has_data_of(range) {
        return false;
    }
    if position.era < store_cache.era() {
        // A host has kept it from before the return, so the copy cannot have brought it.
        return false;
    }
    let KeyEvent::Written(item) = event else {
        return true;
    };
    match range {
        // Versions tell which configuration is newer.
        KeyRange::Config if item.key == A::Layout::CONFIG_KEY => false,
        KeyRange::Servers => {
            let id = item.key.strip_prefix(A::Layout::SERVER_PREFIX);
            let entry = id.map(|id| A::Layout::parse_server(id.into(), &item.bytes));
            let Some(Ok(entry)) = entry else {
                return false;
            };
            shared.servers.borrow().may_be_outdated(&entry)
        }
        KeyRange::Config | KeyRange::Fleet => store_cache.value(&item.key) != Some(&item.bytes),
    }
}

/// Returns whether the reply of a host, which the cache has taken, calls for all keys of
/// that host: it knows what this host still defers.
pub(crate) fn needs_all_keys<A: Adapter>(
    shared: &Shared<A>,
    trust: Trust,
    is_full: bool,
    complete_through: &[StorePosition; KEY_RANGES],
) -> bool {
    let store_cache = shared.store_cache.borrow();
    store_cache.is_deferring(Instant::now())
        && trust == Trust::Settled
        && !is_full
        && store_cache.is_complete_no_further_than(complete_through)
}

/// Returns whether a reply holds all that the store said after writers had time, so that
/// nothing has to be deferred any longer.
pub(crate) fn settles<A: Adapter>(shared: &Shared<A>, reply: &ChangesReply) -> bool {
    let complete_through = reply.complete_through.map(Into::into);
    let store_cache = shared.store_cache.borrow();
    reply.is_full
        && reply.trust() == Trust::Settled
        && store_cache.is_complete_no_further_than(&complete_through)
}

/// Records that nothing is deferred any longer.
pub(crate) fn settle<A: Adapter>(shared: &Shared<A>) {
    let mut store_cache = shared.store_cache.borrow_mut();
    if store_cache.is_deferring(Instant::now()) {
        let era = store_cache.era();
        log::info!(target: "store", "Writers have had time in era {era}; what the store says is taken.");
    }
    store_cache.settle();
}

/// Waits until writers have had time and the store has to be read once more, for ever if
/// that is not to come or a read that begins now will do.
pub(crate) async fn wait_until_due<A: Adapter>(shared: &Shared<A>) {
    let now = Instant::now();
    let due_at = shared.store_cache.borrow().read_again_at();
    match due_at.filter(|at| *at > now) {
        Some(at) => sleep(at - now).await,
        None => pending().await,
    }
}
