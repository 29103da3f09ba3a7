//! HTTP endpoint of the agent.

use std::sync::{Arc, mpsc};
use std::time::Duration;

use decision::keys::FlowId;
use serde::Serialize;
use shell::http::routes::Request as HttpRequest;
use shell::http::routes::{Reply, Routes};
use shell::settings_sync::{Keyrings, serve};
use shell::status::{self, StatusSource};

use crate::explain::ExplainResponse;
use crate::plane::{FlowEntry, FlowList, FlowQuery, Request};

/// Flows listed if the request gives no limit.
const FLOWS_DEFAULT: usize = 100;
/// Maximum number of flows in one response. Collecting that many delays packets by about 100 us.
const FLOWS_MAX: usize = 10_000;
/// The data thread checks for requests at least every 25 ms. A reply that takes longer than this
/// timeout means that the thread is stuck or overloaded.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Response to `/flows`, `/flows?limit=N` and `/flows?flow=ID`.
#[derive(Debug, Serialize)]
struct FlowsResponse {
    instance: Arc<str>,
    /// Total number of open flows.
    open: usize,
    /// The flows that the query selects.
    flows: Vec<FlowItem>,
}

/// One flow of the response. Ids are hexadecimal.
#[derive(Debug, Serialize)]
struct FlowItem {
    flow: String,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    holder: Option<String>,
}

/// Returns all routes of an agent.
pub(crate) fn routes(
    status_source: &StatusSource,
    keyrings: &Keyrings,
    requests: mpsc::Sender<Request>,
) -> Routes {
    let routes = status::routes(Routes::default(), status_source);
    let instance = status_source.instance.clone();
    let (explain_requests, explain_instance) = (requests.clone(), instance.clone());
    let flows = move |request: &HttpRequest| {
        let Some(query) = flow_query(request) else {
            return Reply::error(400, "flow is not a hexadecimal id");
        };
        match query_data_thread(&requests, |reply| Request::Flows(query, reply)) {
            Some(list) => Reply::json(&flows_response(instance.clone(), list)),
            None => Reply::error(503, "not serving yet"),
        }
    };
    let routes = serve::routes(routes, &status_source.store, keyrings).get("/flows", flows);
    routes.get("/explain", move |request| explain(&explain_requests, &explain_instance, request))
}

fn explain(requests: &mpsc::Sender<Request>, instance: &Arc<str>, request: &HttpRequest) -> Reply {
    let flow = request.parameter("flow").and_then(|flow| u64::from_str_radix(flow, 16).ok());
    let Some(flow) = flow else {
        return Reply::error(400, "flow is not a hexadecimal id");
    };
    match query_data_thread(requests, |reply| Request::Explain(FlowId(flow), reply)) {
        Some((version, found)) => {
            Reply::json(&ExplainResponse::new(instance.clone(), version, &found))
        }
        None => Reply::error(503, "not serving yet"),
    }
}

fn flow_query(request: &HttpRequest) -> Option<FlowQuery> {
    if let Some(flow) = request.parameter("flow") {
        return u64::from_str_radix(flow, 16).ok().map(|flow| FlowQuery::ById(FlowId(flow)));
    }
    let limit = request.parameter("limit").and_then(|limit| limit.parse().ok());
    Some(FlowQuery::Limit(limit.unwrap_or(FLOWS_DEFAULT).min(FLOWS_MAX)))
}

/// Sends a request to the data thread and waits for the reply. Returns `None` on timeout.
fn query_data_thread<T>(
    requests: &mpsc::Sender<Request>,
    request: impl FnOnce(mpsc::SyncSender<T>) -> Request,
) -> Option<T> {
    let (reply, answer) = mpsc::sync_channel(1);
    requests.send(request(reply)).ok()?;
    answer.recv_timeout(REPLY_TIMEOUT).ok()
}

fn flows_response(instance: Arc<str>, list: FlowList) -> FlowsResponse {
    let show = |entry: FlowEntry| FlowItem {
        flow: format!("{:016x}", entry.flow.0),
        state: entry.state,
        holder: entry.holder.map(|holder| format!("{:016x}", holder.0)),
    };
    FlowsResponse { instance, open: list.open, flows: list.entries.into_iter().map(show).collect() }
}
