//! The order in which all hosts use the relays of a zone for a service.
//!
//! Load: hundreds of hosts with a fraction of a core each, and queries of hundreds of
//! shards. The order is needed for every shard of every query, while the hosts change
//! rarely, so that it is computed once and looked up without copying anything.

use {
    crate::{relay_set, Member},
    record::{HostId, ZoneId},
    std::{collections::HashMap, sync::Arc},
};

/// Identifies a host that is called as a relay within the process.
pub type RelayKey = u32;

/// The relays of each zone and their orders by service.
#[derive(Debug, Default)]
pub struct RelayOrders {
    /// Hosts by key. Those that are no relays any more stay, as calls may refer to them.
    members: Vec<Member>,
    keys: HashMap<HostId, RelayKey>,
    by_zone: HashMap<ZoneId, Vec<Member>>,
    /// Orders that have been needed since the relays changed.
    orders: HashMap<ZoneId, HashMap<Arc<str>, Vec<RelayKey>>>,
}

impl RelayOrders {
    /// Sets the relays of each zone.
    pub fn set_relays(&mut self, by_zone: HashMap<ZoneId, Vec<Member>>) {
        if by_zone == self.by_zone {
            return;
        }
        for member in by_zone.values().flatten() {
            self.key_of(member);
        }
        self.by_zone = by_zone;
        self.orders.clear();
    }

    /// Returns the relays of a zone in no particular order.
    pub fn relays(&self, zone: &str) -> &[Member] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of relays of all zones.
    pub fn len(&self) -> usize {
        self.by_zone.values().map(Vec::len).sum()
    }

    /// Returns whether there are no relays.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the host with a key.
    ///
    /// # Panics
    ///
    /// Panics if the key does not come from this value.
    pub fn member(&self, relay: RelayKey) -> &Member {
        &self.members[relay as usize]
    }

    /// Returns the key of a host, which need not be one of the relays.
    pub fn key_of(&mut self, member: &Member) -> RelayKey {
        if let Some(key) = self.keys.get(&member.id).copied() {
            self.members[key as usize].clone_from(member);
            return key;
        }
        let key = RelayKey::try_from(self.members.len()).unwrap_or(RelayKey::MAX);
        self.keys.insert(member.id.clone(), key);
        self.members.push(member.clone());
        key
    }

    /// Returns the key of a host, or `None` if it has none.
    pub fn key(&self, id: &str) -> Option<RelayKey> {
        self.keys.get(id).copied()
    }

    /// Returns the first relay of [`order`](Self::order) that is usable.
    pub fn first(
        &mut self,
        zone: &str,
        service: &Arc<str>,
        is_usable: impl Fn(&Member) -> bool,
    ) -> Option<RelayKey> {
        self.order(zone, service);
        let order = self.orders.get(zone)?.get(service)?;
        let mut keys = order.iter().copied();
        keys.find(|key| is_usable(self.member(*key)))
    }

    /// Returns the relays of a zone in the order in which all hosts use them for `service`.
    pub fn order(&mut self, zone: &str, service: &Arc<str>) -> &[RelayKey] {
        let is_known = self
            .orders
            .get(zone)
            .is_some_and(|orders| orders.contains_key(service));
        if !is_known {
            let relays = self.relays(zone);
            let order = relay_set(service, relays, relays.len()).into_iter();
            let order = order.filter_map(|member| self.key(&member.id)).collect();
            let orders = self.orders.entry(zone.to_owned()).or_default();
            orders.insert(Arc::clone(service), order);
        }
        let order = self.orders.get(zone).and_then(|orders| orders.get(service));
        order.map_or(&[], Vec::as_slice)
    }
}
