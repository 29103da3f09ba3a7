//! What agents and balancers tell each other, as GUE control datagrams of their own type.
//!
//! *Leaving.* A balancer learns from the instance list that an agent leaves only seconds later. Until then it
//! goes on sending, and a datagram that arrives between the end of the process and its successor
//! is lost: nobody sends it again. The agent therefore tells them itself, and stays until they
//! have stopped.
//!
//! *Peer.* The agents of a service hear each other's heartbeats, long before the instance list
//! changes. Who notices a failure tells a balancer, and the balancers spread it.
//!
//! *Settings.* An agent of an idle service gets no packet that shows a newer version. Two balancers
//! tell it.

use serde::{Deserialize, Serialize};

/// GUE control type of these datagrams.
pub const CONTROL_TYPE: u8 = 2;

/// Something that the receiver should know. The sender of the sealed frame is who says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// The sending agent leaves: pass it over for a while.
    Leaving,
    /// An agent of the sender's service was seen to fail or to be back.
    Peer {
        /// The agent.
        upstream: u64,
        /// Its last heartbeat.
        beat: u64,
        /// Whether it is up.
        up: bool,
    },
    /// The sending balancer has this version of the receiver's account in force.
    Settings {
        /// The version.
        version: u64,
    },
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
