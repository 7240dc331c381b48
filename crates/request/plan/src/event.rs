//! What goes into a query and what comes out of it.

use crate::{Answer, AttemptId, LeafCall, LeafFailure, LeafReply};

/// What happened to a query.
#[derive(Clone, Debug)]
pub enum Event<R> {
    /// A reply arrived on the connection of a call.
    Replied(AttemptId, LeafReply<R>),
    /// A call failed.
    Failed(AttemptId, LeafFailure),
    /// Time has passed.
    Wake,
}

/// What a query wants done.
#[derive(Clone, Debug)]
pub enum Action<R> {
    /// Make a call.
    Call(LeafCall),
    /// Stop a call whose reply is not needed any more.
    Cancel(AttemptId),
    /// Answer the caller; nothing follows.
    Finish(Answer<R>),
}
