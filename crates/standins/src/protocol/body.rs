//! Content derived from the number of a request, so that a caller can check every byte.

use super::RequestId;

/// Iterator over the bytes of one body.
///
/// ```
/// use standins::protocol::{Body, RequestId};
/// let whole: Vec<u8> = Body::new(RequestId(7)).take(20).collect();
/// let tail: Vec<u8> = Body::new(RequestId(7)).skip(10).take(10).collect();
/// assert_eq!(whole[10..], tail);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    id: RequestId,
    offset: u64,
}

impl Body {
    /// Starts at the first byte of the body.
    pub fn new(id: RequestId) -> Self {
        Self { id, offset: 0 }
    }
}

impl Iterator for Body {
    type Item = u8;

    fn next(&mut self) -> Option<u8> {
        let word = mix(self.id.0.rotate_left(17) ^ (self.offset / 8));
        let byte = word.to_le_bytes()[(self.offset % 8) as usize];
        self.offset += 1;
        Some(byte)
    }
}

/// Checksum of line `number` of a feed.
///
/// ```
/// use standins::protocol::{RequestId, line_checksum};
/// assert_ne!(line_checksum(RequestId(7), 1), line_checksum(RequestId(7), 2));
/// ```
pub fn line_checksum(id: RequestId, number: u64) -> u64 {
    mix(id.0 ^ mix(number))
}

/// The SplitMix64 finaliser: every input bit affects every output bit.
fn mix(mut word: u64) -> u64 {
    word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
