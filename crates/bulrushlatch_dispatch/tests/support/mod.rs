//! A test fixture: an entry with simulated agents, for tests of single decisions.

#![allow(dead_code)]

use std::{sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    clock::BootTime,
    entry::{Entry, Submission},
    frame::{Action, AgentFrame, NEWEST_FRAME_VERSION, Offer, Order, Profile, Report, StartOrder},
    ids::{CallerId, LinkId, ProcessId},
    job::{JobRequest, Step},
    outcome::{Answer, RunOutcome},
    routing::{Route, RoutingTable},
    size::Size,
    timing::Timing,
};

/// Time at which tests begin: not zero, as on a real VM.
pub const BOOT: BootTime = Duration::from_secs(100);

pub fn timing() -> Timing {
    Timing::new(Duration::from_millis(1300), Duration::from_millis(1000))
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn size(cpu_millis: u64) -> Size {
    Size { cpu_millis, memory_mb: 64, accelerators: 0 }
}

pub fn route(name: &str) -> Route {
    Route {
        name: Arc::from(name),
        host: "host.example".to_owned(),
        path_prefix: format!("/{name}/"),
        service: "service".to_owned(),
        priority: 0,
        max_failed_runs: 3,
        stretch: 1.6,
        target_latency: ms(60),
    }
}

pub fn job(id: &str, tasks: u32, cpu_millis: u64, estimate: Duration) -> JobRequest {
    JobRequest {
        id: id.into(),
        payload: "payload".into(),
        steps: vec![Step {
            tasks,
            size: size(cpu_millis),
            estimate,
            depends_on: Vec::new(),
            required_label: None,
            preferred_label: None,
            max_per_target: None,
        }],
        unsupported: None,
    }
}

pub fn process(name: &str) -> ProcessId {
    ProcessId { name: name.to_owned(), incarnation: 1 }
}

/// A simulated agent; tests choose what it offers and reports.
pub struct SimulatedAgent {
    pub id: ProcessId,
    pub link: LinkId,
    pub profile: Profile,
    pub offer: Offer,
    pub orders_seen: u64,
    /// Number of the last report.
    pub last_report: u64,
    pub orders: Vec<Order>,
}

impl SimulatedAgent {
    pub fn new(name: &str, link: LinkId, cpu_millis: u64) -> Self {
        let total = Size { cpu_millis, memory_mb: 32_000, accelerators: 0 };
        let profile = Profile {
            service: "service".to_owned(),
            labels: Vec::new(),
            zone: "a".to_owned(),
            total,
        };
        let offer = Offer { free: total, accepts: true };
        Self {
            id: process(name),
            link,
            profile,
            offer,
            orders_seen: 0,
            last_report: 0,
            orders: Vec::new(),
        }
    }

    pub fn frame(&self, now: BootTime, reports: Vec<Report>) -> AgentFrame {
        AgentFrame {
            stamp_ms: now.as_millis() as u64,
            orders_seen: self.orders_seen,
            profile: Some(self.profile.clone()),
            offer: self.offer,
            reports,
        }
    }

    pub fn report(
        &mut self,
        start: &(u64, StartOrder),
        outcome: RunOutcome,
        ran_ms: u64,
    ) -> Report {
        self.last_report += 1;
        Report {
            number: self.last_report,
            order: start.0,
            task: start.1.task.clone(),
            attempt: start.1.attempt,
            outcome,
            ran_ms,
        }
    }

    /// Removes all orders received so far and returns the start orders among them.
    pub fn take_starts(&mut self) -> Vec<(u64, StartOrder)> {
        let orders = std::mem::take(&mut self.orders);
        let starts = orders.into_iter().filter_map(|order| match order.action {
            Action::Start(start) => Some((order.number, start)),
            Action::Stop { .. } => None,
        });
        starts.collect()
    }

    /// Returns the number of stop orders since [`Self::take_starts`] was last called.
    pub fn stops(&self) -> usize {
        let is_stop = |order: &&Order| matches!(order.action, Action::Stop { .. });
        self.orders.iter().filter(is_stop).count()
    }
}

/// An entry with simulated agents; frames arrive without delay.
pub struct EntryFixture {
    pub entry: Entry,
    pub agents: Vec<SimulatedAgent>,
    pub now: BootTime,
    pub answers: Vec<(CallerId, Answer)>,
    last_caller: CallerId,
}

impl EntryFixture {
    pub fn new(agents: Vec<SimulatedAgent>) -> Self {
        let mut entry = Entry::new(timing(), "a".to_owned(), 1);
        entry.configure(RoutingTable::new(1, vec![route("quick"), route("slow")], None));
        for agent in &agents {
            entry.link_up(BOOT, agent.id.clone(), agent.link, NEWEST_FRAME_VERSION);
        }
        let mut fixture = Self { entry, agents, now: BOOT, answers: Vec::new(), last_caller: 0 };
        fixture.advance(ms(1));
        fixture
    }

    /// Advances the time in steps of 20 ms, with a frame from each agent in every step.
    pub fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        while self.now < end {
            self.now = (self.now + ms(20)).min(end);
            for index in 0..self.agents.len() {
                self.receive_frame(index, Vec::new());
            }
            self.entry.tick(self.now);
            self.collect();
        }
    }

    /// Delivers a frame from an agent to the entry.
    pub fn receive_frame(&mut self, index: usize, reports: Vec<Report>) {
        let agent = &self.agents[index];
        let frame = agent.frame(self.now, reports);
        let (id, link) = (agent.id.clone(), agent.link);
        self.entry.receive(self.now, &id, link, frame);
        self.collect();
    }

    /// Delivers the entry's frames to the agents and collects its answers.
    pub fn collect(&mut self) {
        for (link, frame) in self.entry.frames(self.now) {
            if let Some(agent) = self.agents.iter_mut().find(|agent| agent.link == link) {
                for order in frame.orders {
                    agent.orders_seen = agent.orders_seen.max(order.number);
                    agent.orders.push(order);
                }
            }
        }
        self.answers.extend(self.entry.take_answers());
    }

    pub fn submit(&mut self, request: JobRequest, route_name: &str) -> CallerId {
        self.last_caller += 1;
        let caller = self.last_caller;
        let submission = Submission {
            caller,
            route: Arc::new(route(route_name)),
            request,
            remaining_time: Some(ms(12_000)),
        };
        self.entry.submit(self.now, submission);
        self.collect();
        caller
    }

    pub fn answer_to(&self, caller: CallerId) -> Option<Answer> {
        self.answers.iter().find(|(receiver, _)| *receiver == caller).map(|(_, answer)| *answer)
    }
}
