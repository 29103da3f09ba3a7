//! Notices to balancers: that this agent is leaving, whether its peers are up, and which earlier
//! memberships are outdated.
//!
//! A leaving agent keeps running until the balancers have stopped sending to it.

use std::net::SocketAddr;

use decision::agent::Forwarding;
use decision::keys::FlowId;
use decision::message::OutdatedReport;
use decision::spread::Member;
use decision::time::Millis;
use shell::udp::{self, Prefix};
use wire::gue::{self, Content};
use wire::notice::{self, Notice};
use wire::sealed::{Header, Payload, SEALED_BYTES};

use super::DataPlane;

/// Maximum number of balancers tracked: twice the number in the two-year scale target.
const BALANCERS_MAX: usize = 4_096;
/// A balancer that has not sent for this long may be removed; it has probably been replaced.
const BALANCER_EXPIRY_MS: u64 = 600_000;
/// Balancers that one agent notifies when a peer fails or recovers. Two suffice, because every
/// agent of the service sends such notices.
const BALANCERS_PER_REPORT: usize = 2;
/// Balancers that one agent tells of an outdated membership. Every agent of the service does so, each
/// time to others.
const BALANCERS_PER_OUTDATED: usize = 4;
/// Balancers that one agent asks for outdated memberships at a time.
const BALANCERS_PER_QUESTION: usize = 8;
/// Time between two leave notices, which are repeated because one may be lost.
const NOTICE_INTERVAL_MS: u64 = 100;
/// Time without packets from balancers after which they are considered to have stopped sending. A
/// balancer acts on a notice within its publishing interval of 25 ms plus the 40 ms that building a
/// snapshot takes at the target size, and three notices fit in this time.
const BALANCER_IDLE_MS: u64 = 300;

/// Balancers that send to this agent, and the progress of its leaving.
#[derive(Debug, Default)]
pub(super) struct LeaveState {
    /// Data addresses with the time of the last packet recorded, sorted by address.
    balancers: Vec<(SocketAddr, Millis)>,
    last_direct_packet: Millis,
    next_notice: Millis,
    leaving: bool,
}

impl LeaveState {
    /// Records a packet that came directly from a balancer.
    pub(super) fn record_packet(&mut self, now: Millis, source: Option<SocketAddr>) {
        self.last_direct_packet = now;
        let Some(source) = source else { return };
        match self.balancers.binary_search_by_key(&source, |(known, _)| *known) {
            Ok(index) => self.balancers[index].1 = now,
            Err(index) if self.balancers.len() < BALANCERS_MAX => {
                self.balancers.insert(index, (source, now));
            }
            Err(_) => self.expire_balancers(now),
        }
    }

    /// Chooses up to `count` random balancers among those that have sent to this agent.
    fn random_balancers(&self, count: usize) -> Vec<SocketAddr> {
        let mut known: Vec<SocketAddr> =
            self.balancers.iter().map(|(address, _)| *address).collect();
        let mut chosen = Vec::new();
        for _ in 0..count.min(known.len()) {
            chosen.push(known.swap_remove(rand::random_range(0..known.len())));
        }
        chosen
    }

    /// Starts leaving.
    pub(super) fn begin(&mut self, now: Millis) {
        self.leaving = true;
        self.last_direct_packet = now;
        self.expire_balancers(now);
    }

    /// Whether the agent is leaving and no balancer has sent for [`BALANCER_IDLE_MS`].
    pub(super) fn balancers_stopped_sending(&self, now: Millis) -> bool {
        self.leaving && now.since(self.last_direct_packet) >= BALANCER_IDLE_MS
    }

    /// Returns the balancers to notify now, and schedules the next notice.
    fn balancers_due(&mut self, now: Millis) -> Vec<SocketAddr> {
        if !self.leaving || now < self.next_notice {
            return Vec::new();
        }
        self.next_notice = now.after(NOTICE_INTERVAL_MS);
        self.balancers.iter().map(|(address, _)| *address).collect()
    }

    fn expire_balancers(&mut self, now: Millis) {
        self.balancers.retain(|(_, last_seen)| now.since(*last_seen) < BALANCER_EXPIRY_MS);
    }
}

impl DataPlane {
    /// Notifies the balancers that this agent is leaving, if it is and a notice is due.
    pub(super) fn notify_balancers(&mut self, now: Millis) {
        let due = self.leave.balancers_due(now);
        if due.is_empty() {
            return;
        }
        self.send_notice(Notice::Leaving, &due);
    }

    /// Notifies some balancers whether a peer is up. They pass it on to the others by gossip.
    pub(super) fn report_peer(&mut self, member: Member) {
        let Member { upstream, beat, up } = member;
        let to = self.leave.random_balancers(BALANCERS_PER_REPORT);
        self.send_notice(Notice::Peer { upstream: upstream.0, beat, up }, &to);
    }

    /// Tells some balancers that an earlier membership is outdated.
    pub(super) fn report_outdated(&mut self, report: OutdatedReport) {
        let to = self.leave.random_balancers(BALANCERS_PER_OUTDATED);
        self.send_notice(report.into(), &to);
    }

    /// Asks some balancers which earlier memberships are outdated.
    pub(super) fn ask_outdated(&mut self) {
        let to = self.leave.random_balancers(BALANCERS_PER_QUESTION);
        self.send_notice(Notice::AskOutdated, &to);
    }

    fn send_notice(&mut self, notice: Notice, to: &[SocketAddr]) {
        let body = notice::encode(notice);
        let header: Header = self.own_header(FlowId(0), 0, Forwarding::Direct);
        let mut private = [0; SEALED_BYTES];
        if self.config.keyring.seal(&header, Payload::Control(&body), &mut private).is_err() {
            return;
        }
        let frame = gue::header(Content::Control(notice::CONTROL_TYPE), SEALED_BYTES);
        let prefix = Prefix::new(frame, &private);
        for address in to {
            // A balancer that cannot be reached does not send to this agent either.
            let _ = udp::send_one(&self.config.socket, &prefix, &body, *address, &mut self.scratch);
        }
    }
}
