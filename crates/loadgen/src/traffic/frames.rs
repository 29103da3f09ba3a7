//! Datagrams built before a run, so that building them does not slow the run down.

use std::net::{Ipv4Addr, SocketAddrV4};

use anyhow::Context as _;
use decision::agent::Forwarding;
use decision::keys::{AccountId, ServiceId, Version};
use etherparse::PacketBuilder;
use wire::gue::{self, Content};
use wire::inner;
use wire::sealed::{AccountKeyring, Header, Payload, SEALED_BYTES, SenderId};

/// Bytes after the TCP header: the size of a small record on an open flow.
const PAYLOAD_BYTES: usize = 64;
/// Number of source ports used per client address.
const PORTS_PER_CLIENT: usize = 50_000;
const FIRST_PORT: usize = 10_000;

/// Bytes of the timestamp at the end of a datagram.
const STAMP_BYTES: usize = size_of::<u64>();

/// Reads the timestamp at the end of a datagram, in nanoseconds since the start of the run.
pub(crate) fn read_stamp(datagram: &[u8]) -> Option<u64> {
    datagram.last_chunk::<STAMP_BYTES>().map(|bytes| u64::from_be_bytes(*bytes))
}

/// Datagrams of equal length in one contiguous buffer.
#[derive(Clone, Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
    frame_bytes: usize,
}

/// Whether packets open new flows or belong to open flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Packets with SYN, which open flows.
    Yes,
    /// Packets with ACK and data, which belong to open flows.
    No,
}

impl Frames {
    /// The datagram with this number, modulo [`Frames::count`].
    ///
    /// ```
    /// use loadgen::traffic::{Opening, balancer_frames};
    /// let frames = balancer_frames(&["203.0.113.1:443".parse().unwrap()], 2, Opening::No).unwrap();
    /// assert_eq!(frames.get(0), frames.get(2));
    /// assert_ne!(frames.get(0), frames.get(1));
    /// ```
    pub fn get(&self, number: usize) -> &[u8] {
        let start = number % self.count() * self.frame_bytes;
        &self.bytes[start..start + self.frame_bytes]
    }

    /// Writes a timestamp into the last bytes of a datagram. The MAC does not cover these bytes,
    /// and no process on the path verifies the checksum of the transport header.
    pub(super) fn stamp(&mut self, number: usize, due_ns: u64) {
        let end = (number % self.count() + 1) * self.frame_bytes;
        self.bytes[end - STAMP_BYTES..end].copy_from_slice(&due_ns.to_be_bytes());
    }

    /// Number of datagrams.
    pub fn count(&self) -> usize {
        self.bytes.len() / self.frame_bytes.max(1)
    }

    fn push(&mut self, frame: &[u8]) {
        self.frame_bytes = frame.len();
        self.bytes.extend_from_slice(frame);
    }
}

/// Builds one datagram for each of `flows` flows, as the network fabric sends them to a balancer.
/// The flows are assigned to `services` round-robin.
///
/// Errors: `services` is empty.
pub fn balancer_frames(
    services: &[SocketAddrV4],
    flows: usize,
    opening: Opening,
) -> anyhow::Result<Frames> {
    let mut frames = Frames::default();
    for number in 0..flows {
        let service = services
            .get(number % services.len().max(1))
            .context("at least one service is required")?;
        let mut frame = Vec::new();
        gue::encode(Content::Ipv4, &[], &tcp_packet(number, *service, opening)?, &mut frame);
        frames.push(&frame);
    }
    Ok(frames)
}

/// Builds one datagram for each of `flows` flows, as a balancer sends them to an agent of `service`
/// at `address`.
///
/// Errors: a packet cannot be sealed.
pub fn sealed_frames(
    keyring: &AccountKeyring,
    (account, service): (&str, &str),
    (address, flow_key): (SocketAddrV4, &[u8; 16]),
    flows: usize,
    opening: Opening,
) -> anyhow::Result<Frames> {
    let mut frames = Frames::default();
    for number in 0..flows {
        let packet = tcp_packet(number, address, opening)?;
        let inner = inner::parse(&packet)?;
        let header = Header {
            hops: 0,
            forwarding: Forwarding::Direct,
            account: AccountId::of(account),
            service: ServiceId::of(account, service),
            flow: inner.flow_id(flow_key),
            version: Version(1),
            sender: SenderId(1),
        };
        let payload = Payload::Packet { bytes: &packet, header_bytes: inner.header_bytes };
        let mut private = [0; SEALED_BYTES];
        keyring.seal(&header, payload, &mut private)?;
        let mut frame = Vec::new();
        gue::encode(Content::Ipv4, &private, &packet, &mut frame);
        frames.push(&frame);
    }
    Ok(frames)
}

/// A TCP packet of the flow with this number. Each number has its own pair of client address and
/// port.
fn tcp_packet(number: usize, service: SocketAddrV4, opening: Opening) -> anyhow::Result<Vec<u8>> {
    let client = Ipv4Addr::from(
        u32::from(Ipv4Addr::new(198, 18, 0, 1)) + (number / PORTS_PER_CLIENT) as u32,
    );
    let port = (FIRST_PORT + number % PORTS_PER_CLIENT) as u16;
    let builder = PacketBuilder::ipv4(client.octets(), service.ip().octets(), 64);
    let tcp = builder.tcp(port, service.port(), 7, 1_024);
    let mut packet = Vec::new();
    match opening {
        Opening::Yes => tcp.syn().write(&mut packet, &[])?,
        Opening::No => tcp.ack(9).write(&mut packet, &[0x5a; PAYLOAD_BYTES])?,
    }
    Ok(packet)
}
