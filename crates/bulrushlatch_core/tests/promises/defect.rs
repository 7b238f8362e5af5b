//! Mechanisms that the harness can switch off, at the interfaces of the decisions.

use bulrushlatch_core::message::{Message, NoteAck, TaskReportState};
use bulrushlatch_protocol::verdict::Verdict;
use serde_json::value::RawValue;

/// One mechanism that does not work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Witnesses acknowledge ids that they do not remember.
    ForgetfulWitness,
    /// Entries tell a new owner of no id.
    CollectNothing,
    /// Agents take the word of every owner as current.
    NoFence,
    /// A replaced agent has the incarnation of the one before it.
    SameIncarnation,
    /// An agent that is probed says that it has not seen a task, and may still take it.
    ProbeRefusesNothing,
    /// Agents mix up the results of two tasks.
    SwapResults,
    /// Agents say that tasks without a reply did not run.
    ClaimNotRun,
    /// Entries stop to read settings.
    NoSettings,
    /// An agent that shuts down takes tasks as before.
    LeaveUnannounced,
    /// Entries exit without draining.
    ExitAtOnce,
    /// A peer offers old settings as new ones.
    RevertSettings,
}

/// What becomes of a message on its way.
pub enum Passage {
    /// It goes on, perhaps changed.
    Deliver(Message),
    /// It is answered by the harness instead.
    AnswerInstead(Message),
}

impl Sabotage {
    /// Returns what becomes of a message.
    pub fn pass(self, message: Message) -> Passage {
        match (self, message) {
            (Self::ForgetfulWitness, Message::Note(note)) => {
                let accepted = note.ids.iter().map(|id| id.submission_id.clone()).collect();
                let ack = NoteAck { epoch: note.epoch, accepted };
                Passage::AnswerInstead(Message::NoteAck(ack))
            }
            (Self::CollectNothing, Message::Collected(mut collected)) => {
                collected.ids.clear();
                Passage::Deliver(Message::Collected(collected))
            }
            (Self::NoFence, Message::Start(mut start)) => {
                start.stamp_ms = u64::MAX / 4;
                for task in &mut start.tasks {
                    task.placement.epoch += 1_000_000;
                }
                Passage::Deliver(Message::Start(start))
            }
            (Self::NoFence, Message::Query(mut query)) => {
                query.epoch += 1_000_000;
                Passage::Deliver(Message::Query(query))
            }
            (Self::NoFence, Message::QueryReply(mut reply)) => {
                reply.epoch -= 1_000_000;
                Passage::Deliver(Message::QueryReply(reply))
            }
            (Self::ProbeRefusesNothing, Message::Probe(probe)) => {
                Passage::AnswerInstead(unseen(&probe))
            }
            (Self::SwapResults, Message::Report(mut report)) => {
                for task in &mut report.tasks {
                    if let TaskReportState::Done(done) = &mut task.state {
                        done.result = RawValue::NULL.to_owned().into();
                    }
                }
                Passage::Deliver(Message::Report(report))
            }
            (Self::ClaimNotRun, Message::Report(mut report)) => {
                for task in &mut report.tasks {
                    if let TaskReportState::Failed(error) = &mut task.state {
                        error.ran = Verdict::NotRun;
                    }
                }
                Passage::Deliver(Message::Report(report))
            }
            (_, message) => Passage::Deliver(message),
        }
    }
}

fn unseen(probe: &bulrushlatch_core::message::Probe) -> Message {
    use bulrushlatch_core::message::{AgentLoad, Report, TaskError, TaskReport};
    use bulrushlatch_protocol::answer::Reason;
    let tasks = probe.placements.iter().map(|placement| TaskReport {
        placement: placement.clone(),
        state: TaskReportState::Failed(TaskError {
            ran: Verdict::NotRun,
            reason: Reason::TargetUnreachable,
            message: "the start was not received".to_owned(),
        }),
    });
    let load = AgentLoad { busy_slots: 0, leaving: false, stamp_ms: 0 };
    Message::Report(Report { load, tasks: tasks.collect() })
}
