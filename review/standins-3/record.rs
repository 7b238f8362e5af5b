//! What was sent, answered and run, in the order of time, as `record.txt` shows it.

use std::{
    fs,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// One run of a task at a runner, as the runner has seen it.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub runner: String,
    pub started_at: Duration,
    pub ended: Option<(Duration, &'static str)>,
}

#[derive(Default)]
struct State {
    lines: Vec<(Duration, String)>,
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Record {
    begun_at: Instant,
    state: Arc<Mutex<State>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun_at: Instant::now(), state: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.begun_at.elapsed()
    }

    pub fn note(&self, line: impl Into<String>) {
        let now = self.now();
        self.state.lock().unwrap().lines.push((now, line.into()));
    }

    /// Records a start; returns the run's number.
    pub fn start(&self, runner: &str, task: &str, attempt: u64) -> usize {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.lines.push((now, format!("runner {runner} starts {task} run {attempt}")));
        state.runs.push(Run {
            task: task.to_owned(),
            attempt,
            runner: runner.to_owned(),
            started_at: now,
            ended: None,
        });
        state.runs.len() - 1
    }

    pub fn end(&self, number: usize, how: &'static str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        let run = &mut state.runs[number];
        run.ended = Some((now, how));
        let line = format!("runner {} ends {} run {}: {how}", run.runner, run.task, run.attempt);
        state.lines.push((now, line));
    }

    /// Returns the runs of a job's tasks in the order of their starts.
    pub fn runs_of(&self, job: &str) -> Vec<Run> {
        let prefix = format!("{job}.");
        let state = self.state.lock().unwrap();
        state.runs.iter().filter(|run| run.task.starts_with(&prefix)).cloned().collect()
    }

    pub fn write(&self, path: &str) {
        let state = self.state.lock().unwrap();
        let mut lines = state.lines.clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:>8.3} s  {line}\n", at.as_secs_f64()))
            .collect();
        fs::write(path, text).expect("the record is written");
    }
}
