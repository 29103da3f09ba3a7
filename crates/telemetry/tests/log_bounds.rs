//! What keeps the log from holding up or flooding a process.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};

use rstest::rstest;
use telemetry::budget::{BURST_LINES, LINES_PER_SECOND, LineBudget};
use telemetry::flowline::FlowLine;
use telemetry::queued::{QUEUE_LINES_MAX, QueuedAppender};

/// Output that nobody reads: every write waits until it is let go.
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

/// Whoever reads standard output stops doing so. A process that waited for its log would stop
/// forwarding packets; lines are dropped instead. This test would never end if a line blocked.
#[test]
fn blocked_output_blocks_nobody() {
    let (release, blocked) = channel();
    let queued = QueuedAppender::new(Blocked(blocked)).unwrap();
    let lines = 10 * QUEUE_LINES_MAX;
    let taken = (0..lines).filter(|_| queued.push(vec![b'x'; 5_000])).count();
    assert!(taken >= QUEUE_LINES_MAX, "the queue itself has room");
    assert!(taken <= QUEUE_LINES_MAX + 1, "and one line is being written");
    drop(release);
}

/// A flood of one kind, a thousand lines a second for ten seconds.
#[rstest]
#[case::one_kind(&[2203])]
#[case::kinds_apart(&[2203, 2204, 2205])]
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
    assert!(total > all - 1_000 && total <= all, "what is left out is counted: {total}");
}

/// What a process writes, the command line reads; fields that it does not know are ignored.
#[rstest]
#[case::whole(
    r#"{"code":2205,"event":"lost","caller":"100.64.0.7:40001","endpoint":"198.18.0.1:443",
        "request":"ad6c","peer":"10.1.0.4","revision":7,"elapsed_ms":12,"suppressed":3,"more":1}"#,
    FlowLine {
        code: 2205,
        event: "lost".into(),
        caller: "100.64.0.7:40001".into(),
        endpoint: "198.18.0.1:443".into(),
        request: "ad6c".into(),
        peer: "10.1.0.4".into(),
        revision: 7,
        elapsed_ms: 12,
        suppressed: 3,
    }
)]
#[case::bare(r#"{"code":2201}"#, FlowLine { code: 2201, ..FlowLine::default() })]
fn flow_line_from_json(#[case] text: &str, #[case] expected: FlowLine) {
    assert_eq!(serde_json::from_str::<FlowLine>(text).unwrap(), expected);
}
