//! Receives the packets that come out of the process under load.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use shell::udp::{self, Receiver};

use crate::traffic::read_stamp;

/// Receive timeout; bounds the time until a receiver notices that the run has ended.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Range of the histogram: one microsecond to ten seconds.
const LATENCY_BOUNDS_NS: (u64, u64) = (1_000, 10_000_000_000);
/// Significant digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// An empty histogram.
pub(super) fn histogram() -> anyhow::Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(LATENCY_BOUNDS_NS.0, LATENCY_BOUNDS_NS.1, SIGNIFICANT_DIGITS)?)
}

/// Binds a socket to each receiver address.
pub(super) fn bind(receivers: &[SocketAddr]) -> anyhow::Result<Vec<UdpSocket>> {
    receivers.iter().map(|address| Ok(udp::bind(*address, false, READ_TIMEOUT)?)).collect()
}

/// Records the latency of every packet that was due at `count_from` or later.
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
