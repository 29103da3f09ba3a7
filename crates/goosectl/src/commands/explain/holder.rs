//! Which agent holds the flow, according to the agents' answers.

use serde::Serialize;

use super::gather::{AgentFacts, Facts};
use super::steps::name_of_hex;
use crate::fleet::AgentExplained;

/// States in which an agent holds a flow.
const HOLDING_STATES: [&str; 3] = ["open", "finishing", "reset"];

/// The holder of the flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Holder {
    pub(super) upstream: Option<String>,
    /// `open`, `finishing` or `reset`.
    pub(super) state: Option<String>,
    pub(super) reason: String,
    /// What the home does with the flow's next packet.
    pub(super) next: String,
    /// Whether exactly one agent reports the flow as its own, or all agents answer that they do not
    /// hold it.
    pub(super) is_certain: bool,
}

/// Finds the holder. `home` is the upstream to whose agent the balancers send the flow.
pub(super) fn find(facts: &Facts, home: Option<&str>) -> Holder {
    let answered =
        || facts.agents.iter().filter_map(|agent| Some((agent, agent.answer.as_ref().ok()?)));
    let holders: Vec<(&AgentFacts, &AgentExplained)> =
        answered().filter(|(_, answer)| HOLDING_STATES.contains(&&*answer.place.state)).collect();
    let any_unresponsive = facts.agents.iter().any(AgentFacts::is_unresponsive);
    let name = |agent: &AgentFacts| name_of_hex(facts, &format!("{:016x}", agent.id.0));
    let at_home =
        answered().find(|(agent, _)| Some(&*name(agent)) == home).map(|(_, answer)| answer);
    let next = next_step(facts, at_home, home);
    match holders[..] {
        [(agent, answer)] => Holder {
            upstream: Some(name(agent)),
            state: Some(answer.place.state.clone()),
            reason: "its agent says so".to_owned(),
            next,
            is_certain: true,
        },
        [] => Holder {
            upstream: None,
            state: None,
            reason: reason_without_holder(facts, any_unresponsive),
            next,
            is_certain: !any_unresponsive,
        },
        _ => {
            let names: Vec<String> = holders.iter().map(|(agent, _)| name(agent)).collect();
            let reason = format!("claimed by several: {}", names.join(", "));
            Holder { upstream: None, state: None, reason, next, is_certain: false }
        }
    }
}

fn reason_without_holder(facts: &Facts, any_unresponsive: bool) -> String {
    let answers = facts.agents.iter().filter_map(|agent| agent.answer.as_ref().ok());
    let redirect_holder = answers.filter_map(|answer| answer.place.holder.as_deref()).next();
    let caveat = if any_unresponsive { "; not certain, since some agents are silent" } else { "" };
    let Some(holder) = redirect_holder else {
        return match any_unresponsive {
            true => "no agent that answers holds it; not certain, since some are silent".to_owned(),
            false => "every agent denies it: the flow is not open".to_owned(),
        };
    };
    let is_holder = |agent: &&AgentFacts| format!("{:016x}", agent.id.0) == holder;
    let named_agent = facts.agents.iter().find(is_holder);
    let denial = match named_agent.is_some_and(|agent| agent.answer.is_ok()) {
        true => "denies it",
        false => "does not answer",
    };
    format!("an agent believes {}, which {denial}{caveat}", name_of_hex(facts, holder))
}

fn next_step(facts: &Facts, at_home: Option<&AgentExplained>, home: Option<&str>) -> String {
    let home = home.unwrap_or("nobody");
    let Some(answer) = at_home else {
        return format!("{home} was not heard");
    };
    match (&*answer.place.state, &answer.place.holder) {
        ("elsewhere", Some(holder)) => {
            let evidence = answer.place.evidence.as_deref().unwrap_or("unknown");
            format!("{home} passes it to {} ({evidence})", name_of_hex(facts, holder))
        }
        ("unknown", _) => {
            format!("{home} decides about an opening, and asks its peers about the rest")
        }
        _ => format!("{home} delivers it to its own upstream"),
    }
}
