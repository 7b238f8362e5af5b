//! Jobs that this entry carries out for others.

use std::collections::BTreeMap;

use crate::{
    clock::BootTime,
    delegation::{DelegatedAnswer, DelegatedOutcome, DelegationNumber},
    ids::{CallerId, LinkId},
};

use super::{job_rate::JobRate, proofs::OriginId};

/// Bit of the ids of callers that are other entries. The ids of the process's own callers are counted
/// from 1.
const ORIGIN_CALLER_BIT: CallerId = 1 << 63;

/// Jobs of the entry at the other end of one link.
#[derive(Debug, Default)]
struct Origin {
    /// Open jobs.
    callers: BTreeMap<DelegationNumber, CallerId>,
    /// Answers for the next frame.
    answers: Vec<DelegatedAnswer>,
    /// Rate of the accepted jobs.
    rate: JobRate,
}

/// The open jobs of other entries. To the rest of the entry each is a job with a caller of its own.
#[derive(Debug, Default)]
pub struct Incoming {
    origins: BTreeMap<OriginId, Origin>,
    callers: BTreeMap<CallerId, (OriginId, DelegationNumber)>,
    last_caller: CallerId,
}

impl Incoming {
    /// Returns whether a caller is another entry.
    pub fn is_origin_caller(caller: CallerId) -> bool {
        caller & ORIGIN_CALLER_BIT != 0
    }

    /// Adds a link on which jobs may arrive.
    pub fn add_link(&mut self, link: LinkId) {
        self.origins.insert(link, Origin::default());
    }

    /// Removes a link that has closed; answers to its jobs are dropped from now on.
    pub fn remove_link(&mut self, link: LinkId) {
        self.origins.remove(&link);
    }

    /// Returns the entry whose caller waits for a job with the given callers, if one does.
    pub fn origin_of(&self, callers: &[CallerId]) -> Option<OriginId> {
        let mut callers = callers.iter().filter(|&&caller| Self::is_origin_caller(caller));
        callers.find_map(|caller| self.callers.get(caller).map(|(origin, _)| *origin))
    }

    /// Returns the rate of the jobs accepted on a link.
    pub fn jobs_per_s(&self, now: BootTime, link: LinkId) -> f64 {
        self.origins.get(&link).map_or(0.0, |origin| origin.rate.jobs_per_s(now))
    }

    /// Opens a job; returns the caller that stands for it, or `None` if its number is in use or the
    /// link has closed.
    pub fn open(
        &mut self,
        now: BootTime,
        link: LinkId,
        number: DelegationNumber,
    ) -> Option<CallerId> {
        let origin = self.origins.get_mut(&link)?;
        if origin.callers.contains_key(&number) {
            return None;
        }
        origin.rate.record(now);
        self.last_caller += 1;
        let caller = self.last_caller | ORIGIN_CALLER_BIT;
        origin.callers.insert(number, caller);
        self.callers.insert(caller, (link, number));
        Some(caller)
    }

    /// Returns the caller that stands for an open job.
    pub fn caller(&self, link: LinkId, number: DelegationNumber) -> Option<CallerId> {
        self.origins.get(&link)?.callers.get(&number).copied()
    }

    /// Returns the callers that stand for the open jobs of a link.
    pub fn callers_on(&self, link: LinkId) -> Vec<CallerId> {
        let origin = self.origins.get(&link);
        origin.map_or_else(Vec::new, |origin| origin.callers.values().copied().collect())
    }

    /// Returns whether jobs of a link are open.
    pub fn has_jobs_on(&self, link: LinkId) -> bool {
        self.origins.get(&link).is_some_and(|origin| !origin.callers.is_empty())
    }

    /// Closes a job without an answer.
    pub fn close(&mut self, caller: CallerId) {
        if let Some((link, number)) = self.callers.remove(&caller)
            && let Some(origin) = self.origins.get_mut(&link)
        {
            origin.callers.remove(&number);
        }
    }

    /// Closes the job of a caller, and adds its answer to the next frame; returns the link.
    pub fn answer(&mut self, caller: CallerId, outcome: DelegatedOutcome) -> Option<LinkId> {
        let (link, number) = self.callers.get(&caller).copied()?;
        self.close(caller);
        self.push_answer(link, number, outcome);
        Some(link)
    }

    /// Adds an answer to the next frame.
    pub fn push_answer(
        &mut self,
        link: LinkId,
        number: DelegationNumber,
        outcome: DelegatedOutcome,
    ) {
        if let Some(origin) = self.origins.get_mut(&link) {
            origin.answers.push(DelegatedAnswer { number, outcome });
        }
    }

    /// Returns whether answers are to be sent on a link.
    pub fn has_answers(&self, link: LinkId) -> bool {
        self.origins.get(&link).is_some_and(|origin| !origin.answers.is_empty())
    }

    /// Removes and returns the answers to send on a link.
    pub fn take_answers(&mut self, link: LinkId) -> Vec<DelegatedAnswer> {
        let origin = self.origins.get_mut(&link);
        origin.map_or_else(Vec::new, |origin| std::mem::take(&mut origin.answers))
    }
}
