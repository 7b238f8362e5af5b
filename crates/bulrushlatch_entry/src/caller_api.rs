//! HTTP API for callers.

use bulrushlatch_protocol::{
    answer::{Answer, Reason},
    ids::SubmissionId,
    submission::Submission,
};
use bulrushlatch_runtime::web::{
    BodyError, BodyResponse, WebHandler, WebRequest, json_response, text_response,
};
use serde::Serialize;

use crate::{operator_api, pending_requests::answer_response, process::EntryProcess};

/// Path that submissions are posted to; the path of one submission appends its id.
const SUBMISSIONS_PATH: &str = "/v1/submissions";

/// Body of an error response that concerns no submission.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// Description of the error.
    pub error: String,
}

/// Returns a response with an [`ErrorBody`].
pub fn error_response(status: u16, error: impl Into<String>) -> BodyResponse {
    json_response(status, &ErrorBody { error: error.into() })
}

impl WebHandler for EntryProcess {
    fn handle(&self, request: WebRequest) {
        let method = request.method.as_str().to_owned();
        let path = request.path.clone();
        if let Some(id) =
            path.strip_prefix(SUBMISSIONS_PATH).and_then(|rest| rest.strip_prefix('/'))
        {
            serve_submission(self, &method, SubmissionId::from(id), request);
            return;
        }
        match (method.as_str(), path.as_str()) {
            ("POST", SUBMISSIONS_PATH) => submit(self, request),
            ("POST", "/v1/changes") => publish(self, request),
            ("GET", _) => {
                let response = get(self, &request);
                request.responder.respond(response);
            }
            _ => request.responder.respond(error_response(404, "no such path")),
        }
    }
}

fn serve_submission(
    process: &EntryProcess,
    method: &str,
    submission_id: SubmissionId,
    request: WebRequest,
) {
    match method {
        "GET" => process.lookup(request.responder, submission_id),
        "DELETE" => process.cancel(request.responder, submission_id),
        _ => request.responder.respond(error_response(405, "use GET or DELETE")),
    }
}

fn get(process: &EntryProcess, request: &WebRequest) -> BodyResponse {
    match request.path.as_str() {
        "/healthz" => text_response(200, "ok"),
        "/readyz" => readiness_response(process),
        "/metrics" => text_response(200, crate::metrics::text(process)),
        path => operator_api::get(process, path, &request.query),
    }
}

fn submit(process: &EntryProcess, request: WebRequest) {
    let parsed = request.body.map_err(body_error_answer).and_then(|body| parse_submission(&body));
    match parsed {
        Ok(submission) => process.submit(request.responder, submission),
        Err(answer) => request.responder.respond(answer_response(&answer)),
    }
}

fn parse_submission(body: &str) -> Result<Submission, Answer> {
    let bad_request = |id: &str, message: String| {
        Answer::refused(SubmissionId::from(id), Reason::BadRequest, message, None)
    };
    let submission: Submission =
        serde_json::from_str(body).map_err(|error| bad_request("", error.to_string()))?;
    submission.validate().map_err(|error| {
        let message = format!("{}: {}", error.field, error.problem);
        bad_request(&submission.submission_id, message)
    })?;
    Ok(submission)
}

fn body_error_answer(error: BodyError) -> Answer {
    let (reason, message) = match error {
        BodyError::TooLarge => (Reason::TooLarge, "the body is larger than the limit"),
        BodyError::Unreadable => (Reason::BadRequest, "the body could not be read as UTF-8"),
    };
    Answer::refused(SubmissionId::from(""), reason, message, None)
}

fn publish(process: &EntryProcess, request: WebRequest) {
    let Ok(body) = request.body else {
        request.responder.respond(error_response(400, "the body could not be read"));
        return;
    };
    match serde_json::from_str(&body) {
        Ok(change) => process.publish(request.responder, change),
        Err(error) => request.responder.respond(error_response(400, error.to_string())),
    }
}

fn readiness_response(process: &EntryProcess) -> BodyResponse {
    if process.entry().is_ready() {
        text_response(200, "ready")
    } else {
        text_response(503, "not ready: no agreed state yet, or shutting down")
    }
}
