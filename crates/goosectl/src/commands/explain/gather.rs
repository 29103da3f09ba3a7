//! Reads the settings and queries the instances.

use std::net::IpAddr;
use std::path::Path;

use decision::keys::{FlowId, ServiceKey, UpstreamId};
use decision::view::{self, AccountSpec, UpstreamState, View};
use settings::root::Ownership;
use settings::{Fault, account, codes};
use shell::settings_sync::instances::{Kind, State};

use super::arguments::Arguments;
use super::tuple::Tuple;
use crate::exit::{Exit, Failure};
use crate::fleet::{AgentExplained, Answer, BalancerExplained, Fleet, RequestError, Target};

/// All data that the explanation is derived from.
pub(super) struct Facts {
    pub(super) tuple: Tuple,
    pub(super) flow: FlowId,
    /// The settings of the account that owns the destination.
    pub(super) view: View,
    /// `None` if no service has the destination as an address; no instance is queried then.
    pub(super) service: Option<ServiceKey>,
    /// Agents of the service.
    pub(super) agents: Vec<AgentFacts>,
    pub(super) balancers: Vec<Answer<BalancerExplained>>,
}

/// What is known about one agent.
pub(super) struct AgentFacts {
    pub(super) id: UpstreamId,
    /// State in the platform's list; `None` if there is no list or the agent is not on it.
    pub(super) listed: Option<State>,
    /// Retired in the settings: the agent may no longer run.
    pub(super) is_retired: bool,
    pub(super) answer: Result<AgentExplained, RequestError>,
}

/// Reads the settings of the account that owns the destination, and queries the instances.
///
/// Errors: [`codes::NOT_FOUND`] if no account owns the destination, [`codes::INSTANCE_UNREACHABLE`]
/// if the platform's settings cannot be read, [`codes::FILE_UNREADABLE`] if the file of `--subtree`
/// cannot.
pub(super) fn gather(arguments: &Arguments, fleet: &Fleet) -> Result<Facts, Failure> {
    let tuple = arguments.tuple;
    let spec = match (&arguments.account, &arguments.subtree) {
        (Some(name), Some(file)) => read_subtree(file, name)?,
        (Some(name), None) => fleet.published_account(name).map_err(unreachable)?,
        (None, _) => {
            let owner = owner(fleet, tuple.destination.ip())?;
            fleet.published_account(&owner).map_err(unreachable)?
        }
    };
    let (view, flow) = (view::build(&[spec]), tuple.flow_id(&arguments.flow_key));
    let mut facts = Facts {
        service: view.find_endpoint(tuple.endpoint()),
        tuple,
        flow,
        view,
        agents: Vec::new(),
        balancers: Vec::new(),
    };
    if let Some(service) = facts.service {
        facts.agents = ask_agents(fleet, &facts.view, service, flow);
        facts.balancers = ask_balancers(fleet, &facts.view, service, flow);
    }
    Ok(facts)
}

fn owner(fleet: &Fleet, address: IpAddr) -> Result<String, Failure> {
    let root = fleet.published_root().map_err(unreachable)?;
    let owns = |name: &str| root.ownership(name, address) == Ownership::Owned;
    let owner = root.accounts.iter().find(|account| owns(&account.name));
    let unowned = || {
        let text = format!("no account owns {address} (root version {})", root.version.0);
        Failure::new(codes::NOT_FOUND, Exit::Findings, text)
    };
    owner.map(|account| account.name.to_string()).ok_or_else(unowned)
}

fn read_subtree(file: &Path, name: &str) -> Result<AccountSpec, Failure> {
    let unreadable = |error: String| {
        let text = format!("{}: {error}", file.display());
        Failure::new(codes::FILE_UNREADABLE, Exit::File, text)
    };
    let yaml = std::fs::read_to_string(file).map_err(|error| unreadable(error.to_string()))?;
    let first = |faults: Vec<Fault>| faults.first().map(ToString::to_string).unwrap_or_default();
    account::parse_without_root(&yaml, name).map_err(|faults| unreadable(first(faults)))
}

fn unreachable(text: String) -> Failure {
    Failure::new(codes::INSTANCE_UNREACHABLE, Exit::Unreachable, text)
}

/// Queries the agents at their addresses in the settings, since the platform's list may lag.
fn ask_agents(fleet: &Fleet, view: &View, service: ServiceKey, flow: FlowId) -> Vec<AgentFacts> {
    let upstreams: Vec<_> =
        view.service(service).upstream_keys().map(|key| view.upstream(key)).collect();
    let targets = upstreams.iter().map(|upstream| Target {
        name: upstream.spec.name.to_string(),
        control: upstream.spec.control_address,
        listed: None,
    });
    let agents = Fleet {
        targets: targets.collect(),
        notes: Vec::new(),
        platform: fleet.platform,
        client: fleet.client.clone(),
    };
    let path = format!("/explain?flow={:016x}", flow.0);
    let answers = agents.ask::<AgentExplained>(|_| Some(path.clone()));
    let facts = |(upstream, answer): (&&view::Upstream, Answer<AgentExplained>)| AgentFacts {
        id: upstream.id,
        listed: listed(fleet, &answer.target),
        is_retired: upstream.spec.state == UpstreamState::Retired,
        answer: answer.result,
    };
    upstreams.iter().zip(answers).map(facts).collect()
}

fn listed(fleet: &Fleet, agent: &Target) -> Option<State> {
    let entry = fleet.targets.iter().find(|target| target.control == agent.control)?;
    entry.listed.as_ref().map(|listed| listed.state)
}

fn ask_balancers(
    fleet: &Fleet,
    view: &View,
    service: ServiceKey,
    flow: FlowId,
) -> Vec<Answer<BalancerExplained>> {
    let id = view.service(service).id;
    let path = format!("/explain?service={:016x}&flow={:016x}", id.0, flow.0);
    let is_agent = |target: &Target| target.kind() == Some(Kind::Agent);
    fleet.ask(|target| (!is_agent(target)).then(|| path.clone()))
}

impl AgentFacts {
    /// Whether the agent did not answer although it should run. A retired agent may have ended.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.answer.is_err() && !self.is_retired
    }
}
