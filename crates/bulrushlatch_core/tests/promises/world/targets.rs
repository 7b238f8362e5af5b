//! Simulation of tasks at targets.

use super::*;

impl World {
    /// Starts a task at an agent's target, and checks that the target may still start tasks.
    pub(super) fn run_task(&mut self, index: usize, task: StartTask) {
        let placement = &task.placement;
        let id = placement.submission_id.to_string();
        let host = &self.agents[index];
        let mode = host.target_mode;
        let not_run = Err(task_error(Verdict::NotRun, Reason::TargetUnreachable));
        if mode == TargetMode::Refuses {
            self.complete_later(index, task, Duration::from_millis(1), not_run);
            return;
        }
        for (since, max_delay, condition) in [
            (host.leaving_since, MAX_LEAVE_DELAY, "after its shutdown began"),
            (host.drain_accepted_at, MAX_SETTINGS_DELAY, "after it was drained"),
        ] {
            if since.is_some_and(|since| self.now > since + max_delay) {
                let text = format!("{} started {id} {condition}", host.name);
                self.oracle.violations.push(text);
            }
        }
        self.oracle.record_start(&(id.clone(), placement.index), self.now);
        let run_ms: u64 = task.payload.get().parse().unwrap_or(50);
        let run_time = Duration::from_millis(run_ms);
        let result = RawValue::from_string(result_text(&id, placement.index)).expect("JSON");
        let done = Ok(TaskDone { result: result.into(), run_ms });
        let lost = Err(task_error(Verdict::MayHaveRun, Reason::TargetLost));
        let (time, outcome) = match mode {
            TargetMode::FailsAll => {
                (Duration::from_millis(5), Err(task_error(Verdict::Ran, Reason::TaskFailed)))
            }
            TargetMode::Straggles => (run_time * 10, done),
            TargetMode::LosesReplies => (run_time, lost.clone()),
            _ => (run_time, done),
        };
        let timeout = Duration::from_millis(task.timeout_ms);
        let outcome = if time > timeout { lost } else { outcome };
        self.complete_later(index, task, time.min(timeout), outcome);
    }

    pub(super) fn complete_later(
        &mut self,
        host: usize,
        task: StartTask,
        time: Duration,
        outcome: Result<TaskDone, TaskError>,
    ) {
        let key = (self.now + time, self.next_sequence_number());
        let start_count = self.agents[host].start_count;
        self.pending_completions.insert(key, TaskCompletion { host, start_count, task, outcome });
    }

    pub(super) fn complete_due_tasks(&mut self) {
        while let Some((&key, _)) = self.pending_completions.first_key_value() {
            if key.0 > self.now {
                return;
            }
            if let Some(completion) = self.pending_completions.remove(&key) {
                self.complete_task(completion);
            }
        }
    }

    /// Reports a completion to the agent, unless the agent that started the task has ended.
    pub(super) fn complete_task(&mut self, completion: TaskCompletion) {
        let now = self.clock.now();
        let host = &mut self.agents[completion.host];
        if host.start_count != completion.start_count {
            return;
        }
        if host.suspended_since.is_some() {
            host.held_completions.push(completion);
            return;
        }
        let Some(agent) = &mut host.process else { return };
        let mut effects = Vec::new();
        let placement = &completion.task.placement;
        let (id, index) = (&placement.submission_id, placement.index);
        agent.finish_task(now, id, index, completion.outcome, &mut effects);
        self.execute_for_agent(completion.host, effects);
    }
}
