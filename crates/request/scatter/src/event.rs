//! Inputs, actions and results of a query.

use {
    kind::Ran,
    plan::{AttemptId, Reason},
    routing::ServiceName,
    std::time::{Duration, Instant},
};

/// The reason for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The first call for its part.
    First,
    /// An earlier call for the part failed.
    Retry,
    /// An earlier call for the part is slow.
    Hedge,
}

impl Cause {
    /// Returns the label used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

/// Source of the servers that a query calls.
pub trait Replicas {
    /// Identifier of a server.
    type Key: Copy + Eq;

    /// Picks a server of `service` that is not in `tried`.
    ///
    /// Through a relay, the call may reach up to `max_servers` servers.
    fn pick(
        &mut self,
        service: &ServiceName,
        tried: &[Self::Key],
        max_servers: usize,
        now: Instant,
    ) -> Option<Candidate<Self::Key>>;

    /// Returns why a part of `service` is missing for which no server was picked.
    fn missing_reason(&self, _service: &ServiceName) -> Reason {
        Reason::Unreachable
    }

    /// Takes one extra call from the budget of `service`; returns `false` if none is left.
    fn take_extra_call(&mut self, service: &ServiceName, now: Instant) -> bool;
}

/// A server that a call may go to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<K> {
    /// The server.
    pub server: K,
    /// Expected time until it answers.
    pub expected: Duration,
    /// Whether it has a free slot, so that the call does not delay others.
    pub is_free: bool,
    /// Maximum number of servers that the call may reach; above one only through a relay.
    pub max_servers: usize,
}

/// One call to one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call<K> {
    /// Identifier of the call within the request.
    pub attempt: AttemptId,
    /// Index of the part within the request.
    pub part_index: usize,
    /// Maximum number of servers that the call may reach.
    pub max_servers: usize,
    /// Reason for the call.
    pub cause: Cause,
    /// Service that serves the part.
    pub service: ServiceName,
    /// The server.
    pub server: K,
    /// Expected time until the server answers.
    pub expected: Duration,
}

/// The failure of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Reason for the failure.
    pub reason: Reason,
    /// Whether the call was executed.
    pub ran: Ran,
    /// Whether the call reached the server. If so, a retry counts against the budget.
    pub reached_server: bool,
}

/// An input to a query.
#[derive(Clone, Debug)]
pub enum Event<R> {
    /// One reply answers these calls.
    Replied(Vec<AttemptId>, R),
    /// A call failed.
    Failed(AttemptId, Failure),
    /// A timer has expired.
    Wake,
}

/// An action that the caller of a query must carry out.
#[derive(Clone, Debug)]
pub enum Action<K> {
    /// Make a call.
    Call(Call<K>),
    /// Answer the caller; no further action follows.
    Finish,
}

/// A reply and the parts that it covers.
#[derive(Clone, Debug)]
pub struct MergedReply<R> {
    /// Indexes of the parts; no part is in two replies.
    pub part_indexes: Vec<usize>,
    /// The reply.
    pub reply: R,
}

/// The result of a query.
#[derive(Clone, Debug)]
pub struct Outcome<R> {
    /// Number of parts.
    pub part_count: usize,
    /// Accepted replies.
    pub replies: Vec<MergedReply<R>>,
    /// Services of the parts without a reply, with the reason.
    pub missing: Vec<(ServiceName, Reason)>,
    /// Whether any server executed the request.
    pub ran: Ran,
    /// Whether the minimum share of parts is covered.
    pub meets_min_share: bool,
}
