//! Metrics of an agent. The data thread counts locally and adds its counts to the shared counters
//! once per batch.

use decision::agent::{Reason, Stats};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use settings::{Code, codes};
use telemetry::metrics::Metrics;

/// Counters without labels, in the order of `UNLABELED`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// Datagrams that arrived.
    Received,
    /// Packets delivered to the upstream.
    Delivered,
    /// Packets forwarded to other agents.
    Forwarded,
    /// Packets that were held to wait for a verdict.
    Held,
    /// Refusals sent to callers.
    Refused,
    /// Control messages that arrived.
    MessagesReceived,
    /// Control messages sent.
    MessagesSent,
    /// Bytes of control messages sent.
    MessageBytesSent,
}

const UNLABELED: [(Count, &str, &str); 8] = [
    (Count::Received, "packets_received", "Datagrams that arrived"),
    (Count::Delivered, "packets_delivered", "Packets handed to the upstream"),
    (Count::Forwarded, "packets_passed_on", "Packets passed on to other agents"),
    (Count::Held, "packets_held", "Packets that waited for a verdict"),
    (Count::Refused, "packets_refused", "Refusals sent to callers"),
    (Count::MessagesReceived, "control_messages_received", "Control messages that arrived"),
    (Count::MessagesSent, "control_messages_sent", "Control messages sent"),
    (Count::MessageBytesSent, "control_sent_bytes", "Bytes of control messages sent"),
];

/// Sizes of the decision core's tables, in the order of [`table_sizes`].
const GAUGES: [(&str, &str); 9] = [
    ("flows_open", "Flows held for the upstream"),
    ("flows_closing", "Flows that are closing"),
    ("openings_unanswered", "Openings that their callers have not followed up yet"),
    ("redirects", "Flows known to be held by other agents"),
    ("claims", "Recorded claims"),
    ("claims_pending", "Claims that wait for witnesses"),
    ("lookups_pending", "Lookups that wait for answers"),
    ("notes_unannounced", "Flow notes not yet acknowledged by peers"),
    ("peers_suspected", "Peers believed to be silent"),
];

/// Codes under which packets are dropped or refused, sorted for binary search.
const CODES: [Code; 20] = [
    Code(Reason::WrongService as u16),
    Code(Reason::AllFull as u16),
    Code(Reason::InDoubt as u16),
    Code(Reason::Tombstone as u16),
    Code(Reason::UnknownFlow as u16),
    Code(Reason::HolderSilent as u16),
    Code(Reason::TooManyHops as u16),
    Code(Reason::Overload as u16),
    Code(Reason::Duplicate as u16),
    Code(Reason::StaleView as u16),
    codes::MALFORMED,
    codes::FRAGMENT,
    codes::NO_SERVICE,
    codes::BAD_MAC,
    codes::UNKNOWN_KEY,
    codes::FOREIGN_ACCOUNT,
    codes::NO_AGENT,
    codes::SEND_FAILED,
    codes::PACKET_TOO_LARGE,
    codes::UNSUPPORTED_PROTOCOL,
];

/// Local counts of the data thread since it last added them to the shared [`Counters`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    unlabeled: [u64; UNLABELED.len()],
    by_code: [u64; CODES.len()],
}

/// Counters of the process. Clones share them.
#[derive(Clone, Debug)]
pub struct Counters {
    unlabeled: [Counter; UNLABELED.len()],
    by_code: [Counter; CODES.len()],
    gauges: [Gauge; GAUGES.len()],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

impl Counts {
    /// Adds to a counter without labels.
    pub fn add(&mut self, count: Count, amount: u64) {
        self.unlabeled[count as usize] += amount;
    }

    /// Counts a packet dropped or refused under a code.
    pub fn count_code(&mut self, code: Code) {
        if let Ok(index) = CODES.binary_search(&code) {
            self.by_code[index] += 1;
        }
    }
}

impl Counters {
    /// Registers the counters.
    ///
    /// ```
    /// let metrics = telemetry::metrics::Metrics::default();
    /// let counters = agent::counters::Counters::new(&metrics);
    /// assert_eq!(counters.list()[0], ("packets_received", 0));
    /// ```
    pub fn new(metrics: &Metrics) -> Self {
        let family: Family<ReasonLabel, Counter> = Family::default();
        let by_code =
            CODES.map(|code| family.get_or_create(&ReasonLabel { reason: code.name() }).clone());
        metrics.with_registry(|registry| {
            registry.register("packets_dropped", "Packets dropped or refused, by reason", family);
        });
        Self {
            unlabeled: UNLABELED.map(|(_, name, help)| metrics.counter(name, help)),
            by_code,
            gauges: GAUGES.map(|(name, help)| metrics.gauge(name, help)),
        }
    }

    /// Adds the data thread's local counts and resets them to zero.
    pub fn add(&self, counts: &mut Counts) {
        let counters = self.unlabeled.iter().chain(&self.by_code);
        for (counter, count) in counters.zip(counts.unlabeled.iter().chain(&counts.by_code)) {
            if *count > 0 {
                counter.inc_by(*count);
            }
        }
        *counts = Counts::default();
    }

    /// Sets the gauges to the sizes of the decision core's tables.
    pub fn update_gauges(&self, stats: &Stats) {
        for (gauge, size) in self.gauges.iter().zip(table_sizes(stats)) {
            gauge.set(size as i64);
        }
    }

    /// Names and values of all counters and gauges, for `/status`.
    pub fn list(&self) -> Vec<(&'static str, u64)> {
        let unlabeled =
            UNLABELED.iter().zip(&self.unlabeled).map(|((_, name, _), c)| (*name, c.get()));
        let by_code = CODES.iter().zip(&self.by_code).map(|(code, c)| (code.name(), c.get()));
        let sizes = GAUGES.iter().zip(&self.gauges);
        let sizes = sizes.map(|((name, _), gauge)| (*name, gauge.get().max(0) as u64));
        unlabeled.chain(by_code).chain(sizes).collect()
    }
}

fn table_sizes(stats: &Stats) -> [usize; GAUGES.len()] {
    [
        stats.open_flows,
        stats.closing_flows,
        stats.unanswered,
        stats.redirects,
        stats.claims,
        stats.pending_claims,
        stats.lookups,
        stats.unannounced,
        stats.suspected_peers,
    ]
}
