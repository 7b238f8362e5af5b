//! Deliberate defects, to test that the oracle detects them.

use bulrushlatch_core::message::{Message, NoteAck, TaskReportState};
use bulrushlatch_protocol::verdict::Verdict;
use serde_json::value::RawValue;

/// A deliberate defect, injected into messages and process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Witnesses acknowledge ids without storing them.
    ForgetfulWitness,
    /// Entries report no ids to the new owner of a slice.
    CollectNothing,
    /// Agents treat every owner as current, also those with an old epoch.
    NoFence,
    /// A restarted agent reuses its previous incarnation.
    SameIncarnation,
    /// Agents answer probes with "not run" for every task, without refusing a later start.
    ProbeRefusesNothing,
    /// Agents report `null` in place of the results of tasks.
    NullResults,
    /// Agents report every failed task as not run.
    ClaimNotRun,
    /// Entries stop reading settings once the cluster is up.
    NoSettings,
    /// An agent that shuts down does not announce it and continues to accept tasks.
    LeaveUnannounced,
    /// Entries exit without draining.
    ExitAtOnce,
    /// A peer sends empty settings under a new offset.
    RevertSettings,
}

/// How a defect affects a message in flight.
pub enum Interception {
    /// The message is delivered, possibly changed.
    Deliver(Message),
    /// The message is dropped and the sender gets this reply.
    Reply(Message),
}

impl Defect {
    /// Applies the defect to a message.
    pub fn intercept(self, message: Message) -> Interception {
        match (self, message) {
            (Self::ForgetfulWitness, Message::Note(note)) => {
                let accepted = note.ids.iter().map(|id| id.submission_id.clone()).collect();
                let ack = NoteAck { epoch: note.epoch, accepted };
                Interception::Reply(Message::NoteAck(ack))
            }
            (Self::CollectNothing, Message::Collected(mut collected)) => {
                collected.ids.clear();
                Interception::Deliver(Message::Collected(collected))
            }
            (Self::NoFence, Message::Start(mut start)) => {
                start.stamp_ms = u64::MAX / 4;
                for task in &mut start.tasks {
                    task.placement.epoch += 1_000_000;
                }
                Interception::Deliver(Message::Start(start))
            }
            (Self::NoFence, Message::Query(mut query)) => {
                query.epoch += 1_000_000;
                Interception::Deliver(Message::Query(query))
            }
            (Self::NoFence, Message::QueryReply(mut reply)) => {
                reply.epoch -= 1_000_000;
                Interception::Deliver(Message::QueryReply(reply))
            }
            (Self::ProbeRefusesNothing, Message::Probe(probe)) => {
                Interception::Reply(reply_not_run(&probe))
            }
            (Self::NullResults, Message::Report(mut report)) => {
                for task in &mut report.tasks {
                    if let TaskReportState::Done(done) = &mut task.state {
                        done.result = RawValue::NULL.to_owned().into();
                    }
                }
                Interception::Deliver(Message::Report(report))
            }
            (Self::ClaimNotRun, Message::Report(mut report)) => {
                for task in &mut report.tasks {
                    if let TaskReportState::Failed(error) = &mut task.state {
                        error.ran = Verdict::NotRun;
                    }
                }
                Interception::Deliver(Message::Report(report))
            }
            (_, message) => Interception::Deliver(message),
        }
    }
}

fn reply_not_run(probe: &bulrushlatch_core::message::Probe) -> Message {
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
