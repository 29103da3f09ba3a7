//! The adversarial network, which loses, duplicates, delays and reorders packets and partitions.
//!
//! What happens to a packet is derived from a hash of its contents, not from a shared sequence of
//! random numbers, so deleting a step of a trace does not affect the delivery of other packets.

use super::Node;

/// Temporary packet loss, duplication and delay between all processes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weather {
    /// Share of packets that are lost.
    pub(super) loss_percent: u8,
    /// Share of packets that are duplicated.
    pub(super) copy_percent: u8,
    /// Maximum added delay.
    pub(super) delay_ms: u64,
    /// True time at which it ends.
    pub(super) until_ms: u64,
}

/// Temporary partition: processes in `side` can't reach the others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Partition {
    /// Bit set over the nodes.
    pub(super) side: u32,
    /// True time at which it ends.
    pub(super) until_ms: u64,
}

/// Maximum packet lifetime. No copy of an opening arrives later than this after the caller first
/// sent it, and no other packet later than this after it was sent. The core's claims expire, so
/// no copy may outlive them (`CLAIM_TTL_MS`). TCP relies on the same kind of bound.
pub(super) const PACKET_LIFETIME_MS: u64 = 110_000;
/// Maximum delay of a packet without network faults.
const JITTER_MS: u64 = 2;

/// State of the network.
#[derive(Clone, Debug, Default)]
pub(super) struct Network {
    /// Loss, duplication and delay in force; several add up.
    pub(super) weather: Vec<Weather>,
    /// Partitions in force.
    pub(super) partitions: Vec<Partition>,
}

impl Network {
    /// Whether a partition separates two processes.
    pub(super) fn separates(&self, now_ms: u64, from: Node, to: Node) -> bool {
        let (from, to) = (from.bit(), to.bit());
        let cut =
            |partition: &Partition| ((partition.side >> from) ^ (partition.side >> to)) & 1 == 1;
        self.partitions.iter().any(|partition| partition.until_ms > now_ms && cut(partition))
    }

    /// Delays of the copies (none to two) of a packet with this hash that arrive.
    pub(super) fn delays(&self, now_ms: u64, hash: u64) -> Vec<u64> {
        let mut copies = 1;
        let mut delay_ms = 1 + mix(hash) % JITTER_MS;
        for (index, weather) in self.weather.iter().enumerate() {
            if weather.until_ms <= now_ms {
                continue;
            }
            let draw = mix(hash ^ (index as u64 + 1) << 32);
            if draw % 100 < u64::from(weather.loss_percent) {
                return Vec::new();
            }
            if (draw >> 16) % 100 < u64::from(weather.copy_percent) {
                copies = 2;
            }
            delay_ms += skewed_delay(draw >> 32, weather.delay_ms);
        }
        let copy = |copy: u64| delay_ms + copy * (1 + mix(hash ^ copy) % delay_ms.max(10));
        (0..copies).map(copy).collect()
    }

    /// Ends all network faults.
    pub(super) fn heal(&mut self) {
        *self = Self::default();
    }
}

/// Draws a delay. Half of the delays are short, so that packets sent at about the same time are
/// reordered.
fn skewed_delay(draw: u64, longest_ms: u64) -> u64 {
    let longest_ms = if draw & 1 == 0 { longest_ms.min(50) } else { longest_ms };
    (draw >> 1) % (longest_ms + 1)
}

/// Finalizer of a 64-bit hash (splitmix64).
pub(super) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
