//! What agents tell this balancer about themselves.

use decision::keys::{AccountId, ServiceId, UpstreamId};
use decision::time::Millis;
use decision::view::View;
use wire::gue::{self, Content};
use wire::notice::{self, Notice};
use wire::sealed::Payload;

use crate::snapshot::Snapshot;

/// How long an agent is passed over after its notice: longer than a restart takes, and short
/// enough that its successor soon is home again. An agent that still leaves says so again.
pub const LEAVING_MS: u64 = 3_000;
/// Notices kept at a time; more than a zone's agents that all leave together.
const LEAVING_MAX: usize = 4_096;

/// An agent that has said that it leaves. Which account it belongs to is as yet only its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingAgent {
    /// Account by whose key the notice was sealed.
    pub account: AccountId,
    /// Its service.
    pub service: ServiceId,
    /// The agent.
    pub upstream: UpstreamId,
}

/// Agents that leave, with the time until which they are passed over.
#[derive(Debug, Default)]
pub struct LeavingAgents {
    /// Sorted by agent.
    entries: Vec<(UpstreamId, Millis)>,
}

/// The notice in a control datagram; `None` if it is none, or not by a holder of the account's key.
pub fn read(snapshot: &Snapshot, datagram: &[u8]) -> Option<LeavingAgent> {
    let frame = gue::parse(datagram).ok()?;
    if frame.content != Content::Control(notice::CONTROL_TYPE) {
        return None;
    }
    let account = wire::sealed::claimed_account(frame.private)?;
    let keyring = snapshot.keyring(account)?;
    let opened = keyring.open(frame.private, Payload::Control(frame.payload)).ok()?;
    let Notice::Leaving = notice::decode(frame.payload)?;
    let header = opened.header;
    let upstream = UpstreamId(header.sender.0);
    Some(LeavingAgent { account, service: header.service, upstream })
}

impl LeavingAgents {
    /// Takes in a notice. One about an upstream that the sealing account does not own is ignored:
    /// an account could otherwise turn another's traffic away from its agents.
    ///
    /// ```
    /// use balancer::notices::{LeavingAgent, LeavingAgents};
    /// use decision::{keys::*, time::Millis};
    /// let mut agents = LeavingAgents::default();
    /// let (account, service) = (AccountId(1), ServiceId(2));
    /// let stranger = LeavingAgent { account, service, upstream: UpstreamId(3) };
    /// agents.add(Millis(0), &Default::default(), stranger);
    /// assert!(agents.at(Millis(0)).is_empty());
    /// ```
    pub fn add(&mut self, now: Millis, view: &View, agent: LeavingAgent) {
        let Some(service) = view.find_service(agent.service) else { return };
        let owner = view.account(view.service(service).account).id;
        if owner != agent.account || view.find_upstream(service, agent.upstream).is_none() {
            return;
        }
        let until = now.after(LEAVING_MS);
        match self.entries.binary_search_by_key(&agent.upstream, |(id, _)| *id) {
            Ok(index) => self.entries[index].1 = until,
            Err(index) if self.entries.len() < LEAVING_MAX => {
                self.entries.insert(index, (agent.upstream, until));
            }
            Err(_) => {}
        }
    }

    /// Sorted ids of the agents to be passed over now; forgets the others.
    pub fn at(&mut self, now: Millis) -> Vec<UpstreamId> {
        self.entries.retain(|(_, until)| now < *until);
        self.entries.iter().map(|(id, _)| *id).collect()
    }
}
