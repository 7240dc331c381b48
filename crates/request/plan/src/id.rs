//! Identifiers sent along with a request.

/// Random identifier of a caller's request.
pub type RequestId = u128;

/// Identifier of one leaf call within a request.
pub type AttemptId = u64;
