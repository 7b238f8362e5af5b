//! Stamps of an agent, and which of them is echoed.

use std::{collections::VecDeque, time::Duration};

use crate::clock::BootTime;

/// Shortest interval between two stamps that are kept. An echo is older by at most that much than
/// the bound allows.
const SPACING: Duration = Duration::from_millis(10);
/// Largest number of kept stamps: those of the contact limit, beyond which an echo has no effect.
const MAX_KEPT: usize = 32;

#[derive(Clone, Copy, Debug, Default)]
struct ReceivedStamp {
    /// The agent's clock in ms when it sent the frame.
    stamp_ms: u64,
    /// This entry's clock when the frame arrived.
    received_at: BootTime,
}

/// The newest stamps received from an agent.
#[derive(Debug, Default)]
pub struct StampHistory {
    newest: ReceivedStamp,
    /// Stamps received after `echoed`, oldest first; cleared by each echo that is not bounded.
    kept: VecDeque<ReceivedStamp>,
    /// The newest stamp that has been echoed.
    echoed: ReceivedStamp,
}

impl StampHistory {
    /// Records the stamp of a received frame.
    pub fn record(&mut self, now: BootTime, stamp_ms: u64) {
        let stamp = ReceivedStamp { stamp_ms, received_at: now };
        self.newest = stamp;
        let last_kept = self.kept.back().map_or(BootTime::ZERO, |kept| kept.received_at);
        if self.kept.len() < MAX_KEPT && now.saturating_sub(last_kept) >= SPACING {
            self.kept.push_back(stamp);
        }
    }

    /// Returns the stamp to echo: the newest one that was received no later than `bound`, if there is
    /// a bound.
    pub fn echo(&mut self, bound: Option<BootTime>) -> u64 {
        if bound.is_none_or(|bound| self.newest.received_at <= bound) {
            self.kept.clear();
            self.echoed = self.newest;
        }
        while let Some(kept) = self.kept.front().copied()
            && bound.is_some_and(|bound| kept.received_at <= bound)
        {
            self.kept.pop_front();
            self.echoed = kept;
        }
        self.echoed.stamp_ms
    }

    /// Returns when the newest stamp that has been echoed was received.
    pub fn echoed_at(&self) -> BootTime {
        self.echoed.received_at
    }
}
