//! Contract of the HTTP server and client.

mod common;

use std::time::Duration;

use common::serve;
use rstest::rstest;
use shell::http::client::{Client, ClientError};
use shell::http::routes::{REQUEST_BYTES_MAX, Reply, Routes};

fn client() -> Client {
    Client::new(Duration::from_secs(10))
}

fn routes() -> Routes {
    Routes::default()
        .get("/ok", |_| Reply::text("fine"))
        .get("/busy", |_| Reply::error(429, "later"))
        .get("/broken", |_| Reply::error(500, "oops"))
        .get("/query", |request| Reply::text(request.query.clone()))
        .post("/echo", |request| Reply::text(String::from_utf8_lossy(&request.body)))
}

fn busy(status: u16) -> ClientError {
    ClientError::Busy { status, retry_after_ms: 0 }
}

#[rstest]
#[case::ok("/ok", Ok("fine"))]
#[case::query("/query?after=7&limit=2", Ok("after=7&limit=2"))]
#[case::unknown_path("/none", Err(ClientError::Status(404)))]
#[case::wrong_method("/echo", Err(ClientError::Status(405)))]
#[case::over_budget("/busy", Err(busy(429)))]
#[case::server_error("/broken", Err(busy(500)))]
fn get_path(#[case] path: &str, #[case] expected: Result<&str, ClientError>) {
    let answer = client().get(serve(routes()), path);
    assert_eq!(answer, expected.map(|body| body.as_bytes().to_vec()));
}

#[rstest]
#[case::small(3, Ok(3))]
#[case::largest(REQUEST_BYTES_MAX, Ok(REQUEST_BYTES_MAX))]
#[case::too_large(REQUEST_BYTES_MAX + 1, Err(ClientError::Status(413)))]
fn post_body(#[case] bytes: usize, #[case] expected: Result<usize, ClientError>) {
    let answer = client().post(serve(routes()), "/echo", &vec![b'x'; bytes]);
    assert_eq!(answer.map(|body| body.len()), expected);
}

/// A port that is in use is reported at start-up, before the process serves anything.
#[test]
fn start_port_taken() {
    let address = serve(routes());
    let fault = shell::http::start(address, routes()).unwrap_err();
    assert_eq!(fault.code, settings::codes::PORT_TAKEN);
}
