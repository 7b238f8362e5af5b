//! The process beside a target, where tasks start.
//!
//! - [`starting`]: which tasks start, and when

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
    verdict::Verdict,
};

use super::{slot_reservations::SlotGrants, task_memory::TaskMemory};
use crate::{
    effect::{Destination, Effect},
    limits::{Limits, jittered},
    message::{
        AgentDescription, AgentHeartbeat, AgentLoad, Directive, Envelope, Message, Report,
        StartTask, TaskDone, TaskError, TaskReport, TaskReportState,
    },
};

/// Most tasks that an agent remembers; beyond it new ones are refused.
const MAX_REMEMBERED_TASKS: usize = 400_000;

/// Decides which tasks start at one target, and remembers them.
///
/// A task is started only here, and only when all of these hold: the message is for this
/// incarnation, its epoch is not below the fence of the slice, its stamp is fresh, the target is
/// not leaving, and the task was neither accepted nor refused before.
#[derive(Debug)]
pub struct Agent {
    incarnation: Incarnation,
    description: AgentDescription,
    limits: Arc<Limits>,
    /// Start of the stamps that owners send back.
    started: Instant,
    /// Lowest epoch whose owner is obeyed, for each slice; never falls.
    fences: Vec<Epoch>,
    memory: TaskMemory,
    /// Accepted tasks that wait for slots.
    waiting: VecDeque<WaitingTask>,
    /// Owner to whom the tasks of a submission are reported.
    reporters: BTreeMap<SubmissionId, Reporter>,
    grants: SlotGrants,
    /// Slots of running tasks.
    running_slots: u32,
    running_tasks: u32,
    /// Entries to send heartbeats to.
    entries: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
    next_heartbeat: Instant,
    settings_offset: Offset,
    ownership_offset: Offset,
    is_drained: bool,
    is_shutting_down: bool,
    counters: AgentCounters,
    random: fastrand::Rng,
}

/// Counts of what an agent did since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Tasks handed to the target.
    pub started_tasks: u64,
    /// Tasks that gave a result.
    pub done_tasks: u64,
    /// Tasks that ended badly.
    pub failed_tasks: u64,
    /// Starts that were refused.
    pub refused_starts: u64,
    /// Starts refused because their owner or stamp was out of date.
    pub fenced_starts: u64,
}

#[derive(Debug)]
struct WaitingTask {
    task: StartTask,
    /// When the task is given up.
    deadline: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Reporter {
    destination: Destination,
    /// Tasks of the submission that have not ended.
    open_tasks: u32,
}

impl Agent {
    /// Returns an agent that has accepted nothing yet.
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
            reporters: BTreeMap::new(),
            grants: SlotGrants::default(),
            running_slots: 0,
            running_tasks: 0,
            entries: seeds.clone(),
            seeds,
            next_heartbeat: now,
            settings_offset: 0,
            ownership_offset: 0,
            is_drained: false,
            is_shutting_down: false,
            counters: AgentCounters::default(),
            random: fastrand::Rng::with_seed(incarnation),
        }
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns who the agent is.
    pub fn description(&self) -> &AgentDescription {
        &self.description
    }

    /// Returns what the agent did since it started.
    pub fn counters(&self) -> AgentCounters {
        self.counters
    }

    /// Returns the settings offset that the agent obeys.
    pub fn settings_offset(&self) -> Offset {
        self.settings_offset
    }

    /// Returns whether the agent takes no new tasks.
    pub fn is_leaving(&self) -> bool {
        self.is_drained || self.is_shutting_down
    }

    /// Returns whether no accepted task is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.running_tasks == 0 && self.waiting.is_empty()
    }

    /// Returns the number of tasks that are remembered.
    pub fn remembered_tasks(&self) -> usize {
        self.memory.len()
    }

    /// Takes no new tasks from now on.
    pub fn begin_shutdown(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.is_shutting_down = true;
        self.give_back_waiting(now, effects);
        self.send_heartbeats(now, effects);
    }

    /// Takes one call from another process into account.
    pub fn receive(&mut self, now: Instant, envelope: Envelope, effects: &mut Vec<Effect>) {
        if envelope.to != 0 && envelope.to != self.incarnation {
            return;
        }
        let from = Destination { address: envelope.from_address, incarnation: envelope.from };
        for message in envelope.messages {
            match message {
                Message::Start(start) => self.start(now, from, start, effects),
                Message::Probe(probe) => self.probe(now, from, &probe, effects),
                Message::Query(query) => self.query(now, from, &query, effects),
                Message::Drop(drop) => self.drop_waiting(&drop.submission_id),
                Message::Directive(directive) => self.obey(now, directive, effects),
                _ => {}
            }
        }
        self.run_waiting(now, effects);
    }

    /// Takes the end of a task at the target into account.
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
        self.memory.note_result(submission_id, index, self.limits.max_result_bytes);
        self.running_slots = self.running_slots.saturating_sub(slots);
        self.running_tasks = self.running_tasks.saturating_sub(1);
        self.run_waiting(now, effects);
        let granted = self.grant_slots(now);
        let owner = self.report_end(now, report, effects);
        for entry in granted.into_iter().filter(|entry| Some(*entry) != owner) {
            let report = Report { load: self.load(now, entry.incarnation), tasks: Vec::new() };
            effects.push(Effect::send(entry, Message::Report(report)));
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if now >= self.next_heartbeat {
            self.send_heartbeats(now, effects);
        }
        // Owners hold ids for the window after the answer, so agents must remember for longer.
        let memory_time = self.limits.id_window * 2 + Duration::from_secs(600);
        if let Some(oldest) = now.checked_sub(memory_time) {
            self.memory.forget_accepted(now, oldest);
        }
        if let Some(oldest) = now.checked_sub(self.limits.stamp_age * 2) {
            self.memory.forget_refused(oldest);
        }
        self.run_waiting(now, effects);
    }

    fn obey(&mut self, now: Instant, directive: Directive, effects: &mut Vec<Effect>) {
        if directive.settings_offset >= self.settings_offset {
            self.settings_offset = directive.settings_offset;
            self.is_drained = directive.drain;
        }
        if self.is_leaving() {
            self.give_back_waiting(now, effects);
        }
        if directive.ownership_offset < self.ownership_offset {
            return;
        }
        self.ownership_offset = directive.ownership_offset;
        self.entries = directive.entries;
        if directive.gone {
            // Owners have given up on this incarnation. The memory stays, so that no task
            // that was accepted under it can start again here.
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

    /// Reports the end of a task, and returns to whom.
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

    /// Keeps free slots for entries that were refused, and returns those entries.
    fn grant_slots(&mut self, now: Instant) -> Vec<Destination> {
        if self.is_leaving() {
            return Vec::new();
        }
        let free_slots = self.description.slots.saturating_sub(self.busy_slots());
        std::iter::from_fn(|| self.grants.grant_next(now, free_slots)).collect()
    }

    /// Notes that a task of a submission ended, and returns whom to tell.
    fn close_task(&mut self, submission_id: &SubmissionId) -> Option<Destination> {
        let reporter = self.reporters.get_mut(submission_id)?;
        let destination = reporter.destination;
        reporter.open_tasks = reporter.open_tasks.saturating_sub(1);
        if reporter.open_tasks == 0 {
            self.reporters.remove(submission_id);
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

    /// Returns the load as one entry sees it, which cannot use what is kept for others.
    fn load(&self, now: Instant, entry: Incarnation) -> AgentLoad {
        let stamp = now.saturating_duration_since(self.started);
        AgentLoad {
            busy_slots: self.busy_slots() + self.grants.kept_from(now, entry),
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
