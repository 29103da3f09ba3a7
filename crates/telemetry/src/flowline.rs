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
    /// Revision of the view on which the decision is based.
    pub revision: u64,
    /// Age of that view, or duration of the operation.
    pub elapsed_ms: u64,
    /// Lines of this code that were suppressed since the last one.
    pub suppressed: u64,
}

impl FlowLine {
    /// Writes the line to the log.
    pub fn emit(&self) {
        log::info!(
            code = self.code,
            event = self.event.as_str(),
            caller = self.caller.as_str(),
            endpoint = self.endpoint.as_str(),
            request = self.request.as_str(),
            peer = self.peer.as_str(),
            revision = self.revision,
            elapsed_ms = self.elapsed_ms,
            suppressed = self.suppressed;
            "flow"
        );
    }
}
