//! The shell of a host that forwards callers' own HTTP requests.
//!
//! A request is matched to a route by host name and path, sent to a server of
//! the route's service or to one of every shard, and answered with what the
//! servers sent. The decisions live in crates of their own and do no I/O:
//! `routing`, `replica`, `scatter`, `link` and `fleet`. This crate owns the
//! sockets and the tasks, feeds events in and carries actions out. All tasks
//! of a host run on one thread, since a host has a fraction of a core.
//!
//! What is specific to a platform comes in through [`Adapter`].

mod adapter;
mod answer;
mod apply;
mod call;
mod catalog;
mod connections;
mod exchange;
mod follow;
mod gathering;
mod lines;
mod listen;
mod membership;
mod news;
mod peer;
mod progress;
mod pulse;
mod relay;
mod run;
mod serve;
mod settings;
mod shared;
mod view;

pub use crate::{
    adapter::{Adapter, Ask, Layout, Protocol, ServerWord},
    run::{run, RunningGateway},
    settings::{RawSettings, Settings},
};
