//! Redirects: the flows of this service that other agents hold.
//!
//! They are soft state: a missing redirect costs a lookup, and a wrong one costs an extra hop.

use std::collections::VecDeque;

use super::flow_map::FlowMap;
use super::limits;
use crate::keys::{FlowId, Incarnation, UpstreamId};
use crate::message::{Entrusted, Opening};
use crate::time::Millis;

/// Evidence for a redirect, weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The holder has answered a lookup, or a peer has reported the holder.
    Found,
    /// This agent has assigned the opening.
    Assigned,
    /// The holder has announced the flow.
    Announced,
}

/// Location of a flow that another agent holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Redirect {
    /// Agent that holds the flow.
    pub holder: UpstreamId,
    /// Incarnation of the holder that announced the flow or was assigned the opening. Zero if
    /// unknown, as for flows that another agent has reported.
    pub incarnation: Incarnation,
    /// Nonce of its opening, if known.
    pub nonce: Option<u32>,
    /// Time of its opening. It is computed from the age that the holder has reported, since clocks
    /// are not synchronized.
    pub opened_at: Millis,
    /// Evidence for the redirect.
    pub evidence: Evidence,
    /// Whether the flow is closing. The redirect then applies to late packets but not to openings.
    pub closing: bool,
    /// Time at which the redirect expires unless it is refreshed.
    pub expires_at: Millis,
}

/// All redirects.
#[derive(Debug, Default)]
pub(super) struct RedirectTable {
    redirects: FlowMap<Redirect>,
    /// Flows in the order of the last expiry check of their redirects.
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

    /// Inserts a redirect. If the table is full, the redirect whose last expiry check is oldest is
    /// evicted.
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

    /// Applies the announcement of an open flow by its holder.
    ///
    /// A holder that has not noticed the end of its flow announces it for hours. If that replaced
    /// the redirect to a later flow on the same ports, the wrong upstream would reset the later
    /// flow. The redirect to the later opening is therefore kept.
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

    /// Records that the holder has announced the flow as closing or ended.
    pub(super) fn close(&mut self, now: Millis, holder: UpstreamId, opening: Opening) {
        let Some(redirect) = self.redirects.get_mut(&opening.flow) else { return };
        // The nonce is zero if the holder does not know the opening.
        let same = opening.nonce == 0 || redirect.nonce.is_none_or(|nonce| nonce == opening.nonce);
        if redirect.holder == holder && same {
            redirect.closing = true;
            redirect.expires_at = now.after(limits::FINISH_LINGER_MS);
        }
    }

    /// Removes the redirect of a closing flow whose ports the caller reuses, see
    /// [`super::Agent::forget_closing`].
    pub(super) fn forget_closing(&mut self, opening: Opening) {
        let known = self.redirects.get(&opening.flow);
        if known.is_some_and(|known| known.closing && known.nonce != Some(opening.nonce)) {
            self.redirects.remove(&opening.flow);
        }
    }

    /// Inserts a flow of an unresponsive holder that another agent has reported. A redirect that is
    /// already known is kept.
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

    /// Removes flows that `holder` announced before its incarnation `born`. Its upstream started
    /// with that incarnation, so flows from before are gone.
    pub(super) fn remove_before(&mut self, holder: UpstreamId, born: Incarnation) {
        self.redirects.retain(|_, known| known.holder != holder || known.incarnation >= born);
    }

    /// Returns one page of the openings of all redirects that are `wanted`, starting at flow
    /// `from`, and the start of the next page.
    ///
    /// This scans the whole table, but only after a peer has restarted.
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

    /// Removes expired redirects, a bounded number at a time.
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
