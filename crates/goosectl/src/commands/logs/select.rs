//! Sorts, selects and counts log lines.

use super::parse::Line;

/// Sorts lines by time. Lines of one instance keep their order in the file even if its clock was
/// set back between two of them.
pub(super) fn sort(lines: &mut [Line]) {
    let mut latest: Vec<(String, String)> = Vec::new();
    let mut keys = Vec::with_capacity(lines.len());
    for line in lines.iter() {
        let index = latest.iter().position(|(instance, _)| instance == line.instance());
        let index = index.unwrap_or_else(|| {
            latest.push((line.instance().to_owned(), String::new()));
            latest.len() - 1
        });
        if latest[index].1 < line.timestamp {
            latest[index].1.clone_from(&line.timestamp);
        }
        keys.push(latest[index].1.clone());
    }
    let mut order: Vec<usize> = (0..lines.len()).collect();
    order.sort_by(|a, b| keys[*a].cmp(&keys[*b]).then(a.cmp(b)));
    let sorted: Vec<Line> = order.into_iter().map(|index| lines[index].clone()).collect();
    lines.clone_from_slice(&sorted);
}

/// The lines about a request or a caller's flow. `id` is the id of a request or the address of a
/// caller. It selects flows, and all lines about these flows are returned, also those that do not
/// state the request.
pub(super) fn lines_of_request<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let flows = || lines.iter().filter_map(|line| line.flow.as_ref());
    let named = flows().filter(|flow| flow.request == id || flow.caller == id);
    let callers: Vec<&str> = named.map(|flow| flow.caller.as_str()).collect();
    let is_related = |line: &&Line| {
        line.flow.as_ref().is_some_and(|flow| callers.contains(&flow.caller.as_str()))
    };
    lines.iter().filter(is_related).collect()
}

/// The lines that are not about a flow.
pub(super) fn lines_of_processes(lines: &[Line]) -> impl Iterator<Item = &Line> {
    lines.iter().filter(|line| line.flow.is_none())
}

/// Number of lines about flows by event, including the suppressed ones.
pub(super) fn count_flow_events(lines: &[Line]) -> Vec<(String, u64)> {
    let mut counts: Vec<(String, u64)> = Vec::new();
    for flow in lines.iter().filter_map(|line| line.flow.as_ref()) {
        match counts.binary_search_by(|(event, _)| event.cmp(&flow.event)) {
            Ok(index) => counts[index].1 += 1 + flow.suppressed,
            Err(index) => counts.insert(index, (flow.event.clone(), 1 + flow.suppressed)),
        }
    }
    counts
}
