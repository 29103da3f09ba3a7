//! Private data of GUE frames from balancer to agent and from agent to agent, sealed with a MAC.
//!
//! ```text
//!  0        1        2        3            4         5..8
//! | format | key id | hops   | forwarding | covered | zero  |
//! | account 8 | service 8 | flow 8 | settings version 8 | sender 8 | MAC 16 |
//! ```
//!
//! All numbers are in network byte order; 64 bytes in total.
//!
//! **What the MAC covers.** The 48 bytes before it and the first `covered` bytes of the payload.
//! For a packet, these reach to the end of its transport header: addresses, ports, sequence number
//! and flags, hence everything on which a receiver bases a decision. The caller's data after the
//! header is not covered: whoever can change it in transit could also have sent it through the
//! fabric as a caller, and the endpoints protect it by their own means (TLS). A receiver must check
//! that the transport header that it parsed ends within [`Opened::covered`]. For a control message
//! the whole body is covered.
//!
//! **Replays** are harmless, so no replay window or counter is kept. A replayed packet is a
//! duplicate, which IP may deliver at any time: for an opening, the receiver finds the entry or the
//! tombstone of the first copy; a later packet of a flow is discarded by the transport because of
//! its sequence number. Control messages are idempotent by design. A packet that is replayed to
//! another agent of the account is passed on like any other misrouted packet; an agent of another
//! account has another key.
//!
//! **Keys.** Each account has its own key, derived from the fleet's master key, which only
//! balancers hold. Two key ids may be valid at the same time, so that keys can be rotated without
//! interruption.

mod control;
mod tag;

pub use control::control_datagram;

use std::hash::Hasher as _;

use decision::agent::Forwarding;
use decision::keys::{AccountId, FlowId, ServiceId, UpstreamId, Version};
use siphasher::sip128::SipHasher24;
use zerocopy::byteorder::network_endian::U64;
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Length of the private data in bytes.
pub const SEALED_BYTES: usize = size_of::<Layout>();
/// Length of an account's key in bytes. The first sixteen are the key of the MAC.
pub const ACCOUNT_KEY_BYTES: usize = 32;

/// Length of a MAC in bytes.
pub const MAC_BYTES: usize = 16;
const AUTHENTICATED_BYTES: usize = SEALED_BYTES - MAC_BYTES;
const _: () = assert!(SEALED_BYTES.is_multiple_of(4));
const _: () = assert!(SEALED_BYTES <= crate::gue::PRIVATE_BYTES_MAX);

/// Context string of the key derivation. It separates the account keys from any other use of the
/// master key.
const KEY_CONTEXT: &str = "gooseberrysill 2026-12 account key";

/// Format of a sealed packet.
const FORMAT_PACKET: u8 = 1;
/// Format of a sealed control message. The MAC covers the format, so that flipping the C bit of the
/// GUE header cannot turn a packet into a control message or the reverse.
const FORMAT_CONTROL: u8 = 2;

/// Id of an account's key. During a rotation, a receiver holds two keys and selects one by this id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u8);

/// Sender of a sealed frame: the id of an upstream's agent, or a hash of a balancer's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SenderId(pub u64);

/// Fields of a sealed frame that describe its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Number of agents that handled the packet before.
    pub hops: u8,
    /// Why the packet was passed on to the receiver.
    pub forwarding: Forwarding,
    /// Account that owns the service.
    pub account: AccountId,
    /// Service.
    pub service: ServiceId,
    /// Flow. In a control message between agents this is the id of the receiver, see
    /// [`Header::is_for`]; in control messages of balancers it is zero.
    pub flow: FlowId,
    /// Version of the account's settings that the sender has in force.
    pub version: Version,
    /// Sender.
    pub sender: SenderId,
}

