//! A stand-in of a runner: keeps runs under a lease and records every start and end.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Call, Request, Response},
    json::Json,
    record::Record,
};

pub const SERVICE: &str = "service-a";
/// Interval of heartbeats, as the settings of the users' deployments give it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longest lease, as the settings of the users' deployments give it.
const LONGEST_LEASE_MS: u64 = 1_000;
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Least time that a draining runner has left, as it reports it.
const REMAINING_MS: u64 = 2_000;
const CPU: u64 = 16_000;
const MEMORY_MB: u64 = 32_768;

/// A task that a runner has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub task: String,
    pub runner: String,
    pub at_ms: u64,
    /// `None` while it runs.
    pub ended_at_ms: Option<u64>,
    pub how: &'static str,
}

/// The starts at all runners.
pub type Starts = Arc<Mutex<Vec<Start>>>;

struct Run {
    attempt: u64,
    ends_at: Instant,
    start: usize,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, Run>,
    /// Highest attempt of each task that was started or stopped.
    highest_attempts: BTreeMap<String, u64>,
    /// Number, task, attempt and kind of the ends that were not acknowledged.
    finished: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    lease_until_ms: u64,
    sequence: u64,
    is_draining: bool,
    /// When the agent acknowledged that the runner drains.
    drain_acknowledged_at_ms: Option<u64>,
    has_left: bool,
}

#[derive(Clone)]
pub struct Runner {
    id: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    started_at: Instant,
    state: Arc<Mutex<State>>,
    starts: Starts,
    record: Record,
}

impl Runner {
    /// Starts a runner that registers at the agent's `control` address.
    pub fn start(
        id: &str,
        zone: &str,
        address: SocketAddr,
        control: SocketAddr,
        starts: &Starts,
        record: &Record,
    ) -> io::Result<Self> {
        let runner = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address,
            control,
            started_at: Instant::now(),
            state: Arc::default(),
            starts: Arc::clone(starts),
            record: record.clone(),
        };
        let server = runner.clone();
        http::serve(address, move |request| server.answer(&request))?;
        let worker = runner.clone();
        thread::spawn(move || {
            loop {
                worker.end_due_runs();
                thread::sleep(CHECK_INTERVAL);
            }
        });
        let sender = runner.clone();
        thread::spawn(move || sender.send_heartbeats());
        Ok(runner)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        100_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn heartbeat(&self, service: &str, state: &str, sequence: u64) -> String {
        let remaining = if state == "draining" {
            format!(r#""remaining-ms":{REMAINING_MS},"#)
        } else {
            String::new()
        };
        format!(
            r#"{{"service":"{service}","addr":"{}","zone":"{}","version":"v1","slots":8,"state":"{state}",{remaining}"cold-left-ms":0,"capacity":{{"cpu":{CPU},"mem-mb":{MEMORY_MB},"gpu":0}},"labels":["a"],"clock-ms":{},"seq":{sequence}}}"#,
            self.address,
            self.zone,
            self.clock_ms()
        )
    }

    /// Sends a message about this runner to the agent; returns whether it was acknowledged.
    fn tell_agent(&self, kind: &str, body: &str) -> bool {
        let path = format!("/v1/instances/{}/{kind}", self.id);
        let call = Call {
            address: self.control,
            method: "POST",
            path: &path,
            headers: vec![("Host", self.control.to_string())],
            body,
            timeout: Duration::from_secs(1),
        };
        call.send().is_ok_and(|reply| reply.status == 200)
    }

    fn send_heartbeats(&self) {
        loop {
            let (sequence, is_draining) = {
                let mut state = self.state();
                if state.has_left {
                    return;
                }
                state.sequence += 1;
                (state.sequence, state.is_draining)
            };
            let state_name = if is_draining { "draining" } else { "ready" };
            let body = self.heartbeat(SERVICE, state_name, sequence);
            let is_acknowledged = self.tell_agent("heartbeat", &body);
            if is_draining && is_acknowledged {
                let mut state = self.state();
                if state.drain_acknowledged_at_ms.is_none() {
                    state.drain_acknowledged_at_ms = Some(self.record.now_ms());
                    self.record.write(&format!("{}: draining acknowledged", self.id));
                }
            }
            // The agent may not listen yet.
            let pause =
                if is_acknowledged { HEARTBEAT_INTERVAL } else { Duration::from_millis(50) };
            thread::sleep(pause);
        }
    }

    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sends one heartbeat under this runner's id as another writer does, with a service that no
    /// configuration names.
    pub fn send_stray_heartbeat(&self, sequence: u64) -> bool {
        let body = self.heartbeat("service-of-nobody", "ready", sequence);
        let is_acknowledged = self.tell_agent("heartbeat", &body);
        self.record.write(&format!(
            "stray heartbeat for {}: seq {sequence}, acknowledged: {is_acknowledged}",
            self.id
        ));
        is_acknowledged
    }

    /// Reports from the next heartbeat on that the runner drains.
    pub fn drain(&self) {
        self.state().is_draining = true;
        self.record.write(&format!("{}: drains from its next heartbeat on", self.id));
    }

    pub fn drain_acknowledged_at_ms(&self) -> Option<u64> {
        self.state().drain_acknowledged_at_ms
    }

    /// Tells the agent that this runner leaves; then ends, which takes `end_time`, in which it still answers
    /// calls. Everything that runs here terminates with it.
    pub fn leave(&self, end_time: Duration) {
        let is_acknowledged = self.tell_agent("leave", "");
        self.record.write(&format!("{}: leave sent, acknowledged: {is_acknowledged}", self.id));
        thread::sleep(end_time);
        let mut state = self.state();
        state.has_left = true;
        let tasks: Vec<String> = state.runs.keys().cloned().collect();
        for task in tasks {
            self.end_run(&mut state, &task, "lost with the runner");
        }
        self.record.write(&format!("{}: left", self.id));
    }

    fn end_due_runs(&self) {
        let mut state = self.state();
        let is_lapsed = self.clock_ms() >= state.lease_until_ms;
        let now = Instant::now();
        let due = state.runs.iter().filter(|(_, run)| is_lapsed || run.ends_at <= now);
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            self.end_run(&mut state, &task, if is_lapsed { "lapsed" } else { "done" });
        }
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else { return };
        state.ends += 1;
        let number = state.ends;
        state.finished.push((number, task.to_owned(), run.attempt, how));
        let mut starts = self.starts.lock().unwrap_or_else(PoisonError::into_inner);
        starts[run.start].ended_at_ms = Some(self.record.now_ms());
        starts[run.start].how = how;
        self.record.write(&format!("{}: {task} attempt {} ended {how}", self.id, run.attempt));
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        if self.state().has_left {
            return None;
        }
        Some(self.answer_call(request))
    }

