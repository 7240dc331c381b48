//! Keeps this host's copy of the store current, from a peer where possible.
//!
//! `fleet::SourceTree` says which peers a host asks and how old their data may
//! be. A peer answers as soon as something has changed, or after a timeout to
//! confirm that nothing has. A host that has no peer to ask reads the store.

use {
    crate::{
        apply,
        peer::{self, ChangesReply, ChangesRequest, PROTOCOL_VERSION},
        shared::Shared,
        store_cache::KeyRange,
        store_restore,
        store_retry::StoreRetry,
        store_watch, Adapter,
    },
    fleet::{ChangeBudget, Member, SourceRequest, SourceTree, MAX_CHANGES_WAIT},
    kind::{Error, Kind, Result},
    record::HostId,
    std::{
        collections::HashMap,
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    store::{Fault, Freshness, KeyPrefixStore},
    tokio::{
        select,
        time::{sleep, timeout, timeout_at},
    },
};

/// Time for which a peer is not asked after a failed or outdated answer.
const FAILED_PEER_PAUSE: Duration = Duration::from_secs(3);
/// Number of peers that a starting host asks before it reads the store.
const MAX_STARTUP_PEERS: usize = 2;
/// Time within which all hosts of a new fleet start.
const FLEET_START_SPREAD: Duration = Duration::from_millis(350);
/// Pause of a starting host before it asks the same peer again.
const STARTUP_RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Time for which a starting host waits for the store before it asks seeds. A
/// healthy store answers in a few milliseconds.
const SEED_PAUSE: Duration = Duration::from_millis(300);
/// Greatest age of a seed's data that a host without any takes: longer than any
/// outage of the store so far, during which no host has newer data.
const MAX_SEED_AGE: Duration = Duration::from_secs(600);
/// Pause between checks for a peer to ask while this host reads the store.
const PEER_CHECK_PAUSE: Duration = Duration::from_millis(500);
/// Time after a fault of the store for which this host counts as cut off from it.
const STORE_FAULT_MEMORY: Duration = Duration::from_secs(2);

/// Answers a peer's request for changes as soon as there are any.
pub(crate) async fn answer_changes<A: Adapter>(
    shared: &Shared<A>,
    request: &ChangesRequest,
) -> ChangesReply {
    let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_CHANGES_WAIT);
    shared.keys.eras().raise(request.era);
    store_restore::note_era(shared);
    let confirmed_at = shared.store_cache.borrow().confirmed_at();
    let changed = async {
        loop {
            let notified = shared.store_changed.notified();
            // A host that has just started has no data yet, but soon will.
            let is_answer = {
                let cache = shared.store_cache.borrow();
                cache.has_changes_since(request.epoch, request.after)
                    || cache.confirmed_at() > confirmed_at
                    || cache.era() > request.era
            };
            if shared.has_store_state() && is_answer {
                return;
            }
            notified.await;
        }
    };
    // An answer without changes still tells the peer how old the data is. It is
    // sent when the data is confirmed, so that its age does not add up over hosts.
    let _ = timeout(wait, changed).await;
    let store_cache = shared.store_cache.borrow();
    store_cache.changes_since(request.epoch, request.after, Instant::now())
}

/// Where the data in this host's copy of the store comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DataSource {
    /// The store itself.
    Store,
    /// The host with this address for peers.
    Peer(SocketAddr),
}

impl Display for DataSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => write!(f, "the store"),
            Self::Peer(addr) => write!(f, "the host at {addr}"),
        }
    }
}

/// State of the peers that this host asks, and its position in the changes of
/// the last one.
#[derive(Default)]
struct PeerSources {
    /// Time of the last failure of each peer.
    failed_at: HashMap<HostId, Instant>,
    /// Epoch of the peer that answered last, 0 for none.
    epoch: u64,
    /// Sequence number of the last change received from that peer.
    after: u64,
    /// Address of that peer, `None` after the store was read.
    current: Option<SocketAddr>,
    /// Time of the last fault of the store.
    store_fault_at: Option<Instant>,
}

