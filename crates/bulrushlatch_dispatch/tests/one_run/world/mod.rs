//! A small site on a virtual clock.
//!
//! - [`events`]: what happens at a time
//! - [`processes`]: entries and agents, and their clocks
//! - [`calls`]: calls to targets, and their announcements
//! - [`links`]: links between agents and entries
//! - [`jobs`]: jobs and their callers
//! - [`faults`]: begin and end of faults

mod calls;
mod events;
mod faults;
mod jobs;
mod links;
mod processes;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bulrushlatch_dispatch::{
    agent::{
        Agent, StartRequest, StopOrder, TargetOrder,
        target::{Announcement, PollError, StartReply, TargetStatus},
    },
    clock::BootTime,
    entry::{Entry, Submission},
    frame::{AgentFrame, EntryFrame},
    ids::{CallerId, JobId, LinkId, ProcessId},
    job::{JobRequest, Step},
    outcome::Answer,
    routing::{Route, RoutingTable},
    size::Size,
    timing::Timing,
};

use self::{
    events::{Call, Event},
    jobs::routing_table,
};
use crate::{
    fault::{CALM_FROM_MS, FAULTS_OVER_MS, Fault, LENGTH, Plan, Strike},
    oracle::Oracle,
    target::{SLOTS, Target},
};

const ENTRIES: usize = 2;
const AGENTS: usize = 3;
/// Longest lease that targets grant.
const LONGEST_LEASE: Duration = Duration::from_millis(1000);
/// Pause after which callers submit again.
const RESEND_AFTER_MS: u64 = 1_300;
/// Time for which callers wait.
const PATIENCE_MS: u64 = 4_000;
/// Pause between two jobs.
const JOB_INTERVAL_MS: u64 = 40;
/// The same once the faults are over: a quarter of what the targets can do, so that a job that is
/// not completed tells of more than of work left over.
const CALM_JOB_INTERVAL_MS: u64 = 100;
/// Pause between looks at what is due in a process.
const TICK_MS: u64 = 20;
/// Pause between attempts to open a missing link.
const DIAL_MS: u64 = 30;
/// Time after which an agent gives up on an order without an answer.
const ORDER_PATIENCE_MS: u64 = 30;
/// Time for which a target holds back a look.
const LOOK_WAIT_MS: u64 = 100;
/// Time after which an agent gives up on a look.
const LOOK_PATIENCE_MS: u64 = 150;
/// Processor that a task takes.
const TASK_CPU_MILLIS: u64 = 1_000;
/// Share of orders that are carried out late, while that fault lasts.
const LATE_SHARE: f64 = 0.4;
/// Time of boot: not zero, as on a real VM.
const BOOT_MS: u64 = 100_000;

/// A mechanism that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Agents go on for entries that are silent.
    NoContactLimit,
    /// Leases last three seconds.
    LongLease,
    /// Entries start tasks again as soon as an agent is silent.
    NoSettling,
    /// An order without an answer is taken as not carried out.
    UnansweredMeansNotStarted,
    /// An entry's clock stands while it is suspended.
    IgnoresSuspension,
    /// Targets announce twice their capacity.
    LargerAnnouncement,
    /// Targets do not say that they leave.
    SilentLeave,
}

/// What became of the jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs handed in.
    pub submitted: usize,
    /// Jobs answered as completed.
    pub completed: usize,
}

struct Process<P> {
    core: Option<P>,
    id: ProcessId,
    frozen_until_ms: u64,
    suspended_ms: u64,
}

struct Link {
    id: LinkId,
    entry: usize,
    agent: usize,
    is_up: bool,
    is_silent: bool,
    /// Earliest delivery of the next frame to the entry and to the agent: frames stay in order.
    next_ms: [u64; 2],
}

struct Job {
    id: JobId,
    tasks: u32,
    first_ms: u64,
    is_over: bool,
    is_completed: bool,
    attempt: Option<(usize, u64, CallerId)>,
}

pub struct World {
    rng: fastrand::Rng,
    defect: Option<Defect>,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    entries: Vec<Process<Entry>>,
    agents: Vec<Process<Agent>>,
    targets: Vec<Target>,
    target_lives: u64,
    links: Vec<Link>,
    cut: BTreeMap<(usize, usize), u64>,
    silent_targets: BTreeMap<usize, u64>,
    late_targets: BTreeMap<usize, u64>,
    jobs: Vec<Job>,
    callers: BTreeMap<CallerId, usize>,
    last_caller: CallerId,
    oracle: Oracle,
    summary: Summary,
}

