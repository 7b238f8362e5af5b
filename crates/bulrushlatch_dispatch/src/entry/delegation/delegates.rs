//! The other entries that may carry out this entry's jobs, and the choice among them.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::BootTime,
    ids::{LinkId, ZoneName},
};

/// Largest number of delegates that are used at the same time: each costs frames every 40 ms.
const MAX_USED: usize = 4;
/// Interval at which the delegates in use are chosen again.
const CHOICE_INTERVAL: Duration = Duration::from_millis(300);
/// Factor on the rate of delegated jobs that the delegates in use are to take together.
const CAPACITY_FACTOR: f64 = 1.25;
/// Time for which a delegate's offered rate may be used in advance.
const BURST: Duration = Duration::from_millis(50);
/// Age of an offer beyond which it no longer holds: three heartbeats of links between entries.
const OFFER_LIFETIME: Duration = Duration::from_millis(1_000);

/// Another entry that may carry out jobs.
#[derive(Debug, Default)]
struct Delegate {
    zone: ZoneName,
    /// Rate up to which it takes jobs.
    max_jobs_per_s: f64,
    /// Jobs that may be delegated to it now.
    budget_jobs: f64,
    /// When `budget_jobs` was last updated.
    updated_at: BootTime,
    /// When its last frame arrived.
    received_at: BootTime,
    is_used: bool,
}

impl Delegate {
    /// Adds to the budget what has become available since the last update.
    fn update_budget(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let limit = (self.max_jobs_per_s * BURST.as_secs_f64()).max(1.0);
        self.budget_jobs = (self.budget_jobs + self.max_jobs_per_s * elapsed).min(limit);
        self.updated_at = now;
    }
}

/// The other entries that may carry out jobs, by link.
#[derive(Debug)]
pub struct Delegates {
    zone: ZoneName,
    by_link: BTreeMap<LinkId, Delegate>,
    chosen_at: BootTime,
}

impl Delegates {
    /// Returns the delegates of an entry in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self { zone, by_link: BTreeMap::new(), chosen_at: BootTime::ZERO }
    }

    /// Adds a link on which jobs may be delegated.
    pub fn add(&mut self, now: BootTime, link: LinkId) {
        self.by_link.insert(link, Delegate { updated_at: now, ..Delegate::default() });
    }

    /// Removes a link that has closed.
    pub fn remove(&mut self, link: LinkId) {
        self.by_link.remove(&link);
    }

    /// Records the offer in a frame. `zone` is empty if the frame does not tell it.
    pub fn record_offer(&mut self, now: BootTime, link: LinkId, max_jobs_per_s: u32, zone: &str) {
        let Some(delegate) = self.by_link.get_mut(&link) else { return };
        delegate.update_budget(now);
        delegate.max_jobs_per_s = f64::from(max_jobs_per_s);
        delegate.received_at = now;
        if !zone.is_empty() && delegate.zone != zone {
            zone.clone_into(&mut delegate.zone);
        }
    }

    /// Records that a delegate has refused a job: it is not offered another before its next frame.
    pub fn record_refusal(&mut self, link: LinkId) {
        if let Some(delegate) = self.by_link.get_mut(&link) {
            delegate.max_jobs_per_s = 0.0;
            delegate.budget_jobs = 0.0;
        }
    }

    /// Returns whether frames are to be exchanged with a delegate all the time.
    pub fn is_used(&self, link: LinkId) -> bool {
        self.by_link.get(&link).is_some_and(|delegate| delegate.is_used)
    }

    /// Returns the rate up to which a delegate last offered to take jobs.
    pub fn offered_jobs_per_s(&self, link: LinkId) -> u64 {
        self.by_link.get(&link).map_or(0, |delegate| delegate.max_jobs_per_s as u64)
    }

    /// Returns the number of delegates in use.
    pub fn count_used(&self) -> usize {
        self.by_link.values().filter(|delegate| delegate.is_used).count()
    }

    /// Stops using any delegate.
    pub fn release(&mut self) {
        for delegate in self.by_link.values_mut() {
            delegate.is_used = false;
        }
        self.chosen_at = BootTime::ZERO;
    }

    /// Chooses the delegates to use for jobs that are delegated at the given rate: those of the own zone
    /// first, then those already in use, then at random by what they offer.
    pub fn update_used(&mut self, now: BootTime, rng: &mut fastrand::Rng, jobs_per_s: f64) {
        if now.saturating_sub(self.chosen_at) < CHOICE_INTERVAL && self.count_used() > 0 {
            return;
        }
        self.chosen_at = now;
        let own_zone = &self.zone;
        let mut candidates: Vec<_> = self.by_link.iter_mut().collect();
        for (_, delegate) in &mut candidates {
            if now.saturating_sub(delegate.received_at) > OFFER_LIFETIME {
                delegate.max_jobs_per_s = 0.0;
            }
        }
        candidates.retain(|(_, delegate)| delegate.max_jobs_per_s > 0.0 || delegate.is_used);
        candidates.sort_by_cached_key(|(_, delegate)| {
            // The smallest of exponentially distributed numbers, each divided by a weight, is a
            // weighted choice.
            let rank = -rng.f64().max(f64::MIN_POSITIVE).ln() / delegate.max_jobs_per_s.max(1.0);
            (delegate.zone != *own_zone, !delegate.is_used, (rank * 1e9) as u64)
        });
        let mut needed_jobs_per_s = jobs_per_s.max(1.0) * CAPACITY_FACTOR;
        for (number, (_, delegate)) in candidates.into_iter().enumerate() {
            let is_useful = delegate.max_jobs_per_s > 0.0;
            delegate.is_used = is_useful && number < MAX_USED && needed_jobs_per_s > 0.0;
            if delegate.is_used {
                needed_jobs_per_s -= delegate.max_jobs_per_s;
            }
        }
    }

    /// Returns the delegate for the next job, if one takes it: an entry of the own zone if there is
    /// one, at random by what may be delegated to each. Its last frame is not older than
    /// `max_silence`.
    pub fn take(
        &mut self,
        now: BootTime,
        rng: &mut fastrand::Rng,
        max_silence: Duration,
    ) -> Option<LinkId> {
        for delegate in self.by_link.values_mut().filter(|delegate| delegate.is_used) {
            delegate.update_budget(now);
        }
        let link = self.draw(now, rng, max_silence, true);
        let link = link.or_else(|| self.draw(now, rng, max_silence, false))?;
        self.by_link.get_mut(&link)?.budget_jobs -= 1.0;
        Some(link)
    }

    fn draw(
        &self,
        now: BootTime,
        rng: &mut fastrand::Rng,
        max_silence: Duration,
        is_own_zone: bool,
    ) -> Option<LinkId> {
        let available = self.by_link.iter().filter(|(_, delegate)| {
            delegate.is_used
                && delegate.budget_jobs >= 1.0
                && (delegate.zone == self.zone) == is_own_zone
                && now.saturating_sub(delegate.received_at) <= max_silence
        });
        let available: Vec<(LinkId, f64)> =
            available.map(|(&link, delegate)| (link, delegate.budget_jobs)).collect();
        let total: f64 = available.iter().map(|(_, budget)| budget).sum();
        let mut rest = rng.f64() * total;
        for (link, budget) in &available {
            rest -= budget;
            if rest <= 0.0 {
                return Some(*link);
            }
        }
        available.last().map(|(link, _)| *link)
    }
}
