//! Busy share of a process's only thread, and the delay of events in its queue.

use std::time::Duration;

/// Time constant of the averages: several ticks, short against a burst of load.
const TIME_CONSTANT: Duration = Duration::from_millis(200);

/// Longest period that a sample may stand for. The loop turns several times in it even at a busy
/// VM; a longer one means that the VM was suspended, which says nothing about the load.
const MAX_PERIOD: Duration = Duration::from_millis(500);

/// Load of the only thread of a process.
///
/// Time in which the thread was ready to run, but its VM's quota was used up, counts as busy. So the
/// share reaches 1 when the VM's processor is exhausted, whatever its size.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessorLoad {
    /// Moving average of the busy share of the time, from 0 to 1.
    busy_share: f64,
    /// Moving average of the time that an event waits until the thread handles it.
    queueing_delay: Duration,
    /// The two newest samples of it.
    newest_delays: [Duration; 2],
}

impl ProcessorLoad {
    /// Records that the thread was busy for `busy` of the last `elapsed`, and that the last event
    /// waited for `queueing_delay` until the thread handled it, or has waited so long already.
    pub fn record(&mut self, elapsed: Duration, busy: Duration, queueing_delay: Duration) {
        if elapsed.is_zero() || elapsed > MAX_PERIOD {
            return;
        }
        let keep = (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        let busy_share = (busy.as_secs_f64() / elapsed.as_secs_f64()).min(1.0);
        self.busy_share = self.busy_share * keep + busy_share * (1.0 - keep);
        self.newest_delays = [queueing_delay, self.newest_delays[0]];
        self.queueing_delay =
            self.queueing_delay.mul_f64(keep) + queueing_delay.mul_f64(1.0 - keep);
    }

    /// Returns the recent busy share of the time, from 0 to 1.
    pub fn busy_share(&self) -> f64 {
        self.busy_share
    }

    /// Returns the recent busy share in percent, for log lines and metrics.
    pub fn busy_percent(&self) -> u64 {
        (self.busy_share * 100.0) as u64
    }

    /// Returns the expected time that an event, such as a request, waits before the thread handles
    /// it.
    pub fn queueing_delay(&self) -> Duration {
        self.queueing_delay
    }

    /// Returns the mean of the two newest samples. It shows a burst while it lasts, and less of a
    /// single pause of the VM than the newest sample does.
    pub fn recent_queueing_delay(&self) -> Duration {
        let [newest, previous] = self.newest_delays;
        (newest + previous) / 2
    }
}
