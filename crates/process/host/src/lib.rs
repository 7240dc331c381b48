//! One host of the tier: entry, relay, administration and the loops between them.
//!
//! The decisions live in crates of their own and do no I/O. This crate is the
//! shell around them: it owns the sockets and the tasks, feeds events in and
//! carries actions out.

mod admin;
mod claims;
mod config;
mod counted;
mod entry;
mod flushed;
mod members;
mod peer;
mod relay;
mod relay_sets;
mod run;
mod settings;
mod shared;

pub use crate::{
    admin::MAX_QUESTIONS,
    config::MAX_LOOK_TIME,
    run::{run, RunningHost},
    settings::{RawSettings, Settings},
};
