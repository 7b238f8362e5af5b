//! Jobs and their callers.

use super::*;

/// Run time of a task that takes longer than its caller waits: such a run, once it is not stopped, is
/// still there when the caller submits the job again.
const OVERLONG_RUN_MS: u64 = 3_500;
/// Estimate of such a task, with which its job is accepted.
const OVERLONG_ESTIMATE_MS: u64 = 200;
/// Time for which the caller of such a job waits for each answer.
const OVERLONG_WAIT_MS: u64 = 600;

impl World {
    /// Lets the tasks of every `interval`th job take longer than its callers wait.
    pub fn with_overlong_jobs(mut self, interval: usize) -> Self {
        self.overlong_job_interval = interval;
        self
    }

    fn is_overlong_job(&self, number: usize) -> bool {
        let interval = self.overlong_job_interval;
        interval > 0 && number.is_multiple_of(interval)
    }

    /// Submits a new job and schedules the next one.
    pub(super) fn new_job(&mut self) {
        if self.now_ms < BOOT_MS + LENGTH.as_millis() as u64 - NO_NEW_JOBS_MS {
            let are_faults_over = self.now_ms >= BOOT_MS + FAULTS_OVER_MS;
            let interval = if are_faults_over { RECOVERY_JOB_INTERVAL_MS } else { JOB_INTERVAL_MS };
            self.after(interval, Event::NewJob);
        } else {
            return;
        }
        let number = self.jobs.len();
        let tasks = self.rng.u32(1..=3);
        let job = Job {
            id: format!("job-{number}").into(),
            tasks,
            submitted_ms: self.now_ms,
            is_over: false,
            is_completed: false,
            crashes_targets: self.is_crashing_job(number),
            is_overlong: self.is_overlong_job(number),
            open_submission: None,
        };
        self.jobs.push(job);
        self.summary.submitted += 1;
        self.submit(number);
    }

    /// Submits a job to a random entry, unless it is over or its deadline has passed.
    pub(super) fn submit(&mut self, number: usize) {
        let job = &self.jobs[number];
        if job.is_over || self.now_ms >= job.submitted_ms + CALLER_DEADLINE_MS {
            return;
        }
        let entry = self.rng.usize(..self.entries.len());
        let incarnation = self.entries[entry].id.incarnation;
        if self.entries[entry].core.is_none()
            || self.now_ms < self.entries[entry].suspended_until_ms
        {
            self.after(RESEND_AFTER_MS, Event::Submit { job: number });
            return;
        }
        self.last_caller += 1;
        let caller = self.last_caller;
        self.callers.insert(caller, number);
        self.jobs[number].open_submission = Some((entry, incarnation, caller));
        if self.is_delegating && self.delegate(entry, incarnation, caller, number) {
            return;
        }
        self.submit_at(entry, incarnation, caller, number);
    }

    /// Submits a job to the given entry, which carries it out.
    pub(super) fn submit_at(
        &mut self,
        entry: usize,
        incarnation: u64,
        caller: CallerId,
        number: usize,
    ) {
        let request = self.request(number);
        let remaining_time = Some(self.remaining_time(number));
        let submission =
            Submission { caller, route: Arc::new(route_of(number)), request, remaining_time };
        self.with_entry(entry, incarnation, |core, now| core.submit(now, submission));
    }

    pub(super) fn remaining_time(&self, number: usize) -> Duration {
        let job = &self.jobs[number];
        let remaining_ms = (job.submitted_ms + CALLER_DEADLINE_MS).saturating_sub(self.now_ms);
        let wait_ms = if job.is_overlong { OVERLONG_WAIT_MS } else { CALLER_DEADLINE_MS };
        Duration::from_millis(remaining_ms.min(wait_ms))
    }

