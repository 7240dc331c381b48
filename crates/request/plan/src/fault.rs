//! What a failed call implies about execution.
//!
//! [`Ran::No`] guarantees to the caller that the request was not executed. Only
//! the conversion in this module decides on it, separate from the code that
//! detects where a call failed.

use {
    crate::{LeafFailure, Reason},
    kind::Ran,
    record::IndexVersion,
};

/// The point at which a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeafFault {
    /// No connection could be established, so nothing was sent.
    NoConnection,
    /// The connection returned the call without writing any byte of it.
    NotWritten,
    /// The connection was lost after some of the call may have been written.
    LostAfterWrite,
    /// The connection was lost in the middle of the reply.
    LostInReply,
    /// The reply could not be parsed.
    Malformed,
    /// The reply carries the identifiers of another call.
    Mismatch,
    /// The server refused the call.
    Refused(Refusal),
}

/// The refusal of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether the server executed the call, as it reports.
    pub ran: Ran,
    /// Whether the refusal echoes the identifiers of the call.
    pub echoes_ids: bool,
    /// Newest index version that the server holds, if it reported one.
    pub newest_version: Option<IndexVersion>,
}

impl LeafFault {
    /// Returns whether the connection can be reused for further calls.
    pub const fn keeps_connection(self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.echoes_ids)
    }
}

impl From<LeafFault> for LeafFailure {
    fn from(fault: LeafFault) -> Self {
        let (reason, ran) = match fault {
            LeafFault::NoConnection => (Reason::Unreachable, Ran::No),
            LeafFault::NotWritten => (Reason::Lost, Ran::No),
            LeafFault::LostAfterWrite | LeafFault::LostInReply => (Reason::Lost, Ran::Unknown),
            LeafFault::Malformed | LeafFault::Mismatch => (Reason::Mismatch, Ran::Unknown),
            LeafFault::Refused(refusal) if refusal.echoes_ids => return refusal.into(),
            // A refusal of another call says nothing about whether this one ran.
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
