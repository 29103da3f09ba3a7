//! Encoding of the agents' control messages: MessagePack of types that mirror those of the core.
//!
//! Only the types of [`dto`] derive the traits of serde, so that the core does not depend on it.
//! Lists are bounded: the decoder rejects a longer one before it allocates memory for it.

pub mod dto;

use decision::message::Message;

/// GUE control type of the agents' messages.
pub const CONTROL_TYPE: u8 = 1;
/// Maximum size of an encoded message in bytes. With GUE header, private data and IPv6 header it
/// stays below the smallest MTU of current clouds (1,460 bytes), so that a message is never
/// fragmented.
pub const MESSAGE_BYTES_MAX: usize = 1_300;
/// Maximum number of entries in a list of a message. The core sends at most 48 notes and 72
/// openings.
pub const LIST_MAX: usize = 128;

/// A message and the hybrid logical clock of its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Clock of the sender, by which events of all processes are ordered in the time line.
    pub clock: u64,
    /// The message.
    pub message: Message,
}

/// Why a message could not be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// More than [`MESSAGE_BYTES_MAX`] bytes.
    #[error("control message of {0} bytes is too large")]
    TooLarge(usize),
    /// A list is longer than its bound.
    #[error("control message has a list of {0} entries, which is too long")]
    ListTooLong(usize),
    /// The bytes are not a message that this release defines.
    #[error("malformed or unknown control message")]
    Malformed,
}

/// Appends an encoded message to `out`, or leaves `out` as it was.
///
/// ```
/// use decision::{keys::FlowId, message::Message};
/// use wire::control::{self, Envelope};
/// let envelope = Envelope { clock: 1, message: Message::Ask { flow: FlowId(7), question: 1 } };
/// let mut bytes = Vec::new();
/// control::encode(&envelope, &mut bytes).unwrap();
/// assert_eq!(control::decode(&bytes).unwrap(), envelope);
/// ```
pub fn encode(envelope: &Envelope, out: &mut Vec<u8>) -> Result<(), ControlError> {
    let entries = dto::list_entries(&envelope.message);
    if entries > LIST_MAX {
        return Err(ControlError::ListTooLong(entries));
    }
    let start = out.len();
    let value = (envelope.clock, dto::MessageDto::from(&envelope.message));
    rmp_serde::encode::write(out, &value).map_err(|_| ControlError::Malformed)?;
    let bytes = out.len() - start;
    if bytes > MESSAGE_BYTES_MAX {
        out.truncate(start);
        return Err(ControlError::TooLarge(bytes));
    }
    Ok(())
}

/// Decodes a message and never allocates more memory than the bounds allow.
///
/// ```
/// use wire::control::{self, ControlError};
/// assert_eq!(control::decode(b"\xc1"), Err(ControlError::Malformed));
/// ```
pub fn decode(bytes: &[u8]) -> Result<Envelope, ControlError> {
    if bytes.len() > MESSAGE_BYTES_MAX {
        return Err(ControlError::TooLarge(bytes.len()));
    }
    let (clock, message): (u64, dto::MessageDto) =
        rmp_serde::from_slice(bytes).map_err(|_| ControlError::Malformed)?;
    Ok(Envelope { clock, message: Message::from(message) })
}
