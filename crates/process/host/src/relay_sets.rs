//! Relay sets of services, cached by member list and configuration revision.

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

/// Number of independently locked stripes of the cache.
const LOCK_STRIPES: usize = 8;
/// Number of spare hosts, which are tried if no relay accepts the query.
const SPARES: usize = 2;

/// The relays of a service, computed from the members that this host knows.
#[derive(Debug)]
pub(crate) struct RelaySet {
    /// Relays in order of preference.
    pub(crate) relays: Vec<Member>,
    /// Number of relays among which the connections to a server are divided.
    pub(crate) planned_count: usize,
    /// Next hosts in order of preference after the relays.
    pub(crate) spares: Vec<Member>,
}

struct CacheEntry {
    members: Arc<Vec<Member>>,
    revision: Revision,
    set: Arc<RelaySet>,
}

/// Cache of relay sets by service name.
#[derive(Default)]
pub(crate) struct RelaySets([RwLock<HashMap<String, CacheEntry>>; LOCK_STRIPES]);

impl RelaySets {
    /// Returns the relay set of a service, computed if it is not cached or outdated.
    pub(crate) fn get(&self, shared: &Shared, service: &Service) -> Arc<RelaySet> {
        let members = shared.members.all();
        let revision = shared.in_force().revision();
        let stripe = &self.0[lock_stripe_of(&service.name)];
        if let Some(cached) = stripe.read().get(&service.name) {
            let is_same = Arc::ptr_eq(&cached.members, &members);
            if is_same && cached.revision == revision {
                return Arc::clone(&cached.set);
            }
        }
        let set = Arc::new(compute_relay_set(shared, service, &members));
        let cached = CacheEntry {
            members,
            revision,
            set: Arc::clone(&set),
        };
        stripe.write().insert(service.name.clone(), cached);
        set
    }
}

/// Returns the index of the lock stripe of a service.
pub(crate) fn lock_stripe_of(service: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    service.hash(&mut hasher);
    hasher.finish() as usize % LOCK_STRIPES
}

fn compute_relay_set(shared: &Shared, service: &Service, members: &[Member]) -> RelaySet {
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
    // A host that just started knows only itself. Capping the number of relays at
    // the known hosts would let it open too many connections.
    let planned_count = match limits.record {
        Some(_) => relay_count(limits, usize::MAX),
        None => count,
    };
    RelaySet {
        relays,
        planned_count,
        spares,
    }
}
