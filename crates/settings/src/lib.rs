//! Published settings tree and process settings: parsing, checks, versions.
//!
//! Every document is YAML. Its text is parsed into a tree of nodes with positions (`document`).
//! The tree is validated against the document's JSON Schema from `schema/` and decoded into raw
//! types, which are generated from the same schema. Further checks turn the raw types into plain
//! structs. A document with any fault is refused as a whole; each fault has a numbered [`Code`], a
//! line, a column and a path.

pub mod account;
mod active;
pub mod codes;
mod document;
mod fault;
mod fields;
mod generated;
mod prefix;
pub mod process;
pub mod root;
mod step;

pub use active::{ActiveSettings, Outcome};
pub use codes::Code;
pub use document::MAX_SUBTREE_BYTES;
pub use fault::Fault;
pub use prefix::{Prefix, PrefixError};
pub use root::Root;
