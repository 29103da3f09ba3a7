//! Output of `goosectl flows`.

use std::io::{self, Write};

use serde::Serialize;
use settings::codes::{INSTANCE_UNREACHABLE, NOT_FOUND};

use crate::exit::Exit;
use crate::fleet::{Answer, Flow, Flows, RequestError};
use crate::output::{self, Table};

/// The answers of the agents.
pub(super) struct Report<'a> {
    pub(super) notes: &'a [String],
    pub(super) answers: &'a [Answer<Flows>],
}

#[derive(Serialize)]
struct ReportJson<'a> {
    notes: &'a [String],
    open: usize,
    agents: Vec<AgentJson<'a>>,
}

#[derive(Serialize)]
struct AgentJson<'a> {
    instance: &'a str,
    account: Option<&'a str>,
    service: Option<&'a str>,
    upstream: Option<&'a str>,
    open: Option<usize>,
    flows: &'a [Flow],
    #[serde(skip_serializing_if = "Option::is_none")]
    silence: Option<&'a RequestError>,
}

impl Report<'_> {
    /// Exit code: findings if no agent matches or some do not answer.
    pub(super) fn exit(&self) -> Exit {
        let unresponsive = self.unresponsive_count();
        match unresponsive {
            0 if self.answers.is_empty() => Exit::Findings,
            0 => Exit::Success,
            unresponsive if unresponsive == self.answers.len() => Exit::Unreachable,
            _ => Exit::Findings,
        }
    }

    /// Writes a table of the agents, a table of the flows, and a summary.
    pub(super) fn text(&self, out: &mut dyn Write) -> io::Result<()> {
        output::write_notes(out, self.notes)?;
        if self.answers.is_empty() {
            return writeln!(out, "{NOT_FOUND}: no agent matches");
        }
        let mut agents = Table::new(["AGENT", "ACCOUNT", "SERVICE", "UPSTREAM", "OPEN"]);
        let mut flows = Table::new(["FLOW", "STATE", "AGENT"]);
        let mut listed = 0;
        for answer in self.answers {
            agents.push_row(agent_row(answer));
            for flow in answer.result.iter().flat_map(|flows| &flows.flows) {
                flows.push_row([flow.flow.clone(), flow.state.clone(), answer.target.name.clone()]);
                listed += 1;
            }
        }
        write!(out, "{agents}")?;
        if listed > 0 {
            write!(out, "\n{flows}")?;
        }
        writeln!(out, "{} open flow(s), {listed} flow(s) listed", self.open_count())?;
        match self.unresponsive_count() {
            0 => Ok(()),
            unresponsive => {
                writeln!(out, "{INSTANCE_UNREACHABLE}: {unresponsive} agent(s) do not answer")
            }
        }
    }

    /// Writes one JSON document.
    pub(super) fn json(&self, out: &mut dyn Write) -> io::Result<()> {
        let agents = self.answers.iter().map(AgentJson::from).collect();
        output::write_json(out, &ReportJson { notes: self.notes, open: self.open_count(), agents })
    }

    fn open_count(&self) -> usize {
        self.answers.iter().filter_map(|answer| Some(answer.result.as_ref().ok()?.open)).sum()
    }

    fn unresponsive_count(&self) -> usize {
        self.answers.iter().filter(|answer| answer.result.is_err()).count()
    }
}

impl<'a> From<&'a Answer<Flows>> for AgentJson<'a> {
    fn from(answer: &'a Answer<Flows>) -> Self {
        let (served, flows) = (answer.target.served_upstream(), answer.result.as_ref().ok());
        Self {
            instance: flows.map_or(&answer.target.name, |flows| &flows.instance),
            account: served.map(|served| served.account.as_str()),
            service: served.map(|served| served.service.as_str()),
            upstream: served.map(|served| served.upstream.as_str()),
            open: flows.map(|flows| flows.open),
            flows: flows.map_or(&[], |flows| &flows.flows),
            silence: answer.result.as_ref().err(),
        }
    }
}

fn agent_row(answer: &Answer<Flows>) -> [String; 5] {
    let entry = AgentJson::from(answer);
    let text = |text: Option<&str>| text.unwrap_or("-").to_owned();
    let open = match &answer.result {
        Ok(flows) => flows.open.to_string(),
        Err(error) => error.to_string(),
    };
    [
        entry.instance.to_owned(),
        text(entry.account),
        text(entry.service),
        text(entry.upstream),
        open,
    ]
}
