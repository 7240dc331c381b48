//! Input events and output actions of a query.

use crate::{Answer, AttemptId, LeafCall, LeafFailure, LeafReply};

/// An event that concerns a query.
#[derive(Clone, Debug)]
pub enum Event<R> {
    /// A reply arrived on the connection of a call.
    Replied(AttemptId, LeafReply<R>),
    /// A call failed.
    Failed(AttemptId, LeafFailure),
    /// The time returned by [`Gather::next_wake`](crate::Gather::next_wake) has come.
    Wake,
}

/// An action that the caller of a query must carry out.
#[derive(Clone, Debug)]
pub enum Action<R> {
    /// Make a call.
    Call(LeafCall),
    /// Cancel a call whose reply is no longer needed.
    Cancel(AttemptId),
    /// Answer the caller. This is the last action.
    Finish(Answer<R>),
}
