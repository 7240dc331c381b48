//! Stand-ins for the platform and for upstreams.
//!
//! They speak the same protocols as the real systems, over loopback, so that
//! the whole path runs as separate processes without anything installed. Each
//! takes its faults over a control path of its own below `/fake`.

pub mod border;
pub mod client;
pub mod memory;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod upstream;
