//! Prints events as text, one line for each.

use std::io::{self, Write};

use super::names::Names;
use crate::fleet::Event;
use crate::output;

/// The low bits of a timestamp, which count events within one millisecond.
const COUNTER_MASK: u64 = 0xffff;

/// Writes the events and, before the first one of each day, the date.
pub(super) fn lines(out: &mut dyn Write, events: &[Event], names: &Names) -> io::Result<()> {
    let width = events.iter().map(|event| event.instance.len()).max().unwrap_or(0);
    let mut date = String::new();
    for event in events {
        let (day, _) = split(event.wall_ms());
        if day != date {
            writeln!(out, "{day} (UTC)")?;
            date = day;
        }
        writeln!(out, "{}", line(event, names, width))?;
    }
    writeln!(out, "{} event(s)", events.len())
}

/// An event as a line: time with the counter within the millisecond, instance, account, kind and
/// fields.
pub(super) fn line(event: &Event, names: &Names, width: usize) -> String {
    let (_, time) = split(event.wall_ms());
    let counter = event.hlc & COUNTER_MASK;
    let account = if event.account.is_empty() { "-" } else { &event.account };
    let (instance, kind) = (&event.instance, &event.kind);
    let fields = fields(event, names);
    let line =
        format!("{time}+{counter:04x}  {instance:width$}  {account:10}  {kind:17}  {fields}");
    line.trim_end().to_owned()
}

/// The fields of an event as `name=value` pairs.
pub(super) fn fields(event: &Event, names: &Names) -> String {
    let pair = |name: &String| format!("{name}={}", names.show(name, event.field(name)));
    event.fields.keys().map(pair).collect::<Vec<_>>().join(" ")
}

fn split(wall_ms: u64) -> (String, String) {
    let text = output::date_time(wall_ms);
    let (day, time) = text.split_once('T').unwrap_or(("", &text));
    (day.to_owned(), time.trim_end_matches('Z').to_owned())
}
