//! Stand-in of a runner: it guards its capacity, keeps runs under a lease and announces itself.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, json_number, json_text, Connection, Request, Response},
    record::Record,
};

/// Longest lease that is granted, in ms (`hold-max-ms`).
const LONGEST_LEASE_MS: u64 = 1_000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval at which the end of runs and of the lease is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Room of a runner, in tasks; each task of the cases asks for one core.
const CORES: usize = 16;

/// A start or an end of a run.
#[derive(Clone, Debug)]
pub struct RunEvent {
    pub at: Duration,
    pub service: String,
    pub task: String,
    /// `start`, or how the run ended.
    pub what: &'static str,
}

/// What all runners of a case have run.
pub type RunEvents = Arc<Mutex<Vec<RunEvent>>>;

struct Run {
    attempt: u64,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, Run>,
    /// Highest attempt of each task that was started, stopped or has ended.
    highest: BTreeMap<String, u64>,
    /// Ended runs that were not taken note of: number, task, attempt, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    lease_until_ms: u64,
}

#[derive(Clone)]
pub struct Runner {
    id: String,
    address: String,
    service: String,
    zone: String,
    started_at: Instant,
    state: Arc<(Mutex<State>, Condvar)>,
    events: RunEvents,
    record: Record,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: &str,
        control: &str,
        events: &RunEvents,
        record: &Record,
    ) -> std::io::Result<Self> {
        let runner = Self {
            id: id.to_owned(),
            address: address.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            started_at: Instant::now(),
            state: Arc::default(),
            events: Arc::clone(events),
            record: record.clone(),
        };
        let server = runner.clone();
        http::serve(address, move |request| server.answer(request))?;
        let clock = runner.clone();
        thread::spawn(move || clock.end_due_runs());
        let beats = runner.clone();
        let control = control.to_owned();
        thread::spawn(move || beats.announce(&control));
        Ok(runner)
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn note(&self, what: &'static str, task: &str, attempt: u64) {
        let at = self.record.now();
        let (id, service) = (&self.id, self.service.clone());
        self.record.note(&format!("{id} ({service}): {what} {task} attempt {attempt}"));
        let task = task.to_owned();
        self.events.lock().unwrap().push(RunEvent { at, service, task, what });
    }

    fn announce(&self, control: &str) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = format!(
                concat!(
                    r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":8,"#,
                    r#""state":"ready","cold-left-ms":0,"capacity":{{"cpu":{},"mem-mb":32768,"#,
                    r#""gpu":0}},"labels":["a","r1-1"],"clock-ms":{},"seq":{}}}"#
                ),
                self.service,
                self.address,
                self.zone,
                CORES * 1_000,
                self.clock_ms(),
                sequence
            );
            let request =
                format!("POST /v1/instances/{}/heartbeat HTTP/1.1\r\nHost: {control}\r\n", self.id);
            let connection = Connection::open(control);
            let answer =
                connection.and_then(|mut open| open.call(&request, &body, Duration::from_secs(1)));
            let is_acknowledged = answer.is_some_and(|(status, _)| status == 200);
            let pause =
                if is_acknowledged { HEARTBEAT_INTERVAL } else { Duration::from_millis(100) };
            thread::sleep(pause);
        }
    }

    fn end_due_runs(&self) {
        loop {
            thread::sleep(CHECK_INTERVAL);
            let (state, changed) = &*self.state;
            let mut state = state.lock().unwrap();
            let has_lapsed = self.clock_ms() >= state.lease_until_ms;
            let now = Instant::now();
            let due = state.runs.iter().filter(|(_, run)| has_lapsed || run.ends_at <= now);
            let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
            for task in &due {
                self.end_run(&mut state, task, if has_lapsed { "lapsed" } else { "done" });
            }
            if !due.is_empty() {
                changed.notify_all();
            }
        }
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else { return };
        state.last_end += 1;
        state.ended.push((state.last_end, task.to_owned(), run.attempt, how));
        self.note(how, task, run.attempt);
    }

    fn answer(&self, request: &Request) -> Response {
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            return Response::new(421, format!(r#"{{"clock-ms":{}}}"#, self.clock_ms()));
        }
        let body = request.text();
        match request.path() {
            "/v1/run-start" => self.start_run(&body),
            "/v1/run-stop" => self.stop_run(&body),
            "/v1/hold" => self.hold(&body),
            _ => Response::new(404, ""),
        }
    }

    fn extend_lease(&self, state: &mut State, until_ms: u64) {
        let longest = self.clock_ms() + LONGEST_LEASE_MS;
        state.lease_until_ms = state.lease_until_ms.max(until_ms.min(longest));
    }

    /// Starts a run; the `spec` is its time in ms.
    fn start_run(&self, body: &str) -> Response {
        let (task, spec) = (json_text(body, "task"), json_text(body, "spec"));
        let (attempt, until_ms) = (json_number(body, "attempt"), json_number(body, "until-ms"));
        let clock_ms = self.clock_ms();
        let (Some(task), Some(attempt), Some(until_ms)) = (task, attempt, until_ms) else {
            return Response::new(400, format!(r#"{{"clock-ms":{clock_ms}}}"#));
        };
        let refuse = |reason: &str| {
            Response::new(409, format!(r#"{{"clock-ms":{clock_ms},"reason":"{reason}"}}"#))
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if until_ms <= clock_ms {
            return refuse("late");
        }
        self.extend_lease(&mut state, until_ms);
        if state.runs.get(&task).is_some_and(|run| run.attempt == attempt) {
            return Response::new(200, format!(r#"{{"clock-ms":{clock_ms}}}"#));
        }
        if state.highest.get(&task).is_some_and(|&highest| attempt <= highest) {
            return refuse("old");
        }
        if state.runs.len() >= CORES {
            return refuse("room");
        }
        state.highest.insert(task.clone(), attempt);
        let run_ms = spec.and_then(|spec| spec.parse().ok()).unwrap_or(5);
        let ends_at = Instant::now() + Duration::from_millis(run_ms);
        self.note("start", &task, attempt);
        state.runs.insert(task, Run { attempt, ends_at });
        changed.notify_all();
        Response::new(200, format!(r#"{{"clock-ms":{clock_ms}}}"#))
    }

    fn stop_run(&self, body: &str) -> Response {
        let task = json_text(body, "task").unwrap_or_default();
        let attempt = json_number(body, "attempt").unwrap_or(0);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(attempt);
        if state.runs.get(&task).is_some_and(|run| run.attempt <= attempt) {
            self.end_run(&mut state, &task, "stopped");
            changed.notify_all();
        }
        Response::new(200, format!(r#"{{"clock-ms":{}}}"#, self.clock_ms()))
    }

    fn hold(&self, body: &str) -> Response {
        let seen = json_number(body, "last-seen").unwrap_or(0);
        let wait = Duration::from_millis(json_number(body, "wait-ms").unwrap_or(0));
        let end = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if let Some(until_ms) = json_number(body, "until-ms") {
            self.extend_lease(&mut state, until_ms);
        }
        state.ended.retain(|(number, ..)| *number > seen);
        loop {
            let now = Instant::now();
            if !state.ended.is_empty() || now >= end {
                break;
            }
            state = changed.wait_timeout(state, end - now).unwrap().0;
        }
        let running = state.runs.iter();
        let running = running.map(|(task, run)| format!(r#"["{task}",{},"",50]"#, run.attempt));
        let running: Vec<String> = running.collect();
        let finished = state.ended.iter().take(500);
        let finished = finished.map(|(number, task, attempt, how)| {
            format!(r#"[{number},"{task}",{attempt},"{how}",""]"#)
        });
        let finished: Vec<String> = finished.collect();
        let clock_ms = self.clock_ms();
        let (running, finished) = (running.join(","), finished.join(","));
        Response::new(
            200,
            format!(r#"{{"clock-ms":{clock_ms},"running":[{running}],"finished":[{finished}]}}"#),
        )
    }
}
