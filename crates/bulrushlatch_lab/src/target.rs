//! A simulated target with configurable run times and injected faults.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use bulrushlatch_runtime::web::{
    WebHandler, WebRequest, json_response, serve_http, text_response, with_header,
};
use serde::{Deserialize, Serialize};
use tokio::runtime::Handle;

/// Run time of a task whose payload declares none.
const DEFAULT_RUN_MS: u64 = 50;
/// Factor by which the run time of a straggler grows.
const STRAGGLER_FACTOR: u64 = 10;
/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time after which a request is dropped without an answer while [`Fault::Hang`] is injected.
const HANG_TIME: Duration = Duration::from_secs(60);

/// A fault injected at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// The target works normally.
    #[default]
    None,
    /// The target starts every task and answers 500.
    FailAll,
    /// The target answers 503 and reports that the task did not run.
    Refuse,
    /// The target answers 422 without starting the task.
    Reject,
    /// The target starts the task and never answers.
    Hang,
    /// The target runs the task and drops the reply.
    DropReply,
}

/// Task payload that the target interprets; any other payload runs for the default time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LabPayload {
    /// Run time of the task; [`LabTarget`] replaces 0 by its default.
    pub run_ms: u64,
}

/// Task result that identifies its task, so that callers can detect results of other tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LabResult {
    /// Submission of the task.
    pub submission_id: String,
    /// Index of the task in its submission.
    pub index: u32,
}

/// Identifies a task started at a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StartedTask {
    /// Submission of the task.
    pub submission_id: String,
    /// Index of the task in its submission.
    pub index: u32,
}

/// Counters of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounters {
    /// Tasks started.
    pub started: u64,
    /// Tasks that ran to the end and whose reply was sent.
    pub finished: u64,
    /// Tasks started more than once at this target.
    pub repeated: Vec<StartedTask>,
}

/// A running simulated target.
#[derive(Clone, Debug)]
pub struct LabTarget {
    /// Address that the target listens on.
    pub address: SocketAddr,
    state: Arc<TargetState>,
}

#[derive(Debug, Default)]
struct TargetState {
    fault: Mutex<Fault>,
    straggler_percent: u32,
    starts: Mutex<BTreeMap<StartedTask, u32>>,
    finished: Mutex<u64>,
}

impl LabTarget {
    /// Starts a target that makes `straggler_percent` of its tasks run ten times as long.
    ///
    /// # Errors
    ///
    /// Returns an error when `listen` cannot be bound.
    pub fn start(
        runtime: &Handle,
        listen: SocketAddr,
        fault: Fault,
        straggler_percent: u32,
    ) -> std::io::Result<Self> {
        let state = TargetState { straggler_percent, ..TargetState::default() };
        let state = Arc::new(state);
        *lock(&state.fault) = fault;
        let server = Arc::new(TargetServer { state: Arc::clone(&state) });
        let address = serve_http(runtime, listen, MAX_BODY_BYTES, server)?;
        Ok(Self { address, state })
    }

    /// Injects a fault into requests that arrive from now on.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.state.fault) = fault;
    }

    /// Returns how often each task was started at this target.
    pub fn starts(&self) -> BTreeMap<StartedTask, u32> {
        lock(&self.state.starts).clone()
    }

    /// Returns the counters of the target.
    pub fn counters(&self) -> TargetCounters {
        self.state.counters()
    }
}

/// Handles every request on a separate thread, because tasks block while they sleep.
struct TargetServer {
    state: Arc<TargetState>,
}

impl WebHandler for TargetServer {
    fn handle(&self, request: WebRequest) {
        let state = Arc::clone(&self.state);
        thread::spawn(move || state.serve(request));
    }
}

impl TargetState {
    fn serve(&self, request: WebRequest) {
        if request.path == "/starts" {
            request.responder.respond(json_response(200, &self.counters()));
        } else if let Some(fault) = request.path.strip_prefix("/fault/") {
            *lock(&self.fault) = fault.parse().unwrap_or_default();
            request.responder.respond(text_response(200, fault));
        } else {
            self.run(request);
        }
    }

    fn run(&self, request: WebRequest) {
        let fault = *lock(&self.fault);
        if fault == Fault::Refuse {
            let response = text_response(503, "busy");
            request.responder.respond(with_header(response, "bulrushlatch-ran", "no"));
            return;
        }
        if fault == Fault::Reject {
            request.responder.respond(text_response(422, "bad shape"));
            return;
        }
        let task = StartedTask {
            submission_id: header_value(&request, "bulrushlatch-submission"),
            index: header_value(&request, "bulrushlatch-task").parse().unwrap_or_default(),
        };
        *lock(&self.starts).entry(task.clone()).or_default() += 1;
        if fault == Fault::FailAll {
            request.responder.respond(text_response(500, "failed"));
            return;
        }
        if fault == Fault::Hang {
            thread::sleep(HANG_TIME);
            return;
        }
        thread::sleep(self.run_time(request.body.as_deref().unwrap_or_default()));
        if fault == Fault::DropReply {
            return;
        }
        let result = LabResult { submission_id: task.submission_id, index: task.index };
        *lock(&self.finished) += 1;
        request.responder.respond(json_response(200, &result));
    }

    /// Returns the run time that a body declares; an unreadable body gets the default.
    fn run_time(&self, body: &str) -> Duration {
        let payload = serde_json::from_str::<LabPayload>(body).unwrap_or_default();
        let run_ms = if payload.run_ms == 0 { DEFAULT_RUN_MS } else { payload.run_ms };
        let is_straggler = fastrand::u32(..100) < self.straggler_percent;
        Duration::from_millis(if is_straggler { run_ms * STRAGGLER_FACTOR } else { run_ms })
    }

    fn counters(&self) -> TargetCounters {
        let starts = lock(&self.starts);
        let repeated = starts.iter().filter(|(_, count)| **count > 1);
        TargetCounters {
            started: starts.values().map(|&count| u64::from(count)).sum(),
            finished: *lock(&self.finished),
            repeated: repeated.map(|(task, _)| task.clone()).collect(),
        }
    }
}

fn header_value(request: &WebRequest, name: &str) -> String {
    let value = request.headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
