//! Shrinks a failing sequence of steps by deleting steps (delta debugging) and halving durations.

use crate::step::Step;

/// Returns the smallest sequence found for which `fails` still holds, after at most `tries` runs.
///
/// ```
/// use fuzzing::{shrink, step::Step};
/// let steps: Vec<Step> = (0..50).map(|pick| Step::Open { pick }).collect();
/// let needed = [Step::Open { pick: 7 }, Step::Open { pick: 31 }];
/// let small = shrink::shrink(steps, 500, |steps| needed.iter().all(|step| steps.contains(step)));
/// assert_eq!(small, needed);
/// ```
pub fn shrink(steps: Vec<Step>, tries: usize, mut fails: impl FnMut(&[Step]) -> bool) -> Vec<Step> {
    let mut left = tries;
    let mut fails = |steps: &[Step]| {
        left = left.saturating_sub(1);
        left > 0 && fails(steps)
    };
    let mut best = steps;
    loop {
        let before = best.clone();
        best = shorten(best, &mut fails);
        best = simplify(best, &mut fails);
        if best == before {
            return best;
        }
    }
}

/// Deletes consecutive steps in chunks, from half of the sequence down to single steps.
fn shorten(mut best: Vec<Step>, fails: &mut impl FnMut(&[Step]) -> bool) -> Vec<Step> {
    let mut chunk = best.len().div_ceil(2);
    while chunk > 0 {
        let mut start = 0;
        while start < best.len() {
            let end = (start + chunk).min(best.len());
            let shorter = [&best[..start], &best[end..]].concat();
            if fails(&shorter) {
                best = shorter;
            } else {
                start = end;
            }
        }
        chunk /= 2;
    }
    best
}

/// Halves the durations of the remaining steps while the sequence still fails.
fn simplify(mut best: Vec<Step>, fails: &mut impl FnMut(&[Step]) -> bool) -> Vec<Step> {
    for index in 0..best.len() {
        while let Some(simpler) = best[index].simpler() {
            let mut candidate = best.clone();
            candidate[index] = simpler;
            if !fails(&candidate) {
                break;
            }
            best = candidate;
        }
    }
    best
}
