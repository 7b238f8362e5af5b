//! Threads that read and append to the platform's log.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bulrushlatch_log::platform_log::{LogError, LogPage, PlatformLog, StreamName};
use bulrushlatch_protocol::ids::Offset;
use crossbeam::channel::{Receiver, Sender, bounded};
use tokio_util::sync::CancellationToken;

/// Maximum number of records read in one call.
const MAX_RECORDS_PER_READ: usize = 1000;
/// Maximum number of queued appends; further ones are dropped, and requested again later.
const MAX_QUEUED_APPENDS: usize = 1000;
/// Interval at which the warning about an unavailable platform log is repeated.
const WARNING_INTERVAL: Duration = Duration::from_secs(60);

/// A record that waits to be appended.
#[derive(Clone, Debug)]
pub struct PendingAppend {
    /// Stream to append to.
    pub stream: StreamName,
    /// Body of the record.
    pub body: String,
}

/// Applies the records of streams in offset order.
pub trait StreamFollower: Send + Sync + 'static {
    /// Returns the offset to read a stream from next.
    fn next_offset(&self, stream: StreamName) -> Offset;

    /// Applies the records of a page, which was read at the offset that
    /// [`next_offset`](Self::next_offset) had returned.
    fn apply_page(&self, stream: StreamName, page: &LogPage);
}

/// Starts a thread that reads `stream` until `token` is cancelled: every `interval`, or without a
/// pause while more records may be available.
pub fn follow_stream<L: PlatformLog, F: StreamFollower>(
    log: Arc<L>,
    follower: Arc<F>,
    stream: StreamName,
    interval: Duration,
    token: CancellationToken,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut health = LogHealth::default();
        while !token.is_cancelled() {
            let from = follower.next_offset(stream);
            let result = log.read(stream, from, MAX_RECORDS_PER_READ);
            health.record(stream, result.as_ref().err());
            let is_behind = match &result {
                Ok(page) => {
                    follower.apply_page(stream, page);
                    page.records.len() == MAX_RECORDS_PER_READ
                }
                Err(_) => false,
            };
            if !is_behind {
                thread::sleep(interval);
            }
        }
    })
}

/// Starts a thread that appends records in order, and returns the queue to send them to.
///
/// A failed append is not retried here: whoever requested it notices that the record is missing and
/// requests it again.
pub fn spawn_appender<L: PlatformLog>(log: Arc<L>) -> Sender<PendingAppend> {
    let (sender, receiver): (_, Receiver<PendingAppend>) = bounded(MAX_QUEUED_APPENDS);
    thread::spawn(move || {
        for append in receiver {
            if let Err(error) = log.append(append.stream, &append.body) {
                tracing::debug!(stream = %append.stream, %error, "append failed");
            }
        }
    });
    sender
}

/// Writes a log line when the platform's log becomes unavailable or available again.
#[derive(Debug, Default)]
struct LogHealth {
    last_warning: Option<Instant>,
}

impl LogHealth {
    fn record(&mut self, stream: StreamName, error: Option<&LogError>) {
        match (error, self.last_warning) {
            (Some(error), last) if last.is_none_or(|last| last.elapsed() > WARNING_INTERVAL) => {
                self.last_warning = Some(Instant::now());
                tracing::warn!(%stream, %error, "platform's log unavailable");
            }
            (None, Some(_)) => {
                self.last_warning = None;
                tracing::info!(%stream, "platform's log available");
            }
            _ => {}
        }
    }
}
