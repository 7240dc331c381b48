//! Load balancing: the choice of a server for a call.
//!
//! Two random candidates are compared, and the one with the lower cost, latency
//! times calls in flight, is chosen. Draining servers get no calls. Failing and
//! shedding servers are ejected for a while, after which a single call probes
//! them. At most half of a shard's servers are ejected at a time, because when
//! many servers look bad at once, the fault is more often on the network path to
//! them. The load on new and returning servers rises over a slow-start window.

use {
    crate::{server::Server, DrainSign, Evidence, ServerReport},
    parking_lot::Mutex,
    record::{ServerAddr, Shard},
    std::{
        collections::{HashMap, HashSet},
        hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
        time::Instant,
    },
};

/// Number of stripes of the table, each under its own lock.
const STRIPES: usize = 32;
/// One in this many of a shard's servers, rounded down, may be ejected at once.
const SERVERS_PER_EJECTION: usize = 2;

type Stripe = HashMap<ServerAddr, Server>;

/// The state of each server, as seen by the calls of this host.
#[derive(Debug)]
pub struct ServerTable {
    stripes: Vec<Mutex<Stripe>>,
}

/// A source of uniformly distributed random numbers.
///
/// One pick may draw several numbers.
pub trait RandomSource {
    /// Returns a random number in the range from 0 (inclusive) to 1 (exclusive).
    fn next_unit(&mut self) -> f64;
}

impl<F: FnMut() -> f64> RandomSource for F {
    fn next_unit(&mut self) -> f64 {
        self()
    }
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    addr: ServerAddr,
    ejected_until: Option<Instant>,
    slow_start_weight: f64,
    cost_ms: f64,
}

impl Default for ServerTable {
    fn default() -> Self {
        Self {
            stripes: (0..STRIPES).map(|_| Mutex::default()).collect(),
        }
    }
}

impl ServerTable {
    /// Picks a server of `shard`, avoiding those in `tried` where possible.
    ///
    /// Returns `None` if every server is draining.
    pub fn pick<R: RandomSource>(
        &self,
        shard: &Shard,
        tried: &[ServerAddr],
        random: &mut R,
        now: Instant,
    ) -> Option<ServerAddr> {
        let candidates = self.candidates(shard, now);
        let mut usable = without_ejected(candidates, shard.servers.len());
        if usable.iter().any(|c| !tried.contains(&c.addr)) {
            usable.retain(|c| !tried.contains(&c.addr));
        }
        choose(&usable, random)
    }

    /// Picks like [`ServerTable::pick`], but if calls are already waiting for that
    /// server, prefers another one with fewer of them.
    ///
    /// `waiting_calls` returns the number of calls that wait for a server.
    pub fn pick_avoiding_queue<R: RandomSource>(
        &self,
        shard: &Shard,
        tried: &[ServerAddr],
        waiting_calls: impl Fn(ServerAddr) -> usize,
        random: &mut R,
        now: Instant,
    ) -> Option<ServerAddr> {
        let first = self.pick(shard, tried, random, now)?;
        let waiting_for_first = waiting_calls(first);
        if waiting_for_first == 0 {
            return Some(first);
        }
        let mut avoided = tried.to_vec();
        avoided.push(first);
        self.pick(shard, &avoided, random, now)
            .filter(|server| {
                !avoided.contains(server) && waiting_calls(*server) < waiting_for_first
            })
            .or(Some(first))
    }

    /// Returns whether every server of `shard` is draining.
    pub fn all_drain(&self, shard: &Shard, now: Instant) -> bool {
        self.candidates(shard, now).is_empty()
    }

    /// Returns whether any server of `shard` is ejected because it shed a call.
    pub fn is_shedding(&self, shard: &Shard, now: Instant) -> bool {
        let mut servers = shard.servers.iter();
        servers.any(|server| self.with(server.addr, now, |state| state.is_shedding(now)))
    }

    /// Returns whether a call to `server` is a recovery probe that another, healthy
    /// server of `shard` could have answered.
    pub fn is_recovery_probe(&self, shard: &Shard, server: ServerAddr, now: Instant) -> bool {
        let awaits_recovery = |addr| self.with(addr, now, |state| state.awaits_recovery());
        let is_healthy = |addr| self.with(addr, now, |state| state.is_healthy(now));
        let mut others = shard.servers.iter().filter(|other| other.addr != server);
        awaits_recovery(server) && others.any(|other| is_healthy(other.addr))
    }

    /// Records the start of a call.
    pub fn on_begin(&self, addr: ServerAddr, now: Instant) {
        self.with(addr, now, Server::on_call_start);
    }

    /// Records the end of a call.
    ///
    /// `jitter`, from 0 to 1, randomizes the length of pauses.
    pub fn on_end(&self, addr: ServerAddr, evidence: Evidence, jitter: f64, now: Instant) {
        self.with(addr, now, |server| {
            server.on_call_end(evidence, jitter, now)
        });
    }

    /// Returns how many calls this host may have in flight to a server whose
    /// configured limit is `configured`.
    pub fn call_limit(&self, addr: ServerAddr, configured: usize, now: Instant) -> usize {
        self.with(addr, now, |server| {
            server.call_limit.effective(configured, now)
        })
    }

