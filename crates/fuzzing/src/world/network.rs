//! The adversarial network: what is lost, doubled, delayed or cut off.
//!
//! The fate of a packet is drawn from a hash of what it is, and not from a shared sequence of
//! random numbers, so that deleting one step of a trace does not change the fate of all others.

use super::Node;

/// Network trouble between all processes, while it lasts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weather {
    /// Lost packets.
    pub(super) loss_percent: u8,
    /// Doubled packets.
    pub(super) copy_percent: u8,
    /// Longest added delay.
    pub(super) delay_ms: u64,
    /// True time at which it ends.
    pub(super) until_ms: u64,
}

/// Processes in `side` can't reach the others, while it lasts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Partition {
    /// Bit set over the nodes.
    pub(super) side: u32,
    /// True time at which it ends.
    pub(super) until_ms: u64,
}

/// No copy of an opening arrives later than this after the caller first sent it, and no other
/// packet later than this after it was sent. The core can't remember for ever, so copies must die
/// out before it forgets (`CLAIM_TTL_MS`); TCP itself relies on the same bound.
pub(super) const PACKET_LIFETIME_MS: u64 = 110_000;
/// Longest delay of a packet without any trouble.
const JITTER_MS: u64 = 2;

/// State of the network.
#[derive(Clone, Debug, Default)]
pub(super) struct Network {
    /// Trouble at work; several kinds add up.
    pub(super) weather: Vec<Weather>,
    /// Partitions at work.
    pub(super) partitions: Vec<Partition>,
}

impl Network {
    /// Whether a packet between two processes is stopped by a partition.
    pub(super) fn separates(&self, now_ms: u64, from: Node, to: Node) -> bool {
        let (from, to) = (from.bit(), to.bit());
        let cut =
            |partition: &Partition| ((partition.side >> from) ^ (partition.side >> to)) & 1 == 1;
        self.partitions.iter().any(|partition| partition.until_ms > now_ms && cut(partition))
    }

    /// Delays of the copies that arrive, none to two, for a packet with this hash.
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

    /// Ends all trouble.
    pub(super) fn heal(&mut self) {
        *self = Self::default();
    }
}

/// Half of the delays are short, so that order changes among packets that meet.
fn skewed_delay(draw: u64, longest_ms: u64) -> u64 {
    let longest_ms = if draw & 1 == 0 { longest_ms.min(50) } else { longest_ms };
    (draw >> 1) % (longest_ms + 1)
}

/// Finishing step of a 64-bit hash (splitmix64).
pub(super) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
