//! Sending messages to other processes.

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

/// Most messages that wait for one receiver; more are dropped and count as lost.
const MAX_WAITING_MESSAGES: usize = 100_000;
/// Most messages in one call.
const MAX_MESSAGES_PER_CALL: usize = 256;
/// Most calls to one receiver that wait for their reply.
const MAX_OPEN_CALLS: usize = 16;
/// Time after which a call is given up and its connection is believed dead.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without messages after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Counts of what was sent since the process started.
#[derive(Debug, Default)]
pub struct OutboxCounters {
    /// Messages handed over.
    pub messages: AtomicU64,
    /// Calls made; each carries one or more messages.
    pub calls: AtomicU64,
    /// Messages that were lost on this side.
    pub lost_messages: AtomicU64,
}

/// A message on its way, with the incarnations of its sender and its receiver.
#[derive(Debug)]
struct Waiting {
    from: Incarnation,
    to: Incarnation,
    message: Message,
}

/// Sends messages; never blocks, and may lose them.
#[derive(Clone, Debug)]
pub struct Outbox {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    runtime: Handle,
    own_address: SocketAddr,
    senders: Mutex<BTreeMap<SocketAddr, mpsc::Sender<Waiting>>>,
    counters: OutboxCounters,
}

impl Outbox {
    /// Returns an outbox whose envelopes name `own_address` as the sender.
    pub fn new(runtime: Handle, own_address: SocketAddr) -> Self {
        let senders = Mutex::new(BTreeMap::new());
        let counters = OutboxCounters::default();
        Self { shared: Arc::new(Shared { runtime, own_address, senders, counters }) }
    }

    /// Returns what was sent since the process started.
    pub fn counters(&self) -> &OutboxCounters {
        &self.shared.counters
    }

    /// Sends a message from `from`.
    pub fn send(&self, from: Incarnation, to: Destination, message: Message) {
        self.shared.counters.messages.fetch_add(1, Ordering::Relaxed);
        let mut senders = self.shared.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = senders.entry(to.address).or_insert_with(|| self.connect(to.address));
        let waiting = Waiting { from, to: to.incarnation, message };
        let lost = match sender.try_send(waiting) {
            Ok(()) => None,
            Err(mpsc::error::TrySendError::Full(_)) => Some(()),
            Err(mpsc::error::TrySendError::Closed(waiting)) => {
                *sender = self.connect(to.address);
                sender.try_send(waiting).err().map(|_| ())
            }
        };
        if lost.is_some() {
            self.shared.counters.lost_messages.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn connect(&self, address: SocketAddr) -> mpsc::Sender<Waiting> {
        let (sender, receiver) = mpsc::channel(MAX_WAITING_MESSAGES);
        let link = Link { shared: Arc::clone(&self.shared), address };
        self.shared.runtime.spawn(link.run(receiver));
        sender
    }
}

/// The sending side of the connections to one receiver.
struct Link {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Link {
    async fn run(self, mut receiver: mpsc::Receiver<Waiting>) {
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
            let Ok(permit) = permit else { return };
            if client.as_ref().is_none_or(|client| !client.is_connected()) {
                client = self.open().await;
            }
            let Some(open) = &client else {
                self.count_lost(batch.len());
                batch.clear();
                continue;
            };
            let open = Arc::clone(open);
            let envelopes = self.envelopes(&mut batch);
            let shared = Arc::clone(&self.shared);
            shared.counters.calls.fetch_add(envelopes.len() as u64, Ordering::Relaxed);
            tokio::spawn(async move {
                for envelope in envelopes {
                    let count = envelope.messages.len() as u64;
                    if open.deliver(envelope).await.is_err() {
                        shared.counters.lost_messages.fetch_add(count, Ordering::Relaxed);
                    }
                }
                drop(permit);
            });
        }
    }

    async fn open(&self) -> Option<Arc<WsClient>> {
        let builder = WsClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .connection_timeout(CONNECT_TIMEOUT)
            .set_tcp_no_delay(true)
            .max_request_size(MAX_CALL_BYTES)
            .max_response_size(MAX_CALL_BYTES);
        builder.build(format!("ws://{}", self.address)).await.ok().map(Arc::new)
    }

    /// One envelope for each pair of incarnations.
    fn envelopes(&self, batch: &mut Vec<Waiting>) -> Vec<Envelope> {
        let mut by_pair: BTreeMap<(Incarnation, Incarnation), Vec<Message>> = BTreeMap::new();
        for waiting in batch.drain(..) {
            by_pair.entry((waiting.from, waiting.to)).or_default().push(waiting.message);
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
