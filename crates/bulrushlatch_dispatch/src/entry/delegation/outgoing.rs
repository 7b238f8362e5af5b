//! Jobs of this entry's callers that another entry carries out.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    delegation::{DelegatedJob, DelegatedOutcome, DelegationNumber},
    ids::{CallerId, JobId, LinkId},
    outcome::Answer,
};

/// A delegated job that is not answered.
#[derive(Debug)]
struct OutgoingJob {
    link: LinkId,
    number: DelegationNumber,
    /// Callers that wait for the answer; never empty.
    callers: Vec<CallerId>,
}

/// What is to be sent to a delegate with the next frame.
#[derive(Debug, Default)]
pub struct PendingOrders {
    /// Jobs to carry out.
    pub jobs: Vec<DelegatedJob>,
    /// Jobs to stop.
    pub cancelled: Vec<DelegationNumber>,
}

/// The open delegated jobs.
///
/// Each job is in `jobs` and in `numbers`, and each of its callers in `callers`.
#[derive(Debug, Default)]
pub struct Outgoing {
    jobs: BTreeMap<JobId, OutgoingJob>,
    numbers: BTreeMap<(LinkId, DelegationNumber), JobId>,
    callers: BTreeMap<CallerId, JobId>,
    last_number: DelegationNumber,
    pending: BTreeMap<LinkId, PendingOrders>,
    /// Outcomes that the process has not taken yet.
    outcomes: Vec<(CallerId, DelegatedOutcome)>,
}

impl Outgoing {
    /// Returns the number of open jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job is open.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns whether the job is open.
    pub fn contains(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns whether a caller waits for a delegated job.
    pub fn has_caller(&self, caller: CallerId) -> bool {
        self.callers.contains_key(&caller)
    }

    /// Returns whether jobs are open at the other end of a link.
    pub fn has_jobs_on(&self, link: LinkId) -> bool {
        let from = (link, DelegationNumber::MIN);
        self.numbers.range(from..=(link, DelegationNumber::MAX)).next().is_some()
    }

    /// Returns whether something is to be sent on a link.
    pub fn has_pending(&self, link: LinkId) -> bool {
        self.pending.contains_key(&link)
    }

    /// Removes and returns what is to be sent on a link.
    pub fn take_pending(&mut self, link: LinkId) -> PendingOrders {
        self.pending.remove(&link).unwrap_or_default()
    }

    /// Removes and returns the outcomes for callers.
    pub fn take_outcomes(&mut self) -> Vec<(CallerId, DelegatedOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Returns the number of the next job.
    pub fn next_number(&mut self) -> DelegationNumber {
        self.last_number += 1;
        self.last_number
    }

    /// Opens a job and adds it to the link's next frame.
    pub fn add(&mut self, link: LinkId, caller: CallerId, id: JobId, job: DelegatedJob) {
        let number = job.number;
        self.jobs.insert(id.clone(), OutgoingJob { link, number, callers: vec![caller] });
        self.numbers.insert((link, number), id.clone());
        self.callers.insert(caller, id);
        self.pending.entry(link).or_default().jobs.push(job);
    }

    /// Adds a caller to an open job; returns whether the job is open.
    pub fn attach(&mut self, caller: CallerId, id: &JobId) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        job.callers.push(caller);
        self.callers.insert(caller, id.clone());
        true
    }

    /// Removes a caller that has left; cancels its job if it was the only one. Returns that job.
    pub fn remove_caller(&mut self, caller: CallerId) -> Option<JobId> {
        let id = self.callers.remove(&caller)?;
        let job = self.jobs.get_mut(&id)?;
        job.callers.retain(|&waiting| waiting != caller);
        if !job.callers.is_empty() {
            return None;
        }
        self.cancel(&id, Answer::Interrupted);
        Some(id)
    }

    /// Has the delegate stop a job, and answers its callers; returns whether the job was open. A job
    /// that has not been sent is not sent at all: cancellations are handled before the jobs of their
    /// frame.
    pub fn cancel(&mut self, id: &JobId, answer: Answer) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let (link, number) = (job.link, job.number);
        self.cancel_order(link, number);
        self.end(link, number, DelegatedOutcome::Answered(answer));
        true
    }

    fn cancel_order(&mut self, link: LinkId, number: DelegationNumber) {
        let pending = self.pending.entry(link).or_default();
        let Some(index) = pending.jobs.iter().position(|job| job.number == number) else {
            pending.cancelled.push(number);
            return;
        };
        pending.jobs.remove(index);
        if pending.jobs.is_empty() && pending.cancelled.is_empty() {
            self.pending.remove(&link);
        }
    }

    /// Ends a job; returns its id if it was open.
    pub fn end(
        &mut self,
        link: LinkId,
        number: DelegationNumber,
        outcome: DelegatedOutcome,
    ) -> Option<JobId> {
        let id = self.numbers.remove(&(link, number))?;
        let job = self.jobs.remove(&id)?;
        for caller in job.callers {
            self.callers.remove(&caller);
            self.outcomes.push((caller, outcome));
        }
        Some(id)
    }

    /// Answers all callers whose jobs are open on a link that they may have run, and drops what has
    /// not been sent; returns the number of these jobs. The link is not to be used again.
    pub fn interrupt(&mut self, link: LinkId) -> usize {
        self.pending.remove(&link);
        let from = (link, DelegationNumber::MIN);
        let open = self.numbers.range(from..=(link, DelegationNumber::MAX));
        let numbers: Vec<DelegationNumber> = open.map(|((_, number), _)| *number).collect();
        for &number in &numbers {
            self.end(link, number, DelegatedOutcome::Answered(Answer::Interrupted));
        }
        numbers.len()
    }

    /// Returns the links on which jobs are open.
    pub fn links_with_jobs(&self) -> BTreeSet<LinkId> {
        self.numbers.keys().map(|(link, _)| *link).collect()
    }
}
