//! Corrects the order of causes and effects that are linked by a packet.
//!
//! A home that assigns an opening forwards its packet, which carries no clock, and records the
//! assignment after it has sent the packet. Sorting by timestamp alone may therefore list the
//! admission before the assignment that led to it, as it did for 6 of 1060 admissions in one lab
//! run. The two events are matched by the opening's flow and nonce. The admission is moved behind
//! the assignment, together with the later events of its process.

use std::collections::VecDeque;

use crate::fleet::Event;

/// An assignment with a timestamp later than this after the admission is not its cause: the home
/// has assigned a copy of an opening that had been admitted before. In services of up to 21 agents,
/// the agents receive one another's clocks at least this often.
const CLOCK_LAG_MS: u64 = 500;

/// Events of one instance that are held back.
struct Deferred {
    /// Index of the event that must precede them.
    cause: usize,
    /// Indices of the events, in the instance's order.
    waiting: VecDeque<usize>,
}

/// State of one pass over the events.
struct Reordering<'a> {
    events: &'a [Event],
    /// For each event, the index of its cause if that comes later in the list.
    causes: Vec<Option<usize>>,
    deferred: Vec<Deferred>,
    order: Vec<usize>,
}

/// Moves each admission behind the assignment that led to it. `events` must be sorted by timestamp;
/// the order within each process does not change.
pub(super) fn apply(events: Vec<Event>) -> Vec<Event> {
    let causes = late_causes(&events);
    if causes.iter().all(Option::is_none) {
        return events;
    }
    let mut reordering =
        Reordering { events: &events, causes, deferred: Vec::new(), order: Vec::new() };
    (0..events.len()).for_each(|index| reordering.visit(index));
    reordering.flush();
    let order = reordering.order;
    let mut events: Vec<Option<Event>> = events.into_iter().map(Some).collect();
    order.into_iter().filter_map(|index| events[index].take()).collect()
}

/// For each event that is an admission, the index of its assignment if that comes later in the
/// list.
fn late_causes(events: &[Event]) -> Vec<Option<usize>> {
    let key = |event: &Event| (event.account.clone(), event.field("flow"), event.field("nonce"));
    let of_kind =
        |kind: &'static str| events.iter().enumerate().filter(move |(_, event)| event.kind == kind);
    let mut assigned: Vec<_> =
        of_kind("assigned").map(|(index, event)| (key(event), index)).collect();
    assigned.sort();
    let mut causes = vec![None; events.len()];
    for (index, event) in of_kind("admitted") {
        let wanted = key(event);
        let first = assigned.partition_point(|(known, _)| *known < wanted);
        let Some((found, cause)) = assigned.get(first) else { continue };
        let until_ms = event.wall_ms() + CLOCK_LAG_MS;
        let is_cause = *found == wanted
            && *cause > index
            && events[*cause].instance != event.instance
            && events[*cause].wall_ms() <= until_ms;
        causes[index] = is_cause.then_some(*cause);
    }
    causes
}

impl Reordering<'_> {
    /// Emits the next event of an instance, or defers it.
    fn visit(&mut self, index: usize) {
        let instance = &self.events[index].instance;
        let same_instance = |deferred: &&mut Deferred| {
            deferred.waiting.front().is_some_and(|first| self.events[*first].instance == *instance)
        };
        if let Some(deferred) = self.deferred.iter_mut().find(same_instance) {
            deferred.waiting.push_back(index);
            return;
        }
        match self.causes[index].take() {
            Some(cause) => {
                self.deferred.push(Deferred { cause, waiting: VecDeque::from([index]) });
            }
            None => self.emit(index),
        }
    }

    fn emit(&mut self, index: usize) {
        self.order.push(index);
        while let Some(position) = self.deferred.iter().position(|deferred| deferred.cause == index)
        {
            let released = self.deferred.swap_remove(position);
            released.waiting.into_iter().for_each(|waiting| self.visit(waiting));
        }
    }

    /// Emits the events that wait for each other in a cycle. Two pairs of events can form a cycle
    /// if clocks jump.
    fn flush(&mut self) {
        let deferred = std::mem::take(&mut self.deferred);
        let mut remaining: Vec<usize> =
            deferred.into_iter().flat_map(|deferred| deferred.waiting).collect();
        remaining.sort_unstable();
        self.order.append(&mut remaining);
    }
}
