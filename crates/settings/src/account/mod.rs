//! The subtree of one client account.

mod change;
mod check;

use std::sync::LazyLock;

use decision::view::AccountSpec;

pub use change::check_change;
use check::Checker;

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
    parse_step(yaml, Some(root), name, None)
}

/// Like [`parse`], but also checks the change from the version `old`, with positions in `yaml`.
///
/// `old` may be any older version: if versions in between were missed, only the rules that can be
/// checked without them apply. The same version is accepted with the same content, and a fault with
/// different content.
///
/// ```
/// use settings::{account, codes, root};
/// let root = root::parse("version: 1\naccounts: [{name: cascadia, prefixes: []}]\n").unwrap();
/// let yaml = "account: cascadia\nversion: 7\nservices: []\n";
/// let old = account::parse(yaml, &root, "cascadia").unwrap();
/// let yaml = yaml.replace("7", "6");
/// let faults = account::parse_next(&yaml, Some(&root), "cascadia", &old).unwrap_err();
/// assert_eq!((faults[0].code, faults[0].line), (codes::VERSION_NOT_GROWN, 2));
/// ```
pub fn parse_next(
    yaml: &str,
    root: Option<&Root>,
    name: &str,
    old: &AccountSpec,
) -> Result<AccountSpec, Vec<Fault>> {
    parse_step(yaml, root, name, Some(old))
}

/// Like [`parse`], but treats every address as owned, for inspecting a subtree without its root.
///
/// ```
/// let yaml = "account: cascadia\nversion: 7\nservices: []\n";
/// assert!(settings::account::parse_without_root(yaml, "cascadia").is_ok());
/// ```
pub fn parse_without_root(yaml: &str, name: &str) -> Result<AccountSpec, Vec<Fault>> {
    parse_step(yaml, None, name, None)
}

fn parse_step(
    yaml: &str,
    root: Option<&Root>,
    name: &str,
    old: Option<&AccountSpec>,
) -> Result<AccountSpec, Vec<Fault>> {
    document::parse(yaml, &SCHEMA, |raw, at, faults| {
        let new = Checker::new(root, name).check_account(raw, at, faults);
        if let Some(old) = old {
            change::check(old, &new, at, faults);
        }
        new
    })
}
