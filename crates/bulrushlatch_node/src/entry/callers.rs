//! Requests from callers.

use std::{rc::Rc, sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    clock::BootClock,
    entry::Submission,
    ids::{CallerId, JobId},
    job::JobRequest,
    outcome::{Answer, Refusal},
    routing::Route,
};
use hyper::{
    StatusCode,
    header::{CONNECTION, HOST, HeaderValue},
};
use tokio::sync::oneshot;

use super::{EntryProcess, delegation::DelegationResult};
use crate::{
    http_server::{DEFAULT_MAX_BODY_BYTES, ServerHandler, ServerRequest, text_response},
    interface::{
        BodyResponse, CallerInterface, CallerReply, CallerRequest, RoutedHttpRequest, SiteStore,
        SubmissionHead,
    },
};

/// Time after which callers may retry if the entry has no configuration or cannot decode a request.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of times that the runtime polls a connection until a disconnect is detected: one poll
/// reads the end of the body, one the end of the connection.
const POLLS_TO_DETECT_DISCONNECT: usize = 2;

/// Yields until the connection has detected whether the caller has disconnected, in which case it
/// drops the future that awaits this.
///
/// Such a caller disconnected while its request was delayed in transit, and may have submitted the
/// same job to another entry.
async fn drop_if_disconnected() {
    for _ in 0..POLLS_TO_DETECT_DISCONNECT {
        tokio::task::yield_now().await;
    }
}

/// Handles requests from callers and readiness checks of the load balancer.
pub struct CallerHandler<C, S> {
    process: Rc<EntryProcess<C, S>>,
}

impl<C: CallerInterface, S: SiteStore> CallerHandler<C, S> {
    /// Returns a handler of requests to `process`.
    pub fn new(process: &Rc<EntryProcess<C, S>>) -> Self {
        Self { process: Rc::clone(process) }
    }

    async fn reply(&self, request: &ServerRequest) -> CallerReply {
        let process = &self.process;
        let refused =
            |reason, retry_after| CallerReply::Answer(Answer::Refused { reason, retry_after });
        let host = request.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
        let Some(route_match) = process.find_route(host, &request.path) else {
            tracing::info!(path = %request.path, "refused: no configuration yet");
            return refused(Refusal::NoConfiguration, RETRY_AFTER);
        };
        let Some((route, path_suffix)) = route_match else {
            return CallerReply::Answer(Answer::NoRoute);
        };
        let (method, headers, body) = (&request.method, &request.headers, &request.body[..]);
        let routed_request = RoutedHttpRequest { method, path_suffix: &path_suffix, headers, body };
        if let Some(head) = process.caller_interface.decode_head(&routed_request) {
            drop_if_disconnected().await;
            if let Some(answer) = self.answer_undecoded(&route, host, request, &head).await {
                return CallerReply::Answer(answer);
            }
        }
        match process.caller_interface.decode(&routed_request) {
            Ok(CallerRequest::Submit { job_request, remaining_time }) => {
                CallerReply::Answer(process.submit(route, job_request, remaining_time).await)
            }
            Ok(CallerRequest::State(job)) => CallerReply::Answer(process.core.borrow().state(&job)),
            Ok(CallerRequest::Cancel(job)) => CallerReply::Answer(process.cancel(&job)),
            Ok(CallerRequest::UnstartedJobs) => {
                CallerReply::UnstartedJobs(process.core.borrow().unstarted_jobs(&route))
            }
            Err(error) => {
                tracing::info!(
                    path = %request.path, fault = %error,
                    "refused: request cannot be decoded"
                );
                refused(Refusal::Malformed, RETRY_AFTER)
            }
        }
    }
}

