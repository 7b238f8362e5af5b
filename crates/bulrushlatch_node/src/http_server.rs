//! HTTP server that runs on the process's only thread.

use std::{future::Future, net::SocketAddr, rc::Rc, time::Duration};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::HeaderMap,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::interface::BodyResponse;

/// Time within which the head of a request must arrive once it has begun.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body of a request if the configuration sets no limit.
pub const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Size of a connection's buffer: small, since there are many clients with small requests.
const BUFFER_BYTES: usize = 16 << 10;

/// A request that has been read completely.
#[derive(Debug)]
pub struct ServerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// Handles the requests of a server.
pub trait ServerHandler: 'static {
    /// Returns the largest body that is accepted, in bytes.
    fn max_body_bytes(&self) -> usize {
        DEFAULT_MAX_BODY_BYTES
    }

    /// Returns the response to a request. The future is dropped when the client disconnects.
    fn handle(self: Rc<Self>, request: ServerRequest) -> impl Future<Output = BodyResponse>;
}

/// Opens a listener on an address.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Returns the next connection. Failures to accept one are logged and retried.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(%error, "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves connections until the process ends.
pub async fn serve<H: ServerHandler>(listener: TcpListener, handler: Rc<H>) {
    loop {
        let stream = accept(&listener).await;
        // Avoids delays of small responses. A failure is ignored: the connection works without it.
        let _ = stream.set_nodelay(true);
        let handler = Rc::clone(&handler);
        let service = service_fn(move |request| read_and_handle(Rc::clone(&handler), request));
        tokio::task::spawn_local(async move {
            let mut server = http1::Builder::new();
            server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            server.max_buf_size(BUFFER_BYTES);
            // A broken connection needs no handling here: the futures of its requests are dropped.
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn read_and_handle<H: ServerHandler>(
    handler: Rc<H>,
    request: Request<Incoming>,
) -> Result<BodyResponse, std::convert::Infallible> {
    let (head, body) = request.into_parts();
    let collected = Limited::new(body, handler.max_body_bytes()).collect();
    let body = match tokio::time::timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Ok(text_response(StatusCode::PAYLOAD_TOO_LARGE, "body too large")),
        Err(_) => return Ok(text_response(StatusCode::REQUEST_TIMEOUT, "body too slow")),
    };
    let request = ServerRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        headers: head.headers,
        body,
    };
    Ok(handler.handle(request).await)
}

/// Returns a response with a text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> BodyResponse {
    let mut response = Response::new(Full::new(Bytes::from(text.into())));
    *response.status_mut() = status;
    response
}