impl PeerSources {
    /// Returns the peers to ask, and the greatest age of their data.
    fn candidates(
        &mut self,
        own: &Member,
        tree: &SourceTree,
        budget: ChangeBudget,
        now: Instant,
    ) -> (Vec<Member>, Duration) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < FAILED_PEER_PAUSE;
        self.failed_at.retain(|_, at| is_recent(at));
        let is_cut_off = self
            .store_fault_at
            .is_some_and(|at| now.saturating_duration_since(at) < STORE_FAULT_MEMORY);
        let source = tree.source(own, is_cut_off, budget);
        let candidates = source.candidates.into_iter();
        let healthy = candidates.filter(|member| !self.failed_at.contains_key(&member.id));
        (healthy.cloned().collect(), source.max_staleness)
    }
}

/// Keeps this host's copy of the store current for as long as the process lives.
pub(crate) async fn run<A: Adapter>(shared: Rc<Shared<A>>) {
    let mut retry = StoreRetry::new("configuration, the hosts and the servers");
    let mut sources = PeerSources::default();
    let has_discovered = select! {
        () = discover_hosts_with_retry(&shared, &mut retry) => true,
        () = sync_from_seeds(&shared, &mut sources) => false,
    };
    shared.on_discovered();
    if has_discovered {
        sync_at_startup(&shared, &mut sources).await;
    }
    loop {
        // A host without any data reads the store at once, even if a peer may have some.
        if shared.has_store_state() && sync_from_peers(&shared, &mut sources).await {
            continue;
        }
        let mut on_loaded = || retry.on_success();
        let fault = select! {
            read = store_watch::load_and_watch(&shared, &mut on_loaded) => read.err(),
            () = wait_for_candidate(&shared, &mut sources) => None,
            () = until_read_again(&shared) => None,
        };
        // Reads of the store have no position in the changes of a peer, so the
        // next peer has to send all keys.
        (sources.epoch, sources.current) = (0, None);
        if let Some(fault) = fault {
            sources.store_fault_at = Some(Instant::now());
            let pause = retry.on_fault(&fault, shared.hosts.get());
            if !sync_from_peers(&shared, &mut sources).await {
                sleep(pause).await;
            }
        }
    }
}

/// Waits until the store has returned from a copy, or until writers have had time after
/// that.
async fn until_read_again<A: Adapter>(shared: &Shared<A>) {
    // Another call may have told of the era already, on which the due time depends.
    store_restore::note_era(shared);
    let eras = shared.keys.eras();
    let is_risen = async {
        let era = eras.wait_until_known().await;
        eras.wait_above(era).await;
    };
    select! {
        () = is_risen => {}
        () = store_restore::wait_until_due(shared) => {}
    }
}

/// Calls [`discover_hosts`] until it succeeds.
async fn discover_hosts_with_retry<A: Adapter>(shared: &Shared<A>, retry: &mut StoreRetry) {
    while let Err(fault) = discover_hosts(shared).await {
        sleep(retry.on_fault(&fault, shared.hosts.get())).await;
    }
}

/// Gets all keys from a seed, in case the store does not answer soon.
async fn sync_from_seeds<A: Adapter>(shared: &Shared<A>, sources: &mut PeerSources) {
    let own = shared.settings.member.peer_addr;
    // A seed that is starting as well waits until it has data.
    let request = SourceRequest {
        wait: MAX_CHANGES_WAIT,
        timeout: MAX_CHANGES_WAIT + ChangeBudget::SEARCH_TIME,
    };
    loop {
        sleep(SEED_PAUSE).await;
        for seed in shared.settings.seeds.iter().filter(|seed| **seed != own) {
            match require_sync_from(shared, sources, *seed, MAX_SEED_AGE, request).await {
                Ok(()) => {
                    log::info!(target: "fleet", "The store does not answer; the host at {seed} told what stands there.");
                    return;
                }
                Err(error) => log::info!(target: "fleet", "Seed not used: {error}."),
            }
        }
    }
}

