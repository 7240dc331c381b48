//! Calls that their host has left while a server may still run them.
//!
//! Load: callers that leave, queries that are answered without a shard, and calls that
//! lose to a hedge or reach their deadline. The connection of such a call is closed,
//! and not all servers stop its work then. If the server is lost, no connection shows
//! it, so the loss is counted against the request from here.

use {
    crate::Fingerprint,
    routing::ServiceName,
    std::time::{Duration, Instant},
};

/// Largest number of calls that are remembered. With the names of the server and the
/// services that have answered, each takes about 200 bytes and 16 for each of these.
const MAX_LEFT_CALLS: usize = 512;
/// Time for which hosts may not know that a server is lost: its entry is removed some
/// heartbeats after its end.
const NOTICE_TIME: Duration = Duration::from_secs(5);

/// A call that was sent and then left.
#[derive(Clone, Debug)]
pub struct LeftCall<K> {
    /// Request of the call.
    pub request: Fingerprint,
    /// Service that was called.
    pub service: ServiceName,
    /// Key of the server that was called.
    pub server: K,
    /// Name of the server's incarnation.
    pub incarnation: String,
    /// Services that had answered the request by then.
    pub answered: Vec<ServiceName>,
    /// Time until which the server may run the call: its deadline.
    pub runs_until: Instant,
}

/// Left calls by their numbers.
#[derive(Debug)]
pub struct LeftCalls<K> {
    calls: Vec<(u64, LeftCall<K>)>,
    /// Servers that have closed a connection which they would have kept.
    closed: Vec<K>,
}

impl<K> Default for LeftCalls<K> {
    fn default() -> Self {
        Self {
            calls: Vec::new(),
            closed: Vec::new(),
        }
    }
}

impl<K: Copy + Eq> LeftCalls<K> {
    /// Remembers a call; the oldest one is dropped if there are too many.
    pub fn add(&mut self, number: u64, call: LeftCall<K>) {
        if self.calls.len() >= MAX_LEFT_CALLS {
            self.calls.remove(0);
        }
        self.calls.push((number, call));
    }

    /// Returns and forgets the calls that `server` may have been running when it was lost.
    pub fn take_lost(&mut self, server: K, now: Instant) -> Vec<LeftCall<K>> {
        self.expire(now);
        self.closed.retain(|closed| *closed != server);
        let lost = self.calls.extract_if(.., |(_, call)| call.server == server);
        lost.map(|(_, call)| call).collect()
    }

    /// Records that a server has closed an idle connection.
    pub fn on_connection_closed(&mut self, server: K) {
        let is_known = self.calls.iter().any(|(_, call)| call.server == server);
        if is_known && !self.closed.contains(&server) {
            self.closed.push(server);
        }
    }

    /// Returns whether a server has closed an idle connection since calls to it were left.
    pub fn has_closed_connection(&self, server: K) -> bool {
        self.closed.contains(&server)
    }

    /// Returns whether a call is still remembered.
    pub fn contains(&mut self, number: u64, now: Instant) -> bool {
        self.expire(now);
        self.calls.iter().any(|(known, _)| *known == number)
    }

    /// Forgets the calls of a request to a service that has answered it since.
    pub fn on_answered(&mut self, request: Fingerprint, service: &ServiceName) {
        self.calls
            .retain(|(_, call)| call.request != request || call.service != *service);
    }

    fn expire(&mut self, now: Instant) {
        self.calls
            .retain(|(_, call)| now < call.runs_until + NOTICE_TIME);
        let calls = &self.calls;
        self.closed
            .retain(|closed| calls.iter().any(|(_, call)| call.server == *closed));
    }
}
