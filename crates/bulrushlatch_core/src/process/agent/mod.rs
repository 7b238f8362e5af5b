//! The agent: the process beside a target that accepts and starts tasks.
//!
//! - [`starting`]: starting and refusing tasks, and replies to probes and queries

pub mod starting;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::{
    answer::Reason,
    ids::{Epoch, Incarnation, Offset, SLICE_COUNT, SubmissionId, TaskIndex},
    submission::MAX_TIMEOUT_MS,
    verdict::Verdict,
};

use super::{slot_reservations::SlotReservations, task_memory::TaskMemory};
use crate::{
    effect::{Destination, Effect},
    limits::{Limits, jittered},
    message::{
        AgentDescription, AgentHeartbeat, AgentLoad, Directive, Envelope, Message, Report,
        StartTask, TaskDone, TaskError, TaskReport, TaskReportState,
    },
};

/// Maximum number of remembered tasks; at this number the agent refuses new ones.
const MAX_REMEMBERED_TASKS: usize = 400_000;

/// Decides which tasks start at one target, and remembers them.
///
/// A task is started only here, and only when all of these hold: the message names this
/// incarnation or none, its epoch is not below the fence of the slice, its stamp is fresh, the
/// target is not leaving, enough slots are free, this placement was not refused, and no earlier
/// placement of the task may have started or may still start.
#[derive(Debug)]
pub struct Agent {
    incarnation: Incarnation,
    description: AgentDescription,
    limits: Arc<Limits>,
    /// Zero point of the stamps that owners send back with each start.
    started: Instant,
    /// For each slice, the lowest owner epoch that is accepted; never decreases.
    fences: Vec<Epoch>,
    memory: TaskMemory,
    /// Accepted tasks that wait for slots.
    waiting: VecDeque<WaitingTask>,
    /// For each submission with unfinished tasks, the owner that receives the reports.
    report_receivers: BTreeMap<SubmissionId, ReportReceiver>,
    reservations: SlotReservations,
    /// Slots of running tasks.
    running_slots: u32,
    running_tasks: u32,
    /// Entries to send heartbeats to.
    entries: Vec<SocketAddr>,
    /// Entries from the process settings, used while `entries` is empty.
    seeds: Vec<SocketAddr>,
    next_heartbeat: Instant,
    settings_offset: Offset,
    ownership_offset: Offset,
    is_drain_requested: bool,
    is_shutting_down: bool,
    counters: AgentCounters,
    random: fastrand::Rng,
}

/// Event counts since the agent started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Tasks handed to the target.
    pub started_tasks: u64,
    /// Tasks that completed with a result.
    pub done_tasks: u64,
    /// Tasks that were started and failed.
    pub failed_tasks: u64,
    /// Starts that were refused.
    pub refused_starts: u64,
    /// Starts refused because their owner's epoch or their stamp was out of date.
    pub fenced_starts: u64,
}

#[derive(Debug)]
struct WaitingTask {
    task: StartTask,
    /// Time at which the task fails if it has not started.
    deadline: Instant,
}

#[derive(Clone, Copy, Debug)]
struct ReportReceiver {
    destination: Destination,
    /// Tasks of the submission that have not ended.
    open_tasks: u32,
}

