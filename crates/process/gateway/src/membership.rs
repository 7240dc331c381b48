//! Which hosts there are, by keys that each one leases.
//!
//! The number of hosts sets each one's share of connections and of extra
//! calls. It falls late: a key may also lapse while the store is away.

use {
    crate::{apply::HOST_PREFIX, pulse::Link, shared::Shared, Adapter},
    bytes::Bytes,
    fleet::{Member, Phase},
    record::HostId,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, Instant},
    },
    store::{Fault, Keys, LeaseId},
    tokio::{select, time::sleep},
};

/// Time for which a host is listed without a renewal: longer than most outages
/// of the store.
const LEASE_TIME: Duration = Duration::from_secs(15);
/// Pause between renewals; three may fail.
const RENEW_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a host that is listed no more is still counted.
const COUNTED_FOR: Duration = Duration::from_secs(20);

/// Least size of a host that works for others beside the strongest one: a
/// query over many shards takes a weak host longer than the servers.
const STRONG_SHARE: f64 = 0.8;

/// Keeps this host listed until it leaves.
pub(crate) async fn stay_listed<A: Adapter>(shared: Rc<Shared<A>>) {
    let mut link = Link::new("lease of this host");
    let mut lease = None;
    loop {
        let step = renew(&shared, lease);
        let pause = select! {
            () = shared.life.reached(Phase::Leaving) => break,
            result = step => match result {
                Ok(held) => {
                    link.on_success();
                    lease = held;
                    if lease.is_some() { RENEW_PAUSE } else { Duration::ZERO }
                }
                Err(fault) => link.on_fault(&fault),
            },
        };
        select! {
            () = shared.life.reached(Phase::Leaving) => break,
            () = sleep(pause) => {}
        }
    }
    // Peers are told at once, before this host stops to serve them.
    if let Some(lease) = lease {
        if let Err(fault) = shared.keys.end(lease).await {
            log::warn!(target: "fleet", "The lease of this host runs out by itself: {fault:?}.");
        }
    }
}

/// Renews the lease, or lists the host anew; returns `None` if the lease has ended.
async fn renew<A: Adapter>(
    shared: &Shared<A>,
    lease: Option<LeaseId>,
) -> Result<Option<LeaseId>, Fault> {
    let own = &shared.settings.member;
    // The store may have dropped the key of a lease that it still renews.
    let is_listed = shared.members.borrow().is_listed(&own.id);
    if let Some(lease) = lease.filter(|_| is_listed || !shared.is_informed()) {
        let is_held = shared.keys.renew(lease).await?;
        return Ok(is_held.then_some(lease));
    }
    let lease = shared.keys.grant(LEASE_TIME).await?;
    let host = ListedHost {
        member: own.clone(),
        cpu_millis: shared.settings.cpu_millis,
    };
    let value = serde_json::to_vec(&host).map_err(|e| Fault::Unreachable(e.to_string()))?;
    let key = format!("{HOST_PREFIX}{}", own.id);
    let is_written = shared.keys.write(&key, Bytes::from(value), lease).await?;
    log::info!(target: "fleet", "This host is listed under lease {lease}.");
    Ok(is_written.then_some(lease))
}

/// A host as it lists itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ListedHost {
    /// The host.
    #[serde(flatten)]
    pub(crate) member: Member,
    /// Its share of a core, in thousandths.
    pub(crate) cpu_millis: u32,
}

#[derive(Debug)]
struct Listed {
    host: ListedHost,
    /// Since when the host is listed no more.
    gone_since: Option<Instant>,
}

/// The hosts that are listed, and those that were a moment ago.
#[derive(Debug, Default)]
pub(crate) struct Members {
    hosts: BTreeMap<HostId, Listed>,
    /// Those of the listed ones that read the store for others.
    readers: Rc<Vec<Member>>,
}

impl Members {
    /// Takes an entry of the list, and returns whether it says something new.
    pub(crate) fn list(&mut self, host: ListedHost) -> bool {
        let known = self.hosts.get(&host.member.id);
        let is_same = known.is_some_and(|known| known.host == host && known.gone_since.is_none());
        if !is_same {
            let listed = Listed {
                host,
                gone_since: None,
            };
            self.hosts.insert(listed.host.member.id.clone(), listed);
            self.refresh();
        }
        !is_same
    }

    /// Takes the end of an entry, and returns whether the host was listed.
    pub(crate) fn unlist(&mut self, id: &str, now: Instant) -> bool {
        let listed = self
            .hosts
            .get_mut(id)
            .filter(|host| host.gone_since.is_none());
        let Some(host) = listed else {
            return false;
        };
        host.gone_since = Some(now);
        self.refresh();
        true
    }

    fn refresh(&mut self) {
        let hosts: Vec<&ListedHost> = self.listed().collect();
        let regions: BTreeSet<&str> = hosts.iter().map(|h| h.member.region.as_str()).collect();
        let readers = regions.into_iter().flat_map(|region| {
            let of_region = hosts.iter().filter(|host| host.member.region == region);
            strongest(&of_region.copied().collect::<Vec<_>>())
        });
        self.readers = Rc::new(readers.collect());
    }

    /// Returns the hosts that are listed, by name, with their sizes.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &ListedHost> {
        let listed = self.hosts.values().filter(|host| host.gone_since.is_none());
        listed.map(|listed| &listed.host)
    }

    /// Returns the hosts that read the store for others, the strongest of each region.
    pub(crate) fn readers(&self) -> Rc<Vec<Member>> {
        Rc::clone(&self.readers)
    }

    /// Returns whether any other host than `own_id` is listed.
    pub(crate) fn has_other_than(&self, own_id: &str) -> bool {
        self.listed().any(|host| host.member.id != own_id)
    }

    /// Returns whether a host is listed.
    pub(crate) fn is_listed(&self, id: &str) -> bool {
        self.hosts
            .get(id)
            .is_some_and(|host| host.gone_since.is_none())
    }

    /// Returns the number of hosts to share with, those that went a moment ago included.
    pub(crate) fn count(&mut self, now: Instant) -> usize {
        let is_counted = |since: Instant| now.saturating_duration_since(since) < COUNTED_FOR;
        self.hosts
            .retain(|_, host| host.gone_since.is_none_or(is_counted));
        self.hosts.len().max(1)
    }
}

/// Returns the strongest of `hosts`.
pub(crate) fn strongest(hosts: &[&ListedHost]) -> Vec<Member> {
    let most = hosts.iter().map(|host| host.cpu_millis).max().unwrap_or(0);
    let least = (f64::from(most) * STRONG_SHARE) as u32;
    let strong = hosts.iter().filter(|host| host.cpu_millis >= least);
    strong.map(|host| host.member.clone()).collect()
}
