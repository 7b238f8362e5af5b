//! Links between agents and entries.

use super::*;

impl World {
    pub(super) fn is_cut(&self, entry: usize, agent: usize) -> Option<u64> {
        self.cut.get(&(entry, agent)).copied().filter(|&end| self.now_ms < end)
    }

    pub(super) fn send_to_agent(&mut self, link: LinkId, entry: &ProcessId, frame: EntryFrame) {
        let Some((agent, at_ms)) = self.delivery(link, 1) else { return };
        let life = self.agents[agent].id.incarnation;
        let entry = entry.clone();
        self.at(at_ms, Event::AgentFrame { agent, life, link, entry, frame });
    }

    pub(super) fn send_to_entry(&mut self, link: LinkId, agent: &ProcessId, frame: AgentFrame) {
        let Some((entry, at_ms)) = self.delivery(link, 0) else { return };
        let life = self.entries[entry].id.incarnation;
        let agent = agent.clone();
        self.at(at_ms, Event::EntryFrame { entry, life, link, agent, frame });
    }

    /// Returns the receiver of a frame and when it arrives; none if it never does.
    pub(super) fn delivery(&mut self, link: LinkId, direction: usize) -> Option<(usize, u64)> {
        let index = self.links.iter().position(|it| it.id == link)?;
        let (entry, agent) = (self.links[index].entry, self.links[index].agent);
        if !self.links[index].is_up || self.links[index].is_silent {
            return None;
        }
        let from_ms = self.is_cut(entry, agent).unwrap_or(self.now_ms);
        let at_ms = from_ms + self.rng.u64(1..4);
        let link = &mut self.links[index];
        link.next_ms[direction] = link.next_ms[direction].max(at_ms);
        Some((if direction == 0 { entry } else { agent }, link.next_ms[direction]))
    }

    pub(super) fn dial(&mut self, agent: usize) {
        self.after(DIAL_MS, Event::Dial { agent });
        if self.agents[agent].core.is_none() || self.now_ms < self.agents[agent].frozen_until_ms {
            return;
        }
        self.drop_silent_links(agent);
        for entry in 0..ENTRIES {
            let has_link =
                self.links.iter().any(|it| it.is_up && it.entry == entry && it.agent == agent);
            let is_there = self.entries[entry].core.is_some()
                && self.now_ms >= self.entries[entry].frozen_until_ms;
            if has_link || !is_there || self.is_cut(entry, agent).is_some() {
                continue;
            }
            let id = self.links.len() as LinkId + 1;
            let link = Link { id, entry, agent, is_up: true, is_silent: false, next_ms: [0, 0] };
            self.links.push(link);
            let (entry_id, agent_id) =
                (self.entries[entry].id.clone(), self.agents[agent].id.clone());
            let life = entry_id.incarnation;
            self.at(
                self.now_ms + 1,
                Event::EntryLinkUp { entry, life, link: id, agent: agent_id.clone() },
            );
            let life = agent_id.incarnation;
            self.at(self.now_ms + 2, Event::AgentLinkUp { agent, life, link: id, entry: entry_id });
        }
    }

    pub(super) fn drop_silent_links(&mut self, agent: usize) {
        let now = self.clock();
        let Some(core) = &self.agents[agent].core else { return };
        for link in core.silent_links(now) {
            self.close_link(link);
        }
    }

    /// Closes a link; both sides notice unless the network keeps it from them.
    pub(super) fn close_link(&mut self, id: LinkId) {
        let Some(index) = self.links.iter().position(|it| it.id == id && it.is_up) else { return };
        self.links[index].is_up = false;
        let link = &self.links[index];
        let (entry, agent, is_silent) = (link.entry, link.agent, link.is_silent);
        let (entry_id, agent_id) = (self.entries[entry].id.clone(), self.agents[agent].id.clone());
        let life = agent_id.incarnation;
        self.after(1, Event::AgentLinkDown { agent, life, link: id, entry: entry_id.clone() });
        if is_silent || self.is_cut(entry, agent).is_some() {
            return;
        }
        let life = entry_id.incarnation;
        self.after(1, Event::EntryLinkDown { entry, life, link: id, agent: agent_id });
    }

    pub(super) fn close_links(&mut self, is_closed: impl Fn(&Link) -> bool) {
        let ids: Vec<LinkId> = self
            .links
            .iter()
            .filter(|link| link.is_up && is_closed(link))
            .map(|it| it.id)
            .collect();
        for id in ids {
            self.close_link(id);
        }
    }
}
