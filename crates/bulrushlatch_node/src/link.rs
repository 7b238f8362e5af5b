//! Links between processes: length-prefixed frames over TCP, encoded with postcard.

use std::{net::SocketAddr, time::Duration};

use bulrushlatch_dispatch::frame::{AgentFrame, EntryFrame, FRAME_VERSION, Hello, PeerFrame};
use futures_util::{SinkExt, StreamExt};
use hyper::body::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time,
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    sync::{CancellationToken, DropGuard},
};

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
}

/// Sending half of a link. Dropping it closes the link.
#[derive(Debug)]
pub struct LinkSender {
    frames: mpsc::Sender<Frame>,
    /// Ends the receiving half on drop, since it may be waiting on a connection that fell silent.
    _closing: DropGuard,
}

impl LinkSender {
    /// Queues a frame; returns `false` if the link is closed or its queue is full.
    pub fn send(&self, frame: Frame) -> bool {
        self.frames.try_send(frame).is_ok()
    }
}

/// Receiving half of a link.
#[derive(Debug)]
pub struct LinkReceiver {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    closed: CancellationToken,
}

impl LinkReceiver {
    /// Returns the next frame, or `None` if the link is closed or a frame cannot be decoded.
    pub async fn receive(&mut self) -> Option<Frame> {
        let next = self.closed.run_until_cancelled(self.frames.next());
        let bytes = next.await??.ok()?;
        match postcard::from_bytes(&bytes) {
            Ok(frame) => Some(frame),
            Err(error) => {
                tracing::info!(%error, "frame cannot be decoded: closing the link");
                None
            }
        }
    }

    /// Returns the remote process's hello, or `None` if it does not arrive within `timeout`,
    /// another frame arrives first or the process has a different [`FRAME_VERSION`].
    pub async fn receive_hello(&mut self, timeout: Duration) -> Option<Hello> {
        match time::timeout(timeout, self.receive()).await {
            Ok(Some(Frame::Hello(hello))) if hello.version == FRAME_VERSION => Some(hello),
            Ok(Some(Frame::Hello(hello))) => {
                tracing::info!(
                    process = %hello.process, version = hello.version, own = FRAME_VERSION,
                    "link refused: different frame version"
                );
                None
            }
            _ => None,
        }
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
    let closed = CancellationToken::new();
    let sender = LinkSender { frames: sender, _closing: closed.clone().drop_guard() };
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
    match postcard::to_stdvec(frame) {
        Ok(bytes) => writer.feed(Bytes::from(bytes)).await.is_ok(),
        Err(error) => {
            tracing::warn!(%error, "frame cannot be encoded: dropped");
            true
        }
    }
}
