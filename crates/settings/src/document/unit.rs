//! Recognizes units in names and values, so that a known field with the wrong unit gets a specific
//! message.

/// Suffixes that name units: those of the fields in the schemas, and others that a publisher might
/// try.
const UNITS: &[&str] = &[
    "ns", "us", "ms", "s", "sec", "secs", "seconds", "millis", "m", "min", "minutes", "h", "hours",
    "bytes", "kb", "mb", "kib", "mib", "percent", "pct", "ratio", "fraction", "hex", "base64",
];

/// Whether two field names differ only in the unit.
pub(super) fn differs_in_unit_only(known: &str, given: &str) -> bool {
    known != given && stem(known) == stem(given)
}

fn stem(name: &str) -> &str {
    match name.rsplit_once('_') {
        Some((stem, unit)) if UNITS.contains(&unit) => stem,
        _ => name,
    }
}

/// Whether the text is a number followed by a unit, such as `3s` or `25%`.
pub(super) fn is_quantity(text: &str) -> bool {
    let unit = text.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
    let is_unit = |c: char| c.is_ascii_alphabetic() || c == '%' || c == ' ';
    unit.len() < text.len() && !unit.is_empty() && unit.chars().all(is_unit)
}
