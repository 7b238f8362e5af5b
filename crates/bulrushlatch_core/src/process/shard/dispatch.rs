//! Placement of queued tasks and handling of the reports on them.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::{
    answer::Reason,
    ids::{Incarnation, ServiceName, SubmissionId, TeamId, slice_of},
    verdict::Verdict,
};

use super::{Moment, Shard};
use crate::{
    connection::placement::{Candidate, PlacementRule},
    effect::{Destination, Effect},
    message::{
        Message, Placement, Probe, Report, Start, StartTask, TaskError, TaskReport, TaskReportState,
    },
    request::{
        job::{DoneTask, JobPhase, PlacedTask, TaskState},
        queue::{QueuedTask, TaskKey},
    },
    version::policy::{team_quota, team_weight},
};

/// Tasks to start by agent, so that each agent gets them in one message.
type StartsByAgent = BTreeMap<Incarnation, Vec<StartTask>>;

impl<P: PlacementRule> Shard<P> {
    /// Places queued tasks as long as agents have free slots and quotas allow it.
    pub fn dispatch(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        if self.queue.is_empty() {
            return;
        }
        let mut starts = StartsByAgent::new();
        for service in self.queue.waiting_services() {
            while let Some((task, agent)) = self.next_placement(moment, &service) {
                self.place(moment, &task, agent, &mut starts);
            }
        }
        self.send_starts(starts, effects);
    }

    pub(super) fn handle_report(
        &mut self,
        moment: Moment,
        from: Destination,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        for task in report.tasks {
            self.handle_task_report(moment, from.incarnation, task, effects);
        }
        self.dispatch(moment, effects);
    }

    /// Probes the placed tasks of a job for which no start or probe was sent and no acceptance was
    /// received within `limits.probe`.
    pub(super) fn probe_placed_tasks(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        let mut probes: BTreeMap<Incarnation, Vec<Placement>> = BTreeMap::new();
        for (index, task) in job.tasks.iter_mut().enumerate() {
            let TaskState::Placed(placed) = task else { continue };
            let since_sent = moment.now.saturating_duration_since(placed.last_sent);
            if since_sent < self.limits.probe {
                continue;
            }
            placed.last_sent = moment.now;
            let placement = placed.placement(submission_id, index);
            probes.entry(placed.agent).or_default().push(placement);
        }
        for (agent, placements) in probes {
            let Some(to) = self.tables.agents().destination(agent) else { continue };
            self.counters.probes += placements.len() as u64;
            effects.push(Effect::send(to, Message::Probe(Probe { placements })));
        }
    }

    /// Fails the tasks placed on agents that are no longer registered.
    ///
    /// These tasks may have run, and no agent will report how they ended.
    pub(super) fn fail_tasks_of_gone_agents(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let view = Arc::clone(&self.view);
        let open: Vec<SubmissionId> = self.deadlines.iter().map(|(_, id)| id.clone()).collect();
        for submission_id in open {
            let Some(job) = self.jobs.get_mut(&submission_id) else { continue };
            let holds_slots = job.holds_slots();
            let mut is_any_lost = false;
            for (index, task) in job.tasks.iter_mut().enumerate() {
                let TaskState::Placed(placed) = task else { continue };
                if view.agents.contains_key(&placed.agent) {
                    continue;
                }
                let error = TaskError {
                    ran: Verdict::MayHaveRun,
                    reason: Reason::TargetLost,
                    message: "the agent beside the target was lost".to_owned(),
                };
                if holds_slots {
                    let slots = job.submission.tasks[index].slots;
                    self.tables.quotas().release(&job.submission.team, slots);
                }
                *task = TaskState::Failed(error.into_task_failure(index as u32));
                is_any_lost = true;
            }
            if is_any_lost && holds_slots {
                self.answer_if_ended(moment, &submission_id, effects);
            }
        }
    }

