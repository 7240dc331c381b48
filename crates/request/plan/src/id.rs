//! Identifiers that travel with a request.

/// Identifier of a caller's request, random.
pub type RequestId = u128;

/// Identifier of one leaf call within a request.
pub type AttemptId = u64;
