//! Maps host names and path prefixes to routes, and routes to services.
//!
//! A [`Table`] is one version of the configuration. It is validated when it is
//! built and immutable afterwards. A request keeps the table that was in force
//! when it arrived, so all parts of its answer come from one version.
//!
//! # Examples
//!
//! ```
//! use {
//!     routing::{RawCallerLimits, RawRoute, RawTable, RawTarget, Table},
//!     std::collections::HashMap,
//! };
//!
//! let table = Table::try_from(RawTable {
//!     version: 7,
//!     routes: vec![RawRoute {
//!         name: "lookup".to_owned(),
//!         hostname: "stock.example".to_owned(),
//!         prefix: "/items/".to_owned(),
//!         is_repeatable: true,
//!         timeout_ms: 600,
//!         target_latency_ms: 100,
//!         priority: 0,
//!         max_attempts: 2,
//!         target: RawTarget::Service("ledger".to_owned()),
//!         is_public: false,
//!         allowed_regions: Vec::new(),
//!     }],
//!     connection_limits: HashMap::from([("ledger".to_owned(), 26)]),
//!     warm_ups: HashMap::new(),
//!     caller_limits: RawCallerLimits::default(),
//!     workspaces: None,
//! })?;
//! assert!(table.find("Stock.Example:8080", "/items/4711").is_some());
//! assert!(table.find("stock.example", "/orders/1").is_none());
//! # Ok::<(), kind::Error>(())
//! ```

mod raw;
mod route;
mod table;
mod warm_up;
mod workspace;

pub use crate::{
    raw::{RawCallerLimits, RawRoute, RawTable, RawTarget, RawWarmUp, RawWorkspace},
    route::{Route, ServiceName, ShardSet, Target, WeightedService},
    table::{CallerLimits, Table, TableVersion},
    warm_up::WarmUpLimit,
    workspace::{AllowedRegions, ApiKey, Quota, Workspace},
};
