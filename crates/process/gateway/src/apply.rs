//! What a change in the store means for this host.

use {
    crate::{membership::ListedHost, shared::Shared, Adapter, Layout},
    replica::{Arrival, ServerId},
    routing::Table,
    std::{collections::HashSet, sync::Arc, time::Instant},
    store::{Item, KeyEvent},
};

/// Prefix of the keys of hosts.
pub(crate) const HOST_PREFIX: &str = "wharf/hosts/";

/// Takes one change.
pub(crate) fn event<A: Adapter>(shared: &Shared<A>, event: &KeyEvent) {
    let is_news = match event {
        KeyEvent::Written(item) => written(shared, item),
        KeyEvent::Removed(key) => removed(shared, key),
    };
    if let Some(is_news) = is_news {
        shared.catalog.borrow_mut().take(event, is_news);
        if is_news {
            shared.has_news.notify_waiters();
        }
    }
}

/// Takes all keys that begin with `prefix`: what is not among them is gone.
pub(crate) fn listing<A: Adapter>(shared: &Shared<A>, prefix: &str, items: Vec<Item>) {
    let listed: HashSet<String> = items.iter().map(|item| item.key.clone()).collect();
    for item in items {
        event(shared, &KeyEvent::Written(item));
    }
    let known = shared.catalog.borrow().keys(prefix);
    for key in known.into_iter().filter(|key| !listed.contains(key)) {
        event(shared, &KeyEvent::Removed(key));
    }
    if prefix == A::Layout::SERVER_PREFIX {
        shared.has_servers.set(true);
    }
    shared.check_ready();
}

/// Returns whether the change is news, or `None` if the key means nothing here.
fn written<A: Adapter>(shared: &Shared<A>, item: &Item) -> Option<bool> {
    if item.key == A::Layout::CONFIG_KEY {
        return adopt(shared, item);
    }
    if let Some(id) = item.key.strip_prefix(A::Layout::SERVER_PREFIX) {
        return learn(shared, &id.into(), item);
    }
    item.key.strip_prefix(HOST_PREFIX)?;
    match serde_json::from_slice::<ListedHost>(&item.bytes) {
        Ok(host) => {
            let is_news = shared.members.borrow_mut().list(host);
            if is_news {
                shared.on_members();
            }
            Some(is_news)
        }
        Err(error) => {
            log::warn!(target: "fleet", "The entry {} cannot be read: {error}.", item.key);
            None
        }
    }
}

fn removed<A: Adapter>(shared: &Shared<A>, key: &str) -> Option<bool> {
    let now = Instant::now();
    if let Some(id) = key.strip_prefix(A::Layout::SERVER_PREFIX) {
        let is_known = shared.replicas.borrow_mut().unlist(id, now);
        if is_known {
            log::info!(target: "upstream", "Server {id} is listed no more.");
        }
        return Some(is_known);
    }
    let id = key.strip_prefix(HOST_PREFIX)?;
    let is_known = shared.members.borrow_mut().unlist(id, now);
    shared.on_members();
    Some(is_known)
}

fn learn<A: Adapter>(shared: &Shared<A>, id: &ServerId, item: &Item) -> Option<bool> {
    match A::Layout::read_server(id.clone(), &item.bytes) {
        Ok(entry) => {
            let standing = entry.standing;
            let arrival = shared.replicas.borrow_mut().learn(entry, Instant::now());
            if arrival != Arrival::Same {
                log::info!(target: "upstream", "Server {id} is {arrival:?}, {standing:?}.");
            }
            Some(arrival != Arrival::Same)
        }
        Err(error) => {
            // Other writers leave entries too; they name no server to use.
            log::debug!(target: "upstream", "Entry {id} not used: {error}.");
            None
        }
    }
}

fn adopt<A: Adapter>(shared: &Shared<A>, item: &Item) -> Option<bool> {
    match A::Layout::read_table(&item.bytes).and_then(Table::try_from) {
        Ok(table) => Some(put_in_force(shared, table)),
        Err(error) => {
            log::error!(target: "config", "Configuration not adopted: {error}.");
            None
        }
    }
}

fn put_in_force<A: Adapter>(shared: &Shared<A>, table: Table) -> bool {
    let held = shared.table().map_or(0, |held| held.version());
    let version = table.version();
    if shared.table().is_some() && version <= held {
        // A process never goes back to an older version.
        if version < held {
            log::warn!(target: "config", "Version {version} is older than {held} and not adopted.");
        }
        return false;
    }
    let routes = table.routes().count();
    shared.table.replace(Some(Arc::new(table)));
    log::info!(target: "config", "Version {version} in force after {held}, {routes} routes.");
    shared.check_ready();
    true
}
