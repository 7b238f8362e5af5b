//! Limits the rate at which a response is read, and so the rate at which its server sends it.
//!
//! A server sends no more than a window ahead of its reader. A reader that takes its time therefore
//! leaves room on a narrow link for requests, orders and heartbeats.

use std::time::Duration;

use tokio::time::{self, Instant};

/// Bytes that a server sends before any of them are read: a common size of a receive window.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// Limit on the rate at which responses are read, so that they leave room for other traffic on a
/// narrow link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadRate {
    /// Bytes per second.
    pub bytes_per_s: f64,
}

impl ReadRate {
    fn time_for(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s.max(1.0))
    }
}

/// Times the reads of one response.
#[derive(Debug)]
pub struct ReadPace {
    rate: ReadRate,
    /// Bytes of the body that are still to be read.
    remaining_bytes: u64,
    /// The next part is not read before this time.
    read_after: Instant,
}

impl ReadPace {
    /// Returns the pace of a response whose body has `body_bytes`; 0 if that is not known, which does
    /// not limit the rate.
    pub fn new(rate: ReadRate, body_bytes: u64) -> Self {
        // Room for more is made only once the link has carried the first window at the rate.
        let read_after = Instant::now() + rate.time_for(READ_AHEAD_BYTES);
        Self { rate, remaining_bytes: body_bytes, read_after }
    }

    /// Waits until the next part may be read.
    pub async fn wait(&self) {
        // The server has sent the last window, whatever the reader does.
        if self.remaining_bytes > READ_AHEAD_BYTES as u64 {
            time::sleep_until(self.read_after).await;
        }
    }

    /// Records that a part was read.
    pub fn record(&mut self, part_bytes: usize) {
        self.remaining_bytes = self.remaining_bytes.saturating_sub(part_bytes as u64);
        self.read_after = Instant::now() + self.rate.time_for(part_bytes);
    }
}
