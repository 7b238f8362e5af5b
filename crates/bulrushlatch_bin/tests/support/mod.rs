//! Runs the real programs as separate processes on loopback.

#![allow(dead_code)]

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::answer::Answer;
use serde_json::{Value, json};

/// Longest wait for a condition at a site, such as that it is ready.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A running program, killed when dropped.
pub struct Program {
    child: Child,
    /// Address for HTTP requests; for an agent, that of its target.
    pub address: SocketAddr,
    /// Address for messages from entries and agents; not used for a `bulrush-lab` server.
    peer_address: SocketAddr,
}

impl Program {
    fn spawn(name: &str, arguments: &[String], address: SocketAddr) -> Self {
        let mut command = Command::new(program_path(name));
        command.args(arguments).stdout(Stdio::piped());
        let child = command.spawn().expect("the program starts");
        Self { child, address, peer_address: address }
    }

    /// Waits for the log line about the start of the program and reads its addresses from there.
    fn read_addresses(&mut self) {
        let output = self.child.stdout.take().expect("the output is piped");
        let mut lines = BufReader::new(output).lines();
        let started = lines.by_ref().map_while(Result::ok).find(|line| line.contains(" started "));
        let started = started.expect("the program logs that it started");
        let address_after = |name: &str| {
            let address = started.split(name).nth(1)?.split_whitespace().next()?;
            address.parse().ok()
        };
        self.peer_address = address_after("peers=").expect("the line has the peer address");
        self.address = address_after("callers=").unwrap_or(self.address);
        // A program must not block on a pipe that nobody reads.
        thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
    }

    /// Kills the program with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("the program can be killed");
        self.child.wait().expect("the program ends");
    }

    /// Requests an orderly shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Suspends the program with SIGSTOP.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Resumes a frozen program with SIGCONT.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Waits until the program has ended; returns whether it did so within `timeout`.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            if self.child.try_wait().expect("the program can be waited for").is_some() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(status.expect("kill runs").success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Both calls fail if the program has ended and has been waited for already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A log, entries, agents and targets as separate processes.
pub struct ProgramSite {
    /// Log, served by `bulrush-lab log`.
    pub log: Program,
    /// Entries by index.
    pub entries: Vec<Program>,
    /// Agents by index.
    pub agents: Vec<Program>,
    /// Simulated targets, in the order of their agents.
    pub targets: Vec<Program>,
}

impl ProgramSite {
    /// Starts a site and waits until every entry has read the settings of the team `marea`.
    pub fn start(entries: usize, agents: usize) -> Self {
        let log = start_lab_server("log");
        let mut site = Self { log, entries: Vec::new(), agents: Vec::new(), targets: Vec::new() };
        for index in 0..entries {
            let entry = site.spawn_entry(index);
            site.entries.push(entry);
        }
        for index in 0..agents {
            let target = start_lab_server("target");
            let agent = site.spawn_agent(index, target.address);
            site.targets.push(target);
            site.agents.push(agent);
        }
        site.wait_until_joined(entries, agents);
        site.publish("create-team", "operators", "marea", "owner", &json!("marea"), 0);
        site.wait_until(|site| {
            site.entries.iter().all(|entry| {
                get_json(entry.address, "/v1/settings?path=marea")
                    .is_some_and(|shown| shown.as_array().is_some_and(|list| !list.is_empty()))
            })
        });
        site
    }

    /// Starts the process `entry-{index}`; its peers are the entries of this site.
    pub fn spawn_entry(&self, index: usize) -> Program {
        let arguments = [
            ("--name", format!("entry-{index}")),
            ("--zone", format!("zone-{index}")),
            ("--log-url", format!("http://{}", self.log.address)),
            ("--peers", self.entry_peers()),
        ];
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut entry = Program::spawn("bulrush-entry", &flatten(&arguments), any_port);
        entry.read_addresses();
        entry
    }

    /// Starts the process `agent-{index}` for the target at an address.
    pub fn spawn_agent(&self, index: usize, target: SocketAddr) -> Program {
        let arguments = [
            ("--name", format!("agent-{index}")),
            ("--zone", format!("zone-{index}")),
            ("--service", "listing".to_owned()),
            ("--target-url", format!("http://{target}")),
            ("--entries", self.entry_peers()),
        ];
        let mut agent = Program::spawn("bulrush-agent", &flatten(&arguments), target);
        agent.read_addresses();
        agent
    }

    fn entry_peers(&self) -> String {
        let peers: Vec<String> =
            self.entries.iter().map(|entry| entry.peer_address.to_string()).collect();
        peers.join(",")
    }

    /// Submits a job to an entry and returns the answer.
    pub fn submit(&self, entry: usize, job: &Value) -> Answer {
        submit(self.entries[entry].address, job)
    }

    /// Submits a job to an entry on a new thread, which returns the answer.
    pub fn submit_in_background(&self, entry: usize, job: &Value) -> thread::JoinHandle<Answer> {
        let address = self.entries[entry].address;
        let job = job.clone();
        thread::spawn(move || submit(address, &job))
    }

