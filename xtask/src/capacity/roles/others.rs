//! Readers of settings, the platform's reads, and goosectl.

use super::super::budget::Quantity::{Bytes, Elapsed, Processor, Reads, Settled};
use super::super::figure::Take::{Line, Point};
use super::super::figure::{counted, measured, rated};
use super::{BALANCERS, CHANGES, EXCHANGE_BYTES, Role, SERVICES, US, WATCHES, row};

/// Nodes: 1,600 balancers and 10,000 agents.
const NODES: f64 = 11_600.0;
/// Readers in the fleet: two in each of 17 zones.
const READERS: f64 = 34.0;
/// Reads of the list a second by one process.
const LIST_READS: f64 = 0.2;
/// Services of a mean account.
const MEAN_ACCOUNT: f64 = 6.0;

pub(super) fn roles() -> [Role; 4] {
    [reader(), platform_running(), platform_spreading(), goosectl()]
}

fn reader() -> Role {
    Role {
        name: "Settings reader (a balancer that rendezvous hashing picks, two a zone)",
        state: "As a balancer; nobody is elected, a reader that goes is replaced by the next rank.",
        rows: vec![
            row(
                Bytes,
                "watch and changed subtrees, on top of a balancer's own",
                &[
                    rated("tree", "subtree_bytes", Line(MEAN_ACCOUNT), CHANGES),
                    counted(
                        (WATCHES + 2.0 * CHANGES) * EXCHANGE_BYTES,
                        "580 B an HTTP exchange (counted)",
                    ),
                ],
            ),
            row(
                Bytes,
                "instance list, read whole every 5 s",
                &[rated("tree", "list_bytes", Line(SERVICES), LIST_READS)],
            ),
            row(
                Processor,
                "parse and check of each change",
                &[rated("tree", "change_ms", Line(SERVICES), CHANGES * US)],
            ),
            row(
                Settled,
                "one change, until in force on 1,600 balancers",
                &[measured("control", "change_ms", Point(BALANCERS))],
            ),
        ],
        proposal: "The list has no changes to ask for, only the whole. Agents are known from the \
                   settings, and that one is down from its peers; the list is needed at the start \
                   and as a check. Read every 10 min it costs 4 KB/s.",
    }
}

fn platform_running() -> Role {
    Role {
        name: "Platform's reads, daemons as they run today",
        state: "Read only. Every node holds a watch that waits 10 s; each change ends all of them.",
        rows: vec![
            row(Reads, "waiting watches", &[counted(NODES * WATCHES, "11,600 nodes every 10 s")]),
            row(
                Reads,
                "watches ended by changes",
                &[counted(NODES * CHANGES, "11,600 nodes, 3,800 changes a day")],
            ),
            row(
                Reads,
                "subtrees read by balancers",
                &[counted(BALANCERS * CHANGES, "1,600 balancers, 3,800 changes a day")],
            ),
            row(
                Reads,
                "instance list",
                &[counted(BALANCERS * LIST_READS, "1,600 balancers every 5 s")],
            ),
            row(
                Reads,
                "sum",
                &[
                    counted(NODES * WATCHES, "watches"),
                    counted(NODES * CHANGES, "ended watches"),
                    counted(BALANCERS * CHANGES, "subtrees"),
                    counted(BALANCERS * LIST_READS, "list"),
                ],
            ),
        ],
        proposal: "Readers by rendezvous hashing, as below; agents learn versions from packets and \
                   peers and need no watch.",
    }
}

fn platform_spreading() -> Role {
    Role {
        name: "Platform's reads, with spreading by the core (not wired in yet)",
        state: "Read only; reads grow with zones and changes, not with nodes.",
        rows: vec![row(
            Reads,
            "sum of watches, subtrees and the list, 34 readers",
            &[
                counted(READERS * WATCHES, "watches"),
                counted(READERS * 2.0 * CHANGES, "ended watches and subtrees"),
                counted(READERS * LIST_READS, "list"),
            ],
        )],
        proposal: "Nothing misses.",
    }
}

fn goosectl() -> Role {
    Role {
        name: "goosectl (an operator's shell, runs for seconds)",
        state: "None. `check` reads one subtree; other commands ask daemons, one exchange each.",
        rows: vec![row(
            Elapsed,
            "processor time of `check` of a subtree: at most a balancer's whole change",
            &[measured("tree", "change_ms", Line(SERVICES))],
        )],
        proposal: "Not a node, so nothing is limited. Asking all 11,600 nodes (`status`) was not \
                   measured.",
    }
}
