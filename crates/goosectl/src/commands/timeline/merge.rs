//! Merges and filters lists of events.

use super::causes;
use crate::fleet::Event;

/// Which events to keep.
#[derive(Clone, Debug, Default)]
pub(super) struct Filter {
    /// Flow id as sixteen hexadecimal digits.
    pub(super) flow: Option<String>,
    pub(super) account: Option<String>,
    /// Empty to keep all kinds.
    pub(super) kinds: Vec<String>,
}

/// Merges the lists of several processes in causal order.
///
/// Agents put their hybrid logical clock on the messages of their service, so sorting by timestamp
/// puts a cause before its effects if a message links them. [`causes::apply`] does so for causes
/// and effects that are linked by a packet. Events with the same timestamp are concurrent; sorting
/// them by instance is arbitrary but deterministic. An event that is in two lists is kept once.
pub(super) fn merge(lists: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.hlc, &a.instance).cmp(&(b.hlc, &b.instance)));
    events.dedup();
    causes::apply(events)
}

/// The events after a time in milliseconds since 1970, or all events if there is no such time.
pub(super) fn later_than(events: Vec<Event>, after_ms: Option<u64>) -> Vec<Event> {
    let Some(after_ms) = after_ms else { return events };
    events.into_iter().filter(|event| event.wall_ms() > after_ms).collect()
}

/// The events that match a filter, in their order.
pub(super) fn filtered(events: Vec<Event>, filter: &Filter) -> Vec<Event> {
    events.into_iter().filter(|event| filter.matches(event)).collect()
}

impl Filter {
    fn matches(&self, event: &Event) -> bool {
        let flow = self.flow.as_ref().is_none_or(|flow| event.field("flow") == *flow);
        let account = self.account.as_ref().is_none_or(|account| event.account == *account);
        let kind = self.kinds.is_empty() || self.kinds.contains(&event.kind);
        flow && account && kind
    }
}
