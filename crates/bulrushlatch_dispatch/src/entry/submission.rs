//! Handling of callers' requests: submission, cancellation and state of jobs.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::BootTime,
    ids::{CallerId, JobId},
    job::JobRequest,
    outcome::{Answer, Refusal},
    routing::Route,
};

use super::{
    Entry,
    admission::{self, Admission, Demand, Supply},
    isolation::ISOLATED_WAIT,
    job_state::{JobState, TaskState},
    job_times::JobTimes,
    waiting::{WaitClass, WaitingTask},
};

/// Retry delay, before jitter, after a refusal for another reason than overload.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Largest number of tasks of a job.
const MAX_TASKS_PER_JOB: u64 = 10_000;

/// A job with its caller and route.
#[derive(Debug)]
pub struct Submission {
    /// Caller that waits for the answer.
    pub caller: CallerId,
    /// Route that matches the request's path.
    pub route: Arc<Route>,
    /// The job as submitted.
    pub request: JobRequest,
    /// Time until the caller's deadline; `None` if the caller set no deadline.
    pub remaining_time: Option<Duration>,
}

impl Entry {
    /// Handles a submission; the answer is returned by [`Entry::take_answers`].
    ///
    /// A job that is already open gets a further caller; a finished one is answered from the cache. One
    /// that is open for a caller elsewhere, or at another entry, ends.
    pub fn submit(&mut self, now: BootTime, submission: Submission) {
        self.detect_suspension(now);
        self.counters.arrived += 1;
        self.delegation.record_job(now);
        let job = submission.request.id.clone();
        let origin = self.delegation.origin_of(&[submission.caller]);
        if self.end_conflicting_job(now, origin, &job) {
            self.answers.push((submission.caller, Answer::Interrupted));
            return;
        }
        if let Some(state) = self.jobs.get_mut(&job) {
            tracing::info!(%job, "submitted again while open: attached");
            state.callers.push(submission.caller);
            self.callers.insert(submission.caller, job);
            return;
        }
        if let Some(answer) = self.answer_cache.get(&job) {
            tracing::info!(%job, %answer, "submitted again: answered from the cache");
            self.answers.push((submission.caller, answer));
            return;
        }
        if self.is_crashing_job(&job) {
            self.counters.crashing_jobs += 1;
            self.counters.failed += 1;
            tracing::info!(%job, "submitted again: failed, as targets crash under it");
            self.answers.push((submission.caller, Answer::Failed));
            return;
        }
        if self.is_crash_likely(&job, &submission.route) {
            tracing::info!(%job, "submitted again: not started while its route is isolated");
            self.answers.push((submission.caller, Answer::Interrupted));
            return;
        }
        if let Some(reason) = self.refusal_reason(&submission.request) {
            self.refuse(now, submission.caller, &job, reason, Duration::ZERO);
            return;
        }
        self.admit(now, submission);
    }

    /// Handles a caller that no longer waits; stops its job if no other caller waits for it.
    pub fn caller_gone(&mut self, now: BootTime, caller: CallerId) {
        self.detect_suspension(now);
        if self.delegated_caller_gone(caller) {
            return;
        }
        let Some(job) = self.callers.remove(&caller) else { return };
        let Some(state) = self.jobs.get_mut(&job) else { return };
        state.callers.retain(|&waiting| waiting != caller);
        if state.callers.is_empty() {
            self.counters.abandoned += 1;
            tracing::info!(%job, "caller gone: stopping the job");
            self.end_job(now, &job, Answer::Interrupted);
            self.place_waiting_tasks(now);
        }
    }

    /// Cancels a job; returns whether it was open at this entry.
    pub fn cancel(&mut self, now: BootTime, job: &JobId) -> bool {
        self.detect_suspension(now);
        if self.cancel_delegated(job) {
            return true;
        }
        if !self.jobs.contains_key(job) {
            return false;
        }
        tracing::info!(%job, "cancelled");
        self.end_job(now, job, Answer::Cancelled);
        self.place_waiting_tasks(now);
        true
    }

    /// Returns [`Answer::Running`] for an open job, [`Answer::UnknownJob`] for any other.
    pub fn state(&self, job: &JobId) -> Answer {
        let is_open = self.jobs.contains_key(job) || self.delegation.outgoing().contains(job);
        if is_open { Answer::Running } else { Answer::UnknownJob }
    }

