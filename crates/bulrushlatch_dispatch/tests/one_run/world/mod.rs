//! Simulation of a small site on a virtual clock.
//!
//! - [`events`]: scheduled events
//! - [`processes`]: entries, agents and their clocks
//! - [`calls`]: calls of agents to their targets, and announcements of targets
//! - [`crashes`]: tasks that crash each target which starts them
//! - [`links`]: links between agents and entries
//! - [`jobs`]: jobs and their callers
//! - [`peers`]: links between entries, and jobs that they delegate
//! - [`faults`]: injection of faults

mod calls;
mod crashes;
mod events;
mod faults;
mod jobs;
mod links;
mod peers;
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
    crash::{CrashNotice, IsolationNotice},
    delegation::{DelegatedOutcome, DelegationFrame},
    entry::{
        Entry, Submission,
        delegation::{DelegableRequest, DelegationSettings},
    },
    frame::{Action, AgentFrame, EntryFrame, NEWEST_FRAME_VERSION},
    ids::{CallerId, JobId, LinkId, ProcessId, TaskKey},
    job::{JobRequest, Step},
    outcome::Answer,
    routing::{Route, RoutingTable},
    size::Size,
    timing::Timing,
};

use self::{
    events::{Call, Event},
    jobs::routing_table,
    peers::{EchoCheck, PeerLink},
};
use crate::{
    fault::{FAULTS_OVER_MS, Fault, InjectedFault, LENGTH, Plan, RECOVERED_MS},
    oracle::Oracle,
    target::{SLOTS, Target},
};

const ENTRIES: usize = 2;
/// Number of entries that delegate jobs to each other: an origin, a delegate, and one that a caller
/// submits to after both have failed.
const DELEGATING_ENTRIES: usize = 3;
/// Number of agents, and of targets.
pub const AGENTS: usize = 3;
/// Longest lease that a target grants.
const LONGEST_LEASE: Duration = Duration::from_millis(1000);
/// Time after which a caller submits a job again.
const RESEND_AFTER_MS: u64 = 1_300;
/// Time that a caller is willing to wait for a job.
const CALLER_DEADLINE_MS: u64 = 4_000;
/// Interval between two new jobs.
const JOB_INTERVAL_MS: u64 = 40;
/// The same once the faults are over: a quarter of the targets' throughput, so that a backlog alone
/// does not leave jobs incomplete.
const RECOVERY_JOB_INTERVAL_MS: u64 = 100;
/// Length of the last part of a case, in which no new jobs are submitted.
const NO_NEW_JOBS_MS: u64 = 2_500;
/// Interval between two ticks of a process.
const TICK_MS: u64 = 20;
/// Time for which a start order may wait at an agent.
const MAX_START_WAIT: Duration = Duration::from_millis(20);
/// Interval between attempts to open missing links.
const DIAL_MS: u64 = 30;
/// Time after which an agent treats an order as unanswered.
const ORDER_TIMEOUT_MS: u64 = 30;
/// Longest time for which a target holds back the answer to a poll.
const POLL_WAIT_MS: u64 = 100;
/// Time after which an agent treats a poll as failed.
const POLL_TIMEOUT_MS: u64 = 150;
/// CPU that a task occupies, in thousandths of a core.
const TASK_CPU_MILLIS: u64 = 1_000;
/// Share of the calls to a target that get no answer during [`Fault::LateOrders`].
const LATE_SHARE: f64 = 0.4;
/// Time at which cases begin: not zero, as on a real VM.
const BOOT_MS: u64 = 100_000;

/// A deliberate defect, to test that the oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Agents do not stop the runs of silent entries in time.
    NoContactLimit,
    /// Start orders grant leases of up to three seconds; renewals still at most one.
    LongLease,
    /// Entries start the tasks of a silent agent again before its target's lease has expired.
    NoWaitForLostAgents,
    /// Agents treat an unanswered start order as not carried out.
    UnansweredMeansNotStarted,
    /// The clock of an entry stops while the entry is suspended.
    IgnoresSuspension,
    /// Targets announce twice their capacity.
    LargerAnnouncement,
    /// Targets do not announce that they shrink.
    SilentShrink,
    /// Targets do not announce that they leave.
    SilentLeave,
    /// Delegates echo the newest stamp to agents, whatever they know of the origins of the runs there.
    UnboundEchoes,
    /// Delegates treat an origin as alive as long as its link is open.
    NoLivenessProof,
}

/// Number of jobs in a case.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs submitted.
    pub submitted: usize,
    /// Jobs answered as completed.
    pub completed: usize,
    /// Submissions that were delegated.
    pub delegated: usize,
}

struct Process<P> {
    /// The entry or agent; `None` while the process is down.
    core: Option<P>,
    id: ProcessId,
    suspended_until_ms: u64,
    /// Total time for which the process has been suspended.
    suspended_ms: u64,
}

