//! The system's boot-time clock.

use std::time::Duration;

use bulrushlatch_dispatch::clock::{BootClock, BootTime};
use rustix::time::{ClockId, clock_gettime};

/// The kernel's `CLOCK_BOOTTIME`, which also advances while the VM is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemBootClock;

impl BootClock for SystemBootClock {
    fn now(&self) -> BootTime {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
    }
}
