//! The agent's HTTP endpoint.

use std::sync::{Arc, mpsc};
use std::time::Duration;

use decision::keys::FlowId;
use serde::Serialize;
use shell::http::routes::Request as HttpRequest;
use shell::http::routes::{Reply, Routes};
use shell::settings_sync::{Keyrings, serve};
use shell::status::{self, Shown};

use crate::plane::{FlowEntry, FlowList, Request, Wanted};

/// Flows listed unless the request asks for another number.
const FLOWS_DEFAULT: usize = 100;
/// Most flows in one answer: collecting them stands in the way of packets for about 100 us.
const FLOWS_MAX: usize = 10_000;
/// The data thread looks for requests every 25 ms at least; beyond this it is in trouble.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The answer of `/flows`, `/flows?limit=N` and `/flows?flow=ID`.
#[derive(Debug, Serialize)]
struct Flows {
    instance: Arc<str>,
    /// Open flows in all.
    open: usize,
    /// Those wanted.
    flows: Vec<Flow>,
}

/// One flow; ids are hexadecimal.
#[derive(Debug, Serialize)]
struct Flow {
    flow: String,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    holder: Option<String>,
}

/// All routes of an agent.
pub(crate) fn routes(
    shown: &Shown,
    keyrings: &Keyrings,
    requests: mpsc::Sender<Request>,
) -> Routes {
    let routes = status::routes(Routes::default(), shown);
    let instance = shown.instance.clone();
    let flows = move |request: &HttpRequest| {
        let Some(wanted) = wanted(request) else {
            return Reply::error(400, "flow is not a hexadecimal id");
        };
        match ask(&requests, wanted) {
            Some(list) => Reply::json(&shown_flows(instance.clone(), list)),
            None => Reply::error(503, "not serving yet"),
        }
    };
    serve::routes(routes, &shown.store, keyrings).get("/flows", flows)
}

fn wanted(request: &HttpRequest) -> Option<Wanted> {
    if let Some(flow) = request.parameter("flow") {
        return u64::from_str_radix(flow, 16).ok().map(|flow| Wanted::One(FlowId(flow)));
    }
    let limit = request.parameter("limit").and_then(|limit| limit.parse().ok());
    Some(Wanted::Some(limit.unwrap_or(FLOWS_DEFAULT).min(FLOWS_MAX)))
}

fn ask(requests: &mpsc::Sender<Request>, wanted: Wanted) -> Option<FlowList> {
    let (reply, answer) = mpsc::sync_channel(1);
    requests.send(Request::Flows(wanted, reply)).ok()?;
    answer.recv_timeout(ANSWER_TIMEOUT).ok()
}

fn shown_flows(instance: Arc<str>, list: FlowList) -> Flows {
    let show = |entry: FlowEntry| Flow {
        flow: format!("{:016x}", entry.flow.0),
        state: entry.state,
        holder: entry.holder.map(|holder| format!("{:016x}", holder.0)),
    };
    Flows { instance, open: list.open, flows: list.entries.into_iter().map(show).collect() }
}