struct Link {
    id: LinkId,
    entry: usize,
    agent: usize,
    is_up: bool,
    is_silent: bool,
    /// Earliest delivery of the next frame to the entry and to the agent, so that frames stay in
    /// order.
    next_ms: [u64; 2],
    /// Newest stamp of the agent that has arrived at the entry.
    stamp_ms: u64,
}

struct Job {
    id: JobId,
    tasks: u32,
    submitted_ms: u64,
    is_over: bool,
    is_completed: bool,
    /// Whether its first task crashes each target that starts it.
    crashes_targets: bool,
    /// Whether its tasks take longer than its callers wait.
    is_overlong: bool,
    /// The entry, its incarnation and the caller of the present submission, if one is open.
    open_submission: Option<(usize, u64, CallerId)>,
}

/// State of a simulated site.
pub struct World {
    rng: fastrand::Rng,
    defect: Option<Defect>,
    /// Whether entries delegate jobs to each other.
    is_delegating: bool,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    entries: Vec<Process<Entry>>,
    agents: Vec<Process<Agent>>,
    targets: Vec<Target>,
    target_incarnations: u64,
    links: Vec<Link>,
    peer_links: Vec<PeerLink>,
    echo_check: EchoCheck,
    /// End of each cut between an entry and an agent.
    cut_links: BTreeMap<(usize, usize), u64>,
    /// End of each cut between two entries, the one with the lower number first.
    cut_peers: BTreeMap<(usize, usize), u64>,
    /// End of [`Fault::SilentTarget`] at each target.
    silent_targets: BTreeMap<usize, u64>,
    /// End of [`Fault::LateOrders`] at each target.
    late_targets: BTreeMap<usize, u64>,
    /// End of [`Fault::LostStops`] at each target.
    lost_stops: BTreeMap<usize, u64>,
    /// End of [`Fault::UnansweredOrders`] at each target.
    unanswered_targets: BTreeMap<usize, u64>,
    /// End of the absence of each crashed target.
    absent_targets: BTreeMap<usize, u64>,
    /// Every how many jobs one crashes targets; 0 for none.
    crashing_job_interval: usize,
    /// Every how many jobs one takes longer than its callers wait; 0 for none.
    overlong_job_interval: usize,
    jobs: Vec<Job>,
    callers: BTreeMap<CallerId, usize>,
    last_caller: CallerId,
    oracle: Oracle,
    summary: Summary,
}

impl World {
    pub fn new(rng: fastrand::Rng, plan: Plan, defect: Option<Defect>) -> Self {
        Self::of_entries(rng, plan, defect, ENTRIES, false)
    }

    /// Returns a world whose entries delegate jobs to each other.
    pub fn delegating(rng: fastrand::Rng, plan: Plan, defect: Option<Defect>) -> Self {
        Self::of_entries(rng, plan, defect, DELEGATING_ENTRIES, true)
    }

    fn of_entries(
        rng: fastrand::Rng,
        plan: Plan,
        defect: Option<Defect>,
        entries: usize,
        is_delegating: bool,
    ) -> Self {
        let mut world = Self {
            rng,
            defect,
            is_delegating,
            now_ms: BOOT_MS,
            events: BTreeMap::new(),
            last_event: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            target_incarnations: 0,
            links: Vec::new(),
            peer_links: Vec::new(),
            echo_check: EchoCheck::default(),
            cut_links: BTreeMap::new(),
            cut_peers: BTreeMap::new(),
            silent_targets: BTreeMap::new(),
            late_targets: BTreeMap::new(),
            lost_stops: BTreeMap::new(),
            unanswered_targets: BTreeMap::new(),
            absent_targets: BTreeMap::new(),
            crashing_job_interval: 0,
            overlong_job_interval: 0,
            jobs: Vec::new(),
            callers: BTreeMap::new(),
            last_caller: 0,
            oracle: Oracle::default(),
            summary: Summary::default(),
        };
        for number in 0..entries {
            let process = world.new_process(format!("entry-{number}"));
            world.entries.push(process);
        }
        for number in 0..entries {
            world.start_entry(number);
        }
        if is_delegating {
            world.after(0, Event::DialPeers);
        }
        for number in 0..AGENTS {
            let target = world.new_target(number);
            world.targets.push(target);
            let process = world.new_process(format!("agent-{number}"));
            world.agents.push(process);
            world.start_agent(number);
            world.after(number as u64, Event::Announcement { agent: number });
            world.after(0, Event::Dial { agent: number });
        }
        for fault in plan.faults {
            world.after(fault.at_ms, Event::BeginFault(fault));
        }
        world.after(200, Event::NewJob);
        world
    }

