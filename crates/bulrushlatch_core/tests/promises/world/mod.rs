//! Simulation of entries, agents, targets and a log on a virtual clock.
//!
//! - [`lifecycle`]: start, end, suspension and graceful shutdown of processes
//! - [`log`]: the log and checks of the settings that are read from it
//! - [`targets`]: tasks at targets

mod lifecycle;
mod log;
mod targets;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bulrushlatch_core::{
    clock::{Clock, VirtualClock},
    connection::placement::MostFree,
    effect::Effect,
    limits::Limits,
    message::{AgentDescription, Envelope, Message, StartTask, TaskDone, TaskError, Ticket},
    process::{agent::Agent, entry::Entry, membership::EntryIdentity},
};
use bulrushlatch_log::{
    memory_log::{LogMode, MemoryLog},
    platform_log::{PlatformLog, StreamName},
};
use bulrushlatch_protocol::{
    answer::Reason,
    change::Change,
    ids::{Incarnation, Offset},
    submission::{Submission, Task},
    verdict::Verdict,
};
use serde_json::value::RawValue;

use super::{
    defect::{Defect, Interception},
    network::{Delivery, Network},
    oracle::{
        MAX_LEAVE_DELAY, MAX_SETTINGS_DELAY, Oracle, SubmitCall, SubmitCallIndex, result_text,
    },
};

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(2);
/// Interval between ticks of a process.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between reads of the log by an entry.
const LOG_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks of the settings of all entries.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after draining for which a process still answers its peers before it exits.
const EXIT_DELAY: Duration = Duration::from_millis(1500);
/// Age up to which [`World::drop_old_log_records`] keeps records.
const LOG_RETENTION: Duration = Duration::from_secs(8);
/// Time in which the cluster forms; [`Defect::NoSettings`] takes effect only after it.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Number of slots of each target.
const SLOTS: u32 = 4;

/// An entry as the programs run it, with a virtual clock.
type VirtualEntry = Entry<Arc<VirtualClock>, MostFree>;

/// How a target handles tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetMode {
    #[default]
    Normal,
    FailsAll,
    Straggles,
    LosesReplies,
    Refuses,
}

/// An address at which entries run, one after the other.
pub struct EntryHost {
    pub address: SocketAddr,
    pub process: Option<VirtualEntry>,
    /// Number of starts, which tells the successive processes of the host apart.
    start_count: u64,
    suspended_since: Option<Duration>,
    /// Envelopes that arrived while the entry was suspended.
    held_envelopes: Vec<Envelope>,
    /// Calls that arrived while the entry was suspended.
    held_calls: Vec<Call>,
    pub is_leaving: bool,
    work_finished_since: Option<Duration>,
    /// Time of the latest start or resumption, since which the entry has been able to read the log.
    running_since: Duration,
    /// Next offset in the settings stream at the latest check.
    settings_offset: Offset,
}

/// An address and name with which agents run, one after the other.
pub struct AgentHost {
    pub address: SocketAddr,
    pub name: String,
    pub process: Option<Agent>,
    /// Number of starts, which tells the successive processes of the host apart.
    start_count: u64,
    incarnation: Incarnation,
    suspended_since: Option<Duration>,
    /// Envelopes that arrived while the agent was suspended.
    held_envelopes: Vec<Envelope>,
    /// Completions that came while the agent was suspended.
    held_completions: Vec<TaskCompletion>,
    leaving_since: Option<Duration>,
    idle_since: Option<Duration>,
    pub target_mode: TargetMode,
    /// Time at which the change that drains the target was appended to the log.
    pub drain_accepted_at: Option<Duration>,
}

/// A call of a client.
#[derive(Clone, Debug)]
enum Call {
    Submit(Ticket, Submission),
    Cancel(Ticket, String),
}

/// The completion of a task at a target.
#[derive(Clone, Debug)]
struct TaskCompletion {
    host: usize,
    start_count: u64,
    task: StartTask,
    outcome: Result<TaskDone, TaskError>,
}

