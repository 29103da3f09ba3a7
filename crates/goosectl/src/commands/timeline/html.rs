//! Self-contained HTML page with a picture, a legend and the events as text. It has no script and
//! loads no other file.

use std::fmt::Write as _;

use super::names::Names;
use super::svg::{self, escape};
use super::text;
use crate::fleet::Event;
use crate::output::date_time;

/// The most events on one page; the latest ones are shown. Browsers get slow with more.
const EVENTS_MAX: usize = 20_000;

const STYLE: &str = "\
body { font: 13px sans-serif; margin: 16px; color: #222; background: #fff; }
svg { display: block; margin: 12px 0; }
svg text { font-size: 11px; }
circle { stroke: #fff; stroke-width: 0.5; }
circle:hover { stroke: #000; stroke-width: 2; }
.lane { stroke: #ddd; }
.tick { stroke: #eee; }
.link { stroke: #4895ef; stroke-opacity: 0.35; fill: none; }
label { margin-right: 12px; white-space: nowrap; }
.swatch { display: inline-block; width: 10px; height: 10px; border-radius: 5px; }
";

/// The page for `events`, which are sorted by time.
pub(super) fn page(events: &[Event], names: &Names, notes: &[String]) -> String {
    let left_out = events.len().saturating_sub(EVENTS_MAX);
    let events = &events[left_out..];
    let mut kinds: Vec<&str> = events.iter().map(|event| &*event.kind).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let mut page = head(&kinds);
    let _ = writeln!(page, "<p>{}</p>", summary(events, left_out));
    notes.iter().for_each(|note| {
        let _ = writeln!(page, "<p>Note: {}</p>", escape(note));
    });
    legend(&mut page, events, &kinds);
    page.push_str(&svg::draw(events, &kinds, names));
    lines(&mut page, events, names);
    page.push_str("</body></html>\n");
    page
}

/// The start of the page. Its style rules hide a kind whose check box in the legend is not checked,
/// so that no script is needed.
fn head(kinds: &[&str]) -> String {
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>gooseberrysill timeline</title>\n<style>\n{STYLE}"
    );
    for index in 0..kinds.len() {
        let _ = writeln!(page, "#b{index}:not(:checked) ~ svg .k{index} {{ display: none; }}");
    }
    page.push_str("</style></head><body>\n<h1>gooseberrysill timeline</h1>\n");
    page
}

fn summary(events: &[Event], left_out: usize) -> String {
    let (Some(first), Some(last)) = (events.first(), events.last()) else {
        return "No events.".to_owned();
    };
    let (from, to) = (date_time(first.wall_ms()), date_time(last.wall_ms()));
    let mut summary = format!("{} events from {from} to {to}, times in UTC.", events.len());
    if left_out > 0 {
        let _ = write!(summary, " {left_out} earlier ones are left out; filter or use --json.");
    }
    summary.push_str(" Point at a dot to read its event; clear the box of a kind to hide it.");
    summary
}

fn legend(page: &mut String, events: &[Event], kinds: &[&str]) {
    for (index, kind) in kinds.iter().enumerate() {
        let count = events.iter().filter(|event| event.kind == *kind).count();
        let (colour, kind) = (svg::colour(kind), escape(kind));
        let _ = writeln!(
            page,
            "<input type=\"checkbox\" id=\"b{index}\" checked><label for=\"b{index}\">\
             <span class=\"swatch\" style=\"background:{colour}\"></span> {kind} ({count})</label>"
        );
    }
}

fn lines(page: &mut String, events: &[Event], names: &Names) {
    let width = events.iter().map(|event| event.instance.len()).max().unwrap_or(0);
    page.push_str("<details><summary>All events as text</summary><pre>\n");
    for event in events {
        let _ = writeln!(page, "{}", escape(&text::line(event, names, width)));
    }
    page.push_str("</pre></details>\n");
}
