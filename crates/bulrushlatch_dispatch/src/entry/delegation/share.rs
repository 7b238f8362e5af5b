//! Which share of the arriving jobs an entry delegates.

use std::time::Duration;

/// Busy share above which an entry delegates jobs, unless its settings name another.
pub const DEFAULT_THRESHOLD: f64 = 0.7;
/// Distance below the threshold at which an entry prepares to delegate: its delegates then know at the
/// first job that it is alive.
const PREPARATION_DISTANCE: f64 = 0.15;
/// Rate at which the delegated share rises, per second and unit of the busy share above the threshold.
/// From an exhausted processor it takes a second to delegate everything.
const GAIN_PER_S: f64 = 3.0;
/// Queueing delay that counts as much as a processor that is busy for twice the time there is: work
/// that has queued up comes on top of what arrives, and delays every job behind it.
const FULL_DELAY: Duration = Duration::from_millis(100);
/// Longest time that one update accounts for.
const MAX_ELAPSED: Duration = Duration::from_millis(100);

/// Controller of the share of jobs that is delegated.
///
/// The share rises while the busy share is above the threshold and falls while it is below, so that
/// the busy share stays near the threshold under load.
#[derive(Clone, Copy, Debug)]
pub struct DelegatedShare {
    threshold: f64,
    share: f64,
    is_prepared: bool,
}

impl DelegatedShare {
    /// Returns a controller for the given threshold.
    pub fn new(threshold: f64) -> Self {
        Self { threshold, share: 0.0, is_prepared: false }
    }

    /// Updates the share by the busy share of the last `elapsed`, and by how long an arriving request
    /// waits at present.
    pub fn update(&mut self, elapsed: Duration, busy_share: f64, queueing_delay: Duration) {
        let elapsed_s = elapsed.min(MAX_ELAPSED).as_secs_f64();
        let delay = (queueing_delay.as_secs_f64() / FULL_DELAY.as_secs_f64()).min(1.0);
        let change = GAIN_PER_S * (busy_share - self.threshold + delay) * elapsed_s;
        self.share = (self.share + change).clamp(0.0, 1.0);
        self.is_prepared = self.share > 0.0 || busy_share > self.threshold - PREPARATION_DISTANCE;
    }

    /// Returns the share of the arriving jobs to delegate, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether the entry delegates jobs or may soon do so.
    pub fn is_prepared(&self) -> bool {
        self.is_prepared
    }
}
