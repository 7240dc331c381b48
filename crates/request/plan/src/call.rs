//! Calls to servers and what comes back.

use {
    crate::{AttemptId, Reason, RequestId},
    kind::Ran,
    record::{IndexVersion, ServerAddr, ShardId},
    std::time::Duration,
};

/// Why a call is made.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Cause {
    /// It is the first call to its shard.
    First,
    /// An earlier call to the shard failed.
    Retry,
    /// An earlier call to the shard is slow.
    Hedge,
    /// The query starts again on another index version.
    Restart,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 4] = [Self::First, Self::Retry, Self::Hedge, Self::Restart];

    /// Returns the label used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::Restart => "restart",
        }
    }
}

/// One call to one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafCall {
    /// Identifier of the call.
    pub attempt_id: AttemptId,
    /// Why the call is made.
    pub cause: Cause,
    /// Shard to search.
    pub shard: ShardId,
    /// Server to call.
    pub server: ServerAddr,
    /// Index version to use.
    pub index_version: IndexVersion,
    /// Time that the server has, without that of the way there and back.
    pub time_left: Duration,
}

/// The reply of a server, with what it says about itself.
#[derive(Clone, Debug)]
pub struct LeafReply<R> {
    /// Request that the server answered.
    pub request_id: RequestId,
    /// Call that the server answered.
    pub attempt_id: AttemptId,
    /// Shard that the server searched.
    pub shard: ShardId,
    /// Index version that the server used.
    pub index_version: IndexVersion,
    /// Rows found.
    pub rows: R,
}

impl<R> LeafReply<R> {
    /// Returns whether the reply answers `call` of the request, and nothing else.
    pub fn answers(&self, request_id: RequestId, call: &LeafCall) -> bool {
        self.request_id == request_id
            && self.attempt_id == call.attempt_id
            && self.shard == call.shard
            && self.index_version == call.index_version
    }
}

/// A call that brought no usable reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeafFailure {
    /// Why there is no reply.
    pub reason: Reason,
    /// Whether the server executed the call.
    pub ran: Ran,
    /// Newest index version that the server holds, if it said so.
    pub newest_version: Option<IndexVersion>,
}
