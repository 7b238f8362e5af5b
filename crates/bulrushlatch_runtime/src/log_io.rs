//! Following and writing the platform's log.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bulrushlatch_log::platform_log::{LogError, LogPage, PlatformLog, StreamName};
use bulrushlatch_protocol::ids::Offset;
use crossbeam::channel::{Receiver, Sender, bounded};
use tokio_util::sync::CancellationToken;

/// Most records read in one call.
const MAX_RECORDS_PER_READ: usize = 1000;
/// Most records that wait to be appended; further ones are dropped and written again later.
const MAX_WAITING_APPENDS: usize = 1000;
/// Longest time between two lines about a log that stays unavailable.
const QUIET_TIME: Duration = Duration::from_secs(60);

/// A record that waits to be appended.
#[derive(Clone, Debug)]
pub struct PendingAppend {
    /// The stream.
    pub stream: StreamName,
    /// The record.
    pub body: String,
}

/// Something that folds streams.
pub trait StreamFollower: Send + Sync + 'static {
    /// Returns the offset to read next.
    fn next_offset(&self, stream: StreamName) -> Offset;

    /// Takes a page that was read.
    fn fold(&self, stream: StreamName, page: &LogPage);
}

/// Starts a thread that reads `stream` every `interval` until `token` is cancelled.
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
            health.note(stream, result.as_ref().err());
            let is_behind = match &result {
                Ok(page) => {
                    follower.fold(stream, page);
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

/// Starts a thread that appends records in order, and returns where to put them.
///
/// A failed append is dropped: whoever asked for it sees that it is missing and asks again.
pub fn spawn_appender<L: PlatformLog>(log: Arc<L>) -> Sender<PendingAppend> {
    let (sender, receiver): (_, Receiver<PendingAppend>) = bounded(MAX_WAITING_APPENDS);
    thread::spawn(move || {
        for append in receiver {
            if let Err(error) = log.append(append.stream, &append.body) {
                tracing::debug!(stream = %append.stream, %error, "append failed");
            }
        }
    });
    sender
}

/// Logs when the log becomes unavailable or available again.
#[derive(Debug, Default)]
struct LogHealth {
    last_line: Option<Instant>,
}

impl LogHealth {
    fn note(&mut self, stream: StreamName, error: Option<&LogError>) {
        match (error, self.last_line) {
            (Some(error), last) if last.is_none_or(|last| last.elapsed() > QUIET_TIME) => {
                self.last_line = Some(Instant::now());
                tracing::warn!(%stream, %error, "log unavailable");
            }
            (None, Some(_)) => {
                self.last_line = None;
                tracing::info!(%stream, "log available");
            }
            _ => {}
        }
    }
}