    /// Publishes a change through the first entry and returns the reply.
    pub fn publish(
        &self,
        change_id: &str,
        team: &str,
        path: &str,
        key: &str,
        value: &Value,
        expected_version: u64,
    ) -> Value {
        let change = json!({
            "change_id": change_id, "team": team, "author": "test", "path": path, "key": key,
            "value": value, "expected_version": expected_version, "reason": "a test",
        });
        let url = format!("http://{}/v1/changes", self.entries[0].address);
        let request = attohttpc::post(url).json(&change).expect("a change has a JSON form");
        let response = request.send().expect("the entry answers");
        response.json().expect("the reply is JSON")
    }

    /// Returns whether the second entry reports that a submission is running or complete.
    pub fn is_accepted(&self, submission_id: &str) -> bool {
        let path = format!("/v1/submissions/{submission_id}");
        let state = get_json(self.entries[1].address, &path).map(|answer| answer["state"].clone());
        state.is_some_and(|state| state == "running" || state == "complete")
    }

    /// Sets how the log handles calls, such as `up` or `down`.
    pub fn set_log_mode(&self, mode: &str) {
        let url = format!("http://{}/v1/mode/{mode}", self.log.address);
        attohttpc::post(url).send().expect("the log answers");
    }

    /// Returns how often the targets started a task.
    pub fn started_tasks(&self) -> u64 {
        self.target_counters().iter().filter_map(|counters| counters["started"].as_u64()).sum()
    }

    /// Returns how many tasks were started more than once at the same target.
    pub fn repeated_tasks(&self) -> usize {
        self.target_counters()
            .iter()
            .filter_map(|counters| counters["repeated"].as_array())
            .map(Vec::len)
            .sum()
    }

    /// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
    #[track_caller]
    pub fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let started_at = Instant::now();
        while !condition(self) {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "condition not met within {WAIT_TIMEOUT:?}"
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until every entry is ready and lists the given numbers of entries and agents.
    pub fn wait_until_joined(&self, entries: usize, agents: usize) {
        self.wait_until(|site| {
            site.entries.iter().all(|entry| {
                get_json(entry.address, "/v1/status").is_some_and(|status| {
                    let count = |key: &str| status[key].as_array().map_or(0, Vec::len);
                    let is_ready = status["is_ready"].as_bool() == Some(true);
                    is_ready && count("entries") == entries && count("agents") == agents
                })
            })
        });
    }

    /// Returns the counters of every target. On a busy machine a target may answer late; its counters
    /// are requested again, since without them the sums would be too low.
    #[track_caller]
    fn target_counters(&self) -> Vec<Value> {
        let counters = self.targets.iter().map(|target| {
            let mut counters = None;
            let started_at = Instant::now();
            while counters.is_none() && started_at.elapsed() < WAIT_TIMEOUT {
                counters = get_json(target.address, "/starts");
            }
            counters.expect("the target answers")
        });
        counters.collect()
    }
}

/// Returns a submission whose tasks each take `run_ms` at a simulated target.
pub fn submission(submission_id: &str, tasks: usize, run_ms: u64, timeout_ms: u64) -> Value {
    let task = json!({ "kind": "photo", "payload": { "run_ms": run_ms } });
    json!({
        "submission_id": submission_id,
        "team": "marea",
        "service": "listing",
        "timeout_ms": timeout_ms,
        "tasks": vec![task; tasks],
    })
}

/// Asserts that an answer has all results of its own submission and no others, in task order.
pub fn assert_own_results(answer: &Answer, submission_id: &str, tasks: usize) {
    assert_eq!(answer.results.len(), tasks);
    for (index, result) in answer.results.iter().enumerate() {
        let result: Value = serde_json::from_str(result.get()).expect("a result is JSON");
        assert_eq!(result["submission_id"], submission_id);
        assert_eq!(result["index"], index);
    }
}

/// Runs a program to its end and returns its output.
pub fn run_program(name: &str, arguments: &[&str]) -> Output {
    Command::new(program_path(name)).args(arguments).output().expect("the program runs")
}

/// Gets a JSON body; returns `None` if there is no answer or it is not JSON.
pub fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    let request = attohttpc::get(format!("http://{address}{path}"));
    let response = request.timeout(Duration::from_secs(5)).send().ok()?;
    response.json().ok()
}

fn submit(address: SocketAddr, job: &Value) -> Answer {
    let request = attohttpc::post(format!("http://{address}/v1/submissions"));
    let request = request.json(job).expect("a submission has a JSON form");
    let response = request.timeout(Duration::from_secs(60)).send().expect("the entry answers");
    response.json().expect("the answer is JSON")
}

/// Starts `bulrush-lab log` or `bulrush-lab target` and reads the address that it prints.
fn start_lab_server(command: &str) -> Program {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut program = Program::spawn("bulrush-lab", &[command.to_owned()], address);
    let output = program.child.stdout.take().expect("the output is piped");
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).expect("the server prints its address");
    let address = line.trim().rsplit(' ').next().expect("the line has an address");
    program.address = address.parse().expect("the line ends with an address");
    program
}

fn flatten(pairs: &[(&str, String)]) -> Vec<String> {
    pairs.iter().flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()]).collect()
}

fn program_path(name: &str) -> &'static str {
    match name {
        "bulrush-entry" => env!("CARGO_BIN_EXE_bulrush-entry"),
        "bulrush-agent" => env!("CARGO_BIN_EXE_bulrush-agent"),
        "bulrushctl" => env!("CARGO_BIN_EXE_bulrushctl"),
        _ => env!("CARGO_BIN_EXE_bulrush-lab"),
    }
}
