//! Crashes of targets, which agents tell to all entries, and what entries isolate because of them.
//!
//! A caller may submit a job again at any entry, and an entry may fail. So each entry knows of the
//! crashes under all tasks, not only under its own.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::{RouteName, ServiceName, TaskKey};

/// Time after which an [`IsolationNotice`] no longer counts, unless it is repeated.
pub const ISOLATION_NOTICE_LIFETIME: Duration = Duration::from_millis(1_500);

/// Number of a crash, unique for one incarnation of an agent, starting at 1.
pub type CrashNumber = u64;

/// The crash of a target, with the runs that may have caused it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Increases with each crash that the agent records.
    pub number: CrashNumber,
    /// Runs at the target when it crashed, in ascending order of their tasks.
    pub runs: Vec<CrashedRun>,
}

/// A run at a target that crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The task.
    pub task: TaskKey,
    /// Time from the last sending of the start order until the agent learned of the crash, in ms.
    pub ran_ms: u64,
}

/// Crashes that an agent has not told an entry on the present link.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The crashes, oldest first.
    pub crashes: Vec<CrashRecord>,
}

/// What an entry isolates, as it tells other entries; or what all entries do, as it tells the agents
/// with targets for isolated jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IsolationNotice {
    /// Services with targets that only isolated jobs use.
    pub services: BTreeSet<ServiceName>,
    /// Routes whose jobs are isolated.
    pub routes: BTreeSet<RouteName>,
}

impl IsolationNotice {
    /// Returns whether nothing is isolated.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty() && self.routes.is_empty()
    }
}
