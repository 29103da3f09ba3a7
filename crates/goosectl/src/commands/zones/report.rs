//! Output of `goosectl zones`.

use std::io::{self, Write};

use serde::Serialize;

use crate::exit::Exit;
use crate::fleet::{Answer, RequestError, Zones};
use crate::output::{self, Table};

/// The answers of the balancers.
pub(super) struct Report<'a> {
    pub(super) notes: &'a [String],
    pub(super) answers: &'a [Answer<Zones>],
}

#[derive(Serialize)]
struct InstanceJson<'a> {
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    zones: Option<&'a Zones>,
    #[serde(skip_serializing_if = "Option::is_none")]
    silence: Option<&'a RequestError>,
}

impl Report<'_> {
    /// Exit code: findings if the balancers differ or some do not answer.
    pub(super) fn exit(&self) -> Exit {
        let mut answered = self.answers.iter().filter_map(|answer| answer.result.as_ref().ok());
        let Some(first) = answered.next() else { return Exit::Unreachable };
        let agree = answered.all(|zones| zones.closed == first.closed);
        let any_unresponsive = self.answers.iter().any(|answer| answer.result.is_err());
        if agree && !any_unresponsive { Exit::Success } else { Exit::Findings }
    }

    /// Writes a table with a row for each balancer.
    pub(super) fn text(&self, out: &mut dyn Write) -> io::Result<()> {
        output::write_notes(out, self.notes)?;
        let mut table = Table::new(["INSTANCE", "REVISION", "CLOSED"]);
        self.answers.iter().for_each(|answer| table.push_row(row(answer)));
        write!(out, "{table}")
    }

    /// Writes one JSON document.
    pub(super) fn json(&self, out: &mut dyn Write) -> io::Result<()> {
        output::write_instances_json(out, self.notes, self.answers.iter().map(InstanceJson::from))
    }
}

fn row(answer: &Answer<Zones>) -> [String; 3] {
    let name = answer.target.name.clone();
    match &answer.result {
        Ok(zones) if zones.closed.is_empty() => [name, zones.revision_text(), "-".into()],
        Ok(zones) => [name, zones.revision_text(), zones.closed.join(" ")],
        Err(error) => [name, "silent".into(), error.to_string()],
    }
}

impl<'a> From<&'a Answer<Zones>> for InstanceJson<'a> {
    fn from(answer: &'a Answer<Zones>) -> Self {
        Self {
            name: &answer.target.name,
            zones: answer.result.as_ref().ok(),
            silence: answer.result.as_ref().err(),
        }
    }
}
