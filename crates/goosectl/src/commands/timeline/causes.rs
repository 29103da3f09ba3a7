//! Causes that travel by packet.
//!
//! Failure: a home assigns an opening and passes its packet on, which carries no clock, and notes
//! the assignment after it has sent the packet. Symptom: in one lab run 6 of 1060 admissions were
//! listed before the assignments that had led to them. The opening's flow and nonce tell the pair,
//! so the admission is moved behind the assignment, and with it what its process did next.

use std::collections::VecDeque;

use crate::fleet::Event;

/// An admission waits for no assignment noted later than this after it. Agents hear one another's
/// clocks at least this often in services of up to 21; a home that assigns a copy of an opening
/// which had been admitted long before is no cause of that.
const CLOCK_LAG_MS: u64 = 500;

/// An instance whose events wait.
struct Deferred {
    /// Index of the event that must come first.
    cause: usize,
    /// Indices of the waiting events in the instance's order.
    waiting: VecDeque<usize>,
}

/// State of one pass over the events.
struct Reordering<'a> {
    events: &'a [Event],
    /// By event: index of a later one that is its cause.
    causes: Vec<Option<usize>>,
    deferred: Vec<Deferred>,
    order: Vec<usize>,
}

/// Puts each admission behind the assignment that led to it. `events` are sorted by timestamp, and
/// the order within each process stays as it is.
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

/// For each admission the index of its assignment, if that comes later in the list.
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
    /// Takes the next event of its process: out, or to wait.
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

    /// Lets out what waits in a circle, which clocks that jump may make of two pairs.
    fn flush(&mut self) {
        let deferred = std::mem::take(&mut self.deferred);
        let mut remaining: Vec<usize> =
            deferred.into_iter().flat_map(|deferred| deferred.waiting).collect();
        remaining.sort_unstable();
        self.order.append(&mut remaining);
    }
}
