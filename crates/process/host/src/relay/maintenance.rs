//! Periodic maintenance of connections to upstreams.
//!
//! It applies connection shares, opens warm connections, closes idle ones, and
//! drops servers that no record names any more.

use {
    crate::{relay::upstreams::on_drain, shared::Shared},
    link::{connection_share, DrainSign},
    record::{ServerAddr, Service},
    std::{
        collections::HashSet,
        sync::{atomic::Ordering, Arc},
        time::{Duration, Instant},
    },
    store::{ListedHost, Role},
    tokio::{select, time::sleep},
};

/// Time between two maintenance rounds, unless the configuration changes.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Maintains connections until the process ends.
pub(crate) async fn maintain_connections(shared: Arc<Shared>) {
    let mut config = shared.config.subscribe();
    loop {
        let in_use = servers_in_use(&shared);
        shared.pools.maintain(&in_use);
        shared.servers.retain(&in_use);
        publish_counts(&shared);
        select! {
            // `shared` owns the sender, so this completes only on a change.
            _ = config.changed() => {}
            () = sleep(MAINTENANCE_INTERVAL) => {}
        }
    }
}

fn publish_counts(shared: &Shared) {
    let limited = shared.servers.limited_count(Instant::now());
    shared.metrics.on_limited_servers(limited);
    let counts = shared.pools.counts();
    for (event, count) in [("repeat", &counts.repeated), ("at-limit", &counts.refused)] {
        for _ in 0..count.swap(0, Ordering::Relaxed) {
            shared.metrics.on_event("link", event);
        }
    }
}

/// Applies the state of upstreams in the platform's list of hosts.
pub(crate) fn apply_host_list(shared: &Shared, listed: &[ListedHost]) {
    let now = Instant::now();
    for host in listed.iter().filter(|host| host.role == Role::Upstream) {
        if !host.leaving {
            shared.servers.on_listed_as_active(host.addr, now);
        } else {
            on_drain(shared, host.addr, DrainSign::Listed);
        }
    }
}

/// Returns how many connections this host may hold to each server of a service.
pub(crate) fn share_of(shared: &Shared, service: &Service) -> u32 {
    let relays = shared.relay_sets.get(shared, service).planned_count;
    connection_share(service.connection_limit, relays)
}

/// Returns the servers of all records, and creates pools for the services this host relays.
fn servers_in_use(shared: &Shared) -> HashSet<ServerAddr> {
    let mut in_use = HashSet::new();
    for service in shared.in_force().services() {
        let set = shared.relay_sets.get(shared, service);
        let is_relay = set
            .relays
            .iter()
            .any(|relay| relay.id == shared.settings.member.id);
        let share = share_of(shared, service);
        let shards = service.indexes.iter().flat_map(|index| &index.shards);
        for server in shards.flat_map(|shard| &shard.servers) {
            in_use.insert(server.addr);
            if is_relay {
                shared.pools.get(server.addr, share);
            }
        }
    }
    in_use
}