/// State of the simulation.
pub struct World {
    pub now: Duration,
    pub random: fastrand::Rng,
    pub network: Network,
    pub oracle: Oracle,
    pub entries: Vec<EntryHost>,
    pub agents: Vec<AgentHost>,
    clock: Arc<VirtualClock>,
    log: MemoryLog,
    log_up_since: Option<Duration>,
    /// Length of the settings stream after each append.
    settings_stream_lengths: Vec<(Duration, Offset)>,
    /// Times of the appends to each stream.
    append_times: BTreeMap<StreamName, Vec<Duration>>,
    pub is_log_slow: bool,
    /// Stream and body of appends by the time at which they take effect and sequence number.
    pending_appends: BTreeMap<(Duration, u64), (StreamName, String)>,
    /// Completions by time and sequence number.
    pending_completions: BTreeMap<(Duration, u64), TaskCompletion>,
    last_sequence_number: u64,
    /// Calls that submit tasks, by host and start count of the entry, and ticket.
    submit_calls_by_ticket: BTreeMap<(usize, u64, Ticket), SubmitCallIndex>,
    defect: Option<Defect>,
    /// Id of the submission whose messages and effects are printed.
    traced_submission: Option<String>,
}

impl World {
    /// Creates a simulation and starts its processes.
    pub fn new(seed: u64, entry_count: usize, agent_count: usize, defect: Option<Defect>) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            random: fastrand::Rng::with_seed(seed),
            network: Network::default(),
            oracle: Oracle::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            clock: Arc::new(VirtualClock::new()),
            log: MemoryLog::default(),
            log_up_since: Some(Duration::ZERO),
            settings_stream_lengths: Vec::new(),
            append_times: BTreeMap::new(),
            is_log_slow: false,
            pending_appends: BTreeMap::new(),
            pending_completions: BTreeMap::new(),
            last_sequence_number: 0,
            submit_calls_by_ticket: BTreeMap::new(),
            defect,
            traced_submission: std::env::var("PROMISES_TRACE").ok(),
        };
        for index in 0..entry_count {
            world.entries.push(EntryHost::new(index));
        }
        for index in 0..agent_count {
            world.agents.push(AgentHost::new(index));
        }
        for index in 0..entry_count {
            world.start_entry(index);
        }
        for index in 0..agent_count {
            world.start_agent(index);
        }
        world
    }

    /// Advances the virtual clock by [`STEP`] and does what is due.
    pub fn step(&mut self) {
        self.now += STEP;
        self.clock.set_elapsed(self.now);
        self.apply_due_appends();
        while let Some(delivery) = self.network.next_arrived(self.now) {
            self.deliver(delivery);
        }
        self.complete_due_tasks();
        if self.is_due(TICK_INTERVAL) {
            self.tick_all();
        }
        if self.is_due(LOG_READ_INTERVAL) {
            self.read_log();
        }
        if self.is_due(SETTINGS_CHECK_INTERVAL) {
            self.check_settings();
        }
    }

    /// Submits at an entry, unless the entry has ended or is leaving.
    pub fn submit(&mut self, index: usize, submission_id: &str, run_ms: &[u64], timeout: Duration) {
        if self.entries[index].process.is_none() || self.entries[index].is_leaving {
            return;
        }
        let tasks = run_ms.iter().map(|run_ms| Task {
            kind: "photo".into(),
            payload: RawValue::from_string(run_ms.to_string()).expect("a number").into(),
            slots: 1,
            expected_ms: None,
        });
        let submission = Submission {
            submission_id: submission_id.into(),
            team: "marea".into(),
            service: "listing".into(),
            timeout_ms: timeout.as_millis() as u64,
            repeatable: false,
            tasks: tasks.collect(),
        };
        let ticket = self.record_submit_call(index, submission_id, run_ms.len() as u32, timeout);
        self.call_entry(index, Call::Submit(ticket, submission));
    }

    /// Cancels a submission at an entry, unless the entry has ended.
    pub fn cancel(&mut self, index: usize, submission_id: &str) {
        if self.entries[index].process.is_none() {
            return;
        }
        let ticket = self.next_sequence_number();
        self.call_entry(index, Call::Cancel(ticket, submission_id.to_owned()));
    }

    /// Returns the version of a setting at an entry, or 0 if the entry has ended.
    pub fn version_at(
        &self,
        index: usize,
        path: &str,
        key: bulrushlatch_protocol::change::SettingKey,
    ) -> u64 {
        let entry = self.entries[index].process.as_ref();
        entry.map_or(0, |entry| entry.settings().version(path, key))
    }

    /// Checks that leaving entries have exited, and runs the final checks of the oracle.
    pub fn check_end(&mut self, served_floor_percent: usize) {
        for (index, host) in self.entries.iter().enumerate() {
            if host.is_leaving && host.process.is_some() {
                self.oracle.violations.push(format!("leaving entry {index} has not exited"));
            }
        }
        self.oracle.check_end(self.now, served_floor_percent);
    }

    /// Returns the wall-clock time of all processes in milliseconds.
    pub fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }

    fn is_due(&self, interval: Duration) -> bool {
        (self.now.as_nanos() / STEP.as_nanos())
            .is_multiple_of(interval.as_nanos() / STEP.as_nanos())
    }

    fn next_sequence_number(&mut self) -> u64 {
        self.last_sequence_number += 1;
        self.last_sequence_number
    }

    /// Adds a call that submits tasks to the oracle and returns its ticket.
    fn record_submit_call(
        &mut self,
        index: usize,
        submission_id: &str,
        tasks: u32,
        timeout: Duration,
    ) -> Ticket {
        let ticket = self.next_sequence_number();
        let key = (index, self.entries[index].start_count, ticket);
        self.submit_calls_by_ticket.insert(key, self.oracle.submit_calls.len());
        self.oracle.submit_calls.push(SubmitCall {
            submission_id: submission_id.to_owned(),
            tasks,
            at: self.now,
            deadline: self.now + timeout,
            answer: None,
            is_lost: false,
            suspended_time: Duration::ZERO,
        });
        ticket
    }

    fn call_entry(&mut self, index: usize, call: Call) {
        let host = &mut self.entries[index];
        if host.suspended_since.is_some() {
            host.held_calls.push(call);
            return;
        }
        let mut effects = Vec::new();
        let Some(entry) = &host.process else { return };
        match call {
            Call::Submit(ticket, submission) => entry.submit(ticket, submission, &mut effects),
            Call::Cancel(ticket, id) => entry.cancel(ticket, id.as_str().into(), &mut effects),
        }
        self.execute_for_entry(index, effects);
    }

    /// Prints a value that contains the id of the traced submission.
    fn trace(&self, value: &dyn std::fmt::Debug) {
        let Some(id) = &self.traced_submission else { return };
        let text = format!("{value:?}");
        if text.contains(&format!("{id}\"")) {
            println!("{:?} {text}", self.now);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        self.trace(&delivery);
        let Delivery { to, mut envelope } = delivery;
        if let Some(defect) = self.defect {
            envelope = self.apply_defect(defect, to, envelope);
        }
        if let Some(index) = self.entries.iter().position(|host| host.address == to) {
            let host = &mut self.entries[index];
            let Some(entry) = &host.process else { return };
            if host.suspended_since.is_some() {
                host.held_envelopes.push(envelope);
                return;
            }
            let mut effects = Vec::new();
            entry.receive(envelope, &mut effects);
            self.execute_for_entry(index, effects);
        } else if let Some(index) = self.agents.iter().position(|host| host.address == to) {
            let now = self.clock.now();
            let host = &mut self.agents[index];
            let Some(agent) = &mut host.process else { return };
            if host.suspended_since.is_some() {
                host.held_envelopes.push(envelope);
                return;
            }
            let mut effects = Vec::new();
            agent.receive(now, envelope, &mut effects);
            self.execute_for_agent(index, effects);
        }
    }

    fn apply_defect(&mut self, defect: Defect, to: SocketAddr, mut envelope: Envelope) -> Envelope {
        let mut delivered = Vec::new();
        for message in std::mem::take(&mut envelope.messages) {
            match defect.intercept(message) {
                Interception::Deliver(message) => delivered.push(message),
                Interception::Reply(reply) => {
                    let reply = Envelope {
                        from: envelope.to,
                        from_address: to,
                        to: envelope.from,
                        messages: vec![reply],
                    };
                    let delivery = Delivery { to: envelope.from_address, envelope: reply };
                    self.network.send(self.now, &mut self.random, &delivery);
                }
            }
        }
        envelope.messages = delivered;
        envelope
    }

    fn execute_for_entry(&mut self, index: usize, effects: Vec<Effect>) {
        let host = &self.entries[index];
        let Some(entry) = &host.process else { return };
        let (from, from_address) = (entry.incarnation(), host.address);
        let start_count = host.start_count;
        for effect in effects {
            if !matches!(effect, Effect::Send { .. }) {
                self.trace(&(from_address, &effect));
            }
            match effect {
                Effect::Send { to, message } => {
                    self.send(from, from_address, to.address, to.incarnation, *message);
                }
                Effect::Answer { ticket, answer } => {
                    let key = (index, start_count, ticket);
                    if let Some(&call) = self.submit_calls_by_ticket.get(&key) {
                        self.oracle.record_answer(call, self.now, &answer);
                    }
                }
                Effect::Append { stream, body } => self.append_later(stream, body),
                Effect::Run(_) => {}
            }
        }
    }

    fn execute_for_agent(&mut self, index: usize, effects: Vec<Effect>) {
        let host = &self.agents[index];
        let Some(agent) = &host.process else { return };
        let (from, from_address) = (agent.incarnation(), host.address);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    self.send(from, from_address, to.address, to.incarnation, *message);
                }
                Effect::Run(task) => self.run_task(index, *task),
                _ => {}
            }
        }
    }

    fn send(
        &mut self,
        from: Incarnation,
        from_address: SocketAddr,
        to_address: SocketAddr,
        to: Incarnation,
        message: Message,
    ) {
        let envelope = Envelope { from, from_address, to, messages: vec![message] };
        let delivery = Delivery { to: to_address, envelope };
        self.network.send(self.now, &mut self.random, &delivery);
    }

    fn tick_all(&mut self) {
        for index in 0..self.entries.len() {
            let host = &self.entries[index];
            let Some(entry) = &host.process else { continue };
            if host.suspended_since.is_some() {
                continue;
            }
            let mut effects = Vec::new();
            entry.tick(&mut effects);
            self.execute_for_entry(index, effects);
            self.exit_if_drained(index);
        }
        let now = self.clock.now();
        for index in 0..self.agents.len() {
            let host = &mut self.agents[index];
            let Some(agent) = &mut host.process else { continue };
            if host.suspended_since.is_some() {
                continue;
            }
            let mut effects = Vec::new();
            agent.tick(now, &mut effects);
            let is_idle = host.leaving_since.is_some() && agent.is_idle();
            host.idle_since = is_idle.then(|| host.idle_since.unwrap_or(self.now));
            let may_exit = host.idle_since.is_some_and(|since| self.now >= since + EXIT_DELAY);
            self.execute_for_agent(index, effects);
            if may_exit {
                self.kill_agent(index);
            }
        }
    }
}

