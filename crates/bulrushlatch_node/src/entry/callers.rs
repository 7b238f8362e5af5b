//! Calls of callers.

use std::{rc::Rc, sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    entry::Submission,
    ids::{CallerId, JobId},
    outcome::{Answer, Refusal},
    routing::Route,
};
use hyper::{
    StatusCode,
    header::{CONNECTION, HOST, HeaderValue},
};
use tokio::sync::oneshot;

use bulrushlatch_dispatch::clock::BootClock;

use super::EntryProcess;
use crate::{
    http_server::{DEFAULT_MAX_BODY_BYTES, ServerHandler, ServerRequest, text_response},
    interface::{
        BodyResponse, CallerInterface, CallerReply, CallerRequest, RoutedRequest, SiteStore,
    },
};

/// When callers may come back to an entry that has no configuration.
const RETRY_UNCONFIGURED: Duration = Duration::from_secs(1);

/// Turns of the connection after which the end of a caller that has gone is seen: one in which the
/// body ends, one in which the connection does.
const TURNS_TO_SEE_AN_END: usize = 2;

/// Lets a connection whose caller has gone drop the future that awaits this.
///
/// Such a caller left while its request was held up on its way, and may be elsewhere with the same job.
async fn show_gone_callers() {
    for _ in 0..TURNS_TO_SEE_AN_END {
        tokio::task::yield_now().await;
    }
}

/// Answers callers and the balancer.
pub struct CallerHandler<C, S> {
    process: Rc<EntryProcess<C, S>>,
}

impl<C: CallerInterface, S: SiteStore> CallerHandler<C, S> {
    /// Returns a handler of a process.
    pub fn new(process: &Rc<EntryProcess<C, S>>) -> Self {
        Self { process: Rc::clone(process) }
    }

    async fn reply(&self, request: &ServerRequest) -> CallerReply {
        let process = &self.process;
        let not_run =
            |reason, retry_after| CallerReply::Answer(Answer::Refused { reason, retry_after });
        let host = request.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
        let Some(found) = process.find_route(host, &request.path) else {
            tracing::info!(path = %request.path, "refused: no configuration yet");
            return not_run(Refusal::NoConfiguration, RETRY_UNCONFIGURED);
        };
        let Some((route, rest)) = found else {
            return CallerReply::Answer(Answer::NoRoute);
        };
        let (method, headers, body) = (&request.method, &request.headers, &request.body[..]);
        let call = RoutedRequest { method, rest: &rest, headers, body };
        match process.callers.decode(&call) {
            Ok(CallerRequest::Submit { request, remaining_time }) => {
                show_gone_callers().await;
                CallerReply::Answer(process.submit(route, request, remaining_time).await)
            }
            Ok(CallerRequest::State(job)) => CallerReply::Answer(process.core.borrow().state(&job)),
            Ok(CallerRequest::Cancel(job)) => CallerReply::Answer(process.cancel(&job)),
            Ok(CallerRequest::Pending) => {
                CallerReply::Pending(process.core.borrow().unstarted_jobs(&route))
            }
            Err(fault) => {
                tracing::info!(path = %request.path, %fault, "refused: call cannot be read");
                not_run(Refusal::Malformed, RETRY_UNCONFIGURED)
            }
        }
    }
}

impl<C: CallerInterface, S: SiteStore> ServerHandler for CallerHandler<C, S> {
    fn max_body_bytes(&self) -> usize {
        let core = self.process.core.borrow();
        core.table().and_then(|table| table.max_body_bytes).unwrap_or(DEFAULT_MAX_BODY_BYTES)
    }

    async fn handle(self: Rc<Self>, request: ServerRequest) -> BodyResponse {
        let process = &self.process;
        if process.callers.is_readiness_check(&request.method, &request.path) {
            let is_ready = process.core.borrow().is_ready(process.clock.now());
            return if is_ready && !process.is_closing.get() {
                text_response(StatusCode::OK, "ready")
            } else {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            };
        }
        let reply = self.reply(&request).await;
        let mut response = process.callers.encode(&reply);
        if process.is_closing.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Tells the decisions when a caller goes away before its answer.
struct CallerGuard<'a, C: CallerInterface, S: SiteStore> {
    process: &'a EntryProcess<C, S>,
    caller: CallerId,
}

impl<C: CallerInterface, S: SiteStore> Drop for CallerGuard<'_, C, S> {
    fn drop(&mut self) {
        if self.process.waiting.borrow_mut().remove(&self.caller).is_some() {
            self.process.act(|core, now| core.caller_gone(now, self.caller));
        }
    }
}

impl<C: CallerInterface, S: SiteStore> EntryProcess<C, S> {
    /// Returns the route of a path, and the rest of the path; none without a configuration.
    fn find_route(&self, host: &str, path: &str) -> Option<Option<(Arc<Route>, String)>> {
        let core = self.core.borrow();
        let found = core.table()?.find(host, path);
        Some(found.map(|(route, rest)| (Arc::clone(route), rest.to_owned())))
    }

    async fn submit(
        &self,
        route: Arc<Route>,
        request: bulrushlatch_dispatch::job::JobRequest,
        remaining_time: Option<Duration>,
    ) -> Answer {
        let began = self.clock.now();
        let caller = self.next_id();
        let (job, route_name) = (request.id.clone(), route.name.clone());
        let tasks: u64 = request.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(caller, sender);
        let _guard = CallerGuard { process: self, caller };
        let submission = Submission { caller, route, request, remaining_time };
        self.act(|core, now| core.submit(now, submission));
        // The sender lives until the answer is given.
        let answer = receiver.await.unwrap_or(Answer::Interrupted);
        let took = self.clock.now().saturating_sub(began);
        self.latency.observe(took.as_secs_f64());
        let version = self.core.borrow().version();
        let took_ms = took.as_millis() as u64;
        tracing::info!(%job, route = %route_name, tasks, version, took_ms, %answer, "answered");
        answer
    }

    fn cancel(&self, job: &JobId) -> Answer {
        if self.act(|core, now| core.cancel(now, job)) {
            return Answer::Cancelled;
        }
        self.tell_peers_cancelled(job);
        Answer::UnknownJob
    }
}
