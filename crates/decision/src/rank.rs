//! Weighted rendezvous hashing: ranks the agents of a service for each bucket.
//!
//! The score of an upstream is derived from a hash of (service, bucket, upstream); a larger weight
//! makes a larger score more likely. Adding, removing or reweighting one upstream moves only the
//! buckets that it gains or loses.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

use crate::keys::{BucketIndex, FlowId, ServiceId, UpstreamId};

/// Buckets of a service. With 64 buckets and a mean of five upstreams, an agent's share deviates
/// from its weight by a few buckets. That is enough, because homes assign openings by load.
pub const BUCKET_COUNT: u16 = 64;

/// Maps a flow to its bucket.
///
/// ```
/// use decision::{keys::FlowId, rank};
/// assert!(rank::bucket_of(FlowId(u64::MAX)).0 < rank::BUCKET_COUNT);
/// ```
pub fn bucket_of(flow: FlowId) -> BucketIndex {
    let wide = u128::from(flow.0) * u128::from(BUCKET_COUNT);
    BucketIndex((wide >> 64) as u16)
}

/// Sorts `candidates` (id, weight) from first to last rank for a bucket; those with weight zero are
/// left out.
///
/// ```
/// use decision::{keys::*, rank};
/// let order = rank::order(ServiceId(1), BucketIndex(0), &[(UpstreamId(1), 100), (UpstreamId(2), 0)]);
/// assert_eq!(order, [UpstreamId(1)]);
/// ```
pub fn order(
    service: ServiceId,
    bucket: BucketIndex,
    candidates: &[(UpstreamId, u32)],
) -> Vec<UpstreamId> {
    let mut scored: Vec<(f64, UpstreamId)> = candidates
        .iter()
        .filter(|(_, weight)| *weight > 0)
        .map(|&(id, weight)| (score(service, bucket, id, weight), id))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, id)| id).collect()
}

/// Logarithmic method of weighted rendezvous hashing: `-weight / ln(u)` with `u` uniform in (0, 1).
fn score(service: ServiceId, bucket: BucketIndex, upstream: UpstreamId, weight: u32) -> f64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(service.0);
    hasher.write_u16(bucket.0);
    hasher.write_u64(upstream.0);
    let uniform = ((hasher.finish() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(weight) / uniform.ln()
}
