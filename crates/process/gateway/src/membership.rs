//! Which hosts there are, by keys that each one leases.
//!
//! The number of hosts sets each one's share of connections and of extra
//! calls. It falls late: a key may also lapse while the store is away.

use {
    crate::{pulse::Link, shared::Shared, Adapter},
    bytes::Bytes,
    fleet::Phase,
    std::{
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    store::{Changes, Fault, KeyEvent, Keys, LeaseId, StoreRevision},
    tokio::{select, time::sleep},
};

/// Prefix of the keys of hosts.
const PREFIX: &str = "wharf/hosts/";
/// Time for which a host is listed without a renewal: longer than most outages
/// of the store.
const LEASE_TIME: Duration = Duration::from_secs(15);
/// Pause between renewals; three may fail.
const RENEW_PAUSE: Duration = Duration::from_secs(4);
/// Time for which one call waits for a change of the list.
const LIST_WAIT: Duration = Duration::from_secs(10);
/// Time for which a host that is listed no more is still counted.
const COUNTED_FOR: Duration = Duration::from_secs(20);

/// Keeps this host listed until it leaves.
pub(crate) async fn stay_listed<A: Adapter>(shared: Rc<Shared<A>>) {
    let mut link = Link::new("lease of this host");
    let mut lease = None;
    loop {
        let step = renew(&shared, lease);
        let pause = select! {
            () = shared.life.reached(Phase::Finishing) => break,
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
            () = shared.life.reached(Phase::Finishing) => break,
            () = sleep(pause) => {}
        }
    }
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
    if let Some(lease) = lease {
        let is_held = shared.keys.renew(lease).await?;
        return Ok(is_held.then_some(lease));
    }
    let lease = shared.keys.grant(LEASE_TIME).await?;
    let key = format!("{PREFIX}{}", shared.settings.host_id);
    let value = Bytes::from(shared.settings.place.zone.clone());
    let is_written = shared.keys.write(&key, value, lease).await?;
    log::info!(target: "fleet", "This host is listed under lease {lease}.");
    Ok(is_written.then_some(lease))
}

/// Counts the hosts for as long as the process lives.
pub(crate) async fn follow_hosts<A: Adapter>(shared: Rc<Shared<A>>) {
    let mut link = Link::new("hosts");
    let mut hosts = Hosts::default();
    let mut after = None;
    loop {
        match next_hosts(&shared, &mut hosts, after).await {
            Ok(revision) => {
                link.on_success();
                after = revision;
            }
            Err(fault) => sleep(link.on_fault(&fault)).await,
        }
        let count = hosts.count(Instant::now()).max(1);
        if shared.hosts.replace(count) != count {
            shared.extras.borrow_mut().set_hosts(count);
            log::info!(target: "fleet", "{count} hosts are counted.");
        }
    }
}

async fn next_hosts<A: Adapter>(
    shared: &Shared<A>,
    hosts: &mut Hosts,
    after: Option<StoreRevision>,
) -> Result<Option<StoreRevision>, Fault> {
    let Some(after) = after else {
        let listing = shared.keys.list(PREFIX).await?;
        hosts.unlist_all(Instant::now());
        listing
            .items
            .into_iter()
            .for_each(|item| hosts.list(item.key));
        return Ok(Some(listing.revision));
    };
    match shared.keys.changes(PREFIX, after, LIST_WAIT).await? {
        Changes::Since { events, revision } => {
            for event in events {
                match event {
                    KeyEvent::Written(item) => hosts.list(item.key),
                    KeyEvent::Removed(key) => hosts.unlist(&key, Instant::now()),
                }
            }
            Ok(Some(revision))
        }
        Changes::HistoryGone => Ok(None),
    }
}

/// Hosts by key, with the time since which one is listed no more.
#[derive(Debug, Default)]
struct Hosts(HashMap<String, Option<Instant>>);

impl Hosts {
    fn list(&mut self, key: String) {
        self.0.insert(key, None);
    }

    fn unlist(&mut self, key: &str, now: Instant) {
        if let Some(since) = self.0.get_mut(key) {
            since.get_or_insert(now);
        }
    }

    fn unlist_all(&mut self, now: Instant) {
        for since in self.0.values_mut() {
            since.get_or_insert(now);
        }
    }

    fn count(&mut self, now: Instant) -> usize {
        let is_counted = |since: Instant| now.saturating_duration_since(since) < COUNTED_FOR;
        self.0.retain(|_, since| since.is_none_or(is_counted));
        self.0.len()
    }
}
