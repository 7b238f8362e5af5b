//! HTTP client for one address that reuses its connections.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    body::{Body, Bytes, Incoming},
    client::conn::http1,
    header::HOST,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

use crate::{
    call_gate::CallGate,
    read_rate::{ReadPace, ReadRate},
};

/// Maximum number of idle connections that are kept, about the number of simultaneous calls.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time-out for opening a connection, well above a round trip within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Size of the parts in which responses are read at a limited rate: 33 ms on a link of 2 Mbit/s.
const PACED_PART_BYTES: usize = 8 << 10;

type Connection = http1::SendRequest<Full<Bytes>>;

/// An HTTP response that has been read completely.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

/// An HTTP response whose body is still arriving. Dropping it closes its connection.
#[derive(Debug)]
pub struct OpenReply {
    /// HTTP status code.
    pub status: u16,
    body: Incoming,
    /// Returned to the client at the end of the body.
    connection: Option<Connection>,
    client: HttpClient,
    /// Limits the rate at which the body is read.
    pace: Option<ReadPace>,
}

impl OpenReply {
    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks, or nothing arrives within `stall_timeout`.
    pub async fn next_part(&mut self, stall_timeout: Duration) -> Result<Option<Bytes>, CallError> {
        if let Some(pace) = &self.pace {
            pace.wait().await;
        }
        let next = time::timeout(stall_timeout, self.body.frame()).await;
        match next.map_err(|_| CallError::NoResponse)? {
            Some(Ok(frame)) => {
                let part = frame.into_data().unwrap_or_default();
                if let Some(pace) = &mut self.pace {
                    pace.record(part.len());
                }
                Ok(Some(part))
            }
            Some(Err(_)) => Err(CallError::NoResponse),
            None => {
                self.keep_connection();
                Ok(None)
            }
        }
    }

    async fn collect(mut self) -> Result<HttpReply, CallError> {
        let body = (&mut self.body).collect().await.map_err(|_| CallError::NoResponse)?.to_bytes();
        self.keep_connection();
        Ok(HttpReply { status: self.status, body })
    }

    /// Keeps the connection for further calls, since the body has ended.
    fn keep_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.client.keep_idle(connection);
        }
    }
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
    /// Rate at which responses are read; `None` if not limited.
    read_rate: Option<ReadRate>,
}

impl HttpClient {
    /// Returns a client for `address`, without opening a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Rc::default(), gate: None, read_rate: None }
    }

    /// Returns a client like [`Self::new`] that opens few connections to a server that leaves calls
    /// unanswered.
    pub fn with_gate(address: SocketAddr) -> Self {
        Self { gate: Some(Rc::default()), ..Self::new(address) }
    }

    /// Returns a client like [`Self::new`] that reads the parts of [`OpenReply`] at a limited rate.
    pub fn with_read_rate(address: SocketAddr, read_rate: Option<ReadRate>) -> Self {
        Self { read_rate, ..Self::new(address) }
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

    /// Sends a request and returns its response as soon as its head has arrived; the body is read
    /// with [`OpenReply::next_part`].
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened, the connection breaks, or the head of the
    /// response does not arrive within `timeout`.
    pub async fn open(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<OpenReply, CallError> {
        let opened = time::timeout(timeout, self.open_without_timeout(request)).await;
        opened.unwrap_or(Err(CallError::NoResponse))
    }

    async fn call_without_timeout(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpReply, CallError> {
        self.open_without_timeout(request).await?.collect().await
    }

    async fn open_without_timeout(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<OpenReply, CallError> {
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
                    let body = response.into_body();
                    let body_bytes = body.size_hint().lower();
                    let pace = self.read_rate.map(|rate| ReadPace::new(rate, body_bytes));
                    let (connection, client) = (Some(connection), self.clone());
                    return Ok(OpenReply { status, body, connection, client, pace });
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
        let mut builder = http1::Builder::new();
        if self.read_rate.is_some() {
            builder.max_buf_size(PACED_PART_BYTES);
        }
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| CallError::Unreachable)?;
        tokio::task::spawn_local(async move {
            // The calls on a broken connection return the error.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
