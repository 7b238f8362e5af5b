//! Ejection of targets that fail their tasks.

use std::time::{Duration, Instant};

/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Time until the first probation task of an ejected target; doubles with each that fails.
const FIRST_PROBATION_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time between probation tasks.
const MAX_PROBATION_INTERVAL: Duration = Duration::from_secs(16);
/// Consecutive successes that end an ejection.
const SUCCESSES_TO_END_EJECTION: u32 = 3;

/// Recent successes and failures of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    consecutive_failures: u32,
    consecutive_successes: u32,
    /// When the next probation task may be placed; set exactly while the target is ejected.
    next_probation: Option<Instant>,
    /// Time between probation tasks; meaningful while the target is ejected.
    probation_interval: Duration,
}

impl TargetHealth {
    /// Returns whether the target is ejected.
    pub fn is_ejected(&self) -> bool {
        self.next_probation.is_some()
    }

    /// Returns whether a task may be placed; an ejected target gets one per probation interval.
    pub fn allows_task(&self, now: Instant) -> bool {
        self.next_probation.is_none_or(|next_probation| now >= next_probation)
    }

    /// Records that a task was placed.
    pub fn record_placement(&mut self, now: Instant) {
        if let Some(next_probation) = &mut self.next_probation {
            *next_probation = now + self.probation_interval;
        }
    }

    /// Records that a task completed.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_successes += 1;
        self.probation_interval = FIRST_PROBATION_INTERVAL;
        if self.consecutive_successes >= SUCCESSES_TO_END_EJECTION {
            self.next_probation = None;
        }
    }

    /// Records that the target failed a task; `may_eject` is false when too many are ejected.
    ///
    /// Returns whether this ejected the target.
    pub fn record_failure(&mut self, now: Instant, may_eject: bool) -> bool {
        self.consecutive_successes = 0;
        self.consecutive_failures += 1;
        if let Some(next_probation) = &mut self.next_probation {
            self.probation_interval = (self.probation_interval * 2).min(MAX_PROBATION_INTERVAL);
            *next_probation = now + self.probation_interval;
            return false;
        }
        if self.consecutive_failures < FAILURES_TO_EJECT || !may_eject {
            return false;
        }
        self.probation_interval = FIRST_PROBATION_INTERVAL;
        self.next_probation = Some(now + self.probation_interval);
        true
    }
}
