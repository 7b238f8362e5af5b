//! Demand for the targets of a service, as entries tell it to the agents that they use.

use serde::{Deserialize, Serialize};

/// What one entry demands of one target.
///
/// An entry spreads its demand over the targets that it uses, in proportion to their capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandStatement {
    /// Demand by urgency, in ascending order of priority numbers.
    pub classes: Vec<ClassDemand>,
}

/// What the other entries demand of one target, in sum, as its agent tells an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandSummary {
    /// Number of other entries whose statements are counted.
    pub entries: u32,
    /// Sum of their demand by urgency, in ascending order of priority numbers.
    pub classes: Vec<ClassDemand>,
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
