//! Two entries with a link between them and an agent each; frames arrive without delay.

use std::{sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    clock::BootTime,
    delegation::{DelegatedJob, DelegatedOutcome, DelegationFrame, DelegationNumber},
    entry::{
        Entry, Submission,
        delegation::{DelegableRequest, DelegationSettings},
    },
    frame::NEWEST_FRAME_VERSION,
    ids::{CallerId, JobId, LinkId},
    outcome::RunOutcome,
    routing::RoutingTable,
};

use crate::support::{BOOT, SimulatedAgent, job, ms, process, route, timing};

/// Number of the link on which the origin delegates, at both ends.
pub const LINK: LinkId = 100;
/// Number of the link on which the delegate could delegate.
const BACK_LINK: LinkId = 101;
/// Number of each entry's link to its agent.
const AGENT_LINK: LinkId = 1;
/// Samples after which the average load is that of the samples.
const LOAD_SAMPLES: u32 = 1_000;
/// Interval between ticks.
const STEP: Duration = Duration::from_millis(10);

pub fn job_id(id: &str) -> JobId {
    id.into()
}

/// Returns a job as an origin sends it.
pub fn delegated_job(number: DelegationNumber, id: &str) -> DelegatedJob {
    DelegatedJob {
        number,
        version: 1,
        host: String::new(),
        path: String::new(),
        remaining_ms: None,
        body: id.to_owned(),
    }
}

fn new_entry(zone: &str, agent: &SimulatedAgent) -> Entry {
    let mut entry = Entry::new(timing(), zone.to_owned(), 1);
    entry.configure(RoutingTable::new(1, vec![route("quick")], None));
    entry.enable_delegation(DelegationSettings::default());
    entry.link_up(BOOT, agent.id.clone(), AGENT_LINK, NEWEST_FRAME_VERSION);
    entry
}

/// An origin and a delegate.
pub struct Pair {
    pub origin: Entry,
    pub delegate: Entry,
    pub origin_agent: SimulatedAgent,
    pub delegate_agent: SimulatedAgent,
    pub origin_busy_share: f64,
    pub delegate_busy_share: f64,
    /// Whether an entry does nothing.
    pub is_origin_frozen: bool,
    pub is_delegate_frozen: bool,
    /// Whether frames between the entries get lost.
    pub is_link_silent: bool,
    pub now: BootTime,
    pub outcomes: Vec<(CallerId, DelegatedOutcome)>,
    /// Links that the origin has closed.
    pub broken_links: Vec<LinkId>,
    /// Frames of the origin that asked for a reply.
    pub frames_asking: usize,
    /// Last stamp that the delegate has echoed to its agent, in ms.
    pub echo_ms: u64,
    last_caller: CallerId,
}

impl Pair {
    /// Returns a pair whose processors have the given busy shares.
    pub fn new(origin_busy_share: f64, delegate_busy_share: f64) -> Self {
        let origin_agent = SimulatedAgent::new("agent-0", AGENT_LINK, 32_000);
        let delegate_agent = SimulatedAgent::new("agent-1", AGENT_LINK, 32_000);
        let mut pair = Self {
            origin: new_entry("a", &origin_agent),
            delegate: new_entry("b", &delegate_agent),
            origin_agent,
            delegate_agent,
            origin_busy_share,
            delegate_busy_share,
            is_origin_frozen: false,
            is_delegate_frozen: false,
            is_link_silent: false,
            now: BOOT,
            outcomes: Vec::new(),
            broken_links: Vec::new(),
            frames_asking: 0,
            echo_ms: 0,
            last_caller: 0,
        };
        pair.origin.peer_up(BOOT, process("delegate"), LINK, true);
        pair.delegate.peer_up(BOOT, process("origin"), LINK, false);
        pair
    }

    /// Returns a pair of which the origin has been overloaded for seconds, and the delegate is idle.
    pub fn loaded() -> Self {
        let mut pair = Self::new(1.0, 0.1);
        pair.advance(ms(3_000));
        pair
    }

    /// Adds a link on which the delegate may delegate jobs to the origin.
    pub fn open_back_link(&mut self) {
        self.delegate.peer_up(self.now, process("origin"), BACK_LINK, true);
        self.origin.peer_up(self.now, process("delegate"), BACK_LINK, false);
    }

    /// Gives the origin a newer configuration than the delegate's.
    pub fn configure_origin(&mut self) {
        self.origin.configure(RoutingTable::new(2, vec![route("quick")], None));
    }

    /// Makes the delegate's busy share `share` at once, before its next offer.
    pub fn set_delegate_busy(&mut self, share: f64) {
        self.delegate_busy_share = share;
        for _ in 0..LOAD_SAMPLES {
            let busy = STEP.mul_f64(share);
            self.delegate.record_processor_load(STEP, busy, Duration::ZERO);
        }
    }