/// Loads the list of hosts, so that one of them can be asked for all other keys.
///
/// In a new fleet, the keys of the hosts appear within [`FLEET_START_SPREAD`].
/// A host that looked earlier would see only some of them, take itself for the
/// first of its region and read the store. Elsewhere a list that is some seconds
/// old is enough to find a host to ask.
///
/// # Errors
///
/// Returns the fault of the call to the store.
async fn discover_hosts<A: Adapter>(shared: &Shared<A>) -> Result<(), Fault> {
    let own = &shared.settings.member;
    if shared.settings.is_new_fleet {
        sleep(FLEET_START_SPREAD).await;
    } else {
        store_watch::load(shared, KeyRange::Fleet, Freshness::MayBeStale).await?;
        shared.on_discovered();
        if shared.members.borrow().has_other_than(&own.id) {
            return Ok(());
        }
    }
    store_watch::load(shared, KeyRange::Fleet, Freshness::Current)
        .await
        .map(|_| ())
}

/// Gets all keys from a host of the same region, if one has them soon.
///
/// Other regions are left out: if all hosts have started together, the first
/// one of each region reads the store without waiting for another. A peer that
/// has no data yet is asked again, because it may be starting as well, and the
/// next peer would have to answer the hosts of both. The time for this grows with
/// the position of the host, so that a store that fails after all hosts have
/// started is tried by a few of them first.
///
/// A store that has returned from a copy may lack what running hosts know, so a host
/// then asks any of them first, those of other regions and those that would ask it
/// included, or seeds if the copy lists no host.
async fn sync_at_startup<A: Adapter>(shared: &Shared<A>, sources: &mut PeerSources) {
    let own = &shared.settings.member;
    let has_returned = shared.keys.eras().current() > Some(0);
    let tree = shared.members.borrow_mut().sources();
    let source = tree.source(own, has_returned, shared.settings.change_budget);
    let until = Instant::now() + source.startup_wait;
    if has_returned && !shared.members.borrow().has_other_than(&own.id) {
        sync_once_from_seeds(shared, sources).await;
        return;
    }
    let in_region = source
        .candidates
        .into_iter()
        .filter(|peer| has_returned || peer.region == own.region);
    for peer in in_region.take(MAX_STARTUP_PEERS) {
        while Instant::now() < until {
            let max_age = source.max_staleness;
            let request = SourceRequest {
                wait: MAX_CHANGES_WAIT,
                timeout: MAX_CHANGES_WAIT + ChangeBudget::SEARCH_TIME,
            };
            let sync = sync_from(shared, sources, peer.peer_addr, max_age, request);
            match timeout_at(until.into(), sync).await {
                Ok(Ok(PeerData::Applied)) => return,
                Ok(Ok(PeerData::None)) => sleep(STARTUP_RETRY_PAUSE).await,
                Ok(Ok(PeerData::Outdated(_)) | Err(_)) | Err(_) => break,
            }
        }
    }
}

/// Gets all keys from a seed if one answers at once.
async fn sync_once_from_seeds<A: Adapter>(shared: &Shared<A>, sources: &mut PeerSources) {
    let own = shared.settings.member.peer_addr;
    let max_age = shared.settings.change_budget.max_staleness();
    let request = SourceRequest {
        wait: Duration::ZERO,
        timeout: ChangeBudget::SEARCH_TIME,
    };
    let seeds = shared.settings.seeds.iter().filter(|seed| **seed != own);
    for seed in seeds.take(MAX_STARTUP_PEERS) {
        match require_sync_from(shared, sources, *seed, max_age, request).await {
            Ok(()) => return,
            Err(error) => log::info!(target: "fleet", "Seed not used: {error}."),
        }
    }
}

/// Waits until a peer can be asked in place of the store.
async fn wait_for_candidate<A: Adapter>(shared: &Shared<A>, sources: &mut PeerSources) {
    loop {
        sleep(PEER_CHECK_PAUSE).await;
        let tree = shared.members.borrow_mut().sources();
        let own = &shared.settings.member;
        let budget = shared.settings.change_budget;
        let (candidates, _) = sources.candidates(own, &tree, budget, Instant::now());
        if !candidates.is_empty() {
            return;
        }
    }
}

