//! Records of starts, answers and changes, and the checks of the guarantees on them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushlatch_protocol::{
    answer::{Answer, AnswerState, Reason},
    change::{Change, SettingKey},
    verdict::Verdict,
};

/// Submission id and index of a task.
pub type TaskId = (String, u32);
/// Index into [`Oracle::submit_calls`].
pub type SubmitCallIndex = usize;

/// Longest time until an accepted change must be in force at all entries.
pub const MAX_SETTINGS_DELAY: Duration = Duration::from_secs(6);
/// Longest time for which an agent that shuts down may start new tasks.
pub const MAX_LEAVE_DELAY: Duration = Duration::from_secs(3);
/// Time after its deadline by which a call must be answered at the latest.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// A call of a client that submits tasks.
#[derive(Clone, Debug)]
pub struct SubmitCall {
    /// Id of the submission.
    pub submission_id: String,
    /// Number of tasks of the submission.
    pub tasks: u32,
    /// Time of the call.
    pub at: Duration,
    /// Time by which the client wants an answer.
    pub deadline: Duration,
    /// Time and content of the answer.
    pub answer: Option<(Duration, Answer)>,
    /// Whether the entry ended before it answered, so that no answer can come.
    pub is_lost: bool,
    /// Time for which the entry was suspended during the call.
    pub suspended_time: Duration,
}

/// Records what happens in a case and checks it against the guarantees.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Times at which each task was started.
    pub starts: BTreeMap<TaskId, Vec<Duration>>,
    /// All calls that submit tasks, in the order in which they were made.
    pub submit_calls: Vec<SubmitCall>,
    /// Violations of guarantees that were detected.
    pub violations: Vec<String>,
    settings: ReferenceSettings,
}

/// Reference model of the settings: applies the records of the log in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReferenceSettings {
    /// Values and versions by path and key.
    pub values: BTreeMap<(String, SettingKey), (Option<serde_json::Value>, u64)>,
    change_ids: BTreeSet<String>,
}

impl Oracle {
    /// Records the start of a task, and checks that it is the only one.
    pub fn record_start(&mut self, task: &TaskId, at: Duration) {
        let starts = self.starts.entry(task.clone()).or_default();
        starts.push(at);
        if starts.len() > 1 {
            self.violations.push(format!("task {task:?} was started twice: {starts:?}"));
        }
    }

    /// Records an answer, and checks what does not depend on later events.
    pub fn record_answer(&mut self, index: SubmitCallIndex, at: Duration, answer: &Answer) {
        let call = &mut self.submit_calls[index];
        if call.answer.is_some() {
            self.violations.push(format!("submit call {index} was answered twice"));
            return;
        }
        call.answer = Some((at, answer.clone()));
        let call = call.clone();
        if *answer.submission_id != *call.submission_id {
            let (id, answered_id) = (&call.submission_id, &answer.submission_id);
            let text = format!("submit call {index} of {id} got the answer to {answered_id}");
            self.violations.push(text);
        }
        match answer.state {
            AnswerState::Complete => self.check_results(&call, answer),
            _ if !answer.results.is_empty() => {
                let (id, count) = (&call.submission_id, answer.results.len());
                self.violations.push(format!("{id} has {count} results in state {}", answer.state));
            }
            _ => {}
        }
        let is_started = self.starts.keys().any(|task| task.0 == call.submission_id);
        if answer.ran == Verdict::NotRun && is_started {
            let id = &call.submission_id;
            let text = format!("{id} was answered as not run after it had started: {answer:?}");
            self.violations.push(text);
        }
    }

    /// Applies a record of the settings stream to the reference model.
    pub fn apply_change(&mut self, change: &Change) {
        self.settings.apply(change);
    }

    /// Returns the reference model of the settings.
    pub fn settings(&self) -> &ReferenceSettings {
        &self.settings
    }

    /// Checks answers, deadlines and the share of served submissions at the end of a case.
    pub fn check_end(&mut self, now: Duration, served_floor_percent: usize) {
        self.check_refusals();
        let mut late = Vec::new();
        for (index, call) in self.submit_calls.iter().enumerate() {
            let bound = call.deadline + call.suspended_time + ANSWER_SLACK;
            let answered_at = call.answer.as_ref().map(|(at, _)| *at);
            if call.is_lost || answered_at.is_some_and(|at| at <= bound) || bound > now {
                continue;
            }
            late.push(format!("submit call {index} was not answered by its deadline: {call:?}"));
        }
        self.violations.extend(late);
        let served = self.submit_calls.iter().filter(|call| call.is_complete());
        let served: BTreeSet<&str> = served.map(|call| &*call.submission_id).collect();
        let all = self.submit_calls.iter();
        let all: BTreeSet<&str> = all.map(|call| &*call.submission_id).collect();
        if served.len() * 100 < all.len() * served_floor_percent {
            let (served, all, outcomes) = (served.len(), all.len(), self.outcome_counts());
            let text = format!("only {served} of {all} submissions were served: {outcomes:?}");
            self.violations.push(text);
        }
    }

