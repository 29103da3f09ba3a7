//! Hash maps keyed by flow or opening.
//!
//! Other tables of this crate are sorted vectors. Flow tables are too large for that: an insertion
//! into a sorted vector of 50,000 entries moves a megabyte on average, and every packet would pay
//! for a binary search of 16 steps with cache misses. A flow id is already a keyed hash, so it
//! needs no further hashing.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use crate::keys::FlowId;

/// Map keyed by flow.
pub(super) type FlowMap<T> = HashMap<FlowId, T, BuildHasherDefault<IdHasher>>;

/// Map keyed by opening. Both its flow and its nonce enter the hash.
pub(super) type OpeningMap<T> = HashMap<crate::message::Opening, T, BuildHasherDefault<IdHasher>>;

/// Uses an id as its own hash, mixed once so that the small ids of tests are spread as well.
#[derive(Debug, Default)]
pub(super) struct IdHasher(u64);

impl Hasher for IdHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u32(&mut self, value: u32) {
        self.write_u64(u64::from(value));
    }

    fn write_u64(&mut self, value: u64) {
        const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
        self.0 = (self.0.rotate_left(5) ^ value).wrapping_mul(ODD);
        self.0 ^= self.0 >> 32;
    }
}
