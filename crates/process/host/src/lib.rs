//! A host of the tier: entry, relay, administration API and background tasks.
//!
//! The decision logic lives in separate crates that do no I/O. This crate owns
//! the sockets and tasks, passes events to that logic and performs the actions
//! that it returns.

mod admin;
mod claims;
mod config;
mod counted_stream;
mod entry;
mod members;
mod peer;
mod relay;
mod relay_sets;
mod run;
mod settings;
mod shared;
mod tracked_transport;

pub use crate::{
    admin::MAX_QUERIED_HOSTS,
    config::MAX_EXCHANGE_INTERVAL,
    run::{run, RunningHost},
    settings::{RawSettings, Settings},
};
