//! HTTP client of a log.

use std::{io::ErrorKind, time::Duration};

use bulrushlatch_protocol::{ids::Offset, verdict::Verdict};
use serde::{Deserialize, Serialize};

use crate::platform_log::{LogError, LogPage, PlatformLog, StreamName};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Body of the reply to a successful append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the appended record.
    pub offset: Offset,
}

/// A log that is accessed over HTTP: `POST /v1/streams/{stream}` appends a record, and
/// `GET /v1/streams/{stream}?from=&max=` reads records.
#[derive(Clone, Debug)]
pub struct HttpLog {
    base_url: String,
}

impl HttpLog {
    /// Returns a client for the log at `base_url`, such as `http://127.0.0.1:7000`.
    pub fn new(base_url: impl Into<String>) -> Self {
        Self { base_url: base_url.into() }
    }
}

impl PlatformLog for HttpLog {
    fn append(&self, stream: StreamName, body: &str) -> Result<Offset, LogError> {
        let url = format!("{}/v1/streams/{stream}", self.base_url);
        let request = attohttpc::post(url).timeout(CALL_TIMEOUT).text(body);
        let response = request.send().map_err(|error| append_error(&error))?;
        if response.status().as_u16() == 503 {
            return Err(log_error(Verdict::NotRun, "the log answered that it is down"));
        }
        if !response.is_success() {
            let message = format!("the log answered {}", response.status());
            return Err(log_error(Verdict::MayHaveRun, message));
        }
        let reply: AppendReply =
            response.json().map_err(|error| log_error(Verdict::MayHaveRun, error.to_string()))?;
        Ok(reply.offset)
    }

    fn read(
        &self,
        stream: StreamName,
        from: Offset,
        max_records: usize,
    ) -> Result<LogPage, LogError> {
        let url = format!("{}/v1/streams/{stream}", self.base_url);
        let request = attohttpc::get(url).timeout(CALL_TIMEOUT);
        let request = request.param("from", from).param("max", max_records);
        let response =
            request.send().map_err(|error| log_error(Verdict::NotRun, error.to_string()))?;
        if !response.is_success() {
            let message = format!("the log answered {}", response.status());
            return Err(log_error(Verdict::NotRun, message));
        }
        response.json().map_err(|error| log_error(Verdict::NotRun, error.to_string()))
    }
}

/// Classifies a failed append: only a refused connection proves that the record was not appended.
fn append_error(error: &attohttpc::Error) -> LogError {
    let is_refused = matches!(
        error.kind(),
        attohttpc::ErrorKind::Io(io) if io.kind() == ErrorKind::ConnectionRefused
    );
    let applied = if is_refused { Verdict::NotRun } else { Verdict::MayHaveRun };
    log_error(applied, error.to_string())
}

fn log_error(applied: Verdict, message: impl Into<String>) -> LogError {
    LogError { applied, message: message.into() }
}
