//! Jobs that other entries carry out for this one's callers, and jobs carried out for them.

use std::{rc::Rc, sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    clock::BootClock,
    delegation::{DelegatedJob, DelegatedOutcome, DelegationFrame, MAX_DELEGATED_BODY_BYTES},
    entry::delegation::DelegableRequest,
    frame::{DELEGATION_FRAME_VERSION, FrameVersion},
    ids::{CallerId, LinkId, ProcessId},
    job::JobRequest,
    outcome::{Answer, Refusal},
    routing::Route,
};
use hyper::{Method, header::HeaderMap};
use tokio::sync::oneshot;

use super::{EntryProcess, callers::RETRY_AFTER};
use crate::{
    interface::{CallerInterface, CallerRequest, RoutedHttpRequest, SiteStore, SubmissionHead},
    link::Frame,
};

/// What has become of a submission that another entry was to carry out.
pub(super) enum DelegationResult {
    /// The other entry's answer.
    Answered(Answer),
    /// The other entry has not taken it: this entry is to carry it out, some time after it arrived.
    NotTaken,
    /// It was not sent: this entry is to carry it out.
    NotSent,
}

/// Reports to the state machine, when dropped, that the caller of a delegated job has disconnected
/// before its outcome.
struct DelegatedCallerGuard<'a, C: CallerInterface, S: SiteStore> {
    process: &'a EntryProcess<C, S>,
    caller: CallerId,
}

impl<C: CallerInterface, S: SiteStore> Drop for DelegatedCallerGuard<'_, C, S> {
    fn drop(&mut self) {
        if self.process.pending_outcomes.borrow_mut().remove(&self.caller).is_some() {
            self.process.with_core(|core, now| core.caller_gone(now, self.caller));
        }
    }
}

impl<C: CallerInterface, S: SiteStore> EntryProcess<C, S> {
    /// Registers a new link to another entry for delegation. `is_dialed` tells whether this process
    /// opened it: of the two links between two entries, each delegates on the one that it opened.
    pub(super) fn open_delegation(
        &self,
        link: LinkId,
        peer: &ProcessId,
        version: FrameVersion,
        is_dialed: bool,
    ) {
        if version >= DELEGATION_FRAME_VERSION {
            self.with_core(|core, now| core.peer_up(now, peer.clone(), link, is_dialed));
        }
    }

    pub(super) fn close_delegation(&self, link: LinkId) {
        self.with_core(|core, now| core.peer_down(now, link));
    }

    /// Sends what this entry offers to an entry that may delegate jobs to it.
    pub(super) fn advertise_delegation(&self, link: LinkId) {
        self.with_core(|core, _| core.advertise_to_peer(link));
    }

    /// Sends frames about delegated jobs until the process ends. What becomes ready in one turn of
    /// the runtime shares a frame.
    pub(super) async fn send_delegation_frames(self: Rc<Self>) {
        loop {
            self.delegation_ready.notified().await;
            let now = self.clock.now();
            let frames = self.core.borrow_mut().delegation_frames(now);
            for (link, frame) in frames {
                self.send(link, Frame::Delegation(frame));
            }
        }
    }

    pub(super) fn handle_delegation_frame(&self, link: LinkId, frame: DelegationFrame) {
        let jobs = self.with_core(|core, now| core.receive_delegation(now, link, frame));
        for job in jobs {
            self.submit_delegated(link, &job);
        }
    }

    /// Decodes and submits a job of another entry.
    fn submit_delegated(&self, link: LinkId, job: &DelegatedJob) {
        let number = job.number;
        match self.decode_delegated(job) {
            Ok((route, request)) => self.with_core(|core, now| {
                let remaining_time = job.remaining_ms.map(Duration::from_millis);
                core.submit_delegated(now, link, number, route, request, remaining_time);
            }),
            Err(answer) => self.with_core(|core, _| core.answer_delegated(link, number, answer)),
        }
    }

    /// Returns the route and content of a job of another entry, or the answer if it has none.
    fn decode_delegated(&self, job: &DelegatedJob) -> Result<(Arc<Route>, JobRequest), Answer> {
        let route_match = self.find_route(&job.host, &job.path);
        let route_match = route_match.ok_or(refusal(Refusal::NoConfiguration))?;
        let (route, path_suffix) = route_match.ok_or(Answer::NoRoute)?;
        let request = RoutedHttpRequest {
            method: &Method::POST,
            path_suffix: &path_suffix,
            headers: &HeaderMap::new(),
            body: job.body.as_bytes(),
        };
        match self.caller_interface.decode(&request) {
            Ok(CallerRequest::Submit { job_request, .. }) => Ok((route, job_request)),
            Ok(_) => Err(refusal(Refusal::Malformed)),
            Err(error) => {
                tracing::info!(
                    path = %job.path, fault = %error,
                    "job of another entry refused: request cannot be decoded"
                );
                Err(refusal(Refusal::Malformed))
            }
        }
    }

    /// Has another entry carry out a submission, if that relieves this one.
    pub(super) async fn delegate(
        &self,
        host: &str,
        path: &str,
        body: &[u8],
        head: &SubmissionHead,
    ) -> DelegationResult {
        if body.len() > MAX_DELEGATED_BODY_BYTES {
            return DelegationResult::NotSent;
        }
        let Ok(body) = std::str::from_utf8(body) else { return DelegationResult::NotSent };
        let started_at = self.clock.now();
        let remaining_time = head.remaining_time;
        let request = DelegableRequest { job: &head.job, host, path, body, remaining_time };
        let caller = self.next_id();
        let (sender, receiver) = oneshot::channel();
        self.pending_outcomes.borrow_mut().insert(caller, sender);
        if !self.with_core(|core, now| core.delegate(now, caller, &request)) {
            self.pending_outcomes.borrow_mut().remove(&caller);
            return DelegationResult::NotSent;
        }
        let _guard = DelegatedCallerGuard { process: self, caller };
        // The sender is dropped only after it has sent the outcome, so the fallback is not used.
        let outcome = receiver.await.unwrap_or(DelegatedOutcome::Answered(Answer::Interrupted));
        let DelegatedOutcome::Answered(answer) = outcome else {
            return DelegationResult::NotTaken;
        };
        let took = self.clock.now().saturating_sub(started_at);
        self.answer_latency.observe(took.as_secs_f64());
        let took_ms = took.as_millis() as u64;
        tracing::info!(job = %head.job, took_ms, %answer, "answered by another entry");
        DelegationResult::Answered(answer)
    }

    /// Hands the outcomes of delegated jobs to their callers, closes the links to silent entries, and
    /// has pending frames sent.
    pub(super) fn finish_delegation(
        &self,
        outcomes: Vec<(CallerId, DelegatedOutcome)>,
        broken_links: Vec<LinkId>,
        has_frames: bool,
    ) {
        for (caller, outcome) in outcomes {
            if let Some(sender) = self.pending_outcomes.borrow_mut().remove(&caller) {
                // Fails only if the caller has just disconnected and does not need the answer.
                let _ = sender.send(outcome);
            }
        }
        for link in broken_links {
            self.links.borrow_mut().remove(&link);
        }
        if has_frames {
            self.delegation_ready.notify_one();
        }
    }
}

fn refusal(reason: Refusal) -> Answer {
    Answer::Refused { reason, retry_after: RETRY_AFTER }
}
