//! Output shared by all commands: tables for people, JSON for programs, times as text.

mod table;
#[cfg(test)]
mod tests;
mod time;

use std::io::{self, Write};

use serde::Serialize;

pub(crate) use table::Table;
pub(crate) use time::{clock_time, date_time};

/// Writes one JSON document followed by a newline.
pub(crate) fn write_json(out: &mut dyn Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer(&mut *out, value)?;
    writeln!(out)
}

/// Writes each note on a line of its own.
pub(crate) fn write_notes(out: &mut dyn Write, notes: &[String]) -> io::Result<()> {
    notes.iter().try_for_each(|note| writeln!(out, "note: {note}"))
}

#[derive(Serialize)]
struct InstancesJson<'a, T> {
    notes: &'a [String],
    instances: Vec<T>,
}

/// Writes notes and a list of instances as one JSON document.
pub(crate) fn write_instances_json<T: Serialize>(
    out: &mut dyn Write,
    notes: &[String],
    instances: impl IntoIterator<Item = T>,
) -> io::Result<()> {
    write_json(out, &InstancesJson { notes, instances: instances.into_iter().collect() })
}
