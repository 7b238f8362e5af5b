//! Entries, agents, targets and a log in virtual time.
//!
//! - `lifecycle`: starting, ending, freezing and draining processes
//! - `log`: the log, and what is in force of it
//! - `targets`: tasks at targets

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
    defect::{Passage, Sabotage},
    network::{Delivery, Network},
    oracle::{Attempt, AttemptIndex, IN_FORCE_WITHIN, LEAVING_WITHIN, Oracle, result_text},
};

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(2);
/// Time between ticks of a process.
const TICK: Duration = Duration::from_millis(20);
/// Time between reads of the log.
const LOG_READ: Duration = Duration::from_millis(100);
/// Time between looks at settings.
const SETTINGS_LOOK: Duration = Duration::from_millis(500);
/// Time for which a drained process still answers others.
const LINGER: Duration = Duration::from_millis(1500);
/// Time that the log keeps records when they lapse.
const RETENTION: Duration = Duration::from_secs(8);
/// Time in which a new world gets ready.
const FORMED: Duration = Duration::from_secs(2);
/// Slots of each target.
const SLOTS: u32 = 4;

/// An entry as the programs run it, with a virtual clock.
type VirtualEntry = Entry<Arc<VirtualClock>, MostFree>;

/// What a target does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetMode {
    #[default]
    Normal,
    FailsAll,
    Straggles,
    LosesReplies,
    Refuses,
}

/// A place where entries live, one after the other.
pub struct EntrySlot {
    pub address: SocketAddr,
    pub process: Option<VirtualEntry>,
    life: u64,
    frozen_since: Option<Duration>,
    held: Vec<Envelope>,
    held_calls: Vec<Call>,
    pub leaving: bool,
    drained_since: Option<Duration>,
    /// Since when it could have followed the log.
    followed_since: Duration,
    settings_offset: Offset,
}

/// A place where agents live, one after the other.
pub struct AgentSlot {
    pub address: SocketAddr,
    pub name: String,
    pub process: Option<Agent>,
    life: u64,
    first_incarnation: Incarnation,
    frozen_since: Option<Duration>,
    held: Vec<Envelope>,
    held_ends: Vec<TaskEnd>,
    leaving_since: Option<Duration>,
    idle_since: Option<Duration>,
    pub target: TargetMode,
    /// When its drain was accepted.
    pub drained_at: Option<Duration>,
}

/// A call of a client.
#[derive(Clone, Debug)]
enum Call {
    Submit(Ticket, Submission),
    Cancel(Ticket, String),
}

/// The end of a task at a target.
#[derive(Clone, Debug)]
struct TaskEnd {
    slot: usize,
    life: u64,
    task: StartTask,
    outcome: Result<TaskDone, TaskError>,
}

/// Everything, in virtual time.
pub struct World {
    pub now: Duration,
    pub random: fastrand::Rng,
    pub network: Network,
    pub oracle: Oracle,
    pub entries: Vec<EntrySlot>,
    pub agents: Vec<AgentSlot>,
    clock: Arc<VirtualClock>,
    log: MemoryLog,
    log_up_since: Option<Duration>,
    /// Length of the settings stream over time.
    settings_lengths: Vec<(Duration, Offset)>,
    appended: BTreeMap<StreamName, Vec<Duration>>,
    pub slow_log: bool,
    appends: BTreeMap<(Duration, u64), (StreamName, String)>,
    ends: BTreeMap<(Duration, u64), TaskEnd>,
    next_number: u64,
    tickets: BTreeMap<(usize, u64, Ticket), AttemptIndex>,
    sabotage: Option<Sabotage>,
    /// Submission of which all messages are printed.
    traced: Option<String>,
}

