//! Quotas of workspaces over all hosts: permits, issuers and their deputies.
//!
//! A request of a workspace with a quota is sent only with a permit. Workspaces are
//! mapped to a few [slots](Slot) by hash, and one host, the issuer of the slot, counts
//! their permits in sliding windows. Another host, its deputy, keeps a copy of the
//! counts and takes over when the issuer falls silent.
//!
//! Designed for 70 to 1,300 hosts with a fraction of a core each, workspaces whose
//! few requests a second arrive at any host, and a store that bears some ten more
//! writes a second. The crate decides and does no I/O; all times are passed in.

mod issuer;
mod limits;
mod mandate;
mod slot;
mod standby;
mod succession;
mod waiting;
mod window;

pub use crate::{
    issuer::{Answer, Copy, CopyEntry, Issuer, Knowledge, Start},
    limits::{Limits, RawLimits, MAX_TRANSIT, MAX_USE_DELAY},
    mandate::{
        Mandate, NamingAttempt, SuspensionGuard, BEAT_PAUSE, CONFIRMATION_VALIDITY, LEASE_TTL,
        LEASE_VALIDITY, MAX_DEPUTY_SILENCE, RENEW_PAUSE,
    },
    slot::{Slot, SLOTS},
    standby::{Standby, Term, TAKEOVER_DELAY},
    succession::{Claim, FoundKey, Vacancy},
    waiting::{Ask, Outcome, Waiting},
    window::{Grants, Window},
};
