//! What agents tell this balancer about themselves and their peers.

use decision::keys::{AccountId, ServiceId, UpstreamId};
use decision::time::Millis;
use decision::view::View;
use wire::gue::{self, Content};
use wire::notice::{self, Notice};
use wire::sealed::Payload;

use crate::snapshot::Snapshot;

/// How long an agent is passed over after its notice: longer than a restart takes, and short
/// enough that its successor soon is home again. An agent that still leaves says so again.
pub const LEAVING_TTL_MS: u64 = 3_000;
/// Notices kept at a time; more than a zone's agents that all leave together.
const LEAVING_AGENTS_MAX: usize = 4_096;

/// A notice whose seal is right. That the account by whose key it was sealed owns the agents that
/// it is about is as yet only a claim: see [`AgentNotice::is_authorized_for`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentNotice {
    /// Account by whose key the notice was sealed.
    pub account: AccountId,
    /// Service of the sender.
    pub service: ServiceId,
    /// The agent that sent it.
    pub sender: UpstreamId,
    /// What it says.
    pub notice: Notice,
}

impl AgentNotice {
    /// Whether, by `view`, the sealing account owns the service and the service the upstream. An
    /// account could otherwise turn another's traffic away from its agents.
    pub fn is_authorized_for(&self, view: &View, upstream: UpstreamId) -> bool {
        view.find_service(self.service).is_some_and(|service| {
            let owner = view.account(view.service(service).account).id;
            owner == self.account && view.find_upstream(service, upstream).is_some()
        })
    }
}

/// Agents that leave, with the time until which they are passed over.
#[derive(Debug, Default)]
pub struct LeavingAgents {
    /// Sorted by agent.
    entries: Vec<(UpstreamId, Millis)>,
}

/// The notice in a control datagram; `None` if it is none, or not by a holder of the account's key.
pub fn open(snapshot: &Snapshot, datagram: &[u8]) -> Option<AgentNotice> {
    let frame = gue::parse(datagram).ok()?;
    if frame.content != Content::Control(notice::CONTROL_TYPE) {
        return None;
    }
    let account = wire::sealed::claimed_account(frame.private)?;
    let keyring = snapshot.keyring(account)?;
    let opened = keyring.open(frame.private, Payload::Control(frame.payload)).ok()?;
    let notice = notice::decode(frame.payload)?;
    let header = opened.header;
    let sender = UpstreamId(header.sender.0);
    Some(AgentNotice { account, service: header.service, sender, notice })
}

impl LeavingAgents {
    /// Takes in an agent that has said that it leaves.
    ///
    /// ```
    /// use balancer::notices::LeavingAgents;
    /// use decision::{keys::UpstreamId, time::Millis};
    /// let mut agents = LeavingAgents::default();
    /// agents.add(Millis(0), UpstreamId(3));
    /// assert_eq!(agents.unexpired(Millis(0)), [UpstreamId(3)]);
    /// ```
    pub fn add(&mut self, now: Millis, agent: UpstreamId) {
        let until = now.after(LEAVING_TTL_MS);
        match self.entries.binary_search_by_key(&agent, |(id, _)| *id) {
            Ok(index) => self.entries[index].1 = until,
            Err(index) if self.entries.len() < LEAVING_AGENTS_MAX => {
                self.entries.insert(index, (agent, until));
            }
            Err(_) => {}
        }
    }

    /// Sorted ids of the agents to be passed over now; forgets the others.
    pub fn unexpired(&mut self, now: Millis) -> Vec<UpstreamId> {
        self.entries.retain(|(_, until)| now < *until);
        self.entries.iter().map(|(id, _)| *id).collect()
    }
}
