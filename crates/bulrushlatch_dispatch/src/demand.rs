//! Demand for the targets of a service, as entries tell it to the agents that they use.
//!
//! An entry sends each agent a [`DemandStatement`], and the agent answers with the sum of the other
//! entries' statements, a [`DemandSummary`]. From both follows the entry's [`share`] of the CPU that
//! ending runs release at that agent.

use std::{iter::Peekable, time::Duration};

use serde::{Deserialize, Serialize};

/// Time for which a statement or summary counts after it has arrived.
pub const DEMAND_LIFETIME: Duration = Duration::from_secs(1);
/// Shortest interval between two statements or summaries on one link.
pub const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(150);
/// Age of the last statement or summary at which an unchanged one is sent again: three heartbeats
/// may be late before it expires.
pub const DEMAND_RENEWAL: Duration = Duration::from_millis(700);
/// Largest number of classes in a statement or summary.
pub const MAX_CLASSES: usize = 16;
/// Largest valid value, in multiples of the target's CPU.
const MAX_DEMAND_FACTOR: u64 = 1_000;
/// Largest valid number of entries in a summary, well above that of any site.
const MAX_ENTRIES: u32 = 10_000;
/// Relative difference between two totals of a class that is worth a message. 0.1 with renewals after
/// 500 ms doubled the number of messages under a load without shortage.
const NOTICEABLE_DIFFERENCE: f64 = 0.2;
/// Smallest such difference, as a share of the target's CPU.
const MIN_NOTICEABLE_SHARE: f64 = 0.03;

/// What one entry demands of one target.
///
/// An entry spreads its demand over the targets that it uses, in proportion to their capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandStatement {
    /// Demand by urgency, in ascending order of priority numbers.
    pub classes: Vec<ClassDemand>,
}

impl DemandStatement {
    /// Returns whether an entry may state this about a target with `total_cpu_millis`.
    pub fn is_valid(&self, total_cpu_millis: u64) -> bool {
        are_valid(&self.classes, total_cpu_millis)
    }
}

/// What the other entries demand of one target, in sum, as its agent tells an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandSummary {
    /// Number of other entries whose statements are counted.
    pub entries: u32,
    /// Sum of their demand by urgency, in ascending order of priority numbers.
    pub classes: Vec<ClassDemand>,
}

impl DemandSummary {
    /// Returns whether the agent of a target with `total_cpu_millis` may send this.
    pub fn is_valid(&self, total_cpu_millis: u64) -> bool {
        self.entries <= MAX_ENTRIES && are_valid(&self.classes, total_cpu_millis)
    }
}

/// Demand of the routes with one priority number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassDemand {
    /// Priority number of the routes; lower is more urgent.
    pub priority: u32,
    /// CPU that the arriving jobs would keep busy, in thousandths of a core.
    pub offered_cpu_millis: u64,
    /// CPU that waiting tasks need, in thousandths of a core.
    pub waiting_cpu_millis: u64,
}

impl ClassDemand {
    /// Returns the CPU that the class demands, in thousandths of a core.
    pub fn cpu_millis(&self) -> u64 {
        self.offered_cpu_millis.saturating_add(self.waiting_cpu_millis)
    }

    /// Returns the part of the demand that falls to one target.
    pub fn scaled(&self, factor: f64) -> Self {
        Self {
            priority: self.priority,
            offered_cpu_millis: (self.offered_cpu_millis as f64 * factor).round() as u64,
            waiting_cpu_millis: (self.waiting_cpu_millis as f64 * factor).round() as u64,
        }
    }

    /// Adds the demand of another class; the priority stays.
    pub fn add(&mut self, other: &Self) {
        self.offered_cpu_millis = self.offered_cpu_millis.saturating_add(other.offered_cpu_millis);
        self.waiting_cpu_millis = self.waiting_cpu_millis.saturating_add(other.waiting_cpu_millis);
    }
}

/// Returns whether the drop of the invalid message with this number, counted from 1, is logged. The
/// number doubles between two lines, which bounds the lines that a faulty peer causes.
pub fn is_invalid_logged(number: u64) -> bool {
    number.is_power_of_two()
}

