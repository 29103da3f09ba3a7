//! Units in names and values: a right field in a wrong unit deserves its own message.

/// Suffixes by which fields name their units, ours and those that people try.
const UNITS: &[&str] = &[
    "ns", "us", "ms", "s", "sec", "secs", "seconds", "millis", "m", "min", "minutes", "h", "hours",
    "bytes", "kb", "mb", "kib", "mib", "percent", "pct", "ratio", "fraction", "hex", "base64",
];

/// Whether two different field names are equal but for the unit.
pub(super) fn differs_in_unit_only(known: &str, given: &str) -> bool {
    known != given && stem(known) == stem(given)
}

fn stem(name: &str) -> &str {
    match name.rsplit_once('_') {
        Some((stem, unit)) if UNITS.contains(&unit) => stem,
        _ => name,
    }
}

/// Whether text is a number followed by a unit, as in `3s` or `25%`.
pub(super) fn is_quantity(text: &str) -> bool {
    let unit = text.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
    let is_unit = |c: char| c.is_ascii_alphabetic() || c == '%' || c == ' ';
    unit.len() < text.len() && !unit.is_empty() && unit.chars().all(is_unit)
}
