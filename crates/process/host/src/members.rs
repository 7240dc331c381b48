//! Membership: runs the exchange with peers and publishes the resulting views.
//!
//! The platform's host list lags, so it only provides addresses at which peers
//! may be found. The exchange between hosts determines the members.

use {
    crate::{peer, relay, shared::Shared, Settings},
    fleet::{
        Entry, Exchange, ExchangeChanges, Fact, Liveness, Member, Message, OutgoingExchange,
        Progress,
    },
    parking_lot::Mutex,
    rand::{rngs::StdRng, Rng, SeedableRng},
    record::{HostId, Revision},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    store::{Platform, Role},
    tokio::{
        sync::{broadcast, watch},
        time::sleep,
    },
};

/// Shortest pause between two reads of the host list.
const MIN_LIST_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two reads, multiplied by the number of known hosts: the fleet as
/// a whole reads the list about twice a second, and the first host that sees an
/// upstream leave tells the others.
const LIST_PAUSE_PER_HOST: Duration = Duration::from_millis(500);
/// Longest pause between two reads of the host list.
const MAX_LIST_PAUSE: Duration = Duration::from_secs(30);
/// Capacity of the channel of received facts; a slower subscriber misses the
/// oldest ones.
const FACT_CHANNEL_CAPACITY: usize = 1_024;
/// Number of exchanges in which a leaving host announces that it leaves.
const LEAVE_EXCHANGES: usize = 4;

/// A snapshot of the membership as this host knows it.
#[derive(Debug)]
pub(crate) struct View {
    /// Hosts that accept requests, including this one until it drains.
    pub(crate) members: Arc<Vec<Member>>,
    /// Members that are suspected to be down, since a peer got no response.
    pub(crate) suspects: HashSet<HostId>,
}

/// A peer and the revision that it has in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct NewerPeer {
    /// Revision that the peer has in force.
    pub(crate) revision: Revision,
    /// Address of the peer.
    pub(crate) addr: SocketAddr,
}

/// Membership state of this host.
pub(crate) struct Members {
    exchange: Mutex<Exchange>,
    view: watch::Sender<Arc<View>>,
    facts: broadcast::Sender<Fact>,
    newer: watch::Sender<Option<NewerPeer>>,
}

impl Members {
    pub(crate) fn new(own: Member) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_ms = since_epoch.map_or(0, |t| t.as_millis());
        let incarnation = u64::try_from(started_ms).unwrap_or(u64::MAX);
        let members = Arc::new(vec![own.clone()]);
        let entry = Entry::new(own, incarnation);
        let exchange = Exchange::new(entry, StdRng::from_os_rng(), Instant::now());
        Self {
            exchange: Mutex::new(exchange),
            view: watch::Sender::new(Arc::new(View {
                members,
                suspects: HashSet::new(),
            })),
            facts: broadcast::Sender::new(FACT_CHANNEL_CAPACITY),
            newer: watch::Sender::new(None),
        }
    }

    /// Returns the hosts that accept requests.
    pub(crate) fn all(&self) -> Arc<Vec<Member>> {
        Arc::clone(&self.view.borrow().members)
    }

    /// Returns the current view of the membership.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Waits until the members differ from the list `members`.
    pub(crate) async fn wait_for_change(&self, members: &Arc<Vec<Member>>) {
        let mut view = self.view.subscribe();
        let is_changed = |view: &Arc<View>| !Arc::ptr_eq(&view.members, members);
        // The sender lives in `self`, so waiting cannot fail.
        let _ = view.wait_for(is_changed).await;
    }

    /// Returns on how many members a revision is in force, and which lag.
    pub(crate) fn progress(&self, revision: Revision) -> Progress {
        self.exchange.lock().progress(revision, Instant::now())
    }

    /// Spreads a fact to the fleet, and returns whether it was new to this host.
    pub(crate) fn publish_fact(&self, fact: Fact) -> bool {
        self.exchange.lock().add_fact(fact, Instant::now())
    }

    /// Subscribes to the facts received from peers.
    pub(crate) fn subscribe_to_facts(&self) -> broadcast::Receiver<Fact> {
        self.facts.subscribe()
    }

    /// Subscribes to the peer with the highest revision seen so far.
    pub(crate) fn newer_peer(&self) -> watch::Receiver<Option<NewerPeer>> {
        self.newer.subscribe()
    }

    /// Handles an exchange that a peer started, and returns the reply.
    pub(crate) fn on_request(&self, request: &Message) -> Message {
        let now = Instant::now();
        let (answer, learned) = self.exchange.lock().on_request(request, now);
        self.apply(learned, request.sender.member.peer_addr);
        answer
    }

    /// Records that a host did not answer on a fresh connection.
    pub(crate) fn on_no_response(&self, id: &HostId) {
        let is_new = self.exchange.lock().on_no_response(id, Instant::now());
        if is_new {
            log::info!(target: "members", "Host {id} does not answer.");
            self.publish();
        }
    }

    /// Announces that this host accepts no new requests.
    pub(crate) fn drain(&self) {
        self.exchange.lock().drain(Instant::now());
        self.publish();
    }

    fn apply(&self, learned: ExchangeChanges, addr: SocketAddr) {
        for fact in learned.facts {
            // Without a subscriber, facts are still kept in the exchange for peers.
            let _ = self.facts.send(fact);
        }
        if learned.members_changed {
            self.publish();
        }
        let newer = NewerPeer {
            revision: learned.revision,
            addr,
        };
        self.newer.send_if_modified(|known| {
            let is_higher = known.is_none_or(|known| known.revision <= newer.revision);
            if is_higher {
                *known = Some(newer);
            }
            is_higher && newer.revision > 0
        });
    }

    /// Publishes the current view, keeping the member list if it is unchanged.
    fn publish(&self) {
        let exchange = self.exchange.lock();
        let members = exchange.members(Instant::now());
        let suspects = exchange.table().entries();
        let suspects = suspects.filter(|e| e.standing == Liveness::Suspect);
        let suspects: HashSet<_> = suspects.map(|e| e.member.id.clone()).collect();
        let current = self.all();
        // The cache of relay sets compares the list by pointer.
        let members = if *current == members {
            current
        } else {
            Arc::new(members)
        };
        self.view.send_replace(Arc::new(View { members, suspects }));
    }
}

