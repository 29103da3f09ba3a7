//! The agent to which the balancers send the packet, and why.

use std::net::SocketAddr;

use decision::keys::UpstreamKey;
use serde::Serialize;

use super::gather::Facts;
use super::steps::Rank;

/// The home of the flow's bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Home {
    /// Upstream that most balancers choose; taken from the ranking alone if no balancer answers.
    pub(super) upstream: Option<String>,
    pub(super) reason: String,
    pub(super) balancers: Vec<BalancerChoice>,
    /// Whether all balancers answered and chose the same upstream.
    pub(super) is_certain: bool,
}

/// The upstream that one balancer chooses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct BalancerChoice {
    pub(super) instance: String,
    pub(super) version: Option<u64>,
    /// Name of the upstream, or the error if the balancer did not answer.
    pub(super) home: String,
}

/// Finds the home from the balancers' answers and the ranking.
pub(super) fn find(facts: &Facts, ranking: &[Rank]) -> Home {
    let balancers: Vec<BalancerChoice> = facts
        .balancers
        .iter()
        .map(|answer| match &answer.result {
            Ok(explained) => BalancerChoice {
                instance: explained.instance.clone(),
                version: Some(explained.version),
                home: explained.home.map_or("nobody".to_owned(), |address| name_at(facts, address)),
            },
            Err(error) => BalancerChoice {
                instance: answer.target.name.clone(),
                version: None,
                home: error.to_string(),
            },
        })
        .collect();
    let chosen = most_frequent(&balancers);
    let answered = || balancers.iter().filter(|choice| choice.version.is_some());
    let is_agreed = answered().all(|choice| Some(&choice.home) == chosen.as_ref());
    let is_certain = is_agreed && answered().count() == balancers.len() && chosen.is_some();
    let by_ranking = || ranking.iter().find(|rank| rank.passed_over.is_none());
    let upstream =
        chosen.clone().or_else(|| by_ranking().or(ranking.first()).map(|r| r.upstream.clone()));
    let mut reason = reason(ranking, upstream.as_deref());
    if chosen.is_none() {
        reason.push_str("; no balancer was heard, so this is by ranking only");
    } else if !is_agreed {
        reason.push_str("; the balancers do not agree");
    }
    Home { upstream, reason, is_certain, balancers }
}

fn most_frequent(choices: &[BalancerChoice]) -> Option<String> {
    let known = || choices.iter().filter(|choice| choice.version.is_some());
    let count = |home: &str| known().filter(|choice| choice.home == home).count();
    known().map(|choice| &choice.home).max_by_key(|home| (count(home), *home)).cloned()
}

fn reason(ranking: &[Rank], home: Option<&str>) -> String {
    let Some(position) = ranking.iter().position(|rank| Some(&*rank.upstream) == home) else {
        return match home {
            Some(_) => "not in the ranking of the published settings".to_owned(),
            None => "the service has no agent that is not retired".to_owned(),
        };
    };
    if position == 0 {
        return match &ranking[0].passed_over {
            None => "first rank".to_owned(),
            Some(why) => format!("first rank, although {why}"),
        };
    }
    let skipped = ranking[..position].iter().map(|rank| {
        let why = rank.passed_over.as_deref().unwrap_or("down, as the balancers believe");
        format!("{}: {why}", rank.upstream)
    });
    format!("rank {}: {}", position + 1, skipped.collect::<Vec<_>>().join(", "))
}

fn name_at(facts: &Facts, address: SocketAddr) -> String {
    let keys = facts.service.map(|key| facts.view.service(key).upstream_keys());
    let at = |key: &UpstreamKey| facts.view.upstream(*key).spec.agent_address == address;
    let found = keys.into_iter().flatten().find(at);
    found.map_or(address.to_string(), |key| facts.view.upstream(key).spec.name.to_string())
}
