//! Time as an interface.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A source of time.
pub trait Clock: Send + Sync + 'static {
    /// Returns a time that never goes back.
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

/// The clock of the machine.
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

/// A clock that moves only when told to.
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

    /// Moves the clock to `elapsed` since its start.
    pub fn set_elapsed(&self, elapsed: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) = elapsed;
    }

    /// Returns the time since the start.
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
