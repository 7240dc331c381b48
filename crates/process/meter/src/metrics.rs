//! Metrics of the process.

use {
    anyhow::Result,
    opentelemetry::{
        metrics::{Counter, Gauge, Histogram, MeterProvider},
        KeyValue,
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder, Registry, TextEncoder},
    record::Rank,
    std::time::Duration,
};

/// Bounds of the latency histogram, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 16] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 50.0, 75.0, 100.0, 150.0, 180.0, 250.0, 500.0, 1_000.0,
    2_500.0, 10_000.0,
];

/// What a query is counted under.
#[derive(Clone, Copy, Debug)]
pub struct QueryLabels<'a> {
    /// Tenant.
    pub tenant: &'a str,
    /// Rank.
    pub rank: Rank,
    /// `ok`, `partial`, or the name of an error kind.
    pub outcome: &'a str,
}

/// Instruments of a host.
pub struct Metrics {
    registry: Registry,
    // Dropping the provider would end the export.
    _provider: SdkMeterProvider,
    query_latency_ms: Histogram<f64>,
    leaf_calls: Counter<u64>,
    revision: Gauge<u64>,
    store_reverted: Gauge<u64>,
    events: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("wharf");
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
            registry,
            _provider: provider,
        })
    }

    /// Counts a query with its latency.
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

    /// Records the revision in force.
    pub fn on_revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Records whether the store shows an older state than the one in force.
    pub fn on_store_reverted(&self, is_reverted: bool) {
        self.store_reverted.record(u64::from(is_reverted), &[]);
    }

    /// Counts an event of a part.
    pub fn on_event(&self, part: &'static str, event: &'static str) {
        let labels = [KeyValue::new("part", part), KeyValue::new("event", event)];
        self.events.add(1, &labels);
    }

    /// Returns the Prometheus exposition.
    ///
    /// # Errors
    ///
    /// Returns an error if the exposition cannot be encoded.
    pub fn expose(&self) -> Result<String> {
        let mut out = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut out)?;
        Ok(String::from_utf8(out)?)
    }
}