impl World {
    /// Returns a world whose processes have just been started.
    pub fn new(
        seed: u64,
        entry_count: usize,
        agent_count: usize,
        sabotage: Option<Sabotage>,
    ) -> Self {
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
            settings_lengths: Vec::new(),
            appended: BTreeMap::new(),
            slow_log: false,
            appends: BTreeMap::new(),
            ends: BTreeMap::new(),
            next_number: 0,
            tickets: BTreeMap::new(),
            sabotage,
            traced: std::env::var("PROMISES_TRACE").ok(),
        };
        for index in 0..entry_count {
            world.entries.push(EntrySlot::new(index));
        }
        for index in 0..agent_count {
            world.agents.push(AgentSlot::new(index));
        }
        for index in 0..entry_count {
            world.start_entry(index);
        }
        for index in 0..agent_count {
            world.start_agent(index);
        }
        world
    }

    /// Moves time on.
    pub fn step(&mut self) {
        self.now += STEP;
        self.clock.set_elapsed(self.now);
        self.apply_appends();
        while let Some(delivery) = self.network.next_arrived(self.now) {
            self.deliver(delivery);
        }
        self.end_tasks();
        if self.is_due(TICK) {
            self.tick_all();
        }
        if self.is_due(LOG_READ) {
            self.read_log();
        }
        if self.is_due(SETTINGS_LOOK) {
            self.look_at_settings();
        }
    }

    /// Submits at an entry; nothing happens if no process is there.
    pub fn submit(&mut self, index: usize, submission_id: &str, run_ms: &[u64], timeout: Duration) {
        if self.entries[index].process.is_none() || self.entries[index].leaving {
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
        let ticket = self.open_attempt(index, submission_id, run_ms.len() as u32, timeout);
        self.call_entry(index, Call::Submit(ticket, submission));
    }

    /// Cancels a submission at an entry.
    pub fn cancel(&mut self, index: usize, submission_id: &str) {
        if self.entries[index].process.is_none() {
            return;
        }
        let ticket = self.number();
        self.call_entry(index, Call::Cancel(ticket, submission_id.to_owned()));
    }

    /// Returns the version of a setting as an entry sees it.
    pub fn version_at(
        &self,
        index: usize,
        path: &str,
        key: bulrushlatch_protocol::change::SettingKey,
    ) -> u64 {
        let entry = self.entries[index].process.as_ref();
        entry.map_or(0, |entry| entry.settings().version(path, key))
    }

    /// Checks that every process has ended what it had to.
    pub fn check_end(&mut self, served_floor_percent: usize) {
        for slot in &self.entries {
            if slot.leaving && slot.process.is_some() {
                self.oracle.violations.push("a leaving entry never drained".to_owned());
            }
        }
        self.oracle.check_end(self.now, served_floor_percent);
    }

    /// Returns the wall time of all processes.
    pub fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }

    fn is_due(&self, interval: Duration) -> bool {
        (self.now.as_nanos() / STEP.as_nanos())
            .is_multiple_of(interval.as_nanos() / STEP.as_nanos())
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn open_attempt(
        &mut self,
        index: usize,
        submission_id: &str,
        tasks: u32,
        timeout: Duration,
    ) -> Ticket {
        let ticket = self.number();
        let key = (index, self.entries[index].life, ticket);
        self.tickets.insert(key, self.oracle.attempts.len());
        self.oracle.attempts.push(Attempt {
            submission_id: submission_id.to_owned(),
            tasks,
            at: self.now,
            deadline: self.now + timeout,
            answer: None,
            is_lost: false,
            frozen: Duration::ZERO,
        });
        ticket
    }

    fn call_entry(&mut self, index: usize, call: Call) {
        let slot = &mut self.entries[index];
        if slot.frozen_since.is_some() {
            slot.held_calls.push(call);
            return;
        }
        let mut effects = Vec::new();
        let Some(entry) = &slot.process else { return };
        match call {
            Call::Submit(ticket, submission) => entry.submit(ticket, submission, &mut effects),
            Call::Cancel(ticket, id) => entry.cancel(ticket, id.as_str().into(), &mut effects),
        }
        self.execute_for_entry(index, effects);
    }

    fn trace(&self, what: &dyn std::fmt::Debug) {
        let Some(id) = &self.traced else { return };
        let text = format!("{what:?}");
        if text.contains(&format!("{id}\"")) {
            println!("{:?} {text}", self.now);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        self.trace(&delivery);
        let Delivery { to, mut envelope } = delivery;
        if let Some(sabotage) = self.sabotage {
            envelope = self.tamper(sabotage, to, envelope);
        }
        if let Some(index) = self.entries.iter().position(|slot| slot.address == to) {
            let slot = &mut self.entries[index];
            let Some(entry) = &slot.process else { return };
            if slot.frozen_since.is_some() {
                slot.held.push(envelope);
                return;
            }
            let mut effects = Vec::new();
            entry.receive(envelope, &mut effects);
            self.execute_for_entry(index, effects);
        } else if let Some(index) = self.agents.iter().position(|slot| slot.address == to) {
            let now = self.clock.now();
            let slot = &mut self.agents[index];
            let Some(agent) = &mut slot.process else { return };
            if slot.frozen_since.is_some() {
                slot.held.push(envelope);
                return;
            }
            let mut effects = Vec::new();
            agent.receive(now, envelope, &mut effects);
            self.execute_for_agent(index, effects);
        }
    }

    fn tamper(&mut self, sabotage: Sabotage, to: SocketAddr, mut envelope: Envelope) -> Envelope {
        let mut kept = Vec::new();
        for message in std::mem::take(&mut envelope.messages) {
            match sabotage.pass(message) {
                Passage::Deliver(message) => kept.push(message),
                Passage::AnswerInstead(answer) => {
                    let answer = Envelope {
                        from: envelope.to,
                        from_address: to,
                        to: envelope.from,
                        messages: vec![answer],
                    };
                    let delivery = Delivery { to: envelope.from_address, envelope: answer };
                    self.network.send(self.now, &mut self.random, &delivery);
                }
            }
        }
        envelope.messages = kept;
        envelope
    }

    fn execute_for_entry(&mut self, index: usize, effects: Vec<Effect>) {
        let slot = &self.entries[index];
        let Some(entry) = &slot.process else { return };
        let (from, from_address, life) = (entry.incarnation(), slot.address, slot.life);
        for effect in effects {
            if !matches!(effect, Effect::Send { .. }) {
                self.trace(&(from_address, &effect));
            }
            match effect {
                Effect::Send { to, message } => {
                    self.send(from, from_address, to.address, to.incarnation, *message);
                }
                Effect::Answer { ticket, answer } => {
                    if let Some(&attempt) = self.tickets.get(&(index, life, ticket)) {
                        self.oracle.note_answer(attempt, self.now, &answer);
                    }
                }
                Effect::Append { stream, body } => self.append_later(stream, body),
                Effect::Run(_) => {}
            }
        }
    }

    fn execute_for_agent(&mut self, index: usize, effects: Vec<Effect>) {
        let slot = &self.agents[index];
        let Some(agent) = &slot.process else { return };
        let (from, from_address) = (agent.incarnation(), slot.address);
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
            let slot = &self.entries[index];
            let Some(entry) = &slot.process else { continue };
            if slot.frozen_since.is_some() {
                continue;
            }
            let mut effects = Vec::new();
            entry.tick(&mut effects);
            self.execute_for_entry(index, effects);
            self.exit_if_drained(index);
        }
        let now = self.clock.now();
        for index in 0..self.agents.len() {
            let slot = &mut self.agents[index];
            let Some(agent) = &mut slot.process else { continue };
            if slot.frozen_since.is_some() {
                continue;
            }
            let mut effects = Vec::new();
            agent.tick(now, &mut effects);
            let is_idle = slot.leaving_since.is_some() && agent.is_idle();
            slot.idle_since = is_idle.then(|| slot.idle_since.unwrap_or(self.now));
            let is_over = slot.idle_since.is_some_and(|since| self.now >= since + LINGER);
            self.execute_for_agent(index, effects);
            if is_over {
                self.kill_agent(index);
            }
        }
    }
}

