//! Start, end, suspension and graceful shutdown of processes.

use super::*;

impl World {
    /// Starts an entry, unless one runs at the host.
    pub fn start_entry(&mut self, index: usize) {
        if self.entries[index].process.is_some() {
            return;
        }
        // Shorter than the defaults, so that snapshots and the removal of agents fall into a case.
        let limits = Limits {
            snapshot_age: Duration::from_secs(3),
            snapshot_records: 20,
            agent_gone_after: Duration::from_secs(6),
            ..Limits::default()
        };
        let incarnation = self.random.u64(1..);
        let rule = MostFree::new(self.random.u64(..));
        let seeds = self.entries.iter().map(|host| host.address).collect();
        let host = &mut self.entries[index];
        let identity = EntryIdentity {
            incarnation,
            name: format!("entry-{index}").into(),
            address: host.address,
            zone: format!("zone-{index}").into(),
        };
        let clock = Arc::clone(&self.clock);
        host.process = Some(Entry::new(clock, identity, Arc::new(limits), seeds, vec![rule]));
        host.start_count += 1;
        host.suspended_since = None;
        host.is_leaving = false;
        host.work_finished_since = None;
        host.running_since = self.now;
        host.settings_offset = 0;
    }

    /// Starts an agent, unless one runs at the host.
    pub fn start_agent(&mut self, index: usize) {
        if self.agents[index].process.is_some() {
            return;
        }
        let mut incarnation = self.random.u64(1..);
        let entries = self.entries.iter().map(|host| host.address).collect();
        let host = &mut self.agents[index];
        if self.defect == Some(Defect::SameIncarnation) && host.start_count > 0 {
            incarnation = host.incarnation;
        }
        host.incarnation = incarnation;
        let description = AgentDescription {
            name: host.name.as_str().into(),
            address: host.address,
            zone: format!("zone-{index}").into(),
            service: "listing".into(),
            slots: SLOTS,
            previous_incarnations: Vec::new(),
        };
        let limits = Arc::new(Limits::default());
        let now = self.clock.now();
        host.process = Some(Agent::new(incarnation, description, limits, entries, now));
        host.start_count += 1;
        host.suspended_since = None;
        host.leaving_since = None;
        host.idle_since = None;
    }

    /// Ends an entry without a graceful shutdown.
    pub fn kill_entry(&mut self, index: usize) {
        self.end_entry(index);
    }

    /// Ends an agent without a graceful shutdown.
    pub fn kill_agent(&mut self, index: usize) {
        self.agents[index].process = None;
        self.agents[index].held_envelopes.clear();
        self.agents[index].held_completions.clear();
    }

    /// Suspends an entry; messages and calls to it are held until it is resumed.
    pub fn suspend_entry(&mut self, index: usize) {
        let now = self.now;
        self.entries[index].suspended_since.get_or_insert(now);
    }

    /// Suspends an agent; messages and completions are held until it is resumed.
    pub fn suspend_agent(&mut self, index: usize) {
        let now = self.now;
        self.agents[index].suspended_since.get_or_insert(now);
    }

    /// Resumes a suspended entry and delivers what was held.
    pub fn resume_entry(&mut self, index: usize) {
        let Some(since) = self.entries[index].suspended_since.take() else { return };
        let suspended_time = self.now - since;
        let start_count = self.entries[index].start_count;
        for (&(host, ticket_start_count, _), &call) in &self.submit_calls_by_ticket {
            if host == index && ticket_start_count == start_count {
                self.oracle.submit_calls[call].suspended_time += suspended_time;
            }
        }
        self.entries[index].running_since = self.now;
        for call in std::mem::take(&mut self.entries[index].held_calls) {
            self.call_entry(index, call);
        }
        for envelope in std::mem::take(&mut self.entries[index].held_envelopes) {
            let to = self.entries[index].address;
            self.deliver(Delivery { to, envelope });
        }
    }

    /// Resumes a suspended agent and delivers what was held.
    pub fn resume_agent(&mut self, index: usize) {
        self.agents[index].suspended_since = None;
        for completion in std::mem::take(&mut self.agents[index].held_completions) {
            self.complete_task(completion);
        }
        for envelope in std::mem::take(&mut self.agents[index].held_envelopes) {
            let to = self.agents[index].address;
            self.deliver(Delivery { to, envelope });
        }
    }

    /// Starts a graceful shutdown of an entry.
    pub fn leave_entry(&mut self, index: usize) {
        if let Some(entry) = &self.entries[index].process {
            entry.begin_shutdown();
            self.entries[index].is_leaving = true;
        }
    }

    /// Starts a graceful shutdown of an agent.
    pub fn leave_agent(&mut self, index: usize) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let Some(agent) = &mut self.agents[index].process else { return };
        if self.defect != Some(Defect::LeaveUnannounced) {
            agent.begin_shutdown(now, &mut effects);
        }
        self.agents[index].leaving_since.get_or_insert(self.now);
        self.execute_for_agent(index, effects);
    }

    /// Ends an entry and marks its unanswered calls as lost.
    pub(super) fn end_entry(&mut self, index: usize) {
        let host = &mut self.entries[index];
        host.process = None;
        host.held_envelopes.clear();
        host.held_calls.clear();
        let start_count = host.start_count;
        for (&(host, ticket_start_count, _), &call) in &self.submit_calls_by_ticket {
            let call = &mut self.oracle.submit_calls[call];
            if host == index && ticket_start_count == start_count && call.answer.is_none() {
                call.is_lost = true;
            }
        }
    }

    /// Ends a leaving entry [`EXIT_DELAY`] after it drained, and checks that no call is lost.
    pub(super) fn exit_if_drained(&mut self, index: usize) {
        let host = &mut self.entries[index];
        let Some(entry) = host.process.as_ref().filter(|_| host.is_leaving) else { return };
        let is_work_finished = entry.can_exit();
        host.work_finished_since =
            is_work_finished.then(|| host.work_finished_since.unwrap_or(self.now));
        let may_exit = host.work_finished_since.is_some_and(|since| self.now >= since + EXIT_DELAY);
        if !may_exit && self.defect != Some(Defect::ExitAtOnce) {
            return;
        }
        let start_count = host.start_count;
        self.end_entry(index);
        for (&(host, ticket_start_count, _), &call) in &self.submit_calls_by_ticket {
            let is_own = host == index && ticket_start_count == start_count;
            if is_own && self.oracle.submit_calls[call].is_lost {
                let text =
                    format!("leaving entry {index} exited without answering submit call {call}");
                self.oracle.violations.push(text);
            }
        }
    }
}
