//! HTTP client for one address that reuses its connections.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

use crate::call_gate::CallGate;

/// Maximum number of idle connections that are kept, about the number of simultaneous calls.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time-out for opening a connection, well above a round trip within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

type Connection = http1::SendRequest<Full<Bytes>>;

/// An HTTP response that has been read completely.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallError {
    /// The connection was refused; the call was not carried out.
    NotListening,
    /// No connection could be opened, or the call was held back; it was not carried out.
    Unreachable,
    /// The connection broke or the call timed out; the call may have been carried out.
    NoResponse,
}

/// HTTP client for one address. Clones share their idle connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<Connection>>>,
    /// Limits the calls after one that went unanswered.
    gate: Option<Rc<CallGate>>,
}

impl HttpClient {
    /// Returns a client for `address`, without opening a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Rc::default(), gate: None }
    }

    /// Returns a client like [`Self::new`] that opens few connections to a server that leaves calls
    /// unanswered.
    pub fn with_gate(address: SocketAddr) -> Self {
        Self { gate: Some(Rc::default()), ..Self::new(address) }
    }

    /// Returns the address that the client calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened, the connection breaks, the response does not
    /// arrive within `timeout`, or the call is not let through within it.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpReply, CallError> {
        let Some(gate) = &self.gate else {
            let result = time::timeout(timeout, self.call_without_timeout(request)).await;
            return result.unwrap_or(Err(CallError::NoResponse));
        };
        let is_let_through = Cell::new(false);
        let call = async {
            let _permit = gate.wait().await;
            is_let_through.set(true);
            self.call_without_timeout(request).await
        };
        let result = match time::timeout(timeout, call).await {
            Ok(result) => result,
            Err(_) if is_let_through.get() => Err(CallError::NoResponse),
            Err(_) => return Err(CallError::Unreachable),
        };
        match result {
            Ok(_) => gate.record_answer(),
            Err(CallError::NotListening) => {}
            Err(CallError::Unreachable | CallError::NoResponse) => gate.record_no_answer(),
        }
        result
    }

    async fn call_without_timeout(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<HttpReply, CallError> {
        if let Ok(host) = self.address.to_string().parse() {
            request.headers_mut().insert(HOST, host);
        }
        loop {
            let pooled = self.idle.borrow_mut().pop();
            let is_pooled = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) if connection.is_closed() => continue,
                Some(connection) => connection,
                None => self.connect().await?,
            };
            match connection.try_send_request(request).await {
                Ok(response) => {
                    let status = response.status().as_u16();
                    let body = response.into_body().collect().await;
                    let body = body.map_err(|_| CallError::NoResponse)?.to_bytes();
                    self.keep_idle(connection);
                    return Ok(HttpReply { status, body });
                }
                // The server had closed the idle connection, so the request was returned unsent.
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_pooled => request = unsent,
                    _ => return Err(CallError::NoResponse),
                },
            }
        }
    }

    fn keep_idle(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected.map_err(|_| CallError::Unreachable)?.map_err(|error| {
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                CallError::NotListening
            } else {
                CallError::Unreachable
            }
        })?;
        // Avoids delays of small requests. A failure is ignored: the connection works without it.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| CallError::Unreachable)?;
        tokio::task::spawn_local(async move {
            // The calls on a broken connection return the error.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
