//! The registry of metric instruments and its Prometheus text format.

use {
    anyhow::Result,
    opentelemetry::metrics::{Meter, MeterProvider},
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder, Registry, TextEncoder},
};

/// Name of the meter of all instruments.
const METER: &str = "wharf";

/// A registry of metric instruments.
pub(crate) struct Exposition {
    registry: Registry,
    // Dropping the provider would stop the export.
    provider: SdkMeterProvider,
}

impl Exposition {
    /// Creates an empty registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates the instruments.
    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter(METER)
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded as text.
    pub(crate) fn text(&self) -> Result<String> {
        let mut bytes = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut bytes)?;
        Ok(String::from_utf8(bytes)?)
    }
}
