//! Configuration and servers, followed in the platform's store.
//!
//! What is known is kept while the store does not answer: a read that failed
//! is not an empty list.

use {
    crate::{pulse::Link, shared::Shared, Adapter, Layout},
    kind::Result,
    replica::{Arrival, ServerId},
    routing::Table,
    std::{
        collections::HashSet,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{Changes, Fault, Item, KeyEvent, Keys, StoreRevision},
    tokio::time::sleep,
};

/// Time for which one call waits for a change of the configuration. It bounds
/// how long a call that went silent hides changes.
const CONFIG_WAIT: Duration = Duration::from_secs(4);
/// Pause between questions for changes of servers. Servers write about every
/// second, so that a call that waits is answered at once; a server that
/// drains serves for 3 s at least after the store knows.
const SERVER_PAUSE: Duration = Duration::from_millis(900);

/// Follows the configuration for as long as the process lives.
pub(crate) async fn follow_config<A: Adapter>(shared: Rc<Shared<A>>) {
    let mut link = Link::new("configuration");
    let mut after = None;
    loop {
        match next_config(&shared, after).await {
            Ok(revision) => {
                link.on_success();
                after = revision;
            }
            Err(fault) => sleep(link.on_fault(&fault)).await,
        }
    }
}

/// Reads the configuration, or waits for a change of it after a revision.
async fn next_config<A: Adapter>(
    shared: &Shared<A>,
    after: Option<StoreRevision>,
) -> Result<Option<StoreRevision>, Fault> {
    let key = A::Layout::CONFIG_KEY;
    let Some(after) = after else {
        let listing = shared.keys.list(key).await?;
        listing.items.iter().for_each(|item| adopt(shared, item));
        return Ok(Some(listing.revision));
    };
    match shared.keys.changes(key, after, CONFIG_WAIT).await? {
        Changes::Since { events, revision } => {
            for event in &events {
                if let KeyEvent::Written(item) = event {
                    adopt(shared, item);
                }
            }
            Ok(Some(revision))
        }
        Changes::HistoryGone => Ok(None),
    }
}

fn adopt<A: Adapter>(shared: &Shared<A>, item: &Item) {
    if item.key != A::Layout::CONFIG_KEY {
        return;
    }
    match A::Layout::read_table(&item.bytes).and_then(Table::try_from) {
        Ok(table) => put_in_force(shared, table),
        Err(error) => {
            log::error!(target: "config", "Configuration not adopted: {error}.");
        }
    }
}

fn put_in_force<A: Adapter>(shared: &Shared<A>, table: Table) {
    let held = shared.table().map_or(0, |held| held.version());
    let version = table.version();
    if shared.table().is_some() && version <= held {
        // A process never goes back to an older version.
        if version < held {
            log::warn!(target: "config", "Version {version} is older than {held} and not adopted.");
        }
        return;
    }
    let routes = table.routes().count();
    shared.table.replace(Some(Arc::new(table)));
    log::info!(target: "config", "Version {version} in force after {held}, {routes} routes.");
    shared.check_ready();
}

/// Follows the servers for as long as the process lives.
pub(crate) async fn follow_servers<A: Adapter>(shared: Rc<Shared<A>>) {
    let mut link = Link::new("servers");
    let mut after = None;
    loop {
        match next_servers(&shared, after).await {
            Ok(revision) => {
                link.on_success();
                after = revision;
                if after.is_some() {
                    sleep(SERVER_PAUSE).await;
                }
            }
            Err(fault) => sleep(link.on_fault(&fault)).await,
        }
        forget_gone(&shared);
    }
}

async fn next_servers<A: Adapter>(
    shared: &Shared<A>,
    after: Option<StoreRevision>,
) -> Result<Option<StoreRevision>, Fault> {
    let prefix = A::Layout::SERVER_PREFIX;
    let Some(after) = after else {
        let listing = shared.keys.list(prefix).await?;
        let listed = listing.items.iter().filter_map(server_id::<A>).collect();
        learn(shared, &listing.items);
        unlist_all_but(shared, &listed);
        shared.has_servers.set(true);
        shared.check_ready();
        return Ok(Some(listing.revision));
    };
    match shared.keys.changes(prefix, after, Duration::ZERO).await? {
        Changes::Since { events, revision } => {
            events
                .into_iter()
                .for_each(|event| take_event(shared, event));
            Ok(Some(revision))
        }
        Changes::HistoryGone => Ok(None),
    }
}

fn take_event<A: Adapter>(shared: &Shared<A>, event: KeyEvent) {
    match event {
        KeyEvent::Written(item) => learn(shared, &[item]),
        KeyEvent::Removed(key) => {
            let id = key.strip_prefix(A::Layout::SERVER_PREFIX).unwrap_or(&key);
            if shared.replicas.borrow_mut().unlist(id, Instant::now()) {
                log::info!(target: "upstream", "Server {id} is listed no more.");
            }
        }
    }
}

fn server_id<A: Adapter>(item: &Item) -> Option<ServerId> {
    item.key
        .strip_prefix(A::Layout::SERVER_PREFIX)
        .map(ServerId::from)
}

fn learn<A: Adapter>(shared: &Shared<A>, items: &[Item]) {
    let now = Instant::now();
    for item in items {
        let Some(id) = server_id::<A>(item) else {
            continue;
        };
        match A::Layout::read_server(id.clone(), &item.bytes) {
            Ok(entry) => {
                let standing = entry.standing;
                let arrival = shared.replicas.borrow_mut().learn(entry, now);
                if arrival != Arrival::Same {
                    log::info!(target: "upstream", "Server {id} is {arrival:?}, {standing:?}.");
                }
            }
            // Other writers leave entries too; they name no server to use.
            Err(error) => log::debug!(target: "upstream", "Entry {id} not used: {error}."),
        }
    }
}

fn unlist_all_but<A: Adapter>(shared: &Shared<A>, listed: &HashSet<ServerId>) {
    let gone = shared
        .replicas
        .borrow_mut()
        .unlist_all_but(listed, Instant::now());
    if gone > 0 {
        log::info!(target: "upstream", "{gone} servers are listed no more.");
    }
}

fn forget_gone<A: Adapter>(shared: &Shared<A>) {
    let gone = shared.replicas.borrow_mut().take_gone(Instant::now());
    let mut connections = shared.connections.borrow_mut();
    gone.into_iter().for_each(|key| connections.forget(key));
}
