//! Applies changes of the store to the state of this host.

use {
    crate::{membership::HostRecord, shared::Shared, Adapter, StoreLayout},
    replica::{EntryChange, ServerId},
    routing::Table,
    std::{collections::HashSet, sync::Arc, time::Instant},
    store::{Item, KeyEvent},
};

/// Prefix of the keys of hosts.
pub(crate) const HOST_PREFIX: &str = "wharf/hosts/";

/// Applies one event of the store, and wakes waiting peers if it changed anything.
pub(crate) fn apply_event<A: Adapter>(shared: &Shared<A>, event: &KeyEvent) {
    let is_change = match event {
        KeyEvent::Written(item) => apply_write(shared, item),
        KeyEvent::Removed(key) => apply_removal(shared, key),
    };
    if let Some(is_change) = is_change {
        shared.store_cache.borrow_mut().apply(event, is_change);
        if is_change {
            shared.store_changed.notify_waiters();
        }
    }
}

/// Applies a listing of all keys that begin with `prefix`; known keys that are
/// not among them are removed.
pub(crate) fn apply_listing<A: Adapter>(shared: &Shared<A>, prefix: &str, items: Vec<Item>) {
    let listed: HashSet<String> = items.iter().map(|item| item.key.clone()).collect();
    for item in items {
        apply_event(shared, &KeyEvent::Written(item));
    }
    let cached = shared.store_cache.borrow().keys(prefix);
    for key in cached.into_iter().filter(|key| !listed.contains(key)) {
        apply_event(shared, &KeyEvent::Removed(key));
    }
    if prefix == A::Layout::SERVER_PREFIX {
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
    if let Some(id) = item.key.strip_prefix(A::Layout::SERVER_PREFIX) {
        return apply_server(shared, &id.into(), item);
    }
    item.key.strip_prefix(HOST_PREFIX)?;
    match serde_json::from_slice::<HostRecord>(&item.bytes) {
        Ok(host) => {
            let is_change = shared.members.borrow_mut().insert(host);
            if is_change {
                shared.on_hosts_changed();
            }
            Some(is_change)
        }
        Err(error) => {
            log::warn!(target: "fleet", "The entry {} cannot be read: {error}.", item.key);
            None
        }
    }
}

/// Returns whether the removed key was known, or `None` if the key is not used.
fn apply_removal<A: Adapter>(shared: &Shared<A>, key: &str) -> Option<bool> {
    let now = Instant::now();
    if let Some(id) = key.strip_prefix(A::Layout::SERVER_PREFIX) {
        let is_known = shared.servers.borrow_mut().mark_unlisted(id, now);
        if is_known {
            log::info!(target: "upstream", "Server {id} was removed from the store.");
        }
        return Some(is_known);
    }
    let id = key.strip_prefix(HOST_PREFIX)?;
    let is_known = shared.members.borrow_mut().remove(id, now);
    shared.on_hosts_changed();
    Some(is_known)
}

fn apply_server<A: Adapter>(shared: &Shared<A>, id: &ServerId, item: &Item) -> Option<bool> {
    match A::Layout::parse_server(id.clone(), &item.bytes) {
        Ok(entry) => {
            let state = entry.state;
            let change = shared.servers.borrow_mut().upsert(entry, Instant::now());
            if change != EntryChange::Same {
                log::info!(target: "upstream", "Server {id} is {change:?}, {state:?}.");
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

fn apply_config<A: Adapter>(shared: &Shared<A>, item: &Item) -> Option<bool> {
    match A::Layout::parse_table(&item.bytes).and_then(Table::try_from) {
        Ok(table) => Some(activate_table(shared, table)),
        Err(error) => {
            log::error!(target: "config", "Configuration not adopted: {error}.");
            None
        }
    }
}

/// Puts `table` in force if it is newer than the current one; returns whether it was.
fn activate_table<A: Adapter>(shared: &Shared<A>, table: Table) -> bool {
    let current = shared.table().map_or(0, |current| current.version());
    let version = table.version();
    if shared.table().is_some() && version <= current {
        // A process never goes back to an older version.
        if version < current {
            log::warn!(target: "config", "Version {version} is older than {current} and not adopted.");
        }
        return false;
    }
    let routes = table.routes().count();
    shared.table.replace(Some(Arc::new(table)));
    log::info!(target: "config", "Version {version} in force after {current}, {routes} routes.");
    shared.update_readiness();
    true
}
