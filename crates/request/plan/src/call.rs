//! Calls to servers, and their replies and failures.

use {
    crate::{AttemptId, Reason, RequestId},
    kind::Ran,
    record::{IndexVersion, ServerAddr, ShardId},
    std::time::Duration,
};

/// The reason for making a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Cause {
    /// The first call to its shard.
    First,
    /// An earlier call to the shard failed.
    Retry,
    /// An earlier call to the shard is slow.
    Hedge,
    /// The query restarts on another index version.
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
    /// Reason for making the call.
    pub cause: Cause,
    /// Shard to search.
    pub shard: ShardId,
    /// Server to call.
    pub server: ServerAddr,
    /// Index version to use.
    pub index_version: IndexVersion,
    /// Time that the server has to answer, excluding the network round trip.
    pub time_left: Duration,
}

/// The reply of a server, with the identifiers that it echoes.
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
    /// Returns whether all identifiers of the reply match `call` of the request.
    pub fn answers(&self, request_id: RequestId, call: &LeafCall) -> bool {
        self.request_id == request_id
            && self.attempt_id == call.attempt_id
            && self.shard == call.shard
            && self.index_version == call.index_version
    }
}

/// A call without a usable reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeafFailure {
    /// Why there is no usable reply.
    pub reason: Reason,
    /// Whether the server executed the call.
    pub ran: Ran,
    /// Newest index version that the server holds, if it reported one.
    pub newest_version: Option<IndexVersion>,
}