    /// Records what a server reported about itself.
    pub fn on_report(&self, addr: ServerAddr, report: ServerReport, now: Instant) {
        self.with(addr, now, |server| server.on_report(report, now));
    }

    /// Records that a server is draining, and returns whether this is news.
    pub fn on_drain(&self, addr: ServerAddr, source: DrainSign, now: Instant) -> bool {
        self.with(addr, now, |server| {
            let is_news = !server.is_draining(now);
            server.on_drain(source, now);
            is_news
        })
    }

    /// Records that the platform's list does not show a server as leaving.
    pub fn on_listed_as_active(&self, addr: ServerAddr, now: Instant) {
        // Creates no entry for a server that has not been called yet.
        if let Some(server) = self.stripe(addr).lock().get_mut(&addr) {
            server.on_listed_as_active(now);
        }
    }

    /// Returns the draining servers, which peers need to know.
    pub fn draining_servers(&self, now: Instant) -> Vec<ServerAddr> {
        let mut draining = Vec::new();
        for stripe in &self.stripes {
            let stripe = stripe.lock();
            let found = stripe.iter().filter(|(_, server)| server.is_draining(now));
            draining.extend(found.map(|(addr, _)| *addr));
        }
        draining
    }

    /// Returns the number of servers whose call limit is below the configured one.
    pub fn limited_count(&self, now: Instant) -> usize {
        let count = |stripe: &Mutex<Stripe>| {
            let stripe = stripe.lock();
            stripe
                .values()
                .filter(|server| server.call_limit.is_reduced(now))
                .count()
        };
        self.stripes.iter().map(count).sum()
    }

    /// Evicts the servers that no record refers to any more.
    pub fn retain(&self, in_use: &HashSet<ServerAddr>) {
        for stripe in &self.stripes {
            stripe.lock().retain(|addr, _| in_use.contains(addr));
        }
    }

    /// Returns the number of servers in the table.
    pub fn len(&self) -> usize {
        self.stripes.iter().map(|stripe| stripe.lock().len()).sum()
    }

    /// Returns whether the table holds no servers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the servers of `shard` that are not draining.
    fn candidates(&self, shard: &Shard, now: Instant) -> Vec<Candidate> {
        let mut candidates = Vec::with_capacity(shard.servers.len());
        for server in &shard.servers {
            let candidate = self.with(server.addr, now, |state| {
                (!state.is_draining(now)).then(|| Candidate {
                    addr: server.addr,
                    ejected_until: state.ejected_until(now),
                    slow_start_weight: state.slow_start_weight(now),
                    cost_ms: state.cost_ms(now),
                })
            });
            candidates.extend(candidate);
        }
        candidates
    }

    /// Calls `f` with the state of a server, which is created if it is missing.
    fn with<T>(&self, addr: ServerAddr, now: Instant, f: impl FnOnce(&mut Server) -> T) -> T {
        let mut stripe = self.stripe(addr).lock();
        f(stripe.entry(addr).or_insert_with(|| Server::new(now)))
    }

    fn stripe(&self, addr: ServerAddr) -> &Mutex<Stripe> {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(addr);
        // The cast is lossless, as the remainder is less than `STRIPES`.
        &self.stripes[(hash % STRIPES as u64) as usize]
    }
}

/// Removes the ejected candidates, but at most the permitted part of a shard's servers.
fn without_ejected(mut candidates: Vec<Candidate>, server_count: usize) -> Vec<Candidate> {
    let max_ejected = server_count / SERVERS_PER_EJECTION;
    // Sorts the latest ends of ejections to the back, where candidates are removed first.
    candidates.sort_by_key(|candidate| candidate.ejected_until);
    let ejected = candidates
        .iter()
        .filter(|candidate| candidate.ejected_until.is_some())
        .count();
    // Keeps at least one candidate, even an ejected one if all other servers are draining.
    let removed = ejected
        .min(max_ejected)
        .min(candidates.len().saturating_sub(1));
    candidates.truncate(candidates.len() - removed);
    candidates
}

fn choose<R: RandomSource>(usable: &[Candidate], random: &mut R) -> Option<ServerAddr> {
    let max_weight = usable
        .iter()
        .map(|candidate| candidate.slow_start_weight)
        .fold(0.0, f64::max);
    // Weights are relative to the largest, so servers that are all new share the
    // full load at once.
    let eligible: Vec<_> = usable
        .iter()
        .filter(|candidate| random.next_unit() * max_weight < candidate.slow_start_weight)
        .collect();
    if eligible.len() < 2 {
        let only = eligible.first().copied();
        return only.or_else(|| usable.first()).map(|c| c.addr);
    }
    let first = random_index(random.next_unit(), eligible.len());
    let offset = 1 + random_index(random.next_unit(), eligible.len() - 1);
    let second = (first + offset) % eligible.len();
    let (a, b) = (eligible[first], eligible[second]);
    Some(if b.cost_ms < a.cost_ms {
        b.addr
    } else {
        a.addr
    })
}

/// Maps a number from 0 to 1 to an index below `len`.
fn random_index(unit: f64, len: usize) -> usize {
    ((unit * len as f64) as usize).min(len - 1)
}
