//! The whole path as separate processes: platform, upstreams and hosts.
//!
//! Every process is started from the build's own output and ended by its pid
//! when the fixture is dropped.

mod child;
mod control;
mod path;
mod port;
mod records;
mod regions;

pub use self::{
    child::{run_program, Process},
    path::{HostProcess, Layout, Path},
    port::free_addr,
    regions::Regions,
};

/// Bearer token of the hosts.
pub const ADMIN_TOKEN: &str = "token-of-the-tests";