    /// Runs the case and returns the number of jobs, or the first violation.
    pub fn run(mut self) -> Result<Summary, String> {
        let end_ms = BOOT_MS + LENGTH.as_millis() as u64;
        while self.now_ms < end_ms {
            let mut oracle = std::mem::take(&mut self.oracle);
            for target in &mut self.targets {
                target.tick(self.now_ms, &mut oracle);
            }
            self.oracle = oracle;
            self.check_echoes();
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
        self.check_recovery()?;
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
        if let Some(until_ms) = self.suspended_until(&event) {
            self.events.insert((until_ms, number), event);
            return;
        }
        match event {
            Event::EntryFrame { entry, incarnation, link, agent, frame } => {
                self.record_stamp(link, frame.stamp_ms);
                self.with_entry(entry, incarnation, |core, now| {
                    core.receive(now, &agent, link, frame);
                });
            }
            Event::CrashNotice { entry, incarnation, agent, notice } => {
                self.with_entry(entry, incarnation, |core, now| {
                    core.receive_crashes(now, &agent, notice);
                });
            }
            Event::IsolationNotice { entry, incarnation, from, notice } => {
                self.with_entry(entry, incarnation, |core, now| {
                    core.receive_isolation(now, from as LinkId, notice);
                });
            }
            Event::AgentIsolation { agent, incarnation, notice } => {
                self.with_agent(agent, incarnation, |core, now| {
                    core.receive_isolation(now, &notice);
                });
            }
            Event::AgentFrame { agent, incarnation, link, entry, frame } => {
                let is_open = self.links.iter().any(|open| open.id == link && open.is_up);
                if is_open {
                    self.with_agent(agent, incarnation, |core, now| {
                        core.receive(now, &entry, link, frame);
                    });
                }
            }
            Event::EntryLinkDown { entry, incarnation, link, agent } => {
                self.with_entry(entry, incarnation, |core, now| core.link_down(now, &agent, link));
            }
            Event::AgentLinkDown { agent, incarnation, link, entry } => {
                self.with_agent(agent, incarnation, |core, _| core.link_down(&entry, link));
            }
            Event::EntryLinkUp { entry, incarnation, link, agent } => {
                self.with_entry(entry, incarnation, |core, now| {
                    core.link_up(now, agent, link, NEWEST_FRAME_VERSION);
                });
            }
            Event::AgentLinkUp { agent, incarnation, link, entry } => {
                self.with_agent(agent, incarnation, |core, now| {
                    core.link_up(now, entry, link, NEWEST_FRAME_VERSION);
                });
            }
            Event::TickEntry { entry, incarnation } => {
                if self.entries[entry].id.incarnation == incarnation
                    && self.entries[entry].core.is_some()
                {
                    self.tick_entry(entry, incarnation);
                    self.after(TICK_MS, Event::TickEntry { entry, incarnation });
                }
            }
            Event::TickAgent { agent, incarnation } => {
                if self.agents[agent].id.incarnation == incarnation
                    && self.agents[agent].core.is_some()
                {
                    self.with_agent(agent, incarnation, |core, now| core.tick(now));
                    self.after(TICK_MS, Event::TickAgent { agent, incarnation });
                }
            }
            Event::DialPeers => self.dial_peers(),
            Event::PeerFrame { entry, incarnation, link, frame } => {
                self.receive_from_peer(entry, incarnation, link, frame);
            }
            Event::PeerUp { entry, incarnation, link, peer } => {
                self.with_entry(entry, incarnation, |core, now| {
                    core.peer_up(now, peer, link, true);
                });
            }
            Event::PeerDown { entry, incarnation, link } => {
                self.with_entry(entry, incarnation, |core, now| core.peer_down(now, link));
            }
            Event::Dial { agent } => self.dial(agent),
            Event::AtTarget { agent, incarnation, call, is_answered } => {
                self.carry_out(agent, incarnation, call, is_answered);
            }
            Event::Started { agent, incarnation, start, reply, clock_ms } => {
                self.with_agent(agent, incarnation, |core, now| {
                    core.handle_start_reply(now, &start, clock_ms, &reply);
                });
            }
            Event::Stopped { agent, incarnation, stop, clock_ms } => {
                let mut needs_poll = false;
                self.with_agent(agent, incarnation, |core, now| {
                    needs_poll = core.handle_stop_reply(now, &stop, clock_ms);
                });
                if needs_poll {
                    self.poll(agent, incarnation, 0);
                }
            }
            Event::Polled { agent, incarnation, id, polled_ms, status, repeats } => {
                self.handle_poll_result(agent, incarnation, &id, polled_ms, status, repeats);
            }
            Event::TargetCrash { agent, id } => self.crash_target(agent, &id),
            Event::Announcement { agent } => self.announce(agent),
            Event::NewJob => self.new_job(),
            Event::Submit { job } => self.submit(job),
            Event::CallerGone { entry, incarnation, caller } => {
                self.with_entry(entry, incarnation, |core, now| core.caller_gone(now, caller));
            }
            Event::BeginFault(fault) => self.begin_fault(fault),
            Event::EndFault(fault) => self.end_fault(fault),
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
