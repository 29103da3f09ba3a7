//! Draws events as a picture: a lane for each instance, a dot for each event, time from left to
//! right.

use std::fmt::Write as _;

use super::names::Names;
use super::text;
use crate::fleet::Event;
use crate::output::clock_time;

/// Width of the instance names at the left.
const LABEL_PX: u64 = 180;
/// Width of the lanes.
const LANES_PX: u64 = 1_400;
const LANE_PX: usize = 24;
/// Height of the time axis.
const AXIS_PX: usize = 24;
const DOT_PX: u64 = 4;
/// Round distances between two ticks of the time axis.
const TICK_STEPS_MS: [u64; 16] =
    [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000, 60_000, 300_000];
const TICKS_MAX: u64 = 12;
/// The most lines from assignments to admissions; more would cover the dots.
const LINKS_MAX: usize = 1_000;

/// Colours of the known kinds, sorted by kind.
const COLOURS: [(&str, &str); 13] = [
    ("admitted", "#2a9d4a"),
    ("adopted", "#b5179e"),
    ("assigned", "#4895ef"),
    ("ended", "#9aa0a6"),
    ("leaving", "#f4a261"),
    ("peer_back", "#84cc16"),
    ("peer_suspected", "#d00000"),
    ("refused", "#ef476f"),
    ("relearned", "#7b2cbf"),
    ("settings_accepted", "#e9b000"),
    ("settings_refused", "#9d0208"),
    ("started", "#118ab2"),
    ("view_installed", "#8d6e63"),
];
const OTHER_COLOUR: &str = "#000000";

/// Translates events to positions in the picture.
struct Layout<'a> {
    lanes: Vec<&'a str>,
    kinds: &'a [&'a str],
    first_ms: u64,
    span_ms: u64,
}

/// Colour of a kind of events.
pub(super) fn colour(kind: &str) -> &'static str {
    let found = COLOURS.binary_search_by(|(known, _)| known.cmp(&kind));
    found.map_or(OTHER_COLOUR, |index| COLOURS[index].1)
}

/// Draws `events`, which must be sorted by time. Each dot has the class `kN`, where N is the index
/// of its kind in `kinds`.
pub(super) fn draw(events: &[Event], kinds: &[&str], names: &Names) -> String {
    let layout = Layout::new(events, kinds);
    let height = AXIS_PX + layout.lanes.len() * LANE_PX;
    let width = LABEL_PX + LANES_PX + 2 * DOT_PX;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         viewBox=\"0 0 {width} {height}\" role=\"img\">\n"
    );
    axis(&mut svg, &layout, height);
    lanes(&mut svg, &layout);
    links(&mut svg, &layout, events);
    events.iter().for_each(|event| dot(&mut svg, &layout, event, names));
    svg.push_str("</svg>\n");
    svg
}

/// Escapes the characters that have a meaning in HTML and SVG.
pub(super) fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            other => escaped.push(other),
        }
    }
    escaped
}

impl<'a> Layout<'a> {
    fn new(events: &'a [Event], kinds: &'a [&'a str]) -> Self {
        let mut lanes: Vec<&str> = events.iter().map(|event| &*event.instance).collect();
        lanes.sort_unstable();
        lanes.dedup();
        let first_ms = events.first().map_or(0, Event::wall_ms);
        let last_ms = events.last().map_or(0, Event::wall_ms);
        Self { lanes, kinds, first_ms, span_ms: (last_ms - first_ms).max(1) }
    }

    fn x(&self, wall_ms: u64) -> u64 {
        LABEL_PX + (wall_ms - self.first_ms) * LANES_PX / self.span_ms
    }

    fn y(&self, instance: &str) -> usize {
        let lane = self.lanes.binary_search(&instance).unwrap_or(0);
        AXIS_PX + lane * LANE_PX + LANE_PX / 2
    }

    fn kind(&self, event: &Event) -> usize {
        self.kinds.binary_search(&&*event.kind).unwrap_or(0)
    }

    /// The position of an event's dot. Different kinds are shifted vertically, so that dots of the
    /// same time do not hide each other.
    fn position(&self, event: &Event) -> (u64, usize) {
        let y = self.y(&event.instance) + self.kind(event) % 5 * 3;
        (self.x(event.wall_ms()), y - 6)
    }
}

fn axis(svg: &mut String, layout: &Layout<'_>, height: usize) {
    let is_coarse_enough = |step: &&u64| layout.span_ms / **step <= TICKS_MAX;
    let step = TICK_STEPS_MS.iter().find(is_coarse_enough).copied();
    let step = step.unwrap_or(layout.span_ms.div_ceil(TICKS_MAX));
    let end_ms = layout.first_ms + layout.span_ms;
    let mut at_ms = layout.first_ms.next_multiple_of(step);
    while at_ms <= end_ms {
        let x = layout.x(at_ms);
        let time = clock_time(at_ms);
        let _ = writeln!(svg, "<path class=\"tick\" d=\"M{x} {AXIS_PX}V{height}\"/>");
        let _ = writeln!(svg, "<text x=\"{x}\" y=\"16\" text-anchor=\"middle\">{time}</text>");
        at_ms += step;
    }
}

fn lanes(svg: &mut String, layout: &Layout<'_>) {
    for instance in &layout.lanes {
        let (y, end) = (layout.y(instance), LABEL_PX + LANES_PX);
        let (text_y, name) = (y + 4, escape(instance));
        let _ = writeln!(svg, "<path class=\"lane\" d=\"M{LABEL_PX} {y}H{end}\"/>");
        let _ = writeln!(svg, "<text x=\"4\" y=\"{text_y}\">{name}</text>");
    }
}

/// Draws a line from the assignment of each opening to its admission.
fn links(svg: &mut String, layout: &Layout<'_>, events: &[Event]) {
    let key = |event: &Event| (event.field("flow"), event.field("nonce"));
    let mut admitted: Vec<_> = events
        .iter()
        .filter(|event| event.kind == "admitted")
        .map(|event| (key(event), event))
        .collect();
    admitted.sort_by(|a, b| a.0.cmp(&b.0));
    let assigned = events.iter().filter(|event| event.kind == "assigned");
    for event in assigned.take(LINKS_MAX) {
        let wanted = key(event);
        let Ok(index) = admitted.binary_search_by(|(key, _)| key.cmp(&wanted)) else { continue };
        let ((x1, y1), (x2, y2)) = (layout.position(event), layout.position(admitted[index].1));
        let _ = writeln!(svg, "<path class=\"link\" d=\"M{x1} {y1}L{x2} {y2}\"/>");
    }
}

fn dot(svg: &mut String, layout: &Layout<'_>, event: &Event, names: &Names) {
    let ((x, y), kind) = (layout.position(event), layout.kind(event));
    let colour = colour(&event.kind);
    let title = escape(&text::line(event, names, 0));
    let _ = writeln!(
        svg,
        "<circle class=\"k{kind}\" cx=\"{x}\" cy=\"{y}\" r=\"{DOT_PX}\" fill=\"{colour}\">\
         <title>{title}</title></circle>"
    );
}