fn are_valid(classes: &[ClassDemand], total_cpu_millis: u64) -> bool {
    let limit = max_cpu_millis(total_cpu_millis);
    let is_within_limit = |class: &ClassDemand| {
        class.offered_cpu_millis <= limit && class.waiting_cpu_millis <= limit
    };
    classes.len() <= MAX_CLASSES
        && classes.is_sorted_by(|first, second| first.priority < second.priority)
        && classes.iter().all(is_within_limit)
}

/// Returns the largest valid value about a target with `total_cpu_millis`.
pub fn max_cpu_millis(total_cpu_millis: u64) -> u64 {
    total_cpu_millis.saturating_mul(MAX_DEMAND_FACTOR)
}

/// Merges classes beyond [`MAX_CLASSES`] into the last one that is kept. `classes` are sorted.
pub fn limit_classes(classes: &mut Vec<ClassDemand>) {
    while classes.len() > MAX_CLASSES
        && let Some(least_urgent) = classes.pop()
        && let Some(last) = classes.last_mut()
    {
        last.add(&least_urgent);
    }
}

/// Returns whether the demand has changed so much that the receiver is to be told.
pub fn differs_noticeably(
    before: impl Iterator<Item = ClassDemand>,
    after: impl Iterator<Item = ClassDemand>,
    total_cpu_millis: u64,
) -> bool {
    let min_difference = total_cpu_millis as f64 * MIN_NOTICEABLE_SHARE;
    Paired::new(before, after).any(|(before, after)| {
        let (before, after) = (before as f64, after as f64);
        let tolerance = before.max(after) * NOTICEABLE_DIFFERENCE;
        (before - after).abs() > tolerance.max(min_difference)
    })
}

/// Returns an entry's share of the CPU that ending runs release at a target, 0 to 1, from its own
/// demand and that of the other entries there.
///
/// The target's CPU goes to the more urgent classes first. Within a class each entry gets what it
/// demands, or a part of what is left in proportion to its demand. What no class demands is shared
/// evenly.
pub fn share(
    own: impl Iterator<Item = ClassDemand>,
    others: &DemandSummary,
    total_cpu_millis: u64,
) -> f64 {
    let total = total_cpu_millis.max(1) as f64;
    let (mut left, mut granted) = (total, 0.0);
    for (own, others) in Paired::new(own, others.classes.iter().copied()) {
        let demand = own as f64 + others as f64;
        let served = demand.min(left);
        granted += served * own as f64 / demand.max(1.0);
        left -= served;
    }
    granted += left / (f64::from(others.entries) + 1.0);
    (granted / total).clamp(0.0, 1.0)
}

/// Demanded CPU of two sorted lists of classes by priority number, in ascending order.
struct Paired<A: Iterator<Item = ClassDemand>, B: Iterator<Item = ClassDemand>> {
    first: Peekable<A>,
    second: Peekable<B>,
}

impl<A: Iterator<Item = ClassDemand>, B: Iterator<Item = ClassDemand>> Paired<A, B> {
    fn new(first: A, second: B) -> Self {
        Self { first: first.peekable(), second: second.peekable() }
    }
}

impl<A, B> Iterator for Paired<A, B>
where
    A: Iterator<Item = ClassDemand>,
    B: Iterator<Item = ClassDemand>,
{
    /// Demand in thousandths of a core; 0 where a list lacks the class.
    type Item = (u64, u64);

    fn next(&mut self) -> Option<Self::Item> {
        let first = self.first.peek().map(|class| class.priority);
        let second = self.second.peek().map(|class| class.priority);
        let priority = first.into_iter().chain(second).min()?;
        let first = self.first.next_if(|class| class.priority == priority);
        let second = self.second.next_if(|class| class.priority == priority);
        let cpu_millis = |class: Option<ClassDemand>| class.map_or(0, |class| class.cpu_millis());
        Some((cpu_millis(first), cpu_millis(second)))
    }
}
