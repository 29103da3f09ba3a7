//! Notices between agents and balancers, as GUE control datagrams of their own type.
//!
//! *Leaving.* A balancer learns only seconds later from the instance list that an agent is leaving.
//! Until then it keeps sending, and a datagram that arrives between the end of the process and the
//! start of its successor is lost, since it is not retransmitted. The agent therefore notifies the
//! balancers itself and keeps running until they have stopped sending.
//!
//! *Peer.* The agents of a service receive each other's heartbeats and thus detect a failure long
//! before the instance list changes. An agent that detects one notifies two balancers, which
//! pass the report on to the others by gossip.
//!
//! *Settings.* An agent of an idle service receives no packets, from whose headers it would learn
//! of a newer version of its settings. Two balancers notify it.

use serde::{Deserialize, Serialize};

/// GUE control type of these datagrams.
pub const CONTROL_TYPE: u8 = 2;

/// Content of a notice. The header of the sealed frame names the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// The sending agent is leaving: do not choose it for a while.
    Leaving,
    /// The sender detected that an agent of its service has failed or recovered.
    Peer {
        /// Upstream of that agent.
        upstream: u64,
        /// Number of the last heartbeat received from it.
        beat: u64,
        /// Whether it is up.
        up: bool,
    },
    /// Version of the settings of the receiver's account that the sending balancer has in force.
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

/// Decodes a notice; `None` if it is malformed or of a kind that this release does not define.
pub fn decode(bytes: &[u8]) -> Option<Notice> {
    rmp_serde::from_slice(bytes).ok()
}
