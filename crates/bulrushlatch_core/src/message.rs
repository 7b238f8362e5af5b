//! Messages between the processes of the system.
//!
//! Every message may be lost, delayed, duplicated or reordered; receivers rely on the epochs,
//! incarnations and attempt numbers in the messages and not on the transport.

use std::{net::SocketAddr, sync::Arc};

use bulrushlatch_protocol::{
    answer::{Answer, Reason, TaskFailure},
    ids::{
        Epoch, Incarnation, KindName, Offset, Payload, ProcessName, ServiceName, SliceId,
        SubmissionId, TaskIndex, ZoneName,
    },
    submission::Submission,
    verdict::Verdict,
};
use serde::{Deserialize, Serialize};

use crate::{
    connection::quota::{QuotaLoan, QuotaRequest},
    request::known::KnownId,
    version::settings::SettingsTree,
    version::view::View,
};

/// Identifies a waiting caller within one entry.
pub type Ticket = u64;
/// Number of a placement, counted by each shard since it started and never reset; within an epoch,
/// a higher attempt replaces a lower one.
pub type Attempt = u64;

/// Messages that one process sends to another in one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Incarnation of the sender.
    pub from: Incarnation,
    /// Address of the sender.
    pub from_address: SocketAddr,
    /// Intended incarnation of the receiver; zero if the sender does not know it.
    pub to: Incarnation,
    /// Messages; their order has no meaning.
    pub messages: Vec<Message>,
}

/// A message between two processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Entry to entry: the sender is alive.
    EntryHeartbeat(EntryHeartbeat),
    /// Entry to entry: agreed state that is newer than the receiver's.
    StateUpdate(StateUpdate),
    /// Entry to owner: a submission of a caller at the sender.
    Forward(Forward),
    /// Entry to owner: cancel a submission.
    Cancel(Lookup),
    /// Entry to owner: report the state of a submission.
    Lookup(Lookup),
    /// Owner to entry: the answer for a waiting caller.
    Answered(Answered),
    /// Entry to entry: the receiver of a forward does not own the slice.
    NotOwner(NotOwner),
    /// Owner to witness: store copies of these ids, so that they outlive the owner.
    Note(Note),
    /// Witness to owner: the copies of ids that are stored.
    NoteAck(NoteAck),
    /// New owner to entry: send all ids of these slices, and reject notes of older owners.
    Collect(Collect),
    /// Entry to new owner: the ids of the slices that the sender holds as owner or witness.
    Collected(Collected),
    /// Owner to entry: these slices are sealed in this epoch, that is, fully replicated: another
    /// member holds every id, or there is no other member.
    Sealed(Sealed),
    /// Entry to entry: lend slots of a quota.
    #[serde(rename = "quota_ask")]
    QuotaRequest(QuotaRequest),
    /// Entry to entry: slots of a quota are lent.
    QuotaLoan(QuotaLoan),
    /// Owner to agent: start these tasks.
    Start(Start),
    /// Owner to agent: report the state of placed tasks, and never start those not received yet.
    Probe(Probe),
    /// New owner to agent: report all tasks of a submission, and refuse older owners of its slice.
    Query(Query),
    /// Owner to agent: drop the tasks of a submission that have not started.
    Drop(DropTasks),
    /// Entry to agent: the agreed state that concerns the agent.
    Directive(Directive),
    /// Agent to entry: the agent is alive.
    AgentHeartbeat(AgentHeartbeat),
    /// Agent to owner: states of tasks.
    Report(Report),
    /// Agent to new owner: the answer to a query.
    QueryReply(QueryReply),
}

/// Reports that an entry is alive, and how much agreed state it has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// Next ownership offset that the sender will apply.
    pub ownership_offset: Offset,
    /// Next settings offset that the sender will apply.
    pub settings_offset: Offset,
    /// Registered agents from which the sender has received no heartbeat for too long.
    pub silent_agents: Vec<Incarnation>,
    /// The sender's clock in milliseconds.
    pub sent_ms: u64,
    /// The receiver's clock in the latest heartbeat that the sender has received from it.
    pub echo_ms: Option<u64>,
}

