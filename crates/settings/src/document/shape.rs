//! Validation of a document against its JSON Schema.
//!
//! The raw types are generated from the same schema, but decoding them stops at the first fault and
//! has no positions. This validator reports every structural fault with its position. It supports
//! only the keywords that the files in `schema/` use, and rejects a schema with any other.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::IgnoredAny;

use super::unit;
use super::{Cursor, Entry, Value};
use crate::codes;
use crate::fault::Fault;

/// A schema: the rule for the whole document and the definitions that it refers to.
#[derive(Debug)]
pub(crate) struct Schema(Rule);

/// The keywords of one schema object.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
struct Rule {
    #[serde(rename = "$schema")]
    _schema: Option<IgnoredAny>,
    #[serde(rename = "title")]
    _title: Option<IgnoredAny>,
    #[serde(rename = "description")]
    _description: Option<IgnoredAny>,
    #[serde(rename = "format")]
    _format: Option<IgnoredAny>,
    #[serde(default)]
    definitions: BTreeMap<String, Rule>,
    #[serde(rename = "$ref")]
    reference: Option<String>,
    #[serde(rename = "type")]
    kind: Option<Kind>,
    #[serde(rename = "additionalProperties")]
    _additional_properties: Option<MustBeFalse>,
    #[serde(default)]
    properties: BTreeMap<String, Rule>,
    #[serde(default)]
    required: Vec<String>,
    items: Option<Box<Rule>>,
    #[serde(default)]
    min_items: usize,
    max_items: Option<usize>,
    minimum: Option<i64>,
    maximum: Option<i64>,
    #[serde(default, rename = "enum")]
    choices: Vec<String>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Object,
    Array,
    String,
    Integer,
}

/// The value `false` of `additionalProperties`. Unknown fields are always refused, so a schema must
/// not allow them.
#[derive(Debug, Deserialize)]
#[serde(try_from = "bool")]
struct MustBeFalse;

impl TryFrom<bool> for MustBeFalse {
    type Error = &'static str;

    fn try_from(value: bool) -> Result<Self, Self::Error> {
        if value { Err("additionalProperties must be false") } else { Ok(Self) }
    }
}

impl Schema {
    /// Reads a schema of this workspace.
    ///
    /// Panics if the text is not a schema that this validator supports; the tests read every
    /// schema.
    pub(crate) fn from_json(text: &str) -> Self {
        Self(serde_json::from_str(text).expect("the schemas of the workspace are well formed"))
    }

    /// Appends every structural fault of a document to `faults`.
    pub(crate) fn check(&self, document: &Cursor<'_>, faults: &mut Vec<Fault>) {
        self.check_rule(&self.0, document, faults);
    }

    fn check_rule(&self, rule: &Rule, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
        let rule = self.resolve(rule);
        match (rule.kind, &at.node().value) {
            (Some(Kind::Object), Value::Map(entries)) => {
                self.check_map(rule, entries, at, faults);
            }
            (Some(Kind::Array), Value::List(nodes)) => {
                self.check_list(rule, nodes.len(), at, faults);
            }
            (Some(Kind::String), Value::Text(text)) => check_text(rule, text, at, faults),
            (Some(Kind::Integer), Value::Integer(number)) => {
                check_integer(rule, *number, at, faults);
            }
            (Some(kind), value) => faults.push(mismatch(kind, value, at)),
            (None, _) => {}
        }
    }

    fn resolve<'a>(&'a self, rule: &'a Rule) -> &'a Rule {
        let name = rule.reference.as_deref().and_then(|path| path.strip_prefix("#/definitions/"));
        name.and_then(|name| self.0.definitions.get(name)).unwrap_or(rule)
    }

    fn check_map(&self, rule: &Rule, entries: &[Entry], at: &Cursor<'_>, faults: &mut Vec<Fault>) {
        for (index, entry) in entries.iter().enumerate() {
            let value = at.entry(entry);
            if entries[..index].iter().any(|earlier| earlier.key == entry.key) {
                let text = format!("`{}` is given twice", entry.key);
                faults.push(value.fault_at(entry.position, codes::DUPLICATE_KEY, text));
            }
            match rule.properties.get(&*entry.key) {
                Some(property) => self.check_rule(property, &value, faults),
                None => faults.push(unknown_field(rule, entry, &value)),
            }
        }
        for name in &rule.required {
            if at.node().entry(name).is_none() {
                let text = format!("`{name}` is missing");
                faults.push(at.field(name).fault(codes::MISSING_FIELD, text));
            }
        }
    }

    fn check_list(&self, rule: &Rule, count: usize, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
        if count < rule.min_items {
            faults.push(at.fault(codes::EMPTY_LIST, "the list must not be empty"));
        }
        if let Some(max) = rule.max_items.filter(|max| count > *max) {
            let text = format!("{count} entries, at most {max} are allowed");
            faults.push(at.fault(codes::TOO_MANY, text));
            return;
        }
        let Some(items) = &rule.items else { return };
        for index in 0..count {
            self.check_rule(items, &at.element(index), faults);
        }
    }
}

fn unknown_field(rule: &Rule, entry: &Entry, value: &Cursor<'_>) -> Fault {
    let known = || rule.properties.keys().map(String::as_str);
    if let Some(meant) = known().find(|known| unit::differs_in_unit_only(known, &entry.key)) {
        let text = format!("`{}` has the wrong unit: the field is `{meant}`", entry.key);
        return value.fault_at(entry.position, codes::WRONG_UNIT, text);
    }
    let names: Vec<&str> = known().collect();
    let text = format!("`{}` is not a field here; known are {}", entry.key, names.join(", "));
    value.fault_at(entry.position, codes::UNKNOWN_FIELD, text)
}

fn check_text(rule: &Rule, text: &str, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
    if rule.choices.is_empty() || rule.choices.iter().any(|choice| choice == text) {
        return;
    }
    let text = format!("`{text}` is not one of {}", rule.choices.join(", "));
    faults.push(at.fault(codes::UNKNOWN_CHOICE, text));
}

fn check_integer(rule: &Rule, number: i128, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
    let min = rule.minimum.map_or(i128::MIN, i128::from);
    let max = rule.maximum.map_or(i128::MAX, i128::from);
    if (min..=max).contains(&number) {
        return;
    }
    let text = format!("{number} is outside {min} to {max}");
    faults.push(at.fault(codes::OUT_OF_RANGE, text));
}

fn mismatch(kind: Kind, value: &Value, at: &Cursor<'_>) -> Fault {
    match (kind, value) {
        (Kind::Integer, Value::Text(text)) if unit::is_quantity(text) => {
            let text = format!("`{text}` has a unit: give a plain number");
            at.fault(codes::WRONG_UNIT, text)
        }
        (Kind::String, Value::Integer(_) | Value::Float(_) | Value::Bool(_)) => {
            at.fault(codes::WRONG_TYPE, "expected text; put the value in quotes")
        }
        _ => {
            let text = format!("expected {}, found {}", kind_name(kind), value_name(value));
            at.fault(codes::WRONG_TYPE, text)
        }
    }
}

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Object => "a map",
        Kind::Array => "a list",
        Kind::String => "text",
        Kind::Integer => "a whole number",
    }
}

fn value_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Integer(_) => "a whole number",
        Value::Float(_) => "a fraction",
        Value::Text(_) => "text",
        Value::List(_) => "a list",
        Value::Map(_) => "a map",
    }
}
