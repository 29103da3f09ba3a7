//! Tests of the verdict whether an upstream is drained.

use rstest::rstest;

use super::progress::{Flows, Progress, Sample, Verdict};
use Verdict::{AgentGone, AgentUnresponsive, Drained, HoldsFlows, NotYetQuiet};

fn sample(open: usize, closing: usize, openings: usize) -> Sample {
    let flows = Ok(Flows { open, closing, is_complete: true });
    Sample { flows, openings, unresponsive: Vec::new(), is_unlisted: false }
}

fn unanswered(is_unlisted: bool) -> Sample {
    Sample { flows: Err("E5004".to_owned()), openings: 0, unresponsive: Vec::new(), is_unlisted }
}

fn truncated() -> Sample {
    let flows = Ok(Flows { open: 0, closing: 0, is_complete: false });
    Sample { flows, openings: 0, unresponsive: Vec::new(), is_unlisted: false }
}

fn empty() -> Sample {
    sample(0, 0, 0)
}

/// Two samples without an opening are required, and one before them to learn from which event on to
/// count.
#[rstest]
#[case::drained(false, vec![empty(), empty(), empty()], &[NotYetQuiet, NotYetQuiet, Drained])]
#[case::no_openings_while_it_holds_flows(false, vec![sample(1, 0, 0), sample(1, 0, 0), empty()], &[HoldsFlows, HoldsFlows, Drained])]
#[case::opening_restarts_the_count(
    false,
    vec![empty(), empty(), sample(0, 0, 1), empty(), empty(), empty()],
    &[NotYetQuiet, NotYetQuiet, NotYetQuiet, NotYetQuiet, NotYetQuiet, Drained]
)]
#[case::closing_counts(false, vec![sample(0, 1, 0), sample(0, 1, 0), sample(0, 1, 0)], &[HoldsFlows, HoldsFlows, HoldsFlows])]
#[case::closing_ignored(true, vec![sample(0, 1, 0), sample(0, 1, 0), sample(0, 1, 0)], &[NotYetQuiet, NotYetQuiet, Drained])]
#[case::too_many_to_list(false, vec![truncated(), truncated(), truncated()], &[HoldsFlows, HoldsFlows, HoldsFlows])]
#[case::failed_poll_restarts_the_count(
    false,
    vec![empty(), empty(), unanswered(false), empty(), empty(), empty()],
    &[NotYetQuiet, NotYetQuiet, AgentUnresponsive, NotYetQuiet, NotYetQuiet, Drained]
)]
#[case::ended(false, vec![sample(2, 0, 0), unanswered(false), unanswered(true)], &[HoldsFlows, AgentUnresponsive, AgentGone])]
fn verdicts(
    #[case] ignore_closing: bool,
    #[case] samples: Vec<Sample>,
    #[case] expected: &[Verdict],
) {
    let mut progress = Progress::new(2, ignore_closing);
    let verdicts: Vec<Verdict> = samples.iter().map(|sample| progress.update(sample)).collect();
    assert_eq!(verdicts, expected);
}
