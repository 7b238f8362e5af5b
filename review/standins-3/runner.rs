//! A stand-in of a runner: keeps runs under a lease, guards its capacity and sends heartbeats.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response, response},
    json::{Json, quote},
    record::Record,
};

const CHECK_INTERVAL: Duration = Duration::from_millis(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const HOLD_MAX_MS: u64 = 1_000;
/// Time that a stop takes; the pages allow 50 ms.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Time after which a runner carries out an order that it leaves unanswered; the pages have 2 to 12 s.
const LATE_AFTER: Duration = Duration::from_secs(3);
const CPU: u64 = 16_000;
const MEM_MB: u64 = 32_768;

struct Run {
    attempt: u64,
    /// Number in the record.
    number: usize,
    cpu: u64,
    ends_at: Instant,
    how: &'static str,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, Run>,
    /// Highest run started, stopped or ended of each task.
    highest: BTreeMap<String, u64>,
    /// Rows of ended runs that are not acknowledged, by number.
    ended: Vec<(u64, String)>,
    last_end: u64,
    lease_until_ms: u64,
    /// Whether orders get no answer and are carried out later.
    leaves_orders: bool,
    orders: Orders,
    next_heartbeat_at: Option<Instant>,
}

/// Orders that a runner has received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Orders {
    pub answered: u64,
    pub unanswered: u64,
}

/// What a runner says of itself, as far as the cases differ.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
}

#[derive(Clone)]
pub struct Runner {
    pub identity: Identity,
    begun_at: Instant,
    record: Record,
    state: Arc<Mutex<State>>,
}

impl Runner {
    pub fn start(identity: Identity, record: &Record) -> std::io::Result<Self> {
        let runner = Self {
            begun_at: Instant::now(),
            record: record.clone(),
            state: Arc::default(),
            identity,
        };
        let server = runner.clone();
        http::serve(runner.identity.address, move |request| server.answer(&request))?;
        let worker = runner.clone();
        thread::spawn(move || worker.end_due_runs());
        let sender = runner.clone();
        thread::spawn(move || sender.send_heartbeats());
        Ok(runner)
    }

    /// Sets whether orders get no answer and are carried out later.
    pub fn leave_orders(&self, leaves_orders: bool) {
        self.state.lock().unwrap().leaves_orders = leaves_orders;
    }

    /// Returns the numbers of orders received so far.
    pub fn orders(&self) -> Orders {
        self.state.lock().unwrap().orders
    }

    fn clock_ms(&self) -> u64 {
        100_000 + self.begun_at.elapsed().as_millis() as u64
    }

    fn end_due_runs(&self) {
        loop {
            {
                let mut state = self.state.lock().unwrap();
                let is_lapsed = self.clock_ms() >= state.lease_until_ms;
                let due =
                    state.runs.iter().filter(|(_, run)| is_lapsed || run.ends_at <= Instant::now());
                for task in due.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
                    let run = state.runs.remove(&task).unwrap();
                    let how = if run.ends_at > Instant::now() { "lapsed" } else { run.how };
                    state.last_end += 1;
                    let number = state.last_end;
                    let row = format!("[{number},{},{},\"{how}\",\"\"]", quote(&task), run.attempt);
                    state.ended.push((number, row));
                    self.record.end(run.number, how);
                }
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn send_heartbeats(&self) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let Identity { service, zone, address, .. } = &self.identity;
            let body = format!(
                "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,\
                 \"capacity\":{{\"cpu\":{CPU},\"mem-mb\":{MEM_MB},\"gpu\":0}},\
                 \"labels\":[\"a\"],\"clock-ms\":{},\"seq\":{sequence}}}",
                self.clock_ms()
            );
            let is_acknowledged = self.send("heartbeat", body.as_bytes()) == Some(200);
            let pause = if is_acknowledged { HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL / 10 };
            self.state.lock().unwrap().next_heartbeat_at = Some(Instant::now() + pause);
            thread::sleep(pause);
        }
    }

