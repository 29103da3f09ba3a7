//! The root of the published tree: which accounts exist and which addresses each one owns.

mod change;

use std::net::IpAddr;
use std::sync::{Arc, LazyLock};

use decision::keys::Version;

pub use change::check_change;

use crate::codes;
use crate::document::{self, Cursor, Schema};
use crate::fault::Fault;
use crate::fields;
use crate::generated::root as raw;
use crate::prefix::Prefix;

static SCHEMA: LazyLock<Schema> =
    LazyLock::new(|| Schema::from_json(include_str!("../../../../schema/root.json")));

/// The checked root.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Root {
    /// Version of the document, which only increases.
    pub version: Version,
    /// Accounts sorted by name.
    pub accounts: Vec<RootAccount>,
}

/// One account in the root.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RootAccount {
    /// Name of the client account.
    pub name: Arc<str>,
    /// Ranges that the account may use.
    pub prefixes: Vec<Prefix>,
    /// Ranges that the account will own, but that no account may use yet.
    pub quarantine: Vec<Prefix>,
}

/// Whether an account may use an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// The account owns the address.
    Owned,
    /// An account will own the address, but no account may use it yet.
    Quarantined,
    /// The address belongs to another account or to none.
    Foreign,
}

impl Root {
    /// The account called `name`.
    ///
    /// ```
    /// let root = settings::root::parse("version: 1\naccounts: []\n").unwrap();
    /// assert!(root.account("cascadia").is_none());
    /// ```
    pub fn account(&self, name: &str) -> Option<&RootAccount> {
        let index = self.accounts.binary_search_by(|account| (*account.name).cmp(name)).ok()?;
        Some(&self.accounts[index])
    }

    /// Whether the account called `name` may use `address`.
    ///
    /// ```
    /// use settings::root::{self, Ownership};
    /// let yaml = "version: 1\naccounts: [{name: cascadia, prefixes: [203.0.113.0/28]}]\n";
    /// let root = root::parse(yaml).unwrap();
    /// assert_eq!(root.ownership("cascadia", "203.0.113.1".parse().unwrap()), Ownership::Owned);
    /// assert_eq!(root.ownership("bajio", "203.0.113.1".parse().unwrap()), Ownership::Foreign);
    /// ```
    pub fn ownership(&self, name: &str, address: IpAddr) -> Ownership {
        let covers = |prefixes: &[Prefix]| prefixes.iter().any(|prefix| prefix.contains(address));
        if self.account(name).is_some_and(|account| covers(&account.prefixes)) {
            return Ownership::Owned;
        }
        if self.accounts.iter().any(|account| covers(&account.quarantine)) {
            return Ownership::Quarantined;
        }
        Ownership::Foreign
    }
}

/// Parses and checks a root document; reports every fault.
///
/// ```
/// let yaml = "version: 3\naccounts: [{name: cascadia, prefixes: [203.0.113.0/28]}]\n";
/// let root = settings::root::parse(yaml).unwrap();
/// assert_eq!(&*root.accounts[0].name, "cascadia");
/// ```
pub fn parse(yaml: &str) -> Result<Root, Vec<Fault>> {
    document::parse(yaml, &SCHEMA, check)
}

/// Like [`parse`], but also checks the change from the root `old`, with positions in `yaml`.
///
/// `old` may be any older root: if versions in between were missed, only the rules that can be
/// checked without them apply. The same version is accepted with the same content, and a fault with
/// different content.
///
/// ```
/// use settings::{codes, root};
/// let old = root::parse("version: 2\naccounts: []\n").unwrap();
/// let faults = root::parse_next("version: 1\naccounts: []\n", &old).unwrap_err();
/// assert_eq!(faults[0].code, codes::VERSION_NOT_GROWN);
/// ```
pub fn parse_next(yaml: &str, old: &Root) -> Result<Root, Vec<Fault>> {
    document::parse(yaml, &SCHEMA, |raw, at, faults| {
        let new = check(raw, at, faults);
        change::check(old, &new, at, faults);
        new
    })
}

fn check(raw: &raw::RootDocument, at: &Cursor<'_>, faults: &mut Vec<Fault>) -> Root {
    let list = at.field("accounts");
    let mut ranges = AssignedRanges::default();
    let mut accounts: Vec<RootAccount> = Vec::with_capacity(raw.accounts.len());
    for (index, account) in raw.accounts.iter().enumerate() {
        let at = list.element(index);
        let account = check_account(account, &at, &mut ranges, faults);
        if accounts.iter().any(|earlier| earlier.name == account.name) {
            let text = format!("account `{}` is listed twice", account.name);
            faults.push(at.field("name").fault(codes::DUPLICATE_NAME, text));
        }
        accounts.push(account);
    }
    accounts.sort_by(|a, b| a.name.cmp(&b.name));
    Root { version: Version(raw.version.get()), accounts }
}

fn check_account(
    raw: &raw::Account,
    at: &Cursor<'_>,
    ranges: &mut AssignedRanges,
    faults: &mut Vec<Fault>,
) -> RootAccount {
    let name = fields::name(&raw.name, &at.field("name"), faults);
    let prefixes = ranges.check(&name, &raw.prefixes, &at.field("prefixes"), faults);
    let quarantine = ranges.check(&name, &raw.quarantine, &at.field("quarantine"), faults);
    RootAccount { name, prefixes, quarantine }
}

/// Disjoint ranges checked so far with their owners, sorted.
#[derive(Default)]
struct AssignedRanges(Vec<(Prefix, Arc<str>)>);

impl AssignedRanges {
    fn check(
        &mut self,
        owner: &Arc<str>,
        texts: &[String],
        at: &Cursor<'_>,
        faults: &mut Vec<Fault>,
    ) -> Vec<Prefix> {
        let mut prefixes = Vec::with_capacity(texts.len());
        for (index, text) in texts.iter().enumerate() {
            let at = at.element(index);
            let Some(prefix) = fields::prefix(text, &at, faults) else { continue };
            if let Err((other, other_owner)) = self.insert(prefix, owner) {
                let text = format!("{prefix} overlaps {other} of account `{other_owner}`");
                faults.push(at.fault(codes::PREFIX_OVERLAP, text));
            }
            prefixes.push(prefix);
        }
        prefixes
    }

    /// Inserts a range, or returns the one that it overlaps. Two prefixes overlap only if one
    /// contains the other, so among sorted disjoint prefixes only both neighbours need a check.
    fn insert(&mut self, prefix: Prefix, owner: &Arc<str>) -> Result<(), (Prefix, Arc<str>)> {
        let index = self.0.partition_point(|(known, _)| *known < prefix);
        let neighbours = &self.0[index.saturating_sub(1)..self.0.len().min(index + 1)];
        if let Some(found) = neighbours.iter().find(|(known, _)| known.overlaps(&prefix)) {
            return Err(found.clone());
        }
        self.0.insert(index, (prefix, owner.clone()));
        Ok(())
    }
}
