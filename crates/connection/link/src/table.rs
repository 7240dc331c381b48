//! The choice of a server for a call.
//!
//! The cheaper of two random candidates is chosen, by latency times calls in
//! flight. Draining servers get nothing. Failing and shedding ones are held
//! out for a while, after which one call tries them, but never more than half of a shard's servers, because evidence against many servers
//! at once is more often a fault on the way to them. New and returned servers
//! take up load over the time of a ramp.

use {
    crate::{server::Server, DrainSign, Evidence, Stated},
    parking_lot::Mutex,
    record::{ServerAddr, Shard},
    std::{
        collections::{HashMap, HashSet},
        hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
        time::Instant,
    },
};

/// Parts of the table, each under its own lock.
const PARTS: usize = 32;
/// Servers of a shard for each one that may be held out at once.
const SERVERS_PER_HELD_OUT: usize = 2;

type Part = HashMap<ServerAddr, Server>;

/// Servers as the calls of this host have found them.
#[derive(Debug)]
pub struct ServerTable {
    parts: Vec<Mutex<Part>>,
}

/// A random number for each of the choices that one pick may make.
pub trait Chance {
    /// Returns a number from 0 up to, but without, 1.
    fn unit(&mut self) -> f64;
}

impl<F: FnMut() -> f64> Chance for F {
    fn unit(&mut self) -> f64 {
        self()
    }
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    addr: ServerAddr,
    held_out_until: Option<Instant>,
    ramp: f64,
    cost_ms: f64,
}

impl Default for ServerTable {
    fn default() -> Self {
        Self {
            parts: (0..PARTS).map(|_| Mutex::default()).collect(),
        }
    }
}

impl ServerTable {
    /// Picks a server of `shard`, leaving out those `tried` where possible.
    ///
    /// Returns `None` if every server drains.
    pub fn pick<C: Chance>(
        &self,
        shard: &Shard,
        tried: &[ServerAddr],
        chance: &mut C,
        now: Instant,
    ) -> Option<ServerAddr> {
        let candidates = self.candidates(shard, now);
        let mut usable = without_held_out(candidates, shard.servers.len());
        if usable.iter().any(|c| !tried.contains(&c.addr)) {
            usable.retain(|c| !tried.contains(&c.addr));
        }
        choose(&usable, chance)
    }

    /// Picks as [`ServerTable::pick`] does, but where calls are `waiting` for
    /// that server another one for which fewer wait.
    pub fn pick_in_turn<C: Chance>(
        &self,
        shard: &Shard,
        tried: &[ServerAddr],
        waiting: impl Fn(ServerAddr) -> usize,
        chance: &mut C,
        now: Instant,
    ) -> Option<ServerAddr> {
        let first = self.pick(shard, tried, chance, now)?;
        let before_first = waiting(first);
        if before_first == 0 {
            return Some(first);
        }
        let mut avoided = tried.to_vec();
        avoided.push(first);
        self.pick(shard, &avoided, chance, now)
            .filter(|server| !avoided.contains(server) && waiting(*server) < before_first)
            .or(Some(first))
    }

    /// Returns whether every server of `shard` drains.
    pub fn all_drain(&self, shard: &Shard, now: Instant) -> bool {
        self.candidates(shard, now).is_empty()
    }

    /// Returns whether a server of `shard` shed a moment ago.
    pub fn is_shedding(&self, shard: &Shard, now: Instant) -> bool {
        let mut servers = shard.servers.iter();
        servers.any(|server| self.with(server.addr, now, |state| state.is_shedding(now)))
    }

    /// Returns whether a call to `server` only tests if it works again, while
    /// another server of `shard` works.
    pub fn is_test(&self, shard: &Shard, server: ServerAddr, now: Instant) -> bool {
        let is_on_trial = |addr| self.with(addr, now, |state| state.is_on_trial());
        let works = |addr| self.with(addr, now, |state| state.works(now));
        let mut others = shard.servers.iter().filter(|other| other.addr != server);
        is_on_trial(server) && others.any(|other| works(other.addr))
    }

    /// Takes the begin of a call.
    pub fn on_begin(&self, addr: ServerAddr, now: Instant) {
        self.with(addr, now, Server::on_begin);
    }

    /// Takes the end of a call; `jitter` from 0 to 1 spreads pauses.
    pub fn on_end(&self, addr: ServerAddr, evidence: Evidence, jitter: f64, now: Instant) {
        self.with(addr, now, |server| server.on_end(evidence, jitter, now));
    }