    /// Returns the number of a route's open jobs that have not run and have no placed task.
    pub fn unstarted_jobs(&self, route: &Route) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.route.name == route.name && !job.may_have_run()).count()
    }

    /// Returns why a job is refused whatever the free capacity, if it is.
    fn refusal_reason(&self, request: &JobRequest) -> Option<Refusal> {
        let tasks: u64 = request.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if self.is_shutting_down {
            Some(Refusal::ShuttingDown)
        } else if request.unsupported.is_some() {
            Some(Refusal::Unsupported)
        } else if tasks == 0 || tasks > MAX_TASKS_PER_JOB {
            Some(Refusal::Malformed)
        } else {
            None
        }
    }

    /// Adds an arriving job, accepted or not, to the averages of load and demand.
    fn record_arrival(
        &mut self,
        now: BootTime,
        route: &Route,
        demand: &Demand,
        critical_path: Duration,
    ) {
        self.overload.record_job(&route.name, demand.max_wait);
        self.demands.record(now, &route.name, demand.cpu_millis);
        self.record_arrived_share(now, route, demand.cpu_millis);
        self.record_urgent_demand(now, route, demand.cpu_millis, critical_path, demand.max_wait);
        let load = self.offered_loads.entry(route.service.clone()).or_default();
        load.record(now, demand.cpu_millis, critical_path);
        self.demand.record_job(now, route, demand.cpu_millis, critical_path);
    }

    /// Accepts or refuses a job by the available capacity; queues the initial tasks of an accepted
    /// job.
    fn admit(&mut self, now: BootTime, submission: Submission) {
        let Submission { caller, route, request, remaining_time } = submission;
        let job = request.id.clone();
        let critical_path = self.expected_critical_path(&route, &request);
        let times = JobTimes::new(critical_path, route.objective(critical_path));
        let demand = Demand {
            cpu_millis: request.initial_demand().cpu_millis,
            max_wait: times.max_wait(),
            max_late_wait: times.max_late_wait(),
        };
        self.record_arrival(now, &route, &demand, critical_path);
        let is_isolated = self.is_isolated(&job, &route);
        if is_isolated && !self.has_isolated_target(now, &job, &route, &request.steps) {
            self.refuse(now, caller, &job, Refusal::Overloaded, ISOLATED_WAIT);
            return;
        }
        let has_targets =
            request.steps.iter().all(|step| self.has_fitting_target(now, &route, step));
        if !has_targets && !self.is_discovering(now, &route) {
            self.refuse(now, caller, &job, Refusal::NoTarget, Duration::ZERO);
            return;
        }
        let supply = self.supply(now, &route, times.critical_path, demand.max_late_wait);
        let admission = match admission::decide(&demand, &supply) {
            // Targets are about to be found.
            Admission::Refuse { wait } if !has_targets => Admission::Accept { wait },
            Admission::Refuse { wait } if is_isolated => Admission::Accept { wait },
            admission => admission,
        };
        self.log_admission(&job, &route, &demand, &supply, admission);
        let class = match admission {
            Admission::Accept { .. } => WaitClass::InTime,
            Admission::AcceptLate { .. } => WaitClass::Late,
            Admission::Refuse { wait } => {
                self.record_refused_share(now, &route, demand.cpu_millis);
                self.refuse(now, caller, &job, Refusal::Overloaded, wait);
                return;
            }
        };
        let deadline_at = remaining_time.map_or(BootTime::MAX, |remaining| now + remaining);
        let state = JobState {
            steps: TaskState::for_steps(&request),
            callers: vec![caller],
            arrived_at: now,
            deadline_at,
            latest_start_at: (now + demand.max_wait).min(deadline_at),
            objective_at: now + times.objective,
            useful_until: now + times.useful,
            class,
            has_run: false,
            expected_end_at: BootTime::ZERO,
            paths_after: request.paths_after(),
            request,
            route,
        };
        self.queue_job(now, state);
    }

    /// Opens an accepted job and places its initial tasks as far as there is capacity.
    fn queue_job(&mut self, now: BootTime, mut job: JobState) {
        let due_at = if job.is_late() { job.useful_until } else { job.latest_start_at };
        let due_at = due_at.min(job.deadline_at);
        let class = job.class;
        for key in job.unblock_tasks() {
            let cpu_millis = job.cpu_millis(&key);
            let task = WaitingTask { class, due_at, key };
            self.waiting.insert(task, cpu_millis, &job.route.name);
        }
        for &caller in &job.callers {
            self.callers.insert(caller, job.request.id.clone());
        }
        self.jobs.insert(job.request.id.clone(), job);
        self.place_waiting_tasks(now);
    }

    /// Logs an admission decision with its inputs, which are as old as the last frames of the
    /// agents in use.
    fn log_admission(
        &self,
        job: &JobId,
        route: &Route,
        demand: &Demand,
        supply: &Supply,
        admission: Admission,
    ) {
        let (decision, wait) = match admission {
            Admission::Accept { wait } => ("taken", wait),
            Admission::AcceptLate { wait } => ("taken, will be late", wait),
            Admission::Refuse { wait } => ("refused on arrival", wait),
        };
        tracing::info!(
            %job,
            route = %route.name,
            version = self.version(),
            cpu_millis = demand.cpu_millis,
            patience_ms = demand.max_wait.as_millis() as u64,
            free_cpu_millis = supply.free_cpu_millis,
            queued_cpu_millis = supply.queued_cpu_millis,
            late_cpu_millis = supply.late_cpu_millis,
            max_late_cpu_millis = supply.max_late_cpu_millis,
            released_cpu_millis_per_s = supply.released_cpu_millis_per_s as u64,
            wait_ms = wait.as_millis() as u64,
            "{decision}"
        );
    }

    /// Returns the expected run time of a job's critical path.
    pub(super) fn expected_critical_path(&self, route: &Route, request: &JobRequest) -> Duration {
        self.run_times.expected(&route.name, request.critical_path())
    }

    /// Answers a caller with a refusal and a retry delay; only overload makes the delay depend on
    /// `wait`. A job that was at a crash has run, so it is not refused but interrupted.
    pub(super) fn refuse(
        &mut self,
        now: BootTime,
        caller: CallerId,
        job: &JobId,
        reason: Refusal,
        wait: Duration,
    ) {
        if self.crash_history.has_job(job) {
            self.counters.interrupted += 1;
            tracing::info!(%job, %reason, "submitted again after a crash: interrupted");
            self.answers.push((caller, Answer::Interrupted));
            return;
        }
        self.counters.refused += 1;
        let retry_after = match reason {
            Refusal::Overloaded => admission::retry_after(wait, self.rng.f64()),
            _ => admission::retry_after(DEFAULT_RETRY_DELAY, self.rng.f64()),
        };
        if reason != Refusal::Overloaded {
            let version = self.version();
            tracing::info!(%job, %reason, version, agents = self.agents.len(), at_ms = now.as_millis() as u64, "refused");
        }
        self.answers.push((caller, Answer::Refused { reason, retry_after }));
    }
}
