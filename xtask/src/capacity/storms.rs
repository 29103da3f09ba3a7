//! Storms (bursts of control traffic): their peak, the time until traffic is back to normal, and
//! why the extrapolation to the target is sound.

use super::figure::Lookup::{Line, Point};
use super::figure::{Term, measured, scaled};

/// One storm.
#[derive(Clone, Debug)]
pub(super) struct Storm {
    /// The event that causes the storm.
    pub(super) name: &'static str,
    /// Peak control bytes of a node in one second.
    pub(super) peak: Term,
    /// Milliseconds until traffic is back to normal.
    pub(super) recovery: Term,
    /// Why the figures hold at the target size.
    pub(super) rationale: &'static str,
}

/// Storms that were measured.
pub(super) fn all() -> Vec<Storm> {
    vec![
        Storm {
            name: "A zone of 588 agents is lost, seen by balancers",
            peak: measured("control", "zone_loss_peak", Line(588.0)),
            recovery: measured("control", "zone_loss_ms", Line(588.0)),
            rationale: "Measured with 400 balancers, without the agents' own reports, at 50 to 600 agents. Notices are capped at 16 a message \
                  and three messages a round, independent of the fleet's size; rounds grow with the \
                  logarithm of the balancers, so 1,600 need two more rounds of 200 ms.",
        },
        Storm {
            name: "A zone returns, its agents with empty tables, seen by an agent of 3,700 flows",
            peak: measured("agent", "zone_lost_and_back_peak", Point(3_700.0)),
            recovery: measured("agent", "zone_lost_and_back_ms", Point(3_700.0)),
            rationale: "Only the service's own agents take part, so the fleet's size does not \
                  matter. Two of six agents come back; the peak is linear in flows.",
        },
        Storm {
            name: "10 % of instances replaced within a minute, seen by an agent of 3,700 flows",
            peak: measured("agent", "replaced_in_a_minute_peak", Point(3_700.0)),
            recovery: measured("agent", "replaced_in_a_minute_ms", Point(3_700.0)),
            rationale: "As above: one of a service's ten agents is replaced. Two in the same second in one \
                  service double the peak at a common peer.",
        },
        Storm {
            name: "200 settings changes at once",
            peak: measured("control", "settings_storm_peak", Point(200.0)),
            recovery: measured("control", "settings_storm_ms", Point(200.0)),
            rationale: "Measured with 400 balancers. A balancer's share of the notices does not depend on \
                  the number of balancers; all versions named in one message are fetched in one exchange.",
        },
    ]
}

/// Times computed from other figures: name, term in milliseconds, and meaning.
pub(super) const DERIVED: &[(&str, Term, &str)] = &[(
    "Processor time of a balancer for 200 changes, each built separately",
    scaled("tree", "change_ms", Line(1_900.0), 200.0),
    "More than the storm's 7 s of one core, though in a thread beside forwarding. The daemon \
     checks for changes every 25 ms and builds once for all received changes, so there are fewer \
     builds; how many was not measured. Reusing the rankings of unchanged accounts would remove the excess.",
)];

/// Storms that were not measured, each with its name and an explanation.
pub(super) const NOT_MEASURED: &[(&str, &str)] = &[
    (
        "The configuration service is back after an hour",
        "Not measured. For balancers it is a storm of the 158 changes of a mean hour \
         (3,800 / 24), so at most the storm of 200 above. But after two to four minutes without a \
         confirmation every node tries to read the service itself: when the service is back, up to 11,600 \
         watches and as many subtree reads (counted) arrive within the backoff's time, 12 s at 2,000 \
         reads/s. Nodes keep their settings meanwhile; a change made at that time may MISS 7 s.",
    ),
    (
        "Regions disconnected from each other for minutes, then reconnected",
        "Not measured. Digests find the differences after reconnection; a mean minute has 2.6 changes.",
    ),
];
