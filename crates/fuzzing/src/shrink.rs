//! Shrinking a failing sequence of steps by deleting some of them (delta debugging).

use crate::step::Step;

/// The smallest sequence found for which `fails` still holds, after at most `tries` runs.
///
/// ```
/// use fuzzing::{shrink, step::Step};
/// let steps: Vec<Step> = (0..50).map(|pick| Step::Open { pick }).collect();
/// let needed = [Step::Open { pick: 7 }, Step::Open { pick: 31 }];
/// let small = shrink::shrink(steps, 500, |steps| needed.iter().all(|step| steps.contains(step)));
/// assert_eq!(small, needed);
/// ```
pub fn shrink(steps: Vec<Step>, tries: usize, mut fails: impl FnMut(&[Step]) -> bool) -> Vec<Step> {
    let mut best = steps;
    let mut left = tries;
    let mut chunk = best.len().div_ceil(2);
    while chunk > 0 && left > 0 {
        let before = best.len();
        let mut start = 0;
        while start < best.len() && left > 0 {
            let end = (start + chunk).min(best.len());
            let shorter = [&best[..start], &best[end..]].concat();
            left -= 1;
            if fails(&shorter) {
                best = shorter;
            } else {
                start = end;
            }
        }
        let stuck = best.len() == before;
        chunk = if chunk > 1 || stuck { chunk / 2 } else { 1 };
    }
    best
}
