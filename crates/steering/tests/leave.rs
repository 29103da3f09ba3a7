//! A balancer that was told to stop.

use rstest::rstest;
use steering::flow::Millis;
use steering::leave::{ShutdownProgress, may_exit};

/// During a rolling restart a balancer must go on until the fabric has stopped sending, or callers'
/// packets are lost; and no longer, or it is away together with the next one, the fabric takes the
/// whole zone into use, and packets go to instances that have ended.
#[rstest]
#[case::still_probed_once(900, 1, 500, false)]
#[case::still_receiving(1_500, 3, 20, false)]
#[case::removed_and_idle(1_100, 2, 100, true)]
#[case::never_idle(4_500, 9, 0, true)]
#[case::never_probed(4_499, 0, 4_499, false)]
fn may_exit_after_stop_request(
    #[case] since_stop_request_ms: Millis,
    #[case] refused_probes: u32,
    #[case] since_last_packet_ms: Millis,
    #[case] expected: bool,
) {
    assert_eq!(
        may_exit(ShutdownProgress { since_stop_request_ms, refused_probes, since_last_packet_ms }),
        expected
    );
}
