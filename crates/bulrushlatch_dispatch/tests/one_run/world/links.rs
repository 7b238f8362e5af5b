//! Links between agents and entries.

use super::*;

impl World {
    /// Returns when the network between an entry and an agent works again, if it is cut.
    pub(super) fn cut_until(&self, entry: usize, agent: usize) -> Option<u64> {
        self.cut_links.get(&(entry, agent)).copied().filter(|&end| self.now_ms < end)
    }

    pub(super) fn send_to_agent(&mut self, link: LinkId, entry: &ProcessId, frame: EntryFrame) {
        let frame = self.record_entry_frame(link, entry, frame);
        let Some((agent, at_ms)) = self.delivery(link, 1) else { return };
        let incarnation = self.agents[agent].id.incarnation;
        let entry = entry.clone();
        self.at(at_ms, Event::AgentFrame { agent, incarnation, link, entry, frame });
    }

    pub(super) fn send_to_entry(&mut self, link: LinkId, agent: &ProcessId, frame: AgentFrame) {
        let Some((entry, at_ms)) = self.delivery(link, 0) else { return };
        let incarnation = self.entries[entry].id.incarnation;
        let agent = agent.clone();
        self.at(at_ms, Event::EntryFrame { entry, incarnation, link, agent, frame });
    }

    pub(super) fn send_crashes(&mut self, link: LinkId, agent: &ProcessId, notice: CrashNotice) {
        let Some((entry, at_ms)) = self.delivery(link, 0) else { return };
        let incarnation = self.entries[entry].id.incarnation;
        let agent = agent.clone();
        self.at(at_ms, Event::CrashNotice { entry, incarnation, agent, notice });
    }

    pub(super) fn send_agent_isolation(&mut self, link: LinkId, notice: IsolationNotice) {
        let Some((agent, at_ms)) = self.delivery(link, 1) else { return };
        let incarnation = self.agents[agent].id.incarnation;
        self.at(at_ms, Event::AgentIsolation { agent, incarnation, notice });
    }

    /// Returns the receiver of a frame and the time of arrival, or `None` if the frame is lost.
    /// `direction` is 0 for frames to the entry and 1 for frames to the agent.
    pub(super) fn delivery(&mut self, link: LinkId, direction: usize) -> Option<(usize, u64)> {
        let index = self.links.iter().position(|open| open.id == link)?;
        let (entry, agent) = (self.links[index].entry, self.links[index].agent);
        if !self.links[index].is_up || self.links[index].is_silent {
            return None;
        }
        let from_ms = self.cut_until(entry, agent).unwrap_or(self.now_ms);
        let at_ms = from_ms + self.rng.u64(1..4);
        let link = &mut self.links[index];
        link.next_ms[direction] = link.next_ms[direction].max(at_ms);
        Some((if direction == 0 { entry } else { agent }, link.next_ms[direction]))
    }

    /// Opens the missing links of an agent.
    pub(super) fn dial(&mut self, agent: usize) {
        self.after(DIAL_MS, Event::Dial { agent });
        if self.agents[agent].core.is_none() || self.now_ms < self.agents[agent].suspended_until_ms
        {
            return;
        }
        self.close_silent_links(agent);
        for entry in 0..self.entries.len() {
            let has_link = self
                .links
                .iter()
                .any(|link| link.is_up && link.entry == entry && link.agent == agent);
            let is_running = self.entries[entry].core.is_some()
                && self.now_ms >= self.entries[entry].suspended_until_ms;
            if has_link || !is_running || self.cut_until(entry, agent).is_some() {
                continue;
            }
            let id = self.links.len() as LinkId + 1;
            let link = Link {
                id,
                entry,
                agent,
                is_up: true,
                is_silent: false,
                next_ms: [0, 0],
                stamp_ms: 0,
            };
            self.links.push(link);
            let (entry_id, agent_id) =
                (self.entries[entry].id.clone(), self.agents[agent].id.clone());
            let incarnation = entry_id.incarnation;
            self.at(
                self.now_ms + 1,
                Event::EntryLinkUp { entry, incarnation, link: id, agent: agent_id.clone() },
            );
            let incarnation = agent_id.incarnation;
            self.at(
                self.now_ms + 2,
                Event::AgentLinkUp { agent, incarnation, link: id, entry: entry_id },
            );
        }
    }

    /// Closes the links that the agent wants to replace.
    pub(super) fn close_silent_links(&mut self, agent: usize) {
        let now = self.clock();
        let Some(core) = &self.agents[agent].core else { return };
        for link in core.silent_links(now) {
            self.close_link(link);
        }
    }

    /// Closes a link. The agent notices; the entry does so only if the network connects them.
    pub(super) fn close_link(&mut self, id: LinkId) {
        let Some(index) = self.links.iter().position(|link| link.id == id && link.is_up) else {
            return;
        };
        self.links[index].is_up = false;
        let link = &self.links[index];
        let (entry, agent, is_silent) = (link.entry, link.agent, link.is_silent);
        let (entry_id, agent_id) = (self.entries[entry].id.clone(), self.agents[agent].id.clone());
        let incarnation = agent_id.incarnation;
        self.after(
            1,
            Event::AgentLinkDown { agent, incarnation, link: id, entry: entry_id.clone() },
        );
        if is_silent || self.cut_until(entry, agent).is_some() {
            return;
        }
        let incarnation = entry_id.incarnation;
        self.after(1, Event::EntryLinkDown { entry, incarnation, link: id, agent: agent_id });
    }

    pub(super) fn close_links(&mut self, is_closed: impl Fn(&Link) -> bool) {
        let ids: Vec<LinkId> = self
            .links
            .iter()
            .filter(|link| link.is_up && is_closed(link))
            .map(|link| link.id)
            .collect();
        for id in ids {
            self.close_link(id);
        }
    }
}
