//! Polls the upstream's agent and its peers.

use decision::keys::UpstreamId;
use settings::codes;
use shell::settings_sync::instances::Kind;

use super::progress::{Flows, Sample};
use crate::exit::{Exit, Failure};
use crate::fleet::{self, Event, Fleet, ServedUpstream, Target};

/// The most flows that an agent lists in one answer.
const FLOWS_MAX: usize = 10_000;

/// The platform's list is read only after every so many failed polls of the watched agent in a row,
/// since every request for the list counts against the platform's read budget.
const FAILED_POLLS_PER_LIST_READ: u64 = 10;

/// The watched agent and its peers, the other agents of the service.
pub(super) struct Watched {
    agents: Fleet,
    /// Name of the watched instance.
    instance: String,
    /// Id of its upstream, as it is written in events.
    id: String,
    /// Timestamp of the latest event received from each agent, in the order of `agents`.
    last_seen: Vec<Option<u64>>,
    /// Consecutive polls that the watched agent did not answer.
    failed_polls: u64,
}

impl Watched {
    /// Finds the agent of an upstream and its peers in the platform's list.
    ///
    /// Errors: [`codes::NOT_FOUND`] unless exactly one upstream has that name.
    pub(super) fn find(mut fleet: Fleet, name: &str) -> Result<Self, Failure> {
        let not_found = |text: String| Failure::new(codes::NOT_FOUND, Exit::Usage, text);
        let is_match = |target: &&Target| {
            target.served_upstream().is_some_and(|served| matches_name(served, name))
        };
        let found: Vec<Target> = fleet.targets.iter().filter(is_match).cloned().collect();
        let [watched] = &found[..] else {
            return Err(not_found(match found.len() {
                0 => format!("the platform's list names no agent of upstream `{name}`"),
                several => {
                    format!("`{name}` matches {several} upstreams; write ACCOUNT/SERVICE/NAME")
                }
            }));
        };
        let Some(served) = watched.served_upstream().cloned() else {
            return Err(not_found(format!("`{name}` is not an agent")));
        };
        let is_peer = |target: &Target| {
            let known = target.served_upstream();
            known.is_some_and(|peer| {
                (&peer.account, &peer.service) == (&served.account, &served.service)
            })
        };
        fleet.targets.retain(|target| target.kind() == Some(Kind::Agent) && is_peer(target));
        let id = UpstreamId::of(&served.account, &served.service, &served.upstream);
        Ok(Self {
            last_seen: vec![None; fleet.targets.len()],
            failed_polls: 0,
            agents: fleet,
            instance: watched.name.clone(),
            id: format!("{:016x}", id.0),
        })
    }

    /// Queries all agents once. Counts the openings since the previous poll; the first poll counts
    /// none, since it only learns from which event on to count.
    pub(super) fn poll(&mut self) -> Sample {
        let (openings, mut unresponsive) = self.new_openings();
        unresponsive.retain(|name| *name != self.instance);
        let flows = self.flows();
        self.failed_polls = if flows.is_err() { self.failed_polls + 1 } else { 0 };
        Sample { is_unlisted: self.is_unlisted(), flows, openings, unresponsive }
    }

    /// Whether the platform's list no longer contains the agent. The list is read only when the
    /// agent does not answer, and then not at every poll.
    fn is_unlisted(&self) -> bool {
        let is_due =
            self.failed_polls > 0 && self.failed_polls.is_multiple_of(FAILED_POLLS_PER_LIST_READ);
        is_due && self.agents.is_listed(&self.instance) == Some(false)
    }

    fn flows(&self) -> Result<Flows, String> {
        let path = format!("/flows?limit={FLOWS_MAX}");
        let is_watched = |target: &Target| target.name == self.instance;
        let answers =
            self.agents.ask::<fleet::Flows>(|target| is_watched(target).then(|| path.clone()));
        let answer = answers.into_iter().next().ok_or("its agent was not queried")?;
        let list = answer.result.map_err(|error| error.to_string())?;
        let closing = list.flows.iter().filter(|flow| flow.state == "finishing").count();
        Ok(Flows { open: list.open, closing, is_complete: list.flows.len() < FLOWS_MAX })
    }

    /// Counts the new openings that the upstream admitted or was assigned, and names the agents
    /// that did not answer.
    fn new_openings(&mut self) -> (usize, Vec<String>) {
        let last_seen = self.last_seen.clone();
        let targets = &self.agents.targets;
        let after = |target: &Target| {
            let index = targets.iter().position(|known| known == target);
            index.and_then(|index| last_seen[index]).unwrap_or(0)
        };
        let path = |target: &Target| Some(format!("/timeline?after={}", after(target)));
        let answers = self.agents.ask::<Vec<Event>>(path);
        let (mut openings, mut unresponsive) = (Vec::new(), Vec::new());
        for (index, answer) in answers.into_iter().enumerate() {
            let Ok(events) = answer.result else {
                unresponsive.push(answer.target.name);
                continue;
            };
            if last_seen[index].is_some() {
                let new_events = events.iter().filter(|event| self.is_opening(event));
                openings
                    .extend(new_events.map(|event| (event.field("flow"), event.field("nonce"))));
            }
            let last = events.last().map(|event| event.hlc).or(last_seen[index]);
            self.last_seen[index] = Some(last.unwrap_or(0));
        }
        // Both the home that assigns an opening and the upstream's own agent that admits it record
        // an event.
        openings.sort_unstable();
        openings.dedup();
        (openings.len(), unresponsive)
    }

    fn is_opening(&self, event: &Event) -> bool {
        let admitted = event.kind == "admitted" && event.instance == self.instance;
        admitted || event.kind == "assigned" && event.field("to") == self.id
    }
}

fn matches_name(served: &ServedUpstream, name: &str) -> bool {
    let ServedUpstream { account, service, upstream } = served;
    let words: Vec<&str> = name.split('/').collect();
    let own = [account.as_str(), service, upstream];
    words.len() <= own.len() && own.ends_with(&words)
}
