//! HTTP routes of the balancer.

use std::net::SocketAddr;
use std::sync::Arc;

use decision::keys::{FlowId, ServiceId};
use serde::Serialize;
use shell::http::routes::{Reply, Request, Routes};
use shell::settings_sync::{Keyrings, serve};
use shell::status::{self, StatusSource};

use crate::snapshot::PublishedSnapshot;

/// Response to `/explain?service=ID&flow=ID`.
#[derive(Debug, Serialize)]
struct ExplainResponse {
    instance: Arc<str>,
    /// Settings version of the service's account.
    version: u64,
    /// Data address of the agent that gets the flow's packets.
    home: Option<SocketAddr>,
}

/// All routes of a balancer. `/explain?service=ID&flow=ID` returns the home of a flow by the
/// snapshot in `published`.
pub fn routes(
    status_source: &StatusSource,
    keyrings: &Keyrings,
    published: Arc<PublishedSnapshot>,
) -> Routes {
    let routes = status::routes(Routes::default(), status_source);
    let instance = status_source.instance.clone();
    serve::routes(routes, &status_source.store, keyrings)
        .get("/explain", move |request| explain(&instance, &published, request))
}

fn explain(instance: &Arc<str>, published: &PublishedSnapshot, request: &Request) -> Reply {
    let id = |name| u64::from_str_radix(request.parameter(name)?, 16).ok();
    let (Some(service), Some(flow)) = (id("service"), id("flow")) else {
        return Reply::error(400, "service or flow is not a hexadecimal id");
    };
    let snapshot = published.newest();
    let Some(key) = snapshot.find_by_id(ServiceId(service)) else {
        return Reply::error(404, "no such service here");
    };
    Reply::json(&ExplainResponse {
        instance: instance.clone(),
        version: snapshot.service(key).version.0,
        home: snapshot.home(key, FlowId(flow)),
    })
}
