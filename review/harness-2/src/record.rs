//! What clients, servers and the platform have seen, with times, and what of it breaks a rule.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Client's end and platform's end of a flow.
pub type Flow = (SocketAddrV4, SocketAddrV4);

#[derive(Clone)]
pub struct Record {
    began: Instant,
    books: Arc<Mutex<Books>>,
}

/// The first packet of a flow: when the client sent it, and which server boots got it when.
#[derive(Clone, Default)]
pub struct Opening {
    pub kind: &'static str,
    /// The balancer to which the first copy went.
    pub edge: Option<SocketAddrV4>,
    pub sent_ms: u64,
    /// How the attempt ended, if the flow never opened.
    pub failed: Option<&'static str>,
    pub arrived: Vec<(String, u32, u64)>,
}

#[derive(Default)]
pub struct Books {
    lines: Vec<(u64, String)>,
    pub openings: HashMap<Flow, Opening>,
    /// Server and boot that hold an open flow.
    pub open: HashMap<Flow, (String, u32)>,
    pub runs: HashMap<String, u32>,
    pub broken: BTreeMap<&'static str, Vec<(u64, String)>>,
    pub counts: BTreeMap<&'static str, u64>,
    /// Requests that were at work or queued when a server ended, by server and boot.
    pub cut: Vec<(String, u32, Vec<String>, Vec<String>)>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), books: Arc::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn lock(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn note(&self, line: impl Into<String>) {
        let line = (self.now_ms(), line.into());
        self.lock().lines.push(line);
    }

    pub fn count(&self, what: &'static str) {
        *self.lock().counts.entry(what).or_default() += 1;
    }

    pub fn broken(&self, rule: &'static str, what: impl Into<String>) {
        let (now_ms, what) = (self.now_ms(), what.into());
        let mut books = self.lock();
        books.lines.push((now_ms, format!("BROKEN {rule}: {what}")));
        books.broken.entry(rule).or_default().push((now_ms, what));
    }

    pub fn opening_sent(&self, flow: Flow, kind: &'static str, edge: SocketAddrV4) {
        let sent_ms = self.now_ms();
        let opening = Opening { kind, edge: Some(edge), sent_ms, ..Opening::default() };
        self.lock().openings.insert(flow, opening);
        self.count("openings sent by clients");
    }

    pub fn opening_failed(&self, flow: Flow, how: &'static str) {
        if let Some(opening) = self.lock().openings.get_mut(&flow) {
            opening.failed = Some(how);
        }
    }

    pub fn opening_arrived(&self, server: &str, boot: u32, flow: Flow) {
        let now_ms = self.now_ms();
        let mut books = self.lock();
        let opening = books.openings.entry(flow).or_default();
        opening.arrived.push((server.to_owned(), boot, now_ms));
    }

    pub fn flow_opened(&self, flow: Flow, server: &str, boot: u32) {
        self.lock().open.insert(flow, (server.to_owned(), boot));
        self.count("flows opened at servers");
    }

    pub fn flow_closed(&self, flow: Flow) {
        self.lock().open.remove(&flow);
    }

    pub fn server_ended(&self, server: &str, boot: u32, at_work: Vec<String>, queued: Vec<String>) {
        self.note(format!(
            "server {server} (boot {boot}) ended; at work {at_work:?}, queued {queued:?}"
        ));
        let mut books = self.lock();
        books.open.retain(|_, (holder, of)| holder != server || *of != boot);
        books.cut.push((server.to_owned(), boot, at_work, queued));
    }

    pub fn request_runs(&self, request: &str, server: &str, boot: u32) {
        let runs = {
            let mut books = self.lock();
            let runs = books.runs.entry(request.to_owned()).or_default();
            *runs += 1;
            *runs
        };
        self.count("runs at servers");
        if runs > 1 && !request.starts_with("safe") {
            self.broken("UNASKED", format!("{request} runs again, at {server} (boot {boot})"));
        }
    }

    /// Writes everything to a file.
    pub fn write(&self, path: &Path, verdict: &str) -> anyhow::Result<()> {
        let books = self.lock();
        let mut text = String::new();
        for (at_ms, line) in &books.lines {
            writeln!(text, "{:>9.3} s  {line}", *at_ms as f64 / 1_000.0)?;
        }
        writeln!(text)?;
        for (what, count) in &books.counts {
            writeln!(text, "{count:>9}  {what}")?;
        }
        writeln!(text, "\n{verdict}")?;
        std::fs::write(path, text)?;
        Ok(())
    }
}
