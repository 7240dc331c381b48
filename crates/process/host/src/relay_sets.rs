//! Relay sets of services, computed once for each list of members.

use {
    crate::shared::Shared,
    fleet::{eligible, relay_count, relay_set, Member, RelayLimits},
    parking_lot::RwLock,
    record::{Revision, Service},
    std::{
        collections::{HashMap, HashSet},
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
};

/// Number of shards that the cache is kept in, each under its own lock.
const SHARDS: usize = 8;
/// Hosts after the relays that are asked if no relay takes the query.
const SPARES: usize = 2;

/// The relays of a service as this host sees them.
#[derive(Debug)]
pub(crate) struct RelaySet {
    /// Relays, best first.
    pub(crate) relays: Vec<Member>,
    /// Number of relays by which connections are shared.
    pub(crate) planned: usize,
    /// Hosts that would be relays next.
    pub(crate) spares: Vec<Member>,
}

struct Cached {
    members: Arc<Vec<Member>>,
    revision: Revision,
    set: Arc<RelaySet>,
}

/// Relay sets by service.
#[derive(Default)]
pub(crate) struct RelaySets([RwLock<HashMap<String, Cached>>; SHARDS]);

impl RelaySets {
    /// Returns the relay set of a service.
    pub(crate) fn of(&self, shared: &Shared, service: &Service) -> Arc<RelaySet> {
        let members = shared.members.all();
        let revision = shared.in_force().revision();
        let shard = &self.0[shard_of(&service.name)];
        if let Some(cached) = shard.read().get(&service.name) {
            let is_same = Arc::ptr_eq(&cached.members, &members);
            if is_same && cached.revision == revision {
                return Arc::clone(&cached.set);
            }
        }
        let set = Arc::new(compute(shared, service, &members));
        let cached = Cached {
            members,
            revision,
            set: Arc::clone(&set),
        };
        shard.write().insert(service.name.clone(), cached);
        set
    }
}

/// Returns the position of the shard of a service.
pub(crate) fn shard_of(service: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    service.hash(&mut hasher);
    hasher.finish() as usize % SHARDS
}

fn compute(shared: &Shared, service: &Service, members: &[Member]) -> RelaySet {
    let shards = service.indexes.iter().flat_map(|index| &index.shards);
    let servers = shards.flat_map(|shard| &shard.servers);
    let zones: HashSet<_> = servers.map(|server| server.zone.clone()).collect();
    let eligible = eligible(members, &zones);
    let limits = RelayLimits {
        record: service.relays,
        settings: shared.settings.default_relays,
        connection_limit: service.connection_limit,
    };
    let count = relay_count(limits, eligible.len());
    let ranked = relay_set(&service.name, &eligible, count + SPARES);
    let mut relays: Vec<_> = ranked.into_iter().cloned().collect();
    let spares = relays.split_off(count.min(relays.len()));
    // A fresh host knows only itself, so the record's count is not lowered to that.
    let planned = match limits.record {
        Some(_) => relay_count(limits, usize::MAX),
        None => count,
    };
    RelaySet {
        relays,
        planned,
        spares,
    }
}
