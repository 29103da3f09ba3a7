//! Parsing of YAML text into nodes.

use std::fmt;
use std::sync::Arc;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, MergeKeyPolicy, Options, Spanned};

use super::{Entry, MAX_SUBTREE_BYTES, Node, Position, Value};
use crate::codes::{self, Code};
use crate::fault::Fault;

/// Maximum nesting of a document. The documents of this crate need 6 levels.
const MAX_DEPTH: usize = 16;

/// Maximum number of nodes of a document. One upstream takes about 30, so this allows some 6000
/// upstreams. Without the limit, a document of one megabyte that consists of tiny nodes could use a
/// hundred times its size in memory.
const MAX_NODES: usize = 200_000;

/// Reads one document. Reading stops at the first syntax error.
pub(crate) fn read(yaml: &str) -> Result<Node, Fault> {
    if yaml.len() > MAX_SUBTREE_BYTES {
        let text = format!("{} bytes, at most {MAX_SUBTREE_BYTES} are allowed", yaml.len());
        return Err(fault(Position::START, codes::TOO_LARGE, text));
    }
    serde_saphyr::from_str_with_options(yaml, options()).map_err(|error| fault_from(&error))
}

/// Options of the YAML parser. Duplicate keys pass, so that the schema check can report each with
/// its position. Anchors are refused: an alias would have two positions, and nested aliases expand
/// a small document into a huge one.
fn options() -> Options {
    serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_depth: MAX_DEPTH,
            max_nodes: MAX_NODES,
            max_anchors: 0,
            max_aliases: 0,
        },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::Error,
        strict_booleans: true,
        leading_zero_numbers_as_strings: true,
        underscored_numbers_as_strings: true,
        reject_unsupported_tags: true,
        emit_comments: false,
        with_snippet: false,
    }
}

fn fault_from(error: &serde_saphyr::Error) -> Fault {
    use serde_saphyr::Error;
    let code = match error {
        Error::Budget { .. } | Error::MergeKeyNotAllowed { .. } | Error::AliasError { .. } => {
            codes::TOO_COMPLEX
        }
        _ => codes::SYNTAX,
    };
    let position = error.location().map_or(Position::START, |location| position(&location));
    let text = match error {
        Error::MultipleDocuments { .. } => "more than one document".to_owned(),
        _ => without_position(error.to_string()),
    };
    fault(position, code, text)
}

/// Removes the position at the end of a parser message, since the fault states it already.
fn without_position(mut text: String) -> String {
    if let Some(end) = text.rfind(" at line ") {
        text.truncate(end);
    }
    text
}

fn fault(position: Position, code: Code, text: String) -> Fault {
    Fault { code, line: position.line, column: position.column, path: "".into(), text: text.into() }
}

fn position(location: &serde_saphyr::Location) -> Position {
    let clamp = |number: u64| u32::try_from(number).unwrap_or(u32::MAX).max(1);
    Position { line: clamp(location.line()), column: clamp(location.column()) }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Value>::deserialize(deserializer)?;
        Ok(Self { position: position(&spanned.referenced), value: spanned.value })
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Value, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = list.next_element()? {
            nodes.push(node);
        }
        Ok(Value::List(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<Arc<str>>>()? {
            let position = position(&key.referenced);
            entries.push(Entry { key: key.value, position, node: map.next_value()? });
        }
        Ok(Value::Map(entries))
    }
}
