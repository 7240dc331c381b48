//! Metrics of the process.

use {
    crate::exposition::Exposition,
    anyhow::Result,
    opentelemetry::{
        metrics::{Counter, Gauge, Histogram},
        KeyValue,
    },
    record::Rank,
    std::time::Duration,
};

/// Bucket boundaries of the latency histograms, in milliseconds.
pub(crate) const LATENCY_BOUNDS_MS: [f64; 16] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 50.0, 75.0, 100.0, 150.0, 180.0, 250.0, 500.0, 1_000.0,
    2_500.0, 10_000.0,
];

/// Labels of a query.
#[derive(Clone, Copy, Debug)]
pub struct QueryLabels<'a> {
    /// Tenant that sent the query.
    pub tenant: &'a str,
    /// Priority of the query.
    pub rank: Rank,
    /// `ok`, `partial`, or the name of an error kind.
    pub outcome: &'a str,
}

/// Labels of a call to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct LeafLabels<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Reason for the call.
    pub cause: &'static str,
    /// `ok`, or the reason why there is no reply.
    pub outcome: &'static str,
}

/// Metric instruments of a host.
pub struct Metrics {
    exposition: Exposition,
    query_latency_ms: Histogram<f64>,
    leaf_calls: Counter<u64>,
    leaf_latency_ms: Histogram<f64>,
    revision: Gauge<u64>,
    store_reverted: Gauge<u64>,
    events: Counter<u64>,
    gate_wait_ms: Histogram<f64>,
    gate_refusals: Counter<u64>,
    gate_window: Gauge<u64>,
    limited_servers: Gauge<u64>,
    exchange_bytes: Counter<u64>,
    members: Gauge<u64>,
    forwards: Counter<u64>,
    in_flight: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let exposition = Exposition::new()?;
        let meter = exposition.meter();
        Ok(Self {
            query_latency_ms: meter
                .f64_histogram("wharf_query_latency_ms")
                .with_description("Latency of queries at the entry, by tenant, rank and outcome")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            leaf_calls: meter
                .u64_counter("wharf_leaf_calls")
                .with_description("Calls to upstreams, by service and cause")
                .build(),
            leaf_latency_ms: meter
                .f64_histogram("wharf_leaf_latency_ms")
                .with_description("Latency of calls to upstreams, by service, cause and outcome")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            revision: meter
                .u64_gauge("wharf_config_revision")
                .with_description("Revision of the configuration in force on this host")
                .build(),
            store_reverted: meter
                .u64_gauge("wharf_store_reverted")
                .with_description("Whether the store shows an older state than the one in force")
                .build(),
            events: meter
                .u64_counter("wharf_events")
                .with_description("Events of the parts of the host, by part and event")
                .build(),
            gate_wait_ms: meter
                .f64_histogram("wharf_gate_wait_ms")
                .with_description("Wait of admitted queries at the gate, by service and rank")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            gate_refusals: meter
                .u64_counter("wharf_gate_refusals")
                .with_description("Queries refused at the gate, by service, rank and kind")
                .build(),
            gate_window: meter
                .u64_gauge("wharf_gate_window")
                .with_description("Queries of a service that this relay runs at once")
                .build(),
            limited_servers: meter
                .u64_gauge("wharf_limited_servers")
                .with_description("Upstreams that get fewer calls at once than their slots")
                .build(),
            exchange_bytes: meter
                .u64_counter("wharf_exchange_bytes")
                .with_description("Bytes of the exchange with peers, by direction")
                .build(),
            members: meter
                .u64_gauge("wharf_members")
                .with_description("Hosts as this one knows them, by state")
                .build(),
            forwards: meter
                .u64_counter("wharf_forwards")
                .with_description("Queries sent to a relay, by outcome")
                .build(),
            in_flight: meter
                .u64_gauge("wharf_in_flight")
                .with_description("Requests in flight on this host, as of the last exchange")
                .build(),
            exposition,
        })
    }

    /// Records the latency of a query.
    pub fn on_query(&self, labels: QueryLabels<'_>, latency: Duration) {
        let labels = [
            KeyValue::new("tenant", labels.tenant.to_owned()),
            KeyValue::new("rank", labels.rank.as_str()),
            KeyValue::new("outcome", labels.outcome.to_owned()),
        ];
        self.query_latency_ms
            .record(latency.as_secs_f64() * 1_000.0, &labels);
    }

    /// Counts a call to an upstream.
    pub fn on_leaf_call(&self, service: &str, cause: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("cause", cause),
        ];
        self.leaf_calls.add(1, &labels);
    }

    /// Records the latency of a completed call to an upstream.
    pub fn on_leaf_end(&self, labels: LeafLabels<'_>, latency: Duration) {
        let labels = [
            KeyValue::new("service", labels.service.to_owned()),
            KeyValue::new("cause", labels.cause),
            KeyValue::new("outcome", labels.outcome),
        ];
        self.leaf_latency_ms
            .record(latency.as_secs_f64() * 1_000.0, &labels);
    }

    /// Records the revision in force.
    pub fn on_revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Records whether the store returns an older state than the one in force.
    pub fn on_store_reverted(&self, is_reverted: bool) {
        self.store_reverted.record(u64::from(is_reverted), &[]);
    }

    /// Counts an event of a component.
    pub fn on_event(&self, part: &'static str, event: &'static str) {
        let labels = [KeyValue::new("part", part), KeyValue::new("event", event)];
        self.events.add(1, &labels);
    }

    /// Records the wait of a query that the gate admitted.
    pub fn on_gate_admit(&self, service: &str, rank: Rank, wait: Duration) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("rank", rank.as_str()),
        ];
        self.gate_wait_ms
            .record(wait.as_secs_f64() * 1_000.0, &labels);
    }

    /// Counts a query that the gate refused.
    pub fn on_gate_refusal(&self, service: &str, rank: Rank, kind: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("rank", rank.as_str()),
            KeyValue::new("kind", kind),
        ];
        self.gate_refusals.add(1, &labels);
    }

    /// Records the concurrency window of a service at the gate.
    pub fn on_gate_window(&self, service: &str, window: usize) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.gate_window.record(window as u64, &labels);
    }

    /// Records the number of upstreams limited to fewer concurrent calls than their slots.
    pub fn on_limited_servers(&self, count: usize) {
        self.limited_servers.record(count as u64, &[]);
    }

    /// Counts bytes of the exchange; `direction` is `sent` or `received`.
    pub fn on_exchange_bytes(&self, direction: &'static str, bytes: u64) {
        let labels = [KeyValue::new("direction", direction)];
        self.exchange_bytes.add(bytes, &labels);
    }

    /// Records the number of hosts that accept requests and of suspected hosts.
    pub fn on_members(&self, taking_work: usize, suspected: usize) {
        let record = |state: &'static str, count: usize| {
            let labels = [KeyValue::new("state", state)];
            self.members.record(count as u64, &labels);
        };
        record("taking-work", taking_work);
        record("suspected", suspected);
    }

    /// Counts a query sent to a relay, by the outcome of the attempt.
    pub fn on_forward(&self, outcome: &'static str) {
        self.forwards.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of requests in flight.
    pub fn on_in_flight(&self, requests: usize) {
        self.in_flight.record(requests as u64, &[]);
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
