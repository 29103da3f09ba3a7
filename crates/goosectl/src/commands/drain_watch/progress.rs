//! Decides from a series of samples whether an upstream is drained.

use std::fmt;

use serde_json::{Value, json};

/// The result of one poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Sample {
    /// Flows of the upstream, or why its agent gave no usable answer.
    pub(super) flows: Result<Flows, String>,
    /// Openings that the upstream got since the previous sample.
    pub(super) openings: usize,
    /// Peers that did not answer. If one of them has assigned the upstream an opening, the event of
    /// the upstream's own agent that admits it still shows it.
    pub(super) unresponsive: Vec<String>,
    /// Whether the platform's list no longer contains the agent.
    pub(super) is_unlisted: bool,
}

/// Flows that the upstream's agent holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Flows {
    pub(super) open: usize,
    /// Flows whose callers have sent their FIN.
    pub(super) closing: usize,
    /// False if there were too many flows to list, so that `closing` may be too small.
    pub(super) is_complete: bool,
}

/// Whether an upstream is drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It holds no flow and has got no opening for long enough.
    Drained,
    /// Its agent does not answer.
    AgentUnresponsive,
    /// Its agent does not answer and is no longer listed; whether it was drained is not known.
    AgentGone,
    /// It holds flows.
    HoldsFlows,
    /// It holds no flow, but the required time without an opening has not passed yet.
    NotYetQuiet,
}

/// State derived from the samples so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    required_quiet_samples: u64,
    ignore_closing: bool,
    /// Consecutive samples without an opening in which the agent answered.
    quiet_samples: u64,
    last_flows: Option<Flows>,
}

impl Progress {
    /// The state before the first sample. One sample more than `required_quiet_samples` is
    /// required, since the first one cannot contain openings.
    pub(super) fn new(required_quiet_samples: u64, ignore_closing: bool) -> Self {
        Self {
            required_quiet_samples: required_quiet_samples + 1,
            ignore_closing,
            quiet_samples: 0,
            last_flows: None,
        }
    }

    /// Flows in the latest sample in which the agent answered.
    pub(super) fn last_flows(&self) -> Option<Flows> {
        self.last_flows
    }

    /// Adds a sample and returns the verdict.
    pub(super) fn update(&mut self, sample: &Sample) -> Verdict {
        let Ok(flows) = sample.flows else {
            self.quiet_samples = 0;
            return if sample.is_unlisted {
                Verdict::AgentGone
            } else {
                Verdict::AgentUnresponsive
            };
        };
        self.last_flows = Some(flows);
        self.quiet_samples = if sample.openings == 0 { self.quiet_samples + 1 } else { 0 };
        let waits_for_closing = !self.ignore_closing && (flows.closing > 0 || !flows.is_complete);
        if flows.open > 0 || waits_for_closing {
            return Verdict::HoldsFlows;
        }
        match self.quiet_samples >= self.required_quiet_samples {
            true => Verdict::Drained,
            false => Verdict::NotYetQuiet,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Drained => "drained",
            Self::AgentUnresponsive => "its agent does not answer",
            Self::AgentGone => "its agent has ended",
            Self::HoldsFlows => "it holds flows",
            Self::NotYetQuiet => "it holds no flow; waiting whether it gets an opening",
        })
    }
}

/// A sample as a line of text.
pub(super) fn line(sample: &Sample, verdict: &Verdict) -> String {
    let flows = match &sample.flows {
        Ok(flows) => {
            let more = if flows.is_complete { "" } else { " or more" };
            format!("{} open, {}{more} closing", flows.open, flows.closing)
        }
        Err(text) => text.clone(),
    };
    let unresponsive = match sample.unresponsive.is_empty() {
        true => String::new(),
        false => format!("; no answer from {}", sample.unresponsive.join(", ")),
    };
    format!("{flows}, {} new opening(s): {verdict}{unresponsive}", sample.openings)
}

/// A sample as a JSON document.
pub(super) fn json(sample: &Sample, verdict: &Verdict) -> Value {
    let flows = sample.flows.as_ref().ok();
    json!({
        "drained": *verdict == Verdict::Drained,
        "verdict": verdict.to_string(),
        "open": flows.map(|flows| flows.open),
        "closing": flows.map(|flows| flows.closing),
        "new_openings": sample.openings,
        "silent": sample.unresponsive,
    })
}
