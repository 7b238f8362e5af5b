//! HTTP server of a [`MemoryLog`], which stands in for the platform's log.

use std::{io::Read, net::SocketAddr, sync::Arc, thread};

use bulrushlatch_protocol::ids::Offset;
use serde::Serialize;
use tiny_http::{Method, Request, Response, Server};

use crate::{
    http_log::AppendReply,
    memory_log::{LogMode, MemoryLog},
    platform_log::{PlatformLog, StreamName},
};

/// Number of bytes that are read of a record; the rest of a longer record is cut off.
const MAX_RECORD_BYTES: u64 = 16 * 1024 * 1024;
/// Number of threads that serve requests.
const SERVER_THREADS: usize = 4;

/// A running log server; it serves until the process ends.
#[derive(Debug)]
pub struct LogServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// The served log, through which a test sets the mode or removes records.
    pub log: Arc<MemoryLog>,
}

impl LogServer {
    /// Starts a server with an empty log at `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error when `listen` cannot be bound.
    pub fn start(listen: SocketAddr) -> std::io::Result<Self> {
        let server = Arc::new(Server::http(listen).map_err(std::io::Error::other)?);
        let address = server.server_addr().to_ip().unwrap_or(listen);
        let log = Arc::new(MemoryLog::default());
        for _ in 0..SERVER_THREADS {
            let server = Arc::clone(&server);
            let log = Arc::clone(&log);
            thread::spawn(move || {
                for request in server.incoming_requests() {
                    serve(&log, request);
                }
            });
        }
        Ok(Self { address, log })
    }
}

fn serve(log: &MemoryLog, mut request: Request) {
    let response = match route(log, &mut request) {
        Ok(body) => Response::from_string(body),
        Err((status, message)) => Response::from_string(message).with_status_code(status),
    };
    // Fails if the client has disconnected; the client treats that as a lost reply.
    let _ = request.respond(response);
}

type RouteError = (u16, String);

fn route(log: &MemoryLog, request: &mut Request) -> Result<String, RouteError> {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    if let Some(mode) = path.strip_prefix("/v1/mode/") {
        let mode: LogMode = mode.parse().map_err(|_| (400, "unknown mode".to_owned()))?;
        log.set_mode(mode);
        return Ok(mode.to_string());
    }
    if let Some(rest) = path.strip_prefix("/v1/lapse/") {
        return trim(log, rest);
    }
    let not_found = || (404, "no such stream".to_owned());
    let stream = path.strip_prefix("/v1/streams/").ok_or_else(not_found)?;
    let stream: StreamName = stream.parse().map_err(|_| not_found())?;
    match request.method() {
        Method::Post => append(log, stream, request),
        Method::Get => read(log, stream, query),
        _ => Err((405, "use GET or POST".to_owned())),
    }
}

/// Serves `/v1/lapse/{stream}/{keep}`, which removes all but the last `keep` records.
fn trim(log: &MemoryLog, rest: &str) -> Result<String, RouteError> {
    let bad_path = || (400, "use /v1/lapse/{stream}/{records to keep}".to_owned());
    let (stream, keep) = rest.split_once('/').ok_or_else(bad_path)?;
    let stream: StreamName = stream.parse().map_err(|_| bad_path())?;
    let keep: usize = keep.parse().map_err(|_| bad_path())?;
    log.trim(stream, keep);
    Ok(String::new())
}

fn append(
    log: &MemoryLog,
    stream: StreamName,
    request: &mut Request,
) -> Result<String, RouteError> {
    let mut body = String::new();
    let mut reader = request.as_reader().take(MAX_RECORD_BYTES);
    reader.read_to_string(&mut body).map_err(|error| (400, error.to_string()))?;
    let offset = log.append(stream, &body).map_err(|error| {
        let status = if error.applied.is_safe_to_retry() { 503 } else { 500 };
        (status, error.message)
    })?;
    to_json(&AppendReply { offset })
}

fn read(log: &MemoryLog, stream: StreamName, query: &str) -> Result<String, RouteError> {
    let from: Offset = query_number(query, "from").unwrap_or(0);
    let max_records = query_number(query, "max").unwrap_or(1000) as usize;
    let page = log.read(stream, from, max_records).map_err(|error| (503, error.message))?;
    to_json(&page)
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
    value.parse().ok()
}

fn to_json<T: Serialize>(value: &T) -> Result<String, RouteError> {
    serde_json::to_string(value).map_err(|error| (500, error.to_string()))
}
