//! Membership: runs the exchange with peers and publishes what it knows.
//!
//! The platform's list of hosts lags, so it only gives addresses at which
//! peers may be found; who is a member is what the hosts tell each other.

use {
    crate::{peer, relay, shared::Shared, Settings},
    fleet::{Entry, Exchange, Fact, Learned, Member, Message, Outgoing, Progress, Standing},
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

/// Shortest pause between two reads of the list.
const MIN_LIST_PAUSE: Duration = Duration::from_secs(1);
/// Pause for each known host, so that some host reads the list twice a second
/// and tells the others which upstreams leave.
const LIST_PAUSE_PER_HOST: Duration = Duration::from_millis(500);
/// Longest pause between two reads of the list.
const MAX_LIST_PAUSE: Duration = Duration::from_secs(30);
/// Facts that wait for a part of the host that is slow to take them.
const FACT_BACKLOG: usize = 1_024;
/// Exchanges by which a host that leaves says so.
const FAREWELLS: usize = 4;

/// What a host knows of the fleet at one moment.
#[derive(Debug)]
pub(crate) struct View {
    /// Hosts that take work, this one included.
    pub(crate) members: Arc<Vec<Member>>,
    /// Members that a peer got no answer from.
    pub(crate) suspects: HashSet<HostId>,
}

/// A peer that has a higher revision in force than this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Newer {
    /// Revision that the peer has in force.
    pub(crate) revision: Revision,
    /// Address of the peer.
    pub(crate) addr: SocketAddr,
}

/// The hosts known to this one, itself included.
pub(crate) struct Members {
    exchange: Mutex<Exchange>,
    view: watch::Sender<Arc<View>>,
    facts: broadcast::Sender<Fact>,
    newer: watch::Sender<Option<Newer>>,
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
            facts: broadcast::Sender::new(FACT_BACKLOG),
            newer: watch::Sender::new(None),
        }
    }

    /// Returns the hosts that take work.
    pub(crate) fn all(&self) -> Arc<Vec<Member>> {
        Arc::clone(&self.view.borrow().members)
    }

    /// Returns what is known at this moment.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Waits until other hosts than `members` take work.
    pub(crate) async fn changed_from(&self, members: &Arc<Vec<Member>>) {
        let mut view = self.view.subscribe();
        let is_changed = |view: &Arc<View>| !Arc::ptr_eq(&view.members, members);
        // The sender lives in `self`, so waiting cannot fail.
        let _ = view.wait_for(is_changed).await;
    }

    /// Returns how far a revision has come.
    pub(crate) fn progress(&self, revision: Revision) -> Progress {
        self.exchange.lock().progress(revision, Instant::now())
    }

    /// Tells the fleet a fact; returns whether it was news here.
    pub(crate) fn tell(&self, fact: Fact) -> bool {
        self.exchange.lock().tell(fact, Instant::now())
    }

    /// Returns the facts that peers tell from now on.
    pub(crate) fn told_facts(&self) -> broadcast::Receiver<Fact> {
        self.facts.subscribe()
    }

    /// Returns the peers that turn out to have a higher revision in force.
    pub(crate) fn newer(&self) -> watch::Receiver<Option<Newer>> {
        self.newer.subscribe()
    }

    /// Takes what a peer tells and returns the answer.
    pub(crate) fn on_request(&self, request: &Message) -> Message {
        let now = Instant::now();
        let (answer, learned) = self.exchange.lock().on_request(request, now);
        self.learn(learned, request.sender.member.peer_addr);
        answer
    }

    /// Notes that a host gave no answer on a fresh connection.
    pub(crate) fn on_silence(&self, id: &HostId) {
        let is_news = self.exchange.lock().on_silence(id, Instant::now());
        if is_news {
            log::info!(target: "members", "Host {id} does not answer.");
            self.publish();
        }
    }

    /// Tells peers that this host takes no new work.
    pub(crate) fn drain(&self) {
        self.exchange.lock().drain(Instant::now());
        self.publish();
    }

    fn learn(&self, learned: Learned, addr: SocketAddr) {
        for fact in learned.facts {
            // A host without a part that listens keeps facts for its peers.
            let _ = self.facts.send(fact);
        }
        if learned.members_changed {
            self.publish();
        }
        let newer = Newer {
            revision: learned.revision,
            addr,
        };
        self.newer.send_if_modified(|held| {
            let is_higher = held.is_none_or(|held| held.revision <= newer.revision);
            if is_higher {
                *held = Some(newer);
            }
            is_higher && newer.revision > 0
        });
    }

    /// Publishes the members if they have changed.
    fn publish(&self) {
        let exchange = self.exchange.lock();
        let members = exchange.members(Instant::now());
        let suspects = exchange.table().entries();
        let suspects = suspects.filter(|e| e.standing == Standing::Suspect);
        let suspects: HashSet<_> = suspects.map(|e| e.member.id.clone()).collect();
        let held = self.all();
        // Relay sets are cached by the list, so an unchanged one stays the same.
        let members = if *held == members {
            held
        } else {
            Arc::new(members)
        };
        self.view.send_replace(Arc::new(View { members, suspects }));
    }
}

/// Exchanges news with a peer once a round, for as long as the process lives.
pub(crate) async fn run_exchange(shared: Arc<Shared>) {
    loop {
        let pause = {
            let revision = shared.in_force().revision();
            let mut exchange = shared.members.exchange.lock();
            exchange.set_revision(revision, Instant::now());
            exchange.pause()
        };
        // Rounds of many hosts that start together must not stay together.
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
    let outgoing = shared.members.exchange.lock().begin(Instant::now());
    if let Some(outgoing) = outgoing {
        send(shared, &outgoing).await;
    }
}

async fn send(shared: &Arc<Shared>, outgoing: &Outgoing) {
    let result = peer::exchange(shared, outgoing.addr, outgoing.message.clone()).await;
    let now = Instant::now();
    match result {
        Ok(answer) => {
            let mut exchange = shared.members.exchange.lock();
            let learned = exchange.on_answer(outgoing, &answer, now);
            drop(exchange);
            shared.members.learn(learned, outgoing.addr);
        }
        Err(error) => {
            log::debug!(target: "members", "No exchange with {}: {error}.", outgoing.addr);
            shared.members.exchange.lock().on_failure(outgoing, now);
        }
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.8..1.2))
}

/// Tells some peers that this host leaves for good.
pub(crate) async fn leave(shared: &Arc<Shared>) {
    shared.members.exchange.lock().leave(Instant::now());
    for _ in 0..FAREWELLS {
        exchange_once(shared).await;
    }
}

/// Reads the platform's list for as long as the process lives.
pub(crate) async fn follow_list(shared: Arc<Shared>) {
    loop {
        match shared.platform.hosts().await {
            Ok(listed) => {
                relay::on_list(&shared, &listed);
                let hosts = listed.iter().filter(|host| host.role == Role::Wharf);
                let seeds = hosts.map(|host| host.addr);
                set_seeds(&shared, seeds.collect());
            }
            Err(fault) => log::warn!(target: "members", "List not read: {fault:?}."),
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

/// Begins with the seeds of the settings, which are there when the platform is not.
pub(crate) fn begin_with_seeds(shared: &Shared) {
    set_seeds(shared, Vec::new());
}
