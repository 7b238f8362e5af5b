//! A discrete-event simulation of entries, agents and links. Entries can be killed; links have no
//! faults.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushlatch_core::{
    clock::{Clock, VirtualClock},
    connection::placement::PlacementRule,
    effect::Effect,
    limits::Limits,
    message::{AgentDescription, Envelope, Message, StartTask, TaskDone, TaskError, Ticket},
    process::{agent::Agent, entry::Entry, membership::EntryIdentity},
    version::{settings::SettingsTree, stream::record_body},
};
use bulrushlatch_log::{
    memory_log::MemoryLog,
    platform_log::{PlatformLog, StreamName},
};
use bulrushlatch_protocol::{
    answer::{Answer, Reason},
    change::{Change, SettingKey},
    ids::SubmissionId,
    submission::Submission,
    verdict::Verdict,
};
use serde_json::value::RawValue;

use crate::target::LabPayload;

/// Time between ticks of an entry, the same as in `bulrush-entry`.
const ENTRY_TICK: Duration = Duration::from_millis(5);
/// Time between ticks of an agent, the same as in `bulrush-agent`.
const AGENT_TICK: Duration = Duration::from_millis(20);
/// Time between reads of the log.
const LOG_READ_INTERVAL: Duration = Duration::from_millis(100);
/// One-way latency within an availability zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(200);
/// One-way latency between a client and its entry.
const CLIENT_DELAY: Duration = Duration::from_millis(1);
/// Factor by which run times grow at a slow target.
const SLOW_FACTOR: u64 = 5;

/// Size and latencies of a simulated site.
#[derive(Clone, Copy, Debug)]
pub struct VirtualSiteConfig {
    /// Number of availability zones.
    pub zones: usize,
    /// One-way latency between availability zones.
    pub zone_delay: Duration,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with its own target.
    pub agents: usize,
    /// Slots of each target.
    pub slots: u32,
}

/// Behaviour of the first target.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum FirstTarget {
    /// The target behaves like the others.
    #[default]
    Normal,
    /// Every task takes five times as long.
    Slow,
    /// Every task fails immediately.
    FailsAll,
}

/// Numbers of sent messages by purpose.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageCount {
    /// All messages except control messages: for submissions, tasks and quotas.
    pub work: u64,
    /// Heartbeats and messages by which processes agree on shared state.
    pub control: u64,
}

/// An answer that a client got.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// Ticket of the client's call.
    pub ticket: Ticket,
    /// Virtual time at which the client receives the answer.
    pub at: Duration,
    /// Content of the answer.
    pub answer: Answer,
}

/// An event of the simulation; a `usize` is the index of an entry or agent.
enum Event {
    Deliver(SocketAddr, Envelope),
    FinishTask(usize, Box<StartTask>, Result<TaskDone, TaskError>),
    Submit(usize, Ticket, Box<Submission>),
    Cancel(usize, Ticket, SubmissionId),
    TickEntries,
    TickAgents,
    ReadLog,
}

/// A simulated site that advances in virtual time.
pub struct VirtualSite<P> {
    config: VirtualSiteConfig,
    clock: Arc<VirtualClock>,
    now: Duration,
    /// Entries; `None` in place of a killed one.
    entries: Vec<Option<Entry<Arc<VirtualClock>, P>>>,
    agents: Vec<Agent>,
    log: MemoryLog,
    first_target: FirstTarget,
    /// Pending events by due time, then in the order in which they were scheduled.
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    /// Messages sent so far.
    pub messages: MessageCount,
    /// Tasks started so far.
    pub started_tasks: u64,
    /// Real time spent in the decisions of entries.
    pub entry_time: Duration,
    /// Real time spent in the decisions of agents.
    pub agent_time: Duration,
    /// Answers that entries have given to clients so far.
    pub answers: Vec<ClientAnswer>,
}

