//! Writes the generated files: Rust types of the settings documents from `schema/`, and the page of
//! result codes from the table in `settings::codes`.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use anyhow::{Context as _, ensure};
use settings::codes::{self, Entry};
use typify::{TypeSpace, TypeSpaceSettings};

/// Documents whose Rust types are generated: `schema/NAME.json` becomes `generated/NAME.rs`.
const SCHEMAS: &[&str] = &["account", "agent", "balancer", "root"];

const RESULT_CODES_HEADER: &str = "\
# Result codes

Generated from `settings::codes::TABLE` by `cargo xtask codegen`: change it there. Logs, HTTP answers and `goosectl`
identify errors and refusals by these codes. The number of a code is never reused for another meaning.
";

/// What `cargo xtask codegen` does with the generated text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Write every file.
    Write,
    /// Fail if a committed file differs from what would be written.
    Check,
}

/// One generated file.
struct Output {
    path: PathBuf,
    text: String,
}

/// Generates all files and writes or compares them.
pub(crate) fn run(mode: Mode) -> anyhow::Result<()> {
    let root = workspace_root();
    let outputs = generate(&root)?;
    match mode {
        Mode::Write => outputs.iter().try_for_each(write),
        Mode::Check => check(&outputs),
    }
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn generate(root: &Path) -> anyhow::Result<Vec<Output>> {
    let mut outputs = Vec::new();
    for name in SCHEMAS {
        let source = root.join(format!("schema/{name}.json"));
        let path = root.join(format!("crates/settings/src/generated/{name}.rs"));
        let text = schema_types(&source).with_context(|| source.display().to_string())?;
        outputs.push(Output { path, text });
    }
    outputs.push(Output { path: root.join("docs/result-codes.md"), text: result_codes() });
    Ok(outputs)
}

/// Text of the page of result codes, with one table for each class.
fn result_codes() -> String {
    let mut text = String::from(RESULT_CODES_HEADER);
    let mut class = None;
    for Entry { code, name, class: entry_class, text: description, action } in codes::TABLE {
        if class != Some(*entry_class) {
            text += &format!("\n## {}\n\n", entry_class.title());
            text += "| code | name | what has happened | what to do |\n|---|---|---|---|\n";
            class = Some(*entry_class);
        }
        text += &format!("| {code} | `{name}` | {description} | {action} |\n");
    }
    text
}

fn schema_types(source: &Path) -> anyhow::Result<String> {
    let schema: schemars::schema::RootSchema = serde_json::from_slice(&std::fs::read(source)?)?;
    let mut types = TypeSpace::new(TypeSpaceSettings::default().with_struct_builder(false));
    types.add_root_schema(schema)?;
    let file = source.file_name().unwrap_or_default().to_string_lossy();
    let header =
        format!("//! Document types generated from `schema/{file}` by `cargo xtask codegen`.\n\n");
    let text = format_rust(&format!("{header}{}", types.to_stream()))?;
    Ok(strip_schema_listings(&text))
}

/// Removes the copies of the schema that typify puts into doc comments; `schema/` has the original.
fn strip_schema_listings(text: &str) -> String {
    let mut is_listing = false;
    let mut kept = String::with_capacity(text.len());
    for line in text.lines() {
        is_listing |= line.contains("<details><summary>JSON schema");
        if !is_listing && line.trim() != "#[doc = r\"\"]" {
            kept.push_str(line);
            kept.push('\n');
        }
        is_listing &= !line.contains("</details>");
    }
    kept
}

/// Formats with the toolchain's rustfmt, so that the result passes `cargo fmt --check`.
fn format_rust(text: &str) -> anyhow::Result<String> {
    let mut child = Command::new("rustfmt")
        .args(["--edition", "2024", "--config-path"])
        .arg(workspace_root())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .context("rustfmt")?;
    child.stdin.take().context("rustfmt: no standard input")?.write_all(text.as_bytes())?;
    let output = child.wait_with_output()?;
    ensure!(output.status.success(), "rustfmt: {}", output.status);
    Ok(String::from_utf8(output.stdout)?)
}

fn write(output: &Output) -> anyhow::Result<()> {
    std::fs::write(&output.path, &output.text).with_context(|| output.path.display().to_string())
}

fn check(outputs: &[Output]) -> anyhow::Result<()> {
    let is_stale = |output: &&Output| {
        std::fs::read_to_string(&output.path).map_or(true, |committed| committed != output.text)
    };
    let stale: Vec<String> =
        outputs.iter().filter(is_stale).map(|output| output.path.display().to_string()).collect();
    ensure!(stale.is_empty(), "stale, run `cargo xtask codegen`: {}", stale.join(", "));
    Ok(())
}