/// Agreed state for an entry that lags or cannot read the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The membership view, if the receiver has an older one.
    pub view: Option<Arc<View>>,
    /// The settings tree, if the receiver has an older one.
    pub settings: Option<Arc<SettingsTree>>,
}

/// A submission that is forwarded to its owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Forward {
    /// The waiting caller at the sender.
    pub ticket: Ticket,
    /// Epoch in which the receiver is the owner, according to the sender.
    pub epoch: Epoch,
    /// The sender's clock in milliseconds, which the answer returns.
    pub sent_ms: u64,
    /// Whether the sender stores the id as a witness.
    pub is_witness: bool,
    /// The submission; its `timeout_ms` is the remaining time.
    pub submission: Arc<Submission>,
}

/// A request for the state of a submission ([`Message::Lookup`]), or to cancel it
/// ([`Message::Cancel`]).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lookup {
    /// The waiting caller at the sender.
    pub ticket: Ticket,
    /// The submission.
    pub submission_id: SubmissionId,
}

/// An answer for a caller that waits at the receiver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answered {
    /// The waiting caller at the receiver.
    pub ticket: Ticket,
    /// The answer.
    pub answer: Answer,
    /// The receiver's clock when it sent the latest copy of the request that has arrived.
    pub sent_ms: u64,
    /// Time from the arrival of that copy until the answer was sent.
    pub held_ms: u64,
}

/// Rejects a forwarded request, because the sender does not own its slice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NotOwner {
    /// The waiting caller at the receiver.
    pub ticket: Ticket,
    /// Next ownership offset that the sender will apply.
    pub ownership_offset: Offset,
}

/// Replicates ids: the receiver is to store them as a witness.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Note {
    /// Epoch in which the sender owns the slices of the ids.
    pub epoch: Epoch,
    /// Ids to store.
    pub ids: Vec<KnownId>,
}

/// Acknowledges the ids of a note, which are thereby replicated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NoteAck {
    /// Epoch of the note.
    pub epoch: Epoch,
    /// The ids of the note that are stored.
    pub accepted: Vec<SubmissionId>,
}

/// A new owner's request for all ids of some slices, of which other entries hold replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Collect {
    /// The view in which the sender owns the slices.
    pub view: Arc<View>,
    /// Slices whose ids are requested.
    pub slices: Vec<SliceId>,
}

/// Reply to [`Collect`]: all ids of some slices that the sender knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Collected {
    /// Epoch of the request.
    pub epoch: Epoch,
    /// The requested slices, with their latest sealed epochs.
    pub slices: Vec<SealedSlice>,
    /// Known ids of the slices.
    pub ids: Vec<KnownId>,
    /// Previous incarnations of the sender's process, whose ids it still has.
    #[serde(rename = "formers")]
    pub previous_incarnations: Vec<Incarnation>,
}

/// Latest epoch in which a slice is known to have been sealed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SealedSlice {
    /// The slice.
    pub slice: SliceId,
    /// Its latest sealed epoch; zero if the sender knows of none.
    pub epoch: Epoch,
}

/// Reports that slices are sealed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sealed {
    /// The sealed slices.
    pub slices: Vec<SealedSlice>,
}

/// Tasks to start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// Latest stamp that the owner has received from the agent; see [`AgentLoad::stamp_ms`].
    pub stamp_ms: u64,
    /// Tasks to start, each with its placement.
    pub tasks: Vec<StartTask>,
}

/// One task to start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartTask {
    /// The placement.
    pub placement: Placement,
    /// Kind of the task.
    pub kind: KindName,
    /// Payload that is passed to the target unchanged.
    pub payload: Payload,
    /// Slots that the task occupies.
    pub slots: u32,
    /// Remaining time for the task.
    pub timeout_ms: u64,
}