impl super::oracle::PlainSettings {
    fn is_same(&self, tree: &bulrushlatch_core::version::settings::SettingsTree) -> bool {
        let shown = tree.settings_below("").map(|(path, key, setting)| {
            ((path.to_owned(), key), (setting.value.clone(), setting.version))
        });
        let shown: BTreeMap<_, _> = shown.collect();
        let plain = self.values.iter().filter(|(_, (value, _))| value.is_some());
        let plain: BTreeMap<_, _> =
            plain.map(|(key, value)| (key.clone(), value.clone())).collect();
        shown == plain
    }
}

impl EntrySlot {
    fn new(index: usize) -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16)),
            process: None,
            life: 0,
            frozen_since: None,
            held: Vec::new(),
            held_calls: Vec::new(),
            leaving: false,
            drained_since: None,
            followed_since: Duration::ZERO,
            settings_offset: 0,
        }
    }
}

impl AgentSlot {
    fn new(index: usize) -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 2000 + index as u16)),
            name: format!("agent-{index}"),
            process: None,
            life: 0,
            first_incarnation: 0,
            frozen_since: None,
            held: Vec::new(),
            held_ends: Vec::new(),
            leaving_since: None,
            idle_since: None,
            target: TargetMode::Normal,
            drained_at: None,
        }
    }
}

fn error(ran: Verdict, reason: Reason) -> TaskError {
    TaskError { ran, reason, message: "a fault of the harness".to_owned() }
}

/// Every ordered pair of different addresses.
pub fn pairs_with(
    address: SocketAddr,
    others: &[SocketAddr],
) -> BTreeSet<(SocketAddr, SocketAddr)> {
    let others = others.iter().copied().filter(|other| *other != address);
    others.flat_map(|other| [(address, other), (other, address)]).collect()
}