impl World {
    pub fn new(rng: fastrand::Rng, plan: Plan, defect: Option<Defect>) -> Self {
        let mut world = Self {
            rng,
            defect,
            now_ms: BOOT_MS,
            events: BTreeMap::new(),
            last_event: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            target_lives: 0,
            links: Vec::new(),
            cut: BTreeMap::new(),
            silent_targets: BTreeMap::new(),
            late_targets: BTreeMap::new(),
            jobs: Vec::new(),
            callers: BTreeMap::new(),
            last_caller: 0,
            oracle: Oracle::default(),
            summary: Summary::default(),
        };
        for number in 0..ENTRIES {
            let process = world.new_process(format!("entry-{number}"));
            world.entries.push(process);
            world.start_entry(number);
        }
        for number in 0..AGENTS {
            let target = world.new_target(number);
            world.targets.push(target);
            let process = world.new_process(format!("agent-{number}"));
            world.agents.push(process);
            world.start_agent(number);
            world.after(number as u64, Event::Heartbeat { agent: number });
            world.after(0, Event::Dial { agent: number });
        }
        for strike in plan.strikes {
            world.after(strike.at_ms, Event::Strike(strike));
        }
        world.after(200, Event::NewJob);
        world
    }

    /// Plays the case and returns what became of the jobs, or the promise that was broken.
    pub fn play(mut self) -> Result<Summary, String> {
        let end_ms = BOOT_MS + LENGTH.as_millis() as u64;
        while self.now_ms < end_ms {
            let mut oracle = std::mem::take(&mut self.oracle);
            for target in &mut self.targets {
                target.tick(self.now_ms, &mut oracle);
            }
            self.oracle = oracle;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now_ms {
                    break;
                }
                let ((_, number), event) = entry.remove_entry();
                self.handle(number, event);
            }
            self.now_ms += 1;
        }
        self.oracle.verdict()?;
        self.judge_calm()?;
        Ok(self.summary)
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now_ms + delay_ms, event);
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((at_ms, self.last_event), event);
    }

    fn handle(&mut self, number: u64, event: Event) {
        if let Some(until_ms) = self.frozen_until(&event) {
            self.events.insert((until_ms, number), event);
            return;
        }
        match event {
            Event::EntryFrame { entry, life, link, agent, frame } => {
                self.with_entry(entry, life, |core, now| core.receive(now, &agent, link, frame));
            }
            Event::AgentFrame { agent, life, link, entry, frame } => {
                let is_open = self.links.iter().any(|it| it.id == link && it.is_up);
                if is_open {
                    self.with_agent(agent, life, |core, now| {
                        core.receive(now, &entry, link, frame);
                    });
                }
            }
            Event::EntryLinkDown { entry, life, link, agent } => {
                self.with_entry(entry, life, |core, now| core.link_down(now, &agent, link));
            }
            Event::AgentLinkDown { agent, life, link, entry } => {
                self.with_agent(agent, life, |core, _| core.link_down(&entry, link));
            }
            Event::EntryLinkUp { entry, life, link, agent } => {
                self.with_entry(entry, life, |core, now| core.link_up(now, agent, link));
            }
            Event::AgentLinkUp { agent, life, link, entry } => {
                self.with_agent(agent, life, |core, now| core.link_up(now, entry, link));
            }
            Event::TickEntry { entry, life } => {
                if self.entries[entry].id.incarnation == life && self.entries[entry].core.is_some()
                {
                    self.with_entry(entry, life, |core, now| core.tick(now));
                    self.after(TICK_MS, Event::TickEntry { entry, life });
                }
            }
            Event::TickAgent { agent, life } => {
                if self.agents[agent].id.incarnation == life && self.agents[agent].core.is_some() {
                    self.with_agent(agent, life, |core, now| core.tick(now));
                    self.after(TICK_MS, Event::TickAgent { agent, life });
                }
            }
            Event::Dial { agent } => self.dial(agent),
            Event::AtTarget { agent, life, call, answers } => {
                self.at_target(agent, life, call, answers);
            }
            Event::Started { agent, life, start, reply, clock_ms } => {
                self.with_agent(agent, life, |core, now| {
                    core.handle_start_reply(now, &start, clock_ms, &reply);
                });
            }
            Event::Stopped { agent, life, stop, clock_ms } => {
                let mut is_open = false;
                self.with_agent(agent, life, |core, now| {
                    is_open = core.handle_stop_reply(now, &stop, clock_ms);
                });
                if is_open {
                    self.look(agent, life, 0);
                }
            }
            Event::Looked { agent, life, id, asked_ms, look, repeats } => {
                self.looked(agent, life, &id, asked_ms, look, repeats);
            }
            Event::Heartbeat { agent } => self.heartbeat(agent),
            Event::NewJob => self.new_job(),
            Event::Submit { job } => self.submit(job),
            Event::CallerGone { entry, life, caller } => {
                self.with_entry(entry, life, |core, now| core.caller_gone(now, caller));
            }
            Event::Strike(strike) => self.strike(strike),
            Event::Calm(strike) => self.calm(strike),
            Event::Restart { agent, entry } => {
                if let Some(agent) = agent
                    && self.agents[agent].core.is_none()
                {
                    self.start_agent(agent);
                }
                if let Some(entry) = entry
                    && self.entries[entry].core.is_none()
                {
                    self.start_entry(entry);
                }
            }
        }
    }
}
