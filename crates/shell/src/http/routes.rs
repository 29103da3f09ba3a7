//! Paths of an endpoint and the functions that answer on them.

use std::sync::Arc;

/// Largest body that a request may have.
pub const REQUEST_BYTES_MAX: usize = 256 << 10;

/// A request, reduced to what our handlers look at.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Part of the address after the question mark.
    pub query: String,
    /// Body, empty for GET.
    pub body: Vec<u8>,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

/// Answers a request. It runs on the server's thread and must not block.
pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Method of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Method {
    Get,
    Post,
}

/// One path with its handler.
#[derive(Clone)]
pub(super) struct Route {
    pub(super) method: Method,
    pub(super) path: &'static str,
    pub(super) handler: Handler,
}

/// Routes of an endpoint, added one by one.
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
    /// Value of a parameter of the query, not percent-decoded: our names need no escapes.
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

    /// A parameter as a number, zero if absent or malformed.
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
    /// Plain text with status 200.
    pub fn text(text: impl Into<String>) -> Self {
        let body = text.into().into_bytes();
        Self { status: 200, content_type: "text/plain; charset=utf-8", body }
    }

    /// Bytes of our own protocols.
    pub fn bytes(body: Vec<u8>) -> Self {
        Self { status: 200, content_type: "application/octet-stream", body }
    }

    /// An error with a line of text.
    pub fn error(status: u16, text: impl Into<String>) -> Self {
        Self { status, ..Self::text(text) }
    }

    /// A value as JSON.
    pub fn json(value: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self { status: 200, content_type: "application/json", body },
            Err(error) => Self::error(500, error.to_string()),
        }
    }
}