    pub(super) fn request(&self, number: usize) -> JobRequest {
        let usual_run_ms = 30 + (number as u64 * 137) % 1_700;
        let (run_ms, estimate_ms) = if self.jobs[number].is_overlong {
            (OVERLONG_RUN_MS, OVERLONG_ESTIMATE_MS)
        } else {
            (usual_run_ms, usual_run_ms)
        };
        JobRequest {
            id: self.jobs[number].id.clone(),
            payload: Arc::from(run_ms.to_string()),
            steps: vec![Step {
                tasks: self.jobs[number].tasks,
                size: Size { cpu_millis: TASK_CPU_MILLIS, memory_mb: 1, accelerators: 0 },
                estimate: Duration::from_millis(estimate_ms),
                depends_on: Vec::new(),
                required_label: None,
                preferred_label: None,
                max_per_target: None,
            }],
            unsupported: None,
        }
    }

    /// Handles an entry's answer; callers submit interrupted jobs again.
    pub(super) fn handle_answer(&mut self, caller: CallerId, answer: Answer) {
        let Some(number) = self.callers.remove(&caller) else { return };
        let job = &mut self.jobs[number];
        if job.open_submission.is_none_or(|(_, _, current)| current != caller) {
            return;
        }
        job.open_submission = None;
        let is_crash_case = self.crashing_job_interval > 0;
        if is_crash_case && answer == Answer::Failed && !job.crashes_targets {
            let violation =
                format!("{} ms: {} failed, though it crashes nothing", self.now_ms, job.id);
            self.oracle.record_violation(violation);
        }
        self.oracle.record_answer(self.now_ms, &job.id, job.tasks, answer);
        match answer {
            Answer::Interrupted => self.after(RESEND_AFTER_MS, Event::Submit { job: number }),
            Answer::Completed => {
                job.is_over = true;
                job.is_completed = true;
                self.summary.completed += 1;
            }
            _ => job.is_over = true,
        }
    }

    /// Closes the connections of all callers to an entry; the callers submit again.
    pub(super) fn disconnect_callers(&mut self, entry: usize) {
        for number in 0..self.jobs.len() {
            if self.jobs[number].open_submission.is_some_and(|(at, _, _)| at == entry) {
                self.jobs[number].open_submission = None;
                self.oracle.record_no_answer(&self.jobs[number].id.clone());
                self.after(RESEND_AFTER_MS, Event::Submit { job: number });
            }
        }
    }

    /// Closes the connections of half of the callers to a suspended entry; the callers submit again.
    pub(super) fn disconnect_some_callers(&mut self, entry: usize) {
        for number in 0..self.jobs.len() {
            let Some((at, incarnation, caller)) = self.jobs[number].open_submission else {
                continue;
            };
            if at != entry || self.rng.bool() {
                continue;
            }
            self.jobs[number].open_submission = None;
            self.oracle.record_no_answer(&self.jobs[number].id.clone());
            self.after(RESEND_AFTER_MS, Event::Submit { job: number });
            // The entry notices the closed connection some time after it has resumed.
            let delay_ms = self.rng.u64(1..100);
            self.at(
                self.entries[entry].suspended_until_ms + delay_ms,
                Event::CallerGone { entry, incarnation, caller },
            );
        }
    }

    /// Checks that every job submitted after the recovery from the faults is completed.
    pub(super) fn check_recovery(&self) -> Result<(), String> {
        let recovered_ms = BOOT_MS + RECOVERED_MS;
        let late_jobs = self.jobs.iter().filter(|job| job.submitted_ms >= recovered_ms);
        let incomplete: Vec<&JobId> = late_jobs
            .filter(|job| !job.is_completed && !job.crashes_targets && !job.is_overlong)
            .map(|job| &job.id)
            .collect();
        if incomplete.is_empty() {
            return Ok(());
        }
        Err(format!("not completed after the faults: {incomplete:?}"))
    }
}

pub(super) fn routing_table() -> RoutingTable {
    RoutingTable::new(1, vec![test_route("route"), test_route("other")], None)
}

/// Returns the route of a job; every second job has the other one.
pub(super) fn route_of(number: usize) -> Route {
    test_route(if number.is_multiple_of(2) { "route" } else { "other" })
}

fn test_route(name: &str) -> Route {
    Route {
        name: Arc::from(name),
        host: "host".to_owned(),
        path_prefix: format!("/{name}/"),
        service: "service".to_owned(),
        priority: 0,
        max_failed_runs: 8,
        stretch: 8.0,
        target_latency: Duration::from_millis(1_000),
    }
}
