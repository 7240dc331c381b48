//! Applies changes of the store to the state of this host.

use {
    crate::{
        hold_store::{held_request, HoldRecord, HOLD_PREFIX},
        membership::HostRecord,
        peer::ChangesReply,
        quota_issuer::{self, KnownRecord, SLOT_PREFIX},
        shared::Shared,
        store_cache::{KeyRange, KEY_RANGES},
        store_restore, Adapter, StoreLayout,
    },
    replica::{EntryChange, ServerId},
    routing::Table,
    std::{
        collections::HashSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{Item, KeyEvent, Listing, StorePosition, Trust},
};

/// Prefix of all keys that hosts write.
pub(crate) const FLEET_PREFIX: &str = "wharf/";
/// Prefix of the keys of hosts.
pub(crate) const HOST_PREFIX: &str = "wharf/hosts/";

/// Applies events of the store that are newer than the cache, and wakes waiting
/// peers if they changed anything.
pub(crate) fn apply_events<A: Adapter>(
    shared: &Shared<A>,
    events: impl IntoIterator<Item = KeyEvent>,
) {
    let mut has_changed = false;
    let mut have_hosts_changed = false;
    let mut have_servers_changed = false;
    for event in events {
        if !shared.store_cache.borrow().is_news(&event) {
            continue;
        }
        let (key, is_change) = match &event {
            KeyEvent::Written(item) => (&item.key, apply_write(shared, item)),
            KeyEvent::Removed { key, position } => (key, apply_removal(shared, key, *position)),
        };
        if let Some(is_change) = is_change {
            has_changed |= is_change;
            have_hosts_changed |= is_change && key.starts_with(HOST_PREFIX);
            have_servers_changed |= is_change && key.starts_with(A::Layout::SERVER_PREFIX);
            shared.store_cache.borrow_mut().apply(&event, is_change);
        }
    }
    if have_hosts_changed {
        shared.on_hosts_changed();
    }
    if have_servers_changed {
        shared.update_warm_up_shares();
    }
    if has_changed {
        shared.store_changed.notify_waiters();
    }
}

/// Applies a listing of all keys of `range`; known keys that are not among them are
/// removed, unless they were written later. `trust` tells how far the listing can be
/// trusted in its era; a listing of an older era than the latest is ignored.
pub(crate) fn apply_listing<A: Adapter>(
    shared: &Shared<A>,
    range: KeyRange,
    listing: Listing,
    trust: Trust,
) {
    store_restore::note_era(shared);
    let position = listing.position;
    if position.era < shared.store_cache.borrow().era() {
        return;
    }
    shared.store_cache.borrow_mut().on_listing(range, position);
    let is_final = store_restore::is_final(shared, trust);
    let mut events: Vec<KeyEvent> = listing.items.into_iter().map(KeyEvent::Written).collect();
    // A key that was seen in this era and is gone was removed in this era.
    let removals = unlisted(shared, range, &events, position, !is_final);
    if !is_final {
        store_restore::defer_reversals(shared, range, &mut events);
    }
    events.extend(removals);
    apply_events(shared, events);
    on_range_applied(shared, range, position);
}

/// Applies what another host has sent: all keys, or the changes since its last reply.
///
/// That host may be behind the one that was asked before, so only what is newer
/// than the cache is taken. A reply of an older era than the latest is ignored. Returns
/// whether all keys of that host are needed next.
pub(crate) fn apply_reply<A: Adapter>(shared: &Shared<A>, reply: ChangesReply) -> bool {
    store_restore::note_era(shared);
    if reply.era < shared.store_cache.borrow().era() {
        return false;
    }
    shared.store_cache.borrow_mut().on_reply(&reply);
    let (trust, is_full) = (reply.trust(), reply.is_full);
    let settles = store_restore::settles(shared, &reply);
    let is_final = settles || store_restore::is_final(shared, Trust::Unconfirmed);
    let takes_absences = is_full && (settles || store_restore::is_final(shared, trust));
    let complete_through = reply.complete_through.map(StorePosition::from);
    let mut events_by_range: [Vec<KeyEvent>; KEY_RANGES] = Default::default();
    for item in reply.items {
        if let Some(range) = KeyRange::of::<A::Layout>(&item.key) {
            events_by_range[range as usize].push(item.into());
        }
    }
    for (range, mut events) in KeyRange::ALL.into_iter().zip(events_by_range) {
        let position = complete_through[range as usize];
        if takes_absences {
            events.extend(unlisted(shared, range, &events, position, false));
        }
        events.retain(|event| {
            let store_cache = shared.store_cache.borrow();
            // What was deferred is news although the cache is complete up to its position.
            store_cache.is_peer_news(event, range) || settles && store_cache.is_news(event)
        });
        if !is_final {
            store_restore::defer_reversals(shared, range, &mut events);
        }
        apply_events(shared, events);
        on_range_applied(shared, range, position);
    }
    if settles {
        store_restore::settle(shared);
    } else if is_full {
        shared.store_cache.borrow_mut().on_source(trust);
    }
    store_restore::needs_all_keys(shared, trust, is_full, &complete_through)
}

/// Returns the removals of cached keys that are missing from `events`, the writes
/// of all keys of `range` at `position`; only of keys known from its era if `in_era`.
fn unlisted<A: Adapter>(
    shared: &Shared<A>,
    range: KeyRange,
    events: &[KeyEvent],
    position: StorePosition,
    in_era: bool,
) -> Vec<KeyEvent> {
    let listed: HashSet<&str> = events.iter().map(KeyEvent::key).collect();
    let prefix = range.prefix::<A::Layout>();
    let store_cache = shared.store_cache.borrow();
    let cached = store_cache.keys(prefix, position, in_era);
    let missing = cached
        .into_iter()
        .filter(|key| !listed.contains(key.as_str()));
    missing
        .map(|key| KeyEvent::Removed { key, position })
        .collect()
}

fn on_range_applied<A: Adapter>(shared: &Shared<A>, range: KeyRange, position: StorePosition) {
    shared
        .store_cache
        .borrow_mut()
        .set_complete_through(range, position);
    if range == KeyRange::Servers {
        shared.has_servers.set(true);
    }
    shared.update_readiness();
}

/// Returns whether the write is a change, or `None` if the key is not used or
/// its value cannot be read.
fn apply_write<A: Adapter>(shared: &Shared<A>, item: &Item) -> Option<bool> {
    if item.key == A::Layout::CONFIG_KEY {
        return apply_config(shared, item);
    }
    if let Some(zone) = evacuated_zone::<A>(&item.key) {
        return Some(shared.evacuate(zone));
    }
    if let Some(id) = item.key.strip_prefix(A::Layout::SERVER_PREFIX) {
        return apply_server(shared, &id.into(), item);
    }
    if let Some(request) = item.key.strip_prefix(HOLD_PREFIX) {
        return apply_hold(shared, request, item);
    }
    if item.key.starts_with(SLOT_PREFIX) {
        return apply_slot(shared, item);
    }
    item.key.strip_prefix(HOST_PREFIX)?;
    match serde_json::from_slice::<HostRecord>(&item.bytes) {
        Ok(host) => Some(insert_host(shared, host)),
        Err(error) => {
            log::warn!(target: "fleet", "The entry {} cannot be read: {error}.", item.key);
            None
        }
    }
}

fn insert_host<A: Adapter>(shared: &Shared<A>, host: HostRecord) -> bool {
    let lag = shared.settings.membership_lag;
    let mut members = shared.members.borrow_mut();
    members.insert(host, lag, Instant::now())
}

/// Returns whether the removed key was known, or `None` if the key is not used.
fn apply_removal<A: Adapter>(
    shared: &Shared<A>,
    key: &str,
    position: StorePosition,
) -> Option<bool> {
    let now = Instant::now();
    if let Some(zone) = evacuated_zone::<A>(key) {
        return Some(shared.end_evacuation(zone));
    }
    if let Some(id) = key.strip_prefix(A::Layout::SERVER_PREFIX) {
        let is_known = shared.servers.borrow_mut().mark_unlisted(id, now);
        if is_known {
            shared.servers_changed.notify_waiters();
            let age_ms = state_age_ms(shared, now);
            log::info!(target: "upstream", "Server {id} was removed from the store in the last {age_ms} ms.");
        }
        return Some(is_known);
    }
    if let Some(request) = key.strip_prefix(HOLD_PREFIX) {
        let request = held_request(request)?;
        // A hold ends with a record of it or with its time, not with its key, which may
        // be missing from a copy of the store.
        shared.written_holds.borrow_mut().remove(&request);
        return Some(true);
    }
    if let Some(slot) = quota_issuer::slot_of_key(key) {
        quota_issuer::on_removed(shared, slot, position);
        return Some(true);
    }
    let id = key.strip_prefix(HOST_PREFIX)?;
    Some(shared.members.borrow_mut().remove(id, now))
}

/// Returns the zone that a key evacuates, if it is such a key.
fn evacuated_zone<A: Adapter>(key: &str) -> Option<&str> {
    let zone = key.strip_prefix(A::Layout::EVACUATION_PREFIX)?;
    (!zone.is_empty()).then_some(zone)
}

fn apply_server<A: Adapter>(shared: &Shared<A>, id: &ServerId, item: &Item) -> Option<bool> {
    match A::Layout::parse_server(id.clone(), &item.bytes) {
        Ok(entry) => {
            let state = entry.state;
            let now = Instant::now();
            let change = shared.servers.borrow_mut().upsert(entry, now);
            if change != EntryChange::Same {
                shared.servers_changed.notify_waiters();
                let age_ms = state_age_ms(shared, now);
                log::info!(target: "upstream", "Server {id} is {change:?}, {state:?}, written in the last {age_ms} ms.");
            }
            Some(change != EntryChange::Same)
        }
        Err(error) => {
            // Other writers also leave entries under this prefix, which do not
            // name a usable server.
            log::debug!(target: "upstream", "Entry {id} is ignored: {error}.");
            None
        }
    }
}

/// Returns the time since this host's copy was last known to match the store, in
/// milliseconds; a change that it learns of now was written within that time.
fn state_age_ms<A: Adapter>(shared: &Shared<A>, now: Instant) -> u128 {
    let age = shared.store_cache.borrow().age(now);
    age.unwrap_or(Duration::MAX).as_millis()
}

fn apply_hold<A: Adapter>(shared: &Shared<A>, request: &str, item: &Item) -> Option<bool> {
    let record = serde_json::from_slice::<HoldRecord>(&item.bytes);
    let (Some(request), Ok(record)) = (held_request(request), record) else {
        log::warn!(target: "crash", "The entry {} cannot be read.", item.key);
        return None;
    };
    let mut crash_ledger = shared.crash_ledger.borrow_mut();
    crash_ledger.on_record(request, record.into(), Instant::now());
    Some(true)
}

fn apply_slot<A: Adapter>(shared: &Shared<A>, item: &Item) -> Option<bool> {
    let slot = quota_issuer::slot_of_key(&item.key)?;
    match quota_issuer::parse_record(&item.bytes) {
        Ok(record) => {
            let position = StorePosition {
                era: item.era,
                revision: item.revision,
            };
            quota_issuer::on_record(shared, slot, KnownRecord { record, position });
            Some(true)
        }
        Err(error) => {
            log::warn!(target: "quota", "The entry {} cannot be read: {error}.", item.key);
            None
        }
    }
}

fn apply_config<A: Adapter>(shared: &Shared<A>, item: &Item) -> Option<bool> {
    match A::Layout::parse_table(&item.bytes).and_then(Table::try_from) {
        // A store that has returned from a copy may hold an older version, which must not
        // replace the one that this host passes on.
        Ok(table) if is_older(shared, &table) => None,
        Ok(table) => Some(activate_table(shared, table)),
        Err(error) => {
            log::error!(target: "config", "Configuration not adopted: {error}.");
            None
        }
    }
}

/// Returns whether `table` is older than the one in force, and logs that it is.
fn is_older<A: Adapter>(shared: &Shared<A>, table: &Table) -> bool {
    let current = shared.table().map_or(0, |current| current.version());
    let version = table.version();
    let is_older = version < current;
    if is_older {
        // A process never goes back to an older version.
        log::warn!(target: "config", "Version {version} is older than {current} and not adopted.");
    }
    is_older
}

/// Puts `table` in force if it is newer than the current one; returns whether it was.
fn activate_table<A: Adapter>(shared: &Shared<A>, table: Table) -> bool {
    let current = shared.table().map_or(0, |current| current.version());
    let version = table.version();
    if shared.table().is_some() && version <= current {
        return false;
    }
    let routes = table.routes().count();
    let warm_up_limits = table.warm_up_limits().clone();
    shared.table.replace(Some(Arc::new(table)));
    shared
        .servers
        .borrow_mut()
        .set_warm_up_limits(warm_up_limits);
    shared.cold_callers.borrow_mut().clear();
    shared.update_warm_up_shares();
    shared.limits_changed.notify_waiters();
    let source = shared.data_source.get();
    log::info!(target: "config", "Version {version} in force after {current}, {routes} routes, from {source}.");
    shared.update_readiness();
    true
}