impl Header {
    /// Whether a control message is for the agent beside `upstream`.
    ///
    /// The address may have belonged to another upstream before, to which the message was
    /// addressed. Agents of an earlier release name no receiver; whichever agent receives their
    /// messages accepts them.
    ///
    /// ```
    /// use decision::agent::Forwarding;
    /// use decision::keys::{AccountId, FlowId, ServiceId, UpstreamId, Version};
    /// use wire::sealed::{Header, SenderId};
    /// let header = Header {
    ///     hops: 0,
    ///     forwarding: Forwarding::Direct,
    ///     account: AccountId::of("cascadia"),
    ///     service: ServiceId::of("cascadia", "shelf"),
    ///     flow: FlowId(7),
    ///     version: Version(1),
    ///     sender: SenderId(9),
    /// };
    /// assert!(header.is_for(UpstreamId(7)));
    /// assert!(!header.is_for(UpstreamId(8)));
    /// assert!(Header { flow: FlowId(0), ..header }.is_for(UpstreamId(8)));
    /// ```
    pub fn is_for(&self, upstream: UpstreamId) -> bool {
        self.flow == FlowId(0) || self.flow == FlowId(upstream.0)
    }
}

/// A frame whose MAC was verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened {
    /// Fields set by the sender.
    pub header: Header,
    /// Bytes of the payload that the MAC covers.
    pub covered: usize,
}

/// Payload of a sealed frame. Its kind determines how much of it the MAC covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payload<'a> {
    /// A packet of a caller and the length of its headers.
    Packet {
        /// The packet.
        bytes: &'a [u8],
        /// Bytes to the end of its transport header.
        header_bytes: usize,
    },
    /// A control message.
    Control(&'a [u8]),
}

/// Why private data could not be written or was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// Shorter than the layout, or the payload is shorter than what the MAC covers.
    #[error("private data or payload is truncated")]
    Truncated,
    /// A format that is unknown, or not the one of this kind of payload.
    #[error("unexpected format {0} of the private data")]
    Format(u8),
    /// A key that this process does not hold.
    #[error("no key with id {0}")]
    UnknownKey(u8),
    /// The MAC does not match: the frame is forged, from another account, or damaged.
    #[error("MAC does not match")]
    BadMac,
    /// The MAC matches, but a field has a value that the format does not define.
    #[error("undefined value in a field of the private data")]
    Field,
    /// The headers of a packet are longer than the MAC can cover.
    #[error("packet headers of {0} bytes are longer than a MAC can cover (255 bytes)")]
    HeadersTooLong(usize),
}

/// Keys of an account with their ids, ready to seal and to open frames.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct AccountKeyring {
    keys: [Option<MacKey>; KEYS_MAX],
}

/// Maximum number of keys of one account that are valid at the same time: the old and the new one
/// of a rotation.
pub const KEYS_MAX: usize = 2;

#[derive(Clone, Copy, PartialEq, Eq)]
struct MacKey {
    id: KeyId,
    bytes: [u8; MAC_BYTES],
}

#[derive(Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Layout {
    format: u8,
    key_id: u8,
    hops: u8,
    forwarding: u8,
    covered: u8,
    zero: [u8; 3],
    account: U64,
    service: U64,
    flow: U64,
    version: U64,
    sender: U64,
    mac: [u8; MAC_BYTES],
}

/// Derives an account's key from a master key, by BLAKE3 in its key derivation mode.
///
/// ```
/// use decision::keys::AccountId;
/// use wire::sealed::{KeyId, derive_account_key};
/// let one = derive_account_key(&[7; 32], KeyId(1), AccountId::of("cascadia"));
/// let other = derive_account_key(&[7; 32], KeyId(1), AccountId::of("bajio"));
/// assert_ne!(one, other);
/// ```
pub fn derive_account_key(
    master_key: &[u8; 32],
    key_id: KeyId,
    account: AccountId,
) -> [u8; ACCOUNT_KEY_BYTES] {
    let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
    hasher.update(master_key);
    hasher.update(&[key_id.0]);
    hasher.update(&account.0.to_be_bytes());
    *hasher.finalize().as_bytes()
}

