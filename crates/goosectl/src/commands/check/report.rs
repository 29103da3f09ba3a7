//! Output of `goosectl check`.

use std::io::{self, Write};
use std::path::Path;

use decision::view::AccountSpec;
use serde::Serialize;
use settings::{Fault, Root};

/// The result of one check.
pub(super) struct Report<'a> {
    pub(super) file: &'a Path,
    pub(super) result: &'a Result<Content, Vec<Fault>>,
    pub(super) are_addresses_compared: bool,
}

/// The content of a valid document.
pub(super) enum Content {
    Root(Root),
    Account(AccountSpec),
}

#[derive(Serialize)]
struct ReportJson<'a> {
    file: String,
    ok: bool,
    version: Option<u64>,
    addresses_compared: bool,
    faults: Vec<FaultJson<'a>>,
}

#[derive(Serialize)]
struct FaultJson<'a> {
    code: String,
    name: &'a str,
    line: u32,
    column: u32,
    path: &'a str,
    text: &'a str,
    action: &'a str,
}

impl Report<'_> {
    /// Writes one line for each fault, as `file:line:column: ...` so that editors can jump to it,
    /// and a summary.
    pub(super) fn text(&self, out: &mut dyn Write) -> io::Result<()> {
        let file = self.file.display();
        match self.result {
            Ok(content) => writeln!(out, "{file}: good: {}", content.summary())?,
            Err(faults) => {
                for Fault { code, line, column, path, text } in faults {
                    let space = if path.is_empty() { "" } else { ": " };
                    writeln!(out, "{file}:{line}:{column}: {code} {path}{space}{text}")?;
                }
                writeln!(out, "{file}: {} fault(s)", faults.len())?;
            }
        }
        if !self.are_addresses_compared {
            writeln!(out, "{file}: addresses were not compared with their owners: no --root")?;
        }
        Ok(())
    }

    /// Writes one JSON object.
    pub(super) fn json(&self, out: &mut dyn Write) -> io::Result<()> {
        let faults = self.result.as_ref().err().map(Vec::as_slice).unwrap_or_default();
        let json = ReportJson {
            file: self.file.display().to_string(),
            ok: self.result.is_ok(),
            version: self.result.as_ref().ok().map(Content::version),
            addresses_compared: self.are_addresses_compared,
            faults: faults.iter().map(FaultJson::from).collect(),
        };
        serde_json::to_writer(&mut *out, &json)?;
        writeln!(out)
    }
}

impl Content {
    fn version(&self) -> u64 {
        match self {
            Self::Root(root) => root.version.0,
            Self::Account(spec) => spec.version.0,
        }
    }

    fn summary(&self) -> String {
        match self {
            Self::Root(root) => {
                format!("root version {}, {} account(s)", root.version.0, root.accounts.len())
            }
            Self::Account(spec) => {
                let upstreams: usize =
                    spec.services.iter().map(|service| service.upstreams.len()).sum();
                format!(
                    "account {} version {}, {} service(s), {upstreams} upstream(s)",
                    spec.name,
                    spec.version.0,
                    spec.services.len()
                )
            }
        }
    }
}

impl<'a> From<&'a Fault> for FaultJson<'a> {
    fn from(fault: &'a Fault) -> Self {
        Self {
            code: fault.code.to_string(),
            name: fault.code.name(),
            line: fault.line,
            column: fault.column,
            path: &fault.path,
            text: &fault.text,
            action: fault.code.entry().map_or("", |entry| entry.action),
        }
    }
}
