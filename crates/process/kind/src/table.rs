//! The table from kind to answer.
//!
//! The list is closed on purpose: a new failure either fits a row or needs a
//! decision about its status and its default execution state, made here.

use {
    crate::Ran,
    serde::{Deserialize, Serialize},
};

/// The answer that callers and operators get for a kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Stable name of the kind, used as `kind` in problem documents.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Short text for people.
    pub title: &'static str,
    /// Execution state unless the failure carries a better one.
    pub ran: Ran,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $variant:ident, $name:literal, $status:literal, $ran:ident, $title:literal;)*) => {
        /// Every kind of failure that leaves the system.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        pub enum Kind {
            $($(#[$doc])* #[serde(rename = $name)] $variant,)*
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the answer for this kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$variant => Answer {
                        name: $name,
                        status: $status,
                        title: $title,
                        ran: Ran::$ran,
                    },)*
                }
            }
        }
    };
}

kinds! {
    /// No route of this name is in force.
    UnknownRoute, "unknown-route", 404, No, "Unknown route";
    /// The route has no such version in force.
    UnknownVersion, "unknown-version", 404, No, "Unknown record version";
    /// The record is not known.
    UnknownRecord, "unknown-record", 404, No, "Unknown record";
    /// The rank header has an unknown value.
    BadRank, "bad-rank", 400, No, "Malformed rank";
    /// The tenant header is missing or malformed.
    BadTenant, "bad-tenant", 400, No, "Malformed tenant";
    /// The deadline header is malformed or out of range.
    BadDeadline, "bad-deadline", 400, No, "Malformed deadline";
    /// The version header is malformed.
    BadVersion, "bad-version", 400, No, "Malformed record version";
    /// The idempotency key is missing, malformed or too long.
    BadKey, "bad-idempotency-key", 400, No, "Malformed idempotency key";
    /// A parameter of the path or of the query string is missing or malformed.
    BadParameter, "bad-parameter", 400, No, "Malformed parameter";
    /// The body is not valid.
    BadBody, "bad-body", 400, No, "Malformed body";
    /// The body is larger than the limit.
    BodyTooLarge, "body-too-large", 413, No, "Body too large";
    /// The bearer token is missing or wrong.
    BadToken, "bad-token", 401, No, "Missing or wrong token";
    /// The path names nothing.
    NotFound, "not-found", 404, No, "Not found";
    /// The path does not take this method.
    BadMethod, "bad-method", 405, No, "Method not allowed";
    /// The record does not pass its checks.
    BadRecord, "bad-record", 422, No, "Invalid record";
    /// The record is larger than the limit.
    RecordTooLarge, "record-too-large", 413, No, "Record too large";
    /// The head would grow larger than the limit.
    HeadTooLarge, "head-too-large", 507, No, "Too many records in force";
    /// The route names a service that is not in force.
    UnknownService, "unknown-service", 409, No, "The service is not in force";
    /// Routes in force use the service.
    ServiceInUse, "service-in-use", 409, No, "Routes in force use the service";
    /// The precondition is missing or malformed.
    BadPrecondition, "bad-precondition", 400, No, "Malformed precondition";
    /// Another change came first.
    Conflict, "conflict", 409, No, "Another change came first";
    /// The same idempotency key was used with another body.
    KeyReused, "idempotency-key-reused", 422, No, "Idempotency key reused with another body";
    /// Another attempt holds the idempotency key and its outcome is not known.
    AlreadyClaimed, "already-claimed", 409, Unknown, "The key is already taken";
    /// The gate is full for this rank or tenant.
    Overloaded, "overloaded", 429, No, "Too much work";
    /// The deadline cannot be met any more, and the request did not start.
    TooLate, "too-late", 503, No, "The deadline cannot be met";
    /// The deadline passed while the request was running.
    DeadlineExceeded, "deadline-exceeded", 504, Unknown, "Deadline exceeded";
    /// The host is draining and takes no new work.
    Draining, "draining", 503, No, "The host is draining";
    /// The host has no configuration in force yet.
    NotReady, "not-ready", 503, No, "The host is not ready";
    /// The platform's store cannot be reached.
    StoreDown, "store-down", 503, No, "The platform's store cannot be reached";
    /// A write to the platform's store may or may not have taken effect.
    StoreUnknown, "store-outcome-unknown", 504, Unknown, "The outcome of the write is not known";
    /// The store shows an older state than one already in force.
    StoreReverted, "store-reverted", 503, No, "The store shows an older state";
    /// Too few shards answered.
    LowCoverage, "low-coverage", 502, Unknown, "Too few shards answered";
    /// No upstream could be reached.
    Unreachable, "unreachable", 503, No, "No upstream could be reached";
    /// The upstream refused the request without running it.
    Shed, "shed", 503, No, "The upstream refused the request";
    /// The upstream failed while it may have been running the request.
    UpstreamLost, "upstream-lost", 502, Unknown, "The upstream was lost";
    /// The host that served the request was lost.
    HostLost, "host-lost", 502, Unknown, "The serving host was lost";
    /// The request is held back because it has crashed upstreams.
    Quarantined, "quarantined", 422, No, "The request has crashed upstreams";
    /// A peer speaks no common protocol version.
    BadPeer, "bad-peer", 502, No, "No common protocol version";
    /// A fault of the system itself.
    Internal, "internal", 500, Unknown, "Internal fault";
}
