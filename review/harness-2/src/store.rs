//! The platform's store as the users' pages describe it: pages of about 500 items or 1 MB, watches
//! that return all events after a revision, and a history of 20 s.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

const HISTORY: Duration = Duration::from_secs(20);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
/// An answer takes as long when the store is well.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Contents {
    items: BTreeMap<String, (u64, String)>,
    history: VecDeque<(Instant, u64, String)>,
    /// The latest revision whose event is no longer in the history.
    forgotten: u64,
    revision: u64,
    /// Bytes of the largest answer to a watch so far.
    largest: usize,
}

#[derive(Clone, Default)]
pub struct Store {
    contents: Arc<Mutex<Contents>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn serve(&self, address: SocketAddrV4) -> anyhow::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(())
    }

    /// Writes an item; returns its revision. That is the ack.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        let text = STANDARD.encode(value.to_string());
        let mut contents = self.lock();
        contents.revision += 1;
        let revision = contents.revision;
        let event = json!({ "key": key, "value": text, "rev": revision, "created": 1, "lease": 0 });
        contents.items.insert(key.to_owned(), (revision, event.to_string()));
        contents.history.push_back((Instant::now(), revision, event.to_string()));
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut contents = self.lock();
        if contents.items.remove(key).is_some() {
            contents.revision += 1;
            let revision = contents.revision;
            let event = json!({ "key": key, "rev": revision, "removed": true });
            contents.history.push_back((Instant::now(), revision, event.to_string()));
            self.changed.notify_all();
        }
    }

    /// Bytes of the largest answer to a watch so far.
    pub fn largest_watch_answer(&self) -> usize {
        self.lock().largest
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        while contents.history.front().is_some_and(|(at, ..)| at.elapsed() > HISTORY) {
            if let Some((_, revision, _)) = contents.history.pop_front() {
                contents.forgotten = revision;
            }
        }
        contents
    }

    fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut header = String::new();
            while reader.read_line(&mut header)? > 2 {
                header.clear();
            }
            let (status, body) = self.answer(line.split(' ').nth(1).unwrap_or_default());
            thread::sleep(ANSWER);
            let length = body.len();
            write!(
                writer,
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
            )?;
            writer.write_all(body.as_bytes())?;
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let fields: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .map(|(name, value)| (name, unescape(value)))
            .collect();
        let text = |name: &str| fields.get(name).cloned().unwrap_or_default();
        match path {
            "/-/kv-range" => (200, self.range(&text("prefix"), &text("after"))),
            "/-/kv-watch" => {
                let number = |name| text(name).parse::<u64>().unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs").min(30_000));
                self.watch(&text("prefix"), number("after"), wait)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let contents = self.lock();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (_, item)) in &contents.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                more = true;
                break;
            }
            bytes += item.len();
            items.push(item.as_str());
        }
        let (items, revision) = (items.join(","), contents.revision);
        format!("{{\"items\":[{items}],\"hasMore\":{more},\"asOf\":{revision}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let limit = Instant::now() + wait;
        loop {
            let mut contents = self.lock();
            if after < contents.forgotten || after > contents.revision {
                return (410, "{}".to_owned());
            }
            let is_newer = |(_, revision, event): &&(Instant, u64, String)| {
                *revision > after && event.contains(&format!("\"key\":\"{prefix}"))
            };
            let events: Vec<&str> = contents
                .history
                .iter()
                .filter(is_newer)
                .map(|(.., event)| event.as_str())
                .collect();
            let left = limit.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), contents.revision);
                let body = format!("{{\"events\":[{events}],\"asOf\":{revision}}}");
                contents.largest = contents.largest.max(body.len());
                return (200, body);
            }
            drop(self.changed.wait_timeout(contents, left));
        }
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let code = others.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &others[2..];
            }
            _ => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