impl Agent {
    /// Returns an agent that has accepted no tasks yet.
    pub fn new(
        incarnation: Incarnation,
        description: AgentDescription,
        limits: Arc<Limits>,
        seeds: Vec<SocketAddr>,
        now: Instant,
    ) -> Self {
        Self {
            incarnation,
            description,
            limits,
            started: now,
            fences: vec![0; usize::from(SLICE_COUNT)],
            memory: TaskMemory::default(),
            waiting: VecDeque::new(),
            report_receivers: BTreeMap::new(),
            reservations: SlotReservations::default(),
            running_slots: 0,
            running_tasks: 0,
            entries: seeds.clone(),
            seeds,
            next_heartbeat: now,
            settings_offset: 0,
            ownership_offset: 0,
            is_drain_requested: false,
            is_shutting_down: false,
            counters: AgentCounters::default(),
            random: fastrand::Rng::with_seed(incarnation),
        }
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the agent's name, address, availability zone, service and slots.
    pub fn description(&self) -> &AgentDescription {
        &self.description
    }

    /// Returns the event counts since the agent started.
    pub fn counters(&self) -> AgentCounters {
        self.counters
    }

    /// Returns the settings offset of the newest directive that was applied.
    pub fn settings_offset(&self) -> Offset {
        self.settings_offset
    }

    /// Returns whether the agent accepts no new tasks.
    pub fn is_leaving(&self) -> bool {
        self.is_drain_requested || self.is_shutting_down
    }

    /// Returns whether no accepted task is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.running_tasks == 0 && self.waiting.is_empty()
    }

    /// Returns the number of tasks that are remembered.
    pub fn remembered_tasks(&self) -> usize {
        self.memory.len()
    }

    /// Stops accepting tasks, returns waiting ones to their owners and sends a heartbeat.
    pub fn begin_shutdown(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.is_shutting_down = true;
        self.return_waiting_tasks(now, effects);
        self.send_heartbeats(now, effects);
    }

    /// Handles the messages of one envelope; ignores one that is for another incarnation.
    pub fn receive(&mut self, now: Instant, envelope: Envelope, effects: &mut Vec<Effect>) {
        if envelope.to != 0 && envelope.to != self.incarnation {
            return;
        }
        let from = Destination { address: envelope.from_address, incarnation: envelope.from };
        for message in envelope.messages {
            match message {
                Message::Start(start) => self.handle_start(now, from, start, effects),
                Message::Probe(probe) => self.handle_probe(now, from, &probe, effects),
                Message::Query(query) => self.handle_query(now, from, &query, effects),
                Message::Drop(drop) => self.drop_waiting_tasks(&drop.submission_id),
                Message::Directive(directive) => self.apply_directive(now, directive, effects),
                _ => {}
            }
        }
        self.start_waiting_tasks(now, effects);
    }

    /// Records the outcome of a task at the target and reports it to the owner.
    pub fn finish_task(
        &mut self,
        now: Instant,
        submission_id: &SubmissionId,
        index: TaskIndex,
        outcome: Result<TaskDone, TaskError>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(task) = self.memory.get_mut(submission_id, index) else { return };
        let state = match outcome {
            Ok(done) => TaskReportState::Done(done),
            Err(error) => TaskReportState::Failed(error),
        };
        match &state {
            TaskReportState::Done(_) => self.counters.done_tasks += 1,
            _ => self.counters.failed_tasks += 1,
        }
        task.state = state;
        let slots = task.slots;
        let report = task.report();
        self.memory.record_result(submission_id, index, self.limits.max_result_bytes);
        self.running_slots = self.running_slots.saturating_sub(slots);
        self.running_tasks = self.running_tasks.saturating_sub(1);
        self.start_waiting_tasks(now, effects);
        let reserved_for = self.reserve_slots(now);
        let owner = self.report_end(now, report, effects);
        for entry in reserved_for.into_iter().filter(|entry| Some(*entry) != owner) {
            let report = Report { load: self.load(now, entry.incarnation), tasks: Vec::new() };
            effects.push(Effect::send(entry, Message::Report(report)));
        }
    }

