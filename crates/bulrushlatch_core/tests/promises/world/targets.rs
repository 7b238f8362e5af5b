//! Tasks at targets.

use super::*;

impl World {
    pub(super) fn run_task(&mut self, index: usize, task: StartTask) {
        let placement = &task.placement;
        let id = placement.submission_id.to_string();
        let slot = &self.agents[index];
        let mode = slot.target;
        let not_run = Err(error(Verdict::NotRun, Reason::TargetUnreachable));
        if mode == TargetMode::Refuses {
            self.end_later(index, task, Duration::from_millis(1), not_run);
            return;
        }
        for (since, bound, what) in [
            (slot.leaving_since, LEAVING_WITHIN, "after it left"),
            (slot.drained_at, IN_FORCE_WITHIN, "after it was drained"),
        ] {
            if since.is_some_and(|since| self.now > since + bound) {
                let text = format!("{} started {id} {what}", slot.name);
                self.oracle.violations.push(text);
            }
        }
        self.oracle.note_start(&(id.clone(), placement.index), self.now);
        let run_ms: u64 = task.payload.get().parse().unwrap_or(50);
        let run = Duration::from_millis(run_ms);
        let result = RawValue::from_string(result_text(&id, placement.index)).expect("JSON");
        let done = Ok(TaskDone { result: result.into(), run_ms });
        let lost = Err(error(Verdict::MayHaveRun, Reason::TargetLost));
        let (time, outcome) = match mode {
            TargetMode::FailsAll => {
                (Duration::from_millis(5), Err(error(Verdict::Ran, Reason::TaskFailed)))
            }
            TargetMode::Straggles => (run * 10, done),
            TargetMode::LosesReplies => (run, lost.clone()),
            _ => (run, done),
        };
        let timeout = Duration::from_millis(task.timeout_ms);
        let outcome = if time > timeout { lost } else { outcome };
        self.end_later(index, task, time.min(timeout), outcome);
    }

    pub(super) fn end_later(
        &mut self,
        slot: usize,
        task: StartTask,
        time: Duration,
        outcome: Result<TaskDone, TaskError>,
    ) {
        let key = (self.now + time, self.number());
        let life = self.agents[slot].life;
        self.ends.insert(key, TaskEnd { slot, life, task, outcome });
    }

    pub(super) fn end_tasks(&mut self) {
        while let Some((&key, _)) = self.ends.first_key_value() {
            if key.0 > self.now {
                return;
            }
            if let Some(end) = self.ends.remove(&key) {
                self.end_task(end);
            }
        }
    }

    pub(super) fn end_task(&mut self, end: TaskEnd) {
        let now = self.clock.now();
        let slot = &mut self.agents[end.slot];
        if slot.life != end.life {
            return;
        }
        if slot.frozen_since.is_some() {
            slot.held_ends.push(end);
            return;
        }
        let Some(agent) = &mut slot.process else { return };
        let mut effects = Vec::new();
        let placement = &end.task.placement;
        let (id, index) = (&placement.submission_id, placement.index);
        agent.finish_task(now, id, index, end.outcome, &mut effects);
        self.execute_for_agent(end.slot, effects);
    }
}
