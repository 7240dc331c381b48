//! Connections to upstream servers: pooling, connection shares, detection of
//! silent connections, choice of a server by health, and quarantine of
//! requests that crash servers.
//!
//! Everything here is a plain state machine without I/O: events and the
//! current time are passed in, and decisions are returned. State that several
//! threads share is striped, with a lock for each stripe.

mod back_off;
mod call_limit;
mod crash_ledger;
mod delta;
mod evidence;
mod fingerprint;
mod hold;
mod known_good;
mod left_calls;
mod loss;
mod pool;
mod quarantine;
mod server;
mod share;
mod silence;
mod suspect;
mod table;

pub use crate::{
    back_off::BackOff,
    crash_ledger::{Admission, Crash, CrashEvidence, CrashLedger, ServiceNames, Verdict},
    delta::{
        DeltaError, QuarantineDelta, QuarantinedFingerprint, ReportedCrash, WireCrash,
        WireQuarantineDelta, WireQuarantinedFingerprint,
    },
    evidence::{Evidence, Refusal, ServerReport},
    fingerprint::{fingerprint, fingerprint_of_fields, owner_weight, Fingerprint},
    hold::HoldState,
    left_calls::{LeftCall, LeftCalls},
    loss::CRASHES_TO_HOLD,
    pool::{CheckedOutConnection, CheckoutDecision, Pool, PoolConfig},
    quarantine::{Clearance, Outcome, Quarantine},
    server::DrainSign,
    share::connection_share,
    silence::{SilenceDetector, SuspicionAction},
    table::{RandomSource, ServerTable},
};
