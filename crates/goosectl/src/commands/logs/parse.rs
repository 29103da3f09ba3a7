//! Parses and prints one log line.

use serde::Deserialize;
use telemetry::flowline::FlowLine;

/// A line that a process logged.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Line {
    /// Time by the instance's clock.
    pub(super) timestamp: String,
    #[serde(default)]
    pub(super) level: String,
    #[serde(default)]
    pub(super) message: String,
    #[serde(default)]
    kvs: serde_json::Value,
    #[serde(default)]
    diags: Diagnostics,
    /// The decoded `kvs`, if the line is about a flow.
    #[serde(skip)]
    pub(super) flow: Option<FlowLine>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Diagnostics {
    instance: String,
}

/// Parses a line; text before the first brace is ignored. `None` if the line is not a log line of
/// our processes.
pub(super) fn line(text: &str) -> Option<Line> {
    let json = &text[text.find('{')?..];
    let mut line: Line = serde_json::from_str(json).ok()?;
    line.flow = serde_json::from_value::<FlowLine>(line.kvs.clone())
        .ok()
        .filter(|flow| !flow.event.is_empty());
    Some(line)
}

impl Line {
    pub(super) fn instance(&self) -> &str {
        &self.diags.instance
    }

    /// The line in human-readable form.
    pub(super) fn text(&self) -> String {
        let head = format!("{}  {:5} {:16}", self.timestamp, self.level, self.instance());
        let Some(flow) = &self.flow else {
            return format!("{head}  {} {}", self.message, details(&self.kvs));
        };
        let mut text =
            format!("{head}  E{:04} {} {} > {}", flow.code, flow.event, flow.caller, flow.endpoint);
        let optional = [
            ("request", flow.request.clone()),
            ("peer", flow.peer.clone()),
            ("view", flow.view()),
            ("elapsed_ms", flow.elapsed_ms.to_string()),
            (
                "suppressed",
                if flow.suppressed > 0 { flow.suppressed.to_string() } else { String::new() },
            ),
        ];
        for (name, value) in optional.iter().filter(|(_, value)| !value.is_empty()) {
            text.push_str(&format!("  {name}={value}"));
        }
        text
    }
}

fn details(kvs: &serde_json::Value) -> String {
    let Some(fields) = kvs.as_object() else { return String::new() };
    let details: Vec<String> =
        fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    details.join(" ")
}