    /// Sends due heartbeats, forgets old tasks and refusals, and starts or expires waiting tasks.
    pub fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if now >= self.next_heartbeat {
            self.send_heartbeats(now, effects);
        }
        // Agents must remember the tasks of an id for longer than owners keep the id: one id window
        // longer than `Shard::id_lifetime`.
        let memory_time = self.limits.id_window * 2 + Duration::from_millis(MAX_TIMEOUT_MS);
        if let Some(oldest) = now.checked_sub(memory_time) {
            self.memory.forget_accepted(now, oldest);
        }
        if let Some(oldest) = now.checked_sub(self.limits.stamp_age * 2) {
            self.memory.forget_refused(oldest);
        }
        self.start_waiting_tasks(now, effects);
    }

    fn apply_directive(&mut self, now: Instant, directive: Directive, effects: &mut Vec<Effect>) {
        if directive.settings_offset >= self.settings_offset {
            self.settings_offset = directive.settings_offset;
            self.is_drain_requested = directive.drain;
        }
        if self.is_leaving() {
            self.return_waiting_tasks(now, effects);
        }
        if directive.ownership_offset < self.ownership_offset {
            return;
        }
        self.ownership_offset = directive.ownership_offset;
        self.entries = directive.entries;
        if directive.gone {
            // Owners no longer wait for this incarnation. The task memory is kept, so that no
            // task that was accepted under it can start again here.
            self.description.previous_incarnations.push(self.incarnation);
            self.incarnation = self.random.u64(1..);
            self.send_heartbeats(now, effects);
        }
    }

    fn send_heartbeats(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.next_heartbeat = now + jittered(self.limits.heartbeat, &mut self.random);
        let heartbeat = AgentHeartbeat {
            agent: self.description.clone(),
            load: self.load(now, 0),
            settings_offset: self.settings_offset,
            ownership_offset: self.ownership_offset,
        };
        let receivers = if self.entries.is_empty() { &self.seeds } else { &self.entries };
        for &address in receivers {
            let to = Destination { address, incarnation: 0 };
            effects.push(Effect::send(to, Message::AgentHeartbeat(heartbeat.clone())));
        }
    }

    /// Reports the end of a task to the owner of its submission, and returns that owner.
    fn report_end(
        &mut self,
        now: Instant,
        report: TaskReport,
        effects: &mut Vec<Effect>,
    ) -> Option<Destination> {
        let submission_id = report.placement.submission_id.clone();
        let destination = self.close_task(&submission_id)?;
        self.send_report(now, destination, vec![report], effects);
        Some(destination)
    }

    /// Reserves free slots for refused entries, and returns those entries.
    fn reserve_slots(&mut self, now: Instant) -> Vec<Destination> {
        if self.is_leaving() {
            return Vec::new();
        }
        let free_slots = self.description.slots.saturating_sub(self.busy_slots());
        std::iter::from_fn(|| self.reservations.reserve_next(now, free_slots)).collect()
    }

    /// Records that a task of a submission ended, and returns the owner to report it to.
    fn close_task(&mut self, submission_id: &SubmissionId) -> Option<Destination> {
        let receiver = self.report_receivers.get_mut(submission_id)?;
        let destination = receiver.destination;
        receiver.open_tasks = receiver.open_tasks.saturating_sub(1);
        if receiver.open_tasks == 0 {
            self.report_receivers.remove(submission_id);
        }
        Some(destination)
    }

    fn send_report(
        &self,
        now: Instant,
        to: Destination,
        tasks: Vec<TaskReport>,
        effects: &mut Vec<Effect>,
    ) {
        if tasks.is_empty() {
            return;
        }
        let report = Report { load: self.load(now, to.incarnation), tasks };
        effects.push(Effect::send(to, Message::Report(report)));
    }

    /// Returns the load to report to `entry`; slots reserved for other entries count as busy.
    fn load(&self, now: Instant, entry: Incarnation) -> AgentLoad {
        let stamp = now.saturating_duration_since(self.started);
        AgentLoad {
            busy_slots: self.busy_slots() + self.reservations.reserved_for_others(now, entry),
            leaving: self.is_leaving(),
            stamp_ms: stamp.as_millis() as u64,
        }
    }

    fn busy_slots(&self) -> u32 {
        let waiting_slots: u32 = self.waiting.iter().map(|waiting| waiting.task.slots).sum();
        self.running_slots + waiting_slots
    }
}

fn not_run(reason: Reason, message: &str) -> TaskError {
    TaskError { ran: Verdict::NotRun, reason, message: message.to_owned() }
}
