//! One list of events out of many.

use super::causes;
use crate::fleet::Event;

/// Which events are wanted.
#[derive(Clone, Debug, Default)]
pub(super) struct Filter {
    /// Sixteen hexadecimal digits.
    pub(super) flow: Option<String>,
    pub(super) account: Option<String>,
    /// Empty for all.
    pub(super) kinds: Vec<String>,
}

/// Merges the lists of several processes in causal order.
///
/// Agents put their hybrid logical clock on the messages of their service, so sorting by timestamp
/// puts causes before effects that came by message; [`causes::apply`] adds those that came by
/// packet. Events with one timestamp are concurrent, and their order by instance is arbitrary but
/// always the same. An event in two lists is taken once.
pub(super) fn merge(lists: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.hlc, &a.instance).cmp(&(b.hlc, &b.instance)));
    events.dedup();
    causes::apply(events)
}

/// Events after a time, in milliseconds since 1970; all if there is none.
pub(super) fn later_than(events: Vec<Event>, after_ms: Option<u64>) -> Vec<Event> {
    let Some(after_ms) = after_ms else { return events };
    events.into_iter().filter(|event| event.wall_ms() > after_ms).collect()
}

/// The events that a filter lets through, in their order.
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
