//! The table that maps each error kind to its answer.
//!
//! The list is deliberately closed: a new failure either uses an existing row,
//! or adds one with a status and a default execution state.

use {
    crate::Ran,
    serde::{Deserialize, Serialize},
};

/// The answer to callers and operators for a kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Stable name of the kind, used as `kind` in problem documents.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Short human-readable description.
    pub title: &'static str,
    /// Default execution state, unless the error sets another.
    pub ran: Ran,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $variant:ident, $name:literal, $status:literal, $ran:ident, $title:literal;)*) => {
        /// Kinds of failures reported to callers and operators.
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
    /// The record does not exist.
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
    /// The path does not exist.
    NotFound, "not-found", 404, No, "Not found";
    /// The path does not support this method.
    BadMethod, "bad-method", 405, No, "Method not allowed";
    /// The record fails validation.
    BadRecord, "bad-record", 422, No, "Invalid record";
    /// The record is larger than the limit.
    RecordTooLarge, "record-too-large", 413, No, "Record too large";
    /// The change would make the head exceed its size limit.
    HeadTooLarge, "head-too-large", 507, No, "Too many records in force";
    /// The route names a service that is not in force.
    UnknownService, "unknown-service", 409, No, "The service is not in force";
    /// Routes in force use the service.
    ServiceInUse, "service-in-use", 409, No, "Routes in force use the service";
    /// The precondition is missing or malformed.
    BadPrecondition, "bad-precondition", 400, No, "Malformed precondition";
    /// A concurrent change was committed first.
    Conflict, "conflict", 409, No, "Another change came first";
    /// The same idempotency key was used with another body.
    KeyReused, "idempotency-key-reused", 422, No, "Idempotency key reused with another body";
    /// Another attempt holds the idempotency key and its outcome is unknown.
    AlreadyClaimed, "already-claimed", 409, Unknown, "The key is already taken";
    /// The admission gate accepts no more requests of this rank or tenant.
    Overloaded, "overloaded", 429, No, "Too much work";
    /// The workspace of the request has sent as many requests as its quota allows.
    QuotaExceeded, "quota-exceeded", 429, No, "The workspace exceeds its quota";
    /// No host that grants permits for the workspace responds.
    NoPermit, "no-permit", 503, No, "No permit for the request";
    /// The request was not started because its deadline can no longer be met.
    TooLate, "too-late", 503, No, "The deadline cannot be met";
    /// The deadline passed while the request was running.
    DeadlineExceeded, "deadline-exceeded", 504, Unknown, "Deadline exceeded";
    /// The host is draining and accepts no new requests.
    Draining, "draining", 503, No, "The host is draining";
    /// The host has no configuration in force yet.
    NotReady, "not-ready", 503, No, "The host is not ready";
    /// The platform's store cannot be reached.
    StoreDown, "store-down", 503, No, "The platform's store cannot be reached";
    /// A write to the platform's store may or may not have taken effect.
    StoreUnknown, "store-outcome-unknown", 504, Unknown, "The outcome of the write is not known";
    /// The store returned an older state than the one in force.
    StoreReverted, "store-reverted", 503, No, "The store shows an older state";
    /// Too few shards answered.
    LowCoverage, "low-coverage", 502, Unknown, "Too few shards answered";
    /// No upstream could be reached.
    Unreachable, "unreachable", 503, No, "No upstream could be reached";
    /// The upstream refused the request without executing it.
    Shed, "shed", 503, No, "The upstream refused the request";
    /// The upstream failed while it may have been executing the request.
    UpstreamLost, "upstream-lost", 502, Unknown, "The upstream was lost";
    /// The host that served the request failed or became unreachable.
    HostLost, "host-lost", 502, Unknown, "The serving host was lost";
    /// The request is quarantined because it has crashed upstreams.
    Quarantined, "quarantined", 422, No, "The request has crashed upstreams";
    /// The request is held back for a while because it has ended upstreams.
    Held, "held", 503, No, "The request has ended upstreams";
    /// A peer and this host support no common protocol version.
    BadPeer, "bad-peer", 502, No, "No common protocol version";
    /// An internal error.
    Internal, "internal", 500, Unknown, "Internal fault";
}
