//! Shared by the tests: HTTP servers with fixed or computed answers, and functions that run a
//! command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use goosectl::Exit;
use shell::http::routes::{Reply, Routes};

pub(crate) const ROOT: &str =
    "version: 3\naccounts: [{name: cascadia, prefixes: [203.0.113.0/28]}]\n";

/// The answer of a server for one path.
pub(crate) enum Body {
    Fixed(String),
    Computed(Arc<dyn Fn() -> String + Send + Sync>),
}

pub(crate) type Answers = Vec<(&'static str, Body)>;

/// The exit code and the output of a command line.
pub(crate) struct Output {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::Fixed(text)
    }
}

impl<F: Fn() -> String + Send + Sync + 'static> From<Arc<F>> for Body {
    fn from(compute: Arc<F>) -> Self {
        Self::Computed(compute)
    }
}

impl Body {
    fn text(&self) -> String {
        match self {
            Self::Fixed(text) => text.clone(),
            Self::Computed(compute) => compute(),
        }
    }
}

impl Output {
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {}{}", self.out, self.err))
    }
}

/// Serves answers on a free port of the loopback interface; other paths get status 404.
pub(crate) fn serve(answers: Answers) -> SocketAddr {
    let routes = answers.into_iter().fold(Routes::default(), |routes, (path, body)| {
        routes.get(path, move |_| Reply::text(body.text()))
    });
    shell::http::start("127.0.0.1:0".parse().unwrap(), routes).unwrap()
}

/// An address at which no process listens.
pub(crate) fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Runs goosectl in this process.
pub(crate) fn run(line: &str) -> Output {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let arguments = line.split_whitespace().map(Into::into);
    let exit = goosectl::run(arguments, &mut out, &mut err);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Output { exit, out: text(out), err: text(err) }
}

/// Creates a folder for one test.
pub(crate) fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Writes the settings file of a balancer with this platform address, and with `peer` as its own
/// control address.
pub(crate) fn balancer_file(name: &str, platform: SocketAddr, peer: SocketAddr) -> PathBuf {
    let yaml = format!(
        "instance: bal-2\nzone: pnw-a\nregion: pnw\ndata_address: 127.0.0.1:6080\n\
         control_address: {peer}\nplatform_address: {platform}\npeers: []\n\
         keys: [{{id: 1, secret_hex: \"{}\"}}]\nflow_key_hex: \"{}\"\n\
         receive_threads: 1\nshutdown_grace_ms: 0\n",
        "07".repeat(32),
        "07".repeat(16),
    );
    let path = folder(name).join("balancer.yaml");
    std::fs::write(&path, yaml).unwrap();
    path
}

/// Version 9 of an account's subtree, with one service of two upstreams.
pub(crate) fn subtree(shelf_1: SocketAddr, shelf_2: SocketAddr) -> String {
    let upstream = |number: u32, control: SocketAddr| {
        format!(
            "      - {{name: shelf-{number}, zone: pnw-a, weight: 100, max_flows: 9, \
             agent_address: \"127.20.1.{number}:6080\", control_address: \"{control}\", \
             address: \"127.30.1.{number}:6080\", state: active, since: 1}}\n"
        )
    };
    format!(
        "account: cascadia\nversion: 9\nservices:\n  - name: shelf\n    \
         addresses: [\"203.0.113.1:8443/tcp\"]\n    when_in_doubt: refuse\n    \
         zone_spill_percent: 25\n    upstreams:\n{}{}",
        upstream(1, shelf_1),
        upstream(2, shelf_2)
    )
}
