//! The agent's decisions: which openings its upstream accepts, and where every other packet goes.
//!
//! The agent beside an upstream is authoritative for the flows of that upstream. What it knows
//! about flows of other upstreams is soft state, learned from peers and rebuilt after a restart.

pub mod assign;
pub mod limits;

mod announce;
mod at_most_once;
mod balancer_reports;
mod claimant;
mod claims;
mod finding;
mod flow_map;
mod flows;
mod handover;
mod health;
mod home;
mod install;
mod lookup;
mod mutant;
mod optimistic;
mod outbox;
mod packet;
mod peers;
mod pending;
mod quorum;
mod reading;
mod recall;
mod redirects;
mod relearn;
mod sorted;
mod status;
#[cfg(test)]
mod tests;
mod types;
mod witness;

use std::sync::Arc;

pub use flows::FlowState;
#[cfg(feature = "mutants")]
pub use mutant::Mutant;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
pub use redirects::{Evidence, Redirect};
pub use status::{AgentStatus, Explanation, FlowLocation, Stats};
pub use types::*;

use crate::keys::{ServiceKey, UpstreamId, Version};
use crate::message::Message;
use crate::time::Millis;
use crate::view::View;

/// The decision state of one agent.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    view: Arc<View>,
    service: Option<ServiceKey>,
    settings: install::ServiceSettings,
    policy: assign::Policy,
    random: Pcg64Mcg,
    started_at: Millis,
    last_tick: Millis,
    leaving: bool,
    handover: handover::Handover,
    flows: flows::FlowTable,
    redirects: redirects::RedirectTable,
    claims: claims::ClaimTable,
    pending: pending::PendingTable,
    lookups: lookup::LookupTable,
    lookup_tokens: lookup::TokenBucket,
    peers: peers::PeerTable,
    former_homes: home::FormerHomes,
    health: health::Health,
    recovery: relearn::Recovery,
    recall: recall::Recall,
    reading: reading::Reading,
    balancer_reports: balancer_reports::BalancerReports,
    /// Agents to which the flows are announced, by bucket.
    announce_targets: Vec<announce::Targets>,
    next_heartbeat_at: Millis,
    /// Counter of heartbeats. Its initial value differs between agents.
    heartbeats: u64,
    next_refresh_at: Millis,
    refresh_bucket: u16,
    seen_version: Version,
    next_fetch_at: Millis,
    last_hold_key: u32,
    next_question: u64,
    #[cfg(feature = "mutants")]
    mutant: Option<Mutant>,
}

