//! Time as an interface.

use std::time::Duration;

/// Time since the VM was started; it goes on while the VM is suspended.
pub type BootTime = Duration;

/// A source of time.
pub trait BootClock: Clone + Send + Sync + 'static {
    /// Returns the time since the VM was started, suspended time included.
    fn now(&self) -> BootTime;
}
