//! The agent's HTTP endpoint.

use std::sync::Arc;

use serde::Serialize;
use shell::http::routes::{Reply, Routes};
use shell::settings_sync::serve;
use shell::status::{self, Shown};

use crate::counters::Counters;

/// The answer of `/flows`.
#[derive(Serialize)]
struct Flows {
    instance: Arc<str>,
    open: u64,
}

/// All routes of an agent.
pub(crate) fn routes(shown: &Shown, counters: &Counters) -> Routes {
    let routes = status::routes(Routes::default(), shown);
    let (instance, counters) = (shown.instance.clone(), counters.clone());
    let flows =
        move || Flows { instance: instance.clone(), open: counters.open_flows.get().max(0) as u64 };
    serve::routes(routes, &shown.store).get("/flows", move |_| Reply::json(&flows()))
}