/// One placement of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Submission of the task.
    pub submission_id: SubmissionId,
    /// Index of the task in its submission.
    pub index: TaskIndex,
    /// Epoch in which the owner placed it.
    pub epoch: Epoch,
    /// Number of the placement, counted by the owner's shard.
    pub attempt: Attempt,
}

/// Placements whose state the owner requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Probe {
    /// Placements to report.
    pub placements: Vec<Placement>,
}

/// A submission whose tasks a new owner requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// Epoch in which the sender owns the submission.
    pub epoch: Epoch,
    /// The submission.
    pub submission_id: SubmissionId,
}

/// A submission whose waiting tasks are not to be started any more.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DropTasks {
    /// The submission.
    pub submission_id: SubmissionId,
}

/// The agreed state that concerns an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Directive {
    /// Settings offset at which `drain` was read; the directive with the highest one applies.
    pub settings_offset: Offset,
    /// Ownership offset at which `entries` and `gone` were read; the highest one applies.
    pub ownership_offset: Offset,
    /// Whether operators drain the target.
    pub drain: bool,
    /// Whether the agent's incarnation was declared gone; the agent must choose a new one.
    pub gone: bool,
    /// Addresses of all entries.
    pub entries: Vec<SocketAddr>,
}

/// Reports that an agent is alive, and its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// Description of the agent.
    pub agent: AgentDescription,
    /// Load of the agent.
    pub load: AgentLoad,
    /// Settings offset of the latest directive that the agent applied.
    pub settings_offset: Offset,
    /// Ownership offset of the latest directive that the agent applied.
    pub ownership_offset: Offset,
}

/// Identity of an agent and properties of its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentDescription {
    /// Name, stable over restarts.
    pub name: ProcessName,
    /// Address of the agent.
    pub address: SocketAddr,
    /// Availability zone of its target.
    pub zone: ZoneName,
    /// Service of its target.
    pub service: ServiceName,
    /// Slots of its target.
    pub slots: u32,
    /// Previous incarnations of the same process, whose task memory it still has.
    #[serde(rename = "formers")]
    pub previous_incarnations: Vec<Incarnation>,
}

/// Load of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentLoad {
    /// Slots that are occupied by running and waiting tasks, or reserved for other entries.
    pub busy_slots: u32,
    /// Whether the agent accepts no new tasks.
    pub leaving: bool,
    /// The agent's clock in milliseconds since it started.
    pub stamp_ms: u64,
}

/// States of tasks, from an agent to an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Load of the agent after these state changes.
    pub load: AgentLoad,
    /// Current states of tasks; empty when only the load is reported.
    pub tasks: Vec<TaskReport>,
}

/// The state of one placement, as an agent reports it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    /// The placement that the state belongs to.
    pub placement: Placement,
    /// The state.
    pub state: TaskReportState,
}

/// State of a task at an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskReportState {
    /// The task waits or runs.
    Accepted,
    /// The task completed with a result.
    Done(TaskDone),
    /// The task failed, or was refused if `ran` is [`Verdict::NotRun`].
    Failed(TaskError),
}

/// Result and run time of a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskDone {
    /// Result that the target returned.
    pub result: Payload,
    /// Run time at the target.
    pub run_ms: u64,
}

/// Failure or refusal of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskError {
    /// Whether the task may have run; a refusal is permanent for the attempt.
    pub ran: Verdict,
    /// Reason of the failure.
    pub reason: Reason,
    /// Details for operators and callers.
    pub message: String,
}

impl TaskError {
    /// Converts the error to the failure of the task at `index`.
    pub fn into_task_failure(self, index: TaskIndex) -> TaskFailure {
        TaskFailure { index, ran: self.ran, reason: self.reason, message: self.message }
    }
}

/// All tasks of a submission that an agent has seen.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryReply {
    /// Epoch of the query.
    pub epoch: Epoch,
    /// The submission.
    pub submission_id: SubmissionId,
    /// All remembered tasks that were accepted.
    pub tasks: Vec<TaskReport>,
}