    /// Takes what a server said about itself.
    pub fn on_stated(&self, addr: ServerAddr, stated: Stated, now: Instant) {
        self.with(addr, now, |server| server.on_stated(stated, now));
    }

    /// Takes a sign that a server drains, and returns whether it is the first.
    pub fn on_drain(&self, addr: ServerAddr, sign: DrainSign, now: Instant) -> bool {
        self.with(addr, now, |server| {
            let is_first = !server.is_draining(now);
            server.on_drain(sign, now);
            is_first
        })
    }

    /// Takes the list's word that a server is not leaving.
    pub fn on_listed_as_staying(&self, addr: ServerAddr, now: Instant) {
        // A server that no call has gone to needs no entry for this.
        if let Some(server) = self.part(addr).lock().get_mut(&addr) {
            server.on_listed_as_staying(now);
        }
    }

    /// Returns the servers that drain, for peers.
    pub fn draining(&self, now: Instant) -> Vec<ServerAddr> {
        let mut draining = Vec::new();
        for part in &self.parts {
            let part = part.lock();
            let found = part.iter().filter(|(_, server)| server.is_draining(now));
            draining.extend(found.map(|(addr, _)| *addr));
        }
        draining
    }

    /// Evicts the servers that are in no record any more.
    pub fn retain(&self, in_use: &HashSet<ServerAddr>) {
        for part in &self.parts {
            part.lock().retain(|addr, _| in_use.contains(addr));
        }
    }

    /// Returns the number of servers known.
    pub fn len(&self) -> usize {
        self.parts.iter().map(|part| part.lock().len()).sum()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn candidates(&self, shard: &Shard, now: Instant) -> Vec<Candidate> {
        let mut candidates = Vec::with_capacity(shard.servers.len());
        for server in &shard.servers {
            let candidate = self.with(server.addr, now, |state| {
                (!state.is_draining(now)).then(|| Candidate {
                    addr: server.addr,
                    held_out_until: state.held_out_until(now),
                    ramp: state.ramp(now),
                    cost_ms: state.cost_ms(now),
                })
            });
            candidates.extend(candidate);
        }
        candidates
    }

    fn with<T>(&self, addr: ServerAddr, now: Instant, f: impl FnOnce(&mut Server) -> T) -> T {
        let mut part = self.part(addr).lock();
        f(part.entry(addr).or_insert_with(|| Server::new(now)))
    }

    fn part(&self, addr: ServerAddr) -> &Mutex<Part> {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(addr);
        // The remainder is below the number of parts, so it fits.
        &self.parts[(hash % PARTS as u64) as usize]
    }
}

/// Drops held-out candidates, but no more than the stated share of a shard's servers.
fn without_held_out(mut candidates: Vec<Candidate>, servers: usize) -> Vec<Candidate> {
    let most = servers / SERVERS_PER_HELD_OUT;
    // Those whose time is up last stay out, if not all may.
    candidates.sort_by_key(|candidate| candidate.held_out_until);
    let held_out = candidates
        .iter()
        .filter(|candidate| candidate.held_out_until.is_some())
        .count();
    // A shard whose other servers drain has to make do with the held-out ones.
    let dropped = held_out.min(most).min(candidates.len().saturating_sub(1));
    candidates.truncate(candidates.len() - dropped);
    candidates
}

fn choose<C: Chance>(usable: &[Candidate], chance: &mut C) -> Option<ServerAddr> {
    let settled = usable
        .iter()
        .map(|candidate| candidate.ramp)
        .fold(0.0, f64::max);
    // The ramp is relative: servers that are all new share the load at once.
    let warm: Vec<_> = usable
        .iter()
        .filter(|candidate| chance.unit() * settled < candidate.ramp)
        .collect();
    if warm.len() < 2 {
        let only = warm.first().copied();
        return only.or_else(|| usable.first()).map(|c| c.addr);
    }
    let first = index_of(chance.unit(), warm.len());
    let step = 1 + index_of(chance.unit(), warm.len() - 1);
    let second = (first + step) % warm.len();
    let (a, b) = (warm[first], warm[second]);
    Some(if b.cost_ms < a.cost_ms {
        b.addr
    } else {
        a.addr
    })
}

fn index_of(unit: f64, len: usize) -> usize {
    ((unit * len as f64) as usize).min(len - 1)
}
