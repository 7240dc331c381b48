//! Configuration as an adapter reads it, before its checks.

use std::collections::HashMap;

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RawTable {
    /// Version, rising with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RawRoute>,
    /// Connections that each server of a service accepts from all hosts together.
    pub connection_limits: HashMap<String, u32>,
    /// What a caller may send.
    pub caller_limits: RawCallerLimits,
}

/// One route.
#[derive(Clone, Debug)]
pub struct RawRoute {
    /// Name.
    pub name: String,
    /// Host name that callers ask for.
    pub hostname: String,
    /// Begin of the paths that belong to the route.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub is_repeatable: bool,
    /// Longest time for which a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is of full use, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Most servers of a service that one request is sent to.
    pub max_attempts: u32,
    /// Where requests go.
    pub target: RawTarget,
}

/// Where the requests of a route go.
#[derive(Clone, Debug)]
pub enum RawTarget {
    /// To one service.
    One(String),
    /// To one of several services, by weight.
    Split(Vec<(String, f64)>),
    /// To every one of several services, the shards.
    Shards {
        /// Names of the shards.
        services: Vec<String>,
        /// Number of greatest records that the answer keeps.
        keep_records: u64,
        /// Least share of shards that an answer covers, from 0 to 1.
        min_share: f64,
    },
}

/// What a caller may send, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct RawCallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time without a request on a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RawCallerLimits {
    /// Returns limits for the time before any configuration names some.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1_024,
            max_body_bytes: 256 * 1_024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
