//! Load experiments on the admission and query code under paused time.
//!
//! A trial runs the gate of [`admit`] and the queries of [`plan`] against
//! small fake upstream servers, with the parameters of a service and an offered
//! load. Time is tokio's paused time and every random number comes from the
//! seed, so a trial gives the same figures on every run and tests can assert
//! bounds on them. It does not simulate a cluster: hosts are modelled only by
//! the number of gates that share the upstreams and by the delay of a hop.
//!
//! # Examples
//!
//! ```
//! use {
//!     std::time::Duration,
//!     trial::{Load, Service, Trial},
//! };
//!
//! let report = Trial::new(Service::restock_desk(), Load::calm())
//!     .duration(Duration::from_millis(500))
//!     .run();
//! assert_eq!(report, report.clone());
//! println!("{report}");
//! ```

mod clock;
mod controller;
mod load;
mod pool;
mod query;
mod relay;
mod report;
mod run;
mod server;
mod service;
mod trial;

pub use crate::{
    controller::{Controller, GateKind},
    load::{Load, ServerFault},
    report::{RankReport, Report},
    service::Service,
    trial::Trial,
};
