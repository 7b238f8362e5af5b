//! RPC interface between processes.

use std::{net::SocketAddr, sync::Arc};

use bulrushlatch_core::message::Envelope;
use jsonrpsee::{
    core::{RpcResult, async_trait},
    proc_macros::rpc,
    server::{Server, ServerConfig, ServerHandle},
};

/// Largest accepted call.
pub const MAX_CALL_BYTES: u32 = 64 * 1024 * 1024;
/// Maximum number of connections from other processes.
const MAX_CONNECTIONS: u32 = 4096;

/// RPC interface of a process. A reply confirms only that the messages were received.
#[rpc(server, client)]
pub trait PeerApi {
    /// Delivers the messages of an envelope.
    #[method(name = "deliver")]
    async fn deliver(&self, envelope: Envelope) -> RpcResult<()>;
}

/// Handles the envelopes that other processes deliver; must not block for long.
pub trait EnvelopeReceiver: Send + Sync + 'static {
    /// Handles the messages of an envelope.
    fn receive(&self, envelope: Envelope);
}

struct PeerService<R> {
    receiver: Arc<R>,
}

#[async_trait]
impl<R: EnvelopeReceiver> PeerApiServer for PeerService<R> {
    async fn deliver(&self, envelope: Envelope) -> RpcResult<()> {
        self.receiver.receive(envelope);
        Ok(())
    }
}

/// A bound listener for calls from other processes.
///
/// Binding and serving are separate steps, since a process must know its port before it can create
/// its receiver.
#[derive(Debug)]
pub struct PeerListener {
    listener: tokio::net::TcpListener,
    address: SocketAddr,
}

impl PeerListener {
    /// Binds `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn bind(listen: SocketAddr) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves calls until the handle is dropped or stopped. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener cannot be converted or registered with the server.
    pub fn serve<R: EnvelopeReceiver>(self, receiver: Arc<R>) -> std::io::Result<ServerHandle> {
        let config = ServerConfig::builder()
            .ws_only()
            .max_request_body_size(MAX_CALL_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .set_tcp_no_delay(true)
            .build();
        let builder = Server::builder().set_config(config);
        let server = builder.build_from_tcp(self.listener.into_std()?)?;
        Ok(server.start(PeerService { receiver }.into_rpc()))
    }
}