    fn answer_call(&self, request: &Request) -> Response {
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            return Response::new(421, "");
        }
        if request.path() == "/health" {
            return Response::new(200, "");
        }
        if request.method != "POST" {
            return Response::new(404, "");
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let Some(body) = body else { return Response::new(400, "") };
        match request.path() {
            "/v1/run-start" => self.start_run(&body),
            "/v1/run-stop" => self.stop_run(&body),
            "/v1/hold" => self.hold(&body),
            _ => Response::new(404, ""),
        }
    }

    fn clock_reply(&self, status: u16, reason: &str) -> Response {
        let clock_ms = self.clock_ms();
        let reason =
            if reason.is_empty() { String::new() } else { format!(r#","reason":"{reason}""#) };
        Response::new(status, format!(r#"{{"clock-ms":{clock_ms}{reason}}}"#))
    }

    fn extend_lease(&self, state: &mut State, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms() + LONGEST_LEASE_MS);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
    }

    fn start_run(&self, body: &Json) -> Response {
        let (Some(task), Some(attempt), Some(spec), Some(until_ms)) =
            (body.text("task"), body.number("attempt"), body.text("spec"), body.number("until-ms"))
        else {
            return Response::new(400, "");
        };
        let mut state = self.state();
        if until_ms <= self.clock_ms() {
            return self.clock_reply(409, "late");
        }
        self.extend_lease(&mut state, until_ms);
        if state.runs.get(task).is_some_and(|run| run.attempt == attempt) {
            return self.clock_reply(200, "");
        }
        if state.highest_attempts.get(task).is_some_and(|&highest| attempt <= highest) {
            return self.clock_reply(409, "old");
        }
        state.highest_attempts.insert(task.to_owned(), attempt);
        let start = {
            let mut starts = self.starts.lock().unwrap_or_else(PoisonError::into_inner);
            starts.push(Start {
                task: task.to_owned(),
                runner: self.id.clone(),
                at_ms: self.record.now_ms(),
                ended_at_ms: None,
                how: "",
            });
            starts.len() - 1
        };
        let ends_at = Instant::now() + run_time(spec, task);
        state.runs.insert(task.to_owned(), Run { attempt, ends_at, start });
        self.record.write(&format!("{}: {task} attempt {attempt} started", self.id));
        self.clock_reply(200, "")
    }

    fn stop_run(&self, body: &Json) -> Response {
        let (Some(task), Some(attempt)) = (body.text("task"), body.number("attempt")) else {
            return Response::new(400, "");
        };
        let mut state = self.state();
        let highest = state.highest_attempts.entry(task.to_owned()).or_default();
        *highest = (*highest).max(attempt);
        if state.runs.get(task).is_some_and(|run| run.attempt <= attempt) {
            self.end_run(&mut state, task, "stopped");
        }
        self.clock_reply(200, "")
    }

    fn hold(&self, body: &Json) -> Response {
        let last_seen = body.number("last-seen").unwrap_or(0);
        let wait = Duration::from_millis(body.number("wait-ms").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        {
            let mut state = self.state();
            if let Some(until_ms) = body.number("until-ms") {
                self.extend_lease(&mut state, until_ms);
            }
            state.finished.retain(|(number, ..)| *number > last_seen);
        }
        loop {
            let state = self.state();
            if !state.finished.is_empty() || Instant::now() >= until {
                let running = state.runs.iter();
                let running =
                    running.map(|(task, run)| format!(r#"["{task}",{},"",0]"#, run.attempt));
                let finished = state.finished.iter().take(500);
                let finished = finished.map(|(number, task, attempt, how)| {
                    format!(r#"[{number},"{task}",{attempt},"{how}",""]"#)
                });
                return Response::new(
                    200,
                    format!(
                        r#"{{"clock-ms":{},"running":[{}],"finished":[{}]}}"#,
                        self.clock_ms(),
                        running.collect::<Vec<_>>().join(","),
                        finished.collect::<Vec<_>>().join(",")
                    ),
                );
            }
            drop(state);
            thread::sleep(CHECK_INTERVAL);
        }
    }
}

/// Returns the run time of a task: the specs of the cases list one for each step, in ms.
fn run_time(spec: &str, task: &str) -> Duration {
    let step: usize = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
    let times = spec.split(',').map(|time| time.parse().unwrap_or(10));
    let times: Vec<u64> = times.collect();
    Duration::from_millis(times.get(step).copied().unwrap_or(10))
}
