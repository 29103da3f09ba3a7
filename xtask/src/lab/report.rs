//! Output at the end of a run, for people and for programs.

use std::path::Path;

use anyhow::Context as _;
use serde_json::Value;

use super::figures::Figures;

/// Width of the name column.
const NAME_CHARS: usize = 40;

/// Prints the table and, as the last line, one JSON object. With `keep`, also writes the latter to
/// `report.json`.
pub(super) fn print(figures: &Figures, out: &Path, keep: bool) -> anyhow::Result<()> {
    let line = serde_json::to_string(figures)?;
    if keep {
        let path = out.join("report.json");
        std::fs::write(&path, &line).with_context(|| path.display().to_string())?;
    }
    println!("\n{}", table(&line)?);
    println!("{line}");
    Ok(())
}

/// One row for each figure, in the order of the JSON object.
fn table(line: &str) -> anyhow::Result<String> {
    let value: Value = serde_json::from_str(line)?;
    let Value::Object(fields) = value else { return Ok(String::new()) };
    let mut rows: Vec<_> = fields.iter().collect();
    // The map is sorted by name. The positions in the line give the order of the struct's fields.
    rows.sort_by_key(|(name, _)| line.find(&format!("\"{name}\":")));
    Ok(rows.into_iter().map(|(name, value)| field(name, value)).collect())
}

fn field(name: &str, value: &Value) -> String {
    match value {
        Value::Array(lines) => lines.iter().map(|line| row(name, line)).collect(),
        Value::Object(parts) => {
            parts.iter().map(|(key, value)| row(&format!("{name} {key}"), value)).collect()
        }
        value => row(name, value),
    }
}

fn row(name: &str, value: &Value) -> String {
    let value = match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or_default())
        }
        value => value.to_string(),
    };
    format!("  {name:<NAME_CHARS$}  {value}\n")
}
