//! Tests that logging does not block a process and that the rate of its lines is limited.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};

use rstest::rstest;
use telemetry::budget::{BURST_LINES, LINES_PER_SECOND, LineBudget};
use telemetry::flowline::FlowLine;
use telemetry::queued::{QUEUE_LINES_MAX, QueuedAppender};

/// Output that is not read: every write blocks until the sender of the channel sends or is dropped.
struct Blocked(Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.recv().map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A reader of standard output that stops reading must not block the process, which would stop
/// forwarding packets. Lines are dropped instead. If a line blocked, this test would not end.
#[test]
fn blocked_output_does_not_block() {
    let (release, blocked) = channel();
    let queued = QueuedAppender::new(Blocked(blocked)).unwrap();
    let lines = 10 * QUEUE_LINES_MAX;
    let taken = (0..lines).filter(|_| queued.push(vec![b'x'; 5_000])).count();
    assert!(taken >= QUEUE_LINES_MAX, "lines up to the capacity of the queue are accepted");
    assert!(taken <= QUEUE_LINES_MAX + 1, "besides these, only the line being written is accepted");
    drop(release);
}

/// A flood of a thousand lines of each code per second for ten seconds stays within the limit, and
/// the suppressed lines are counted.
#[rstest]
#[case::one_code(&[2203])]
#[case::separate_codes(&[2203, 2204, 2205])]
fn flood_stays_within_the_bound(#[case] codes: &[u16]) {
    let mut budget = LineBudget::default();
    let mut written = vec![0; codes.len()];
    let mut suppressed = 0;
    for now_ms in 0..10_000 {
        for (code, count) in codes.iter().zip(&mut written) {
            if let Some(before) = budget.allow(now_ms, *code) {
                *count += 1;
                suppressed += before;
            }
        }
    }
    let bound = BURST_LINES + 10 * LINES_PER_SECOND;
    assert!(written.iter().all(|count| *count <= bound && *count >= bound - 1), "{written:?}");
    let all = u64::try_from(codes.len()).unwrap() * 10_000;
    let total = suppressed + written.iter().map(|count| u64::from(*count)).sum::<u64>();
    assert!(total > all - 1_000 && total <= all, "suppressed lines are counted: {total}");
}

/// The command-line tool reads what a process writes. Unknown fields are ignored and missing ones
/// have default values.
#[rstest]
#[case::all_fields(
    r#"{"code":2205,"event":"lost","caller":"100.64.0.7:40001","endpoint":"198.18.0.1:443",
        "request":"ad6c","peer":"10.1.0.4","era":2,"revision":7,"elapsed_ms":12,"suppressed":3,"more":1}"#,
    FlowLine {
        code: 2205,
        event: "lost".into(),
        caller: "100.64.0.7:40001".into(),
        endpoint: "198.18.0.1:443".into(),
        request: "ad6c".into(),
        peer: "10.1.0.4".into(),
        era: 2,
        revision: 7,
        elapsed_ms: 12,
        suppressed: 3,
    }
)]
#[case::code_only(r#"{"code":2201}"#, FlowLine { code: 2201, ..FlowLine::default() })]
fn flow_line_from_json(#[case] text: &str, #[case] expected: FlowLine) {
    assert_eq!(serde_json::from_str::<FlowLine>(text).unwrap(), expected);
}
