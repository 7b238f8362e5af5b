//! Whether a target fails what it is given.

use std::time::{Duration, Instant};

/// Failures in a row after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Time until the first probation task of an ejected target; it doubles with each that fails.
const FIRST_PROBATION: Duration = Duration::from_secs(2);
/// Longest time between probation tasks.
const LONGEST_PROBATION: Duration = Duration::from_secs(16);
/// Successes in a row that end an ejection.
const SUCCESSES_TO_RETURN: u32 = 3;

/// The recent record of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failures_in_row: u32,
    successes_in_row: u32,
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

    /// Returns whether a task may be placed; an ejected target gets one at a time, rarely.
    pub fn allows_task(&self, now: Instant) -> bool {
        self.next_probation.is_none_or(|next_probation| now >= next_probation)
    }

    /// Notes that a task was placed.
    pub fn note_placed(&mut self, now: Instant) {
        if let Some(next_probation) = &mut self.next_probation {
            *next_probation = now + self.probation_interval;
        }
    }

    /// Notes that a task gave its result.
    pub fn note_success(&mut self) {
        self.failures_in_row = 0;
        self.successes_in_row += 1;
        self.probation_interval = FIRST_PROBATION;
        if self.successes_in_row >= SUCCESSES_TO_RETURN {
            self.next_probation = None;
        }
    }

    /// Notes that the target failed a task; `may_eject` is false when too many are ejected.
    ///
    /// Returns whether this ejected the target.
    pub fn note_failure(&mut self, now: Instant, may_eject: bool) -> bool {
        self.successes_in_row = 0;
        self.failures_in_row += 1;
        if let Some(next_probation) = &mut self.next_probation {
            self.probation_interval = (self.probation_interval * 2).min(LONGEST_PROBATION);
            *next_probation = now + self.probation_interval;
            return false;
        }
        if self.failures_in_row < FAILURES_TO_EJECT || !may_eject {
            return false;
        }
        self.probation_interval = FIRST_PROBATION;
        self.next_probation = Some(now + self.probation_interval);
        true
    }
}
