//! Derives the steps of the explanation from the gathered facts. Sends no requests.

use decision::keys::{BucketIndex, ServiceKey, UpstreamId};
use decision::rank;
use decision::view::{UpstreamState, View};
use serde::Serialize;
use shell::settings_sync::instances::State;

use super::gather::{AgentFacts, Facts};
use super::{holder, home};

/// The path of a packet, step by step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Explanation {
    pub(super) packet: String,
    /// Hexadecimal id.
    pub(super) flow: String,
    pub(super) account: String,
    pub(super) version: u64,
    /// `None` if no service has the destination as an address.
    pub(super) service: Option<ServiceSteps>,
    /// False if an instance does not answer or contradicts the others, or if there is no service.
    pub(super) is_certain: bool,
}

/// The steps within a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct ServiceSteps {
    pub(super) name: String,
    pub(super) bucket: u16,
    /// From first to last rank.
    pub(super) ranking: Vec<Rank>,
    pub(super) home: home::Home,
    pub(super) holder: holder::Holder,
    /// Upstreams whose agents do not answer although they should.
    pub(super) silent: Vec<String>,
}

/// An agent of the bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Rank {
    pub(super) upstream: String,
    pub(super) zone: String,
    pub(super) weight: u32,
    /// `active` or `draining`.
    pub(super) state: &'static str,
    /// Why the agent cannot be the home; `None` if it can.
    pub(super) passed_over: Option<String>,
}

/// Explains the path of a packet.
pub(super) fn explain(facts: &Facts) -> Explanation {
    let account = facts.view.accounts().first();
    let service = facts.service.map(|key| service_steps(facts, key));
    let is_certain = service.as_ref().is_some_and(|service| {
        service.home.is_certain && service.holder.is_certain && service.silent.is_empty()
    });
    Explanation {
        packet: facts.tuple.to_string(),
        flow: format!("{:016x}", facts.flow.0),
        account: account.map(|account| account.name.to_string()).unwrap_or_default(),
        version: account.map_or(0, |account| account.version.0),
        service,
        is_certain,
    }
}

fn service_steps(facts: &Facts, key: ServiceKey) -> ServiceSteps {
    let (view, service) = (&facts.view, facts.view.service(key));
    let bucket = rank::bucket_of(facts.flow);
    let ranking = ranking(facts, key, bucket);
    let home = home::find(facts, &ranking);
    let unresponsive = facts.agents.iter().filter(|agent| agent.is_unresponsive());
    ServiceSteps {
        name: service.spec.name.to_string(),
        bucket: bucket.0,
        holder: holder::find(facts, home.upstream.as_deref()),
        home,
        ranking,
        silent: unresponsive.map(|agent| name(view, key, agent.id)).collect(),
    }
}

fn ranking(facts: &Facts, key: ServiceKey, bucket: BucketIndex) -> Vec<Rank> {
    let view = &facts.view;
    let rank = |upstream: &decision::view::Upstream| Rank {
        upstream: upstream.spec.name.to_string(),
        zone: upstream.spec.zone.to_string(),
        weight: upstream.spec.weight,
        state: match upstream.spec.state {
            UpstreamState::Active => "active",
            UpstreamState::Draining => "draining",
            UpstreamState::Retired => "retired",
        },
        passed_over: exclusion_reason(&facts.agents, upstream.id),
    };
    view.service(key).ranking(bucket).iter().map(|key| rank(view.upstream(*key))).collect()
}

/// Why an agent cannot be the home, according to the platform's list and the agents' answers.
fn exclusion_reason(agents: &[AgentFacts], id: UpstreamId) -> Option<String> {
    let hex = format!("{:016x}", id.0);
    let agent_facts = agents.iter().find(|agent| agent.id == id);
    let count_standing = |wanted: &str| {
        let answers = agents.iter().filter_map(|agent| agent.answer.as_ref().ok());
        let ranks =
            answers.filter_map(|answer| answer.ranking.iter().find(|rank| rank.upstream == hex));
        ranks.filter(|rank| rank.standing == wanted).count()
    };
    if agent_facts.is_some_and(|facts| facts.listed == Some(State::Leaving)) {
        return Some("leaving, says the platform's list".to_owned());
    }
    match (count_standing("leaving"), count_standing("silent")) {
        (0, 0) => agent_facts?.answer.as_ref().err().map(|_| "does not answer goosectl".to_owned()),
        (0, silent) => Some(format!("down: {silent} agent(s) hear nothing from it")),
        (leaving, _) => Some(format!("leaving, say {leaving} agent(s)")),
    }
}

/// Name of an upstream of the service, or its id if the settings do not contain it.
pub(super) fn name(view: &View, service: ServiceKey, id: UpstreamId) -> String {
    match view.find_upstream(service, id) {
        Some(key) => view.upstream(key).spec.name.to_string(),
        None => format!("{:016x}", id.0),
    }
}

/// Like [`name`], for a hexadecimal id.
pub(super) fn name_of_hex(facts: &Facts, hex: &str) -> String {
    let id = u64::from_str_radix(hex, 16).ok().map(UpstreamId);
    match (facts.service, id) {
        (Some(service), Some(id)) => name(&facts.view, service, id),
        _ => hex.to_owned(),
    }
}
