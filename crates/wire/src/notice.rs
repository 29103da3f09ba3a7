//! What an agent tells the balancers that send to it, as GUE control datagrams of their own type.
//!
//! A balancer learns from the instance list that an agent leaves only seconds later. Until then it
//! goes on sending, and a datagram that arrives between the end of the process and its successor
//! is lost: nobody sends it again. The agent therefore tells them itself, and stays until they
//! have stopped.

use serde::{Deserialize, Serialize};

/// GUE control type of these datagrams.
pub const CONTROL_TYPE: u8 = 2;

/// Something that a balancer should know about an agent, who is the sender of the sealed frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// Pass this agent over for a while.
    Leaving,
}

/// Encodes a notice.
///
/// ```
/// use wire::notice::{Notice, decode, encode};
/// assert_eq!(decode(&encode(Notice::Leaving)), Some(Notice::Leaving));
/// assert_eq!(decode(b"\xc1"), None);
/// ```
pub fn encode(notice: Notice) -> Vec<u8> {
    rmp_serde::to_vec(&notice).expect("a plain enumeration always encodes")
}

/// Decodes a notice; `None` if it is not one that this version knows.
pub fn decode(bytes: &[u8]) -> Option<Notice> {
    rmp_serde::from_slice(bytes).ok()
}
