//! Routes of an endpoint, with their requests, replies and handlers.

use std::sync::Arc;

/// Largest request body that is accepted.
pub const REQUEST_BYTES_MAX: usize = 256 << 10;

/// The parts of a request that handlers need.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Query string, without the question mark.
    pub query: String,
    /// Request body, empty for GET.
    pub body: Vec<u8>,
}

/// A response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Response body.
    pub body: Vec<u8>,
}

/// Handles a request. Runs on a thread of the server and must not block.
pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Method {
    Get,
    Post,
}

/// A method and path with their handler.
#[derive(Clone)]
pub(super) struct Route {
    pub(super) method: Method,
    pub(super) path: &'static str,
    pub(super) handler: Handler,
}

/// Routes of an endpoint, in builder style.
#[derive(Clone, Default)]
pub struct Routes {
    pub(super) routes: Vec<Route>,
}

impl Routes {
    /// Adds a GET route.
    ///
    /// ```
    /// use shell::http::routes::{Reply, Routes};
    /// let routes = Routes::default().get("/healthz", |_| Reply::text("ok"));
    /// # let _ = routes;
    /// ```
    #[must_use]
    pub fn get(
        self,
        path: &'static str,
        handler: impl Fn(&Request) -> Reply + Send + Sync + 'static,
    ) -> Self {
        self.with(Method::Get, path, Arc::new(handler))
    }

    /// Adds a POST route.
    #[must_use]
    pub fn post(
        self,
        path: &'static str,
        handler: impl Fn(&Request) -> Reply + Send + Sync + 'static,
    ) -> Self {
        self.with(Method::Post, path, Arc::new(handler))
    }

    fn with(mut self, method: Method, path: &'static str, handler: Handler) -> Self {
        self.routes.push(Route { method, path, handler });
        self
    }
}

impl Request {
    /// Returns the value of a query parameter.
    ///
    /// The value is not percent-decoded, since valid names contain no characters that need escapes.
    ///
    /// ```
    /// use shell::http::routes::Request;
    /// let request = Request { query: "after=7&account=cascadia".into(), ..Request::default() };
    /// assert_eq!(request.parameter("account"), Some("cascadia"));
    /// assert_eq!(request.parameter("before"), None);
    /// ```
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns a query parameter as a number, zero if it is absent or malformed.
    ///
    /// ```
    /// use shell::http::routes::Request;
    /// let request = Request { query: "after=7".into(), ..Request::default() };
    /// assert_eq!(request.number("after"), 7);
    /// ```
    pub fn number(&self, name: &str) -> u64 {
        self.parameter(name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

impl Reply {
    /// Creates a plain-text reply with status 200.
    pub fn text(text: impl Into<String>) -> Self {
        let body = text.into().into_bytes();
        Self { status: 200, content_type: "text/plain; charset=utf-8", body }
    }

    /// Creates a binary reply with status 200, for the project's own protocols.
    pub fn bytes(body: Vec<u8>) -> Self {
        Self { status: 200, content_type: "application/octet-stream", body }
    }

    /// Creates a plain-text reply with an error status.
    pub fn error(status: u16, text: impl Into<String>) -> Self {
        Self { status, ..Self::text(text) }
    }

    /// Creates a JSON reply with status 200, or 500 if the value cannot be serialized.
    pub fn json(value: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self { status: 200, content_type: "application/json", body },
            Err(error) => Self::error(500, error.to_string()),
        }
    }
}
