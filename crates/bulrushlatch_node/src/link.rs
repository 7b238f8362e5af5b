//! Links between processes: frames in postcard's format with their length in front, over TCP.

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
    time::timeout,
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    sync::{CancellationToken, DropGuard},
};

/// Largest frame: a configuration of thousands of routes fits.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Frames that may wait for a slow reader; more close the link.
const MOST_QUEUED_FRAMES: usize = 512;
/// Time in which a link must be open, well above a round trip within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Anything that is sent on a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame in both directions.
    Hello(Hello),
    /// From an agent to an entry.
    Agent(AgentFrame),
    /// From an entry to an agent.
    Entry(EntryFrame),
    /// From an entry to an entry.
    Peer(PeerFrame),
    /// From an entry to anybody: addresses of all entries it knows.
    Entries(Vec<SocketAddr>),
}

/// Sends frames on a link. Dropping it closes the link.
#[derive(Debug)]
pub struct LinkSender {
    frames: mpsc::Sender<Frame>,
    /// Ends the receiver, too, which may wait on a connection that went silent.
    _closing: DropGuard,
}

impl LinkSender {
    /// Sends a frame; returns whether the link takes it.
    pub fn send(&self, frame: Frame) -> bool {
        self.frames.try_send(frame).is_ok()
    }
}

/// Receives frames of a link.
#[derive(Debug)]
pub struct LinkReceiver {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    closed: CancellationToken,
}

impl LinkReceiver {
    /// Returns the next frame, or none when the link is closed or speaks another protocol.
    pub async fn receive(&mut self) -> Option<Frame> {
        let next = self.closed.run_until_cancelled(self.frames.next());
        let bytes = next.await??.ok()?;
        match postcard::from_bytes(&bytes) {
            Ok(frame) => Some(frame),
            Err(error) => {
                tracing::info!(%error, "frame cannot be read: closing the link");
                None
            }
        }
    }

    /// Returns the greeting of the other side, or none if it does not come in time.
    pub async fn greeting(&mut self, patience: Duration) -> Option<Hello> {
        match timeout(patience, self.receive()).await {
            Ok(Some(Frame::Hello(hello))) if hello.version == FRAME_VERSION => Some(hello),
            Ok(Some(Frame::Hello(hello))) => {
                tracing::info!(process = %hello.process, version = hello.version, "link refused: other version");
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
/// Returns an error when nobody takes the connection in time.
pub async fn connect(address: SocketAddr) -> std::io::Result<(LinkSender, LinkReceiver)> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    Ok(split(connected.map_err(std::io::Error::other)??))
}

/// Makes a link of a connection.
pub fn split(stream: TcpStream) -> (LinkSender, LinkReceiver) {
    // Without it small frames may wait for more; it is no fault if it cannot be set.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let frames = FramedRead::new(reader, codec.clone());
    let (sender, queue) = mpsc::channel(MOST_QUEUED_FRAMES);
    tokio::task::spawn_local(write(FramedWrite::new(writer, codec), queue));
    let closed = CancellationToken::new();
    let sender = LinkSender { frames: sender, _closing: closed.clone().drop_guard() };
    (sender, LinkReceiver { frames, closed })
}

async fn write(
    mut writer: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut queue: mpsc::Receiver<Frame>,
) {
    while let Some(first) = queue.recv().await {
        // What has come up meanwhile goes out in the same write.
        let mut next = Some(first);
        while let Some(frame) = next {
            if !feed(&mut writer, &frame).await {
                return;
            }
            next = queue.try_recv().ok();
        }
        if SinkExt::<Bytes>::flush(&mut writer).await.is_err() {
            return;
        }
    }
}

/// Returns whether the connection took the frame.
async fn feed(
    writer: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    frame: &Frame,
) -> bool {
    match postcard::to_stdvec(frame) {
        Ok(bytes) => writer.feed(Bytes::from(bytes)).await.is_ok(),
        Err(error) => {
            tracing::warn!(%error, "frame cannot be written");
            true
        }
    }
}
