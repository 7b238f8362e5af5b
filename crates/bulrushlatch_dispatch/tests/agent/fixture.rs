//! A test fixture: an agent whose entry and target are simulated by each test.

use std::time::Duration;

use bulrushlatch_dispatch::{
    agent::{
        Agent, StartRequest, TargetOrder,
        target::{Announcement, EndedRun, RunEnd, RunningRun, StartReply, TargetStatus},
    },
    clock::BootTime,
    frame::{Action, AgentFrame, EntryFrame, NEWEST_FRAME_VERSION, Order, StartOrder},
    ids::{ProcessId, TaskKey},
    outcome::RunOutcome,
    size::Size,
    timing::Timing,
};

/// Time at which tests begin: not zero, as on a real VM.
pub const BOOT: BootTime = Duration::from_secs(100);
/// When the agent's process started: its predecessor's leases have ended before the tests begin.
const STARTED_AT: BootTime = Duration::from_secs(90);
/// Shortest time between two frames without a report.
pub const MIN_FRAME_INTERVAL: Duration = Duration::from_millis(8);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn timing() -> Timing {
    Timing::new(ms(1300), ms(1000))
}

pub fn entry() -> ProcessId {
    ProcessId { name: "entry".to_owned(), incarnation: 7 }
}

pub fn task(index: u32) -> TaskKey {
    TaskKey { job: format!("job-{index}").into(), step: 0, index: 0 }
}

pub fn announcement(id: &str, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        service: "service".to_owned(),
        zone: "a".to_owned(),
        capacity: Size { cpu_millis: 4_000, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(),
        is_leaving: false,
        clock_ms: 5_000,
        sequence,
    }
}

pub struct AgentFixture {
    pub agent: Agent,
    pub now: BootTime,
    pub last_order: u64,
    pub frames: Vec<AgentFrame>,
    /// Orders to the target that [`Self::leave_starts_unanswered`] took and passed over.
    untaken: Vec<TargetOrder>,
}

impl AgentFixture {
    pub fn new() -> Self {
        Self::with_process_started_at(STARTED_AT)
    }

    /// Returns a fixture whose agent's process started at `started_at`.
    pub fn with_process_started_at(started_at: BootTime) -> Self {
        let mut agent = Agent::new(timing(), started_at);
        agent.handle_announcement(announcement("target", 1));
        agent.link_up(BOOT, entry(), 1, NEWEST_FRAME_VERSION);
        let mut fixture =
            Self { agent, now: BOOT, last_order: 0, frames: Vec::new(), untaken: Vec::new() };
        fixture.poll(&TargetStatus::default());
        fixture.send_orders(Vec::new());
        fixture
    }

    /// Delivers a frame of the entry that echoes the present time.
    pub fn send_orders(&mut self, actions: Vec<Action>) {
        self.send_orders_stamped(self.now, actions);
    }

    /// Delivers a frame of the entry that echoes `stamp`.
    pub fn send_orders_stamped(&mut self, stamp: BootTime, actions: Vec<Action>) {
        let orders = actions.into_iter().map(|action| {
            self.last_order += 1;
            Order { number: self.last_order, action }
        });
        let frame = EntryFrame {
            stamp_echo_ms: stamp.as_millis() as u64,
            reports_seen: 0,
            is_in_use: true,
            orders: orders.collect(),
        };
        self.agent.receive(self.now, &entry(), 1, frame);
    }

    /// Polls the target, which answers after 1 ms.
    pub fn poll(&mut self, status: &TargetStatus) {
        let polled_at = self.now;
        self.now += ms(1);
        self.agent.handle_status(self.now, polled_at, &"target".to_owned(), status);
    }

    /// Orders the start of a task.
    pub fn start(&mut self, index: u32, cpu_millis: u64) {
        self.send_orders(vec![Action::Start(StartOrder {
            task: task(index),
            attempt: 1,
            payload: "payload".into(),
            size: Size { cpu_millis, memory_mb: 1, accelerators: 0 },
            has_failed: false,
        })]);
    }

    /// Takes all orders to the target and returns the start requests; stop orders are discarded.
    pub fn take_starts(&mut self) -> Vec<StartRequest> {
        let orders = self.agent.take_orders();
        let starts = orders.into_iter().filter_map(|order| match order {
            TargetOrder::Start(task) => self.agent.prepare_start(self.now, &task),
            TargetOrder::Stop(_) => None,
        });
        starts.collect()
    }

    /// Delivers the target's answer to a start request after 1 ms.
    pub fn reply_to_start(&mut self, start: &StartRequest, reply: &StartReply) {
        self.now += ms(1);
        let clock_ms = (*reply != StartReply::NoAnswer).then_some(5_000);
        self.agent.handle_start_reply(self.now, start, clock_ms, reply);
    }

    /// Leaves the start that was ordered, and each time that it is sent again, without an answer.
    pub fn leave_starts_unanswered(&mut self) {
        loop {
            let orders = self.agent.take_orders();
            let is_start = |order: &TargetOrder| matches!(order, TargetOrder::Start(_));
            if !orders.iter().any(is_start) {
                self.untaken = orders;
                return;
            }
            for order in orders {
                let TargetOrder::Start(task) = order else { continue };
                if let Some(start) = self.agent.prepare_start(self.now, &task) {
                    self.reply_to_start(&start, &StartReply::NoAnswer);
                }
            }
        }
    }

    /// Takes all orders to the target and returns the stop orders; start orders are discarded.
    pub fn take_stops(&mut self) -> Vec<bulrushlatch_dispatch::agent::StopOrder> {
        let mut orders = std::mem::take(&mut self.untaken);
        orders.extend(self.agent.take_orders());
        let stops = orders.into_iter().filter_map(|order| match order {
            TargetOrder::Stop(stop) => Some(stop),
            TargetOrder::Start(_) => None,
        });
        stops.collect()
    }

    /// Advances the time by 10 ms and returns the outcomes that the agent reports then.
    pub fn reported_outcomes(&mut self) -> Vec<RunOutcome> {
        self.now += ms(10);
        let frames = self.agent.frames(self.now, MIN_FRAME_INTERVAL);
        let outcomes = frames.iter().flat_map(|(_, frame)| &frame.reports);
        let outcomes = outcomes.map(|report| report.outcome).collect();
        self.frames.extend(frames.into_iter().map(|(_, frame)| frame));
        outcomes
    }
}

pub fn ended(number: u64, index: u32, attempt: u32, end: RunEnd) -> EndedRun {
    EndedRun { number, task: Some(task(index)), attempt, end }
}

pub fn running(index: u32, attempt: u32) -> RunningRun {
    RunningRun { task: Some(task(index)), name: task(index).to_string(), attempt }
}
