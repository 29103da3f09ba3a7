//! Spreading openings: who of the upstreams that take openings gets the next one.

use rand::Rng as _;
use rand_pcg::Pcg64Mcg;

use super::Agent;
use crate::keys::UpstreamId;
use crate::time::Millis;
use crate::view::{UpstreamSpec, UpstreamState};

/// An upstream that takes openings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Load relative to its weight: a millionth of a flow for a weight of one.
    pub load: u64,
    /// What one more flow adds to its load.
    pub step: u64,
    /// Whether it is the upstream of the agent that chooses: no extra hop.
    pub own: bool,
    /// Whether it is in the zone of the agent that chooses.
    pub same_zone: bool,
}

/// Picks the index of a candidate; the list is never empty.
pub type Policy = fn(&[Candidate], &mut Pcg64Mcg) -> usize;

/// Flows by which the own upstream may be busier than another before that one is preferred.
const OWN_MARGIN_FLOWS: u64 = 2;

/// The home keeps what it can: no extra hop, no regard for load.
pub fn home_only(candidates: &[Candidate], random: &mut Pcg64Mcg) -> usize {
    let own = candidates.iter().position(|candidate| candidate.own);
    own.unwrap_or_else(|| two_choices(candidates, random))
}

/// The less loaded of two random candidates. As every home decides on loads that are up to a
/// heartbeat old, choosing the least of all would send all homes to the same upstream.
pub fn two_choices(candidates: &[Candidate], random: &mut Pcg64Mcg) -> usize {
    let first = below(random, candidates.len());
    if candidates.len() == 1 {
        return first;
    }
    let skip = 1 + below(random, candidates.len() - 1);
    let second = (first + skip) % candidates.len();
    if candidates[second].load < candidates[first].load { second } else { first }
}

/// Two choices, but the own upstream is kept while it is at most a little busier: most openings
/// then need no extra hop.
pub fn two_choices_near(candidates: &[Candidate], random: &mut Pcg64Mcg) -> usize {
    let chosen = two_choices(candidates, random);
    let Some(own) = candidates.iter().position(|candidate| candidate.own) else { return chosen };
    let margin = OWN_MARGIN_FLOWS * candidates[own].step;
    if candidates[own].load <= candidates[chosen].load + margin { own } else { chosen }
}

/// The least loaded of all, the own one among equals.
pub fn least_loaded(candidates: &[Candidate], _random: &mut Pcg64Mcg) -> usize {
    let key = |index: &usize| (candidates[*index].load, !candidates[*index].own);
    (0..candidates.len()).min_by_key(key).unwrap_or(0)
}

impl Agent {
    /// Chooses the holder of a new flow, `None` if no upstream can take it.
    pub(super) fn choose(&mut self, now: Millis, without_own: bool) -> Option<UpstreamId> {
        let mut candidates = self.candidates(now);
        candidates.retain(|candidate| !(without_own && candidate.own));
        if candidates.is_empty() {
            return None;
        }
        let spill_percent = self.spill_percent();
        let near = prefer_zone(&candidates, spill_percent);
        let index = (self.policy)(&near, &mut self.random);
        near.get(index).map(|candidate| candidate.upstream)
    }

    /// Every upstream that takes openings as far as this agent knows.
    pub(super) fn candidates(&mut self, now: Millis) -> Vec<Candidate> {
        let Some(key) = self.service else { return Vec::new() };
        let own_zone = self.own_spec().map(|spec| spec.zone.clone());
        let own_accepts = self.accepts_openings(now);
        let view = self.view.clone();
        let upstreams = view.service(key).upstream_keys().map(|key| view.upstream(key));
        let listed = upstreams.filter(|upstream| upstream.spec.state == UpstreamState::Active);
        listed
            .filter_map(|upstream| {
                let own = upstream.id == self.config.upstream;
                let (flows, ramp_percent) = match own {
                    true => own_accepts.then(|| (self.own_load(), self.ramp_percent(now)))?,
                    false => self.peer_load(upstream.id, &upstream.spec)?,
                };
                let step = 1_000_000 / (u64::from(upstream.spec.weight.max(1)) * ramp_percent);
                Some(Candidate {
                    upstream: upstream.id,
                    load: flows * step,
                    step,
                    own,
                    same_zone: own_zone.as_ref() == Some(&upstream.spec.zone),
                })
            })
            .collect()
    }

    fn own_load(&self) -> u64 {
        (self.counted_flows() + self.flows.unanswered() + self.pending.len()) as u64
    }

    /// Load and ramp of a peer by its own count and by what was assigned to it since; `None` if
    /// it takes nothing.
    fn peer_load(&self, id: UpstreamId, spec: &UpstreamSpec) -> Option<(u64, u64)> {
        let peer = self.peers.get(id)?;
        let heartbeat = peer.heartbeat?;
        let flows = u64::from(heartbeat.open_flows) + u64::from(peer.assigned);
        if !peer.is_up() || !heartbeat.accepting || flows >= u64::from(spec.max_flows) {
            return None;
        }
        let ramp_percent = u64::from(heartbeat.ramp_percent).clamp(1, 100);
        Some((flows + u64::from(heartbeat.unanswered), ramp_percent))
    }

    fn spill_percent(&self) -> u64 {
        let key = self.service;
        key.map_or(0, |key| u64::from(self.view.service(key).spec.zone_spill_percent))
    }

    fn own_spec(&self) -> Option<&UpstreamSpec> {
        let key = self.view.find_upstream(self.service?, self.config.upstream)?;
        Some(&self.view.upstream(key).spec)
    }
}

/// The candidates of the own zone while their mean load is within the given percentage of the
/// mean of all, else all.
fn prefer_zone(candidates: &[Candidate], spill_percent: u64) -> Vec<Candidate> {
    let near: Vec<Candidate> =
        candidates.iter().copied().filter(|candidate| candidate.same_zone).collect();
    if near.is_empty() || near.len() == candidates.len() {
        return candidates.to_vec();
    }
    let bound = mean(candidates) * u128::from(100 + spill_percent) / 100;
    let step = u128::from(near[0].step);
    if mean(&near) <= bound + step { near } else { candidates.to_vec() }
}

fn mean(candidates: &[Candidate]) -> u128 {
    let sum: u128 = candidates.iter().map(|candidate| u128::from(candidate.load)).sum();
    sum / candidates.len() as u128
}

/// A random index below `bound`.
fn below(random: &mut Pcg64Mcg, bound: usize) -> usize {
    let wide = u128::from(random.next_u64()) * bound as u128;
    (wide >> 64) as usize
}
