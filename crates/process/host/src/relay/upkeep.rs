//! Upkeep of connections: shares, warm-up, idle ones, and servers that left all records.

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

/// Pause between two rounds of upkeep.
const UPKEEP_PAUSE: Duration = Duration::from_secs(1);

/// Keeps connections up for as long as the process lives.
pub(crate) async fn keep_up(shared: Arc<Shared>) {
    let mut config = shared.config.subscribe();
    loop {
        let in_use = servers_in_use(&shared);
        shared.pools.upkeep(&in_use);
        shared.servers.retain(&in_use);
        publish_counts(&shared);
        select! {
            // The sender lives in `shared`, so the wait ends only by a change.
            _ = config.changed() => {}
            () = sleep(UPKEEP_PAUSE) => {}
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

/// Takes what the platform's list says about upstreams.
pub(crate) fn on_list(shared: &Shared, listed: &[ListedHost]) {
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
    let relays = shared.relay_sets.of(shared, service).planned;
    connection_share(service.connection_limit, relays)
}

/// Returns the servers of all records, and makes the pools of those that this host relays for.
fn servers_in_use(shared: &Shared) -> HashSet<ServerAddr> {
    let mut in_use = HashSet::new();
    for service in shared.in_force().services() {
        let set = shared.relay_sets.of(shared, service);
        let is_relay = set.relays.iter().any(|m| m.id == shared.settings.member.id);
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
