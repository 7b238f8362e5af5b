//! Stand-in of the platform's store: keyed topics with one partition each.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    time::{Duration, Instant},
};

use crate::http::{self, Request, Response};

#[derive(Default)]
struct State {
    /// Records of each topic in the order of their offsets; none expires.
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
}

#[derive(Clone)]
pub struct Store {
    pub address: String,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Whether the machines that use this address are turned away.
    is_closed: Arc<AtomicBool>,
}

impl Store {
    pub fn start(address: &str) -> std::io::Result<Self> {
        Self { address: address.to_owned(), state: Arc::default(), is_closed: Arc::default() }
            .serve()
    }

    /// Serves the same records at a further address.
    pub fn also_at(&self, address: &str) -> std::io::Result<Self> {
        let (address, state) = (address.to_owned(), Arc::clone(&self.state));
        Self { address, state, is_closed: Arc::default() }.serve()
    }

    fn serve(self) -> std::io::Result<Self> {
        let server = self.clone();
        http::serve(&self.address, move |request| server.answer(request))?;
        Ok(self)
    }

    /// Turns the machines that use this address away with 503, or serves them again.
    pub fn set_closed(&self, is_closed: bool) {
        self.is_closed.store(is_closed, Ordering::Relaxed);
        self.state.1.notify_all();
    }

    fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Writes a record; the return is its acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.to_vec()));
        changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        if self.is_closed() {
            return Response::new(503, "");
        }
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/v1/log-newest" => self.newest(&topic),
            "/v1/log-read" => self.read(request, &topic),
            "/v1/log-append" => {
                let mut rest = &request.body[..];
                while rest.len() >= 5 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + length];
                    let key_length = record[0] as usize;
                    let key = String::from_utf8_lossy(&record[1..1 + key_length]).into_owned();
                    self.put(&topic, &key, &record[1 + key_length..]);
                    rest = &rest[4 + length..];
                }
                Response::new(200, r#"{"offset":0,"end":1}"#)
            }
            _ => Response::new(404, ""),
        }
    }

    fn newest(&self, topic: &str) -> Response {
        let state = self.state.0.lock().unwrap();
        let records = state.topics.get(topic).cloned().unwrap_or_default();
        drop(state);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        Response::new(200, format!(r#"{{"items":[{items}],"more":false,"end":{end}}}"#))
    }

    fn read(&self, request: &Request, topic: &str) -> Response {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let end = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let count = state.topics.get(topic).map_or(0, Vec::len);
            let now = Instant::now();
            if self.is_closed() {
                return Response::new(503, "");
            }
            if count > from || now >= end {
                break;
            }
            state = changed.wait_timeout(state, end - now).unwrap().0;
        }
        let records = state.topics.get(topic).cloned().unwrap_or_default();
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        Response::new(200, body)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize] as char;
            text.push(if position <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
