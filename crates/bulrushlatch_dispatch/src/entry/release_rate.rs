//! How fast ended runs set room free.

use std::{collections::VecDeque, time::Duration};

use crate::clock::BootTime;

/// Time over which the rate is taken: a few run times of the common tasks.
const WINDOW: Duration = Duration::from_millis(800);

/// Processor set free at all targets in the last moments.
#[derive(Debug, Default)]
pub struct ReleaseRate {
    samples: VecDeque<(BootTime, u64)>,
    sum_cpu_millis: u64,
}

impl ReleaseRate {
    /// Notes that runs ended which took so much processor.
    pub fn note(&mut self, now: BootTime, cpu_millis: u64) {
        if cpu_millis > 0 {
            self.samples.push_back((now, cpu_millis));
            self.sum_cpu_millis += cpu_millis;
        }
        while let Some(&(at, old)) = self.samples.front()
            && now.saturating_sub(at) > WINDOW
        {
            self.samples.pop_front();
            self.sum_cpu_millis -= old;
        }
    }

    /// Returns the processor set free in a second, in thousandths of a core.
    pub fn cpu_millis_per_s(&self) -> f64 {
        self.sum_cpu_millis as f64 / WINDOW.as_secs_f64()
    }
}
