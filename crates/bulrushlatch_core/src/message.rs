//! Messages between the processes of the system.
//!
//! Every message may be lost, delayed, duplicated or reordered; the receivers rely on the
//! epochs, incarnations and attempt numbers in them and not on the transport.

use std::{net::SocketAddr, sync::Arc};

use bulrushlatch_protocol::{
    answer::{Answer, Reason, TaskFailure},
    ids::{
        Epoch, Incarnation, KindName, NodeName, Offset, Payload, ServiceName, SliceId,
        SubmissionId, TaskIndex, ZoneName,
    },
    submission::Submission,
    verdict::Verdict,
};
use serde::{Deserialize, Serialize};

use crate::{
    connection::quota::{QuotaAsk, QuotaLoan},
    request::known::KnownId,
    version::settings::SettingsTree,
    version::view::View,
};

/// Identifies a waiting caller within one entry.
pub type Ticket = u64;
/// Counts the placements of an owner; a higher attempt of the same epoch replaces a lower one.
pub type Attempt = u64;

/// What one process sends to another in one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Incarnation of the sender.
    pub from: Incarnation,
    /// Where the sender can be reached.
    pub from_address: SocketAddr,
    /// Incarnation that is meant; zero when the sender does not know it.
    pub to: Incarnation,
    /// Messages, in no binding order.
    pub messages: Vec<Message>,
}

/// One message.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Entry to entry: the sender is alive.
    EntryHeartbeat(EntryHeartbeat),
    /// Entry to entry: newer agreed state than the receiver has shown.
    StateUpdate(StateUpdate),
    /// Entry to owner: a submission of a caller at the sender.
    Forward(Forward),
    /// Entry to owner: cancel a submission.
    Cancel(Lookup),
    /// Entry to owner: tell the state of a submission.
    Lookup(Lookup),
    /// Owner to entry: the answer for a waiting caller.
    Answered(Answered),
    /// Entry to entry: the receiver of a forward does not own the slice.
    NotOwner(NotOwner),
    /// Owner to witness: remember these ids.
    Note(Note),
    /// Witness to owner: whether the ids are remembered.
    NoteAck(NoteAck),
    /// New owner to entry: tell all ids of these slices, and take no more notes of older owners.
    Collect(Collect),
    /// Entry to new owner: the ids of the slices.
    Collected(Collected),
    /// Owner to entry: every id of these slices has two holders in this epoch.
    Sealed(Sealed),
    /// Entry to entry: lend slots of a quota.
    QuotaAsk(QuotaAsk),
    /// Entry to entry: slots of a quota are lent.
    QuotaLoan(QuotaLoan),
    /// Owner to agent: start these tasks.
    Start(Start),
    /// Owner to agent: tell the state of placed tasks, and never start those not seen yet.
    Probe(Probe),
    /// New owner to agent: tell all tasks of a submission, and refuse older owners of its slice.
    Query(Query),
    /// Owner to agent: drop the tasks of a submission that have not started.
    Drop(DropTasks),
    /// Entry to agent: what the agent must know of agreed state.
    Directive(Directive),
    /// Agent to entry: the agent is alive.
    AgentHeartbeat(AgentHeartbeat),
    /// Agent to owner: states of tasks.
    Report(Report),
    /// Agent to new owner: the answer to a query.
    QueryReply(QueryReply),
}

/// Shows that an entry is alive and how much agreed state it has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// Next ownership offset that the sender will fold.
    pub ownership_offset: Offset,
    /// Next settings offset that the sender will fold.
    pub settings_offset: Offset,
    /// Registered agents that the sender has not heard of for too long.
    pub silent_agents: Vec<Incarnation>,
    /// The sender's clock in milliseconds.
    pub sent_ms: u64,
    /// The receiver's clock in the latest heartbeat that the sender had from it.
    pub echo_ms: Option<u64>,
}

/// Agreed state for a process that lags or cannot read the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The membership view, if the receiver has an older one.
    pub view: Option<Arc<View>>,
    /// The settings tree, if the receiver has an older one.
    pub settings: Option<Arc<SettingsTree>>,
}

/// A submission on its way to its owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Forward {
    /// The waiting caller at the sender.
    pub ticket: Ticket,
    /// Epoch in which the sender takes the receiver for the owner.
    pub epoch: Epoch,
    /// The sender's clock in milliseconds, which the answer brings back.
    pub sent_ms: u64,
    /// Whether the sender remembers the id as a witness.
    pub is_witness: bool,
    /// The submission; its `timeout_ms` is the time that is left.
    pub submission: Arc<Submission>,
}

/// A question about, or the cancellation of, a submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lookup {
    /// The waiting caller at the sender.
    pub ticket: Ticket,
    /// The submission.
    pub submission_id: SubmissionId,
}

/// An answer on its way to the entry where the caller waits.
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

/// Sends a forwarded request back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NotOwner {
    /// The waiting caller at the receiver.
    pub ticket: Ticket,
    /// Next ownership offset that the sender will fold.
    pub ownership_offset: Offset,
}

