//! Metrics and logs of a host.
//!
//! Metrics go through opentelemetry and come out as a Prometheus exposition.
//! Logs are short sentences behind a prefix that names the part.

mod exposition;
mod forwarding;
mod logs;
mod metrics;

pub use crate::{
    forwarding::{CallLabels, ForwardingMetrics, RequestLabels},
    logs::{start_json_logs, start_logs, LogFormat},
    metrics::{LeafLabels, Metrics, QueryLabels},
};
