//! HTTP server whose waiting requests occupy no thread.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{HeaderMap, HeaderName, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{net::TcpListener, runtime::Handle, sync::oneshot};

/// Time from the start of a request until its head must be complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept, for instance when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An HTTP response whose body is in memory.
pub type BodyResponse = Response<Full<Bytes>>;

/// Failure to read the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body has more bytes than the limit.
    TooLarge,
    /// The connection broke, or the body is not UTF-8.
    Unreadable,
}

/// A request that has been read completely.
#[derive(Debug)]
pub struct WebRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body as text, or the failure to read it.
    pub body: Result<String, BodyError>,
    /// Sends the response to this request.
    pub responder: Responder,
}

/// Sends the response to one request, at any time and from any thread.
///
/// Dropping it closes the connection without a response.
#[derive(Debug)]
pub struct Responder {
    sender: oneshot::Sender<BodyResponse>,
}

impl Responder {
    /// Sends the response; does nothing if the client has disconnected.
    pub fn respond(self, response: BodyResponse) {
        let _ = self.sender.send(response);
    }
}

/// Handles HTTP requests; must not block for long.
pub trait WebHandler: Send + Sync + 'static {
    /// Handles a request and sends the response through its responder, now or later.
    fn handle(&self, request: WebRequest);
}

/// Serves HTTP at `listen` as long as `runtime` runs, and returns the bound address.
///
/// # Errors
///
/// Returns an error when `listen` cannot be bound.
pub fn serve_http<H: WebHandler>(
    runtime: &Handle,
    listen: SocketAddr,
    max_body_bytes: usize,
    handler: Arc<H>,
) -> std::io::Result<SocketAddr> {
    let listener = runtime.block_on(TcpListener::bind(listen))?;
    let address = listener.local_addr()?;
    runtime.spawn(accept_connections(listener, max_body_bytes, handler));
    Ok(address)
}

async fn accept_connections<H: WebHandler>(
    listener: TcpListener,
    max_body_bytes: usize,
    handler: Arc<H>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without this option the kernel may delay small responses; failing to set it is harmless.
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { serve_request(request, max_body_bytes, &*handler).await }
        });
        tokio::spawn(async move {
            let mut server = http1::Builder::new();
            server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            // A broken connection needs no handling: the client sees it.
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Error that closes the connection when a responder was dropped, as if the process had died.
#[derive(Debug)]
struct NoResponse;

impl std::fmt::Display for NoResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no response was given")
    }
}

impl std::error::Error for NoResponse {}

async fn serve_request<H: WebHandler>(
    request: Request<Incoming>,
    max_body_bytes: usize,
    handler: &H,
) -> Result<BodyResponse, NoResponse> {
    let (head, body) = request.into_parts();
    let body = read_body(body, max_body_bytes).await;
    let (sender, receiver) = oneshot::channel();
    handler.handle(WebRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
        responder: Responder { sender },
    });
    receiver.await.map_err(|_| NoResponse)
}

async fn read_body(body: Incoming, max_body_bytes: usize) -> Result<String, BodyError> {
    let collected = Limited::new(body, max_body_bytes).collect().await;
    let collected = collected.map_err(|error| {
        if error.is::<LengthLimitError>() { BodyError::TooLarge } else { BodyError::Unreadable }
    })?;
    let bytes = collected.to_bytes().to_vec();
    String::from_utf8(bytes).map_err(|_| BodyError::Unreadable)
}

/// Returns a response whose body is `value` as JSON.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> BodyResponse {
    let body = serde_json::to_string(value).unwrap_or_else(|_| "{}".to_owned());
    with_header(text_response(status, body), "content-type", "application/json")
}

/// Returns a response with a text body.
pub fn text_response(status: u16, text: impl Into<String>) -> BodyResponse {
    let mut response = Response::new(Full::new(Bytes::from(text.into())));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Adds a header, unless `value` is not a valid header value.
pub fn with_header(mut response: BodyResponse, name: &'static str, value: &str) -> BodyResponse {
    let name = HeaderName::from_static(name);
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
    response
}
