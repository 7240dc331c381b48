//! What one call shows about the server that it went to.

use std::time::Duration;

/// What a server says about itself beside a reply or a refusal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stated {
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// Slots in use, which may lag or mislead.
    pub slots_in_use: Option<u32>,
}

/// Why a server refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It has too much work.
    Shed,
    /// It takes no new work.
    Draining,
    /// Something that says nothing about its health.
    Other,
}

/// The end of one call as evidence about its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// A reply came, its first byte after this time.
    Replied(Duration),
    /// The server refused the call.
    Refused(Refusal),
    /// The connection died while the call was running.
    Died,
    /// No connection could be opened.
    Unreachable,
    /// The call was cancelled after this time without a reply.
    Cancelled(Duration),
    /// The call says nothing: at the connection limit, or never sent.
    Nothing,
}
