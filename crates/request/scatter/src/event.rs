//! What goes into a query and what comes out of it.

use {
    kind::Ran,
    plan::{AttemptId, Reason},
    routing::ServiceName,
    std::time::{Duration, Instant},
};

/// Why a call is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// It is the first call to its part.
    First,
    /// An earlier call to the part failed.
    Retry,
    /// An earlier call to the part is slow.
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

/// The view on the servers that a query asks.
pub trait Replicas {
    /// What tells servers apart.
    type Key: Copy + Eq;

    /// Picks a server for a part, those `tried` left out; the call may reach `most` servers.
    fn pick(
        &mut self,
        service: &ServiceName,
        tried: &[Self::Key],
        most: usize,
        now: Instant,
    ) -> Option<Candidate<Self::Key>>;

    /// Spends one call beyond the first, if the budget of the service allows it.
    fn take_extra(&mut self, service: &ServiceName, now: Instant) -> bool;
}

/// A server that a call may go to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<K> {
    /// The server.
    pub server: K,
    /// Time to its answer.
    pub expected: Duration,
    /// Whether it has a free slot, so that the call delays no other.
    pub is_free: bool,
    /// Most servers that the call may reach: more than one where a relay makes it.
    pub reaches: usize,
}

/// One call to one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call<K> {
    /// Number of the call within the request.
    pub attempt: AttemptId,
    /// Position of the part among those of the request.
    pub position: usize,
    /// Most servers that the call may reach.
    pub reaches: usize,
    /// Why the call is made.
    pub cause: Cause,
    /// Service of the part.
    pub service: ServiceName,
    /// The server.
    pub server: K,
    /// Time to its answer.
    pub expected: Duration,
}

/// A call that brought nothing to use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Why.
    pub reason: Reason,
    /// Whether the server executed the call.
    pub ran: Ran,
    /// Whether the call reached the server, and so counts against its budget.
    pub has_arrived: bool,
}

/// What happened to a request.
#[derive(Clone, Debug)]
pub enum Event<R> {
    /// One reply brought what these calls were made for.
    Replied(Vec<AttemptId>, R),
    /// A call failed.
    Failed(AttemptId, Failure),
    /// Time has passed.
    Wake,
}

/// What a request wants done.
#[derive(Clone, Debug)]
pub enum Action<K> {
    /// Make a call.
    Call(Call<K>),
    /// Answer the caller; nothing follows.
    Finish,
}

/// A reply with the parts that it covers.
#[derive(Clone, Debug)]
pub struct Bundle<R> {
    /// Positions of the parts, each of which stands in no other bundle.
    pub positions: Vec<usize>,
    /// The reply.
    pub reply: R,
}

/// The end of a request.
#[derive(Clone, Debug)]
pub struct Outcome<R> {
    /// Number of parts.
    pub parts: usize,
    /// Replies that cover parts.
    pub bundles: Vec<Bundle<R>>,
    /// Parts that nothing covers, and why.
    pub missing: Vec<(ServiceName, Reason)>,
    /// Whether the request was executed anywhere.
    pub ran: Ran,
    /// Whether enough parts are covered.
    pub is_enough: bool,
}
