//! Metrics that are collected on each scrape: settings in force, processor time and memory.

use std::fmt;
use std::fs;
use std::sync::Arc;

use nix::time::{ClockId, clock_gettime};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric as _};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use telemetry::metrics::Metrics;

use crate::settings_sync::Store;

/// Collects its metrics from the store and the kernel on each scrape.
#[derive(Debug)]
struct ProcessCollector {
    store: Arc<Store>,
}

/// Registers `gooseberrysill_settings_version` per account, `gooseberrysill_settings_current`,
/// `gooseberrysill_process_cpu_seconds_total` and `gooseberrysill_process_resident_memory_bytes`.
pub fn register(metrics: &Metrics, store: &Arc<Store>) {
    let collector = Box::new(ProcessCollector { store: store.clone() });
    metrics.with_registry(|registry| registry.register_collector(collector));
}

impl Collector for ProcessCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        self.encode_settings(&mut encoder)?;
        let cpu = ConstCounter::new(cpu_seconds());
        let help = "Processor time used by the process";
        let name = "process_cpu_seconds";
        cpu.encode(encoder.encode_descriptor(name, help, None, MetricType::Counter)?)?;
        let Some(bytes) = resident_memory_bytes() else { return Ok(()) };
        let help = "Memory of the process that is in use";
        let name = "process_resident_memory_bytes";
        let memory = ConstGauge::new(bytes);
        memory.encode(encoder.encode_descriptor(name, help, None, MetricType::Gauge)?)
    }
}

impl ProcessCollector {
    fn encode_settings(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let help = "Version of an account's settings in force";
        let name = "settings_version";
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
        for (account, version) in self.store.versions() {
            let labels = [("account", &*account)];
            ConstGauge::new(version.0 as i64).encode(family.encode_family(&labels)?)?;
        }
        let help = "1 if the settings are known to be current enough";
        let name = "settings_current";
        let current = ConstGauge::new(i64::from(self.store.is_current()));
        current.encode(encoder.encode_descriptor(name, help, None, MetricType::Gauge)?)
    }
}

fn cpu_seconds() -> f64 {
    let time = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
    time.map_or(0.0, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9)
}

/// Parses the line `VmRSS:     5300 kB` of `/proc/self/status`.
fn resident_memory_bytes() -> Option<i64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: i64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1_024)
}
