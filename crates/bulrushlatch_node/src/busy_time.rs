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
