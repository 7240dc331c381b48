//! What a failed call proves about execution.
//!
//! `no` is a promise to the caller, so the one table that may give it stands
//! here, apart from the code that finds out where a call failed.

use {
    crate::{LeafFailure, Reason},
    kind::Ran,
    record::IndexVersion,
};

/// The point at which a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeafFault {
    /// There was no connection, so nothing was sent.
    NoConnection,
    /// The connection gave the call back without having written a byte of it.
    NotWritten,
    /// The connection was lost after some of the call may have been written.
    LostAfterWrite,
    /// The connection was lost inside the reply.
    LostInReply,
    /// The reply cannot be read.
    Malformed,
    /// The reply carries the ids of another call.
    Mismatch,
    /// The server refused the call.
    Refused(Refusal),
}

/// The refusal of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the server refuses.
    pub reason: Reason,
    /// What the server says about execution.
    pub ran: Ran,
    /// Whether the refusal echoes the ids of the call.
    pub is_own: bool,
    /// Newest index version that the server holds, if it said so.
    pub newest_version: Option<IndexVersion>,
}

impl LeafFault {
    /// Returns whether the connection may carry further calls.
    pub const fn keeps_connection(self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.is_own)
    }
}

impl From<LeafFault> for LeafFailure {
    fn from(fault: LeafFault) -> Self {
        let (reason, ran) = match fault {
            LeafFault::NoConnection => (Reason::Unreachable, Ran::No),
            LeafFault::NotWritten => (Reason::Lost, Ran::No),
            LeafFault::LostAfterWrite | LeafFault::LostInReply => (Reason::Lost, Ran::Unknown),
            LeafFault::Malformed | LeafFault::Mismatch => (Reason::Mismatch, Ran::Unknown),
            LeafFault::Refused(refusal) if refusal.is_own => return refusal.into(),
            // A refusal of another call says nothing about this one.
            LeafFault::Refused(_) => (Reason::Mismatch, Ran::Unknown),
        };
        Self {
            reason,
            ran,
            newest_version: None,
        }
    }
}

impl From<Refusal> for LeafFailure {
    fn from(refusal: Refusal) -> Self {
        Self {
            reason: refusal.reason,
            ran: refusal.ran,
            newest_version: refusal.newest_version,
        }
    }
}
