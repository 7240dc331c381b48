//! Configurable behaviour of the servers.

use serde::{Deserialize, Serialize};

/// Behaviour of a server.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Number of connections that the server accepts.
    pub connection_limit: usize,
    /// Number of requests that the server executes concurrently.
    pub slots: usize,
    /// Number of requests that wait for a slot before the server sheds.
    pub queue_limit: usize,
    /// Mean execution time, in milliseconds.
    pub mean_ms: f64,
    /// Whether execution times are exponentially distributed; otherwise all equal the mean.
    pub is_exponential: bool,
    /// Index versions that the server holds.
    pub index_versions: Vec<u64>,
    /// Whether the server is draining and refuses new work.
    pub is_draining: bool,
    /// Whether the server sheds all calls.
    pub is_shedding: bool,
    /// Whether established connections stop responding, for good.
    pub is_silent: bool,
    /// Whether the server answers with the attempt id of another call.
    pub is_crossed: bool,
    /// Whether the health endpoint always reports success.
    pub health_lies: bool,
    /// Text in a query that crashes the server.
    pub poison: Option<String>,
    /// Time for which a crashed server refuses connections, in milliseconds.
    pub crash_ms: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            connection_limit: 25,
            slots: 2,
            queue_limit: 16,
            mean_ms: 2.0,
            is_exponential: false,
            index_versions: vec![1],
            is_draining: false,
            is_shedding: false,
            is_silent: false,
            is_crossed: false,
            health_lies: false,
            poison: None,
            crash_ms: 500,
        }
    }
}
