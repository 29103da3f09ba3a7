//! Tests of the hybrid logical clock.

use rstest::rstest;
use telemetry::clock::{Clock, DRIFT_MAX_MS, Timestamp};

/// Wall-clock time of a step, and the timestamp of the message received at that time, if any.
type Step = (u64, Option<Timestamp>);

const fn seen(wall_ms: u64) -> Option<Timestamp> {
    Some(Timestamp(wall_ms << 16))
}

/// Reads the clock at wall-clock time 10 after the steps.
#[rstest]
#[case::follows_wall_clock(&[], Timestamp(10 << 16))]
#[case::counts_within_a_millisecond(&[(10, None)], Timestamp((10 << 16) + 1))]
#[case::wall_clock_went_back(&[(20, None)], Timestamp((20 << 16) + 1))]
#[case::message_from_the_past(&[(10, seen(5))], Timestamp(10 << 16))]
#[case::message_from_the_future(&[(10, seen(30))], Timestamp((30 << 16) + 1))]
#[case::message_from_a_wrong_clock(&[(10, seen(11 + DRIFT_MAX_MS))], Timestamp(10 << 16))]
fn now_after_steps(#[case] steps: &[Step], #[case] expected: Timestamp) {
    let clock = Clock::default();
    for (wall_ms, message) in steps {
        match message {
            Some(timestamp) => clock.observe_at(*timestamp, *wall_ms),
            None => drop(clock.now_at(*wall_ms)),
        }
    }
    assert_eq!(clock.now_at(10), expected);
}

/// A reply is later than the message that it answers, whatever the difference of the wall clocks.
#[test]
fn answer_is_later_than_question() {
    let (asker, answerer) = (Clock::default(), Clock::default());
    let question = asker.now_at(500);
    answerer.observe_at(question, 100);
    let answer = answerer.now_at(100);
    asker.observe_at(answer, 501);
    assert!(question < answer);
    assert!(answer < asker.now_at(400));
}
