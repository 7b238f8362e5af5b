//! Demand that entries state to an agent, and its sum as told to each of them.

use std::collections::BTreeMap;

use crate::{
    clock::BootTime,
    demand::{
        self, ClassDemand, DEMAND_LIFETIME, DEMAND_RENEWAL, DemandStatement, DemandSummary,
        MIN_DEMAND_INTERVAL,
    },
    frame::DEMAND_FRAME_VERSION,
    ids::{LinkId, ProcessId},
};

use super::Agent;

/// Newest statement of one entry, and the last summary sent to it.
#[derive(Debug)]
struct StatedDemand {
    statement: DemandStatement,
    received_at: BootTime,
    summary: DemandSummary,
    /// When `summary` was sent; `None` if none was sent.
    summary_sent_at: Option<BootTime>,
}

/// Newest statements of the entries that use an agent.
#[derive(Debug, Default)]
pub struct DemandTable {
    entries: BTreeMap<ProcessId, StatedDemand>,
    /// Sum of all statements, in ascending order of priority numbers; no class is zero.
    sum: Vec<ClassDemand>,
}

impl DemandTable {
    /// Returns the number of entries whose statements are counted.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no statement is counted.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Replaces an entry's statement, and that of its earlier incarnations.
    pub fn record(&mut self, now: BootTime, entry: &ProcessId, statement: DemandStatement) {
        if let Some(stated) = self.entries.get_mut(entry) {
            stated.received_at = now;
            if stated.statement == statement {
                return;
            }
            stated.statement = statement;
        } else {
            self.entries.retain(|other, _| other.name != entry.name);
            let stated = StatedDemand {
                statement,
                received_at: now,
                summary: DemandSummary::default(),
                summary_sent_at: None,
            };
            self.entries.insert(entry.clone(), stated);
        }
        self.update_sum();
    }

    /// Removes statements that have expired.
    pub fn expire(&mut self, now: BootTime) {
        let before = self.entries.len();
        let is_fresh = |at: BootTime| now.saturating_sub(at) <= DEMAND_LIFETIME;
        self.entries.retain(|_, stated| is_fresh(stated.received_at));
        if self.entries.len() != before {
            self.update_sum();
        }
    }

    /// Returns the summary to send to an entry now, if one is due. An entry that states no demand
    /// gets none.
    pub fn due_summary(
        &mut self,
        now: BootTime,
        entry: &ProcessId,
        total_cpu_millis: u64,
    ) -> Option<DemandSummary> {
        let others = self.entries.len().saturating_sub(1) as u32;
        let stated = self.entries.get_mut(entry)?;
        let sent_ago = stated.summary_sent_at.map(|at| now.saturating_sub(at));
        if sent_ago.is_some_and(|ago| ago < MIN_DEMAND_INTERVAL) {
            return None;
        }
        let own = &stated.statement.classes;
        let classes = others_demand(&self.sum, own, demand::max_cpu_millis(total_cpu_millis));
        let is_unchanged = stated.summary.entries == others && {
            let sent = stated.summary.classes.iter().copied();
            !demand::differs_noticeably(sent, classes.clone(), total_cpu_millis)
        };
        if is_unchanged && sent_ago.is_some_and(|ago| ago < DEMAND_RENEWAL) {
            return None;
        }
        let mut classes: Vec<ClassDemand> = classes.collect();
        demand::limit_classes(&mut classes);
        stated.summary = DemandSummary { entries: others, classes };
        stated.summary_sent_at = Some(now);
        Some(stated.summary.clone())
    }

    /// Makes the next frame to an entry carry a summary, after a frame may have been lost.
    pub fn resend_summary(&mut self, entry: &ProcessId) {
        if let Some(stated) = self.entries.get_mut(entry) {
            stated.summary_sent_at = None;
        }
    }

    fn update_sum(&mut self) {
        self.sum.clear();
        for class in self.entries.values().flat_map(|stated| &stated.statement.classes) {
            match self.sum.binary_search_by_key(&class.priority, |sum| sum.priority) {
                Ok(index) => self.sum[index].add(class),
                Err(index) => self.sum.insert(index, *class),
            }
        }
        self.sum.retain(|class| class.cpu_millis() > 0);
    }
}

/// Returns the classes of `sum` without `own`, each value at most `limit`.
fn others_demand<'a>(
    sum: &'a [ClassDemand],
    own: &'a [ClassDemand],
    limit: u64,
) -> impl Iterator<Item = ClassDemand> + Clone + 'a {
    sum.iter().map(move |class| {
        let own = own.iter().find(|own| own.priority == class.priority);
        let own = own.copied().unwrap_or_default();
        let without = |all: u64, own: u64| all.saturating_sub(own).min(limit);
        ClassDemand {
            priority: class.priority,
            offered_cpu_millis: without(class.offered_cpu_millis, own.offered_cpu_millis),
            waiting_cpu_millis: without(class.waiting_cpu_millis, own.waiting_cpu_millis),
        }
    })
}

impl Agent {
    /// Sets whether this agent keeps entries' demand and sends summaries of it.
    pub fn set_demand_exchange(&mut self, is_on: bool) {
        self.is_demand_exchanged = is_on;
    }

    /// Handles an entry's statement of demand.
    ///
    /// Ignores one from a link that has been replaced, and drops an invalid one.
    pub fn receive_demand(
        &mut self,
        now: BootTime,
        entry: &ProcessId,
        link: LinkId,
        statement: DemandStatement,
    ) {
        let is_known = self.sessions.get(entry).is_some_and(|session| session.link == Some(link));
        let total_cpu_millis = self.total_cpu_millis();
        if !self.is_demand_exchanged || !is_known || total_cpu_millis == 0 {
            return;
        }
        if !statement.is_valid(total_cpu_millis) {
            self.counters.invalid_demand += 1;
            let invalid = self.counters.invalid_demand;
            if demand::is_invalid_logged(invalid) {
                tracing::info!(%entry, link, invalid, "invalid statement of demand dropped");
            }
            return;
        }
        self.counters.demand_statements += 1;
        self.demand.record(now, entry, statement);
    }

    /// Removes and returns the summaries that go with the frames which were returned last.
    pub fn take_demand_summaries(&mut self) -> Vec<(LinkId, DemandSummary)> {
        std::mem::take(&mut self.demand_summaries)
    }

    /// Returns the number of entries whose demand is known here.
    pub fn demand_entries(&self) -> usize {
        self.demand.len()
    }

    /// Adds the summaries that are due on links on which `frames` are about to be sent.
    ///
    /// The frames are in the order of the sessions.
    pub(super) fn summarize_demand<T>(&mut self, now: BootTime, frames: &[(LinkId, T)]) {
        if frames.is_empty() || self.demand.is_empty() {
            return;
        }
        self.demand.expire(now);
        let total_cpu_millis = self.total_cpu_millis();
        let mut sending = frames.iter().map(|(link, _)| *link).peekable();
        for (entry, session) in &self.sessions {
            let Some(link) = session.link else { continue };
            if sending.next_if_eq(&link).is_none() || session.version < DEMAND_FRAME_VERSION {
                continue;
            }
            if let Some(summary) = self.demand.due_summary(now, entry, total_cpu_millis) {
                self.counters.demand_summaries += 1;
                self.demand_summaries.push((link, summary));
            }
        }
    }

    fn total_cpu_millis(&self) -> u64 {
        self.target.as_ref().map_or(0, |target| target.announcement.capacity.cpu_millis)
    }
}
