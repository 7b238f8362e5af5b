//! A stand-in of the platform's store: topics that retain the newest record of each key.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response, response},
    json::quote,
};

const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time for each answer, as the pages give it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<Topics>>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let server = store.clone();
        http::serve(address, move |request| server.answer(&request))?;
        Ok(store)
    }

    /// Writes a record, as the operator does; without a value, the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        records.len() as u64 - 1
    }

    fn records(&self, topic: &str) -> Vec<(String, Vec<u8>)> {
        self.topics.lock().unwrap().get(topic).cloned().unwrap_or_default()
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        thread::sleep(ANSWER_TIME);
        let topic = request.parameter("topic").unwrap_or_default();
        match request.path.as_str() {
            "/v1/log-newest" => response(200, self.newest(topic)),
            "/v1/log-read" => response(200, self.read(topic, request)),
            "/v1/log-append" => {
                let body = &request.body;
                let key_bytes = usize::from(*body.get(4)?);
                let key = String::from_utf8_lossy(body.get(5..5 + key_bytes)?).into_owned();
                let offset = self.put(topic, &key, &body[5 + key_bytes..]);
                response(200, format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1))
            }
            _ => response(404, ""),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let records = self.records(topic);
        let newest: BTreeMap<&String, (usize, &Vec<u8>)> =
            records.iter().enumerate().map(|(at, (key, value))| (key, (at, value))).collect();
        let items =
            newest.iter().filter(|(_, (_, value))| !value.is_empty()).map(|(key, (at, value))| {
                format!(
                    "{{\"key\":{},\"value\":\"{}\",\"offset\":{at}}}",
                    quote(key),
                    base64(value)
                )
            });
        let items = items.collect::<Vec<_>>().join(",");
        format!("{{\"items\":[{items}],\"more\":false,\"end\":{}}}", records.len())
    }

    fn read(&self, topic: &str, request: &Request) -> Vec<u8> {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let end = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        loop {
            let records = self.records(topic);
            if records.len() > from || Instant::now() >= end {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return body;
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(group >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
