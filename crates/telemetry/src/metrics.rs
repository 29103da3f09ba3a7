//! The metrics registry of a process, rendered as text for Prometheus.
//!
//! Names end in `_total`, `_seconds` or `_bytes`. Label values come from bounded sets (reasons,
//! accounts), never from flows or callers.

use std::fmt;
use std::sync::{Mutex, PoisonError};

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Content type of the text that [`Metrics::render`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// All metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self { registry: Mutex::new(Registry::with_prefix("gooseberrysill")) }
    }
}

impl Metrics {
    /// Registers and returns a counter. `name` is without the suffix `_total`, which the encoder
    /// adds.
    ///
    /// ```
    /// let metrics = telemetry::metrics::Metrics::default();
    /// metrics.counter("packets_received", "Packets received").inc_by(2);
    /// assert!(metrics.render().unwrap().contains("gooseberrysill_packets_received_total 2"));
    /// ```
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.with_registry(|registry| registry.register(name, help, counter.clone()));
        counter
    }

    /// Registers and returns a gauge.
    ///
    /// ```
    /// let metrics = telemetry::metrics::Metrics::default();
    /// metrics.gauge("flows_open", "Flows held").set(3);
    /// assert!(metrics.render().unwrap().contains("gooseberrysill_flows_open 3"));
    /// ```
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.with_registry(|registry| registry.register(name, help, gauge.clone()));
        gauge
    }

    /// Calls `register` with the registry, for metrics with labels.
    pub fn with_registry<T>(&self, register: impl FnOnce(&mut Registry) -> T) -> T {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        register(&mut registry)
    }

    /// Renders all metrics as text.
    ///
    /// Errors: none in practice, since writing to a string does not fail.
    pub fn render(&self) -> Result<String, fmt::Error> {
        let mut out = String::new();
        self.with_registry(|registry| text::encode(&mut out, registry))?;
        Ok(out)
    }
}
