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
//! *Outdated.* An agent tells balancers which earlier memberships of its service are outdated, and asks
//! for them after a restart: if all agents of the service have restarted, only balancers remember.
//!
//! *Settings.* An agent of an idle service receives no packets, from whose headers it would learn
//! of a newer version of its settings. Two balancers notify it.

use decision::keys::Version;
use decision::message::{Outdated, OutdatedReport};
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
    /// An earlier membership of the service is outdated. Sent by agents, and by balancers that are
    /// asked.
    Outdated {
        /// First settings version with these members.
        from: u64,
        /// First version with other members.
        next: u64,
        /// Hash of the members.
        members: u64,
        /// Milliseconds until all claims that were granted under it have expired.
        expires_in_ms: u32,
    },
    /// The sending agent asks which earlier memberships of its service are outdated.
    AskOutdated,
    /// Version of the settings of the receiver's account that the sending balancer has in force.
    Settings {
        /// The version.
        version: u64,
    },
}

impl From<OutdatedReport> for Notice {
    fn from(report: OutdatedReport) -> Self {
        let OutdatedReport { outdated: Outdated { from, next, expires_in_ms }, members } = report;
        Self::Outdated { from: from.0, next: next.0, members, expires_in_ms }
    }
}

impl Notice {
    /// The outdated membership that the notice reports, if it is of that kind.
    pub fn outdated(self) -> Option<OutdatedReport> {
        let Self::Outdated { from, next, members, expires_in_ms } = self else { return None };
        let outdated = Outdated { from: Version(from), next: Version(next), expires_in_ms };
        Some(OutdatedReport { outdated, members })
    }
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
