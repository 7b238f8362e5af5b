//! The entry as the origin of jobs that others carry out.

use std::time::Duration;

use crate::{
    clock::BootTime,
    delegation::{DelegatedAnswer, DelegatedJob, DelegatedOutcome},
    ids::{CallerId, JobId, LinkId},
    outcome::Answer,
};

use super::{super::Entry, DelegationCounters, fresh_limit, silence_limit};

/// Added to the delegated share in the choice of delegates, since the share may rise until the next
/// choice.
const SHARE_MARGIN: f64 = 0.2;

/// A submission that has not been decoded.
#[derive(Clone, Copy, Debug)]
pub struct DelegableRequest<'a> {
    /// Id of the job.
    pub job: &'a JobId,
    /// Host of the request.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Body of the request.
    pub body: &'a str,
    /// Time until the caller's deadline; `None` if the caller set no deadline.
    pub remaining_time: Option<Duration>,
}

impl Entry {
    /// Has another entry carry out a submission, if that relieves this entry's processor or it is
    /// shutting down; returns whether it does. The outcome is then returned by
    /// [`Entry::take_delegated_outcomes`]. A job that is already delegated gets a further caller.
    ///
    /// A job that is known here, because it is open or was answered, is not delegated.
    pub fn delegate(
        &mut self,
        now: BootTime,
        caller: CallerId,
        request: &DelegableRequest<'_>,
    ) -> bool {
        if !self.delegation.is_enabled || self.delegation.is_stopped {
            return false;
        }
        self.detect_suspension(now);
        if self.delegation.outgoing.attach(caller, request.job) {
            tracing::info!(job = %request.job, "submitted again while delegated: attached");
            return true;
        }
        self.delegation.arrivals.record(now);
        if self.jobs.contains_key(request.job) || self.answer_cache.get(request.job).is_some() {
            return false;
        }
        let Some(version) = self.version() else { return false };
        let Some(link) = self.choose_delegate(now) else { return false };
        self.counters.arrived += 1;
        self.send_job(now, link, caller, version, request);
        true
    }

    /// Returns the link to the entry that is to carry out the next job, if it is to be delegated.
    fn choose_delegate(&mut self, now: BootTime) -> Option<LinkId> {
        let share = if self.is_shutting_down { 1.0 } else { self.delegation.share.share() };
        if share <= 0.0 || self.rng.f64() >= share {
            return None;
        }
        let max_silence = fresh_limit(&self.timing);
        self.delegation.delegates.take(now, &mut self.rng, max_silence)
    }

    fn send_job(
        &mut self,
        now: BootTime,
        link: LinkId,
        caller: CallerId,
        version: u64,
        request: &DelegableRequest<'_>,
    ) {
        let busy_percent = self.processor_load.busy_percent();
        let delegation = &mut self.delegation;
        let number = delegation.outgoing.next_number();
        let peer = delegation.peers.get(&link).map(|peer| peer.process.name.as_str());
        tracing::info!(
            job = %request.job, peer, link, number, busy_percent,
            delegated_percent = (delegation.share.share() * 100.0) as u64,
            offered_jobs_per_s = delegation.delegates.offered_jobs_per_s(link),
            at_ms = now.as_millis() as u64,
            "delegated"
        );
        let job = DelegatedJob {
            number,
            version,
            host: request.host.to_owned(),
            path: request.path.to_owned(),
            remaining_ms: request.remaining_time.map(|remaining| remaining.as_millis() as u64),
            body: request.body.to_owned(),
        };
        delegation.outgoing.add(link, caller, request.job.clone(), job);
        delegation.counters.delegated += 1;
        delegation.has_pending = true;
    }

    /// Handles a caller of a delegated job that no longer waits; returns whether it was one.
    pub(in super::super) fn delegated_caller_gone(&mut self, caller: CallerId) -> bool {
        if !self.delegation.outgoing.has_caller(caller) {
            return false;
        }
        if let Some(job) = self.delegation.outgoing.remove_caller(caller) {
            self.counters.abandoned += 1;
            self.delegation.has_pending = true;
            tracing::info!(%job, "caller gone: delegated job cancelled");
        }
        true
    }

