//! The clock that processes are driven by, as a trait, so that tests can pass in other times.

use std::time::Duration;

/// Time since the VM was started, including time in which it was suspended.
pub type BootTime = Duration;

/// A source of time.
pub trait BootClock: Clone + Send + Sync + 'static {
    /// Returns the present time.
    fn now(&self) -> BootTime;
}
