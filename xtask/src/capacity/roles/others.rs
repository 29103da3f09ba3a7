//! Settings readers, the reads that the platform serves, and goosectl.

use super::super::budget::Quantity::{Bytes, Elapsed, Propagation, Reads};
use super::super::figure::Lookup::{Line, Point};
use super::super::figure::{computed, measured, scaled};
use super::{BALANCERS, CHANGES_PER_S, Role, SERVICES, SINGLE_POINT, row};

/// Settings readers in the fleet: two in each of 17 zones.
const READERS: f64 = 34.0;
/// Reads of the instance list per second by a balancer: 2.4 MB at a limit of 2,000 bytes per
/// second.
const LIST_READS_PER_S: f64 = 1.0 / 1_200.0;
/// Watches per second of a reader: a watch waits for at most 10 s.
const WATCHES_PER_S: f64 = 0.1;
/// Services of the mean account.
const MEAN_ACCOUNT_SERVICES: f64 = 6.0;
/// Instance starts per second: 68 failed and 910 replaced instances a day.
const STARTS_PER_S: f64 = 978.0 / 86_400.0;
/// Upper bound of the reads of a starting instance: watch, root, list and its account. A balancer
/// requests the accounts from its peers first.
const READS_PER_START: f64 = 4.0;

pub(super) fn roles() -> [Role; 3] {
    [reader(), platform(), goosectl()]
}

fn reader() -> Role {
    Role {
        name: "Settings reader (a balancer selected by rendezvous hashing, two a zone)",
        state: "As a balancer. There is no election: a reader that leaves is replaced by the balancer of the next rank.",
        rows: vec![
            row(
                Bytes,
                "watch and changed subtrees, read completely, in addition to a balancer's own traffic",
                &[
                    scaled("tree", "subtree_bytes", Line(MEAN_ACCOUNT_SERVICES), CHANGES_PER_S),
                    scaled(
                        "tree",
                        "exchange_bytes",
                        SINGLE_POINT,
                        WATCHES_PER_S + 2.0 * CHANGES_PER_S,
                    ),
                ],
            ),
            row(
                Propagation,
                "one change, time until in force on 1,600 balancers",
                &[measured("control", "change_ms", Point(BALANCERS))],
            ),
        ],
        proposal: "No mean value exceeds its budget.",
    }
}

fn platform() -> Role {
    Role {
        name: "Reads served by the platform",
        state: "Read only. Reads grow with zones, changes and starts; only reads of the list grow with \
                balancers. Agents read at their start and when no peer has confirmed their settings \
                for two to four minutes.",
        rows: vec![
            row(
                Reads,
                "watches of 34 readers, ended by timeouts and by changes",
                &[computed(
                    READERS * (WATCHES_PER_S + CHANGES_PER_S),
                    "34 readers, 10 s, 3,800 changes a day",
                )],
            ),
            row(
                Reads,
                "changed subtrees",
                &[computed(READERS * CHANGES_PER_S, "34 readers, 3,800 changes a day")],
            ),
            row(
                Reads,
                "instance list",
                &[computed(BALANCERS * LIST_READS_PER_S, "1,600 balancers every 20 minutes")],
            ),
            row(
                Reads,
                "starts of instances",
                &[computed(STARTS_PER_S * READS_PER_START, "978 a day, 4 reads each at most")],
            ),
        ],
        proposal: "No mean value exceeds its budget.",
    }
}

fn goosectl() -> Role {
    Role {
        name: "goosectl (an operator's shell, runs for seconds)",
        state: "None. `check` reads one subtree; other commands ask daemons, with one exchange each.",
        rows: vec![row(
            Elapsed,
            "processor time of `check` of a subtree: at most that of a balancer's whole change",
            &[measured("tree", "change_ms", Line(SERVICES))],
        )],
        proposal: "Not a node, so no limits apply. Querying all 11,600 nodes (`status`) was not \
                   measured.",
    }
}
