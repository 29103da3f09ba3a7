//! Notices in which agents report to this balancer on themselves and their peers.

use decision::keys::{AccountId, ServiceId, UpstreamId};
use decision::time::Millis;
use decision::view::View;
use wire::gue::{self, Content};
use wire::notice::{self, Notice};
use wire::sealed::Payload;

use crate::snapshot::Snapshot;

/// How long an agent is passed over after its notice. Longer than a restart takes, and short enough
/// that its next incarnation soon becomes a home again. An agent that is still leaving repeats the
/// notice.
pub const LEAVING_TTL_MS: u64 = 3_000;
/// Maximum number of leaving agents kept. Even if all agents of an availability zone leave
/// together, there are fewer.
const LEAVING_AGENTS_MAX: usize = 4_096;

/// An authenticated notice: sealed with the key of `account`. Whether that account owns the agents
/// that the notice names is not checked yet, see [`AgentNotice::is_authorized_for`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentNotice {
    /// Account with whose key the notice was sealed.
    pub account: AccountId,
    /// Service of the sender.
    pub service: ServiceId,
    /// Agent that sent the notice.
    pub sender: UpstreamId,
    /// The notice itself.
    pub notice: Notice,
}

impl AgentNotice {
    /// Whether in `view` the sealing account owns the service, and the service lists the upstream.
    /// Without this check an account could divert another account's traffic from its agents.
    pub fn is_authorized_for(&self, view: &View, upstream: UpstreamId) -> bool {
        view.find_service(self.service).is_some_and(|service| {
            let owner = view.account(view.service(service).account).id;
            owner == self.account && view.find_upstream(service, upstream).is_some()
        })
    }
}

/// Agents that are leaving, each with the time until which it is passed over.
#[derive(Debug, Default)]
pub struct LeavingAgents {
    /// Sorted by agent.
    entries: Vec<(UpstreamId, Millis)>,
}

/// Opens the notice in a control datagram. `None` if the datagram holds no notice or was not sealed
/// with the key of the account that it claims.
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
    /// Adds an agent that has announced that it leaves, or extends its time.
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

    /// Sorted ids of the agents to be passed over at `now`; removes the expired ones.
    pub fn unexpired(&mut self, now: Millis) -> Vec<UpstreamId> {
        self.entries.retain(|(_, until)| now < *until);
        self.entries.iter().map(|(id, _)| *id).collect()
    }
}
