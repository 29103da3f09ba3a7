//! The balancer: as its daemon works today, and with the spreading of the decision core.

use super::super::budget::Quantity::{Bytes, Memory, Messages, Processor};
use super::super::figure::Take::{Line, Point};
use super::super::figure::{counted, measured, rated};
use super::{BALANCERS, CHANGES, COMPARISONS, EXCHANGE_BYTES, Role, SERVICES, US, row};

/// The list is read every 5 s.
const LIST_READS: f64 = 0.2;
/// A mean account has 6 services.
const MEAN_ACCOUNT: f64 = 6.0;

pub(super) fn running() -> Role {
    let change = rated("tree", "change_ms", Line(SERVICES), CHANGES * US);
    let parse = rated("tree", "list_parse_ms", Line(SERVICES), LIST_READS * US);
    let look = rated("tree", "liveness_ms", Line(SERVICES), LIST_READS * US);
    Role {
        name: "Balancer, daemon as it runs today",
        state: "Texts and checked specs of 300 subtrees, one view with the ranking of 64 buckets of \
                1,900 services, 300 account keys, the platform's list. Nothing about flows.",
        rows: vec![
            row(
                Bytes,
                "instance list, read whole every 5 s",
                &[rated("tree", "list_bytes", Line(SERVICES), LIST_READS)],
            ),
            row(
                Bytes,
                "full digests over HTTP, one asked and one answered every 2 s",
                &[
                    rated("tree", "digest_bytes", Line(SERVICES), COMPARISONS),
                    counted(COMPARISONS * EXCHANGE_BYTES, "580 B an HTTP exchange (counted)"),
                ],
            ),
            row(
                Bytes,
                "changed subtrees, each read whole from the platform",
                &[
                    rated("tree", "subtree_bytes", Line(MEAN_ACCOUNT), CHANGES),
                    counted(CHANGES * EXCHANGE_BYTES, "580 B an HTTP exchange (counted)"),
                ],
            ),
            row(Processor, "parse, check and rebuild of the whole view on each change", &[change]),
            row(Processor, "list parsed every 5 s", &[parse]),
            row(Processor, "list compared with the view when it has been read", &[look]),
            row(
                Processor,
                "whole process, idle, with settings and list of target size",
                &[measured("bench", "balancer_idle_processor", Point(SERVICES))],
            ),
            row(
                Memory,
                "whole process, idle, with settings and list of target size",
                &[measured("bench", "balancer_memory", Point(SERVICES))],
            ),
        ],
        proposal: "The list goes with the core's membership (next table): it is then read by the \
                   readers of a zone only, and agents that are down travel as notices.",
    }
}

pub(super) fn spreading() -> Role {
    Role {
        name: "Balancer, with spreading by the core (`decision::spread`, not wired in yet)",
        state: "As above, without the list: 300 versions, the ids of 1,600 balancers, the agents \
                that are down.",
        rows: vec![
            row(
                Bytes,
                "digest of 16 shares with one random peer every 2 s",
                &[measured("control", "idle_bytes", Line(BALANCERS))],
            ),
            row(
                Bytes,
                "rumours (3 peers, 2 rounds) and fetched deltas of 3,800 changes a day",
                &[rated("control", "change_bytes", Line(BALANCERS), CHANGES)],
            ),
            row(
                Messages,
                "digests, sent and received",
                &[counted(2.0, "a question and an answer every 2 s, in both directions")],
            ),
            row(
                Processor,
                "digests and rumours",
                &[measured("control", "idle_processor", Line(BALANCERS))],
            ),
            row(
                Processor,
                "parse, check and rebuild of the whole view on each change",
                &[rated("tree", "change_ms", Line(SERVICES), CHANGES * US)],
            ),
            row(
                Memory,
                "texts, specs, view and keys",
                &[measured("memory", "settings_bytes", Line(SERVICES))],
            ),
        ],
        proposal: "Nothing misses in the mean; see the storms for the peaks.",
    }
}
