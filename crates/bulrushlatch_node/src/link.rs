//! Links between processes: length-prefixed frames over TCP, encoded with postcard.

use std::{
    cell::Cell, convert::Infallible, future::poll_fn, net::SocketAddr, task::Poll, time::Duration,
};

use bulrushlatch_dispatch::{
    cordon::CordonNotice,
    crash::{CrashNotice, IsolationNotice},
    delegation::DelegationFrame,
    demand::{DemandStatement, DemandSummary},
    frame::{
        AgentFrame, CORDON_FRAME_VERSION, CRASH_FRAME_VERSION, DELEGATION_FRAME_VERSION,
        DEMAND_FRAME_VERSION, EntryFrame, FrameVersion, Hello, NEWEST_FRAME_VERSION,
        OLDEST_FRAME_VERSION, PeerFrame,
    },
};
use futures_util::{FutureExt, SinkExt, StreamExt};
use hyper::body::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, oneshot},
    time,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Size limit of a frame, large enough for a configuration of thousands of routes.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Maximum number of frames queued for a slow receiver; a frame beyond it closes the link.
const MAX_QUEUED_FRAMES: usize = 512;
/// Time-out for opening a link, well above a round trip between regions. A VM without power answers
/// nothing, and is to be reached soon after it returns.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Content of one frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// First frame in both directions.
    Hello(Hello),
    /// From an agent to an entry.
    Agent(AgentFrame),
    /// From an entry to an agent.
    Entry(EntryFrame),
    /// From an entry to another entry.
    Peer(PeerFrame),
    /// From an entry to an agent or another entry: link addresses of all entries it knows.
    Entries(Vec<SocketAddr>),
    /// From an entry to an agent or another entry: cordoned zones, on a new link and after a change.
    Cordons(CordonNotice),
    /// From an entry to another entry: delegated jobs and their answers.
    Delegation(DelegationFrame),
    /// From an entry to an agent that it uses.
    Demand(DemandStatement),
    /// From an agent to an entry that uses it.
    DemandSummary(DemandSummary),
    /// From an agent to an entry, before the frame that reports the runs at the target as lost.
    Crashes(CrashNotice),
    /// From an entry to another entry, or to an agent: what is isolated, on a change and at intervals.
    Isolation(IsolationNotice),
}

impl Frame {
    /// Returns the first version that has this kind of frame.
    fn since_version(&self) -> FrameVersion {
        match self {
            Self::Hello(_) | Self::Agent(_) | Self::Entry(_) | Self::Peer(_) | Self::Entries(_) => {
                OLDEST_FRAME_VERSION
            }
            Self::Cordons(_) => CORDON_FRAME_VERSION,
            Self::Delegation(_) => DELEGATION_FRAME_VERSION,
            Self::Demand(_) | Self::DemandSummary(_) => DEMAND_FRAME_VERSION,
            Self::Crashes(_) | Self::Isolation(_) => CRASH_FRAME_VERSION,
        }
    }

    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be encoded.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let mut bytes = postcard::to_stdvec(self)?;
        if let Self::Hello(hello) = self {
            bytes.extend(postcard::to_stdvec(&hello.newest_version)?);
        }
        Ok(bytes)
    }

    /// Decodes a frame; bytes after the fields that this build knows are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a frame of a version that this build speaks.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (mut frame, rest) = postcard::take_from_bytes(bytes)?;
        if let Self::Hello(hello) = &mut frame {
            // Builds of version 3 end here, and speak that version only.
            hello.newest_version =
                if rest.is_empty() { hello.version } else { postcard::from_bytes(rest)? };
        }
        Ok(frame)
    }
}

/// Sending half of a link. Dropping it closes the link.
#[derive(Debug)]
pub struct LinkSender {
    frames: mpsc::Sender<Frame>,
    /// Version of the frames that both ends speak.
    version: Cell<FrameVersion>,
    /// Ends the receiving half on drop, since it may be waiting on a connection that fell silent.
    _closing: oneshot::Sender<Infallible>,
}

impl LinkSender {
    /// Returns the version of the frames that both ends speak.
    pub fn version(&self) -> FrameVersion {
        self.version.get()
    }

