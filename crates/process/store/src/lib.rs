//! The platform's key-value service: client, commit of records and claims.
//!
//! The platform is met through the [`Platform`] trait. Its errors tell apart
//! what did not happen from what may have happened, because a lost reply is
//! not a failed write.

mod commit;
mod http;
mod load;
mod platform;

pub use crate::{
    commit::commit_record,
    http::HttpPlatform,
    load::{load_head, load_in_force, HEAD_KEY},
    platform::{Expected, Fault, KeyRevision, ListedHost, Platform, Role, Value},
};
