//! Which agent holds the flow, as the agents themselves say.

use serde::Serialize;

use super::gather::{AgentFacts, Facts};
use super::steps::name_of_hex;
use crate::fleet::Explained;

/// States in which an agent holds a flow.
const HELD: [&str; 3] = ["open", "finishing", "reset"];

/// Who holds the flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Holder {
    pub(super) upstream: Option<String>,
    /// `open`, `finishing` or `reset`.
    pub(super) state: Option<String>,
    pub(super) reason: String,
    /// What the home does with the next packet.
    pub(super) next: String,
    /// Whether exactly one agent says so, or all deny it.
    pub(super) is_certain: bool,
}

/// Finds the holder; `home` is the upstream to which the balancers send.
pub(super) fn find(facts: &Facts, home: Option<&str>) -> Holder {
    let heard =
        || facts.agents.iter().filter_map(|agent| Some((agent, agent.answer.as_ref().ok()?)));
    let holders: Vec<(&AgentFacts, &Explained)> =
        heard().filter(|(_, answer)| HELD.contains(&&*answer.place.state)).collect();
    let silent = facts.agents.iter().any(AgentFacts::is_missing);
    let name = |agent: &AgentFacts| name_of_hex(facts, &format!("{:016x}", agent.id.0));
    let at_home = heard().find(|(agent, _)| Some(&*name(agent)) == home).map(|(_, answer)| answer);
    let next = next(facts, at_home, home);
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
            reason: nobody(facts, silent),
            next,
            is_certain: !silent,
        },
        _ => {
            let names: Vec<String> = holders.iter().map(|(agent, _)| name(agent)).collect();
            let reason = format!("claimed by several: {}", names.join(", "));
            Holder { upstream: None, state: None, reason, next, is_certain: false }
        }
    }
}

fn nobody(facts: &Facts, silent: bool) -> String {
    let answers = facts.agents.iter().filter_map(|agent| agent.answer.as_ref().ok());
    let believed = answers.filter_map(|answer| answer.place.holder.as_deref()).next();
    let doubt = if silent { "; not certain, since some agents are silent" } else { "" };
    let Some(holder) = believed else {
        return match silent {
            true => "no agent that answers holds it; not certain, since some are silent".to_owned(),
            false => "every agent denies it: the flow is not open".to_owned(),
        };
    };
    let is_holder = |agent: &&AgentFacts| format!("{:016x}", agent.id.0) == holder;
    let own = facts.agents.iter().find(is_holder);
    let denial = match own.is_some_and(|agent| agent.answer.is_ok()) {
        true => "denies it",
        false => "does not answer",
    };
    format!("an agent believes {}, which {denial}{doubt}", name_of_hex(facts, holder))
}

fn next(facts: &Facts, at_home: Option<&Explained>, home: Option<&str>) -> String {
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
