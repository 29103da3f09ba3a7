//! What people and programs get to read at the end.

use std::path::Path;

use anyhow::Context as _;
use serde_json::Value;

use super::figures::Figures;

/// Prints the table and, as the last line, one JSON object; keeps the latter as a file on request.
pub(super) fn print(figures: &Figures, out: &Path, keep: bool) -> anyhow::Result<()> {
    let line = serde_json::to_string(figures)?;
    if keep {
        let path = out.join("report.json");
        std::fs::write(&path, &line).with_context(|| path.display().to_string())?;
    }
    print!("{}", table(&serde_json::to_value(figures)?));
    println!("{line}");
    Ok(())
}

fn table(figures: &Value) -> String {
    let Value::Object(fields) = figures else { return String::new() };
    let width = fields.keys().map(String::len).max().unwrap_or(0);
    let mut text = String::from("\n");
    for (name, value) in fields {
        text += &match value {
            Value::Array(lines) => lines.iter().map(|line| row(name, line, width)).collect(),
            Value::Object(parts) => {
                let part = |(key, value)| row(&format!("{name} {key}"), value, width);
                parts.iter().map(part).collect()
            }
            value => row(name, value, width),
        };
    }
    text + "\n"
}

fn row(name: &str, value: &Value, width: usize) -> String {
    match value {
        Value::String(text) => format!("  {name:<width$}  {text}\n"),
        Value::Number(number) if number.is_f64() => {
            format!("  {name:<width$}  {:.2}\n", number.as_f64().unwrap_or(0.0))
        }
        value => format!("  {name:<width$}  {value}\n"),
    }
}