impl Agent {
    /// Creates an agent from the newest settings that the shell could fetch.
    ///
    /// ```
    /// use decision::agent::{Agent, AgentConfig};
    /// use decision::keys::{Incarnation, ServiceId, UpstreamId};
    /// use decision::time::Millis;
    ///
    /// let config = AgentConfig {
    ///     upstream: UpstreamId::of("cascadia", "shelf", "shelf-1"),
    ///     service: ServiceId::of("cascadia", "shelf"),
    ///     incarnation: Incarnation(1),
    ///     may_have_prior_flows: false,
    ///     seed: 1,
    /// };
    /// let agent = Agent::new(config, Default::default(), Millis(0));
    /// assert_eq!(agent.open_flows(), 0);
    /// ```
    pub fn new(config: AgentConfig, view: Arc<View>, now: Millis) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(config.seed ^ config.incarnation.0);
        let heartbeats = config.upstream.0;
        let next_question = rand::Rng::next_u64(&mut random);
        let recovery = match config.may_have_prior_flows {
            true => relearn::Recovery::Relearning,
            false => relearn::Recovery::Complete,
        };
        let mut agent = Self {
            config,
            view: view.clone(),
            service: None,
            settings: install::ServiceSettings::none(),
            policy: assign::two_choices_prefer_local,
            random,
            started_at: now,
            last_tick: now,
            leaving: false,
            handover: handover::Handover::default(),
            flows: flows::FlowTable::default(),
            redirects: redirects::RedirectTable::default(),
            claims: claims::ClaimTable::default(),
            pending: pending::PendingTable::default(),
            lookups: lookup::LookupTable::default(),
            lookup_tokens: lookup::TokenBucket::full(now),
            peers: peers::PeerTable::default(),
            former_homes: home::FormerHomes::default(),
            health: health::Health::default(),
            recovery,
            recall: recall::Recall::default(),
            reading: reading::Reading::default(),
            balancer_reports: balancer_reports::BalancerReports::default(),
            announce_targets: Vec::new(),
            next_heartbeat_at: now,
            heartbeats,
            next_refresh_at: now,
            refresh_bucket: 0,
            seen_version: Version(0),
            next_fetch_at: now,
            last_hold_key: 0,
            next_question,
            #[cfg(feature = "mutants")]
            mutant: None,
        };
        if let Some(key) = view.find_service(agent.config.service) {
            agent.adopt_view(now, view, key);
            agent.update_announce_targets();
        }
        agent
    }

    /// Replaces the policy by which openings are assigned to upstreams. The default is
    /// [`assign::two_choices_prefer_local`].
    pub fn set_policy(&mut self, policy: assign::Policy) {
        self.policy = policy;
    }

    /// States that this process was up, with settings that the configuration service had confirmed,
    /// before any settings listed its upstream. Only then can no earlier incarnation have voted
    /// under this listing.
    pub fn set_started_before_listing(&mut self) {
        self.recall.started_before_listing = true;
    }

    /// Disables one safeguard, or none.
    #[cfg(feature = "mutants")]
    pub fn set_mutant(&mut self, mutant: Option<Mutant>) {
        self.mutant = mutant;
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.detect_pause(now);
        match event {
            Event::Message { from, message } => self.handle_message(now, from, message, out),
            Event::View(view) => self.install_view(now, view, out),
            Event::Upstream(report) => self.upstream_report_received(now, report, out),
            Event::PeerHint { upstream, alive } => {
                self.liveness_hint_received(now, upstream, alive, out)
            }
            Event::Outdated(report) => self.outdated_reported(now, report),
            Event::Leave => self.leave(now, out),
            Event::Tick => self.tick(now, out),
        }
    }

    /// Runs the periodic work over all tables. The work of each step is bounded.
    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.last_tick = now;
        self.process_pending_claims(now, out);
        self.poll_lookups(now, out);
        self.expire_flows(now, out);
        self.redirects.expire(now);
        self.claims.expire(now);
        self.former_homes.expire(now);
        self.prune_memberships(now);
        self.suspect_unresponsive(now, out);
        self.notify_if_accepting_changed(now, out);
        self.heartbeat_if_due(now, out);
        self.refresh_announcements(now);
        self.send_announcements(now, out);
        self.send_handover(now, out);
        self.relearn(now, out);
        self.recall.expire_disputes(now);
        self.request_recall(now, out);
        self.seal_records();
        self.read_witnesses(now, out);
        self.exchange_outdated(now, out);
    }

    fn leave(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.leaving {
            return;
        }
        let homes = self.homes();
        self.leaving = true;
        self.record_former_homes(now, &homes);
        let ids: Vec<UpstreamId> = self.peers.iter().map(|(id, _)| id).collect();
        ids.into_iter().for_each(|id| self.expedite_announcements(id));
        self.send_announcements(now, out);
        self.send_heartbeats(now, out);
        self.balancer_reports.report_soon();
    }

    fn handle_message(
        &mut self,
        now: Millis,
        from: UpstreamId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if from == self.config.upstream || !self.ensure_peer(now, from) {
            return;
        }
        self.mark_peer_alive(now, from, out);
        match message {
            Message::ClaimRequest { opening, claim, view, incarnation } => {
                let request = witness::Request { from, opening, claim, view, incarnation };
                self.claim_request_received(now, request, out);
            }
            Message::ClaimReply { opening, claim, answer, view, incarnation } => {
                let reply = claimant::Reply { opening, claim, answer, view, incarnation };
                self.claim_reply_received(now, from, reply, out);
            }
            Message::Announce { incarnation, sequence, notes } => {
                self.announce_received(now, from, (incarnation, sequence), &notes, out);
            }
            Message::AnnounceAck { incarnation, sequence } => {
                self.announce_ack_received(now, from, incarnation, sequence, out);
            }
            Message::Ask { flow, question } => {
                let knowledge = self.knowledge(now, flow, 0);
                let view = self.settings.version;
                let message = Message::AskReply { flow, question, knowledge, view };
                out.push(Action::Send { to: from, message });
            }
            Message::AskAbout { flow, question, sequence } => {
                let knowledge = self.knowledge_with_upstream_report(now, flow, sequence);
                let view = self.settings.version;
                let message = Message::Tell { flow, question, knowledge, view };
                out.push(Action::Send { to: from, message });
            }
            Message::AskReply { flow, question, knowledge, view }
            | Message::Tell { flow, question, knowledge, view } => {
                self.observe_version(now, view, out);
                self.answer_received(now, from, lookup::Answer { flow, question, knowledge }, out);
            }
            Message::Relearn { incarnation, from: first } => {
                self.relearn_requested(now, from, incarnation, first, out);
            }
            Message::RelearnReply {
                incarnation,
                from: first,
                openings,
                entrusted,
                next,
                complete,
            } => {
                let page =
                    relearn::Page { incarnation, from: first, openings, entrusted, next, complete };
                self.relearn_page_received(now, from, page, out);
            }
            Message::Recall { incarnation, from: first } => {
                self.recall_requested(now, from, incarnation, first, out);
            }
            Message::RecallReply {
                incarnation,
                from: first,
                records,
                next,
                memory,
                met_before,
            } => {
                let page =
                    recall::Page { incarnation, from: first, records, next, memory, met_before };
                self.recall_page_received(now, from, page, out);
            }
            Message::ReadClaims { incarnation, from: first } => {
                self.claims_requested(now, from, incarnation, first, out);
            }
            Message::ClaimsPage { incarnation, from: first, records, next, extent } => {
                let page = reading::Page { incarnation, from: first, records, next, extent };
                self.claims_page_received(now, from, page, out);
            }
            Message::Heartbeat(heartbeat) => self.heartbeat_received(now, from, heartbeat, out),
            Message::Outdated(outdated) => self.settings.memberships.learn_outdated(now, outdated),
            Message::HandedOver { incarnation, state } => {
                self.handover_received(now, from, (incarnation, state), out);
            }
            Message::Former { incarnation, former } => {
                self.previous_incarnation_reported(from, incarnation, former);
            }
        }
    }

    /// Creates an entry for a peer that newer settings may list. Returns false if there are too
    /// many peers.
    fn ensure_peer(&mut self, now: Millis, id: UpstreamId) -> bool {
        if self.peers.get(id).is_some() {
            return true;
        }
        if self.peers.len() >= limits::MAX_PEERS {
            return false;
        }
        self.peers.insert(id, peers::Peer { listed_at: now, ..peers::Peer::default() });
        true
    }

    /// Records a settings version that another agent or a balancer has named, and requests it if it
    /// is newer than the one in force.
    fn observe_version(&mut self, now: Millis, version: Version, out: &mut Vec<Action>) {
        let is_newer = version > self.seen_version;
        self.seen_version = self.seen_version.max(version);
        if version <= self.settings.version || (!is_newer && now < self.next_fetch_at) {
            return;
        }
        self.next_fetch_at = now.after(limits::FETCH_RETRY_MS);
        out.push(Action::FetchSettings { at_least: self.seen_version });
    }

    /// Removes memberships under which no agent can claim any more.
    fn prune_memberships(&mut self, now: Millis) {
        let self_id = self.config.upstream;
        let peers = &self.peers;
        let runs = |id: UpstreamId, version: Version| {
            id == self_id || peers.get(id).is_some_and(|peer| peer.view >= version)
        };
        self.settings.memberships.drop_outdated(now, runs);
    }

    fn expire_flows(&mut self, now: Millis, out: &mut Vec<Action>) {
        for (id, flow) in self.flows.expire(now, self.settings.lifetimes) {
            if flow.state == FlowState::Open {
                out.push(Action::Record(TimelineEntry::Ended(id)));
            }
            self.announce_end(id, &flow);
        }
    }

    fn next_hold_key(&mut self) -> HoldKey {
        self.last_hold_key = self.last_hold_key.wrapping_add(1);
        HoldKey(self.last_hold_key)
    }
}
