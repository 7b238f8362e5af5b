//! The process beside a target, where tasks start.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::{
    answer::Reason,
    ids::{Epoch, Incarnation, Offset, SLICE_COUNT, SubmissionId, TaskIndex, slice_of},
    verdict::Verdict,
};

use super::{
    slot_grants::SlotGrants,
    task_memory::{AcceptedTask, TaskMemory},
};
use crate::{
    effect::{Destination, Effect},
    limits::{Limits, jittered},
    message::{
        AgentDescription, AgentHeartbeat, AgentLoad, Directive, Envelope, Message, Placement,
        Probe, Query, QueryReply, Report, Start, StartTask, TaskDone, TaskError, TaskReport,
        TaskReportState,
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
    pub fn finish(
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

    fn start(&mut self, now: Instant, from: Destination, start: Start, effects: &mut Vec<Effect>) {
        let stamp = self.started + Duration::from_millis(start.stamp_ms);
        let is_stale = now.saturating_duration_since(stamp) > self.limits.stamp_age;
        let mut reports = Vec::new();
        for task in start.tasks {
            let placement = task.placement.clone();
            let accepted = self.memory.get(&placement.submission_id, placement.index);
            if let Some(accepted) = accepted.filter(|task| !task.may_be_replaced_by(&placement)) {
                reports.push(accepted.report());
                continue;
            }
            match self.refusal(now, from.incarnation, &task, is_stale) {
                None => {
                    self.grants.use_grant(from.incarnation);
                    self.accept(now, from, task);
                }
                Some(refusal) => {
                    if refusal.reason == Reason::QueueFull {
                        self.grants.note_refused(from);
                    }
                    self.counters.refused_starts += 1;
                    self.memory.refuse(now, &placement);
                    reports.push(TaskReport { placement, state: TaskReportState::Failed(refusal) });
                }
            }
        }
        self.run_waiting(now, effects);
        self.send_report(now, from, reports, effects);
    }

    fn refusal(
        &mut self,
        now: Instant,
        from: Incarnation,
        task: &StartTask,
        is_stale: bool,
    ) -> Option<TaskError> {
        let placement = &task.placement;
        let slice = usize::from(slice_of(&placement.submission_id));
        let is_fenced = placement.epoch < self.fences[slice];
        if is_fenced || is_stale {
            self.counters.fenced_starts += 1;
            return Some(not_run(Reason::OwnerUnreachable, "the owner is out of date"));
        }
        self.fences[slice] = placement.epoch;
        if self.memory.is_refused(placement) {
            return Some(not_run(Reason::TargetUnreachable, "the placement was refused before"));
        }
        if self.is_leaving() {
            return Some(not_run(Reason::ShuttingDown, "the target is leaving"));
        }
        if task.slots > self.description.slots {
            return Some(not_run(Reason::NeverFits, "the target has too few slots"));
        }
        let taken_slots = self.busy_slots() + self.grants.kept_from(now, from);
        if taken_slots + task.slots > self.description.slots {
            return Some(not_run(Reason::QueueFull, "the target is busy"));
        }
        if self.memory.len() >= MAX_REMEMBERED_TASKS {
            return Some(not_run(Reason::IdTableFull, "the agent remembers too many tasks"));
        }
        None
    }

    fn accept(&mut self, now: Instant, from: Destination, task: StartTask) {
        let placement = task.placement.clone();
        let submission_id = placement.submission_id.clone();
        let reporter = self.reporters.entry(submission_id);
        let reporter = reporter.or_insert(Reporter { destination: from, open_tasks: 0 });
        reporter.destination = from;
        reporter.open_tasks += 1;
        let state = TaskReportState::Accepted;
        self.memory.accept(now, AcceptedTask { placement, state, slots: task.slots });
        let deadline = now + Duration::from_millis(task.timeout_ms);
        self.waiting.push_back(WaitingTask { task, deadline });
    }

    /// Hands waiting tasks to the target while there are free slots, in order of arrival.
    fn run_waiting(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(next) = self.waiting.front() {
            if self.running_slots + next.task.slots > self.description.slots {
                return;
            }
            let Some(WaitingTask { mut task, deadline }) = self.waiting.pop_front() else { return };
            let time_left = deadline.saturating_duration_since(now);
            if time_left.is_zero() {
                self.fail_waiting(now, &task.placement, effects);
                continue;
            }
            task.timeout_ms = time_left.as_millis().max(1) as u64;
            self.running_slots += task.slots;
            self.running_tasks += 1;
            self.counters.started_tasks += 1;
            effects.push(Effect::Run(Box::new(task)));
        }
    }

    fn fail_waiting(&mut self, now: Instant, placement: &Placement, effects: &mut Vec<Effect>) {
        let error = not_run(Reason::TimedOut, "the deadline passed before the task started");
        if let Some(report) = self.end_waiting(placement, error) {
            self.report_end(now, report, effects);
        }
    }

    /// A waiting task that ends keeps its place in memory, so that it never starts later.
    fn end_waiting(&mut self, placement: &Placement, error: TaskError) -> Option<TaskReport> {
        let task = self.memory.get_mut(&placement.submission_id, placement.index)?;
        task.state = TaskReportState::Failed(error);
        Some(task.report())
    }

    fn probe(&mut self, now: Instant, from: Destination, probe: &Probe, effects: &mut Vec<Effect>) {
        let mut reports = Vec::new();
        for placement in &probe.placements {
            let known = self.memory.get(&placement.submission_id, placement.index);
            let Some(known) = known else {
                self.memory.refuse(now, placement);
                let refusal = not_run(Reason::TargetUnreachable, "the start was not received");
                let state = TaskReportState::Failed(refusal);
                reports.push(TaskReport { placement: placement.clone(), state });
                continue;
            };
            reports.push(known.report());
        }
        self.send_report(now, from, reports, effects);
    }

    fn query(&mut self, now: Instant, from: Destination, query: &Query, effects: &mut Vec<Effect>) {
        let slice = usize::from(slice_of(&query.submission_id));
        if query.epoch < self.fences[slice] {
            return;
        }
        self.fences[slice] = query.epoch;
        if let Some(reporter) = self.reporters.get_mut(&query.submission_id) {
            reporter.destination = from;
        }
        let tasks = self.memory.reports(&query.submission_id);
        let submission_id = query.submission_id.clone();
        let reply = QueryReply { epoch: query.epoch, submission_id, tasks };
        effects.push(Effect::send(from, Message::QueryReply(reply)));
        self.run_waiting(now, effects);
    }

    /// Tasks that have not started go back to their owners, which place them elsewhere.
    fn give_back_waiting(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for waiting in std::mem::take(&mut self.waiting) {
            let error = not_run(Reason::ShuttingDown, "the target is leaving");
            if let Some(report) = self.end_waiting(&waiting.task.placement, error) {
                self.report_end(now, report, effects);
            }
        }
    }

    fn drop_waiting(&mut self, submission_id: &SubmissionId) {
        let is_dropped =
            |waiting: &WaitingTask| waiting.task.placement.submission_id == *submission_id;
        let waiting = std::mem::take(&mut self.waiting);
        let (dropped, kept): (VecDeque<WaitingTask>, _) = waiting.into_iter().partition(is_dropped);
        self.waiting = kept;
        for waiting in dropped {
            let error = not_run(Reason::Cancelled, "the submission was given up");
            self.end_waiting(&waiting.task.placement, error);
            self.close_task(submission_id);
        }
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
            self.description.formers.push(self.incarnation);
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
