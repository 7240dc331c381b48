//! Membership of hosts, by keys in the store that each host leases for itself.
//!
//! The number of hosts determines each one's share of connections and of extra
//! calls. A host stays counted for a while after its key is gone, because a
//! lease may also expire while the store is unavailable.

use {
    crate::{
        apply::HOST_PREFIX, shared::Shared, store_restore::own_rewrite_delay,
        store_retry::StoreRetry, Adapter,
    },
    bytes::Bytes,
    fleet::{Member, Phase, SourceTree, Tenure},
    record::HostId,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    store::{Fault, KeyPrefixStore, LeaseId, StoreEra},
    tokio::{select, task::spawn_local, time::sleep},
};

/// Time for which a host is listed without a renewal, longer than most outages
/// of the store.
const LEASE_TTL: Duration = Duration::from_secs(15);
/// Pause between renewals; three may fail before the lease expires.
const RENEW_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a host that is no longer listed is still counted.
const REMOVED_RETENTION: Duration = Duration::from_secs(20);

/// Smallest share of a core, relative to the largest among the candidates, of
/// a host that reads the store or relays for others. On a weaker host, a query
/// over many shards takes longer than the servers need for it.
const MIN_RELATIVE_CPU: f64 = 0.8;

/// Keeps this host listed in the store until it leaves.
///
/// In a new fleet, the hosts find each other by their keys, so each is written
/// at once. Otherwise the first call of a starting host is the one that looks for
/// other hosts; a store that does not answer it would not answer this one either.
pub(crate) async fn stay_listed<A: Adapter>(shared: Rc<Shared<A>>) {
    if !shared.settings.is_new_fleet {
        select! {
            () = shared.life.wait_for_phase(Phase::Leaving) => return,
            () = shared.wait_until_discovered() => {}
        }
    }
    let mut retry = StoreRetry::new("lease of this host");
    let mut lease = None;
    loop {
        let renewal = renew_or_register(&shared, lease);
        let pause = select! {
            () = shared.life.wait_for_phase(Phase::Leaving) => break,
            result = renewal => match result {
                Ok(held) => {
                    retry.on_success();
                    lease = held;
                    if lease.is_some() { RENEW_PAUSE } else { Duration::ZERO }
                }
                Err(fault) => retry.on_fault(&fault, shared.hosts.get()),
            },
        };
        select! {
            () = shared.life.wait_for_phase(Phase::Leaving) => break,
            () = sleep(pause) => {}
            () = shared.host_key_is_due.notified() => {}
        }
    }
    // Ending the lease tells peers at once, while this host still serves them.
    if let Some(lease) = lease.filter(|lease| lease.is_of_current_era(&shared)) {
        if let Err(fault) = shared.keys.end(lease.id).await {
            log::warn!(target: "fleet", "The lease of this host could not be ended and will expire: {fault:?}.");
        }
    }
}

/// Makes this host write its key again under a new lease when its time has come.
pub(crate) fn on_store_restored<A: Adapter>(shared: &Rc<Shared<A>>, era: StoreEra) {
    let delay = own_rewrite_delay(shared);
    log::info!(target: "fleet", "The key of this host is written again in {} ms, era {era}.", delay.as_millis());
    let shared = Rc::clone(shared);
    spawn_local(async move {
        sleep(delay).await;
        shared.rewrites_host_key_in.set(Some(era));
        shared.host_key_is_due.notify_one();
    });
}

/// A lease, and the era of the store in which it was granted. In a later era its
/// identifier may be that of another lease.
#[derive(Clone, Copy)]
struct HostLease {
    id: LeaseId,
    era: Option<StoreEra>,
}

impl HostLease {
    fn is_of_current_era<A: Adapter>(self, shared: &Shared<A>) -> bool {
        self.era == shared.keys.eras().current()
    }
}

/// Renews the lease, or writes the key of this host under a new one; returns
/// `None` if the lease has ended.
///
/// After the store has returned from a copy, does nothing until it is the turn of this
/// host.
async fn renew_or_register<A: Adapter>(
    shared: &Shared<A>,
    lease: Option<HostLease>,
) -> Result<Option<HostLease>, Fault> {
    let own = &shared.settings.member;
    let is_void = lease.is_some_and(|lease| !lease.is_of_current_era(shared));
    if is_void && shared.rewrites_host_key_in.get() < shared.keys.eras().current() {
        return Ok(lease);
    }
    // The store may have dropped the key although it still renews the lease.
    let is_listed = shared.members.borrow().is_listed(&own.id);
    let is_kept = !is_void && (is_listed || !shared.has_store_state());
    if let Some(lease) = lease.filter(|_| is_kept) {
        let is_held = shared.keys.renew(lease.id).await?;
        // A lease that the copy lacks is replaced when it is the turn of this host.
        let is_kept = is_held || !lease.is_of_current_era(shared);
        return Ok(is_kept.then_some(lease));
    }
    let id = shared.keys.grant(LEASE_TTL).await?;
    let era = shared.keys.eras().current();
    let host = HostRecord {
        member: own.clone(),
        cpu_millis: shared.settings.cpu_millis,
    };
    let value = serde_json::to_vec(&host).map_err(|e| Fault::Unreachable(e.to_string()))?;
    let key = format!("{HOST_PREFIX}{}", own.id);
    let is_written = shared.keys.write(&key, Bytes::from(value), id).await?;
    log::info!(target: "fleet", "This host is listed under lease {id}.");
    Ok(is_written.then_some(HostLease { id, era }))
}

