//! Collects the input of the verdict, and writes it to the output directory for people to read.

use std::fs;

use anyhow::Context as _;
use serde_json::{Value, json};
use standins::caller::Report;
use standins::platform;
use standins::shell::lock;

use super::Lab;
use super::topology::ACCOUNTS;
use super::verdict::{Evidence, LedgerEntry};

/// Reads the ledgers, takes the journal out of the lab, and writes reports and journal to files.
pub(super) fn gather(lab: &Lab, reports: Vec<Report>) -> anyhow::Result<Evidence> {
    let stats: platform::Stats = lab.http.get(lab.net.platform(), "/admin/stats")?;
    let evidence = Evidence {
        journal: std::mem::take(&mut *lock(&lab.journal)),
        ledger: read_ledgers(lab)?,
        reports,
        reads_per_s_max: stats.reads_per_s_max,
    };
    write_files(lab, &evidence)?;
    Ok(evidence)
}

/// Saves the timeline of every running daemon. Those of exited daemons are lost.
pub(super) fn write_timelines(lab: &Lab) {
    let daemons: Vec<_> = {
        let fleet = lock(&lab.fleet);
        let running = fleet.daemons().filter(|daemon| daemon.process.is_some());
        running.map(|daemon| (daemon.name.clone(), daemon.endpoints.control)).collect()
    };
    for (name, control) in daemons {
        // Errors are ignored: timelines are for people only, the verdict does not read them.
        if let Ok(text) = lab.http.get_text(control, "/timeline?after=0") {
            let _ = fs::write(lab.out.join(format!("{name}.timeline.json")), text);
        }
    }
}

fn read_ledgers(lab: &Lab) -> anyhow::Result<Vec<LedgerEntry>> {
    let mut entries = Vec::new();
    for row in &lock(&lab.fleet).upstreams {
        let upstream = &row.upstream.name;
        let path = lab.out.join(format!("{upstream}.ledger"));
        let text = fs::read_to_string(&path).with_context(|| path.display().to_string())?;
        for line in text.lines() {
            // A killed upstream may have left an incomplete line. It has not answered the request
            // of that line either.
            let Ok(row) = serde_json::from_str(line) else { continue };
            entries.push(LedgerEntry { upstream: upstream.clone(), row });
        }
    }
    Ok(entries)
}

fn write_files(lab: &Lab, evidence: &Evidence) -> anyhow::Result<()> {
    for (report, account) in evidence.reports.iter().zip(&ACCOUNTS) {
        let path = lab.out.join(format!("caller-{}.json", account.name));
        fs::write(&path, serde_json::to_string_pretty(report)?)?;
    }
    let path = lab.out.join("journal.json");
    fs::write(&path, serde_json::to_string_pretty(&journal_json(evidence))?)?;
    Ok(())
}

fn journal_json(evidence: &Evidence) -> Value {
    let journal = &evidence.journal;
    let phases = journal.phases.iter().map(|(at_ms, kind)| json!([at_ms, format!("{kind:?}")]));
    let publications =
        journal.publications.iter().map(|entry| json!([entry.at_ms, entry.account, entry.version]));
    let drains =
        journal.drains.iter().map(|drain| json!([drain.from_ms, drain.upstream, drain.until_ms]));
    json!({
        "phases": phases.collect::<Vec<_>>(),
        "publications": publications.collect::<Vec<_>>(),
        "drains": drains.collect::<Vec<_>>(),
        "killed": journal.killed,
        "disturbed": journal.disturbed,
        "in_force": journal.in_force,
        "reverted": journal.reverted,
        "lagging": journal.lagging,
        "unclean_exits": journal.unclean_exits,
    })
}
