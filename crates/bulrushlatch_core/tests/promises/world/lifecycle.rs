//! Starting, ending, freezing and draining processes.

use super::*;

impl World {
    /// Starts a new entry in a slot whose entry ended.
    pub fn start_entry(&mut self, index: usize) {
        if self.entries[index].process.is_some() {
            return;
        }
        let limits = Limits {
            snapshot_age: Duration::from_secs(3),
            snapshot_records: 20,
            agent_gone: Duration::from_secs(6),
            ..Limits::default()
        };
        let incarnation = self.random.u64(1..);
        let rule = MostFree::new(self.random.u64(..));
        let seeds = self.entries.iter().map(|slot| slot.address).collect();
        let slot = &mut self.entries[index];
        let identity = EntryIdentity {
            incarnation,
            name: format!("entry-{index}").into(),
            address: slot.address,
            zone: format!("zone-{index}").into(),
        };
        let clock = Arc::clone(&self.clock);
        slot.process = Some(Entry::new(clock, identity, Arc::new(limits), seeds, vec![rule]));
        slot.life += 1;
        slot.frozen_since = None;
        slot.leaving = false;
        slot.drained_since = None;
        slot.followed_since = self.now;
        slot.settings_offset = 0;
    }

    /// Starts a new agent in a slot whose agent ended.
    pub fn start_agent(&mut self, index: usize) {
        if self.agents[index].process.is_some() {
            return;
        }
        let mut incarnation = self.random.u64(1..);
        let entries = self.entries.iter().map(|slot| slot.address).collect();
        let slot = &mut self.agents[index];
        if self.sabotage == Some(Sabotage::SameIncarnation) && slot.life > 0 {
            incarnation = slot.first_incarnation;
        }
        slot.first_incarnation = incarnation;
        let description = AgentDescription {
            name: slot.name.as_str().into(),
            address: slot.address,
            zone: format!("zone-{index}").into(),
            service: "listing".into(),
            slots: SLOTS,
            previous_incarnations: Vec::new(),
        };
        let limits = Arc::new(Limits::default());
        let now = self.clock.now();
        slot.process = Some(Agent::new(incarnation, description, limits, entries, now));
        slot.life += 1;
        slot.frozen_since = None;
        slot.leaving_since = None;
        slot.idle_since = None;
    }

    /// Ends an entry at once.
    pub fn kill_entry(&mut self, index: usize) {
        self.end_entry(index);
    }

    /// Ends an agent at once.
    pub fn kill_agent(&mut self, index: usize) {
        self.agents[index].process = None;
        self.agents[index].held.clear();
        self.agents[index].held_ends.clear();
    }

    /// Stops an entry from doing anything.
    pub fn freeze_entry(&mut self, index: usize) {
        let now = self.now;
        self.entries[index].frozen_since.get_or_insert(now);
    }

    /// Stops an agent from doing anything.
    pub fn freeze_agent(&mut self, index: usize) {
        let now = self.now;
        self.agents[index].frozen_since.get_or_insert(now);
    }

    /// Lets a frozen entry go on.
    pub fn thaw_entry(&mut self, index: usize) {
        let Some(since) = self.entries[index].frozen_since.take() else { return };
        let frozen = self.now - since;
        let life = self.entries[index].life;
        for (&(slot, ticket_life, _), &attempt) in &self.tickets {
            if slot == index && ticket_life == life {
                self.oracle.attempts[attempt].frozen += frozen;
            }
        }
        self.entries[index].followed_since = self.now;
        for call in std::mem::take(&mut self.entries[index].held_calls) {
            self.call_entry(index, call);
        }
        for envelope in std::mem::take(&mut self.entries[index].held) {
            let to = self.entries[index].address;
            self.deliver(Delivery { to, envelope });
        }
    }

    /// Lets a frozen agent go on.
    pub fn thaw_agent(&mut self, index: usize) {
        self.agents[index].frozen_since = None;
        for end in std::mem::take(&mut self.agents[index].held_ends) {
            self.end_task(end);
        }
        for envelope in std::mem::take(&mut self.agents[index].held) {
            let to = self.agents[index].address;
            self.deliver(Delivery { to, envelope });
        }
    }

    /// Asks an entry to shut down in order.
    pub fn leave_entry(&mut self, index: usize) {
        if let Some(entry) = &self.entries[index].process {
            entry.begin_shutdown();
            self.entries[index].leaving = true;
        }
    }

    /// Asks an agent to shut down in order.
    pub fn leave_agent(&mut self, index: usize) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        let Some(agent) = &mut self.agents[index].process else { return };
        if self.sabotage != Some(Sabotage::LeaveUnannounced) {
            agent.begin_shutdown(now, &mut effects);
        }
        self.agents[index].leaving_since.get_or_insert(self.now);
        self.execute_for_agent(index, effects);
    }

    pub(super) fn end_entry(&mut self, index: usize) {
        let slot = &mut self.entries[index];
        slot.process = None;
        slot.held.clear();
        slot.held_calls.clear();
        let life = slot.life;
        for (&(slot, ticket_life, _), &attempt) in &self.tickets {
            let attempt = &mut self.oracle.attempts[attempt];
            if slot == index && ticket_life == life && attempt.answer.is_none() {
                attempt.is_lost = true;
            }
        }
    }

    pub(super) fn exit_if_drained(&mut self, index: usize) {
        let slot = &mut self.entries[index];
        let Some(entry) = slot.process.as_ref().filter(|_| slot.leaving) else { return };
        let is_drained = entry.is_drained();
        slot.drained_since = is_drained.then(|| slot.drained_since.unwrap_or(self.now));
        let is_over = slot.drained_since.is_some_and(|since| self.now >= since + LINGER);
        if !is_over && self.sabotage != Some(Sabotage::ExitAtOnce) {
            return;
        }
        let life = slot.life;
        self.end_entry(index);
        for (&(slot, ticket_life, _), &attempt) in &self.tickets {
            if slot == index && ticket_life == life && self.oracle.attempts[attempt].is_lost {
                let text = format!("a leaving entry cut off attempt {attempt}");
                self.oracle.violations.push(text);
            }
        }
    }
}
