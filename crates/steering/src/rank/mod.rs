//! Rendezvous hashing: the order in which the upstreams of a service are asked for a flow.
//!
//! All balancers compute the same order from the same membership, so a balancer without state finds
//! most flows at the first ranks. When one upstream changes, only the flows that it gains or loses
//! move.

use std::hash::Hasher as _;
use std::net::Ipv4Addr;

use siphasher::sip::SipHasher13;

use crate::flow::FlowKey;

/// Score of an upstream for a flow; the largest ranks first.
///
/// ```
/// use steering::{flow::FlowKey, rank};
/// let flow = FlowKey {
///     caller: "100.64.0.1:4000".parse().unwrap(),
///     endpoint: "198.18.0.1:80".parse().unwrap(),
/// };
/// let address = "10.0.0.1".parse().unwrap();
/// assert_eq!(rank::score(flow, address), rank::score(flow, address));
/// ```
pub fn score(flow: FlowKey, upstream: Ipv4Addr) -> u64 {
    let mut hasher = flow_hasher(flow);
    hasher.write_u32(upstream.to_bits());
    hasher.finish()
}

/// Hash of a flow alone, for weighted choices.
pub fn flow_hash(flow: FlowKey) -> u64 {
    flow_hasher(flow).finish()
}

fn flow_hasher(flow: FlowKey) -> SipHasher13 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(flow.caller.ip().to_bits());
    hasher.write_u16(flow.caller.port());
    hasher.write_u32(flow.endpoint.ip().to_bits());
    hasher.write_u16(flow.endpoint.port());
    hasher
}
