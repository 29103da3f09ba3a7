//! The processes of the direct-return path, measured by the users' sweep over 30 to 300 instances.

use super::super::budget::Quantity::{Bytes, CpuTime, Memory};
use super::super::figure::Lookup::{Line, Point};
use super::super::figure::measured;
use super::{Role, row};

/// Instances of the users' target deployment, to which the fitted lines are extrapolated.
const TARGET_INSTANCES: f64 = 1_644.0;
/// Largest number of instances in the sweep.
const MAX_MEASURED_INSTANCES: f64 = 300.0;

pub(super) fn roles() -> Vec<Role> {
    vec![balancer(), agent()]
}

fn balancer() -> Role {
    Role {
        name: "Direct path: balancer",
        state: "Routes, the list of upstreams, other balancers, and a table of flows that serves as a cache. Measured \
                including the callers' packets: these grow with the share of the traffic, the rest with the fleet. The line \
                is fitted to the busiest process at 30, 100 and 300 instances, which is a reader. By design, not measured: \
                `delay_placement` and `overload_admission` keep tens of bytes for each upstream, under 1 MB for 10,000. The \
                first sends no message and no longer one; the second, off by default, exchanges a packet with each upstream that \
                refuses an opening.",
        rows: vec![
            row(
                Bytes,
                "busiest: beacons of a reader to each balancer, with changes of the list of upstreams; callers' packets",
                &[measured("sweep", "balancer_bytes_busiest", Line(TARGET_INSTANCES))],
            ),
            row(
                CpuTime,
                "busiest: the same",
                &[measured("sweep", "balancer_processor_busiest", Line(TARGET_INSTANCES))],
            ),
            row(
                Memory,
                "busiest: routes, upstreams, flows",
                &[measured("sweep", "balancer_memory_busiest", Line(TARGET_INSTANCES))],
            ),
            row(
                Bytes,
                "middle, at 300 instances: hellos, received beacons; callers' packets",
                &[measured("sweep", "balancer_bytes_middle", Point(MAX_MEASURED_INSTANCES))],
            ),
        ],
        proposal: "A reader notifies every balancer itself. Forwarding beacons and changes within each availability zone (one \
                   cross-zone message per zone and change) divides its traffic by the number of balancers in a zone; replies to \
                   hellos (1.2 KB at this size) need a limit on how many a reader sends a second.",
    }
}

fn agent() -> Role {
    Role {
        name: "Direct path: agent",
        state: "The flows of its own upstream, and nothing about the fleet: its load falls with its share of the traffic. \
                By design, not measured: at most 1,024 queued requests, and a few bytes for each flow and for the upstream's state.",
        rows: vec![
            row(
                Bytes,
                "busiest, at 300 instances: callers' packets, reports to balancers",
                &[measured("sweep", "agent_bytes_busiest", Point(MAX_MEASURED_INSTANCES))],
            ),
            row(
                CpuTime,
                "busiest, at 300 instances: the same",
                &[measured("sweep", "agent_processor_busiest", Point(MAX_MEASURED_INSTANCES))],
            ),
            row(
                Memory,
                "busiest: flows",
                &[measured("sweep", "agent_memory_busiest", Line(TARGET_INSTANCES))],
            ),
        ],
        proposal: "The traffic of the sweep is the same at each size, so an agent's share of it falls as the fleet grows \
                   and no line is extrapolated. At the target an agent has 3,700 flows and 12 new ones a second.",
    }
}
