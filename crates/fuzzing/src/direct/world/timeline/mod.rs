//! Time line of a recorded episode.

mod entry;
mod sources;
mod text;

use std::collections::{BTreeMap, BTreeSet};

use steering::flow::FlowKey;

pub(super) use entry::Entry;
use entry::{StateKind, Subject};
use text::Line;

use super::{World, endpoint_index};

/// A flow's time line begins this long before its first packet.
const BEFORE_OPENING_MS: u64 = 2_000;
/// It also covers at least this long before its end, because a flow often ends because of a change
/// that is older than itself.
const BEFORE_END_MS: u64 = 20_000;

/// What happened in an episode.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    entries: Vec<(u64, Entry)>,
}

impl Timeline {
    /// The flow with which the first promise was broken.
    ///
    /// ```
    /// use fuzzing::direct::{Size, play_recorded};
    /// let (outcome, timeline) = play_recorded(Size::SMALL, 1, 5_000, None);
    /// assert!(outcome.violations.is_empty());
    /// assert_eq!(timeline.broken_flow(), None);
    /// ```
    pub fn broken_flow(&self) -> Option<FlowKey> {
        self.entries.iter().find_map(|(_, entry)| match entry {
            Entry::Broken { flow, .. } => Some(*flow),
            _ => None,
        })
    }

    /// The first flow from this port of a caller.
    ///
    /// ```
    /// use fuzzing::direct::{Size, play_recorded};
    /// let (_, timeline) = play_recorded(Size::SMALL, 1, 1_000, None);
    /// let flow = timeline.flow_from(1_025).unwrap();
    /// assert_eq!(flow.caller.port(), 1_025);
    /// assert_eq!(timeline.flow_from(80), None);
    /// ```
    pub fn flow_from(&self, port: u16) -> Option<FlowKey> {
        let mut flows = self.entries.iter().filter_map(|(_, entry)| entry.flow());
        flows.find(|flow| flow.caller.port() == port)
    }

    /// One line for everything that happened to a flow, and for the changes in the meantime.
    /// Earlier lines show the state at the beginning.
    ///
    /// ```
    /// use fuzzing::direct::{Size, play_recorded};
    /// let (_, timeline) = play_recorded(Size::SMALL, 1, 1_000, None);
    /// let flow = timeline.flow_from(1_025).unwrap();
    /// let lines = timeline.lines(flow);
    /// assert!(lines.iter().any(|line| line.contains("caller") && line.contains("opening")));
    /// ```
    pub fn lines(&self, flow: FlowKey) -> Vec<String> {
        let concerning = self.entries.iter().filter(|(_, entry)| entry.flow() == Some(flow));
        let times_ms: Vec<u64> = concerning.clone().map(|(at_ms, _)| *at_ms).collect();
        let (Some(first_ms), Some(until_ms)) = (times_ms.first(), times_ms.last()) else {
            return Vec::new();
        };
        let opening_ms = first_ms.saturating_sub(BEFORE_OPENING_MS);
        let from_ms = opening_ms.min(until_ms.saturating_sub(BEFORE_END_MS));
        let upstreams: BTreeSet<usize> =
            concerning.filter_map(|(_, entry)| entry.upstream()).collect();

        let is_after = |(at_ms, _): &&(u64, Entry)| *at_ms >= from_ms && at_ms <= until_ms;
        let entries = self.state_at(from_ms, &upstreams).into_iter();
        let entries = entries.chain(self.entries.iter().filter(is_after));
        let entries = entries.filter(|(_, entry)| entry.flow().is_none_or(|other| other == flow));
        distinct_lines(entries, endpoint_index(flow))
    }

    /// The latest entry before `from_ms` of each state of the balancers, the routes, the zones, and
    /// these upstreams, as far as it is still in force.
    fn state_at(&self, from_ms: u64, upstreams: &BTreeSet<usize>) -> Vec<&(u64, Entry)> {
        let mut latest = BTreeMap::new();
        for (index, (at_ms, entry)) in self.entries.iter().enumerate() {
            if *at_ms < from_ms
                && let Some((subject, kind)) = entry.state()
            {
                // A restart ends everything but the disconnection of an agent's instance.
                if kind == StateKind::Process && !matches!(subject, Subject::Agent(_)) {
                    latest.retain(|(other, _), _| *other != subject);
                }
                latest.insert((subject, kind), index);
            }
        }
        let mut indexes: Vec<usize> = latest.into_values().collect();
        indexes.sort_unstable();
        let is_shown = |(_, entry): &&(u64, Entry)| {
            let concerns = match entry.subject() {
                Subject::Agent(upstream) | Subject::Upstream(upstream) => {
                    upstreams.contains(&upstream)
                }
                _ => true,
            };
            concerns && entry.until_ms().is_none_or(|until_ms| until_ms > from_ms)
        };
        indexes.into_iter().map(|index| &self.entries[index]).filter(is_shown).collect()
    }
}

/// Lines without those that repeat a balancer's list, of which only the part about this endpoint
/// counts.
fn distinct_lines<'a>(
    entries: impl Iterator<Item = &'a (u64, Entry)>,
    endpoint_index: usize,
) -> Vec<String> {
    let mut lists = BTreeMap::new();
    let mut lines = Vec::new();
    for (at_ms, entry) in entries {
        let entry = entry.about(endpoint_index);
        let repeats = match &entry {
            Entry::List { balancer, starts, list } => {
                lists.insert(*balancer, list.clone()).as_ref() == Some(list) && !starts
            }
            _ => false,
        };
        if !repeats {
            lines.push(Line { at_ms: *at_ms, entry: &entry }.to_string());
        }
    }
    lines
}

impl World {
    /// Starts recording a time line, with the state at this moment.
    pub fn record(&mut self) {
        self.timeline = Some(Timeline::default());
        for upstream in 0..self.size.upstreams {
            self.note(|world| world.upstream_started(upstream));
            self.note(|world| world.agent_started(upstream));
        }
        for balancer in 0..self.size.balancers {
            self.note(|world| world.list_taken(balancer));
        }
    }

    /// Adds an entry if a time line is recorded.
    pub(super) fn note(&mut self, entry: impl FnOnce(&Self) -> Entry) {
        if self.timeline.is_none() {
            return;
        }
        let dated = (self.now_ms, entry(self));
        if let Some(timeline) = &mut self.timeline {
            timeline.entries.push(dated);
        }
    }
}
