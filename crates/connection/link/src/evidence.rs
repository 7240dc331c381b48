//! What a call reveals about the server that it went to.

use std::time::Duration;

/// What a server reports about itself with a reply or a refusal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerReport {
    /// Whether the server is draining and takes no new work.
    pub is_draining: bool,
    /// The number of slots in use, which may be outdated or wrong.
    pub slots_in_use: Option<u32>,
}

/// Why a server refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The server is overloaded.
    Shed,
    /// The server is draining and takes no new work.
    Draining,
    /// A reason that is unrelated to the server's health.
    Other,
}

/// How a call ended, as evidence about its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// A reply came, with its first byte after this time.
    Replied(Duration),
    /// The server refused the call.
    Refused(Refusal),
    /// The connection was lost while the call was running.
    ConnectionLost,
    /// No connection could be opened.
    Unreachable,
    /// The server's machine did not respond to an attempt to open a connection.
    NoResponse,
    /// The call was cancelled after it had waited this long without a reply.
    Cancelled(Duration),
    /// The call reveals nothing: it met the connection limit or was never sent.
    Inconclusive,
}
