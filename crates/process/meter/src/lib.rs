//! Metrics and logs of a host.
//!
//! Metrics are recorded with OpenTelemetry and exposed in the Prometheus text
//! format. Log messages are short sentences, prefixed with the component's name.

mod exposition;
mod forwarding;
mod logs;
mod metrics;

pub use crate::{
    forwarding::{CallLabels, ForwardingMetrics, RequestLabels},
    logs::{start_json_logs, start_logs, LogFormat},
    metrics::{LeafLabels, Metrics, QueryLabels},
};
