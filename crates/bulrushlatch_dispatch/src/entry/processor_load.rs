//! How much of its VM's processor a process uses.

use std::time::Duration;

/// Time constant of the averages: several ticks, short against a burst of load.
const TIME_CONSTANT: Duration = Duration::from_millis(200);

/// Load of the only thread of a process.
///
/// Time in which the thread was ready to run, but its VM's quota was used up, counts as busy. So the
/// share reaches 1 when the VM's processor is exhausted, whatever its size.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessorLoad {
    /// Moving average of the busy share of the time, from 0 to 1.
    busy_share: f64,
    /// Moving average of how late the tick timer fires.
    lag: Duration,
}

impl ProcessorLoad {
    /// Records that the thread was busy for `busy` of the last `elapsed`, and that the timer which
    /// ended that period fired `lag` late.
    pub fn record(&mut self, elapsed: Duration, busy: Duration, lag: Duration) {
        if elapsed.is_zero() {
            return;
        }
        let keep = (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        let busy_share = (busy.as_secs_f64() / elapsed.as_secs_f64()).min(1.0);
        self.busy_share = self.busy_share * keep + busy_share * (1.0 - keep);
        self.lag = self.lag.mul_f64(keep) + lag.mul_f64(1.0 - keep);
    }

    /// Returns the recent busy share of the time, from 0 to 1.
    pub fn busy_share(&self) -> f64 {
        self.busy_share
    }

    /// Returns the expected time that an event, such as a request, waits before the thread handles
    /// it. A timer waits as long.
    pub fn queueing_delay(&self) -> Duration {
        self.lag
    }
}
