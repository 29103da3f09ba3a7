//! A bounded ring of the latest events of a process, each with a hybrid logical timestamp.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::ser::{Serialize, SerializeMap, Serializer};

use crate::clock::{Clock, Timestamp};

/// Fields that one event can carry.
const FIELDS_MAX: usize = 4;

/// Value of a field. Copying one allocates nothing, so that events cost little where they occur.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A number.
    Number(u64),
    /// An id, written as hexadecimal text because JSON numbers lose large integers.
    Id(u64),
    /// A word known at build time.
    Static(&'static str),
    /// Any text.
    Text(Arc<str>),
}

/// Named values of one event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    entries: [Option<(&'static str, Value)>; FIELDS_MAX],
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Event {
    /// When, in hybrid logical time.
    #[serde(serialize_with = "timestamp")]
    pub hlc: Timestamp,
    /// Process.
    pub instance: Arc<str>,
    /// Client account that the event concerns; empty if none.
    pub account: Arc<str>,
    /// What happened.
    pub kind: &'static str,
    /// Details.
    pub fields: Fields,
}

/// The latest events of one process; the oldest give way to new ones.
#[derive(Debug)]
pub struct Timeline {
    instance: Arc<str>,
    capacity: usize,
    clock: Clock,
    events: Mutex<VecDeque<Event>>,
}

impl Fields {
    /// These fields and one more. The first four are kept.
    ///
    /// ```
    /// use telemetry::timeline::{Fields, Value};
    /// let fields = Fields::default().with("version", Value::Number(7));
    /// assert_eq!(serde_json::to_string(&fields).unwrap(), r#"{"version":7}"#);
    /// ```
    pub fn with(mut self, name: &'static str, value: Value) -> Self {
        if let Some(free) = self.entries.iter_mut().find(|entry| entry.is_none()) {
            *free = Some((name, value));
        }
        self
    }
}

impl Serialize for Fields {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for (name, value) in self.entries.iter().flatten() {
            match value {
                Value::Number(number) => map.serialize_entry(name, number)?,
                Value::Id(id) => map.serialize_entry(name, &format!("{id:016x}"))?,
                Value::Static(text) => map.serialize_entry(name, text)?,
                Value::Text(text) => map.serialize_entry(name, text)?,
            }
        }
        map.end()
    }
}

impl Timeline {
    /// An empty time line of `instance` that keeps `capacity` events.
    ///
    /// ```
    /// use telemetry::timeline::{Fields, Timeline};
    /// let timeline = Timeline::new("bal-c1".into(), 2);
    /// timeline.record("", "started", Fields::default());
    /// assert_eq!(timeline.after(Default::default()).len(), 1);
    /// ```
    pub fn new(instance: Arc<str>, capacity: usize) -> Self {
        let events = Mutex::new(VecDeque::with_capacity(capacity));
        Self { instance, capacity, clock: Clock::default(), events }
    }

    /// The clock that stamps the events; also to be put on messages.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Adds an event that happens now.
    pub fn record(&self, account: impl Into<Arc<str>>, kind: &'static str, fields: Fields) {
        let account = account.into();
        let instance = self.instance.clone();
        let mut events = self.lock();
        if events.len() == self.capacity {
            events.pop_front();
        }
        // Stamped under the lock: events would otherwise stand out of order in the ring.
        let hlc = self.clock.now();
        events.push_back(Event { hlc, instance, account, kind, fields });
    }

    /// Events later than `after`, oldest first.
    pub fn after(&self, after: Timestamp) -> Vec<Event> {
        let events = self.lock();
        let start = events.partition_point(|event| event.hlc <= after);
        events.range(start..).cloned().collect()
    }

    /// A thread that panicked while it held the lock left whole events behind.
    fn lock(&self) -> MutexGuard<'_, VecDeque<Event>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn timestamp<S: Serializer>(timestamp: &Timestamp, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(timestamp.0)
}