impl super::oracle::ReferenceSettings {
    /// Returns whether the tree has exactly the settings of the model that have a value.
    fn matches(&self, tree: &bulrushlatch_core::version::settings::SettingsTree) -> bool {
        let actual = tree.settings_below("").map(|(path, key, setting)| {
            ((path.to_owned(), key), (setting.value.clone(), setting.version))
        });
        let actual: BTreeMap<_, _> = actual.collect();
        let expected = self.values.iter().filter(|(_, (value, _))| value.is_some());
        let expected: BTreeMap<_, _> =
            expected.map(|(key, value)| (key.clone(), value.clone())).collect();
        actual == expected
    }
}

impl EntryHost {
    fn new(index: usize) -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16)),
            process: None,
            start_count: 0,
            suspended_since: None,
            held_envelopes: Vec::new(),
            held_calls: Vec::new(),
            is_leaving: false,
            work_finished_since: None,
            running_since: Duration::ZERO,
            settings_offset: 0,
        }
    }
}

impl AgentHost {
    fn new(index: usize) -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 2000 + index as u16)),
            name: format!("agent-{index}"),
            process: None,
            start_count: 0,
            incarnation: 0,
            suspended_since: None,
            held_envelopes: Vec::new(),
            held_completions: Vec::new(),
            leaving_since: None,
            idle_since: None,
            target_mode: TargetMode::Normal,
            drain_accepted_at: None,
        }
    }
}

fn task_error(ran: Verdict, reason: Reason) -> TaskError {
    TaskError { ran, reason, message: "a fault of the harness".to_owned() }
}

/// Returns the pairs of `address` with each other address, in both directions.
pub fn links_of(
    address: SocketAddr,
    addresses: &[SocketAddr],
) -> BTreeSet<(SocketAddr, SocketAddr)> {
    let peers = addresses.iter().copied().filter(|peer| *peer != address);
    peers.flat_map(|peer| [(address, peer), (peer, address)]).collect()
}
