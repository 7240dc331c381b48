//! Metrics of a host that forwards callers' own requests.
//!
//! Labels have low cardinality: ranks, outcomes and causes, but not the names of
//! routes, services or servers, of which a configuration may contain hundreds.

use {
    crate::{exposition::Exposition, metrics::LATENCY_BOUNDS_MS},
    anyhow::Result,
    opentelemetry::{
        metrics::{Counter, Gauge, Histogram},
        KeyValue,
    },
    std::time::Duration,
};

/// Labels of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLabels {
    /// Rank of the route; 0 is the highest.
    pub rank: u32,
    /// `ok`, `partial`, or the name of an error kind.
    pub outcome: &'static str,
}

/// Labels of a call to a server or a relay.
#[derive(Clone, Copy, Debug)]
pub struct CallLabels {
    /// Reason for the call.
    pub cause: &'static str,
    /// `ok`, or the reason why there is no reply.
    pub outcome: &'static str,
}

/// Metric instruments of a host that forwards callers' own requests.
pub struct ForwardingMetrics {
    exposition: Exposition,
    request_ms: Histogram<f64>,
    call_ms: Histogram<f64>,
    answer_ms: Histogram<f64>,
    missing_parts: Counter<u64>,
    crash_reports: Counter<u64>,
    refused_calls: Counter<u64>,
    evacuated_zones: Gauge<u64>,
    cold_servers: Gauge<u64>,
    permits: Counter<u64>,
    lines_dropped: Counter<u64>,
    store_restored: Counter<u64>,
    changes_deferred: Counter<u64>,
    table_version: Gauge<u64>,
    hosts: Gauge<u64>,
    servers: Gauge<u64>,
    connections: Gauge<u64>,
    state_age_ms: Gauge<u64>,
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
            answer_ms: latency(
                "wharf_answer_ms",
                "Time from the end of the wait for shards to the response",
            ),
            missing_parts: counter(
                "wharf_missing_parts",
                "Shards missing from answers, by reason",
            ),
            crash_reports: counter(
                "wharf_crash_reports",
                "Reports of requests that have ended servers, by result",
            ),
            refused_calls: counter(
                "wharf_refused_calls",
                "Calls that were not sent because of zones, regions or cold servers, by reason",
            ),
            evacuated_zones: gauge("wharf_evacuated_zones", "Zones that are evacuated"),
            cold_servers: gauge(
                "wharf_cold_servers",
                "Servers that are cold and take few requests",
            ),
            permits: counter(
                "wharf_permits",
                "Permits for requests of workspaces with a quota, by result",
            ),
            lines_dropped: counter("wharf_log_lines_dropped", "Log lines over their budget"),
            store_restored: counter(
                "wharf_store_restored",
                "Returns of the store from a copy that this host has seen",
            ),
            changes_deferred: counter(
                "wharf_store_changes_deferred",
                "Keys read after such a return that were not taken at once",
            ),
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
            state_age_ms: gauge(
                "wharf_knowledge_age_ms",
                "Age of what is known of the store",
            ),
            exposition,
        })
    }

    /// Records the latency of a request.
    pub fn on_request(&self, labels: RequestLabels, latency: Duration) {
        let labels = [
            KeyValue::new("rank", i64::from(labels.rank)),
            KeyValue::new("outcome", labels.outcome),
        ];
        self.request_ms
            .record(latency.as_secs_f64() * 1_000.0, &labels);
    }

    /// Records the latency of a call.
    pub fn on_call(&self, labels: CallLabels, latency: Duration) {
        let labels = [
            KeyValue::new("cause", labels.cause),
            KeyValue::new("outcome", labels.outcome),
        ];
        self.call_ms
            .record(latency.as_secs_f64() * 1_000.0, &labels);
    }

    /// Records the time from the end of the wait for shards to the response.
    pub fn on_answer(&self, answer_time: Duration) {
        self.answer_ms
            .record(answer_time.as_secs_f64() * 1_000.0, &[]);
    }

    /// Counts a shard that is missing from an answer.
    pub fn on_missing_part(&self, reason: &'static str) {
        self.missing_parts
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a report of a request that has ended servers, with what followed.
    pub fn on_crash_report(&self, result: &'static str) {
        self.crash_reports
            .add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a call that was not sent because of a zone, a region or a cold server.
    pub fn on_refused_call(&self, reason: &'static str) {
        self.refused_calls
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the numbers of evacuated zones and of cold servers.
    pub fn on_zones(&self, evacuated: usize, cold_servers: usize) {
        self.evacuated_zones.record(evacuated as u64, &[]);
        self.cold_servers.record(cold_servers as u64, &[]);
    }

    /// Counts a request of a workspace with a quota that got a permit or was refused.
    pub fn on_permit(&self, result: &'static str) {
        self.permits.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts log lines dropped because they exceeded the budget of their component.
    pub fn on_lines_dropped(&self, part: &'static str, count: u64) {
        self.lines_dropped
            .add(count, &[KeyValue::new("part", part)]);
    }

    /// Counts a return of the store from a copy.
    pub fn on_store_restored(&self) {
        self.store_restored.add(1, &[]);
    }

    /// Counts keys that were read after such a return and may be older than what is known.
    pub fn on_changes_deferred(&self, count: usize) {
        self.changes_deferred.add(count as u64, &[]);
    }

    /// Records the configuration version and the numbers of known hosts, known
    /// servers and open connections.
    pub fn on_state(&self, version: u64, hosts: usize, servers: usize, connections: u32) {
        self.table_version.record(version, &[]);
        self.hosts.record(hosts as u64, &[]);
        self.servers.record(servers as u64, &[]);
        self.connections.record(u64::from(connections), &[]);
    }

    /// Records the age of this host's state of the store.
    pub fn on_state_age(&self, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.state_age_ms.record(age_ms, &[]);
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded as text.
    pub fn expose(&self) -> Result<String> {
        self.exposition.text()
    }
}
