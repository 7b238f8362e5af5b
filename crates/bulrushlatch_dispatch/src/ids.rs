//! Identifiers of jobs, tasks, processes, links and messages.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Id of a job, chosen by its caller.
pub type JobId = Arc<str>;
/// Name of a route in the configuration.
pub type RouteName = Arc<str>;
/// Name of a service, the pool of targets that a route uses.
pub type ServiceName = String;
/// Name of an availability zone.
pub type ZoneName = String;
/// Number of a link, unique in its process.
pub type LinkId = u64;
/// Number of a waiting caller, unique in its process.
pub type CallerId = u64;
/// Number of an order from one entry to one agent, starting at 1.
pub type OrderNumber = u64;
/// Number of a report from one agent to one entry, starting at 1.
pub type ReportNumber = u64;
/// Number of a start of one task; a higher one replaces a lower one.
pub type Attempt = u32;

/// One incarnation of a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// Name of the process, kept over restarts.
    pub name: String,
    /// Random number, drawn at each start and never used again.
    pub incarnation: u64,
}

impl std::fmt::Display for ProcessId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Step of the job, from 0.
    pub step: u32,
    /// Task of the step, from 0.
    pub index: u32,
}

impl std::fmt::Display for TaskKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.step, self.index)
    }
}
