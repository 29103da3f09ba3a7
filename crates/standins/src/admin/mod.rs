//! HTTP endpoints of the stand-ins, on gotham. One function answers all calls of an endpoint.

use std::future::Future;
use std::net::SocketAddr;
use std::panic::RefUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

use anyhow::Context as _;
use gotham::handler::{HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::http_body_util::BodyExt as _;
use gotham::hyper::header::{HeaderMap, RETRY_AFTER, USER_AGENT};
use gotham::hyper::{Method, Response, StatusCode, Uri};
use gotham::state::{FromState as _, State, client_addr};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Worker threads of an endpoint; only one, because the lab starts dozens of processes.
const WORKER_THREADS: usize = 1;

/// One HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without its question mark.
    pub query: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Identifies the client: its `User-Agent`, or else its address.
    pub reader: String,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Media type and body.
    pub body: (mime::Mime, Vec<u8>),
    /// Value of the `Retry-After` header.
    pub retry_after_s: Option<u32>,
}

/// Future of the response to a call.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Function that answers all calls of an endpoint.
pub type RespondFn = Arc<dyn Fn(Call) -> ReplyFuture + Send + Sync>;

impl Call {
    /// Method and path segments, for pattern matching.
    ///
    /// ```
    /// use standins::admin::Call;
    /// assert_eq!(Call::get("/admin/stats").route(), ("GET", vec!["admin", "stats"]));
    /// ```
    pub fn route(&self) -> (&str, Vec<&str>) {
        let segments = self.path.split('/').filter(|segment| !segment.is_empty());
        (self.method.as_str(), segments.collect())
    }

    /// Creates a `GET` call without a query or body.
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            query: String::new(),
            body: Vec::new(),
            reader: String::new(),
        }
    }

    /// Value of a query parameter.
    ///
    /// ```
    /// use standins::admin::Call;
    /// let call = Call { query: "after=7&wait_ms=10".to_owned(), ..Call::get("/v1/watch") };
    /// assert_eq!(call.parameter("after"), Some("7"));
    /// ```
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Parses the body as JSON and passes it to `apply`; answers 400 if it can't be parsed.
    pub fn with_json<T: DeserializeOwned>(&self, apply: impl FnOnce(T)) -> Reply {
        match serde_json::from_slice(&self.body) {
            Ok(value) => {
                apply(value);
                Reply::json(&"done")
            }
            Err(error) => Reply::text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

impl Reply {
    /// A successful response with a JSON body.
    pub fn json(value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => {
                let body = (mime::APPLICATION_JSON, body);
                Self { status: StatusCode::OK, body, retry_after_s: None }
            }
            Err(error) => Self::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    /// A response in plain text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        let body = (mime::TEXT_PLAIN_UTF_8, text.into().into_bytes());
        Self { status, body, retry_after_s: None }
    }

    /// The response for an unknown path.
    pub fn not_found() -> Self {
        Self::text(StatusCode::NOT_FOUND, "not found")
    }
}

/// Binds `address` and serves it on background threads until the process ends.
pub fn spawn(address: SocketAddr, respond: RespondFn) -> anyhow::Result<()> {
    let listener = std::net::TcpListener::bind(address)
        .with_context(|| format!("cannot listen on {address}/tcp"))?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    std::thread::Builder::new().name("admin".to_owned()).spawn(move || {
        runtime.block_on(async {
            // Does not fail in practice: the listener is non-blocking, as `from_std` requires.
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            gotham::bind_server(listener, Server(respond), futures_util::future::ok).await
        })
    })?;
    Ok(())
}

/// Wraps a function that answers without waiting.
pub fn immediate(respond: impl Fn(&Call) -> Reply + Send + Sync + 'static) -> RespondFn {
    Arc::new(move |call| Box::pin(std::future::ready(respond(&call))))
}

struct Server(RespondFn);

/// The state behind the function is reached only through mutexes, which are unwind-safe. After a
/// panic [`crate::shell::lock`] continues with the state as it is.
impl RefUnwindSafe for Server {}

impl NewHandler for Server {
    type Instance = Handler;

    fn new_handler(&self) -> anyhow::Result<Handler> {
        Ok(Handler(Arc::clone(&self.0)))
    }
}

struct Handler(RespondFn);

impl gotham::handler::Handler for Handler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let reply = match read_call(&mut state).await {
                Some(call) => (self.0)(call).await,
                None => Reply::text(StatusCode::BAD_REQUEST, "unreadable body"),
            };
            let response = respond(&state, reply);
            Ok((state, response))
        })
    }
}

async fn read_call(state: &mut State) -> Option<Call> {
    let body = Body::take_from(state).collect().await.ok()?.to_bytes().to_vec();
    let uri = Uri::borrow_from(state);
    let user_agent = HeaderMap::borrow_from(state).get(USER_AGENT);
    let user_agent = user_agent.and_then(|user_agent| user_agent.to_str().ok()).map(str::to_owned);
    let address = || client_addr(state).map(|address| address.to_string()).unwrap_or_default();
    Some(Call {
        method: Method::borrow_from(state).clone(),
        path: uri.path().to_owned(),
        query: uri.query().unwrap_or_default().to_owned(),
        body,
        reader: user_agent.unwrap_or_else(address),
    })
}

fn respond(state: &State, reply: Reply) -> Response<Body> {
    let (media_type, body) = reply.body;
    let mut response =
        gotham::helpers::http::response::create_response(state, reply.status, media_type, body);
    if let Some(seconds) = reply.retry_after_s {
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}