    /// Takes the next task that can be placed at a service from the queue, and chooses its agent.
    fn next_placement(
        &mut self,
        moment: Moment,
        service: &ServiceName,
    ) -> Option<(QueuedTask, Incarnation)> {
        let tables = Arc::clone(&self.tables);
        let settings = Arc::clone(&self.settings);
        let agents = tables.agents();
        let mut quotas = tables.quotas();
        let mut candidates: Vec<Candidate> = Vec::new();
        let weight_of = |team: &TeamId| team_weight(&settings, team);
        let fits = |team: &TeamId, task: &QueuedTask| {
            let quota_slots = team_quota(&settings, team);
            let mut may_acquire = |quota| quotas.may_acquire(moment.now, team, quota, task.slots);
            if quota_slots.is_some_and(|quota| !may_acquire(quota)) {
                return false;
            }
            let silence_limit = self.limits.silence_limit;
            candidates =
                agents.candidates(moment.now, silence_limit, &self.zone, service, task.slots);
            // The shared table may already follow a later view than this shard, one in which
            // another entry owns the slice.
            candidates.retain(|candidate| self.view.agents.contains_key(&candidate.agent));
            !candidates.is_empty()
        };
        let task = self.queue.pop(service, weight_of, fits)?;
        let job = self.jobs.get(&task.key.submission_id);
        let is_preferred = |candidate: &Candidate| {
            job.is_none_or(|job| !job.avoided_agents.contains(&candidate.agent))
        };
        if candidates.iter().any(is_preferred) {
            candidates.retain(is_preferred);
        }
        let chosen = self.placement_rule.choose(&candidates);
        Some((task, candidates[chosen].agent))
    }

    fn place(
        &mut self,
        moment: Moment,
        queued: &QueuedTask,
        agent: Incarnation,
        starts: &mut StartsByAgent,
    ) {
        let TaskKey { submission_id, index } = &queued.key;
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        let Some(state) = job.tasks.get_mut(*index as usize) else { return };
        let TaskState::Queued(refusals) = *state else { return };
        self.last_attempt += 1;
        let placed = PlacedTask {
            agent,
            epoch: self.view.epoch,
            attempt: self.last_attempt,
            refusals,
            last_sent: moment.now,
            is_accepted: false,
        };
        let placement = placed.placement(submission_id, *index as usize);
        *state = TaskState::Placed(placed);
        let task = &job.submission.tasks[*index as usize];
        let remaining = job.deadline.saturating_duration_since(moment.now);
        starts.entry(agent).or_default().push(StartTask {
            placement,
            kind: task.kind.clone(),
            payload: task.payload.clone(),
            slots: task.slots,
            timeout_ms: remaining.as_millis().max(1) as u64,
        });
        self.counters.placements += 1;
        self.tables.agents().record_placement(moment.now, agent, task.slots);
        self.tables.quotas().acquire(&job.submission.team, task.slots);
    }

    fn send_starts(&self, starts: StartsByAgent, effects: &mut Vec<Effect>) {
        for (agent, tasks) in starts {
            let agents = self.tables.agents();
            let Some(to) = agents.destination(agent) else { continue };
            let stamp_ms = agents.latest_stamp_ms(agent);
            effects.push(Effect::send(to, Message::Start(Start { stamp_ms, tasks })));
        }
    }

    fn handle_task_report(
        &mut self,
        moment: Moment,
        agent: Incarnation,
        report: TaskReport,
        effects: &mut Vec<Effect>,
    ) {
        let TaskReport { placement, state } = report;
        let job = self.jobs.get_mut(&placement.submission_id);
        let Some(job) = job.filter(|job| !job.is_answered()) else { return };
        let index = placement.index as usize;
        let Some(TaskState::Placed(placed)) = job.tasks.get_mut(index) else { return };
        let is_current = placed.agent == agent
            && (placed.epoch, placed.attempt) == (placement.epoch, placement.attempt);
        if !is_current {
            return;
        }
        if matches!(state, TaskReportState::Accepted) {
            placed.is_accepted = true;
            placed.last_sent = moment.now;
            return;
        }
        let refusals = placed.refusals;
        self.release_slots(&placement.submission_id, index, agent);
        match state {
            TaskReportState::Accepted => {}
            TaskReportState::Done(done) => {
                self.record_run_time(&placement, done.run_ms);
                self.tables.agents().record_success(agent);
                let done = DoneTask { agent, result: done.result };
                self.set_task_state(&placement, TaskState::Done(done));
                self.answer_if_ended(moment, &placement.submission_id, effects);
            }
            TaskReportState::Failed(error) => {
                self.record_target_failure(moment.now, agent, &error);
                let job = self.jobs.get_mut(&placement.submission_id);
                if let Some(job) = job.filter(|_| error.reason != Reason::QueueFull) {
                    job.avoided_agents.insert(agent);
                }
                self.handle_task_failure(moment, &placement, refusals, error, effects);
            }
        }
    }

