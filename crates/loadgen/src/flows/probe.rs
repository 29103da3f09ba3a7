//! Reading what comes out of the process under load.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use shell::udp::{self, Receiver};

use crate::traffic::read_stamp;

/// How soon a reader notices the end.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Latencies from a microsecond to ten seconds, three digits.
const LATENCY_BOUNDS_NS: (u64, u64) = (1_000, 10_000_000_000);
const SIGNIFICANT_DIGITS: u8 = 3;

/// An empty histogram.
pub(super) fn histogram() -> anyhow::Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(LATENCY_BOUNDS_NS.0, LATENCY_BOUNDS_NS.1, SIGNIFICANT_DIGITS)?)
}

/// Listens on all receivers.
pub(super) fn bind(receivers: &[SocketAddr]) -> anyhow::Result<Vec<UdpSocket>> {
    receivers.iter().map(|address| Ok(udp::bind(*address, false, READ_TIMEOUT)?)).collect()
}

/// Records the latency of every packet that was due after `count_from`.
pub(super) fn record_latencies(
    socket: &UdpSocket,
    start: Instant,
    count_from: Duration,
    stop: &AtomicBool,
) -> anyhow::Result<Histogram<u64>> {
    let mut latency_ns = histogram()?;
    let mut receiver = Receiver::<()>::default();
    while !stop.load(Ordering::Relaxed) {
        receiver.receive(socket)?;
        let now_ns = start.elapsed().as_nanos() as u64;
        for datagram in receiver.datagrams() {
            let Some(due_ns) = read_stamp(datagram) else { continue };
            if due_ns >= count_from.as_nanos() as u64 {
                latency_ns.saturating_record(now_ns.saturating_sub(due_ns));
            }
        }
    }
    Ok(latency_ns)
}
