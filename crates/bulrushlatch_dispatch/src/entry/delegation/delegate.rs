//! The entry as the delegate of other entries.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::BootTime,
    delegation::{DelegatedJob, DelegatedOutcome, DelegationNumber},
    ids::{CallerId, JobId, LinkId},
    job::JobRequest,
    outcome::Answer,
    routing::Route,
};

use super::{
    super::{Entry, Submission, agent_view::AgentView},
    fresh_limit,
    incoming::Incoming,
    proofs::OriginId,
    silence_limit,
    spare_rate::REFUSAL_BUSY_SHARE,
};

/// Queueing delay above which no job of another entry is taken: frames of origins, which prove that
/// they live, wait as long, and are due every 40 ms.
const MAX_QUEUEING_DELAY: Duration = Duration::from_millis(40);

impl Entry {
    /// Returns whether this entry takes jobs of others at present.
    pub(super) fn takes_delegated_jobs(&self) -> bool {
        let load = &self.processor_load;
        let has_spare_time =
            load.busy_share() <= REFUSAL_BUSY_SHARE && load.queueing_delay() <= MAX_QUEUEING_DELAY;
        !self.is_shutting_down && has_spare_time
    }

    /// Returns whether to take a job that has arrived with a frame.
    pub(super) fn accepts_delegated_job(
        &self,
        now: BootTime,
        link: LinkId,
        job: &DelegatedJob,
    ) -> bool {
        let proof_age = now.saturating_sub(self.delegation.proofs.alive_at(link));
        let is_configured = self.version().is_some_and(|version| version >= job.version);
        is_configured && self.takes_delegated_jobs() && proof_age <= fresh_limit(&self.timing)
    }

    /// Returns how many more jobs per second this entry could take from others.
    pub fn spare_jobs_per_s(&self, now: BootTime) -> u64 {
        if !self.delegation.is_enabled || !self.takes_delegated_jobs() {
            return 0;
        }
        let busy_share = self.processor_load.busy_share();
        self.delegation.spare_rate.jobs_per_s(now, busy_share).max(0.0) as u64
    }

    /// Answers a job of another entry that cannot be submitted here.
    pub fn answer_delegated(&mut self, link: LinkId, number: DelegationNumber, answer: Answer) {
        let outcome = DelegatedOutcome::Answered(answer);
        self.delegation.incoming.push_answer(link, number, outcome);
        self.delegation.has_pending = true;
    }

    /// Handles a job of another entry, once it has been decoded. The answer is returned with the
    /// frames for that entry.
    pub fn submit_delegated(
        &mut self,
        now: BootTime,
        link: LinkId,
        number: DelegationNumber,
        route: Arc<Route>,
        request: JobRequest,
        remaining_time: Option<Duration>,
    ) {
        self.detect_suspension(now);
        let job = request.id.clone();
        // The link may have been given up since the frame arrived.
        let Some(peer) = self.delegation.peers.get(&link) else { return };
        let peer = peer.process.name.as_str();
        tracing::info!(
            %job, peer, link, number,
            busy_percent = self.processor_load.busy_percent(),
            spare_jobs_per_s = self.spare_jobs_per_s(now),
            "accepted from another entry"
        );
        if self.end_conflicting_job(now, Some(link), &job) {
            self.answer_delegated(link, number, Answer::Interrupted);
            return;
        }
        let Some(caller) = self.delegation.incoming.open(now, link, number) else {
            self.break_link(now, link);
            return;
        };
        self.delegation.counters.accepted += 1;
        self.submit(now, Submission { caller, route, request, remaining_time });
    }

