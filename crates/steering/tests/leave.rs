//! Tests of when a balancer may exit after a stop request.

use rstest::rstest;
use steering::flow::Millis;
use steering::leave::{ShutdownProgress, may_exit};

/// During a rolling restart, a balancer must run until the fabric has stopped sending to it,
/// otherwise callers' packets are lost. It must not run longer either: if it is out of rotation
/// together with the next balancer, the fabric uses the whole zone and sends packets to instances
/// that have exited.
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
