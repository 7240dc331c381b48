//! Client of the platform's key-value service, with commits of records and claims.
//!
//! The platform is accessed through the [`Platform`] trait. Its errors
//! distinguish calls that had no effect from calls that may have had one,
//! because a write whose reply was lost may still have succeeded.

mod body;
mod claim;
mod claim_batch;
mod claim_log;
mod commit;
mod era;
mod history;
mod http;
mod keys;
mod load;
mod platform;
mod prepare;
mod settling;
mod step;

pub use crate::{
    body::Body,
    claim::{
        claim, fingerprint, record_outcome, Claim, ClaimAttempt, ClaimAttemptId, ClaimEvent,
        ClaimResult, ClaimScope, ClaimStep, Fingerprint, HeldClaim, Outcome, ScopeHash,
        MAX_STORED_ANSWER_BYTES,
    },
    claim_batch::{
        run_batch, Batch, BatchAnswer, BatchEvent, BatchId, BatchOp, BatchResult, BatchStep,
        LeaseProvider, RangeView,
    },
    claim_log::{claim_range, ClaimRange, CLAIM_RANGES},
    commit::{commit, Commit, Committed},
    era::{EraTracker, StoreEra, StorePosition},
    history::{body_key_at, find_operation, load_history, MAX_HISTORY},
    http::HttpPlatform,
    keys::{Changes, Freshness, Item, KeyEvent, KeyPrefixStore, Listing, StoreRevision},
    load::{load_body, load_bundle, load_head, HEAD_KEY},
    platform::{Expected, Fault, KeyRevision, LeaseId, ListedHost, Platform, Role, Value},
    prepare::HISTORY_RETENTION,
    settling::{rewrite_delay, rewrite_spread, settle_time, EraChange, Settling, Trust},
    step::{CommitEvent, CommitStep},
};

use crate::history::{history_key, operation_key, read_operation};