impl<P: PlacementRule> VirtualSite<P> {
    /// Returns a site that has just been started; `make_rule` returns the placement rule of the
    /// entry with the given index.
    pub fn new(
        config: VirtualSiteConfig,
        team: &str,
        service: &str,
        first_target: FirstTarget,
        make_rule: impl Fn(u64) -> P,
    ) -> Self {
        let clock = Arc::new(VirtualClock::new());
        let addresses: Vec<SocketAddr> = (0..config.entries).map(entry_address).collect();
        let entries = (0..config.entries).map(|index| {
            let identity = EntryIdentity {
                incarnation: index as u64 + 1,
                name: format!("entry-{index}").into(),
                address: entry_address(index),
                zone: zone_name(index % config.zones).into(),
            };
            let limits = Arc::new(Limits::default());
            let rules = vec![make_rule(index as u64)];
            let entry = Entry::new(Arc::clone(&clock), identity, limits, addresses.clone(), rules);
            Some(entry)
        });
        let agents = (0..config.agents).map(|index| {
            let description = AgentDescription {
                name: format!("agent-{index}").into(),
                address: agent_address(index),
                zone: zone_name(index % config.zones).into(),
                service: service.into(),
                slots: config.slots,
                previous_incarnations: Vec::new(),
            };
            let limits = Arc::new(Limits::default());
            Agent::new(1000 + index as u64, description, limits, addresses.clone(), clock.now())
        });
        let mut site = Self {
            config,
            now: Duration::ZERO,
            entries: entries.collect(),
            agents: agents.collect(),
            clock,
            log: MemoryLog::default(),
            first_target,
            events: BTreeMap::new(),
            next_event: 0,
            messages: MessageCount::default(),
            started_tasks: 0,
            entry_time: Duration::ZERO,
            agent_time: Duration::ZERO,
            answers: Vec::new(),
        };
        site.publish_team(team);
        site.schedule(Duration::ZERO, Event::TickEntries);
        site.schedule(Duration::ZERO, Event::TickAgents);
        site.schedule(Duration::ZERO, Event::ReadLog);
        site
    }

    /// Schedules a submission that a client sends to an entry at `at`.
    pub fn submit_at(
        &mut self,
        at: Duration,
        entry: usize,
        ticket: Ticket,
        submission: Submission,
    ) {
        let entry = entry % self.entries.len();
        self.schedule(at + CLIENT_DELAY, Event::Submit(entry, ticket, Box::new(submission)));
    }

    /// Schedules a cancellation that a client sends to an entry at `at`. Its ticket must differ
    /// from that of the submission.
    pub fn cancel_at(&mut self, at: Duration, entry: usize, ticket: Ticket, id: SubmissionId) {
        let entry = entry % self.entries.len();
        self.schedule(at + CLIENT_DELAY, Event::Cancel(entry, ticket, id));
    }

    /// Kills an entry; its open calls and later calls to it are never answered.
    pub fn kill_entry(&mut self, entry: usize) {
        self.entries[entry] = None;
    }

    /// Handles all events that are due up to `until`.
    pub fn run_until(&mut self, until: Duration) {
        while let Some((&key, _)) = self.events.first_key_value() {
            if key.0 > until {
                break;
            }
            let Some(event) = self.events.remove(&key) else { break };
            self.now = key.0;
            self.clock.set_elapsed(self.now);
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(to, envelope) => self.deliver(to, envelope),
            Event::FinishTask(agent, task, outcome) => {
                let now = self.clock.now();
                let mut effects = Vec::new();
                let placement = &task.placement;
                let (id, index) = (&placement.submission_id, placement.index);
                let started_at = Instant::now();
                self.agents[agent].finish_task(now, id, index, outcome, &mut effects);
                self.agent_time += started_at.elapsed();
                self.execute_for_agent(agent, effects);
            }
            Event::Submit(entry, ticket, submission) => {
                self.with_entry(entry, |entry, effects| entry.submit(ticket, *submission, effects));
            }
            Event::Cancel(entry, ticket, id) => {
                self.with_entry(entry, |entry, effects| entry.cancel(ticket, id, effects));
            }
            Event::TickEntries => {
                for index in 0..self.entries.len() {
                    self.with_entry(index, |entry, effects| entry.tick(effects));
                }
                self.schedule(self.now + ENTRY_TICK, Event::TickEntries);
            }
            Event::TickAgents => {
                let now = self.clock.now();
                for index in 0..self.agents.len() {
                    let mut effects = Vec::new();
                    let started_at = Instant::now();
                    self.agents[index].tick(now, &mut effects);
                    self.agent_time += started_at.elapsed();
                    self.execute_for_agent(index, effects);
                }
                self.schedule(self.now + AGENT_TICK, Event::TickAgents);
            }
            Event::ReadLog => {
                self.read_log();
                self.schedule(self.now + LOG_READ_INTERVAL, Event::ReadLog);
            }
        }
    }

