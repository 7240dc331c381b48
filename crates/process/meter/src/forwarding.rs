//! Metrics of a host that forwards callers' own requests.
//!
//! Labels have few values each: ranks, outcomes and causes, but no names of
//! routes, services or servers, of which a configuration may bring hundreds.

use {
    crate::{exposition::Exposition, metrics::LATENCY_BOUNDS_MS},
    anyhow::Result,
    opentelemetry::{
        metrics::{Counter, Gauge, Histogram},
        KeyValue,
    },
    std::time::Duration,
};

/// What a request is counted under.
#[derive(Clone, Copy, Debug)]
pub struct RequestLabels {
    /// Rank of the route, 0 the highest.
    pub rank: u32,
    /// `ok`, `partial`, or the name of an error kind.
    pub outcome: &'static str,
}

/// What a call to a server or a relay is counted under.
#[derive(Clone, Copy, Debug)]
pub struct CallLabels {
    /// Why the call was made.
    pub cause: &'static str,
    /// `ok`, or why it brought nothing.
    pub outcome: &'static str,
}

/// Instruments of a host that forwards.
pub struct ForwardingMetrics {
    exposition: Exposition,
    request_ms: Histogram<f64>,
    call_ms: Histogram<f64>,
    missing_parts: Counter<u64>,
    lines_dropped: Counter<u64>,
    table_version: Gauge<u64>,
    hosts: Gauge<u64>,
    servers: Gauge<u64>,
    connections: Gauge<u64>,
    knowledge_ms: Gauge<u64>,
}

impl ForwardingMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let exposition = Exposition::new()?;
        let meter = exposition.meter();
        let latency = |name: &'static str, text: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(text);
            histogram
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build()
        };
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Ok(Self {
            request_ms: latency(
                "wharf_request_ms",
                "Latency of requests, by rank and outcome",
            ),
            call_ms: latency(
                "wharf_call_ms",
                "Latency of calls to servers, by cause and outcome",
            ),
            missing_parts: counter(
                "wharf_missing_parts",
                "Shards missing from answers, by reason",
            ),
            lines_dropped: counter("wharf_log_lines_dropped", "Log lines over their budget"),
            table_version: gauge(
                "wharf_table_version",
                "Version of the configuration in force",
            ),
            hosts: gauge(
                "wharf_hosts",
                "Hosts that share connections and extra calls",
            ),
            servers: gauge("wharf_servers", "Servers that are known"),
            connections: gauge("wharf_connections", "Connections to servers"),
            knowledge_ms: gauge(
                "wharf_knowledge_age_ms",
                "Age of what is known of the store",
            ),
            exposition,
        })
    }

    /// Counts a request with its latency.
    pub fn on_request(&self, labels: RequestLabels, latency: Duration) {
        let labels = [
            KeyValue::new("rank", i64::from(labels.rank)),
            KeyValue::new("outcome", labels.outcome),
        ];
        self.request_ms
            .record(latency.as_secs_f64() * 1_000.0, &labels);
    }

    /// Counts a call with its latency.
    pub fn on_call(&self, labels: CallLabels, latency: Duration) {
        let labels = [
            KeyValue::new("cause", labels.cause),
            KeyValue::new("outcome", labels.outcome),
        ];
        self.call_ms
            .record(latency.as_secs_f64() * 1_000.0, &labels);
    }

    /// Counts a shard that is missing from an answer.
    pub fn on_missing_part(&self, reason: &'static str) {
        self.missing_parts
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts log lines that were over the budget of their part.
    pub fn on_lines_dropped(&self, part: &'static str, count: u64) {
        self.lines_dropped
            .add(count, &[KeyValue::new("part", part)]);
    }

    /// Records what the host knows and holds.
    pub fn on_state(&self, version: u64, hosts: usize, servers: usize, connections: u32) {
        self.table_version.record(version, &[]);
        self.hosts.record(hosts as u64, &[]);
        self.servers.record(servers as u64, &[]);
        self.connections.record(u64::from(connections), &[]);
    }

    /// Records how old what is known of the store is.
    pub fn on_knowledge(&self, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.knowledge_ms.record(age_ms, &[]);
    }

    /// Returns the metrics as text for Prometheus.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be written as text.
    pub fn expose(&self) -> Result<String> {
        self.exposition.text()
    }
}