    /// Checks that "not run" was true: a task may start after such an answer only for another
    /// call that was then unanswered or was made later.
    fn check_refusals(&mut self) {
        let mut violations = Vec::new();
        for (index, call) in self.submit_calls.iter().enumerate() {
            let Some((at, answer)) = &call.answer else { continue };
            if answer.ran != Verdict::NotRun {
                continue;
            }
            let id = &call.submission_id;
            let starts = self.starts.iter().filter(|(task, _)| task.0 == *id);
            let last = starts.flat_map(|(_, times)| times).max().copied();
            let Some(last) = last.filter(|last| last > at) else { continue };
            let mut other_calls = self.submit_calls.iter().enumerate();
            let is_allowed = other_calls.any(|(other_index, other_call)| {
                let was_open = other_call.answer.as_ref().is_none_or(|(answered, _)| answered > at);
                let is_same_id = other_index != index && other_call.submission_id == *id;
                is_same_id && was_open && other_call.at <= last
            });
            if !is_allowed {
                let text =
                    format!("{id} started at {last:?}, but was answered as not run at {at:?}");
                violations.push(text);
            }
        }
        self.violations.extend(violations);
    }

    fn check_results(&mut self, call: &SubmitCall, answer: &Answer) {
        let id = &call.submission_id;
        if answer.results.len() != call.tasks as usize {
            let (count, tasks) = (answer.results.len(), call.tasks);
            self.violations.push(format!("{id} has {count} results for {tasks} tasks"));
        }
        for (index, result) in answer.results.iter().enumerate() {
            if result.get() != result_text(id, index as u32) {
                self.violations.push(format!("{id} got a result that is not its own"));
            }
            if !self.starts.contains_key(&(id.clone(), index as u32)) {
                let text = format!("{id} is complete although task {index} was not started");
                self.violations.push(text);
            }
        }
    }

    /// Returns the number of calls for each state and reason of their answers.
    pub fn outcome_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for call in &self.submit_calls {
            let text = match &call.answer {
                None if call.is_lost => "lost".to_owned(),
                None => "open".to_owned(),
                Some((_, answer)) => format!("{} {:?}", answer.state, answer.reason),
            };
            *counts.entry(text).or_default() += 1;
        }
        counts
    }
}

impl SubmitCall {
    /// Returns whether the call was answered with the given reason.
    pub fn has_reason(&self, reason: Reason) -> bool {
        let answer = self.answer.as_ref().map(|(_, answer)| answer);
        answer.is_some_and(|answer| answer.reason == Some(reason))
    }

    /// Returns whether the call was answered as complete.
    pub fn is_complete(&self) -> bool {
        let state = self.answer.as_ref().map(|(_, answer)| answer.state);
        state == Some(AnswerState::Complete)
    }
}

impl ReferenceSettings {
    /// Applies a change if its team owns the branch and it expects the current version.
    fn apply(&mut self, change: &Change) {
        if !self.change_ids.insert(change.change_id.clone()) {
            return;
        }
        let branch = match change.key {
            SettingKey::Owner => change.path.rsplit_once('/').map_or("", |(parent, _)| parent),
            _ => &change.path,
        };
        let key = (change.path.clone(), change.key);
        let version = self.values.get(&key).map_or(0, |(_, version)| *version);
        if self.owner(branch) != *change.team || version != change.expected_version {
            return;
        }
        self.values.insert(key, (change.value.clone(), version + 1));
    }

    fn owner(&self, path: &str) -> String {
        let mut path = path;
        loop {
            let value = self.values.get(&(path.to_owned(), SettingKey::Owner));
            let owner = value.and_then(|(value, _)| value.as_ref()?.as_str());
            if let Some(owner) = owner {
                return owner.to_owned();
            }
            if path.is_empty() {
                return "operators".to_owned();
            }
            path = path.rsplit_once('/').map_or("", |(parent, _)| parent);
        }
    }
}

/// Returns the only correct result of a task, as JSON.
pub fn result_text(submission_id: &str, index: u32) -> String {
    format!("\"{submission_id}/{index}\"")
}
