//! YAML documents as trees of nodes with positions.

mod cursor;
mod node;
mod read;
mod shape;
mod unit;

use serde::de::DeserializeOwned;

pub(crate) use cursor::Cursor;
pub(crate) use node::{Entry, Node, Position, Value};
pub(crate) use shape::Schema;

use crate::codes;
use crate::fault::Fault;

/// Maximum size of a document in bytes. The platform stores values of up to a megabyte.
pub const MAX_SUBTREE_BYTES: usize = 1_000_000;

/// Reads a document, validates it against its schema and passes its raw type and its tree to
/// `check`.
///
/// All structural faults are reported together. `check` runs only if there are none, so it can rely
/// on the structure of the raw type.
pub(crate) fn parse<Raw: DeserializeOwned, Checked>(
    yaml: &str,
    schema: &Schema,
    check: impl FnOnce(&Raw, &Cursor<'_>, &mut Vec<Fault>) -> Checked,
) -> Result<Checked, Vec<Fault>> {
    let tree = read::read(yaml).map_err(|fault| vec![fault])?;
    let root = Cursor::root(&tree);
    let mut faults = Vec::new();
    schema.check(&root, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    let raw: Raw = serde_json::from_value(tree.to_json())
        .map_err(|error| vec![root.fault(codes::WRONG_TYPE, error.to_string())])?;
    let checked = check(&raw, &root, &mut faults);
    if faults.is_empty() { Ok(checked) } else { Err(faults) }
}

/// The version that a document states, even if other parts of it have faults.
pub(crate) fn stated_version(yaml: &str) -> Option<u64> {
    let tree = read::read(yaml).ok()?;
    match tree.entry("version")?.node.value {
        Value::Integer(version) => u64::try_from(version).ok(),
        _ => None,
    }
}
