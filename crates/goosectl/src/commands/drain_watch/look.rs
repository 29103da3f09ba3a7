//! Looking at the upstream's agent and its peers.

use decision::keys::UpstreamId;
use settings::codes;
use shell::settings_sync::instances::Kind;

use super::progress::{Flows, Look};
use crate::exit::{Exit, Failure};
use crate::fleet::{self, Event, Fleet, ServedUpstream, Target};

/// The most that an agent lists.
const FLOWS_MAX: usize = 10_000;

/// Looks at a silent agent until the platform's list is read again: each costs a read.
const SILENT_LOOKS_PER_READ: u64 = 10;

/// The agents of a service, one of which is watched.
pub(super) struct Watched {
    agents: Fleet,
    /// Name of the watched instance.
    instance: String,
    /// Id of its upstream as events show it.
    id: String,
    /// Latest event seen of each agent, in the order of `agents`.
    seen: Vec<Option<u64>>,
    /// Looks in a row at which the watched agent did not answer.
    silent_looks: u64,
}

impl Watched {
    /// Finds the agent of an upstream and its peers in the platform's list.
    ///
    /// Errors: [`codes::NOT_FOUND`] unless exactly one upstream has that name.
    pub(super) fn find(mut fleet: Fleet, name: &str) -> Result<Self, Failure> {
        let not_found = |text: String| Failure::new(codes::NOT_FOUND, Exit::Usage, text);
        let fits =
            |target: &&Target| target.served_upstream().is_some_and(|place| is_named(place, name));
        let found: Vec<Target> = fleet.targets.iter().filter(fits).cloned().collect();
        let [watched] = &found[..] else {
            return Err(not_found(match found.len() {
                0 => format!("the platform's list names no agent of upstream `{name}`"),
                several => {
                    format!("`{name}` means {several} upstreams; write ACCOUNT/SERVICE/NAME")
                }
            }));
        };
        let Some(place) = watched.served_upstream().cloned() else {
            return Err(not_found(format!("`{name}` is no agent")));
        };
        let is_peer = |target: &Target| {
            let known = target.served_upstream();
            known.is_some_and(|peer| {
                (&peer.account, &peer.service) == (&place.account, &place.service)
            })
        };
        fleet.targets.retain(|target| target.kind() == Some(Kind::Agent) && is_peer(target));
        let id = UpstreamId::of(&place.account, &place.service, &place.upstream);
        Ok(Self {
            seen: vec![None; fleet.targets.len()],
            silent_looks: 0,
            agents: fleet,
            instance: watched.name.clone(),
            id: format!("{:016x}", id.0),
        })
    }

    /// Asks all agents once. Openings are those since the last look; the first look only learns
    /// from where on to count.
    pub(super) fn look(&mut self) -> Look {
        let (openings, mut silent) = self.new_openings();
        silent.retain(|name| *name != self.instance);
        let flows = self.flows();
        self.silent_looks = if flows.is_err() { self.silent_looks + 1 } else { 0 };
        Look { is_unlisted: self.is_unlisted(), flows, openings, silent }
    }

    /// Whether the platform's list has dropped the agent, where that is worth a read.
    fn is_unlisted(&self) -> bool {
        let is_due =
            self.silent_looks > 0 && self.silent_looks.is_multiple_of(SILENT_LOOKS_PER_READ);
        is_due && self.agents.is_listed(&self.instance) == Some(false)
    }

    fn flows(&self) -> Result<Flows, String> {
        let path = format!("/flows?limit={FLOWS_MAX}");
        let is_watched = |target: &Target| target.name == self.instance;
        let answers =
            self.agents.ask::<fleet::Flows>(|target| is_watched(target).then(|| path.clone()));
        let answer = answers.into_iter().next().ok_or("its agent is not asked")?;
        let list = answer.result.map_err(|silence| silence.to_string())?;
        let closing = list.flows.iter().filter(|flow| flow.state == "finishing").count();
        Ok(Flows { open: list.open, closing, is_whole: list.flows.len() < FLOWS_MAX })
    }

    /// Openings that the upstream took or was given, and names of silent peers.
    fn new_openings(&mut self) -> (usize, Vec<String>) {
        let seen = self.seen.clone();
        let targets = &self.agents.targets;
        let after = |target: &Target| {
            let index = targets.iter().position(|known| known == target);
            index.and_then(|index| seen[index]).unwrap_or(0)
        };
        let path = |target: &Target| Some(format!("/timeline?after={}", after(target)));
        let answers = self.agents.ask::<Vec<Event>>(path);
        let (mut openings, mut silent) = (Vec::new(), Vec::new());
        for (index, answer) in answers.into_iter().enumerate() {
            let Ok(events) = answer.result else {
                silent.push(answer.target.name);
                continue;
            };
            if seen[index].is_some() {
                let given = events.iter().filter(|event| self.is_opening(event));
                openings.extend(given.map(|event| (event.field("flow"), event.field("nonce"))));
            }
            let last = events.last().map(|event| event.hlc).or(seen[index]);
            self.seen[index] = Some(last.unwrap_or(0));
        }
        // An opening that was assigned shows at its home and at the upstream's own agent.
        openings.sort_unstable();
        openings.dedup();
        (openings.len(), silent)
    }

    fn is_opening(&self, event: &Event) -> bool {
        let taken = event.kind == "admitted" && event.instance == self.instance;
        taken || event.kind == "assigned" && event.field("to") == self.id
    }
}

fn is_named(place: &ServedUpstream, name: &str) -> bool {
    let ServedUpstream { account, service, upstream } = place;
    let words: Vec<&str> = name.split('/').collect();
    let own = [account.as_str(), service, upstream];
    words.len() <= own.len() && own.ends_with(&words)
}
