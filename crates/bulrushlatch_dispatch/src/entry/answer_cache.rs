//! Answers that are kept for callers who ask again.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{clock::BootTime, ids::JobId, outcome::Answer};

/// Time for which an answer is kept: several times the pause after which callers submit again.
const KEEP: Duration = Duration::from_secs(10);
/// Most answers kept, about 1 MB.
const MOST_KEPT: usize = 8_000;

/// Final answers by job.
#[derive(Debug, Default)]
pub struct KeptAnswers {
    answers: BTreeMap<JobId, Answer>,
    order: VecDeque<(BootTime, JobId)>,
}

impl KeptAnswers {
    /// Keeps an answer.
    pub fn keep(&mut self, now: BootTime, job: JobId, answer: Answer) {
        self.answers.insert(job.clone(), answer);
        self.order.push_back((now, job));
        let is_old = |at: BootTime| now.saturating_sub(at) > KEEP;
        while self.order.front().is_some_and(|(at, _)| is_old(*at)) || self.order.len() > MOST_KEPT
        {
            if let Some((_, job)) = self.order.pop_front() {
                self.answers.remove(&job);
            }
        }
    }

    /// Returns the answer to a job.
    pub fn get(&self, job: &JobId) -> Option<Answer> {
        self.answers.get(job).copied()
    }
}
