//! Sends messages to other processes, called peers here, without blocking.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bulrushlatch_core::{
    effect::Destination,
    message::{Envelope, Message},
};
use bulrushlatch_protocol::ids::Incarnation;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::{
    runtime::Handle,
    sync::{Semaphore, mpsc},
};

use crate::peer_api::{MAX_CALL_BYTES, PeerApiClient};

/// Maximum number of messages queued for one peer; further ones are dropped and count as lost.
const MAX_QUEUED_MESSAGES: usize = 100_000;
/// Maximum number of messages in one call.
const MAX_MESSAGES_PER_CALL: usize = 256;
/// Maximum number of calls to one peer that wait for their replies.
const MAX_OPEN_CALLS: usize = 16;
/// Time without a reply after which a call fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without messages to a peer after which its connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Counters of sent messages and calls since the process started.
#[derive(Debug, Default)]
pub struct OutboxCounters {
    /// Messages passed to [`Outbox::send`].
    pub messages: AtomicU64,
    /// Calls made; each carries one or more messages.
    pub calls: AtomicU64,
    /// Messages lost because the queue was full, no connection could be opened or the call failed.
    pub lost_messages: AtomicU64,
}

/// A message that waits to be sent, with the incarnations of the sending and receiving process.
#[derive(Debug)]
struct QueuedMessage {
    from: Incarnation,
    to: Incarnation,
    message: Message,
}

/// Sends messages to other processes; never blocks, and may lose messages.
#[derive(Clone, Debug)]
pub struct Outbox {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    runtime: Handle,
    own_address: SocketAddr,
    senders: Mutex<BTreeMap<SocketAddr, mpsc::Sender<QueuedMessage>>>,
    counters: OutboxCounters,
}

impl Outbox {
    /// Returns an outbox whose envelopes name `own_address` as the sender.
    pub fn new(runtime: Handle, own_address: SocketAddr) -> Self {
        let senders = Mutex::new(BTreeMap::new());
        let counters = OutboxCounters::default();
        Self { shared: Arc::new(Shared { runtime, own_address, senders, counters }) }
    }

    /// Returns the counters since the process started.
    pub fn counters(&self) -> &OutboxCounters {
        &self.shared.counters
    }

    /// Queues a message from incarnation `from`; it is lost if the queue of the peer is full.
    pub fn send(&self, from: Incarnation, to: Destination, message: Message) {
        self.shared.counters.messages.fetch_add(1, Ordering::Relaxed);
        let mut senders = self.shared.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = senders.entry(to.address).or_insert_with(|| self.spawn_sender(to.address));
        let queued = QueuedMessage { from, to: to.incarnation, message };
        let is_queued = match sender.try_send(queued) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Full(_)) => false,
            Err(mpsc::error::TrySendError::Closed(queued)) => {
                *sender = self.spawn_sender(to.address);
                sender.try_send(queued).is_ok()
            }
        };
        if !is_queued {
            self.shared.counters.lost_messages.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn spawn_sender(&self, address: SocketAddr) -> mpsc::Sender<QueuedMessage> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let peer_sender = PeerSender { shared: Arc::clone(&self.shared), address };
        self.shared.runtime.spawn(peer_sender.run(receiver));
        sender
    }
}

/// Async task that sends the queued messages to one peer over one connection at a time.
struct PeerSender {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl PeerSender {
    async fn run(self, mut receiver: mpsc::Receiver<QueuedMessage>) {
        let open_calls = Arc::new(Semaphore::new(MAX_OPEN_CALLS));
        let mut client: Option<Arc<WsClient>> = None;
        let mut batch = Vec::new();
        loop {
            let received = receiver.recv_many(&mut batch, MAX_MESSAGES_PER_CALL);
            match tokio::time::timeout(IDLE_TIMEOUT, received).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            let permit = Arc::clone(&open_calls).acquire_owned().await;
            // Fails only if the semaphore is closed, which never happens.
            let Ok(permit) = permit else { return };
            if client.as_ref().is_none_or(|client| !client.is_connected()) {
                client = self.connect().await;
            }
            let Some(connected_client) = &client else {
                self.count_lost(batch.len());
                batch.clear();
                continue;
            };
            let connected_client = Arc::clone(connected_client);
            let envelopes = self.drain_to_envelopes(&mut batch);
            let shared = Arc::clone(&self.shared);
            shared.counters.calls.fetch_add(envelopes.len() as u64, Ordering::Relaxed);
            tokio::spawn(async move {
                for envelope in envelopes {
                    let count = envelope.messages.len() as u64;
                    if connected_client.deliver(envelope).await.is_err() {
                        shared.counters.lost_messages.fetch_add(count, Ordering::Relaxed);
                    }
                }
                drop(permit);
            });
        }
    }

    async fn connect(&self) -> Option<Arc<WsClient>> {
        let builder = WsClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .connection_timeout(CONNECT_TIMEOUT)
            .set_tcp_no_delay(true)
            .max_request_size(MAX_CALL_BYTES)
            .max_response_size(MAX_CALL_BYTES);
        builder.build(format!("ws://{}", self.address)).await.ok().map(Arc::new)
    }

    /// Drains `batch` into one envelope for each pair of sending and receiving incarnation.
    fn drain_to_envelopes(&self, batch: &mut Vec<QueuedMessage>) -> Vec<Envelope> {
        let mut by_pair: BTreeMap<(Incarnation, Incarnation), Vec<Message>> = BTreeMap::new();
        for queued in batch.drain(..) {
            by_pair.entry((queued.from, queued.to)).or_default().push(queued.message);
        }
        let from_address = self.shared.own_address;
        let envelopes = by_pair.into_iter().map(|((from, to), messages)| Envelope {
            from,
            from_address,
            to,
            messages,
        });
        envelopes.collect()
    }

    fn count_lost(&self, count: usize) {
        self.shared.counters.lost_messages.fetch_add(count as u64, Ordering::Relaxed);
    }
}
