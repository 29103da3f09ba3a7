//! The packets of the users' PROTOCOL.md: a little-endian head of 36 bytes, and data.

use std::hash::Hasher as _;
use std::net::{Ipv4Addr, SocketAddrV4};

use siphasher::sip::SipHasher13;

pub const HEAD: usize = 36;
pub const SYN: u8 = 16;
pub const ACK: u8 = 128;
pub const FIN: u8 = 1;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 32;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[4..8].copy_from_slice(&self.seq.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.ack.to_le_bytes());
        bytes[12..14].copy_from_slice(&self.src.port().to_le_bytes());
        bytes[14..18].copy_from_slice(&self.dst.ip().to_bits().to_le_bytes());
        bytes[18..22].copy_from_slice(&self.src.ip().to_bits().to_le_bytes());
        bytes[22..24].copy_from_slice(&self.dst.port().to_le_bytes());
        bytes[28..30].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes[30] = self.flags;
        bytes.extend_from_slice(&self.data);
        let sum = sum(&bytes);
        bytes[0..4].copy_from_slice(&sum.to_le_bytes());
        bytes
    }
}

/// Decodes a packet, and tells whether its sum is right.
pub fn decode(bytes: &[u8]) -> Option<(Packet, bool)> {
    if bytes.len() < HEAD {
        return None;
    }
    let u32_at = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
    let u16_at = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
    if usize::from(u16_at(28)) != bytes.len() - HEAD {
        return None;
    }
    let packet = Packet {
        src: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(18)), u16_at(12)),
        dst: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(14)), u16_at(22)),
        flags: bytes[30],
        seq: u32_at(4),
        ack: u32_at(8),
        data: bytes[HEAD..].to_vec(),
    };
    Some((packet, u32_at(0) == sum(bytes)))
}

/// A reset of the system's own: RST, no data, sum 0.
pub fn is_system_reset(bytes: &[u8]) -> bool {
    bytes.len() == HEAD && bytes[0..4] == [0; 4] && bytes[30] & RST != 0
}

/// Returns a packet to its agent: BOUNCED set, `pad` 0, all else unchanged.
pub fn bounce(bytes: &mut [u8]) {
    bytes[30] |= BOUNCED;
    bytes[31..HEAD].fill(0);
}

/// A keyed sum over all fields except `echo`, `pad` and BOUNCED; never 0. Only the two ends of a
/// flow know the key.
fn sum(bytes: &[u8]) -> u32 {
    let mut hasher = SipHasher13::new_with_keys(0x7265_7669, 0x6577_6572);
    hasher.write(&bytes[4..24]);
    hasher.write(&bytes[28..30]);
    hasher.write_u8(bytes[30] & !BOUNCED);
    hasher.write(&bytes[HEAD..]);
    (hasher.finish() as u32).max(1)
}