    /// Sets the version of the frames, once the other end's hello has arrived.
    pub fn set_version(&self, version: FrameVersion) {
        self.version.set(version);
    }

    /// Queues a frame; returns `false` if the link is closed or its queue is full. A frame that the
    /// other end's version lacks is left out.
    pub fn send(&self, frame: Frame) -> bool {
        if frame.since_version() > self.version.get() {
            return true;
        }
        self.frames.try_send(frame).is_ok()
    }
}

/// Receiving half of a link.
#[derive(Debug)]
pub struct LinkReceiver {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    /// Ends when the sending half is dropped. It is polled with each frame, so it takes no lock.
    closed: oneshot::Receiver<Infallible>,
}

impl LinkReceiver {
    /// Returns the next frame, or `None` if the link is closed or a frame cannot be decoded.
    pub async fn receive(&mut self) -> Option<Frame> {
        let next = poll_fn(|context| {
            if self.closed.is_terminated() || self.closed.poll_unpin(context).is_ready() {
                return Poll::Ready(None);
            }
            self.frames.poll_next_unpin(context)
        });
        let bytes = next.await?.ok()?;
        match Frame::decode(&bytes) {
            Ok(frame) => Some(frame),
            Err(error) => {
                tracing::info!(%error, "frame cannot be decoded: closing the link");
                None
            }
        }
    }

    /// Returns the remote process's hello, or `None` if it does not arrive within `timeout`,
    /// another frame arrives first or the processes speak no common version of the frames.
    /// `sender` is the other half of the link; from now on it sends frames of the common version.
    pub async fn receive_hello(&mut self, sender: &LinkSender, timeout: Duration) -> Option<Hello> {
        let Ok(Some(Frame::Hello(hello))) = time::timeout(timeout, self.receive()).await else {
            return None;
        };
        let Some(version) = hello.common_version() else {
            tracing::info!(
                process = %hello.process,
                oldest = hello.version,
                newest = hello.newest_version,
                own_oldest = OLDEST_FRAME_VERSION,
                own_newest = NEWEST_FRAME_VERSION,
                "link refused: no common frame version"
            );
            return None;
        };
        sender.set_version(version);
        Some(hello)
    }
}

/// Opens a link to an address.
///
/// # Errors
///
/// Returns an error if the connection is refused or cannot be opened in time.
pub async fn connect(address: SocketAddr) -> std::io::Result<(LinkSender, LinkReceiver)> {
    let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    Ok(from_stream(connected.map_err(std::io::Error::other)??))
}

/// Returns the halves of a link over an open connection. Spawns the task that writes the frames.
pub fn from_stream(stream: TcpStream) -> (LinkSender, LinkReceiver) {
    // Avoids delays of small frames. A failure is ignored: the connection works without it.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let frames = FramedRead::new(reader, codec.clone());
    let (sender, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    tokio::task::spawn_local(write_frames(FramedWrite::new(writer, codec), queue));
    let (closing, closed) = oneshot::channel();
    let sender =
        LinkSender { frames: sender, version: Cell::new(OLDEST_FRAME_VERSION), _closing: closing };
    (sender, LinkReceiver { frames, closed })
}

async fn write_frames(
    mut writer: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut queue: mpsc::Receiver<Frame>,
) {
    while let Some(first) = queue.recv().await {
        // Frames queued in the meantime are written with the same flush.
        let mut next = Some(first);
        while let Some(frame) = next {
            if !write_frame(&mut writer, &frame).await {
                return;
            }
            next = queue.try_recv().ok();
        }
        if SinkExt::<Bytes>::flush(&mut writer).await.is_err() {
            return;
        }
    }
}

/// Buffers a frame for the next flush; returns `false` if the connection is broken.
async fn write_frame(
    writer: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    frame: &Frame,
) -> bool {
    match frame.encode() {
        Ok(bytes) => writer.feed(Bytes::from(bytes)).await.is_ok(),
        Err(error) => {
            tracing::warn!(%error, "frame cannot be encoded: dropped");
            true
        }
    }
}
