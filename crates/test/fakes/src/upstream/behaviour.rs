//! How the servers behave.

use serde::{Deserialize, Serialize};

/// How a server behaves.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Number of connections that the server accepts.
    pub connection_limit: usize,
    /// Number of requests that the server executes at once.
    pub slots: usize,
    /// Number of requests that wait for a slot before the server sheds.
    pub queue_limit: usize,
    /// Mean execution time, in milliseconds.
    pub mean_ms: f64,
    /// Whether execution times vary exponentially around the mean.
    pub is_exponential: bool,
    /// Index versions that the server holds.
    pub index_versions: Vec<u64>,
    /// Whether the server takes no new work.
    pub is_draining: bool,
    /// Whether the server sheds all work.
    pub is_shedding: bool,
    /// Whether established connections have gone silent.
    pub is_silent: bool,
    /// Whether the server answers with the ids of another request.
    pub is_crossed: bool,
    /// Whether the health endpoint claims health whatever happens.
    pub health_lies: bool,
    /// Text in a query that crashes the server.
    pub poison: Option<String>,
    /// Time for which a crashed server stays away, in milliseconds.
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
