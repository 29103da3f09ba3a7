//! A place in a document: a node and its path.

use std::sync::Arc;

use super::{Entry, Node, Position, Value};
use crate::codes::Code;
use crate::fault::Fault;

/// Stands in for a document whose text is not available; every position is reported as its start.
static NULL_NODE: Node = Node { position: Position::START, value: Value::Null };

/// A node of a document with its path, for reporting faults about it.
#[derive(Clone, Debug)]
pub(crate) struct Cursor<'a> {
    node: &'a Node,
    path: String,
}

impl<'a> Cursor<'a> {
    /// The whole document.
    pub(crate) fn root(node: &'a Node) -> Self {
        Self { node, path: String::new() }
    }

    /// A whole document without its text. Faults have a path, but the document's start as position.
    pub(crate) fn without_text() -> Cursor<'static> {
        Cursor::root(&NULL_NODE)
    }

    /// The node itself.
    pub(crate) fn node(&self) -> &'a Node {
        self.node
    }

    /// The value of the first field called `key`. If the field is absent, the position stays that
    /// of the map.
    pub(crate) fn field(&self, key: &str) -> Self {
        let node = self.node.entry(key).map_or(self.node, |entry| &entry.node);
        Self { node, path: self.join(key) }
    }

    /// The value of an entry. Unlike [`field`](Self::field), it also reaches duplicate keys.
    pub(crate) fn entry(&self, entry: &'a Entry) -> Self {
        Self { node: &entry.node, path: self.join(&entry.key) }
    }

    /// The element of a list at `index`. If it is absent, the position stays that of the list.
    pub(crate) fn element(&self, index: usize) -> Self {
        let node = self.node.element(index).unwrap_or(self.node);
        Self { node, path: format!("{}[{index}]", self.path) }
    }

    /// The element of a list whose field `name` has the value `name`. If the list has none, the
    /// cursor stays at the list. If the text is not available, the path shows the name in place of
    /// an index.
    pub(crate) fn named(&self, name: &str) -> Self {
        let has_name = |node: &Node| {
            let entry = node.entry("name");
            entry.is_some_and(|entry| matches!(&entry.node.value, Value::Text(t) if &**t == name))
        };
        let Value::List(nodes) = &self.node.value else {
            return Self { node: self.node, path: format!("{}[{name}]", self.path) };
        };
        nodes.iter().position(has_name).map_or_else(|| self.clone(), |index| self.element(index))
    }

    /// A fault at the node's position.
    pub(crate) fn fault(&self, code: Code, text: impl Into<Arc<str>>) -> Fault {
        self.fault_at(self.node.position, code, text)
    }

    /// A fault at another position, such as that of a key.
    pub(crate) fn fault_at(
        &self,
        position: Position,
        code: Code,
        text: impl Into<Arc<str>>,
    ) -> Fault {
        Fault {
            code,
            line: position.line,
            column: position.column,
            path: self.path.as_str().into(),
            text: text.into(),
        }
    }

    fn join(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
}
