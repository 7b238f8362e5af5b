//! A stand-in of the platform's store: keyed topics with one partition.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Request, Response};

/// Time of an answer, as the users' sheets give it.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Topics to which only the operator and the runners write.
const FOREIGN_TOPICS: [&str; 2] = ["keyed.op", "keyed.servers"];

type Records = Vec<(String, Vec<u8>)>;

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<BTreeMap<String, Records>>>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let server = store.clone();
        http::serve(address, move |request| Some(server.answer(&request)))?;
        Ok(store)
    }

    fn topics(&self) -> MutexGuard<'_, BTreeMap<String, Records>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a record; returns the offset after it.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let mut topics = self.topics();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        records.len()
    }

    fn records(&self, topic: &str) -> Records {
        self.topics().get(topic).cloned().unwrap_or_default()
    }

    fn answer(&self, request: &Request) -> Response {
        thread::sleep(ANSWER_TIME);
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/v1/log-newest" => self.newest(topic),
            "/v1/log-read" => self.read(request, topic),
            "/v1/log-append" if FOREIGN_TOPICS.contains(&topic) => Response::new(403, ""),
            "/v1/log-append" => self.append(topic, &request.body),
            _ => Response::new(404, ""),
        }
    }

    fn newest(&self, topic: &str) -> Response {
        let records = self.records(topic);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        Response::new(200, format!(r#"{{"items":[{items}],"more":false,"end":{end}}}"#))
    }

    fn read(&self, request: &Request, topic: &str) -> Response {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        loop {
            let records = self.records(topic);
            if records.len() > from || Instant::now() >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Response::new(200, body);
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn append(&self, topic: &str, body: &[u8]) -> Response {
        let mut rest = body;
        let mut end = 0;
        while rest.len() > 5 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let Some(record) = rest.get(4..4 + length) else { return Response::new(400, "") };
            let key_length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=key_length]).into_owned();
            end = self.put(topic, &key, &record[1 + key_length..]);
            rest = &rest[4 + length..];
        }
        Response::new(200, format!(r#"{{"offset":{},"end":{end}}}"#, end.saturating_sub(1)))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) as usize & 63;
            text.push(if digit <= chunk.len() { DIGITS[index] as char } else { '=' });
        }
    }
    text
}
