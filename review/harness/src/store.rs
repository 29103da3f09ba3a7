//! The platform's metadata store of PROTOCOL.md, for reading over HTTP: `kv-key`, `kv-range` in
//! pages, `kv-watch` with a history. Writes are calls of this process: those of servers and of the
//! on-call engineer.

use std::collections::BTreeMap;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    items: BTreeMap<String, Value>,
    history: Vec<(u64, Value)>,
    rev: u64,
    /// The store is down: it answers every call with 503.
    down: bool,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
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

    /// Writes an item; the return is the store's ack.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        let created = state.items.get(key).map_or(rev, |item| item["created"].as_u64().unwrap());
        let item = json!({"key": key, "value": STANDARD.encode(value.to_string()), "rev": rev,
            "created": created, "lease": 0});
        state.items.insert(key.into(), item.clone());
        state.history.push((rev, item));
        self.changed.notify_all();
        rev
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.rev += 1;
            let rev = state.rev;
            state.history.push((rev, json!({"key": key, "rev": rev, "removed": true})));
            self.changed.notify_all();
        }
    }

    /// Takes the store down (503, "busy"), or brings it back.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_all();
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
            let text = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Length: {}\r\nContent-Type: application/json\r\n\r\n",
                text.len()
            );
            writer.write_all((head + &text).as_bytes())?;
        }
    }

    fn answer(&self, target: &str) -> (u16, Value) {
        // An answer of the store takes 4 ms.
        thread::sleep(Duration::from_millis(4));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
        };
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = field("prefix").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        if state.down {
            return (503, json!({}));
        }
        match path {
            "/-/kv-key" => match state.items.get(&field("key").unwrap_or_default()) {
                Some(item) => {
                    let mut item = item.clone();
                    item["asOf"] = state.rev.into();
                    (200, item)
                }
                None => (404, json!({})),
            },
            "/-/kv-range" => {
                let after = field("after").unwrap_or_default();
                let matching: Vec<&Value> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(_, item)| item)
                    .collect();
                let more = matching.len() > PAGE_ITEMS;
                let items = &matching[..matching.len().min(PAGE_ITEMS)];
                (200, json!({"items": items, "hasMore": more, "asOf": state.rev}))
            }
            "/-/kv-watch" => {
                let after = number("after").unwrap_or_default();
                let wait = Duration::from_millis(number("waitMs").unwrap_or_default().min(30_000));
                let deadline = Instant::now() + wait;
                loop {
                    if state.down {
                        return (503, json!({}));
                    }
                    let events: Vec<&Value> = state
                        .history
                        .iter()
                        .filter(|(rev, event)| {
                            *rev > after && event["key"].as_str().unwrap().starts_with(&prefix)
                        })
                        .map(|(_, event)| event)
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (200, json!({"events": events, "asOf": state.rev}));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => (404, json!({})),
        }
    }
}

fn unescape(text: &str) -> String {
    let (mut out, bytes) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| bytes.get(at + 1..at + 3)).flatten();
        let code = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