impl<C: CallerInterface, S: SiteStore> CallerHandler<C, S> {
    /// Returns the answer to a submission whose body need not be decoded here: another entry carries
    /// the job out, or this process lacks the processor time for it. `None` if it is to be handled
    /// here.
    async fn answer_undecoded(
        &self,
        route: &Route,
        host: &str,
        request: &ServerRequest,
        head: &SubmissionHead,
    ) -> Option<Answer> {
        let process = &self.process;
        if process.settings.delegation.is_some() {
            match process.delegate(host, &request.path, &request.body, head).await {
                DelegationResult::Answered(answer) => return Some(answer),
                // The caller may have disconnected meanwhile.
                DelegationResult::NotTaken => drop_if_disconnected().await,
                DelegationResult::NotSent => {}
            }
        }
        let retry_after = process.core.borrow_mut().refuse_for_overload(route, &head.job)?;
        Some(Answer::Refused { reason: Refusal::Overloaded, retry_after })
    }
}

impl<C: CallerInterface, S: SiteStore> ServerHandler for CallerHandler<C, S> {
    fn max_body_bytes(&self) -> usize {
        let core = self.process.core.borrow();
        core.table().and_then(|table| table.max_body_bytes).unwrap_or(DEFAULT_MAX_BODY_BYTES)
    }

    async fn handle(self: Rc<Self>, request: ServerRequest) -> BodyResponse {
        let process = &self.process;
        if process.caller_interface.is_readiness_check(&request.method, &request.path) {
            let is_ready = process.core.borrow().is_ready(process.clock.now());
            return if is_ready && !process.shutdown_begun.get() {
                text_response(StatusCode::OK, "ready")
            } else {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            };
        }
        let reply = self.reply(&request).await;
        let mut response = process.caller_interface.encode(&reply);
        if process.shutdown_begun.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Reports to the state machine, when dropped, that the caller has disconnected before its answer.
struct CallerGuard<'a, C: CallerInterface, S: SiteStore> {
    process: &'a EntryProcess<C, S>,
    caller: CallerId,
}

impl<C: CallerInterface, S: SiteStore> Drop for CallerGuard<'_, C, S> {
    fn drop(&mut self) {
        if self.process.pending_answers.borrow_mut().remove(&self.caller).is_some() {
            self.process.with_core(|core, now| core.caller_gone(now, self.caller));
        }
    }
}

impl<C: CallerInterface, S: SiteStore> EntryProcess<C, S> {
    /// Returns the route that a path matches and the rest of the path. The outer option is `None`
    /// without a configuration, the inner one if no route matches.
    pub(super) fn find_route(
        &self,
        host: &str,
        path: &str,
    ) -> Option<Option<(Arc<Route>, String)>> {
        let core = self.core.borrow();
        let route_match = core.table()?.find(host, path);
        Some(route_match.map(|(route, suffix)| (Arc::clone(route), suffix.to_owned())))
    }

    async fn submit(
        &self,
        route: Arc<Route>,
        job_request: JobRequest,
        remaining_time: Option<Duration>,
    ) -> Answer {
        let started_at = self.clock.now();
        let caller = self.next_id();
        let (job, route_name) = (job_request.id.clone(), route.name.clone());
        let tasks: u64 = job_request.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let (sender, receiver) = oneshot::channel();
        self.pending_answers.borrow_mut().insert(caller, sender);
        let _guard = CallerGuard { process: self, caller };
        let submission = Submission { caller, route, request: job_request, remaining_time };
        self.with_core(|core, now| core.submit(now, submission));
        // The sender is dropped only after it has sent the answer, so the fallback is not used.
        let answer = receiver.await.unwrap_or(Answer::Interrupted);
        let took = self.clock.now().saturating_sub(started_at);
        self.answer_latency.observe(took.as_secs_f64());
        let version = self.core.borrow().version();
        let took_ms = took.as_millis() as u64;
        tracing::info!(%job, route = %route_name, tasks, version, took_ms, %answer, "answered");
        answer
    }

    fn cancel(&self, job: &JobId) -> Answer {
        if self.with_core(|core, now| core.cancel(now, job)) {
            return Answer::Cancelled;
        }
        self.forward_cancellation(job);
        Answer::UnknownJob
    }
}
