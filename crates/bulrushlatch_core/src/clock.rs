//! Interface to the time, with a real and a virtual clock.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A source of time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64;
}

impl<C: Clock> Clock for std::sync::Arc<C> {
    fn now(&self) -> Instant {
        C::now(self)
    }

    fn wall_ms(&self) -> u64 {
        C::wall_ms(self)
    }
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since_epoch.as_millis() as u64
    }
}

/// A clock that advances only when it is set.
#[derive(Debug)]
pub struct VirtualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl VirtualClock {
    /// Wall time at the start of every virtual clock.
    const START_WALL_MS: u64 = 1_800_000_000_000;

    /// Returns a clock at its start.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Sets the time since the start of the clock.
    pub fn set_elapsed(&self, elapsed: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) = elapsed;
    }

    /// Returns the time since the start of the clock.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for VirtualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for VirtualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall_ms(&self) -> u64 {
        Self::START_WALL_MS + self.elapsed().as_millis() as u64
    }
}
