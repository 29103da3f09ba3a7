//! When an upstream counts as drained.

use rstest::rstest;

use super::progress::{Flows, Look, Progress, Verdict};
use Verdict::{Drained, Gone, Holds, NotYetQuiet, Unknown};

fn look(open: usize, closing: usize, openings: usize) -> Look {
    let flows = Ok(Flows { open, closing, is_whole: true });
    Look { flows, openings, silent: Vec::new(), is_unlisted: false }
}

fn unheard(is_unlisted: bool) -> Look {
    Look { flows: Err("E5004".to_owned()), openings: 0, silent: Vec::new(), is_unlisted }
}

fn uncounted() -> Look {
    let flows = Ok(Flows { open: 0, closing: 0, is_whole: false });
    Look { flows, openings: 0, silent: Vec::new(), is_unlisted: false }
}

fn empty() -> Look {
    look(0, 0, 0)
}

/// Two quiet looks are wanted, and one before them to know from where on to count.
#[rstest]
#[case::drained(false, vec![empty(), empty(), empty()], &[NotYetQuiet, NotYetQuiet, Drained])]
#[case::quiet_while_it_holds(false, vec![look(1, 0, 0), look(1, 0, 0), empty()], &[Holds, Holds, Drained])]
#[case::opening_begins_anew(
    false,
    vec![empty(), empty(), look(0, 0, 1), empty(), empty(), empty()],
    &[NotYetQuiet, NotYetQuiet, NotYetQuiet, NotYetQuiet, NotYetQuiet, Drained]
)]
#[case::closing_counts(false, vec![look(0, 1, 0), look(0, 1, 0), look(0, 1, 0)], &[Holds, Holds, Holds])]
#[case::closing_ignored(true, vec![look(0, 1, 0), look(0, 1, 0), look(0, 1, 0)], &[NotYetQuiet, NotYetQuiet, Drained])]
#[case::too_many_to_list(false, vec![uncounted(), uncounted(), uncounted()], &[Holds, Holds, Holds])]
#[case::silence_begins_anew(
    false,
    vec![empty(), empty(), unheard(false), empty(), empty(), empty()],
    &[NotYetQuiet, NotYetQuiet, Unknown, NotYetQuiet, NotYetQuiet, Drained]
)]
#[case::ended(false, vec![look(2, 0, 0), unheard(false), unheard(true)], &[Holds, Unknown, Gone])]
fn verdicts(#[case] ignore_closing: bool, #[case] looks: Vec<Look>, #[case] expected: &[Verdict]) {
    let mut progress = Progress::new(2, ignore_closing);
    let verdicts: Vec<Verdict> = looks.iter().map(|look| progress.take(look)).collect();
    assert_eq!(verdicts, expected);
}
