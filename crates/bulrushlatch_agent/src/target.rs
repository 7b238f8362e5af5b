//! HTTP client of the target.

use std::{
    io::ErrorKind,
    time::{Duration, Instant},
};

use bulrushlatch_core::message::{StartTask, TaskDone, TaskError};
use bulrushlatch_protocol::{answer::Reason, ids::Payload, verdict::Verdict};
use serde_json::value::RawValue;
use ureq::{Agent as HttpClient, Error, http::Response};

/// Header that a target sets to `no` on a 503 response if it did not run the task.
const NOT_RUN_HEADER: &str = "bulrushlatch-ran";
/// Idle time after which a connection to the target is closed instead of being reused.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Largest accepted result of a task.
const MAX_RESULT_BYTES: u64 = 8 * 1024 * 1024;
/// Maximum number of characters of an error body that are passed on to the caller.
const MAX_MESSAGE_CHARS: usize = 300;

/// An HTTP client of one target. It reuses connections and never retries a call.
#[derive(Clone, Debug)]
pub struct Target {
    base_url: String,
    client: HttpClient,
}

impl Target {
    /// Returns a client that keeps at most `connections` idle connections for reuse.
    pub fn new(base_url: &str, connections: usize) -> Self {
        let config = HttpClient::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(connections)
            .max_idle_connections_per_host(connections)
            .max_idle_age(MAX_IDLE)
            .max_redirects(0)
            .proxy(None)
            .build();
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self { base_url, client: HttpClient::new_with_config(config) }
    }

    /// Runs a task: `POST {base}/tasks/{kind}` with the payload as the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the target cannot be reached, does not answer within the timeout of
    /// the task, answers with a status other than 2xx, or returns a result that is too large or
    /// not JSON. [`TaskError::ran`] states whether the task may have run.
    pub fn run(&self, task: &StartTask) -> Result<TaskDone, TaskError> {
        let started_at = Instant::now();
        let placement = &task.placement;
        let request = self
            .client
            .post(format!("{}/tasks/{}", self.base_url, task.kind))
            .header("Content-Type", "application/json")
            .header("bulrushlatch-submission", &*placement.submission_id)
            .header("bulrushlatch-task", placement.index.to_string());
        let timeout = Duration::from_millis(task.timeout_ms);
        let request = request.config().timeout_global(Some(timeout)).build();
        let response = request.send(task.payload.get()).map_err(|error| call_error(&error))?;
        let result = read_result(response)?;
        Ok(TaskDone { result, run_ms: started_at.elapsed().as_millis() as u64 })
    }
}

fn read_result(mut response: Response<ureq::Body>) -> Result<Payload, TaskError> {
    let status = response.status().as_u16();
    let is_not_run = response.headers().get(NOT_RUN_HEADER).is_some_and(|ran| ran == "no");
    let body = response.body_mut().with_config().limit(MAX_RESULT_BYTES).read_to_string();
    if status == 503 && is_not_run {
        let message = "the target answered that it did not run the task";
        return Err(task_error(Verdict::NotRun, Reason::TargetUnreachable, message));
    }
    let body = body.map_err(|error| {
        task_error(Verdict::Ran, Reason::TargetLost, format!("the result was cut off: {error}"))
    })?;
    match status {
        200..300 => parse_result(body),
        400..500 => Err(status_error(Reason::TaskRejected, status, &body)),
        _ => Err(status_error(Reason::TaskFailed, status, &body)),
    }
}

fn parse_result(body: String) -> Result<Payload, TaskError> {
    let body = if body.trim().is_empty() { "null".to_owned() } else { body };
    let result = RawValue::from_string(body).map_err(|error| {
        task_error(Verdict::Ran, Reason::TaskFailed, format!("the result is no JSON: {error}"))
    })?;
    Ok(Payload::from(result))
}

fn status_error(reason: Reason, status: u16, body: &str) -> TaskError {
    let body: String = body.chars().take(MAX_MESSAGE_CHARS).collect();
    task_error(Verdict::Ran, reason, format!("the target answered {status}: {body}"))
}

/// Classifies a failed call: only a connection that was never opened proves that the task did not
/// run.
fn call_error(error: &Error) -> TaskError {
    let is_never_connected = match error {
        Error::Io(io) => io.kind() == ErrorKind::ConnectionRefused,
        Error::ConnectionFailed | Error::HostNotFound => true,
        Error::Timeout(stage) => {
            matches!(stage, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        _ => false,
    };
    let message = error.to_string();
    if is_never_connected {
        task_error(Verdict::NotRun, Reason::TargetUnreachable, message)
    } else if matches!(error, Error::Timeout(_)) {
        task_error(Verdict::MayHaveRun, Reason::TimedOut, message)
    } else {
        task_error(Verdict::MayHaveRun, Reason::TargetLost, message)
    }
}

fn task_error(ran: Verdict, reason: Reason, message: impl Into<String>) -> TaskError {
    TaskError { ran, reason, message: message.into() }
}
