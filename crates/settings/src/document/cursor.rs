//! A place in a document: a node and the path that leads to it.

use std::sync::Arc;

use super::{Entry, Node, Position};
use crate::codes::Code;
use crate::fault::Fault;

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

    /// The node itself.
    pub(crate) fn node(&self) -> &'a Node {
        self.node
    }

    /// The value of a field; the cursor stays at the map where the field is absent.
    pub(crate) fn field(&self, key: &str) -> Self {
        let node = self.node.entry(key).map_or(self.node, |entry| &entry.node);
        Self { node, path: self.join(key) }
    }

    /// The value of an entry, which need not be the first one under its key.
    pub(crate) fn entry(&self, entry: &'a Entry) -> Self {
        Self { node: &entry.node, path: self.join(&entry.key) }
    }

    /// An element of a list.
    pub(crate) fn element(&self, index: usize) -> Self {
        let node = self.node.element(index).unwrap_or(self.node);
        Self { node, path: format!("{}[{index}]", self.path) }
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
