//! Where a flow is looked for.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use super::budget::Budget;
use super::flows::Entry;
use super::types::{Action, Destination, Reason};
use crate::flow::{FlowKey, Millis};
use crate::membership;
use crate::rank;
use crate::view::{Upstream, View};

/// Copies of a repeated packet that go to further upstreams at once.
const FAN_OUT: usize = 3;

/// Upstreams that may hold a flow, best guess first.
pub(super) fn candidates(view: &View, flow: FlowKey, now_ms: Millis) -> Vec<Upstream> {
    let Some(route) = view.routes.find(flow.endpoint) else { return Vec::new() };
    let mut ranked: Vec<(u64, Upstream)> = route
        .shares
        .iter()
        .flat_map(|share| view.upstreams_of(share.service))
        .filter(|upstream| !membership::is_gone(upstream.standing, now_ms))
        .map(|upstream| (rank::score(flow, upstream.address), *upstream))
        .collect();
    ranked.sort_by_key(|(score, upstream)| (Reverse(*score), upstream.address));
    ranked.into_iter().map(|(_, upstream)| upstream).collect()
}

/// The upstream to ask next. If the flow's opening went through here, it lives at one of those that
/// got a copy; otherwise those that were asked have not answered, and others come first.
pub(super) fn next_undenied<'a>(candidates: &'a [Upstream], entry: &Entry) -> Option<&'a Upstream> {
    let opened_here = entry.sequence.is_some();
    let open = |upstream: &&Upstream| !entry.has_denied(upstream.address);
    let likely = |upstream: &&Upstream| entry.has_asked(upstream.address) == opened_here;
    let first = candidates.iter().filter(open).find(likely);
    first.or_else(|| candidates.iter().find(open))
}

pub(super) fn next_unasked(
    candidates: &[Upstream],
    entry: &mut Entry,
    now_ms: Millis,
) -> Option<Ipv4Addr> {
    entry.forget_old_denials(now_ms);
    let next = next_undenied(candidates, entry).or(candidates.first())?;
    Some(next.address)
}

/// Sends copies of a packet that nobody answers to upstreams that did not deny the flow, but for the
/// one that is asked: the flow's upstream may be behind an agent or a link that is dead, or the entry
/// may be wrong. Which of them are asked changes from time to time. Returns the number of copies.
pub(super) fn fan_out(
    view: &View,
    flow: FlowKey,
    candidates: &[Upstream],
    entry: &mut Entry,
    budget: &mut Budget,
    actions: &mut Vec<Action>,
) -> u64 {
    let others: Vec<Upstream> = candidates
        .iter()
        .filter(|upstream| Some(upstream.address) != entry.target)
        .filter(|upstream| !entry.has_denied(upstream.address))
        .copied()
        .collect();
    let skip = entry.next_round(others.len(), FAN_OUT);
    let copies = (0..FAN_OUT.min(others.len())).take_while(|_| budget.spend()).count();
    for Upstream { address, service, .. } in others.iter().cycle().skip(skip).take(copies) {
        entry.note_copy(*address);
        let to = Destination::of(view, flow, *address, *service);
        actions.push(Action::Forward { to, ask: true, reason: Reason::Asked });
    }
    copies as u64
}
