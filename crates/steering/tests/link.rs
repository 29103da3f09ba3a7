//! Tests of a slow link that is offered more than its capacity: body packets are dropped, all
//! others pass.

use rstest::rstest;
use steering::flow::Millis;
use steering::link::Link;

/// Sizes on the link of a full body packet and of an opening.
const BODY_BYTES: usize = 1_264;
const SMALL_BYTES: usize = 64;

/// Half of a zone's balancers are paused. The one with a slow link is offered body packets for one
/// and a half times its capacity, and openings and queries between them. The latter must all pass,
/// since without them no flow is opened or found. Bodies get the rest, and the total stays well
/// below the whole capacity.
#[rstest]
#[case::full(14.0, 15, 2_000)]
#[case::idle(200.0, 0, 0)]
#[case::unknown_speed(0.0, 0, 0)]
fn admit_bodies_yield(
    #[case] mbps: f64,
    #[case] min_dropped_percent: u64,
    #[case] min_dropped: u64,
) {
    let mut link = Link::new(mbps);
    let (mut bodies, mut sent_bytes) = (0_u64, 0);
    for now_ms in 0..5_000 {
        for _ in 0..2 {
            let admitted = link.admit(now_ms, BODY_BYTES, true);
            bodies += u64::from(admitted);
            sent_bytes += if admitted { BODY_BYTES } else { 0 };
        }
        assert!(link.admit(now_ms, SMALL_BYTES, false), "at {now_ms} ms");
        sent_bytes += SMALL_BYTES;
    }
    let dropped = 10_000 - bodies;
    assert!(
        dropped >= min_dropped && dropped * 100 >= min_dropped_percent * 10_000,
        "{dropped} dropped"
    );
    assert!(min_dropped > 0 || dropped == 0);
    let link_bytes = (mbps * 1e6 / 8.0 * 5.0) as usize;
    assert!(min_dropped == 0 || sent_bytes < link_bytes * 9 / 10, "{sent_bytes} of {link_bytes}");
}

/// A few uploads begin at once with sixteen packets each. All of these pass, because the link is
/// idle again before the next ones.
#[test]
fn admit_burst() {
    let mut link = Link::new(14.0);
    for now_ms in [0, 100, 200, 300] {
        let sent = (0..40).filter(|_| link.admit(now_ms, BODY_BYTES, true)).count();
        assert_eq!(sent, 40, "at {now_ms} ms");
    }
}

/// Small packets alone may exceed the capacity for long. This must not block bodies for more than a
/// moment afterwards.
#[test]
fn admit_bounded_debt() {
    const PAUSE_MS: Millis = 100;
    let mut link = Link::new(14.0);
    (0..100_000).for_each(|_| assert!(link.admit(0, SMALL_BYTES, false)));
    assert!(!link.admit(1, BODY_BYTES, true));
    assert!(link.admit(PAUSE_MS, BODY_BYTES, true));
}
