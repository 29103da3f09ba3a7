//! Cost of the platform's list of instances for each process that reads it.

use balancer::liveness::Liveness;
use decision::view;
use shell::settings_sync::instances::InstanceList;

use super::tree::{median_ms, series_over};
use crate::results::Series;
use crate::world::DeploymentSize;

/// Numbers of services at which cost is measured; the list has an entry for each of their
/// upstreams.
const SERVICE_COUNTS: [usize; 4] = [475, 950, 1_425, 1_900];

/// Size of the list, time to parse it, and time in which a balancer derives from it which agents
/// are down.
pub(super) fn series() -> [Series; 4] {
    let x = "services (5.3 entries each)";
    let lost = "agents missing in the list (1,900 services)";
    [
        series_over("list_bytes", x, "B of JSON", &SERVICE_COUNTS, |services| {
            list_json(services).len() as f64
        }),
        series_over("list_parse_ms", x, "ms of processor", &SERVICE_COUNTS, list_parse_ms),
        series_over("liveness_ms", x, "ms of processor", &SERVICE_COUNTS, |services| {
            liveness_ms(services, 0)
        }),
        series_over("liveness_lost_ms", lost, "ms of processor", &[1, 150, 300, 588], |lost| {
            liveness_ms(1_900, lost)
        }),
    ]
}

fn list_parse_ms(services: usize) -> f64 {
    let json = list_json(services);
    median_ms(|| {
        std::hint::black_box(parse(&json));
    })
}

/// Time of one evaluation of a list that lacks `lost` agents and has not changed since the previous
/// evaluation.
fn liveness_ms(services: usize, lost: usize) -> f64 {
    let size = DeploymentSize::with_services(services);
    let view = view::build(&size.accounts());
    let mut list = parse(&list_json(services)).instances;
    let mut liveness = Liveness::default();
    liveness.down(&view, &list);
    list.truncate(list.len() - lost);
    liveness.down(&view, &list);
    median_ms(|| {
        assert_eq!(liveness.down(&view, &list).len(), lost);
    })
}

fn parse(json: &str) -> InstanceList {
    serde_json::from_str(json).expect("the generated list has the documented format")
}

fn list_json(services: usize) -> String {
    DeploymentSize::with_services(services).instances_json()
}