    fn handle_task_failure(
        &mut self,
        moment: Moment,
        placement: &Placement,
        refusals: u32,
        error: TaskError,
        effects: &mut Vec<Effect>,
    ) {
        let may_place_again = error.ran.is_safe_to_retry();
        // A target without a free slot is not counted as a refusal: it is no fault, and a later
        // report shows when a slot is free.
        let is_busy = error.reason == Reason::QueueFull;
        let refusals = refusals + u32::from(!is_busy);
        if may_place_again {
            self.counters.refused_placements += 1;
        }
        if may_place_again && refusals < self.limits.max_refusals {
            self.set_task_state(placement, TaskState::Queued(refusals));
            self.requeue(placement);
            return;
        }
        let failure = error.into_task_failure(placement.index);
        self.set_task_state(placement, TaskState::Failed(failure));
        self.answer_if_ended(moment, &placement.submission_id, effects);
    }

    fn requeue(&mut self, placement: &Placement) {
        let Some(job) = self.jobs.get(&placement.submission_id) else { return };
        if !matches!(job.phase, JobPhase::Active) {
            return;
        }
        let submission = &job.submission;
        let task = &submission.tasks[placement.index as usize];
        let expected_ms =
            self.run_times.expected_ms(&submission.service, &task.kind, task.expected_ms);
        let submission_id = placement.submission_id.clone();
        let key = TaskKey { submission_id, index: placement.index };
        let queued = QueuedTask { key, slots: task.slots, expected_ms };
        self.queue.push(&submission.service, &submission.team, job.deadline, queued);
    }

    fn set_task_state(&mut self, placement: &Placement, state: TaskState) {
        let Some(job) = self.jobs.get_mut(&placement.submission_id) else { return };
        if let Some(task) = job.tasks.get_mut(placement.index as usize) {
            *task = state;
        }
    }

    fn record_run_time(&mut self, placement: &Placement, run_ms: u64) {
        let Some(job) = self.jobs.get(&placement.submission_id) else { return };
        let kind = &job.submission.tasks[placement.index as usize].kind;
        self.run_times.record(&job.submission.service, kind, run_ms);
    }

    fn record_target_failure(&mut self, now: Instant, agent: Incarnation, error: &TaskError) {
        let is_target_fault = matches!(
            error.reason,
            Reason::TaskFailed | Reason::TargetUnreachable | Reason::TargetLost
        );
        if is_target_fault && self.tables.agents().record_failure(now, agent) {
            self.counters.ejections += 1;
        }
    }

    /// Frees the slots of a placed task at its agent and in the quota of its team.
    pub(super) fn release_slots(
        &self,
        submission_id: &SubmissionId,
        index: usize,
        agent: Incarnation,
    ) {
        let Some(job) = self.jobs.get(submission_id) else { return };
        let slots = job.submission.tasks[index].slots;
        self.tables.agents().record_task_end(agent, slots);
        self.tables.quotas().release(&job.submission.team, slots);
    }

    /// Returns how long a job has been waiting for a witness to acknowledge its id.
    pub(super) fn witness_wait(&self, moment: Moment, submission_id: &str) -> Duration {
        let phase = self.jobs.get(submission_id).map(|job| &job.phase);
        match phase {
            Some(JobPhase::AwaitingWitness(wait)) => {
                moment.now.saturating_duration_since(wait.since)
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns whether this shard owns the slice of a submission.
    pub(super) fn owns(&self, submission_id: &str) -> bool {
        self.owned.contains_key(&slice_of(submission_id))
    }
}
