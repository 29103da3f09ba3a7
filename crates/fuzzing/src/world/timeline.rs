//! The human-readable timeline of a recorded run.

use super::World;
use super::fleet::SERVICES;

impl World {
    /// Starts recording a timeline.
    pub fn record(&mut self) {
        self.timeline = Some(Vec::new());
    }

    /// The recorded timeline, with names in place of ids. Unless `full` is set, lines about callers
    /// other than the one affected by the violation are left out.
    pub fn timeline(&self, full: bool) -> Vec<String> {
        let names = self.names();
        let broken = self.violation.and_then(|violation| violation.seen.request());
        let about = broken.filter(|_| !full).map(|request| request.caller);
        let named = |line: &String| {
            names.iter().fold(line.clone(), |line, (id, name)| line.replace(id, name))
        };
        let lines = self.timeline.iter().flatten().map(named);
        lines.filter(|line| about.is_none_or(|caller| concerns(line, caller))).collect()
    }

    pub(super) fn note(&mut self, line: impl FnOnce() -> String) {
        if let Some(timeline) = &mut self.timeline {
            timeline.push(format!("{:>8} ms  {}", self.now_ms, line()));
        }
    }

    fn names(&self) -> Vec<(String, String)> {
        let mut names = Vec::new();
        for (service, kind) in SERVICES.iter().enumerate().take(self.fleet.service_count()) {
            names.push((format!("{:?}", kind.id()), kind.name.to_owned()));
            for listed in self.fleet.listed(service) {
                let id = format!("{:?}", kind.upstream(listed.name));
                names.push((id, format!("{}-{} on host {}", kind.name, listed.name, listed.host)));
            }
        }
        names.extend(self.flows.iter().map(|(flow, name)| (format!("{flow:?}"), name.clone())));
        names
    }
}

/// Whether a line names this caller, or no caller at all. Violations always count.
fn concerns(line: &str, caller: usize) -> bool {
    let names_it = line.contains(&format!("caller {caller} "))
        || line.contains(&format!("caller: {caller},"))
        || line.contains("VIOLATION");
    names_it || !(line.contains("caller") || line.contains("FlowId"))
}
