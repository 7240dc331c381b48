//! Many hosts' exchange states under passed-in time, with exact delivery.
//!
//! No network is modelled: a message arrives or, where the test says so, does not.

#![allow(dead_code)] // Each test uses a part of it.

use {
    fleet::{
        message_bytes, Entry, Exchange, Facts, GroupId, Learned, Member, Message, Outgoing, GROUPS,
        ROUND_PAUSE,
    },
    rand::{rngs::StdRng, seq::SliceRandom, SeedableRng},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Hosts of a region are spread over this many zones at most.
const ZONES_PER_REGION: usize = 3;

const FIRST_IP: u32 = 0x0a00_0000;

/// One host of the net.
pub(crate) struct Host {
    pub(crate) state: Exchange,
    pub(crate) revision: u64,
    pub(crate) is_up: bool,
    /// Whether the host restarted since the bytes were last reset.
    pub(crate) is_started: bool,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
}

/// Hosts that exchange news round by round.
pub(crate) struct Net {
    pub(crate) hosts: Vec<Host>,
    pub(crate) now: Instant,
    pub(crate) regions: usize,
    /// Region that is cut off from all others.
    pub(crate) cut: Option<usize>,
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

impl Net {
    /// Creates hosts that know their seeds only.
    pub(crate) fn new(count: usize, regions: usize, seed: u64) -> Self {
        let mut net = Self {
            hosts: Vec::new(),
            now: Instant::now(),
            regions,
            cut: None,
            rng: StdRng::seed_from_u64(seed),
            seed,
        };
        for _ in 0..count {
            net.start_host();
        }
        let seeds: Vec<_> = (0..count).map(addr_of).collect();
        for host in &mut net.hosts {
            host.state.set_seeds(seeds.clone());
        }
        net
    }

    /// Lets every host know every other, as in a fleet that has run for long.
    pub(crate) fn settle(&mut self) {
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

    /// Starts a host without seeds and returns its number.
    pub(crate) fn start_host(&mut self) -> usize {
        let i = self.hosts.len();
        let state = self.state_of(i, 1);
        self.hosts.push(Host {
            state,
            revision: 0,
            is_up: true,
            is_started: false,
            sent_bytes: 0,
            received_bytes: 0,
        });
        i
    }

    /// Replaces the process of a host; it forgets everything.
    pub(crate) fn restart(&mut self, i: usize, incarnation: u64) {
        let state = self.state_of(i, incarnation);
        self.hosts[i].state = state;
        self.hosts[i].revision = 0;
        self.hosts[i].is_up = true;
        self.hosts[i].is_started = true;
    }

    fn state_of(&self, i: usize, incarnation: u64) -> Exchange {
        let entry = Entry::new(member(i, self.regions), incarnation);
        let rng = StdRng::seed_from_u64(self.seed ^ (i as u64) << 20 ^ incarnation);
        Exchange::new(entry, rng, self.now)
    }

    /// Lets every host begin one exchange, in random order.
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

    /// Runs rounds until `done` holds; returns their number, `None` if it never does.
    pub(crate) fn rounds_until(
        &mut self,
        most: usize,
        done: impl Fn(&Self) -> bool,
    ) -> Option<usize> {
        for round in 0..=most {
            if done(self) {
                return Some(round);
            }
            self.round();
        }
        None
    }

    /// Adopts a revision on one host, as if its watch had brought it.
    pub(crate) fn adopt(&mut self, i: usize, revision: u64) {
        let host = &mut self.hosts[i];
        if revision > host.revision {
            host.revision = revision;
            host.state.set_revision(revision, self.now);
        }
    }

    fn exchange(&mut self, i: usize) {
        let now = self.now;
        let Some(outgoing) = self.hosts[i].state.begin(now) else {
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
        self.learn(peer, &learned);
        let learned = self.hosts[i].state.on_answer(&outgoing, &answer, now);
        self.learn(i, &learned);
    }

    fn learn(&mut self, i: usize, learned: &Learned) {
        self.adopt(i, learned.revision);
    }

    fn reach(&self, i: usize, outgoing: &Outgoing) -> Option<usize> {
        let SocketAddr::V4(addr) = outgoing.addr else {
            return None;
        };
        let peer = (u32::from(*addr.ip()) - FIRST_IP) as usize;
        let is_cut = |host: usize| self.cut == Some(host % self.regions);
        let is_reached = self.hosts[peer].is_up && is_cut(i) == is_cut(peer);
        is_reached.then_some(peer)
    }

    pub(crate) fn everyone_knows(&self, count: usize) -> bool {
        self.up()
            .all(|host| host.state.members(self.now).len() == count)
    }

    pub(crate) fn in_force_everywhere(&self, revision: u64) -> bool {
        self.up().all(|host| host.revision >= revision)
    }

    pub(crate) fn up(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| host.is_up)
    }

    /// Returns the bytes sent and received by a host in a second, on average and at most.
    pub(crate) fn bytes_per_s(&self, over: Duration) -> (f64, f64) {
        let total = |host: &Host| (host.sent_bytes + host.received_bytes) as f64;
        let sum: f64 = self.up().map(total).sum();
        let most = self.up().map(total).fold(0.0, f64::max);
        let seconds = over.as_secs_f64();
        (sum / self.up().count() as f64 / seconds, most / seconds)
    }

    pub(crate) fn reset_bytes(&mut self) {
        for host in &mut self.hosts {
            host.is_started = false;
            host.sent_bytes = 0;
            host.received_bytes = 0;
        }
    }
}
