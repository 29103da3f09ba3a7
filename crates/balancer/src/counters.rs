//! Counters of a balancer. Each thread keeps its own counts and adds them to the shared counters
//! once per batch.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use settings::{Code, codes};
use telemetry::metrics::Metrics;

/// Why a packet was not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Not GUE, or the headers of the inner packet are invalid or inconsistent.
    Malformed,
    /// An IP fragment.
    Fragment,
    /// Neither TCP nor UDP, or not a packet at all.
    UnsupportedProtocol,
    /// The headers are longer than can be sealed.
    TooLarge,
    /// No service has this address, port and protocol.
    NoService,
    /// The service has no agent.
    NoAgent,
    /// The kernel did not accept the packet for sending.
    SendFailed,
}

/// All reasons, in the order of the enum: a reason's discriminant is the index of its counter.
const DROP_REASONS: [DropReason; 7] = [
    DropReason::Malformed,
    DropReason::Fragment,
    DropReason::UnsupportedProtocol,
    DropReason::TooLarge,
    DropReason::NoService,
    DropReason::NoAgent,
    DropReason::SendFailed,
];

/// Counts of one thread since it last added them to the [`Counters`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams that arrived.
    pub received: u64,
    /// Packets sent to agents.
    pub forwarded: u64,
    /// Packets not forwarded, by reason.
    dropped: [u64; DROP_REASONS.len()],
}

/// Counters of the process. Clones share their values.
#[derive(Clone, Debug)]
pub struct Counters {
    received: Counter,
    forwarded: Counter,
    dropped: [Counter; DROP_REASONS.len()],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

impl DropReason {
    /// The result code of this reason.
    ///
    /// ```
    /// use balancer::counters::DropReason;
    /// assert_eq!(DropReason::NoService.code().name(), "no_service");
    /// ```
    pub fn code(self) -> Code {
        match self {
            Self::Malformed => codes::MALFORMED,
            Self::Fragment => codes::FRAGMENT,
            Self::UnsupportedProtocol => codes::UNSUPPORTED_PROTOCOL,
            Self::TooLarge => codes::PACKET_TOO_LARGE,
            Self::NoService => codes::NO_SERVICE,
            Self::NoAgent => codes::NO_AGENT,
            Self::SendFailed => codes::SEND_FAILED,
        }
    }
}

impl Counts {
    /// Counts packets that were not forwarded.
    pub fn add_dropped(&mut self, reason: DropReason, packets: u64) {
        self.dropped[reason as usize] += packets;
    }
}

impl Counters {
    /// Registers the counters.
    ///
    /// ```
    /// let metrics = telemetry::metrics::Metrics::default();
    /// let counters = balancer::counters::Counters::new(&metrics);
    /// assert_eq!(counters.list()[0], ("packets_received_total", 0));
    /// ```
    pub fn new(metrics: &Metrics) -> Self {
        let family: Family<ReasonLabel, Counter> = Family::default();
        let dropped = DROP_REASONS.map(|reason| {
            let label = ReasonLabel { reason: reason.code().name() };
            family.get_or_create(&label).clone()
        });
        metrics.with_registry(|registry| {
            registry.register("packets_dropped", "Packets not forwarded, by reason", family);
        });
        Self {
            received: metrics.counter("packets_received", "Datagrams that arrived"),
            forwarded: metrics.counter("packets_forwarded", "Packets sent to agents"),
            dropped,
        }
    }

    /// Adds the counts of a thread and resets them to zero.
    pub fn add(&self, counts: &mut Counts) {
        self.received.inc_by(counts.received);
        self.forwarded.inc_by(counts.forwarded);
        for (counter, count) in self.dropped.iter().zip(counts.dropped) {
            if count > 0 {
                counter.inc_by(count);
            }
        }
        *counts = Counts::default();
    }

    /// Datagrams that arrived since the start.
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    /// Names and values, as shown by `/status`.
    pub fn list(&self) -> Vec<(&'static str, u64)> {
        let mut list = vec![
            ("packets_received_total", self.received.get()),
            ("packets_forwarded_total", self.forwarded.get()),
        ];
        let dropped = DROP_REASONS.iter().zip(&self.dropped);
        list.extend(dropped.map(|(reason, counter)| (reason.code().name(), counter.get())));
        list
    }
}
