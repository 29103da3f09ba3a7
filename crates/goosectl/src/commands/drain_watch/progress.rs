//! From looks to the verdict that an upstream is drained.

use std::fmt;

use serde_json::{Value, json};

/// What one look has found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Look {
    /// Flows of the upstream, or why its agent does not tell.
    pub(super) flows: Result<Flows, String>,
    /// Openings given to the upstream since the last look.
    pub(super) openings: usize,
    /// Agents whose events are not known. One of them may have given the upstream an opening; it
    /// would show as admitted by the upstream's own agent.
    pub(super) silent: Vec<String>,
    /// Whether the platform's list has dropped the agent.
    pub(super) is_unlisted: bool,
}

/// Flows that the upstream's agent holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Flows {
    pub(super) open: usize,
    /// Flows whose callers have ended their half.
    pub(super) closing: usize,
    /// False if there were too many to list, so that `closing` is too small.
    pub(super) is_whole: bool,
}

/// Whether an upstream is drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It holds no flow and gets no opening.
    Drained,
    /// Its agent does not answer.
    Unknown,
    /// Its agent does not answer and is no longer listed: whether it was drained is not known.
    Gone,
    /// It holds flows.
    Holds,
    /// It holds none, but has had an opening a moment ago.
    NotYetQuiet,
}

/// Looks so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    quiet_looks_needed: u64,
    ignore_closing: bool,
    /// Looks in a row without an opening at which the agent answered.
    quiet_looks: u64,
    last_flows: Option<Flows>,
}

impl Progress {
    /// No look yet. The first one counts as none: it cannot tell about openings.
    pub(super) fn new(quiet_looks_needed: u64, ignore_closing: bool) -> Self {
        Self {
            quiet_looks_needed: quiet_looks_needed + 1,
            ignore_closing,
            quiet_looks: 0,
            last_flows: None,
        }
    }

    /// Flows at the last look at which the agent answered.
    pub(super) fn last_flows(&self) -> Option<Flows> {
        self.last_flows
    }

    /// Takes in a look.
    pub(super) fn take(&mut self, look: &Look) -> Verdict {
        let Ok(flows) = look.flows else {
            self.quiet_looks = 0;
            return if look.is_unlisted { Verdict::Gone } else { Verdict::Unknown };
        };
        self.last_flows = Some(flows);
        self.quiet_looks = if look.openings == 0 { self.quiet_looks + 1 } else { 0 };
        let closes = !self.ignore_closing && (flows.closing > 0 || !flows.is_whole);
        if flows.open > 0 || closes {
            return Verdict::Holds;
        }
        match self.quiet_looks >= self.quiet_looks_needed {
            true => Verdict::Drained,
            false => Verdict::NotYetQuiet,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Drained => "drained",
            Self::Unknown => "its agent does not answer",
            Self::Gone => "its agent has ended",
            Self::Holds => "it holds flows",
            Self::NotYetQuiet => "it holds no flow; waiting whether it gets an opening",
        })
    }
}

/// A look for people.
pub(super) fn line(look: &Look, verdict: &Verdict) -> String {
    let flows = match &look.flows {
        Ok(flows) => {
            let more = if flows.is_whole { "" } else { " or more" };
            format!("{} open, {}{more} closing", flows.open, flows.closing)
        }
        Err(text) => text.clone(),
    };
    let silent = match look.silent.is_empty() {
        true => String::new(),
        false => format!("; silent: {}", look.silent.join(", ")),
    };
    format!("{flows}, {} new opening(s): {verdict}{silent}", look.openings)
}

/// A look for programs.
pub(super) fn json(look: &Look, verdict: &Verdict) -> Value {
    let flows = look.flows.as_ref().ok();
    json!({
        "drained": *verdict == Verdict::Drained,
        "verdict": verdict.to_string(),
        "open": flows.map(|flows| flows.open),
        "closing": flows.map(|flows| flows.closing),
        "new_openings": look.openings,
        "silent": look.silent,
    })
}
