//! Changes on their way through the log.

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

/// Time after which a change that did not show up in the log is appended again.
const APPEND_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// Longest time to wait for a change to show up.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// What a publisher is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishReply {
    /// The change.
    pub change_id: String,
    /// What became of it.
    pub outcome: ChangeOutcome,
}

/// Changes that were appended and have not been folded yet.
///
/// Only folding tells what became of a change, so a lost reply of the log does no harm: the
/// change is appended again, and its second record has no effect.
#[derive(Default)]
pub struct PendingChanges {
    waiting: Mutex<Vec<WaitingChange>>,
}

struct WaitingChange {
    responder: Responder,
    change: Change,
    since: Instant,
    last_append: Option<Instant>,
}

/// What is to be done for waiting changes.
#[derive(Default)]
pub struct PendingChangesStep {
    /// Requests to answer.
    pub responses: Vec<(Responder, BodyResponse)>,
    /// Records to append.
    pub appends: Vec<PendingAppend>,
}

impl PendingChanges {
    /// Adds a change.
    pub fn add(&self, responder: Responder, change: Change) {
        let change = WaitingChange { responder, change, since: Instant::now(), last_append: None };
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).push(change);
    }

    /// Returns whether no change waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    /// Looks for the waiting changes in the settings tree.
    pub fn step(&self, settings: &SettingsTree) -> PendingChangesStep {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let mut step = PendingChangesStep::default();
        for mut change in std::mem::take(&mut *waiting) {
            if let Some(response) = change.response(settings) {
                step.responses.push((change.responder, response));
                continue;
            }
            if change.is_append_due() {
                change.last_append = Some(Instant::now());
                let body = record_body::<SettingsTree>(&change.change);
                step.appends.push(PendingAppend { stream: StreamName::Settings, body });
            }
            waiting.push(change);
        }
        step
    }
}

impl WaitingChange {
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
        (self.since.elapsed() >= PUBLISH_TIMEOUT).then(|| error_response(504, error))
    }

    fn is_append_due(&self) -> bool {
        self.last_append.is_none_or(|last| last.elapsed() >= APPEND_AGAIN_AFTER)
    }
}
