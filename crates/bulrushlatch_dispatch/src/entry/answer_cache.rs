//! Cache of final answers, for callers that submit a finished job again.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{clock::BootTime, ids::JobId, outcome::Answer};

/// Age above which an answer is evicted when another one is inserted: several times the pause after
/// which callers submit again.
const RETENTION: Duration = Duration::from_secs(10);
/// Largest number of cached answers, about 1 MB.
const MAX_ANSWERS: usize = 8_000;

/// Key of an answer. The hash of the id comes first, since ids have long prefixes in common and
/// comparing many of them takes long.
type AnswerKey = (u64, JobId);

fn answer_key(job: &JobId) -> AnswerKey {
    (xxh3_64(job.as_bytes()), job.clone())
}

/// Final answers by job, evicted by age and number.
#[derive(Debug, Default)]
pub struct AnswerCache {
    answers: BTreeMap<AnswerKey, Answer>,
    /// Cached jobs with their insertion times, oldest first.
    order: VecDeque<(BootTime, AnswerKey)>,
}

impl AnswerCache {
    /// Adds an answer, and evicts answers that are too old or too many.
    pub fn insert(&mut self, now: BootTime, job: &JobId, answer: Answer) {
        let key = answer_key(job);
        self.answers.insert(key.clone(), answer);
        self.order.push_back((now, key));
        let is_expired = |at: BootTime| now.saturating_sub(at) > RETENTION;
        while self.order.front().is_some_and(|(at, _)| is_expired(*at))
            || self.order.len() > MAX_ANSWERS
        {
            if let Some((_, key)) = self.order.pop_front() {
                self.answers.remove(&key);
            }
        }
    }

    /// Returns the cached answer to a job.
    pub fn get(&self, job: &JobId) -> Option<Answer> {
        self.answers.get(&answer_key(job)).copied()
    }
}
