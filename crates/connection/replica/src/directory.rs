//! All servers that are known, and the choice among those of a service.

use {
    crate::{
        forecast, server::Server, Distance, Entry, Place, ReplicaKey, ServerId, Standing,
        StatedLoad,
    },
    link::Evidence,
    rand::Rng,
    routing::ServiceName,
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Time for which a server that leaves is still called where its service has
/// no other one. Discovery lags by a second, and the platform's shortest
/// drain is 3 s.
const LAST_RESORT: Duration = Duration::from_millis(1_500);
/// Spread of the random factor on forecasts, so that hosts that know the same
/// do not all pick the same server.
const JITTER: f64 = 0.1;

/// What an entry from discovery meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// A server, or a new incarnation of one, that was not known.
    New,
    /// A known server changed its standing.
    Changed,
    /// Nothing that matters.
    Same,
}

/// What a call needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Want {
    /// Usual time of the request at a server, in milliseconds.
    pub typical_ms: f64,
    /// How well a failure can be made good: 1 if several retries are left, 0 if none is.
    pub reserve: f64,
}

/// A server for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The server.
    pub key: ReplicaKey,
    /// Time to its answer.
    pub expected: Duration,
    /// Whether it has a free slot, as far as is known.
    pub is_free: bool,
    /// How far away it is.
    pub distance: Distance,
}

/// All servers that are known.
#[derive(Debug, Default)]
pub struct Replicas {
    place: Place,
    servers: HashMap<ReplicaKey, Server>,
    by_id: HashMap<ServerId, ReplicaKey>,
    by_service: HashMap<ServiceName, Vec<ReplicaKey>>,
    last_key: ReplicaKey,
}

impl Replicas {
    /// Creates an empty directory for a host at `place`.
    pub fn new(place: Place) -> Self {
        Self {
            place,
            ..Self::default()
        }
    }

    /// Takes what discovery says of one server.
    pub fn learn(&mut self, entry: Entry, now: Instant) -> Arrival {
        if let Some(key) = self.by_id.get(&entry.id).copied() {
            if let Some(known) = self.servers.get_mut(&key) {
                if known.entry.is_same_life(&entry) {
                    return update(known, entry, now);
                }
            }
            self.forget(key);
        }
        self.last_key += 1;
        let key = self.last_key;
        self.by_id.insert(entry.id.clone(), key);
        let of_service = self.by_service.entry(entry.service.clone());
        of_service.or_default().push(key);
        let distance = self.place.distance(&entry.zone);
        let mut server = Server::new(entry, distance, now);
        if server.entry.standing == Standing::Draining {
            server.leaving_since = Some(now);
        }
        self.servers.insert(key, server);
        Arrival::New
    }

    /// Takes the news that discovery lists a server no more, and returns whether it was known.
    ///
    /// The server is kept as a last resort: entries also lapse while the store
    /// is away, and come back.
    pub fn unlist(&mut self, id: &str, now: Instant) -> bool {
        let server = self.by_id.get(id).and_then(|key| self.servers.get_mut(key));
        let Some(server) = server else {
            return false;
        };
        server.is_listed = false;
        server.leaving_since.get_or_insert(now);
        true
    }

    /// Takes the full list of discovery: what is not on it leaves.
    pub fn unlist_all_but(&mut self, listed: &HashSet<ServerId>, now: Instant) -> usize {
        let gone = self.by_id.keys().filter(|id| !listed.contains(*id));
        let gone: Vec<ServerId> = gone.cloned().collect();
        for id in &gone {
            self.unlist(id, now);
        }
        gone.len()
    }

    /// Forgets servers that left long ago, and returns their keys.
    pub fn take_gone(&mut self, now: Instant) -> Vec<ReplicaKey> {
        let gone = self.servers.iter().filter(|(_, server)| {
            let since = server.leaving_since;
            let is_over = |since| now.saturating_duration_since(since) >= LAST_RESORT;
            !server.is_listed && since.is_some_and(is_over)
        });
        let gone: Vec<ReplicaKey> = gone.map(|(key, _)| *key).collect();
        for key in &gone {
            self.forget(*key);
        }
        gone
    }

    /// Takes the proof that another server has the address of this one.
    pub fn on_moved(&mut self, key: ReplicaKey) {
        self.forget(key);
    }

