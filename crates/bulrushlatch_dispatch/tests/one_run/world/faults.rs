//! Injection of faults.

use super::*;

/// Tasks that fit into a target that has shrunk.
const SHRUNK_SLOTS: usize = 4;

impl World {
    pub(super) fn begin_fault(&mut self, fault: InjectedFault) {
        let (entry, agent) = (fault.entry % self.entries.len(), fault.agent % AGENTS);
        let peer = (entry + 1 + fault.agent % (self.entries.len() - 1)) % self.entries.len();
        let end_ms = self.now_ms + fault.duration_ms;
        match fault.kind {
            Fault::KillEntry => {
                self.close_links(|link| link.entry == entry);
                self.close_peer_links(|link| link.entries.contains(&entry));
                self.record_last_life(entry);
                self.entries[entry].core = None;
                self.disconnect_callers(entry);
                self.after(fault.duration_ms, Event::Restart { agent: None, entry: Some(entry) });
            }
            Fault::FreezeEntry => {
                self.record_last_life(entry);
                let process = &mut self.entries[entry];
                process.suspended_ms +=
                    end_ms.saturating_sub(process.suspended_until_ms.max(self.now_ms));
                process.suspended_until_ms = process.suspended_until_ms.max(end_ms);
                self.disconnect_some_callers(entry);
            }
            Fault::KillAgent => {
                self.close_links(|link| link.agent == agent);
                self.agents[agent].core = None;
                self.after(fault.duration_ms, Event::Restart { agent: Some(agent), entry: None });
            }
            Fault::FreezeAgent => {
                let process = &mut self.agents[agent];
                process.suspended_until_ms = process.suspended_until_ms.max(end_ms);
            }
            Fault::CutLink => {
                self.cut_links.insert((entry, agent), end_ms);
            }
            Fault::SilenceLink => {
                let links = self.links.iter_mut();
                for link in links.filter(|link| link.entry == entry && link.agent == agent) {
                    link.is_silent = true;
                }
            }
            Fault::ResetLink => self.close_links(|link| link.entry == entry && link.agent == agent),
            Fault::LateOrders => {
                self.late_targets.insert(agent, end_ms);
            }
            Fault::SilentTarget => {
                self.silent_targets.insert(agent, end_ms);
            }
            Fault::UnansweredOrders => {
                self.unanswered_targets.insert(agent, end_ms);
            }
            Fault::LostStops => {
                self.lost_stops.insert(agent, end_ms);
            }
            Fault::CutPeers => {
                self.cut_peers.insert((entry.min(peer), entry.max(peer)), end_ms);
            }
            Fault::SilencePeers => {
                let links = self.peer_links.iter_mut();
                for link in links.filter(|link| link.connects(entry, peer)) {
                    link.is_silent = true;
                }
            }
            Fault::ResetPeers => self.close_peer_links(|link| link.connects(entry, peer)),
            Fault::KillTarget => self.replace_target(agent),
            Fault::FailingTarget => self.targets[agent].fails = true,
            Fault::StuckTarget => self.targets[agent].is_stuck = true,
            Fault::LeaveTarget => self.targets[agent].is_leaving = true,
            Fault::ShrinkTarget => self.targets[agent].resize(self.now_ms, SHRUNK_SLOTS),
        }
        self.after(fault.duration_ms, Event::EndFault(fault));
    }

    pub(super) fn replace_target(&mut self, agent: usize) {
        let mut target = self.new_target(agent);
        std::mem::swap(&mut target, &mut self.targets[agent]);
        target.crash(&mut self.oracle);
    }

    pub(super) fn end_fault(&mut self, fault: InjectedFault) {
        let agent = fault.agent % AGENTS;
        match fault.kind {
            Fault::FailingTarget => self.targets[agent].fails = false,
            Fault::StuckTarget => self.targets[agent].is_stuck = false,
            Fault::LeaveTarget => self.replace_target(agent),
            Fault::ShrinkTarget => self.targets[agent].resize(self.now_ms, SLOTS),
            _ => {}
        }
    }

    /// Returns when the process that receives the event resumes, if it is suspended.
    pub(super) fn suspended_until(&self, event: &Event) -> Option<u64> {
        let until_ms = match event {
            Event::EntryFrame { entry, .. }
            | Event::CrashNotice { entry, .. }
            | Event::IsolationNotice { entry, .. }
            | Event::EntryLinkDown { entry, .. }
            | Event::EntryLinkUp { entry, .. }
            | Event::CallerGone { entry, .. }
            | Event::PeerFrame { entry, .. }
            | Event::PeerUp { entry, .. }
            | Event::PeerDown { entry, .. }
            | Event::TickEntry { entry, .. } => self.entries[*entry].suspended_until_ms,
            Event::AgentFrame { agent, .. }
            | Event::AgentIsolation { agent, .. }
            | Event::AgentLinkDown { agent, .. }
            | Event::AgentLinkUp { agent, .. }
            | Event::TickAgent { agent, .. }
            | Event::Started { agent, .. }
            | Event::Stopped { agent, .. }
            | Event::Polled { agent, .. } => self.agents[*agent].suspended_until_ms,
            _ => 0,
        };
        (until_ms > self.now_ms).then_some(until_ms)
    }
}