/// Ids that the receiver must remember.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Note {
    /// Epoch in which the sender owns the slices of the ids.
    pub epoch: Epoch,
    /// The ids.
    pub ids: Vec<KnownId>,
}

/// Whether noted ids are remembered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NoteAck {
    /// Epoch of the note.
    pub epoch: Epoch,
    /// The ids of the note that are remembered.
    pub accepted: Vec<SubmissionId>,
}

/// Asks for all ids of some slices.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Collect {
    /// The view in which the sender owns the slices.
    pub view: Arc<View>,
    /// The slices.
    pub slices: Vec<SliceId>,
}

/// All ids of some slices that the sender knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Collected {
    /// Epoch of the question.
    pub epoch: Epoch,
    /// The slices.
    pub slices: Vec<SealedSlice>,
    /// Known ids of the slices.
    pub ids: Vec<KnownId>,
    /// Earlier incarnations of the sender, whose memory it still has.
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

/// Tells that slices are sealed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sealed {
    /// The sealed slices.
    pub slices: Vec<SealedSlice>,
}

/// Tasks to start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// Time of the agent's clock, in milliseconds, that the owner last heard of.
    pub stamp_ms: u64,
    /// The tasks.
    pub tasks: Vec<StartTask>,
}

/// One task to start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartTask {
    /// The placement.
    pub placement: Placement,
    /// Kind of the task.
    pub kind: KindName,
    /// Passed to the target as it is.
    pub payload: Payload,
    /// Slots that the task takes.
    pub slots: u32,
    /// Time that is left for the task.
    pub timeout_ms: u64,
}

/// One placement of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Submission of the task.
    pub submission_id: SubmissionId,
    /// Position of the task.
    pub index: TaskIndex,
    /// Epoch in which the owner placed it.
    pub epoch: Epoch,
    /// Count of the placement.
    pub attempt: Attempt,
}

/// Placements whose state the owner asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Probe {
    /// The placements.
    pub placements: Vec<Placement>,
}

/// A submission whose tasks a new owner asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// Epoch in which the sender owns the submission.
    pub epoch: Epoch,
    /// The submission.
    pub submission_id: SubmissionId,
}

/// Tasks that need not be started any more.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DropTasks {
    /// The submission.
    pub submission_id: SubmissionId,
}

/// What an agent must know of agreed state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Directive {
    /// Settings offset that `drain` was read at; the highest one counts.
    pub settings_offset: Offset,
    /// Ownership offset that `entries` and `gone` were read at; the highest one counts.
    pub ownership_offset: Offset,
    /// Whether operators drain the target.
    pub drain: bool,
    /// Whether the agent's incarnation was declared gone; it must take a new one.
    pub gone: bool,
    /// Addresses of all entries.
    pub entries: Vec<SocketAddr>,
}

/// Shows that an agent is alive and what it can take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// Who the agent is.
    pub agent: AgentDescription,
    /// Its load.
    pub load: AgentLoad,
    /// Settings offset that the agent obeys.
    pub settings_offset: Offset,
    /// Ownership offset that the agent obeys.
    pub ownership_offset: Offset,
}

/// Who an agent is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentDescription {
    /// Name, stable over restarts.
    pub name: NodeName,
    /// Where the agent can be reached.
    pub address: SocketAddr,
    /// Availability zone of its target.
    pub zone: ZoneName,
    /// Service of its target.
    pub service: ServiceName,
    /// Slots of its target.
    pub slots: u32,
    /// Earlier incarnations of the same process, whose memory it still has.
    #[serde(rename = "formers")]
    pub previous_incarnations: Vec<Incarnation>,
}

/// Load of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentLoad {
    /// Slots that running and waiting tasks take.
    pub busy_slots: u32,
    /// Whether the agent takes no new tasks.
    pub leaving: bool,
    /// The agent's clock in milliseconds since it started.
    pub stamp_ms: u64,
}

/// States of tasks, from an agent to an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Load after these states.
    pub load: AgentLoad,
    /// The tasks.
    pub tasks: Vec<TaskReport>,
}

/// State of one task at an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    /// The placement that the state belongs to.
    pub placement: Placement,
    /// The state.
    pub state: TaskReportState,
}

/// What an agent knows of a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskReportState {
    /// It waits or runs.
    Accepted,
    /// It ran and gave a result.
    Done(TaskDone),
    /// It ended badly, or was refused when `ran` is [`Verdict::NotRun`].
    Failed(TaskError),
}

/// A result and how long it took.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskDone {
    /// What the target answered.
    pub result: Payload,
    /// Run time at the target.
    pub run_ms: u64,
}

/// How a task ended badly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskError {
    /// Whether it may have run; a refusal is for good for the attempt.
    pub ran: Verdict,
    /// Why.
    pub reason: Reason,
    /// Details for a person.
    pub message: String,
}

impl TaskError {
    /// Returns the error as the failure of the task at `index`.
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
    /// The tasks that were accepted at some time.
    pub tasks: Vec<TaskReport>,
}
