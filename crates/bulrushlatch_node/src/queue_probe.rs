//! Time for which events wait until the process's thread handles them.

use std::{cell::Cell, rc::Rc, time::Duration};

use bulrushlatch_dispatch::clock::{BootClock, BootTime};

use crate::boot_clock::SystemBootClock;

/// Interval between two measurements: that of the ticks, which read them.
const INTERVAL: Duration = Duration::from_millis(20);

/// Measures how late a timer of a spawned task is handled.
///
/// Such a task waits in the same queue as the tasks of callers' connections. The main future does
/// not: the runtime polls it after at most 61 tasks, however many wait, so its own timers are
/// nearly on time while requests wait for seconds.
#[derive(Debug)]
pub struct QueueProbe {
    /// When the timer fires next.
    due_at: Cell<BootTime>,
    /// How late it was handled the last time.
    last_delay: Cell<Duration>,
}

impl Default for QueueProbe {
    fn default() -> Self {
        Self { due_at: Cell::new(BootTime::MAX), last_delay: Cell::default() }
    }
}

impl QueueProbe {
    /// Measures until the process ends; to be spawned as a task of its own.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.due_at.set(SystemBootClock.now() + INTERVAL);
            tokio::time::sleep(INTERVAL).await;
            self.last_delay.set(SystemBootClock.now().saturating_sub(self.due_at.get()));
        }
    }

    /// Returns the delay last measured, or that of the timer that waits at present if it is longer.
    pub fn delay(&self, now: BootTime) -> Duration {
        self.last_delay.get().max(now.saturating_sub(self.due_at.get()))
    }
}
