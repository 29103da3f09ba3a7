//! The log line of a decision about a flow, shared by the processes that write it and the
//! command-line tool that reads it.

use serde::{Deserialize, Serialize};

/// A decision about a flow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FlowLine {
    /// Result code.
    pub code: u16,
    /// Name of the code.
    pub event: String,
    /// Address and port of the caller.
    pub caller: String,
    /// Address and port to which the caller sent the packet.
    pub endpoint: String,
    /// The caller's request id, if the packet contains one.
    pub request: String,
    /// The other instance of this system that is concerned: where the packet goes or comes from.
    pub peer: String,
    /// Era of the configuration service in which `revision` was published; zero if it states none.
    pub era: u64,
    /// Revision of the view on which the decision is based.
    pub revision: u64,
    /// Age of that view, or duration of the operation.
    pub elapsed_ms: u64,
    /// Lines of this code that were suppressed since the last one.
    pub suppressed: u64,
}

impl FlowLine {
    /// The view on which the decision is based as era and revision, or as the revision alone without
    /// an era; empty if there is none.
    ///
    /// ```
    /// use telemetry::flowline::FlowLine;
    /// let line = FlowLine { era: 2, revision: 46, ..FlowLine::default() };
    /// assert_eq!(line.view(), "2.46");
    /// assert_eq!(FlowLine::default().view(), "");
    /// ```
    pub fn view(&self) -> String {
        match (self.era, self.revision) {
            (_, 0) => String::new(),
            (0, revision) => revision.to_string(),
            (era, revision) => format!("{era}.{revision}"),
        }
    }

    /// Writes the line to the log.
    pub fn emit(&self) {
        log::info!(
            code = self.code,
            event = self.event.as_str(),
            caller = self.caller.as_str(),
            endpoint = self.endpoint.as_str(),
            request = self.request.as_str(),
            peer = self.peer.as_str(),
            era = self.era,
            revision = self.revision,
            elapsed_ms = self.elapsed_ms,
            suppressed = self.suppressed;
            "flow"
        );
    }
}
