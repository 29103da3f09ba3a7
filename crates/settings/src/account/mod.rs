//! The subtree of one client account.

mod change;
mod check;

use std::sync::LazyLock;

use decision::view::AccountSpec;

pub use change::check_change;

use crate::document::{self, Schema};
use crate::fault::Fault;
use crate::root::Root;

static SCHEMA: LazyLock<Schema> =
    LazyLock::new(|| Schema::from_json(include_str!("../../../../schema/account.json")));

/// Parses the subtree published for the account called `name` and checks it against the root;
/// reports every fault.
///
/// ```
/// let root = settings::root::parse("version: 1\naccounts: [{name: cascadia, prefixes: []}]\n");
/// let yaml = "account: cascadia\nversion: 7\nservices: []\n";
/// let spec = settings::account::parse(yaml, &root.unwrap(), "cascadia").unwrap();
/// assert_eq!(spec.version.0, 7);
/// ```
pub fn parse(yaml: &str, root: &Root, name: &str) -> Result<AccountSpec, Vec<Fault>> {
    document::parse(yaml, &SCHEMA, |border, at, faults| {
        check::Checker::new(root, name).account(border, at, faults)
    })
}
