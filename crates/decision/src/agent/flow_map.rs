//! A hash map keyed by flow.
//!
//! House style asks for sorted vectors. Flow tables are the exception: an insertion into a sorted
//! vector of 50,000 entries moves a megabyte on average, and every packet pays a search of 16
//! steps with cache misses. A flow id is already a keyed hash, so it is used as it is.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use crate::keys::FlowId;

/// Map from flows to what is known about them.
pub(super) type FlowMap<T> = HashMap<FlowId, T, BuildHasherDefault<IdHasher>>;

/// Map from openings, whose flow and nonce are both mixed in.
pub(super) type OpeningMap<T> = HashMap<crate::message::Opening, T, BuildHasherDefault<IdHasher>>;

/// Passes an id through, spread once so that small numbers in tests work as well.
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