/// Gets the changes from the first candidate that has recent data; returns
/// whether there was one.
///
/// Stops when [`ChangeBudget::next_request`] says so: hosts that do not answer must
/// not keep this one from reading the store.
async fn sync_from_peers<A: Adapter>(shared: &Shared<A>, sources: &mut PeerSources) -> bool {
    let tree = shared.members.borrow_mut().sources();
    let own = &shared.settings.member;
    let budget = shared.settings.change_budget;
    let (candidates, max_age) = sources.candidates(own, &tree, budget, Instant::now());
    for (asked, peer) in candidates.into_iter().enumerate() {
        // A peer that was not asked last sends all keys at once, if it has any.
        let may_wait = sources.current == Some(peer.peer_addr) || !shared.has_store_state();
        let age = shared.store_cache.borrow().age(Instant::now());
        let Some(request) = ChangeBudget::next_request(max_age, asked, may_wait, age) else {
            return false;
        };
        match require_sync_from(shared, sources, peer.peer_addr, max_age, request).await {
            Ok(()) => return true,
            Err(error) => {
                log::info!(target: "fleet", "Host {} is not asked for a while: {error}.", peer.id);
                sources.failed_at.insert(peer.id, Instant::now());
            }
        }
    }
    false
}

/// What a peer that has answered had to offer.
enum PeerData {
    /// Its changes were applied.
    Applied,
    /// Its data is of this age, which is too old, and was not applied.
    Outdated(Duration),
    /// It has no data yet.
    None,
}

/// Gets the changes from one peer and applies them unless they are older than
/// `max_age`.
///
/// # Errors
///
/// Returns the error of the call, or [`Kind::HostLost`] if the peer does not
/// answer in time.
async fn sync_from<A: Adapter>(
    shared: &Shared<A>,
    sources: &mut PeerSources,
    peer_addr: SocketAddr,
    max_age: Duration,
    SourceRequest { wait, timeout }: SourceRequest,
) -> Result<PeerData> {
    let request = ChangesRequest {
        protocol_version: PROTOCOL_VERSION,
        epoch: sources.epoch,
        after: sources.after,
        era: shared.store_cache.borrow().era(),
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    };
    let deadline = Instant::now() + timeout;
    let fetch = peer::fetch_changes(shared, peer_addr, request, deadline);
    let reply = timeout_at(deadline.into(), fetch).await;
    let reply = reply.map_err(|_| {
        // The connection may have gone silent; the next call opens another one.
        shared.peers.borrow_mut().disconnect(peer_addr);
        Error::new(Kind::HostLost, "no answer in time")
    })??;
    shared.keys.eras().raise(reply.era);
    if reply.age_ms == u32::MAX {
        return Ok(PeerData::None);
    }
    let age = Duration::from_millis(reply.age_ms.into());
    if age > max_age {
        return Ok(PeerData::Outdated(age));
    }
    (sources.epoch, sources.after) = (reply.epoch, reply.last);
    sources.current = Some(peer_addr);
    shared.on_data_source(DataSource::Peer(peer_addr), age);
    let is_current = shared.keys.eras().current() == Some(reply.era);
    // The changes of a reply of an older era are not taken, so that they are asked for
    // once more, with all other keys.
    if apply::apply_reply(shared, reply) || !is_current {
        sources.epoch = 0;
    }
    if !is_current {
        // The host learns of the newer era from the next request.
        return Ok(PeerData::Applied);
    }
    let read_at = Instant::now().checked_sub(age);
    shared.on_store_read(read_at.unwrap_or_else(Instant::now));
    Ok(PeerData::Applied)
}

/// Gets the changes from one peer and applies them.
///
/// # Errors
///
/// Returns the errors of [`sync_from`], or [`Kind::HostLost`] if the peer has no
/// data that is recent enough.
async fn require_sync_from<A: Adapter>(
    shared: &Shared<A>,
    sources: &mut PeerSources,
    peer_addr: SocketAddr,
    max_age: Duration,
    request: SourceRequest,
) -> Result<()> {
    let detail = match sync_from(shared, sources, peer_addr, max_age, request).await? {
        PeerData::Applied => return Ok(()),
        PeerData::Outdated(age) => format!("its data is {} ms old", age.as_millis()),
        PeerData::None => "it has no data yet".to_owned(),
    };
    Err(Error::new(Kind::HostLost, detail))
}
