//! A simulated cluster of exchange states under virtual time.
//!
//! There is no network model: each message is delivered, unless a test stops
//! the host or isolates its region.

#![allow(dead_code)] // Each test uses only some of the items.

use {
    fleet::{
        message_bytes, Entry, Exchange, ExchangeChanges, Facts, GroupId, Member, Message,
        OutgoingExchange, GROUPS, ROUND_PAUSE,
    },
    rand::{rngs::StdRng, seq::SliceRandom, SeedableRng},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Maximum number of zones in a region.
const ZONES_PER_REGION: usize = 3;

const FIRST_IP: u32 = 0x0a00_0000;

/// One simulated host.
pub(crate) struct Host {
    pub(crate) state: Exchange,
    pub(crate) revision: u64,
    pub(crate) is_up: bool,
    /// Whether the host restarted since the byte counters were last reset.
    pub(crate) is_restarted: bool,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
}

/// Simulated hosts that exchange messages round by round.
pub(crate) struct Cluster {
    pub(crate) hosts: Vec<Host>,
    pub(crate) now: Instant,
    pub(crate) regions: usize,
    /// Region that cannot communicate with the others.
    pub(crate) isolated_region: Option<usize>,
    rng: StdRng,
    seed: u64,
}

pub(crate) fn addr_of(i: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(FIRST_IP + i as u32);
    SocketAddr::from((ip, 7_001))
}

pub(crate) fn member(i: usize, regions: usize) -> Member {
    let region = i % regions;
    Member {
        id: format!("host-{i:05}"),
        peer_addr: addr_of(i),
        region: format!("region-{region}"),
        zone: format!("zone-{region}-{}", i / regions % ZONES_PER_REGION),
    }
}

impl Cluster {
    /// Creates hosts that know only their seeds.
    pub(crate) fn new(count: usize, regions: usize, seed: u64) -> Self {
        let mut cluster = Self {
            hosts: Vec::new(),
            now: Instant::now(),
            regions,
            isolated_region: None,
            rng: StdRng::seed_from_u64(seed),
            seed,
        };
        for _ in 0..count {
            cluster.start_host();
        }
        let seeds: Vec<_> = (0..count).map(addr_of).collect();
        for host in &mut cluster.hosts {
            host.state.set_seeds(seeds.clone());
        }
        cluster
    }

    /// Adds every host to every table, as in a cluster that has converged.
    pub(crate) fn converge(&mut self) {
        let entries: Vec<_> = (0..self.hosts.len())
            .map(|i| Entry::new(member(i, self.regions), 1))
            .collect();
        let facts_fingerprint = Facts::default().fingerprint();
        for i in 0..self.hosts.len() {
            let other = (i + 1) % self.hosts.len();
            let message = Message {
                sender: entries[other].clone(),
                revision: 0,
                reported_revision: 0,
                is_joining: false,
                entries: entries.clone(),
                whole_groups: (0..GROUPS)
                    .filter_map(|g| GroupId::try_from(g).ok())
                    .collect(),
                facts: Vec::new(),
                facts_fingerprint,
                reports: Vec::new(),
                known: Vec::new(),
            };
            self.hosts[i].state.on_request(&message, self.now);
        }
    }

    /// Starts a host without seeds and returns its index.
    pub(crate) fn start_host(&mut self) -> usize {
        let i = self.hosts.len();
        let state = self.exchange_of(i, 1);
        self.hosts.push(Host {
            state,
            revision: 0,
            is_up: true,
            is_restarted: false,
            sent_bytes: 0,
            received_bytes: 0,
        });
        i
    }

    /// Restarts a host, which loses its state.
    pub(crate) fn restart(&mut self, i: usize, incarnation: u64) {
        let state = self.exchange_of(i, incarnation);
        self.hosts[i].state = state;
        self.hosts[i].revision = 0;
        self.hosts[i].is_up = true;
        self.hosts[i].is_restarted = true;
    }

    fn exchange_of(&self, i: usize, incarnation: u64) -> Exchange {
        let entry = Entry::new(member(i, self.regions), incarnation);
        let rng = StdRng::seed_from_u64(self.seed ^ (i as u64) << 20 ^ incarnation);
        Exchange::new(entry, rng, self.now)
    }

    /// Lets every host initiate one exchange, in random order.
    pub(crate) fn round(&mut self) {
        let mut order: Vec<_> = (0..self.hosts.len()).collect();
        order.shuffle(&mut self.rng);
        let step = ROUND_PAUSE / order.len() as u32;
        for i in order {
            self.now += step;
            if self.hosts[i].is_up {
                self.exchange(i);
            }
        }
    }

    pub(crate) fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round();
        }
    }

    /// Runs rounds until `done` returns true; returns their number, or `None`
    /// after `max_rounds`.
    pub(crate) fn rounds_until(
        &mut self,
        max_rounds: usize,
        done: impl Fn(&Self) -> bool,
    ) -> Option<usize> {
        for round in 0..=max_rounds {
            if done(self) {
                return Some(round);
            }
            self.round();
        }
        None
    }

    /// Puts a revision in force on one host, as if its watch had reported it.
    pub(crate) fn adopt(&mut self, i: usize, revision: u64) {
        let host = &mut self.hosts[i];
        if revision > host.revision {
            host.revision = revision;
            host.state.set_revision(revision, self.now);
        }
    }

    fn exchange(&mut self, i: usize) {
        let now = self.now;
        let Some(outgoing) = self.hosts[i].state.start_round(now) else {
            return;
        };
        let sent = message_bytes(&outgoing.message) as u64;
        self.hosts[i].sent_bytes += sent;
        let Some(peer) = self.reach(i, &outgoing) else {
            self.hosts[i].state.on_failure(&outgoing, now);
            return;
        };
        let (answer, learned) = self.hosts[peer].state.on_request(&outgoing.message, now);
        let answered = message_bytes(&answer) as u64;
        self.hosts[peer].received_bytes += sent;
        self.hosts[peer].sent_bytes += answered;
        self.hosts[i].received_bytes += answered;
        self.adopt_learned(peer, &learned);
        let learned = self.hosts[i].state.on_answer(&outgoing, &answer, now);
        self.adopt_learned(i, &learned);
    }

    fn adopt_learned(&mut self, i: usize, learned: &ExchangeChanges) {
        self.adopt(i, learned.revision);
    }

    fn reach(&self, i: usize, outgoing: &OutgoingExchange) -> Option<usize> {
        let SocketAddr::V4(addr) = outgoing.addr else {
            return None;
        };
        let peer = (u32::from(*addr.ip()) - FIRST_IP) as usize;
        let is_isolated = |host: usize| self.isolated_region == Some(host % self.regions);
        let is_reachable = self.hosts[peer].is_up && is_isolated(i) == is_isolated(peer);
        is_reachable.then_some(peer)
    }

    pub(crate) fn all_have_members(&self, count: usize) -> bool {
        self.running()
            .all(|host| host.state.members(self.now).len() == count)
    }

    pub(crate) fn in_force_everywhere(&self, revision: u64) -> bool {
        self.running().all(|host| host.revision >= revision)
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| host.is_up)
    }

    /// Returns the mean and the maximum over all hosts of the bytes sent and
    /// received in a second.
    pub(crate) fn bytes_per_s(&self, duration: Duration) -> (f64, f64) {
        let total = |host: &Host| (host.sent_bytes + host.received_bytes) as f64;
        let sum: f64 = self.running().map(total).sum();
        let max = self.running().map(total).fold(0.0, f64::max);
        let seconds = duration.as_secs_f64();
        (sum / self.running().count() as f64 / seconds, max / seconds)
    }

    pub(crate) fn reset_bytes(&mut self) {
        for host in &mut self.hosts {
            host.is_restarted = false;
            host.sent_bytes = 0;
            host.received_bytes = 0;
        }
    }
}
