//! Assignment of openings to the upstreams that accept them.

use rand::Rng as _;
use rand_pcg::Pcg64Mcg;

use super::Agent;
use crate::keys::UpstreamId;
use crate::time::Millis;
use crate::view::{UpstreamSpec, UpstreamState};

/// An upstream that accepts openings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Load relative to its weight, in millionths of a flow at a weight of one.
    pub load: u64,
    /// Increase of its load by one more flow.
    pub step: u64,
    /// Whether it is the upstream of the choosing agent, which needs no extra hop.
    pub local: bool,
    /// Whether it is in the availability zone of the choosing agent.
    pub same_zone: bool,
}

/// Chooses a candidate and returns its index. The list is never empty.
pub type Policy = fn(&[Candidate], &mut Pcg64Mcg) -> usize;

/// Number of flows by which the local upstream may exceed another one before that one is preferred.
const LOCAL_MARGIN_FLOWS: u64 = 2;

/// Chooses the local upstream if it is a candidate, whatever its load. This avoids the extra hop.
pub fn prefer_local(candidates: &[Candidate], random: &mut Pcg64Mcg) -> usize {
    let local = candidates.iter().position(|candidate| candidate.local);
    local.unwrap_or_else(|| two_choices(candidates, random))
}

/// Chooses the less loaded of two random candidates. Homes decide by loads that are up to one
/// heartbeat old, so if they all chose the least loaded candidate, they would all choose the same
/// upstream.
pub fn two_choices(candidates: &[Candidate], random: &mut Pcg64Mcg) -> usize {
    let first = random_index(random, candidates.len());
    if candidates.len() == 1 {
        return first;
    }
    let skip = 1 + random_index(random, candidates.len() - 1);
    let second = (first + skip) % candidates.len();
    if candidates[second].load < candidates[first].load { second } else { first }
}

/// Like [`two_choices`], but keeps the local upstream while its load exceeds that of the other by
/// no more than a small margin. Most openings then need no extra hop.
pub fn two_choices_prefer_local(candidates: &[Candidate], random: &mut Pcg64Mcg) -> usize {
    let chosen = two_choices(candidates, random);
    let Some(local) = candidates.iter().position(|candidate| candidate.local) else {
        return chosen;
    };
    let margin = LOCAL_MARGIN_FLOWS * candidates[local].step;
    if candidates[local].load <= candidates[chosen].load + margin { local } else { chosen }
}

/// Chooses the least loaded candidate, and the local one among equals.
pub fn least_loaded(candidates: &[Candidate], _random: &mut Pcg64Mcg) -> usize {
    let key = |index: &usize| (candidates[*index].load, !candidates[*index].local);
    (0..candidates.len()).min_by_key(key).unwrap_or(0)
}

impl Agent {
    /// Chooses the holder of a new flow, or `None` if no upstream can accept it.
    pub(super) fn choose_holder(&mut self, now: Millis, exclude_local: bool) -> Option<UpstreamId> {
        let mut candidates = self.candidates(now);
        candidates.retain(|candidate| !(exclude_local && candidate.local));
        if candidates.is_empty() {
            return None;
        }
        let spill_percent = self.spill_percent();
        let preferred = prefer_zone(&candidates, spill_percent);
        let index = (self.policy)(&preferred, &mut self.random);
        preferred.get(index).map(|candidate| candidate.upstream)
    }

    /// All upstreams that accept openings as far as this agent knows.
    pub(super) fn candidates(&mut self, now: Millis) -> Vec<Candidate> {
        let Some(key) = self.service else { return Vec::new() };
        let local_zone = self.local_spec().map(|spec| spec.zone.clone());
        let local_accepts = self.accepts_openings(now);
        let view = self.view.clone();
        let upstreams = view.service(key).upstream_keys().map(|key| view.upstream(key));
        let listed = upstreams.filter(|upstream| upstream.spec.state == UpstreamState::Active);
        listed
            .filter_map(|upstream| {
                let local = upstream.id == self.config.upstream;
                let (flows, ramp_percent) = match local {
                    true => local_accepts.then(|| (self.local_load(), self.ramp_percent(now)))?,
                    false => self.peer_load(upstream.id, &upstream.spec)?,
                };
                let step = 1_000_000 / (u64::from(upstream.spec.weight.max(1)) * ramp_percent);
                Some(Candidate {
                    upstream: upstream.id,
                    load: flows * step,
                    step,
                    local,
                    same_zone: local_zone.as_ref() == Some(&upstream.spec.zone),
                })
            })
            .collect()
    }

    fn local_load(&self) -> u64 {
        (self.counted_flows() + self.flows.unanswered() + self.pending.len()) as u64
    }

    /// Load and ramp of a peer, by its last heartbeat and the openings assigned to it since then.
    /// `None` if it accepts none.
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

    fn local_spec(&self) -> Option<&UpstreamSpec> {
        let key = self.view.find_upstream(self.service?, self.config.upstream)?;
        Some(&self.view.upstream(key).spec)
    }
}

/// Returns the candidates of the local zone if their mean load exceeds the mean load of all
/// candidates by no more than `spill_percent`, otherwise all candidates.
fn prefer_zone(candidates: &[Candidate], spill_percent: u64) -> Vec<Candidate> {
    let preferred: Vec<Candidate> =
        candidates.iter().copied().filter(|candidate| candidate.same_zone).collect();
    if preferred.is_empty() || preferred.len() == candidates.len() {
        return candidates.to_vec();
    }
    let bound = mean(candidates) * u128::from(100 + spill_percent) / 100;
    let step = u128::from(preferred[0].step);
    if mean(&preferred) <= bound + step { preferred } else { candidates.to_vec() }
}

fn mean(candidates: &[Candidate]) -> u128 {
    let sum: u128 = candidates.iter().map(|candidate| u128::from(candidate.load)).sum();
    sum / candidates.len() as u128
}

/// A random index below `bound`.
fn random_index(random: &mut Pcg64Mcg, bound: usize) -> usize {
    let wide = u128::from(random.next_u64()) * bound as u128;
    (wide >> 64) as usize
}
