//! Installation of new settings.

use std::sync::Arc;

use super::flows::FlowLifetimes;
use super::mutant::mutated;
use super::peers::Peer;
use super::quorum::Memberships;
use super::{Action, Agent, TimelineEntry, limits};
use crate::keys::{ServiceKey, Version};
use crate::time::Millis;
use crate::view::{Transport, UpstreamState, View, WhenInDoubt};

/// The settings in force for this agent's service and upstream, derived once per installed view.
#[derive(Debug)]
pub(super) struct ServiceSettings {
    pub(super) version: Version,
    /// First version that lists the own upstream.
    pub(super) since: Version,
    pub(super) when_in_doubt: WhenInDoubt,
    /// Whether some endpoint takes datagrams, where a copy of an opening at the same upstream is a
    /// second run. TCP recognizes copies itself.
    pub(super) datagrams: bool,
    /// Whether all endpoints of the service take datagrams.
    pub(super) only_datagrams: bool,
    pub(super) lifetimes: FlowLifetimes,
    pub(super) state: UpstreamState,
    pub(super) max_flows: u32,
    pub(super) memberships: Memberships,
}

impl Agent {
    /// Installs a view if it is newer for this service. Older settings never replace newer ones,
    /// whatever their source.
    pub(super) fn install_view(&mut self, now: Millis, view: Arc<View>, out: &mut Vec<Action>) {
        let Some(key) = view.find_service(self.config.service) else { return };
        let version = version_of(&view, key);
        let known = self.service.is_some();
        let newer = version > self.settings.version || mutated!(self, OlderSettingsAccepted);
        if known && !newer {
            return;
        }
        let homes = self.homes();
        self.adopt_view(now, view, key);
        self.record_former_homes(now, &homes);
        self.recheck_recall(now, out);
        self.balancer_reports.report_soon();
        out.push(Action::Record(TimelineEntry::ViewInstalled(version)));
        self.update_announce_targets();
        self.recount_pending_claims(now, out);
        self.send_heartbeats(now, out);
    }

    pub(super) fn adopt_view(&mut self, now: Millis, view: Arc<View>, key: ServiceKey) {
        let is_first = self.service.is_none();
        self.view = view;
        self.service = Some(key);
        self.update_listed_peers(now);
        self.settings = self.summarize(now, key);
        if is_first {
            self.recall.newly_listed = self.settings.since == self.settings.version;
        }
        self.seen_version = self.seen_version.max(self.settings.version);
    }

    fn update_listed_peers(&mut self, now: Millis) {
        for (_, peer) in self.peers.iter_mut() {
            peer.listed = false;
        }
        let Some(key) = self.service else { return };
        for upstream in self.view.service(key).upstream_keys() {
            let upstream = self.view.upstream(upstream);
            if upstream.id == self.config.upstream {
                continue;
            }
            if self.peers.get(upstream.id).is_none() {
                self.peers.insert(upstream.id, Peer { listed_at: now, ..Peer::default() });
                self.former_homes.add_everywhere(now, upstream.id);
            }
            let Some(peer) = self.peers.get_mut(upstream.id) else { continue };
            peer.listed = true;
            peer.retired = upstream.spec.state == UpstreamState::Retired;
        }
    }

    fn summarize(&self, now: Millis, key: ServiceKey) -> ServiceSettings {
        let service = self.view.service(key);
        let version = version_of(&self.view, key);
        let own = self.view.find_upstream(key, self.config.upstream);
        let spec = own.map(|own| &self.view.upstream(own).spec);
        let endpoints = &service.spec.endpoints;
        let is_datagram = |transport: Transport| transport == Transport::Udp;
        let only_datagrams = !endpoints.is_empty()
            && endpoints.iter().all(|endpoint| is_datagram(endpoint.transport));
        ServiceSettings {
            version,
            when_in_doubt: service.spec.when_in_doubt,
            datagrams: endpoints.iter().any(|endpoint| is_datagram(endpoint.transport)),
            only_datagrams,
            lifetimes: lifetimes(only_datagrams),
            state: spec.map_or(UpstreamState::Retired, |spec| spec.state),
            max_flows: spec.map_or(0, |spec| spec.max_flows),
            since: spec.map_or(Version(0), |spec| spec.since),
            memberships: Memberships::of(
                now,
                &self.view,
                service,
                version,
                &self.settings.memberships,
            ),
        }
    }
}

impl ServiceSettings {
    /// Placeholder until some settings list the service.
    pub(super) fn none() -> Self {
        Self {
            version: Version(0),
            since: Version(0),
            when_in_doubt: WhenInDoubt::Refuse,
            datagrams: true,
            only_datagrams: false,
            lifetimes: lifetimes(false),
            state: UpstreamState::Retired,
            max_flows: 0,
            memberships: Memberships::default(),
        }
    }
}

fn version_of(view: &View, key: ServiceKey) -> Version {
    view.account(view.service(key).account).version
}

fn lifetimes(only_datagrams: bool) -> FlowLifetimes {
    if only_datagrams {
        return FlowLifetimes {
            idle_ms: limits::DATAGRAM_IDLE_TIMEOUT_MS,
            unanswered_ms: limits::DATAGRAM_UNANSWERED_TIMEOUT_MS,
        };
    }
    FlowLifetimes {
        idle_ms: limits::FLOW_IDLE_TIMEOUT_MS,
        unanswered_ms: limits::HANDSHAKE_TIMEOUT_MS,
    }
}
