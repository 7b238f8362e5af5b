//! Time in which the process's thread is busy.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bulrushlatch_dispatch::clock::{BootClock, BootTime};

use crate::boot_clock::SystemBootClock;

/// Busy time of the runtime's thread up to its last park, in ns.
static BUSY_NS: AtomicU64 = AtomicU64::new(0);
/// When the thread last woke up, in ns on the boot clock; 0 before the first time.
static WOKEN_AT_NS: AtomicU64 = AtomicU64::new(0);

fn now_ns() -> u64 {
    SystemBootClock.now().as_nanos() as u64
}

/// Records that the runtime's thread begins to wait for events.
pub fn record_park() {
    let woken_at_ns = WOKEN_AT_NS.load(Ordering::Relaxed);
    if woken_at_ns > 0 {
        BUSY_NS.fetch_add(now_ns().saturating_sub(woken_at_ns), Ordering::Relaxed);
    }
}

/// Records that the runtime's thread has events to handle.
pub fn record_unpark() {
    WOKEN_AT_NS.store(now_ns(), Ordering::Relaxed);
}

/// Returns the time for which the thread has been busy since the start of the process, `now`
/// included. To be called on that thread.
pub fn busy_time(now: BootTime) -> Duration {
    let woken_at = Duration::from_nanos(WOKEN_AT_NS.load(Ordering::Relaxed));
    let current = if woken_at.is_zero() { Duration::ZERO } else { now.saturating_sub(woken_at) };
    Duration::from_nanos(BUSY_NS.load(Ordering::Relaxed)) + current
}

/// Measures the busy time of consecutive periods.
#[derive(Debug)]
pub struct BusyTimer {
    period_began_at: BootTime,
    /// Busy time up to the beginning of the period.
    busy_before: Duration,
}

impl BusyTimer {
    /// Begins the first period.
    pub fn start(now: BootTime) -> Self {
        Self { period_began_at: now, busy_before: busy_time(now) }
    }

    /// Ends a period and begins the next one; returns its length and the busy time in it.
    pub fn end_period(&mut self, now: BootTime) -> (Duration, Duration) {
        let busy_until_now = busy_time(now);
        let elapsed = now.saturating_sub(self.period_began_at);
        let busy = busy_until_now.saturating_sub(self.busy_before);
        (self.period_began_at, self.busy_before) = (now, busy_until_now);
        (elapsed, busy)
    }
}