    fn deliver(&mut self, to: SocketAddr, envelope: Envelope) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let index = usize::from(to.port() % 1000);
        if to.port() < 2000 {
            self.with_entry(index, |entry, effects| entry.receive(envelope, effects));
        } else {
            let started_at = Instant::now();
            self.agents[index].receive(now, envelope, &mut effects);
            self.agent_time += started_at.elapsed();
            self.execute_for_agent(index, effects);
        }
    }

    /// Calls `action` on an entry that was not killed and executes the resulting effects.
    fn with_entry(
        &mut self,
        index: usize,
        action: impl FnOnce(&Entry<Arc<VirtualClock>, P>, &mut Vec<Effect>),
    ) {
        let Some(entry) = &self.entries[index] else { return };
        let mut effects = Vec::new();
        let started_at = Instant::now();
        action(entry, &mut effects);
        self.entry_time += started_at.elapsed();
        self.execute_for_entry(index, effects);
    }

    fn execute_for_entry(&mut self, index: usize, effects: Vec<Effect>) {
        let Some(entry) = &self.entries[index] else { return };
        let from = entry.incarnation();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    self.send(from, entry_address(index), to.address, to.incarnation, *message);
                }
                Effect::Answer { ticket, answer } => {
                    let at = self.now + CLIENT_DELAY;
                    self.answers.push(ClientAnswer { ticket, at, answer: *answer });
                }
                Effect::Append { stream, body } => {
                    // No faults are injected into the log, so the append succeeds.
                    let _ = self.log.append(stream, &body);
                }
                Effect::Run(_) => {}
            }
        }
    }

    fn execute_for_agent(&mut self, index: usize, effects: Vec<Effect>) {
        let from = self.agents[index].incarnation();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    self.send(from, agent_address(index), to.address, to.incarnation, *message);
                }
                Effect::Run(task) => self.run_task(index, task),
                _ => {}
            }
        }
    }

    fn run_task(&mut self, agent: usize, task: Box<StartTask>) {
        self.started_tasks += 1;
        let payload: LabPayload = serde_json::from_str(task.payload.get()).unwrap_or_default();
        let first_target = if agent == 0 { self.first_target } else { FirstTarget::Normal };
        if first_target == FirstTarget::FailsAll {
            let error = TaskError {
                ran: Verdict::Ran,
                reason: Reason::TaskFailed,
                message: "the target failed".to_owned(),
            };
            self.schedule(self.now + SAME_ZONE_DELAY, Event::FinishTask(agent, task, Err(error)));
            return;
        }
        let factor = if first_target == FirstTarget::Slow { SLOW_FACTOR } else { 1 };
        let run_ms = payload.run_ms * factor;
        let done = TaskDone { result: RawValue::NULL.to_owned().into(), run_ms };
        let end = self.now + Duration::from_millis(run_ms);
        self.schedule(end, Event::FinishTask(agent, task, Ok(done)));
    }

    fn send(
        &mut self,
        from: u64,
        from_address: SocketAddr,
        to_address: SocketAddr,
        to: u64,
        message: Message,
    ) {
        match message {
            Message::EntryHeartbeat(_)
            | Message::StateUpdate(_)
            | Message::AgentHeartbeat(_)
            | Message::Directive(_)
            | Message::Sealed(_)
            | Message::Collect(_)
            | Message::Collected(_) => self.messages.control += 1,
            _ => self.messages.work += 1,
        }
        let latency = self.latency(from_address, to_address);
        let envelope = Envelope { from, from_address, to, messages: vec![message] };
        self.schedule(self.now + latency, Event::Deliver(to_address, envelope));
    }

    fn latency(&self, from: SocketAddr, to: SocketAddr) -> Duration {
        let zone = |address: SocketAddr| usize::from(address.port() % 1000) % self.config.zones;
        if zone(from) == zone(to) { SAME_ZONE_DELAY } else { self.config.zone_delay }
    }

    fn read_log(&mut self) {
        for index in 0..self.entries.len() {
            for stream in [StreamName::Ownership, StreamName::Settings] {
                let Some(entry) = &self.entries[index] else { continue };
                let Ok(page) = self.log.read(stream, entry.next_offset(stream), 1000) else {
                    continue;
                };
                self.with_entry(index, |entry, effects| entry.apply_page(stream, &page, effects));
            }
        }
    }

    /// Publishes the team's branch of the settings tree, without which entries refuse submissions
    /// of the team.
    fn publish_team(&mut self, team: &str) {
        let change = Change {
            change_id: "create-team".to_owned(),
            team: "operators".into(),
            author: "lab".to_owned(),
            path: team.to_owned(),
            key: SettingKey::Owner,
            value: Some(team.into()),
            expected_version: 0,
            reason: "a team for the lab".to_owned(),
            published_at_ms: 0,
        };
        // No faults are injected into the log, so the append succeeds.
        let _ = self.log.append(StreamName::Settings, &record_body::<SettingsTree>(&change));
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }
}

/// Returns the address of an entry. Ports of entries are below 2000, those of agents from 2000, and
/// the remainder by 1000 is the index.
fn entry_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16))
}

fn agent_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2000 + index as u16))
}

fn zone_name(index: usize) -> String {
    format!("zone-{index}")
}