/// The account that private data claims to come from, by which its keyring is found. Only
/// [`AccountKeyring::open`] proves the claim.
///
/// ```
/// assert_eq!(wire::sealed::claimed_account(&[0; 8]), None);
/// ```
pub fn claimed_account(private: &[u8]) -> Option<AccountId> {
    let layout = Layout::ref_from_bytes(private).ok()?;
    Some(AccountId(layout.account.get()))
}

impl std::fmt::Debug for AccountKeyring {
    /// Prints only the ids, so that keys never appear in logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.keys.iter().flatten().map(|key| key.id)).finish()
    }
}

impl AccountKeyring {
    /// Creates a keyring of the first [`KEYS_MAX`] keys. The first one seals, all of them open.
    /// `None` if there are no keys.
    ///
    /// ```
    /// use wire::sealed::{AccountKeyring, KeyId};
    /// assert!(AccountKeyring::new(&[]).is_none());
    /// assert!(AccountKeyring::new(&[(KeyId(1), [0; 32])]).is_some());
    /// ```
    pub fn new(keys: &[(KeyId, [u8; ACCOUNT_KEY_BYTES])]) -> Option<Self> {
        if keys.is_empty() {
            return None;
        }
        let mut ring = Self { keys: [None; KEYS_MAX] };
        for (slot, (id, key)) in ring.keys.iter_mut().zip(keys) {
            let mut bytes = [0; MAC_BYTES];
            bytes.copy_from_slice(&key[..MAC_BYTES]);
            *slot = Some(MacKey { id: *id, bytes });
        }
        Some(ring)
    }

    /// Derives the keyring of an account from master keys; `None` if there are none.
    ///
    /// ```
    /// use decision::keys::AccountId;
    /// use wire::sealed::{AccountKeyring, KeyId};
    /// let master_keys = [(KeyId(1), [7; 32])];
    /// assert!(AccountKeyring::derive(&master_keys, AccountId::of("cascadia")).is_some());
    /// ```
    pub fn derive(master_keys: &[(KeyId, [u8; 32])], account: AccountId) -> Option<Self> {
        let mut keys = [(KeyId(0), [0; ACCOUNT_KEY_BYTES]); KEYS_MAX];
        let count = master_keys.len().min(KEYS_MAX);
        for (key, (id, master_key)) in keys.iter_mut().zip(master_keys) {
            *key = (*id, derive_account_key(master_key, *id, account));
        }
        Self::new(&keys[..count])
    }

    /// Writes the private data for `payload` into `out`.
    ///
    /// Errors: [`SealError::HeadersTooLong`] for a packet with more than 255 bytes of headers,
    /// [`SealError::Truncated`] for one that is shorter than its headers.
    ///
    /// ```
    /// use decision::{agent::Forwarding, keys::*};
    /// use wire::sealed::*;
    /// let ring = AccountKeyring::new(&[(KeyId(1), [9; 32])]).unwrap();
    /// let header = Header {
    ///     hops: 0,
    ///     forwarding: Forwarding::Direct,
    ///     account: AccountId(1),
    ///     service: ServiceId(2),
    ///     flow: FlowId(3),
    ///     version: Version(4),
    ///     sender: SenderId(5),
    /// };
    /// let mut private = [0; SEALED_BYTES];
    /// let payload = Payload::Control(b"body");
    /// ring.seal(&header, payload, &mut private).unwrap();
    /// assert_eq!(ring.open(&private, payload).unwrap().header, header);
    /// assert_eq!(ring.open(&private, Payload::Control(b"Body")), Err(SealError::BadMac));
    /// ```
    pub fn seal(
        &self,
        header: &Header,
        payload: Payload<'_>,
        out: &mut [u8; SEALED_BYTES],
    ) -> Result<(), SealError> {
        let key = self.keys.iter().flatten().next().ok_or(SealError::UnknownKey(0))?;
        let (format, covered) = match payload {
            Payload::Packet { header_bytes, .. } => {
                let covered = u8::try_from(header_bytes);
                (FORMAT_PACKET, covered.map_err(|_| SealError::HeadersTooLong(header_bytes))?)
            }
            Payload::Control(_) => (FORMAT_CONTROL, 0),
        };
        let layout: &mut Layout = zerocopy::transmute_mut!(out);
        *layout = Layout {
            format,
            key_id: key.id.0,
            hops: header.hops,
            forwarding: forwarding_to_byte(header.forwarding),
            covered,
            zero: [0; 3],
            account: header.account.0.into(),
            service: header.service.0.into(),
            flow: header.flow.0.into(),
            version: header.version.0.into(),
            sender: header.sender.0.into(),
            mac: [0; MAC_BYTES],
        };
        layout.mac = mac(key, layout, covered_bytes(payload, covered)?);
        Ok(())
    }

