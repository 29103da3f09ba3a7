//! Output of `goosectl settings`.

use std::io::{self, Write};

use serde::Serialize;
use settings::codes::{INSTANCE_UNREACHABLE, INSTANCES_LAG};

use super::lag::Row;
use crate::exit::Exit;
use crate::fleet::{Answer, Status};
use crate::output::{self, Table};

/// The versions in force on all instances.
pub(super) struct Report<'a> {
    pub(super) notes: &'a [String],
    pub(super) answers: &'a [Answer<Status>],
    pub(super) newest: &'a [(String, u64)],
    pub(super) rows: &'a [Row],
}

#[derive(Serialize)]
struct ReportJson<'a> {
    notes: &'a [String],
    accounts: Vec<AccountJson<'a>>,
    instances: Vec<RowJson<'a>>,
    silent: Vec<UnresponsiveJson<'a>>,
}

#[derive(Serialize)]
struct AccountJson<'a> {
    account: &'a str,
    newest: u64,
}

#[derive(Serialize)]
struct RowJson<'a> {
    instance: &'a str,
    account: &'a str,
    version: Option<u64>,
    lags: bool,
    lags_since_ms: Option<u64>,
}

#[derive(Serialize)]
struct UnresponsiveJson<'a> {
    instance: &'a str,
    code: &'a str,
    text: &'a str,
}

impl Report<'_> {
    /// The exit code.
    pub(super) fn exit(&self) -> Exit {
        match (self.unresponsive().count(), self.lagging()) {
            (unresponsive, _) if unresponsive == self.answers.len() => Exit::Unreachable,
            (0, 0) => Exit::Success,
            _ => Exit::Findings,
        }
    }

    /// Writes a table with a row for each account on each instance, and a summary.
    pub(super) fn text(&self, out: &mut dyn Write) -> io::Result<()> {
        output::write_notes(out, self.notes)?;
        let mut table = Table::new(["ACCOUNT", "INSTANCE", "VERSION", "NEWEST", "STATE", "SINCE"]);
        self.rows.iter().for_each(|row| table.push_row(self.cells(row)));
        self.unresponsive().for_each(|unresponsive| {
            table.push_row(
                ["-", unresponsive.instance, "-", "-", "silent", &unresponsive.cell()]
                    .map(str::to_owned),
            );
        });
        write!(out, "{table}")?;
        let (lagging, unresponsive) = (self.lagging(), self.unresponsive().count());
        if lagging > 0 {
            writeln!(out, "{INSTANCES_LAG}: {lagging} of {} lag", self.rows.len())?;
        }
        if unresponsive > 0 {
            writeln!(out, "{INSTANCE_UNREACHABLE}: {unresponsive} instance(s) do not answer")?;
        }
        Ok(())
    }

    /// Writes one JSON document.
    pub(super) fn json(&self, out: &mut dyn Write) -> io::Result<()> {
        let accounts = self.newest.iter();
        let accounts = accounts.map(|(account, newest)| AccountJson { account, newest: *newest });
        let report = ReportJson {
            notes: self.notes,
            accounts: accounts.collect(),
            instances: self.rows.iter().map(RowJson::from).collect(),
            silent: self.unresponsive().collect(),
        };
        output::write_json(out, &report)
    }

    fn cells(&self, row: &Row) -> [String; 6] {
        let number = |number: Option<u64>| number.map_or("-".to_owned(), |n| n.to_string());
        let newest = self.newest.iter().find(|(account, _)| *account == row.installed.account);
        let state = if row.lags { "lags" } else { "newest" };
        let since = match (row.lags, row.since_ms) {
            (false, _) => String::new(),
            (true, Some(ms)) => output::date_time(ms),
            (true, None) => "unknown".to_owned(),
        };
        [
            row.installed.account.clone(),
            row.installed.instance.clone(),
            number(row.installed.version),
            number(newest.map(|(_, version)| *version)),
            state.to_owned(),
            since,
        ]
    }

    fn lagging(&self) -> usize {
        self.rows.iter().filter(|row| row.lags).count()
    }

    fn unresponsive(&self) -> impl Iterator<Item = UnresponsiveJson<'_>> {
        self.answers.iter().filter_map(|answer| {
            let error = answer.result.as_ref().err()?;
            let instance = &answer.target.name;
            Some(UnresponsiveJson { instance, code: &error.code, text: &error.text })
        })
    }
}

impl UnresponsiveJson<'_> {
    fn cell(&self) -> String {
        format!("{}: {}", self.code, self.text)
    }
}

impl<'a> From<&'a Row> for RowJson<'a> {
    fn from(row: &'a Row) -> Self {
        Self {
            instance: &row.installed.instance,
            account: &row.installed.account,
            version: row.installed.version,
            lags: row.lags,
            lags_since_ms: row.since_ms,
        }
    }
}
