//! Output of `goosectl status`.

use std::io::{self, Write};

use serde::Serialize;
use settings::codes::{Class, INSTANCE_UNREACHABLE, TABLE};

use crate::exit::Exit;
use crate::fleet::{Answer, RequestError, Status};
use crate::output::{self, Table};

/// The answers of all instances.
pub(super) struct Report<'a> {
    pub(super) notes: &'a [String],
    pub(super) answers: &'a [Answer<Status>],
    pub(super) all_counters: bool,
}

#[derive(Serialize)]
struct InstanceJson<'a> {
    name: &'a str,
    control_address: String,
    zone: &'a str,
    listed: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<&'a Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    silence: Option<&'a RequestError>,
}

impl Report<'_> {
    /// Exit code: findings if some instances do not answer or are not ready.
    pub(super) fn exit(&self) -> Exit {
        let answered = self.answers.iter().filter_map(|answer| answer.result.as_ref().ok());
        let ready = answered.clone().filter(|status| status.ready).count();
        match (answered.count(), ready) {
            (0, _) => Exit::Unreachable,
            (_, ready) if ready < self.answers.len() => Exit::Findings,
            _ => Exit::Success,
        }
    }

    /// Writes a table with a row for each instance, and a summary.
    pub(super) fn text(&self, out: &mut dyn Write) -> io::Result<()> {
        output::write_notes(out, self.notes)?;
        let head = [
            "INSTANCE", "KIND", "ZONE", "LISTED", "READY", "SETTINGS", "FLOWS", "IN", "OUT",
            "DROPPED",
        ];
        let mut table = Table::new(head);
        self.answers.iter().for_each(|answer| table.push_row(row(answer)));
        write!(out, "{table}")?;
        if self.all_counters {
            self.counters(out)?;
        }
        self.summary(out)
    }

    /// Writes one JSON document.
    pub(super) fn json(&self, out: &mut dyn Write) -> io::Result<()> {
        output::write_instances_json(out, self.notes, self.answers.iter().map(InstanceJson::from))
    }

    fn counters(&self, out: &mut dyn Write) -> io::Result<()> {
        let mut table = Table::new(["INSTANCE", "COUNTER", "VALUE"]);
        for status in self.answers.iter().filter_map(|answer| answer.result.as_ref().ok()) {
            for (name, value) in status.counters.iter().filter(|(_, value)| **value > 0) {
                table.push_row([status.instance.clone(), name.clone(), value.to_string()]);
            }
        }
        write!(out, "\n{table}")
    }

    fn summary(&self, out: &mut dyn Write) -> io::Result<()> {
        let all = self.answers.len();
        let answered = self.answers.iter().filter_map(|answer| answer.result.as_ref().ok());
        let ready = answered.clone().filter(|status| status.ready).count();
        let unresponsive = all - answered.count();
        writeln!(out, "{all} instance(s): {ready} ready, {unresponsive} silent")?;
        if unresponsive > 0 {
            writeln!(out, "{INSTANCE_UNREACHABLE}: {unresponsive} instance(s) do not answer")?;
        }
        Ok(())
    }
}

impl<'a> From<&'a Answer<Status>> for InstanceJson<'a> {
    fn from(answer: &'a Answer<Status>) -> Self {
        let status = answer.result.as_ref().ok();
        Self {
            name: status.map_or(&answer.target.name, |status| &status.instance),
            control_address: answer.target.control.to_string(),
            zone: answer.target.zone(),
            listed: answer.target.state(),
            status,
            silence: answer.result.as_ref().err(),
        }
    }
}

fn row(answer: &Answer<Status>) -> Vec<String> {
    let target = &answer.target;
    let (zone, state) = (target.zone().to_owned(), target.state().to_owned());
    let status = match &answer.result {
        Ok(status) => status,
        Err(error) => {
            let kind = target.kind().map_or("-".to_owned(), |kind| format!("{kind:?}"));
            let kind = kind.to_lowercase();
            return vec![
                target.name.clone(),
                kind,
                zone,
                state,
                "silent".into(),
                error.to_string(),
            ];
        }
    };
    let ready = if status.ready { "yes" } else { "no" };
    let counts =
        flow_and_packet_counts(status).map(|count| count.map_or("-".into(), |n| n.to_string()));
    let mut cells = vec![
        status.instance.clone(),
        status.kind.clone(),
        zone,
        state,
        ready.into(),
        settings_versions(status),
    ];
    cells.extend(counts);
    cells
}

fn settings_versions(status: &Status) -> String {
    let versions: Vec<String> = status
        .settings
        .iter()
        .map(|entry| format!("{}={}", entry.account, entry.version))
        .collect();
    if versions.is_empty() { "none".to_owned() } else { versions.join(" ") }
}

/// Open flows, packets in, packets out and packets dropped; `None` where the instance has no such
/// counter. Balancers have no flows.
fn flow_and_packet_counts(status: &Status) -> [Option<u64>; 4] {
    let counter = |name: &str| status.counters.get(name).copied();
    let sum = |names: [&str; 3]| names.into_iter().filter_map(counter).reduce(|a, b| a + b);
    let reasons = TABLE.iter().filter(|entry| entry.class == Class::Packets);
    let dropped = reasons.filter_map(|entry| counter(entry.name)).reduce(|a, b| a + b);
    [
        counter("flows_open"),
        counter("packets_received_total").or_else(|| counter("packets_received")),
        sum(["packets_forwarded_total", "packets_delivered", "packets_passed_on"]),
        dropped,
    ]
}