    /// Returns the time until the next heartbeat.
    pub fn next_heartbeat_in(&self) -> Duration {
        let at = self.state.lock().unwrap().next_heartbeat_at;
        at.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()))
    }

    fn send(&self, kind: &str, body: &[u8]) -> Option<u16> {
        let path = format!("/v1/instances/{}/{kind}", self.identity.id);
        let timeout = Duration::from_secs(1);
        http::call(self.identity.control, "POST", &path, &[], body, timeout)
            .map(|(status, _)| status)
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        if request.header("expect-instance").is_some_and(|id| id != self.identity.id) {
            return response(421, "");
        }
        let Some(body) = Json::parse(&request.body) else { return response(400, "") };
        if request.path == "/v1/hold" {
            return self.hold(&body);
        }
        let leaves_order = {
            let mut state = self.state.lock().unwrap();
            let leaves_order = state.leaves_orders;
            state.orders.unanswered += u64::from(leaves_order);
            state.orders.answered += u64::from(!leaves_order);
            leaves_order
        };
        if !leaves_order {
            return self.carry_out(&request.path, &body);
        }
        let task = body.get("task").text();
        self.record.note(format!(
            "runner {} leaves {} of {task} unanswered",
            self.identity.id, request.path
        ));
        let (runner, path) = (self.clone(), request.path.clone());
        thread::spawn(move || {
            thread::sleep(LATE_AFTER);
            runner.carry_out(&path, &body);
        });
        None
    }

    fn carry_out(&self, path: &str, body: &Json) -> Option<Response> {
        match path {
            "/v1/run-start" => self.start_run(body),
            "/v1/run-stop" => self.stop_run(body),
            _ => response(404, ""),
        }
    }

    fn refuse(&self, reason: &str) -> Option<Response> {
        response(409, format!("{{\"clock-ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn accept(&self) -> Option<Response> {
        response(200, format!("{{\"clock-ms\":{}}}", self.clock_ms()))
    }

    fn extend_lease(&self, state: &mut State, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms() + HOLD_MAX_MS);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
    }

    /// Starts a run. The spec is `ms=N` for a task that takes N ms, with `cpu=C` for its size.
    fn start_run(&self, body: &Json) -> Option<Response> {
        let task = body.get("task").text().to_owned();
        let Some(attempt) = body.get("attempt").number() else { return response(400, "") };
        let Some(until_ms) = body.get("until-ms").number() else { return response(400, "") };
        let mut state = self.state.lock().unwrap();
        if until_ms <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend_lease(&mut state, until_ms);
        if state.runs.get(&task).is_some_and(|run| run.attempt == attempt) {
            return self.accept();
        }
        if state.highest.get(&task).is_some_and(|&highest| attempt <= highest) {
            return self.refuse("old");
        }
        let spec = body.get("spec").text();
        let parameter = |name: &str| {
            let mut pairs = spec.split(' ').filter_map(|word| word.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let cpu = parameter("cpu").unwrap_or(1_000);
        let used: u64 = state.runs.values().map(|run| run.cpu).sum();
        if used + cpu > CPU {
            return self.refuse("room");
        }
        let run_time = Duration::from_millis(parameter("ms").unwrap_or(50));
        let number = self.record.start(&self.identity.id, &task, attempt);
        state.highest.insert(task.clone(), attempt);
        let ends_at = Instant::now() + run_time;
        state.runs.insert(task, Run { attempt, number, cpu, ends_at, how: "done" });
        self.accept()
    }

    fn stop_run(&self, body: &Json) -> Option<Response> {
        let task = body.get("task").text().to_owned();
        let Some(attempt) = body.get("attempt").number() else { return response(400, "") };
        let mut state = self.state.lock().unwrap();
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(attempt);
        if let Some(run) = state.runs.get_mut(&task)
            && run.attempt <= attempt
        {
            run.how = "stopped";
            run.ends_at = run.ends_at.min(Instant::now() + STOP_TIME);
        }
        self.accept()
    }

    fn hold(&self, body: &Json) -> Option<Response> {
        let seen = body.get("last-seen").number().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(body.get("wait-ms").number().unwrap_or(0));
        if let Some(until_ms) = body.get("until-ms").number() {
            self.extend_lease(&mut self.state.lock().unwrap(), until_ms);
        }
        loop {
            {
                let mut state = self.state.lock().unwrap();
                state.ended.retain(|(number, _)| *number > seen);
                if !state.ended.is_empty() || Instant::now() >= end {
                    let running = state
                        .runs
                        .iter()
                        .map(|(task, run)| format!("[{},{},\"\",0]", quote(task), run.attempt));
                    let running = running.collect::<Vec<_>>().join(",");
                    let ended = state.ended.iter().take(500).map(|(_, row)| row.clone());
                    let ended = ended.collect::<Vec<_>>().join(",");
                    return response(
                        200,
                        format!(
                            "{{\"clock-ms\":{},\"running\":[{running}],\"finished\":[{ended}]}}",
                            self.clock_ms()
                        ),
                    );
                }
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }
}
