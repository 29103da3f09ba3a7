//! HTTP server that serves [`Routes`] with gotham on threads of its own.

use std::net::{SocketAddr, TcpListener};
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::thread;

use futures_util::future;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::http_body_util::{BodyExt as _, Limited};
use gotham::hyper::{StatusCode, Uri};
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::State;

use super::routes::{Handler, Method, REQUEST_BYTES_MAX, Reply, Request, Route, Routes};
use crate::fault::StartFault;

/// Threads that run handlers. There are two, so that one slow request does not delay a probe of
/// `/healthz`.
const WORKER_THREADS: usize = 2;

/// Binds `address`, serves `routes` in the background until the process ends, and returns the bound
/// address.
///
/// The socket is bound before this returns, so that a port in use is reported at start-up.
///
/// ```
/// use std::time::Duration;
/// use shell::http::{client::Client, routes::{Reply, Routes}, start};
/// let routes = Routes::default().get("/healthz", |_| Reply::text("ok"));
/// let address = start("127.0.0.1:0".parse().unwrap(), routes).unwrap();
/// assert_eq!(Client::new(Duration::from_secs(5)).get(address, "/healthz").unwrap(), b"ok");
/// ```
pub fn start(address: SocketAddr, routes: Routes) -> Result<SocketAddr, StartFault> {
    let listener = listen(address)?;
    let bound = listener.local_addr().map_err(|error| StartFault::bind(address, &error))?;
    serve(vec![listener], routes)?;
    Ok(bound)
}

/// Binds several addresses and serves `routes` on all of them with one set of threads.
pub fn start_all(addresses: &[SocketAddr], routes: Routes) -> Result<(), StartFault> {
    let listeners: Result<Vec<TcpListener>, StartFault> =
        addresses.iter().map(|address| listen(*address)).collect();
    serve(listeners?, routes)
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartFault> {
    let listener = TcpListener::bind(address).map_err(|error| StartFault::bind(address, &error))?;
    listener.set_nonblocking(true).map_err(|e| StartFault::thread(&e))?;
    Ok(listener)
}

fn serve(listeners: Vec<TcpListener>, routes: Routes) -> Result<(), StartFault> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .thread_name("http")
        .enable_all()
        .build()
        .map_err(|e| StartFault::thread(&e))?;
    let router = router(routes);
    let run = move || {
        runtime.block_on(async move {
            let servers =
                listeners.into_iter().map(|listener| serve_listener(listener, router.clone()));
            future::join_all(servers).await;
        });
    };
    let spawned = thread::Builder::new().name("http-accept".into()).spawn(run);
    spawned.map(|_| ()).map_err(|e| StartFault::thread(&e))
}

async fn serve_listener(listener: TcpListener, router: Router) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => gotham::bind_server(listener, router, future::ok).await,
        Err(error) => log::error!("cannot serve HTTP: {error}"),
    }
}

fn router(routes: Routes) -> Router {
    build_simple_router(|builder| {
        for route in routes.routes {
            let Route { method, path, handler } = route;
            // A handler that panics poisons its locks. All users of these locks tolerate that.
            let handler = AssertUnwindSafe(handler);
            let new_handler = move || {
                let handler = Arc::clone(&handler);
                Ok(move |state: State| handle(state, method, handler))
            };
            match method {
                Method::Get => builder.get(path).to_new_handler(new_handler),
                Method::Post => builder.post(path).to_new_handler(new_handler),
            }
        }
    })
}

fn handle(mut state: State, method: Method, handler: Handler) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let query = state.borrow::<Uri>().query().unwrap_or_default().to_owned();
        let body = match method {
            Method::Get => Some(Vec::new()),
            Method::Post => read_body(state.take::<Body>()).await,
        };
        let reply = match body {
            Some(body) => handler(&Request { query, body }),
            None => Reply::error(413, "body too large or cut off"),
        };
        let status = StatusCode::from_u16(reply.status);
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mime = reply.content_type.parse().unwrap_or(mime::TEXT_PLAIN);
        let response = create_response(&state, status, mime, reply.body);
        Ok((state, response))
    })
}

async fn read_body(body: Body) -> Option<Vec<u8>> {
    let collected = Limited::new(body, REQUEST_BYTES_MAX).collect().await.ok()?;
    Some(collected.to_bytes().to_vec())
}