    /// Verifies private data that was received with `payload`. `header_bytes` of a packet is
    /// ignored, since the private data states how much of the packet is covered.
    ///
    /// Errors: see [`SealError`].
    pub fn open(&self, private: &[u8], payload: Payload<'_>) -> Result<Opened, SealError> {
        let layout = Layout::ref_from_bytes(private).map_err(|_| SealError::Truncated)?;
        let expected = match payload {
            Payload::Packet { .. } => FORMAT_PACKET,
            Payload::Control(_) => FORMAT_CONTROL,
        };
        if layout.format != expected {
            return Err(SealError::Format(layout.format));
        }
        let key = self.find(layout.key_id)?;
        let covered = covered_bytes(payload, layout.covered)?;
        if !constant_time_eq(&mac(key, layout, covered), &layout.mac) {
            return Err(SealError::BadMac);
        }
        let forwarding = forwarding_from_byte(layout.forwarding).ok_or(SealError::Field)?;
        Ok(Opened { header: header_from_layout(layout, forwarding), covered: covered.len() })
    }

    fn find(&self, id: u8) -> Result<&MacKey, SealError> {
        let found = self.keys.iter().flatten().find(|key| key.id.0 == id);
        found.ok_or(SealError::UnknownKey(id))
    }
}

fn header_from_layout(layout: &Layout, forwarding: Forwarding) -> Header {
    Header {
        hops: layout.hops,
        forwarding,
        account: AccountId(layout.account.get()),
        service: ServiceId(layout.service.get()),
        flow: FlowId(layout.flow.get()),
        version: Version(layout.version.get()),
        sender: SenderId(layout.sender.get()),
    }
}

fn covered_bytes(payload: Payload<'_>, covered: u8) -> Result<&[u8], SealError> {
    match payload {
        Payload::Packet { bytes, .. } => {
            bytes.get(..usize::from(covered)).ok_or(SealError::Truncated)
        }
        Payload::Control(body) => Ok(body),
    }
}

fn mac(key: &MacKey, layout: &Layout, covered: &[u8]) -> [u8; MAC_BYTES] {
    let mut hasher = SipHasher24::new_with_key(&key.bytes);
    hasher.write(&layout.as_bytes()[..AUTHENTICATED_BYTES]);
    hasher.hash(covered).as_bytes()
}

/// Compares without branching on content. The timing of an early return would reveal to a forger
/// how many bytes of a guessed MAC are right.
fn constant_time_eq(one: &[u8; MAC_BYTES], other: &[u8; MAC_BYTES]) -> bool {
    let difference = u128::from_ne_bytes(*one) ^ u128::from_ne_bytes(*other);
    std::hint::black_box(difference) == 0
}

fn forwarding_to_byte(forwarding: Forwarding) -> u8 {
    match forwarding {
        Forwarding::Direct => 0,
        Forwarding::Redirected => 1,
        Forwarding::Assigned => 2,
        Forwarding::Adopt => 3,
    }
}

fn forwarding_from_byte(byte: u8) -> Option<Forwarding> {
    match byte {
        0 => Some(Forwarding::Direct),
        1 => Some(Forwarding::Redirected),
        2 => Some(Forwarding::Assigned),
        3 => Some(Forwarding::Adopt),
        _ => None,
    }
}