    /// Cancels a delegated job; returns whether it was open.
    pub(in super::super) fn cancel_delegated(&mut self, job: &JobId) -> bool {
        let is_open = self.delegation.outgoing.cancel(job, Answer::Cancelled);
        if is_open {
            self.delegation.has_pending = true;
            tracing::info!(%job, "delegated job cancelled");
        }
        is_open
    }

    /// Removes and returns the outcomes of delegated jobs, by caller.
    pub fn take_delegated_outcomes(&mut self) -> Vec<(CallerId, DelegatedOutcome)> {
        self.delegation.outgoing.take_outcomes()
    }

    /// Removes and returns the links between entries that the process is to close.
    pub fn take_broken_links(&mut self) -> Vec<LinkId> {
        std::mem::take(&mut self.delegation.broken_links)
    }

    /// Returns the counters of delegation since the start of the process.
    pub fn delegation_counters(&self) -> DelegationCounters {
        self.delegation.counters
    }

    /// Returns the share of the arriving jobs that is delegated, from 0 to 1.
    pub fn delegated_share(&self) -> f64 {
        self.delegation.share.share()
    }

    /// Handles a delegate's answer. One to a job that is no longer open is ignored.
    pub(super) fn handle_delegated_answer(&mut self, link: LinkId, answer: &DelegatedAnswer) {
        let outcome = answer.outcome;
        let Some(job) = self.delegation.outgoing.end(link, answer.number, outcome) else { return };
        if outcome == DelegatedOutcome::NotTaken {
            self.delegation.counters.not_taken += 1;
            // It counts when this entry carries it out.
            self.counters.arrived -= 1;
            self.delegation.delegates.record_refusal(link);
            tracing::info!(%job, link, "delegated job not taken: carried out here");
        }
    }

    /// Answers the callers of the jobs that are open on a link that they may have run, and has the
    /// link closed.
    pub(super) fn interrupt_delegated(&mut self, link: LinkId, cause: &'static str) {
        let jobs = self.delegation.outgoing.interrupt(link);
        if jobs == 0 {
            return;
        }
        tracing::info!(link, jobs, cause, "delegated jobs interrupted");
        self.delegation.counters.interrupted += jobs as u64;
        self.delegation.broken_links.push(link);
    }

    /// Interrupts all delegated jobs.
    pub(in super::super) fn interrupt_all_delegated(&mut self, cause: &'static str) {
        for link in self.delegation.outgoing.links_with_jobs() {
            self.interrupt_delegated(link, cause);
        }
    }

    /// Interrupts the jobs that are open at silent entries.
    pub(super) fn interrupt_silent_delegates(&mut self, now: BootTime) {
        let limit = silence_limit(&self.timing);
        let mut silent = Vec::new();
        for (&link, peer) in &mut self.delegation.peers {
            let is_silent = self.delegation.outgoing.has_jobs_on(link)
                && now.saturating_sub(peer.received_at) > limit;
            if is_silent && peer.was_silent {
                silent.push(link);
            }
            peer.was_silent = is_silent;
        }
        for link in silent {
            self.interrupt_delegated(link, "silent delegate");
        }
    }

    /// Updates the share of jobs to delegate and the delegates in use.
    pub(super) fn update_delegated_share(&mut self, now: BootTime, elapsed: Duration) {
        let busy_share = self.processor_load.busy_share();
        let queueing_delay = self.processor_load.queueing_delay();
        let delegation = &mut self.delegation;
        let used_before = delegation.delegates.count_used();
        delegation.share.update(elapsed, busy_share, queueing_delay);
        if delegation.share.is_prepared() || self.is_shutting_down {
            let share = if self.is_shutting_down { 1.0 } else { delegation.share.share() };
            let needed = delegation.arrivals.jobs_per_s(now) * (share + SHARE_MARGIN).min(1.0);
            delegation.delegates.update_used(now, &mut self.rng, needed);
        } else {
            delegation.delegates.release();
        }
        let used = delegation.delegates.count_used();
        if (used == 0) != (used_before == 0) {
            let jobs_per_s = delegation.arrivals.jobs_per_s(now) as u64;
            let busy_percent = self.processor_load.busy_percent();
            tracing::info!(used, busy_percent, jobs_per_s, "use of delegates changed");
        }
    }
}