    /// Ends a job that is open for other callers than the one that submits it now; returns whether it
    /// was. `origin` is the entry from which it has arrived now; `None` stands for a caller of this
    /// entry.
    ///
    /// The runs of a job are bound to the liveness of one origin, so callers at different entries cannot
    /// share it. The earlier caller's connection has broken, since callers submit a job again only then.
    pub(in super::super) fn end_conflicting_job(
        &mut self,
        now: BootTime,
        origin: Option<OriginId>,
        job: &JobId,
    ) -> bool {
        if self.delegation.outgoing.contains(job) {
            self.delegation.outgoing.cancel(job, Answer::Interrupted);
            self.delegation.has_pending = true;
            return true;
        }
        let Some(state) = self.jobs.get(job) else { return false };
        if self.delegation.origin_of(&state.callers) == origin {
            return false;
        }
        tracing::info!(%job, origin, "open for a caller of another entry: given up");
        self.end_job(now, job, Answer::Interrupted);
        true
    }

    /// Takes the answers to jobs of other entries from `answers`, for the next frames.
    pub(in super::super) fn route_answers(
        &mut self,
        answers: Vec<(CallerId, Answer)>,
    ) -> Vec<(CallerId, Answer)> {
        if !answers.iter().any(|(caller, _)| Incoming::is_origin_caller(*caller)) {
            return answers;
        }
        let mut own = Vec::new();
        for (caller, answer) in answers {
            if Incoming::is_origin_caller(caller) {
                let outcome = DelegatedOutcome::Answered(answer);
                self.delegation.incoming.answer(caller, outcome);
                self.delegation.has_pending = true;
            } else {
                own.push((caller, answer));
            }
        }
        own
    }

    /// Stops a job of another entry whose caller has left.
    pub(super) fn cancel_for_origin(
        &mut self,
        now: BootTime,
        link: LinkId,
        number: DelegationNumber,
    ) {
        let Some(caller) = self.delegation.incoming.caller(link, number) else { return };
        self.caller_gone(now, caller);
        self.delegation.incoming.close(caller);
    }

    /// Gives up the jobs of origins whose liveness proof is too old.
    pub(super) fn abandon_silent_origins(&mut self, now: BootTime) {
        let limit = silence_limit(&self.timing);
        let delegation = &self.delegation;
        let silent = delegation.peers.keys().copied().filter(|&link| {
            delegation.incoming.has_jobs_on(link)
                && now.saturating_sub(delegation.proofs.alive_at(link)) > limit
        });
        for link in silent.collect::<Vec<_>>() {
            self.abandon_origin(now, link, "silent origin");
        }
    }

    /// Gives up all jobs of the entry at the other end of a link.
    pub(super) fn abandon_origin(&mut self, now: BootTime, link: LinkId, cause: &'static str) {
        let callers = self.delegation.incoming.callers_on(link);
        if callers.is_empty() {
            return;
        }
        tracing::info!(link, jobs = callers.len(), cause, "jobs of another entry given up");
        self.delegation.counters.abandoned += callers.len() as u64;
        for caller in callers {
            if let Some(job) = self.callers.get(&caller).cloned() {
                self.give_up_job(now, &job);
            }
        }
        self.place_waiting_tasks(now);
    }

    /// Fixes the liveness proof to which the remaining runs of a job are bound, since the caller may
    /// submit the job again from now on. The runs are being stopped; the bound takes effect only if a stop
    /// is not confirmed.
    pub(in super::super) fn fix_origin_proof(&mut self, job: &JobId, answer: Answer) {
        // A completed job has no run.
        if answer == Answer::Completed || self.delegation.proofs.is_empty() {
            return;
        }
        for view in self.agents.values_mut() {
            view.fix_origin_proof(job, &self.delegation.proofs);
        }
    }

    /// Removes the proofs of origins that no longer use this entry and have no run left.
    pub(super) fn remove_unused_proofs(&mut self, now: BootTime) {
        if self.delegation.proofs.is_empty() {
            return;
        }
        let limit = self.timing.contact_limit;
        let (agents, incoming) = (&self.agents, &self.delegation.incoming);
        self.delegation.proofs.remove_unused(now, limit, |origin| {
            let has_run =
                |view: &AgentView| view.runs.values().any(|run| run.origin == Some(origin));
            incoming.has_jobs_on(origin) || agents.values().any(has_run)
        });
    }
}
