//! HTTP calls to one address over connections that are kept open.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// Idle connections that are kept: about as many calls as are under way at once.
const MOST_IDLE: usize = 8;
/// Time in which a connection must be open, well above a round trip within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

type Connection = http1::SendRequest<Full<Bytes>>;

/// A response that has been read completely.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Why a call brought no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallError {
    /// Nobody listens at the address: nothing was done.
    NotListening,
    /// No connection could be opened: nothing was done.
    Unreachable,
    /// The connection broke or was silent: the call may have been carried out.
    NoResponse,
}

/// Calls one address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<Connection>>>,
}

impl HttpClient {
    /// Returns a client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Rc::default() }
    }

    /// Returns the address it calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls, and waits for the response at most `patience`.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        patience: Duration,
    ) -> Result<HttpReply, CallError> {
        let called = timeout(patience, self.call_patiently(request)).await;
        called.unwrap_or(Err(CallError::NoResponse))
    }

    async fn call_patiently(
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
                    self.keep(connection);
                    return Ok(HttpReply { status, body });
                }
                // Given back unsent: the other side had closed an idle connection.
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_pooled => request = unsent,
                    _ => return Err(CallError::NoResponse),
                },
            }
        }
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MOST_IDLE {
            idle.push(connection);
        }
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected.map_err(|_| CallError::Unreachable)?.map_err(|error| {
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                CallError::NotListening
            } else {
                CallError::Unreachable
            }
        })?;
        // Without it small calls may wait for more; it is no fault if it cannot be set.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| CallError::Unreachable)?;
        tokio::task::spawn_local(async move {
            // A broken connection shows in the calls that were made on it.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
