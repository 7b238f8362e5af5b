//! Settings changes that have been written to the platform's log and not yet read back.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use bulrushlatch_core::version::{
    settings::{ChangeOutcome, SettingsTree},
    stream::record_body,
};
use bulrushlatch_log::platform_log::StreamName;
use bulrushlatch_protocol::change::Change;
use bulrushlatch_runtime::{
    log_io::PendingAppend,
    web::{BodyResponse, Responder, json_response},
};
use serde::{Deserialize, Serialize};

use crate::caller_api::error_response;

/// Time after which a change that has not been read back from the log is appended again.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time that a publisher waits for its change to be read back from the log.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Reply to the publisher of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishReply {
    /// Id of the published change.
    pub change_id: String,
    /// Whether the change was accepted or rejected.
    pub outcome: ChangeOutcome,
}

/// Changes that have not been applied to the settings tree yet.
///
/// The outcome of a change is known only once its record has been read back and applied, so a lost
/// reply of the log does no harm: the change is appended again, and its second record has no
/// effect.
#[derive(Default)]
pub struct PendingChanges {
    pending: Mutex<Vec<PendingChange>>,
}

struct PendingChange {
    responder: Responder,
    change: Change,
    received_at: Instant,
    last_append_at: Option<Instant>,
}

/// Responses and appends that pending changes require.
#[derive(Default)]
pub struct ChangeActions {
    /// Requests to respond to, with their responses.
    pub responses: Vec<(Responder, BodyResponse)>,
    /// Records to append to the log.
    pub appends: Vec<PendingAppend>,
}

impl PendingChanges {
    /// Adds a change; the next [`advance`](Self::advance) requests its first append.
    pub fn add(&self, responder: Responder, change: Change) {
        let change =
            PendingChange { responder, change, received_at: Instant::now(), last_append_at: None };
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).push(change);
    }

    /// Returns whether no change is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    /// Removes the changes that are decided or timed out, and collects the appends that are due.
    pub fn advance(&self, settings: &SettingsTree) -> ChangeActions {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let mut actions = ChangeActions::default();
        for mut pending_change in std::mem::take(&mut *pending) {
            if let Some(response) = pending_change.response(settings) {
                actions.responses.push((pending_change.responder, response));
                continue;
            }
            if pending_change.is_append_due() {
                pending_change.last_append_at = Some(Instant::now());
                let body = record_body::<SettingsTree>(&pending_change.change);
                actions.appends.push(PendingAppend { stream: StreamName::Settings, body });
            }
            pending.push(pending_change);
        }
        actions
    }
}

impl PendingChange {
    fn response(&self, settings: &SettingsTree) -> Option<BodyResponse> {
        if let Some(outcome) = settings.outcome(&self.change.change_id) {
            let status = match outcome {
                ChangeOutcome::Accepted(_) => 200,
                ChangeOutcome::Rejected(_) => 409,
            };
            let change_id = self.change.change_id.clone();
            return Some(json_response(
                status,
                &PublishReply { change_id, outcome: outcome.clone() },
            ));
        }
        let error = "the log did not show the change in time; it may still take effect: \
                     publish it again with the same change_id to learn what became of it";
        (self.received_at.elapsed() >= PUBLISH_TIMEOUT).then(|| error_response(504, error))
    }

    fn is_append_due(&self) -> bool {
        self.last_append_at.is_none_or(|last| last.elapsed() >= APPEND_RETRY_INTERVAL)
    }
}
