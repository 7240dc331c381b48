//! Configuration as an adapter reads it, before validation.

use {crate::ApiKey, std::collections::HashMap};

/// One version of the configuration, not validated yet.
#[derive(Clone, Debug, Default)]
pub struct RawTable {
    /// Version, which increases with each change.
    pub version: u64,
    /// Routes of all host names.
    pub routes: Vec<RawRoute>,
    /// Connections that each server of a service accepts from all hosts together,
    /// by service name.
    pub connection_limits: HashMap<String, u32>,
    /// Warm-up of servers, by service name.
    pub warm_ups: HashMap<String, RawWarmUp>,
    /// Limits on what a caller may send.
    pub caller_limits: RawCallerLimits,
    /// Workspaces of the callers; `None` if callers need no key.
    pub workspaces: Option<Vec<RawWorkspace>>,
}

/// Warm-up of the servers of a service, not validated yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct RawWarmUp {
    /// Time for which a server is cold after its start, in seconds.
    pub duration_s: f64,
    /// Requests per second that a cold server takes from all hosts; 0 for no limit.
    pub per_s: f64,
}

/// One workspace, not validated yet.
#[derive(Clone, Debug, Default)]
pub struct RawWorkspace {
    /// Name of the workspace.
    pub name: String,
    /// Keys by which its callers identify themselves.
    pub keys: Vec<ApiKey>,
    /// Priority of its requests; `None` for the priority of their route.
    pub priority: Option<u32>,
    /// Requests per second that all hosts together may send; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests beyond that rate that may be sent at once.
    pub burst: f64,
    /// Regions in which its requests may be served; empty for all.
    pub allowed_regions: Vec<String>,
}

/// One route, not validated yet.
#[derive(Clone, Debug)]
pub struct RawRoute {
    /// Name of the route.
    pub name: String,
    /// Host name in the requests of the route.
    pub hostname: String,
    /// Prefix of the paths that belong to the route.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub is_repeatable: bool,
    /// Time limit for answering a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency within which an answer is fully useful, in milliseconds.
    pub target_latency_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of servers of a service that one request is sent to.
    pub max_attempts: u32,
    /// Destination of the requests.
    pub target: RawTarget,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Regions in which requests may be served; empty for all.
    pub allowed_regions: Vec<String>,
}

/// Destination of the requests of a route, not validated yet.
#[derive(Clone, Debug)]
pub enum RawTarget {
    /// One service.
    Service(String),
    /// One of several services, chosen by weight.
    Split(Vec<(String, f64)>),
    /// All of several services, the shards.
    Shards {
        /// Names of the shards.
        services: Vec<String>,
        /// Maximum number of records in the merged answer, which keeps the greatest.
        max_records: u64,
        /// Minimum share of the shards that an answer must cover, from 0 to 1.
        min_share: f64,
    },
}

/// Size and time limits for the requests of a caller.
#[derive(Clone, Copy, Debug)]
pub struct RawCallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time to receive a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time without a request on a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RawCallerLimits {
    /// Returns the limits that apply until a configuration sets others.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1_024,
            max_body_bytes: 256 * 1_024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
