//! A test deployment of separate processes: platform, upstreams and hosts.
//!
//! Every process is started from the build output directory, and killed by its
//! pid when the fixture is dropped.

mod child;
mod control;
mod deployment;
mod port;
mod records;
mod regions;

pub use self::{
    child::{run_program, Process},
    deployment::{Deployment, DeploymentConfig, HostProcess},
    port::free_addr,
    regions::Regions,
};

/// Bearer token of the administration API of the hosts.
pub const ADMIN_TOKEN: &str = "token-of-the-tests";
