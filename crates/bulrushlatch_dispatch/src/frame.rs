//! Frames that entries and agents exchange on their links.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    configuration_transfer::{PieceReply, PieceRequest},
    ids::{Attempt, JobId, OrderNumber, ProcessId, ReportNumber, ServiceName, TaskKey},
    outcome::RunOutcome,
    size::Size,
};

/// Oldest version of the frames that this build speaks: that of the previous build in production.
pub const OLDEST_FRAME_VERSION: FrameVersion = 3;
/// Newest version of the frames that this build speaks. Version 4 adds cordons, and heartbeats are
/// sparser on links that are not in use. Version 5 adds delegated jobs and demand. Version 6 adds
/// crashes of targets.
pub const NEWEST_FRAME_VERSION: FrameVersion = 6;
/// First version with frames that carry cordons.
pub const CORDON_FRAME_VERSION: FrameVersion = 4;
/// First version whose processes expect [`Timing::idle_heartbeat`](crate::timing::Timing) to be
/// sparse.
pub const SPARSE_HEARTBEAT_VERSION: FrameVersion = 4;
/// First version with frames that carry delegated jobs.
pub const DELEGATION_FRAME_VERSION: FrameVersion = 5;
/// First version with frames that carry demand.
pub const DEMAND_FRAME_VERSION: FrameVersion = 5;
/// First version with frames that carry crashes of targets.
pub const CRASH_FRAME_VERSION: FrameVersion = 6;

/// Version of the frames on a link.
pub type FrameVersion = u32;

/// First frame in both directions of a link.
///
/// Its encoding is the same in all versions, so that processes of different builds can agree on a
/// version. Since version 4, [`Hello::newest_version`] follows the other fields; builds of version 3
/// ignore bytes after the last field that they know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Oldest version of the frames that the sender speaks.
    pub version: FrameVersion,
    /// The sender.
    pub process: ProcessId,
    /// The sender's role.
    pub role: Role,
    /// Address on which an entry listens for links; `None` for an agent.
    pub address: Option<SocketAddr>,
    /// Newest version of the frames that the sender speaks; the link appends it to the encoding.
    #[serde(skip)]
    pub newest_version: FrameVersion,
}

impl Hello {
    /// Returns the first frame of a process of this build.
    pub fn new(process: ProcessId, role: Role, address: Option<SocketAddr>) -> Self {
        let (version, newest_version) = (OLDEST_FRAME_VERSION, NEWEST_FRAME_VERSION);
        Self { version, process, role, address, newest_version }
    }

    /// Returns the newest version that the sender and this build speak, if there is one.
    pub fn common_version(&self) -> Option<FrameVersion> {
        let common = self.newest_version.min(NEWEST_FRAME_VERSION);
        (common >= self.version.max(OLDEST_FRAME_VERSION)).then_some(common)
    }
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts jobs and places their tasks.
    Entry,
    /// Runs tasks at one target.
    Agent,
}

/// Sent from an agent to an entry. The offer is absolute, not a change since the last frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentFrame {
    /// The agent's clock in ms when it sent the frame; entries echo it.
    pub stamp_ms: u64,
    /// Highest number of this entry's orders that was processed.
    pub orders_seen: OrderNumber,
    /// Profile of the target, sent when the target has changed and on a new link.
    pub profile: Option<Profile>,
    /// Capacity that the agent offers.
    pub offer: Offer,
    /// Reports that have not been sent on this link and are not acknowledged.
    pub reports: Vec<Report>,
}

/// Properties of a target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// Service of the target; empty while the agent has no target.
    pub service: ServiceName,
    /// Labels that steps of jobs may require or prefer.
    pub labels: Vec<String>,
    /// The target's availability zone.
    pub zone: String,
    /// All resources of the target, in use or free.
    pub total: Size,
}

/// Capacity that an agent offers to entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Resources of the target that no run occupies.
    pub free: Size,
    /// Whether the agent accepts new tasks.
    pub accepts: bool,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Numbered separately for each entry.
    pub number: ReportNumber,
    /// Number of the order to start the run.
    pub order: OrderNumber,
    /// The task.
    pub task: TaskKey,
    /// Attempt of the start order, or the higher one to which the agent raised it.
    pub attempt: Attempt,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Time from the last sending of the start order to the target (or, if unsent, its receipt by
    /// the agent) until the agent learned of the end, in ms; 0 if the agent refused the order.
    pub ran_ms: u64,
}

/// Sent from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryFrame {
    /// The newest [`AgentFrame::stamp_ms`] received from the agent.
    pub stamp_echo_ms: u64,
    /// Highest number of the agent's reports that was processed.
    pub reports_seen: ReportNumber,
    /// Whether the entry places tasks at this agent and needs its changes without delay.
    pub is_in_use: bool,
    /// Orders since the last frame.
    pub orders: Vec<Order>,
}

/// An order to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Numbered separately for each agent.
    pub number: OrderNumber,
    /// The action to carry out.
    pub action: Action,
}

/// Action that an order asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Start a task.
    Start(StartOrder),
    /// Stop the run that an earlier order started.
    Stop {
        /// The task.
        task: TaskKey,
        /// Number of the order to start the run.
        order: OrderNumber,
        /// Whether the run is stuck: it took far too long, which counts as a failure of the target.
        is_stuck: bool,
    },
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of this start; agents raise it if the target has seen it or a higher one.
    pub attempt: Attempt,
    /// Passed to the target without being interpreted.
    pub payload: std::sync::Arc<str>,
    /// Resources that the task occupies.
    pub size: Size,
    /// Whether a run of the task has failed before.
    pub has_failed: bool,
}

/// Sent from an entry to another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Version of the sender's configuration, if it has one.
    pub version: Option<u64>,
    /// Request for a piece of the receiver's configuration.
    pub piece_request: Option<PieceRequest>,
    /// Answer to the receiver's request for a piece.
    pub piece_reply: Option<PieceReply>,
    /// Jobs whose cancellation was requested at the sender, which does not know them.
    pub cancelled: Vec<JobId>,
}