/// Exchanges membership and facts with one peer per round. Never returns.
pub(crate) async fn run_exchange(shared: Arc<Shared>) {
    loop {
        let pause = {
            let revision = shared.in_force().revision();
            let mut exchange = shared.members.exchange.lock();
            exchange.set_revision(revision, Instant::now());
            exchange.next_round_delay()
        };
        // Jitter desynchronizes the rounds of hosts that start together.
        sleep(jittered(pause)).await;
        exchange_once(&shared).await;
        let members = &shared.members;
        members.publish();
        let lost = members.view().suspects.len();
        shared.metrics.on_members(members.all().len(), lost);
        shared.metrics.on_in_flight(shared.life.in_flight());
    }
}

async fn exchange_once(shared: &Arc<Shared>) {
    let outgoing = shared.members.exchange.lock().start_round(Instant::now());
    if let Some(outgoing) = outgoing {
        send(shared, &outgoing).await;
    }
}

async fn send(shared: &Arc<Shared>, outgoing: &OutgoingExchange) {
    let result = peer::exchange(shared, outgoing.addr, outgoing.message.clone()).await;
    let now = Instant::now();
    match result {
        Ok(answer) => {
            let mut exchange = shared.members.exchange.lock();
            let learned = exchange.on_answer(outgoing, &answer, now);
            drop(exchange);
            shared.members.apply(learned, outgoing.addr);
        }
        Err(error) => {
            log::debug!(target: "members", "Exchange with {} failed: {error}.", outgoing.addr);
            shared.members.exchange.lock().on_failure(outgoing, now);
        }
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.8..1.2))
}

/// Announces to some peers that this host leaves.
pub(crate) async fn announce_leaving(shared: &Arc<Shared>) {
    shared.members.exchange.lock().leave(Instant::now());
    for _ in 0..LEAVE_EXCHANGES {
        exchange_once(shared).await;
    }
}

/// Reads the platform's host list periodically. Never returns.
pub(crate) async fn poll_host_list(shared: Arc<Shared>) {
    loop {
        match shared.platform.hosts().await {
            Ok(listed) => {
                relay::apply_host_list(&shared, &listed);
                let hosts = listed.iter().filter(|host| host.role == Role::Wharf);
                let seeds = hosts.map(|host| host.addr);
                set_seeds(&shared, seeds.collect());
            }
            Err(fault) => log::warn!(target: "members", "Host list not read: {fault:?}."),
        }
        let hosts = u32::try_from(shared.members.all().len()).unwrap_or(u32::MAX);
        let pause = LIST_PAUSE_PER_HOST.saturating_mul(hosts);
        sleep(jittered(pause.clamp(MIN_LIST_PAUSE, MAX_LIST_PAUSE))).await;
    }
}

fn set_seeds(shared: &Shared, mut seeds: Vec<SocketAddr>) {
    let Settings { seed_peers, .. } = &shared.settings;
    seeds.extend(seed_peers);
    shared.members.exchange.lock().set_seeds(seeds);
}

/// Sets the seeds of the settings, which are available even without the platform.
pub(crate) fn use_configured_seeds(shared: &Shared) {
    set_seeds(shared, Vec::new());
}