    fn forget(&mut self, key: ReplicaKey) {
        let Some(server) = self.servers.remove(&key) else {
            return;
        };
        if self.by_id.get(&server.entry.id) == Some(&key) {
            self.by_id.remove(&server.entry.id);
        }
        if let Some(keys) = self.by_service.get_mut(&server.entry.service) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_service.remove(&server.entry.service);
            }
        }
    }

    /// Returns the entry of a server.
    pub fn entry(&self, key: ReplicaKey) -> Option<&Entry> {
        self.servers.get(&key).map(|server| &server.entry)
    }

    /// Returns the keys of the servers of a service that take new work.
    pub fn ready(&self, service: &ServiceName) -> Vec<ReplicaKey> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter(|key| self.is_ready(**key)).copied().collect()
    }

    /// Returns the number of servers known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn is_ready(&self, key: ReplicaKey) -> bool {
        self.servers
            .get(&key)
            .is_some_and(|server| server.leaving_since.is_none())
    }

    /// Picks the server of `service` whose answer to a request is expected first.
    ///
    /// Servers in `tried` are left out. Servers that fail are taken if no
    /// sound one is left, and those that leave a moment ago after these.
    pub fn pick(
        &self,
        service: &ServiceName,
        tried: &[ReplicaKey],
        want: Want,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let keys = self.by_service.get(service)?;
        let mut best: Option<(u8, f64, Pick)> = None;
        for key in keys.iter().filter(|key| !tried.contains(key)) {
            let server = &self.servers[key];
            let Some(class) = class(server, now) else {
                continue;
            };
            let expected = forecast::expected(server, want.typical_ms, now);
            let jitter = 1.0 + JITTER * rng.random::<f64>();
            let cost = (expected + forecast::handicap(server, want.reserve)).as_secs_f64() * jitter;
            if best.is_none_or(|(c, known, _)| (class, cost) < (c, known)) {
                let pick = Pick {
                    key: *key,
                    expected,
                    is_free: forecast::is_free(server, now),
                    distance: server.distance,
                };
                best = Some((class, cost, pick));
            }
        }
        best.map(|(_, _, pick)| pick)
    }

    /// Returns by how much the next answer of `service` is later than that of an idle server.
    ///
    /// The way there is left out, so that the delay means the same on every host.
    pub fn delay(&self, service: &ServiceName, typical_ms: f64, now: Instant) -> Option<Duration> {
        let keys = self.by_service.get(service)?;
        let servers = keys.iter().map(|key| &self.servers[key]);
        let pickable = servers.filter(|server| class(server, now).is_some_and(|class| class == 0));
        let delays = pickable.map(|server| {
            let answered_in = forecast::expected(server, typical_ms, now) - server.round_trip();
            answered_in.saturating_sub(Duration::from_secs_f64(typical_ms / 1_000.0))
        });
        delays.min()
    }

    /// Returns whether all slots of a server are taken, as far as is known.
    pub fn is_full(&self, key: ReplicaKey, now: Instant) -> bool {
        let server = self.servers.get(&key);
        server.is_some_and(|server| !forecast::has_slot(server, now))
    }

    /// Takes the begin of a call.
    pub fn on_begin(&mut self, key: ReplicaKey, call: u64, expected: Duration, now: Instant) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.on_begin(call, expected, now);
        }
    }

    /// Takes the end of a call, and returns how long the server itself took if it replied.
    pub fn on_end(
        &mut self,
        key: ReplicaKey,
        call: u64,
        evidence: Evidence,
        typical_ms: f64,
        now: Instant,
    ) -> Option<Duration> {
        let server = self.servers.get_mut(&key)?;
        server.on_end(call, evidence, typical_ms, now)
    }

    /// Takes the time that opening a connection to a server took.
    pub fn on_opened(&mut self, key: ReplicaKey, took: Duration) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.on_opened(took);
        }
    }

    /// Takes the load that a server states about itself.
    pub fn on_load(&mut self, key: ReplicaKey, stated: StatedLoad, now: Instant) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.on_load(stated, now);
        }
    }
}

/// Returns how willingly a server is picked, the lowest first, or `None` for one that is not.
fn class(server: &Server, now: Instant) -> Option<u8> {
    if let Some(since) = server.leaving_since {
        return (now.saturating_duration_since(since) < LAST_RESORT).then_some(2);
    }
    Some(u8::from(server.is_held_out(now)))
}

fn update(known: &mut Server, entry: Entry, now: Instant) -> Arrival {
    let was_leaving = known.leaving_since.is_some();
    match entry.standing {
        Standing::Draining => {
            known.leaving_since.get_or_insert(now);
        }
        // An entry that lapsed with the store is back, the server never left.
        Standing::Ready => known.leaving_since = None,
    }
    known.entry = entry;
    known.is_listed = true;
    if was_leaving == known.leaving_since.is_some() {
        Arrival::Same
    } else {
        Arrival::Changed
    }
}
