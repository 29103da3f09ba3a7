//! Redirects: flows of this service that other agents hold, as they have announced them.
//!
//! Soft state. A missing redirect costs a lookup, a wrong one an extra hop.

use std::collections::VecDeque;

use super::flow_map::FlowMap;
use super::limits;
use crate::keys::{FlowId, Incarnation, UpstreamId};
use crate::message::{Entrusted, Opening};
use crate::time::Millis;

/// What a redirect rests on, the weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The holder has answered a question.
    Found,
    /// This agent has assigned the opening.
    Assigned,
    /// The holder has announced the flow.
    Announced,
}

/// Where a flow is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Redirect {
    /// Its holder.
    pub holder: UpstreamId,
    /// Life of the holder's agent that said so, or to which the opening was assigned; zero where another
    /// agent said it.
    pub incarnation: Incarnation,
    /// Nonce of its opening, if known.
    pub nonce: Option<u32>,
    /// When it was opened, as far as the holder's clockless report tells.
    pub opened_at: Millis,
    /// How this agent knows.
    pub evidence: Evidence,
    /// Whether it is closing: late packets still follow, openings do not.
    pub closing: bool,
    /// When it is forgotten without refresh.
    pub expires_at: Millis,
}

/// All redirects.
#[derive(Debug, Default)]
pub(super) struct RedirectTable {
    redirects: FlowMap<Redirect>,
    /// Redirects in the order of their last check.
    check_order: VecDeque<(Millis, FlowId)>,
}

impl RedirectTable {
    pub(super) fn get(&self, now: Millis, flow: FlowId) -> Option<&Redirect> {
        self.redirects.get(&flow).filter(|redirect| redirect.expires_at > now)
    }

    pub(super) fn len(&self) -> usize {
        self.redirects.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (FlowId, &Redirect)> {
        self.redirects.iter().map(|(flow, redirect)| (*flow, redirect))
    }

    pub(super) fn remove(&mut self, flow: FlowId) {
        self.redirects.remove(&flow);
    }

    /// Records a redirect; when the table is full, the one unchecked for longest makes room.
    pub(super) fn insert(&mut self, now: Millis, flow: FlowId, redirect: Redirect) {
        if self.redirects.insert(flow, redirect).is_some() {
            return;
        }
        self.check_order.push_back((now, flow));
        while self.redirects.len() > limits::MAX_REDIRECTS {
            let Some((_, oldest)) = self.check_order.pop_front() else { return };
            self.redirects.remove(&oldest);
        }
    }

    /// Takes in a holder's word about a flow that it has open.
    ///
    /// An old holder that has not noticed the end of its flow refreshes it for hours. If that
    /// replaced the redirect of a later flow on the same ports, the later flow would be reset by
    /// the wrong upstream; the later opening therefore stands.
    pub(super) fn apply_announcement(
        &mut self,
        now: Millis,
        (holder, incarnation): (UpstreamId, Incarnation),
        opening: Opening,
        opened_at: Millis,
    ) {
        let known = self.get(now, opening.flow).copied();
        let keep_known = known.is_some_and(|known| {
            let same_opening = known.nonce == Some(opening.nonce);
            let earlier = known.opened_at > opened_at;
            known.holder != holder
                && known.evidence == Evidence::Announced
                && !known.closing
                && (same_opening || earlier)
        });
        if keep_known {
            return;
        }
        let redirect = Redirect {
            holder,
            incarnation,
            nonce: Some(opening.nonce),
            opened_at,
            evidence: Evidence::Announced,
            closing: false,
            expires_at: now.after(limits::REDIRECT_TTL_MS),
        };
        self.insert(now, opening.flow, redirect);
    }

    /// The holder says that the flow is closing or has ended.
    pub(super) fn close(&mut self, now: Millis, holder: UpstreamId, opening: Opening) {
        let Some(redirect) = self.redirects.get_mut(&opening.flow) else { return };
        // Zero where the holder does not know the opening itself.
        let same = opening.nonce == 0 || redirect.nonce.is_none_or(|nonce| nonce == opening.nonce);
        if redirect.holder == holder && same {
            redirect.closing = true;
            redirect.expires_at = now.after(limits::FINISH_LINGER_MS);
        }
    }

    /// The caller uses the ports of a closing flow again, see [`super::Agent::forget_closing`].
    pub(super) fn forget_closing(&mut self, opening: Opening) {
        let known = self.redirects.get(&opening.flow);
        if known.is_some_and(|known| known.closing && known.nonce != Some(opening.nonce)) {
            self.redirects.remove(&opening.flow);
        }
    }

    /// Takes in what another agent knows of a silent holder; whatever is known here stands.
    pub(super) fn insert_reported(&mut self, now: Millis, entrusted: Entrusted) {
        if self.get(now, entrusted.opening.flow).is_some() {
            return;
        }
        let redirect = Redirect {
            holder: entrusted.holder,
            incarnation: Incarnation(0),
            nonce: Some(entrusted.opening.nonce),
            opened_at: Millis(0),
            evidence: Evidence::Found,
            closing: false,
            expires_at: now.after(limits::REDIRECT_TTL_MS),
        };
        self.insert(now, entrusted.opening.flow, redirect);
    }

    /// The upstream of `holder` has started anew beside its life `born`: flows from before are gone.
    pub(super) fn remove_before(&mut self, holder: UpstreamId, born: Incarnation) {
        self.redirects.retain(|_, known| known.holder != holder || known.incarnation >= born);
    }

    /// One page of the openings of all redirects that are `wanted`, from flow `from` on, and where the
    /// next page begins. A scan: it runs only when a peer has restarted.
    pub(super) fn page(
        &self,
        now: Millis,
        wanted: impl Fn(&Redirect) -> bool,
        from: FlowId,
    ) -> (Vec<Entrusted>, Option<FlowId>) {
        let mut page: Vec<Entrusted> = self
            .iter()
            .filter(|(flow, redirect)| {
                *flow >= from && wanted(redirect) && !redirect.closing && redirect.expires_at > now
            })
            .map(|(flow, redirect)| Entrusted {
                opening: Opening { flow, nonce: redirect.nonce.unwrap_or(0) },
                holder: redirect.holder,
            })
            .collect();
        let by_flow = |entry: &Entrusted| entry.opening;
        if page.len() <= limits::OPENINGS_PER_PAGE {
            page.sort_unstable_by_key(by_flow);
            return (page, None);
        }
        page.select_nth_unstable_by_key(limits::OPENINGS_PER_PAGE, by_flow);
        let next = page[limits::OPENINGS_PER_PAGE].opening.flow;
        page.truncate(limits::OPENINGS_PER_PAGE);
        page.sort_unstable_by_key(by_flow);
        (page, Some(next))
    }

    /// Forgets what has expired, a bounded number at a time.
    pub(super) fn expire(&mut self, now: Millis) {
        const CHECK_MS: u64 = 60_000;
        const CHECKS_PER_TICK: usize = 512;
        for _ in 0..CHECKS_PER_TICK {
            let Some(&(checked_at, flow)) = self.check_order.front() else { return };
            if now.since(checked_at) < CHECK_MS {
                return;
            }
            self.check_order.pop_front();
            match self.redirects.get(&flow) {
                None => {}
                Some(redirect) if redirect.expires_at <= now => {
                    self.redirects.remove(&flow);
                }
                Some(_) => self.check_order.push_back((now, flow)),
            }
        }
    }
}
