//! Cost of the platform's list of instances for each of its readers.

use balancer::liveness::Liveness;
use decision::view;
use shell::settings_sync::instances::InstanceList;

use super::tree::{median_ms, over};
use crate::results::Series;
use crate::world::WorldSize;

/// Services at which slopes are taken; the list has an entry for each of their upstreams.
const SERVICES: [usize; 4] = [475, 950, 1_425, 1_900];

/// Bytes and time of the list, and of what a balancer works out from it.
pub(super) fn series() -> [Series; 4] {
    let x = "services (5.3 entries each)";
    let lost = "agents missing in the list (1,900 services)";
    [
        over("list_bytes", x, "B of JSON", &SERVICES, |services| list(services).len() as f64),
        over("list_parse_ms", x, "ms of processor", &SERVICES, list_parse_ms),
        over("liveness_ms", x, "ms of processor", &SERVICES, |services| liveness_ms(services, 0)),
        over("liveness_lost_ms", lost, "ms of processor", &[1, 150, 300, 588], |lost| {
            liveness_ms(1_900, lost)
        }),
    ]
}

fn list_parse_ms(services: usize) -> f64 {
    let json = list(services);
    median_ms(|| {
        std::hint::black_box(parse(&json));
    })
}

/// One look at an unchanged list from which `lost` agents have gone.
fn liveness_ms(services: usize, lost: usize) -> f64 {
    let size = WorldSize::of_services(services);
    let view = view::build(&size.accounts());
    let mut list = parse(&list(services)).instances;
    let mut liveness = Liveness::default();
    liveness.down(&view, &list);
    list.truncate(list.len() - lost);
    liveness.down(&view, &list);
    median_ms(|| {
        assert_eq!(liveness.down(&view, &list).len(), lost);
    })
}

fn parse(json: &str) -> InstanceList {
    serde_json::from_str(json).expect("the list is as the platform documents it")
}

fn list(services: usize) -> String {
    WorldSize::of_services(services).instances_json()
}
