//! The balancer.

use super::super::budget::Quantity::{Bytes, CpuTime, Memory, Messages};
use super::super::figure::Lookup::{Line, Point};
use super::super::figure::{computed, measured, scaled};
use super::{BALANCERS, CHANGES_PER_S, Role, SERVICES, SINGLE_POINT, US_PER_MS, row};

/// Reads of the instance list per second: 2.4 MB at a limit of 2,000 bytes per second.
const LIST_READS_PER_S: f64 = 1.0 / 1_200.0;
/// Full comparisons of settings per second over HTTP: one requested and one answered every 30 s.
const COMPARISONS_PER_S: f64 = 2.0 / 30.0;

pub(super) fn role() -> Role {
    Role {
        name: "Balancer",
        state: "Texts and checked specs of 300 subtrees, one view with the ranking of 64 buckets of \
                1,900 services, 300 account keys, 300 versions, the ids of 1,600 balancers, the \
                agents that are down, the platform's list. No flow state.",
        rows: vec![
            row(
                Bytes,
                "digest of 16 shares with one random peer every 2 s",
                &[measured("control", "idle_bytes", Line(BALANCERS))],
            ),
            row(
                Bytes,
                "notices (3 peers, 2 rounds) and fetched deltas of 3,800 changes a day",
                &[scaled("control", "change_bytes", Line(BALANCERS), CHANGES_PER_S)],
            ),
            row(
                Bytes,
                "full digests over HTTP, one requested and one answered every 30 s",
                &[
                    scaled("tree", "digest_bytes", Line(SERVICES), COMPARISONS_PER_S),
                    scaled("tree", "exchange_bytes", SINGLE_POINT, COMPARISONS_PER_S),
                ],
            ),
            row(
                Bytes,
                "instance list, read completely at 2,000 bytes a second: every 20 minutes",
                &[scaled("tree", "list_bytes", Line(SERVICES), LIST_READS_PER_S)],
            ),
            row(
                Messages,
                "digests, sent and received",
                &[computed(2.0, "a request and a reply every 2 s, in both directions")],
            ),
            row(
                CpuTime,
                "digests and notices",
                &[measured("control", "idle_processor", Line(BALANCERS))],
            ),
            row(
                CpuTime,
                "parsing, checking and rebuilding the whole view on each change",
                &[scaled("tree", "change_ms", Line(SERVICES), CHANGES_PER_S * US_PER_MS)],
            ),
            row(
                CpuTime,
                "list parsed and compared with the view every 20 minutes",
                &[
                    scaled("tree", "list_parse_ms", Line(SERVICES), LIST_READS_PER_S * US_PER_MS),
                    scaled("tree", "liveness_ms", Line(SERVICES), LIST_READS_PER_S * US_PER_MS),
                ],
            ),
            row(
                CpuTime,
                "whole process, idle, settings reader of its zone, settings and list of target size",
                &[measured("bench", "balancer_idle_processor", Point(SERVICES))],
            ),
            row(
                Memory,
                "texts, specs, view and keys",
                &[measured("memory", "settings_bytes", Line(SERVICES))],
            ),
            row(
                Memory,
                "whole process, idle, settings and list of target size",
                &[measured("bench", "balancer_memory", Point(SERVICES))],
            ),
        ],
        proposal: "No mean value exceeds its budget. The list can only be read completely, so a longer \
                   list is read less often. Agents are known from the settings, their failures \
                   from reports of their peers, and a new balancer catches up through digests.",
    }
}
