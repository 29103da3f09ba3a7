//! Applies verdicts other than the delivery of a packet of the current batch, and sends control
//! messages.

use std::net::SocketAddr;

use decision::agent::{Forwarding, Reason, Verdict};
use decision::keys::{FlowId, UpstreamId};
use decision::message::Message;
use settings::codes;
use shell::udp::{self, Prefix};
use wire::control::{self, Envelope};
use wire::gue::{self, Content};
use wire::inner;
use wire::refusal::{self, UdpRefusal};
use wire::sealed::{Header, Payload, SEALED_BYTES, SenderId};

use super::DataPlane;
use crate::counters::Count;
use crate::hold::Held;

/// Destinations of an agent's packets other than its peers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    /// The upstream beside the agent.
    pub(crate) upstream: SocketAddr,
    /// Gateway that delivers replies to callers.
    pub(crate) gateway: SocketAddr,
}

impl DataPlane {
    /// Applies a verdict to the packet in `bytes`.
    pub(super) fn apply_verdict(
        &mut self,
        verdict: Verdict,
        content: Content,
        header: &Header,
        bytes: &[u8],
    ) {
        match verdict {
            Verdict::Deliver => self.deliver(content, bytes),
            Verdict::Forward { to, forwarding } => {
                self.forward(to, forwarding, content, header, bytes)
            }
            Verdict::Refuse(reason) => self.refuse(reason, content, bytes),
            Verdict::Drop(reason) => self.drop_packet(reason.into()),
            Verdict::Hold(key) => {
                let held = Held { content, header: *header, bytes: bytes.to_vec() };
                self.counts.add(Count::Held, 1);
                if !self.held.insert(key, held) {
                    self.drop_packet(Reason::Overload.into());
                }
            }
        }
    }

    /// Sends a control message to a peer. Does nothing if the settings in use do not list the peer.
    pub(super) fn send_message(&mut self, to: UpstreamId, message: Message) {
        let Some(address) = self.agent_address(to) else { return };
        let clock = self.config.timeline.clock().now().0;
        self.body.clear();
        if let Err(error) = control::encode(&Envelope { clock, message }, &mut self.body) {
            log::error!("cannot encode control message: {error}");
            return;
        }
        let header = self.own_header(FlowId(to.0), 0, Forwarding::Direct);
        let mut private = [0; SEALED_BYTES];
        let payload = Payload::Control(&self.body);
        if self.config.keyring.seal(&header, payload, &mut private).is_err() {
            return;
        }
        let frame = gue::header(Content::Control(control::CONTROL_TYPE), SEALED_BYTES);
        let prefix = Prefix::new(frame, &private);
        let (socket, scratch) = (&self.config.socket, &mut self.scratch);
        if udp::send_one(socket, &prefix, &self.body, address, scratch).is_ok() {
            self.counts.add(Count::MessagesSent, 1);
            self.counts.add(Count::MessageBytesSent, self.scratch.len() as u64);
        }
    }

    fn deliver(&mut self, content: Content, bytes: &[u8]) {
        let prefix = Prefix::new(gue::header(content, 0), &[]);
        self.send_packet(Count::Delivered, &prefix, bytes, self.config.addresses.upstream);
    }

    fn forward(
        &mut self,
        to: UpstreamId,
        forwarding: Forwarding,
        content: Content,
        header: &Header,
        bytes: &[u8],
    ) {
        let Some(address) = self.agent_address(to) else {
            return self.drop_packet(codes::NO_AGENT);
        };
        let Ok(packet) = inner::parse(bytes) else { return self.drop_packet(codes::MALFORMED) };
        let own = self.own_header(header.flow, header.hops.saturating_add(1), forwarding);
        let payload = Payload::Packet { bytes, header_bytes: packet.header_bytes };
        let mut private = [0; SEALED_BYTES];
        if self.config.keyring.seal(&own, payload, &mut private).is_err() {
            return self.drop_packet(codes::PACKET_TOO_LARGE);
        }
        let prefix = Prefix::new(gue::header(content, SEALED_BYTES), &private);
        self.send_packet(Count::Forwarded, &prefix, bytes, address);
    }

    /// Sends a refusal to the caller in the name of the service. The core has recorded the refusal
    /// before this is called, so a late copy of the opening cannot run after the caller was
    /// notified that it was refused.
    fn refuse(&mut self, reason: Reason, content: Content, bytes: &[u8]) {
        self.counts.count_code(reason.into());
        let Ok(packet) = inner::parse(bytes) else { return };
        let udp = match reason {
            Reason::UnknownFlow => UdpRefusal::PortUnreachable,
            _ => UdpRefusal::AdminProhibited,
        };
        let mut answer = std::mem::take(&mut self.body);
        refusal::answer(&packet, bytes, udp, &mut answer);
        if !answer.is_empty() {
            let prefix = Prefix::new(gue::header(content, 0), &[]);
            self.send_packet(Count::Refused, &prefix, &answer, self.config.addresses.gateway);
        }
        self.body = answer;
    }

    fn send_packet(&mut self, count: Count, prefix: &Prefix, bytes: &[u8], to: SocketAddr) {
        match udp::send_one(&self.config.socket, prefix, bytes, to, &mut self.scratch) {
            Ok(()) => self.counts.add(count, 1),
            Err(_) => self.drop_packet(codes::SEND_FAILED),
        }
    }

    pub(super) fn own_header(&self, flow: FlowId, hops: u8, forwarding: Forwarding) -> Header {
        let identity = &self.config.identity;
        Header {
            hops,
            forwarding,
            account: identity.account,
            service: identity.service,
            flow,
            version: self.own_service.version,
            sender: SenderId(self.config.identity.upstream.0),
        }
    }

    fn agent_address(&self, upstream: UpstreamId) -> Option<SocketAddr> {
        let key = self.view.find_upstream(self.own_service.service?, upstream)?;
        Some(self.view.upstream(key).spec.agent_address)
    }
}