    pub fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        while self.now < end {
            self.now += STEP;
            let millis = self.now.as_millis();
            if !self.is_origin_frozen {
                let busy = STEP.mul_f64(self.origin_busy_share);
                self.origin.record_processor_load(STEP, busy, Duration::ZERO);
                let frame = self.origin_agent.frame(self.now, Vec::new());
                self.origin.receive(self.now, &self.origin_agent.id, AGENT_LINK, frame);
                self.origin.tick(self.now);
            }
            if !self.is_delegate_frozen {
                let busy = STEP.mul_f64(self.delegate_busy_share);
                self.delegate.record_processor_load(STEP, busy, Duration::ZERO);
                let frame = self.delegate_agent.frame(self.now, Vec::new());
                self.delegate.receive(self.now, &self.delegate_agent.id, AGENT_LINK, frame);
                self.delegate.tick(self.now);
                if millis.is_multiple_of(300) {
                    self.delegate.advertise_to_peer(LINK);
                }
            }
            self.exchange();
        }
    }

    /// Delivers all frames and collects what the origin returns.
    pub fn exchange(&mut self) {
        loop {
            let from_origin = self.frames_of_origin();
            let from_delegate = self.frames_of_delegate();
            if from_origin.is_empty() && from_delegate.is_empty() {
                break;
            }
            for (link, frame) in from_origin {
                self.frames_asking += usize::from(frame.wants_reply);
                self.deliver_to_delegate(link, frame);
            }
            for (link, frame) in from_delegate {
                if !self.is_link_silent && !self.is_origin_frozen {
                    assert!(self.origin.receive_delegation(self.now, link, frame).is_empty());
                }
            }
        }
        self.outcomes.extend(self.origin.take_delegated_outcomes());
        self.broken_links.extend(self.origin.take_broken_links());
        for (_, frame) in self.origin.frames(self.now) {
            self.origin_agent.orders.extend(frame.orders);
        }
        for (_, frame) in self.delegate.frames(self.now) {
            self.echo_ms = frame.stamp_echo_ms;
            for order in frame.orders {
                self.delegate_agent.orders_seen = order.number;
                self.delegate_agent.orders.push(order);
            }
        }
    }

    fn frames_of_origin(&mut self) -> Vec<(LinkId, DelegationFrame)> {
        if self.is_origin_frozen {
            return Vec::new();
        }
        let _ = self.origin.take_answers();
        self.origin.delegation_frames(self.now)
    }

    fn frames_of_delegate(&mut self) -> Vec<(LinkId, DelegationFrame)> {
        if self.is_delegate_frozen {
            return Vec::new();
        }
        assert!(self.delegate.take_answers().is_empty(), "the delegate has no callers");
        self.delegate.delegation_frames(self.now)
    }

    /// Delivers a frame to the delegate, which carries out the jobs in it.
    pub fn deliver_to_delegate(&mut self, link: LinkId, frame: DelegationFrame) {
        if self.is_link_silent || self.is_delegate_frozen {
            return;
        }
        for delegated in self.delegate.receive_delegation(self.now, link, frame) {
            let request = job(&delegated.body, 1, 1_000, ms(100));
            let route = Arc::new(route("quick"));
            let remaining = delegated.remaining_ms.map(ms);
            let number = delegated.number;
            self.delegate.submit_delegated(self.now, link, number, route, request, remaining);
        }
    }

    /// Delivers a job with number 1 to the delegate, in a frame that echoes the given stamp.
    pub fn deliver_job(&mut self, id: &str, stamp_echo_ms: u64) {
        let jobs = vec![delegated_job(1, id)];
        let frame = DelegationFrame { stamp_echo_ms, jobs, ..DelegationFrame::default() };
        self.deliver_to_delegate(LINK, frame);
        self.exchange();
    }

    /// Has the origin delegate a job, if it does at this time.
    pub fn try_delegate(&mut self, id: &str) -> Option<CallerId> {
        self.last_caller += 1;
        let caller = self.last_caller;
        let request = DelegableRequest {
            job: &job_id(id),
            host: "host.example",
            path: "/quick/id",
            body: id,
            remaining_time: Some(ms(12_000)),
        };
        let is_delegated = self.origin.delegate(self.now, caller, &request);
        is_delegated.then_some(caller)
    }

    /// Has the origin delegate a job within the next second, if it does.
    pub fn delegate(&mut self, id: &str) -> Option<CallerId> {
        for _ in 0..100 {
            let caller = self.try_delegate(id);
            if caller.is_some() {
                self.exchange();
                return caller;
            }
            self.advance(STEP);
        }
        None
    }

    /// Submits a job that the origin carries out.
    pub fn submit_at_origin(&mut self, id: &str) {
        self.last_caller += 1;
        let submission = Submission {
            caller: self.last_caller,
            route: Arc::new(route("quick")),
            request: job(id, 1, 1_000, ms(100)),
            remaining_time: None,
        };
        self.origin.submit(self.now, submission);
    }

    /// Ends the runs that the delegate has started at its agent.
    pub fn run_starts(&mut self, outcome: RunOutcome) {
        for start in self.delegate_agent.take_starts() {
            let report = self.delegate_agent.report(&start, outcome, 100);
            let frame = self.delegate_agent.frame(self.now, vec![report]);
            self.delegate.receive(self.now, &self.delegate_agent.id, AGENT_LINK, frame);
        }
        self.exchange();
    }

    pub fn outcome_of(&self, caller: CallerId) -> Option<DelegatedOutcome> {
        let mut outcomes = self.outcomes.iter();
        outcomes.find(|(receiver, _)| *receiver == caller).map(|(_, outcome)| *outcome)
    }

    pub fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }
}
