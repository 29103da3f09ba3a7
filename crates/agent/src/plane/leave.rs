//! What the balancers are told: that this agent leaves, and how its peers are.
//!
//! A leaving agent stays until the balancers have stopped sending.

use std::net::SocketAddr;

use decision::agent::Forwarding;
use decision::keys::FlowId;
use decision::spread::Member;
use decision::time::Millis;
use shell::udp::{self, Prefix};
use wire::gue::{self, Content};
use wire::notice::{self, Notice};
use wire::sealed::{Header, Payload, SEALED_BYTES};

use super::DataPlane;

/// Balancers remembered, twice the number of the target of two years.
const BALANCERS_MAX: usize = 4_096;
/// A balancer not heard from for this long is forgotten; it has probably been replaced.
const BALANCER_EXPIRY_MS: u64 = 600_000;
/// Balancers that hear of a peer's failure from one agent. Every agent of the service says so.
const BALANCERS_PER_REPORT: usize = 2;
/// Time between two notices: one may be lost.
const NOTICE_INTERVAL_MS: u64 = 100;
/// How long no balancer must have sent. A balancer acts on a notice within its publishing interval
/// of 25 ms and the 40 ms that a snapshot takes at target size; three notices fit in this time.
const BALANCER_IDLE_MS: u64 = 300;

/// The balancers that send to this agent, and the state of its leaving.
#[derive(Debug, Default)]
pub(super) struct LeaveState {
    /// Data addresses with the time of the last packet seen, sorted by address.
    balancers: Vec<(SocketAddr, Millis)>,
    last_direct_packet: Millis,
    next_notice: Millis,
    leaving: bool,
}

impl LeaveState {
    /// Notes a packet that came straight from a balancer.
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

    /// Up to `count` random balancers that have sent here.
    fn random_balancers(&self, count: usize) -> Vec<SocketAddr> {
        let mut known: Vec<SocketAddr> =
            self.balancers.iter().map(|(address, _)| *address).collect();
        let mut chosen = Vec::new();
        for _ in 0..count.min(known.len()) {
            chosen.push(known.swap_remove(rand::random_range(0..known.len())));
        }
        chosen
    }

    /// Begins to leave.
    pub(super) fn begin(&mut self, now: Millis) {
        self.leaving = true;
        self.last_direct_packet = now;
        self.expire_balancers(now);
    }

    /// Whether the agent leaves and no balancer has sent for a while.
    pub(super) fn balancers_stopped_sending(&self, now: Millis) -> bool {
        self.leaving && now.since(self.last_direct_packet) >= BALANCER_IDLE_MS
    }

    /// Balancers that are due a notice.
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
    /// Tells the balancers that this agent leaves, if it does and they are due to hear it again.
    pub(super) fn notify_balancers(&mut self, now: Millis) {
        let due = self.leave.balancers_due(now);
        if due.is_empty() {
            return;
        }
        self.send_notice(Notice::Leaving, &due);
    }

    /// Tells some balancers whether an agent is up; they tell the others.
    pub(super) fn report_peer(&mut self, member: Member) {
        let Member { upstream, beat, up } = member;
        let to = self.leave.random_balancers(BALANCERS_PER_REPORT);
        self.send_notice(Notice::Peer { upstream: upstream.0, beat, up }, &to);
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
            // One that cannot be reached does not send to us either.
            let _ = udp::send_one(&self.config.socket, &prefix, &body, *address, &mut self.scratch);
        }
    }
}
