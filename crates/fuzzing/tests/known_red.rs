//! Episodes that break a promise for a real fault which is not mended yet. Listed in `KNOWN-RED.txt`;
//! the gate passes over them and prints them. Each is mended first in the next sitting.

use fuzzing::campaign;
use fuzzing::world::Sabotage;
use rstest::rstest;

#[rstest]
#[case::opening_never_answered(129)]
fn known_red_episode(#[case] seed: u64) {
    let (outcome, _) = campaign::play(&campaign::draw(seed), Sabotage::default(), false);
    assert_eq!(outcome.violation, None);
}
