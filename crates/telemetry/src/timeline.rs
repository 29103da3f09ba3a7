//! A ring buffer of the latest events of a process, each with a hybrid logical timestamp.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::ser::{Serialize, SerializeMap, Serializer};

use crate::clock::{Clock, Timestamp};

/// Maximum number of fields of an event.
const FIELDS_MAX: usize = 4;

/// Value of a field. Cloning does not allocate, so that recording an event is cheap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A number.
    Number(u64),
    /// An id, serialized as hexadecimal text because many JSON parsers lose precision of large
    /// integers.
    Id(u64),
    /// Text known at compile time.
    Static(&'static str),
    /// Text known at run time.
    Text(Arc<str>),
}

/// Named values of one event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    entries: [Option<(&'static str, Value)>; FIELDS_MAX],
}

/// An event of the time line.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Event {
    /// Hybrid logical time at which it was recorded.
    #[serde(serialize_with = "timestamp")]
    pub hlc: Timestamp,
    /// Instance that recorded it.
    pub instance: Arc<str>,
    /// Client account that the event concerns; empty if none.
    pub account: Arc<str>,
    /// Kind of event.
    pub kind: &'static str,
    /// Details of the event.
    pub fields: Fields,
}

/// The latest events of one process. A new event evicts the oldest one when the buffer is full.
#[derive(Debug)]
pub struct Timeline {
    instance: Arc<str>,
    capacity: usize,
    clock: Clock,
    events: Mutex<VecDeque<Event>>,
}

impl Fields {
    /// Adds a field. Fields after the first four are discarded.
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
    /// Creates an empty time line of `instance` that keeps `capacity` events.
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

    /// The clock of the events, which must also timestamp the messages of the process.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Records an event at the current time.
    pub fn record(&self, account: impl Into<Arc<str>>, kind: &'static str, fields: Fields) {
        let account = account.into();
        let instance = self.instance.clone();
        let mut events = self.lock();
        if events.len() == self.capacity {
            events.pop_front();
        }
        // Timestamped under the lock, which keeps the events of the buffer in order.
        let hlc = self.clock.now();
        events.push_back(Event { hlc, instance, account, kind, fields });
    }

    /// Returns the events later than `after`, oldest first.
    pub fn after(&self, after: Timestamp) -> Vec<Event> {
        let events = self.lock();
        let start = events.partition_point(|event| event.hlc <= after);
        events.range(start..).cloned().collect()
    }

    /// Ignores poisoning: a thread that panics under the lock leaves no partial event behind.
    fn lock(&self) -> MutexGuard<'_, VecDeque<Event>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn timestamp<S: Serializer>(timestamp: &Timestamp, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(timestamp.0)
}
