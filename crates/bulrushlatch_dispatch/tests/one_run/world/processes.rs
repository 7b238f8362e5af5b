//! Entries, agents and their clocks.

use super::{peers::BUSY_THRESHOLD, *};

impl World {
    pub(super) fn timing(&self) -> Timing {
        Timing::new(Duration::from_millis(RESEND_AFTER_MS), LONGEST_LEASE)
    }

    pub(super) fn agent_timing(&self) -> Timing {
        let timing = self.timing();
        match self.defect {
            Some(Defect::NoContactLimit) => {
                Timing { contact_limit: Duration::from_secs(20), ..timing }
            }
            Some(Defect::LongLease) => Timing { lease: Duration::from_secs(3), ..timing },
            _ => timing,
        }
    }

    pub(super) fn entry_timing(&self) -> Timing {
        let timing = self.timing();
        match self.defect {
            Some(Defect::NoWaitForLostAgents) => {
                Timing { stop_grace: Duration::ZERO, lease: Duration::ZERO, ..timing }
            }
            _ => timing,
        }
    }

    pub(super) fn new_process<P>(&mut self, name: String) -> Process<P> {
        let id = ProcessId { name, incarnation: self.rng.u64(1..) };
        Process { core: None, id, suspended_until_ms: 0, suspended_ms: 0 }
    }

    pub(super) fn new_target(&mut self, index: usize) -> Target {
        self.target_incarnations += 1;
        let rate = 0.98 + 0.04 * self.rng.f64();
        Target::new(index, self.target_incarnations, rate)
    }

    pub(super) fn start_entry(&mut self, number: usize) {
        let seed = self.rng.u64(..);
        let mut core = Entry::new(self.entry_timing(), "a".to_owned(), seed);
        core.configure(routing_table());
        core.set_entry_count(self.entries.len() as u32);
        if self.is_delegating {
            core.enable_delegation(DelegationSettings { busy_threshold: BUSY_THRESHOLD });
        }
        let process = &mut self.entries[number];
        process.id.incarnation = seed.max(1);
        process.core = Some(core);
        let incarnation = process.id.incarnation;
        self.after(1, Event::TickEntry { entry: number, incarnation });
    }

    pub(super) fn start_agent(&mut self, number: usize) {
        let incarnation = self.rng.u64(1..);
        let mut core = Agent::new(self.agent_timing(), self.clock());
        core.set_max_start_wait(MAX_START_WAIT);
        let process = &mut self.agents[number];
        process.id.incarnation = incarnation;
        process.core = Some(core);
        self.after(1, Event::TickAgent { agent: number, incarnation });
        self.after(1, Event::Announcement { agent: number });
    }

    pub(super) fn entry_clock(&self, entry: usize) -> BootTime {
        let suspended_ms = match self.defect {
            Some(Defect::IgnoresSuspension) => self.entries[entry].suspended_ms,
            _ => 0,
        };
        Duration::from_millis(self.now_ms - suspended_ms)
    }

    pub(super) fn clock(&self) -> BootTime {
        Duration::from_millis(self.now_ms)
    }

    /// Calls an entry, unless it has been restarted or is down, and sends its frames and answers.
    pub(super) fn with_entry(
        &mut self,
        entry: usize,
        incarnation: u64,
        act: impl FnOnce(&mut Entry, BootTime),
    ) {
        let now = self.entry_clock(entry);
        let process = &mut self.entries[entry];
        if process.id.incarnation != incarnation {
            return;
        }
        let id = process.id.clone();
        let Some(core) = &mut process.core else { return };
        act(core, now);
        let frames = core.frames(now);
        let answers = core.take_answers();
        let outcomes = core.take_delegated_outcomes();
        let isolation = core.take_isolation_notice();
        let agent_isolation = core.take_agent_isolation_notices();
        let peer_frames = core.delegation_frames(now);
        let broken_links = core.take_broken_links();
        for (link, notice) in agent_isolation {
            self.send_agent_isolation(link, notice);
        }
        for (link, frame) in frames {
            self.send_to_agent(link, &id, frame);
        }
        for (link, frame) in peer_frames {
            self.send_to_peer(entry, link, frame);
        }
        if let Some(notice) = isolation {
            self.send_isolation(entry, &notice);
        }
        for link in broken_links {
            self.close_peer_link(link, Some(entry));
        }
        for (caller, answer) in answers {
            self.handle_answer(caller, answer);
        }
        for (caller, outcome) in outcomes {
            self.handle_outcome(entry, caller, outcome);
        }
    }

    /// Calls an agent, unless it has been restarted or is down, and sends its orders and frames.
    pub(super) fn with_agent(
        &mut self,
        agent: usize,
        incarnation: u64,
        act: impl FnOnce(&mut Agent, BootTime),
    ) {
        let now = self.clock();
        let process = &mut self.agents[agent];
        if process.id.incarnation != incarnation {
            return;
        }
        let id = process.id.clone();
        let Some(core) = &mut process.core else { return };
        act(core, now);
        let orders = core.take_orders();
        let crashes = core.take_crash_notices();
        let frames = core.frames(now, Duration::from_millis(8));
        for order in orders {
            self.send_order(agent, incarnation, order);
        }
        for (link, notice) in crashes {
            self.send_crashes(link, &id, notice);
        }
        for (link, frame) in frames {
            self.send_to_entry(link, &id, frame);
        }
    }
}
