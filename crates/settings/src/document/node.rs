//! Nodes of a document.

use std::sync::Arc;

use serde_json::{Map, Number};

/// Line and column, both counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) line: u32,
    pub(crate) column: u32,
}

/// A value and the position of its start.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    pub(crate) position: Position,
    pub(crate) value: Value,
}

/// A YAML value. Integers are `i128`, so that the range check sees negative and huge numbers as
/// written.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Integer(i128),
    Float(f64),
    Text(Arc<str>),
    List(Vec<Node>),
    Map(Vec<Entry>),
}

/// A key with its value. A map keeps duplicate keys, so that each can be reported.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) key: Arc<str>,
    pub(crate) position: Position,
    pub(crate) node: Node,
}

impl Position {
    /// Start of the document, for faults of the document as a whole.
    pub(crate) const START: Self = Self { line: 1, column: 1 };
}

impl Node {
    /// The first entry of a map under `key`.
    pub(crate) fn entry(&self, key: &str) -> Option<&Entry> {
        match &self.value {
            Value::Map(entries) => entries.iter().find(|entry| &*entry.key == key),
            _ => None,
        }
    }

    /// The element of a list at `index`.
    pub(crate) fn element(&self, index: usize) -> Option<&Node> {
        match &self.value {
            Value::List(nodes) => nodes.get(index),
            _ => None,
        }
    }

    /// Converts the value to JSON, from which the raw types are decoded.
    pub(crate) fn to_json(&self) -> serde_json::Value {
        match &self.value {
            Value::Null => serde_json::Value::Null,
            Value::Bool(value) => (*value).into(),
            Value::Integer(value) => Number::from_i128(*value).into(),
            Value::Float(value) => (*value).into(),
            Value::Text(text) => text.as_ref().into(),
            Value::List(nodes) => nodes.iter().map(Self::to_json).collect(),
            Value::Map(entries) => entries
                .iter()
                .map(|entry| (entry.key.to_string(), entry.node.to_json()))
                .collect::<Map<_, _>>()
                .into(),
        }
    }
}