/// The value of a host's key in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HostRecord {
    /// Identifier, address, region and zone.
    #[serde(flatten)]
    pub(crate) member: Member,
    /// Share of a core, in thousandths.
    pub(crate) cpu_millis: u32,
}

#[derive(Debug)]
struct KnownHost {
    host: HostRecord,
    tenure: Tenure,
}

/// The listed hosts, and those removed a short time ago.
#[derive(Debug, Default)]
pub(crate) struct Members {
    hosts: BTreeMap<HostId, KnownHost>,
    /// The order in which the listed hosts read the store for each other,
    /// unless a host has changed since it was computed.
    sources: Option<Rc<SourceTree>>,
}

impl Members {
    /// Adds or updates a listed host, and returns whether anything changed. Hosts learn
    /// of each other within `lag`.
    pub(crate) fn insert(&mut self, host: HostRecord, lag: Duration, now: Instant) -> bool {
        let known = self.hosts.get(&host.member.id);
        let is_same = known.is_some_and(|known| known.host == host && known.tenure.is_listed());
        if !is_same {
            let mut tenure = known.map_or_else(|| Tenure::new(now), |known| known.tenure);
            tenure.on_listed(lag, now);
            let id = host.member.id.clone();
            self.hosts.insert(id, KnownHost { host, tenure });
            self.sources = None;
        }
        !is_same
    }

    /// Marks a host as removed, and returns whether it was listed.
    pub(crate) fn remove(&mut self, id: &str, now: Instant) -> bool {
        let known = self.hosts.get_mut(id);
        let was_listed = known.is_some_and(|host| host.tenure.on_removed(now));
        if was_listed {
            self.sources = None;
        }
        was_listed
    }

    /// Returns the listed hosts in the order of their identifiers.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &HostRecord> {
        let listed = self.hosts.values().filter(|host| host.tenure.is_listed());
        listed.map(|listed| &listed.host)
    }

    /// Returns the order in which the listed hosts read the store for each other.
    /// The hosts with the most CPU of each region come first.
    pub(crate) fn sources(&mut self) -> Rc<SourceTree> {
        if let Some(sources) = &self.sources {
            return Rc::clone(sources);
        }
        let sources = Rc::new(self.compute_sources());
        self.sources = Some(Rc::clone(&sources));
        sources
    }

    fn compute_sources(&self) -> SourceTree {
        let mut by_region: BTreeMap<&str, Vec<&HostRecord>> = BTreeMap::new();
        for host in self.listed() {
            let region = by_region.entry(&host.member.region).or_default();
            region.push(host);
        }
        let (mut readers, mut others) = (Vec::new(), Vec::new());
        for hosts in by_region.values() {
            let (strong, weak) = partition_by_cpu(hosts);
            readers.extend(strong);
            others.extend(weak);
        }
        SourceTree::new(&readers, &others)
    }

    /// Returns whether any host other than `own_id` is listed.
    pub(crate) fn has_other_than(&self, own_id: &str) -> bool {
        self.listed().any(|host| host.member.id != own_id)
    }

    /// Returns whether a host is listed.
    pub(crate) fn is_listed(&self, id: &str) -> bool {
        let known = self.hosts.get(id);
        known.is_some_and(|host| host.tenure.is_listed())
    }

    /// Returns the hosts that are listed or were less than `lag` ago, in the order of
    /// their identifiers.
    pub(crate) fn recently_listed(
        &self,
        lag: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &HostRecord> {
        let recent = self.hosts.values();
        let recent = recent.filter(move |host| host.tenure.keeps_place(lag, now));
        recent.map(|known| &known.host)
    }

    /// Returns whether a host is known and the others know of it, too.
    pub(crate) fn is_settled(&self, id: &str, lag: Duration, now: Instant) -> bool {
        let known = self.hosts.get(id);
        known.is_some_and(|known| known.tenure.is_settled(lag, now))
    }

    /// Returns the number of hosts that share connections and extra calls,
    /// including those removed less than [`REMOVED_RETENTION`] ago.
    pub(crate) fn count(&mut self, now: Instant) -> usize {
        self.hosts
            .retain(|_, host| host.tenure.keeps_place(REMOVED_RETENTION, now));
        self.hosts.len().max(1)
    }
}

/// Returns those of `hosts` whose share of a core is at least
/// [`MIN_RELATIVE_CPU`] of the largest one, and the others.
fn partition_by_cpu(hosts: &[&HostRecord]) -> (Vec<Member>, Vec<Member>) {
    let largest = hosts.iter().map(|host| host.cpu_millis).max().unwrap_or(0);
    let smallest = (f64::from(largest) * MIN_RELATIVE_CPU) as u32;
    let (strong, weak): (Vec<&HostRecord>, Vec<&HostRecord>) =
        hosts.iter().partition(|host| host.cpu_millis >= smallest);
    let members = |hosts: Vec<&HostRecord>| hosts.iter().map(|h| h.member.clone()).collect();
    (members(strong), members(weak))
}

/// Returns those of `hosts` whose share of a core is at least
/// [`MIN_RELATIVE_CPU`] of the largest one.
pub(crate) fn with_most_cpu(hosts: &[&HostRecord]) -> Vec<Member> {
    partition_by_cpu(hosts).0
}
