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
        state: "Routes, the list of upstreams, other balancers, and a table of flows that is a shortcut. Measured with \
                the callers' packets in it: these grow with the share of the traffic, the rest with the fleet. The line \
                goes through the busiest process at 30, 100 and 300 instances, a reader.",
        rows: vec![
            row(
                Bytes,
                "busiest: beacons of a reader to each balancer, with the changes of the list; callers' packets",
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
                "middle, at 300 instances: hellos, beacons heard; callers' packets",
                &[measured("sweep", "balancer_bytes_middle", Point(MAX_MEASURED_INSTANCES))],
            ),
        ],
        proposal: "A reader tells every balancer by itself. Passing beacons and changes on within each availability zone \
                   (one crossing a zone and change) divides its part by the number of balancers in a zone; answers to \
                   hellos (1.2 KB at this size) need a bound on how many a reader gives a second.",
    }
}

fn agent() -> Role {
    Role {
        name: "Direct path: agent",
        state: "The flows of its own upstream, and nothing about the fleet: its part falls with the share of the traffic.",
        rows: vec![
            row(
                Bytes,
                "busiest, at 300 instances: callers' packets, words to balancers",
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
        proposal: "The traffic of the sweep is the same at each size, so an agent's share of it falls with the fleet and \
                   no line is carried on. At the target an agent has 3,700 flows and 12 new ones a second.",
    }
}
