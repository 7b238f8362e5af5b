//! Links between entries, and jobs that entries delegate to each other.

use super::{jobs::route_of, *};

/// Busy share above which entries delegate jobs. It is low, so that delegates accept jobs while they
/// delegate others.
pub(super) const BUSY_THRESHOLD: f64 = 0.3;
/// Busy share of an entry while it is loaded, and while it is not.
const BUSY_SHARES: [f64; 2] = [0.6, 0.1];
/// Time after which an entry's load changes.
const LOAD_PHASE_MS: u64 = 900;
/// Time after which an entry closes a link on which nothing arrives.
const SILENCE_LIMIT_MS: u64 = 1_500;
/// Interval at which entries tell each other what they offer.
const ADVERTISEMENT_MS: u64 = 300;

/// Interval at which the echoes are checked: short against the age of an echo that is too new.
const CHECK_INTERVAL_MS: u64 = 5;

/// A link between two entries.
pub(super) struct PeerLink {
    id: LinkId,
    pub entries: [usize; 2],
    incarnations: [u64; 2],
    is_up: bool,
    pub is_silent: bool,
    /// Earliest delivery of the next frame to each end, so that frames stay in order.
    next_ms: [u64; 2],
    received_ms: [u64; 2],
}

impl PeerLink {
    pub(super) fn connects(&self, entry: usize, peer: usize) -> bool {
        self.entries.contains(&entry) && self.entries.contains(&peer)
    }
}

/// Checks that agents are not told that an origin lives which does not.
#[derive(Debug, Default)]
pub(super) struct EchoCheck {
    /// The last start order for a task that each agent got.
    starters: BTreeMap<(usize, TaskKey), Starter>,
    /// The entry, with its incarnation, that has delegated a job.
    origins: BTreeMap<JobId, (usize, u64)>,
    /// Newest stamp that each incarnation of an entry has echoed to each incarnation of an agent.
    echoes: BTreeMap<(u64, u64), u64>,
    /// When each incarnation of an entry died or was last suspended.
    last_life_ms: BTreeMap<u64, u64>,
}

/// Who ordered a start, and whom: an agent that has been restarted does not track the run, so that what
/// it is told does not keep the run alive.
#[derive(Debug)]
struct Starter {
    entry: usize,
    entry_incarnation: u64,
    agent_incarnation: u64,
}

impl World {
    /// Ticks an entry, whose load depends on the time.
    pub(super) fn tick_entry(&mut self, entry: usize, incarnation: u64) {
        let phase = (self.now_ms / LOAD_PHASE_MS) as usize + entry;
        let tick = Duration::from_millis(TICK_MS);
        let busy = tick.mul_f64(BUSY_SHARES[phase % BUSY_SHARES.len()]);
        let advertises = self.is_delegating && self.now_ms % ADVERTISEMENT_MS < TICK_MS;
        let links: Vec<LinkId> = self.peer_links.iter().map(|link| link.id).collect();
        self.with_entry(entry, incarnation, |core, now| {
            core.record_processor_load(tick, busy, Duration::ZERO);
            core.tick(now);
            for link in links.into_iter().filter(|_| advertises) {
                core.advertise_to_peer(link);
            }
        });
    }

    /// Opens the missing links between entries, and closes silent ones.
    pub(super) fn dial_peers(&mut self) {
        self.after(DIAL_MS, Event::DialPeers);
        self.close_silent_peer_links();
        for first in 0..self.entries.len() {
            for second in first + 1..self.entries.len() {
                self.dial_peer([first, second]);
            }
        }
    }

    fn dial_peer(&mut self, entries: [usize; 2]) {
        let has_link = self.peer_links.iter().any(|link| link.is_up && link.entries == entries);
        let are_running = entries.iter().all(|&entry| {
            let process = &self.entries[entry];
            process.core.is_some() && self.now_ms >= process.suspended_until_ms
        });
        if has_link || !are_running || self.peers_cut_until(entries).is_some() {
            return;
        }
        let id = 1_000_000 + self.peer_links.len() as LinkId;
        let incarnations = entries.map(|entry| self.entries[entry].id.incarnation);
        let received_ms = [self.now_ms; 2];
        let (is_up, is_silent, next_ms) = (true, false, [0, 0]);
        let link = PeerLink { id, entries, incarnations, is_up, is_silent, next_ms, received_ms };
        self.peer_links.push(link);
        for end in 0..2 {
            let peer = self.entries[entries[1 - end]].id.clone();
            let (entry, incarnation) = (entries[end], incarnations[end]);
            self.after(1, Event::PeerUp { entry, incarnation, link: id, peer });
        }
    }

    fn close_silent_peer_links(&mut self) {
        let now_ms = self.now_ms;
        let silent = self.peer_links.iter().filter(|link| link.is_up);
        let silent = silent.filter_map(|link| {
            let end = (0..2).find(|&end| {
                let resumed_ms = self.entries[link.entries[end]].suspended_until_ms;
                now_ms > link.received_ms[end].max(resumed_ms) + SILENCE_LIMIT_MS
            })?;
            Some((link.id, link.entries[end]))
        });
        for (link, entry) in silent.collect::<Vec<_>>() {
            self.close_peer_link(link, Some(entry));
        }
    }

    /// Returns when the network between two entries works again, if it is cut.
    fn peers_cut_until(&self, entries: [usize; 2]) -> Option<u64> {
        let key = (entries[0].min(entries[1]), entries[0].max(entries[1]));
        self.cut_peers.get(&key).copied().filter(|&end| self.now_ms < end)
    }

    pub(super) fn send_to_peer(&mut self, sender: usize, link: LinkId, frame: DelegationFrame) {
        let Some(index) = self.peer_links.iter().position(|open| open.id == link) else { return };
        let open = &self.peer_links[index];
        if !open.is_up || open.is_silent {
            return;
        }
        let end = usize::from(open.entries[0] == sender);
        let from_ms = self.peers_cut_until(open.entries).unwrap_or(self.now_ms);
        let at_ms = from_ms + self.rng.u64(1..4);
        let open = &mut self.peer_links[index];
        open.next_ms[end] = open.next_ms[end].max(at_ms);
        let (entry, incarnation) = (open.entries[end], open.incarnations[end]);
        let at_ms = open.next_ms[end];
        self.at(at_ms, Event::PeerFrame { entry, incarnation, link, frame });
    }

    /// Sends what an entry isolates to all others that it reaches.
    pub(super) fn send_isolation(&mut self, from: usize, notice: &IsolationNotice) {
        for entry in 0..self.entries.len() {
            if entry == from || self.peers_cut_until([entry, from]).is_some() {
                continue;
            }
            let incarnation = self.entries[entry].id.incarnation;
            let notice = notice.clone();
            let delay_ms = self.rng.u64(1..4);
            let event = Event::IsolationNotice { entry, incarnation, from, notice };
            self.after(delay_ms, event);
        }
    }

    pub(super) fn receive_from_peer(
        &mut self,
        entry: usize,
        incarnation: u64,
        link: LinkId,
        mut frame: DelegationFrame,
    ) {
        let now_ms = self.now_ms;
        if let Some(open) = self.peer_links.iter_mut().find(|open| open.id == link) {
            open.received_ms[usize::from(open.entries[1] == entry)] = now_ms;
        }
        if self.defect == Some(Defect::NoLivenessProof) && frame.wants_reply {
            frame.stamp_echo_ms = now_ms;
            self.forge_proof(entry, incarnation, link, &frame);
        }
        let mut jobs = Vec::new();
        self.with_entry(entry, incarnation, |core, now| {
            jobs = core.receive_delegation(now, link, frame);
        });
        for job in jobs {
            let number: usize = job.body.parse().expect("the body is the job's number");
            let request = self.request(number);
            let remaining = job.remaining_ms.map(Duration::from_millis);
            let route = Arc::new(route_of(number));
            self.with_entry(entry, incarnation, |core, now| {
                core.submit_delegated(now, link, job.number, route, request, remaining);
            });
        }
    }

    /// Repeats a frame without its content after a while, as if its sender were still alive.
    fn forge_proof(
        &mut self,
        entry: usize,
        incarnation: u64,
        link: LinkId,
        frame: &DelegationFrame,
    ) {
        let is_open = self.peer_links.iter().any(|open| open.id == link && open.is_up);
        let frame = DelegationFrame {
            stamp_ms: frame.stamp_ms,
            wants_reply: true,
            max_jobs_per_s: frame.max_jobs_per_s,
            ..DelegationFrame::default()
        };
        // One in two is enough: each repetition is repeated in turn, besides what the sender sends.
        if is_open && self.rng.bool() {
            self.after(50, Event::PeerFrame { entry, incarnation, link, frame });
        }
    }

    /// Closes a link between entries. `closer` notices at once; the others do so only if the network
    /// connects them, or else when the link has been silent.
    pub(super) fn close_peer_link(&mut self, id: LinkId, closer: Option<usize>) {
        let Some(index) = self.peer_links.iter().position(|link| link.id == id && link.is_up)
        else {
            return;
        };
        self.peer_links[index].is_up = false;
        let link = &self.peer_links[index];
        let (entries, incarnations) = (link.entries, link.incarnations);
        let is_silent = link.is_silent || self.peers_cut_until(entries).is_some();
        for end in 0..2 {
            let (entry, incarnation) = (entries[end], incarnations[end]);
            let notices = !is_silent || closer == Some(entry);
            let delay_ms = if notices { 1 } else { SILENCE_LIMIT_MS };
            self.after(delay_ms, Event::PeerDown { entry, incarnation, link: id });
        }
    }

    pub(super) fn close_peer_links(&mut self, is_closed: impl Fn(&PeerLink) -> bool) {
        let closed = self.peer_links.iter().filter(|link| link.is_up && is_closed(link));
        for id in closed.map(|link| link.id).collect::<Vec<_>>() {
            self.close_peer_link(id, None);
        }
    }

    /// Has an entry delegate a job, if it does; returns whether it does.
    pub(super) fn delegate(
        &mut self,
        entry: usize,
        incarnation: u64,
        caller: CallerId,
        number: usize,
    ) -> bool {
        let job = self.jobs[number].id.clone();
        let body = number.to_string();
        let remaining_time = Some(self.remaining_time(number));
        let mut is_delegated = false;
        self.with_entry(entry, incarnation, |core, now| {
            let (host, path) = ("host", "/jobs/id");
            let request = DelegableRequest { job: &job, host, path, body: &body, remaining_time };
            is_delegated = core.delegate(now, caller, &request);
        });
        if is_delegated {
            self.summary.delegated += 1;
            self.echo_check.origins.insert(job, (entry, incarnation));
        } else {
            self.echo_check.origins.remove(&job);
        }
        is_delegated
    }

    /// Returns whether the last submission of a job was delegated.
    pub(super) fn is_delegated(&self, job: &JobId) -> bool {
        self.echo_check.origins.contains_key(job)
    }

    /// Handles the outcome of a delegated job.
    pub(super) fn handle_outcome(
        &mut self,
        entry: usize,
        caller: CallerId,
        outcome: DelegatedOutcome,
    ) {
        match outcome {
            DelegatedOutcome::Answered(answer) => self.handle_answer(caller, answer),
            DelegatedOutcome::NotTaken => {
                let Some(&number) = self.callers.get(&caller) else { return };
                self.echo_check.origins.remove(&self.jobs[number].id);
                let incarnation = self.entries[entry].id.incarnation;
                self.submit_at(entry, incarnation, caller, number);
            }
        }
    }

    /// Records a stamp that has arrived at an entry.
    pub(super) fn record_stamp(&mut self, link: LinkId, stamp_ms: u64) {
        if let Some(open) = self.links.iter_mut().find(|open| open.id == link) {
            open.stamp_ms = stamp_ms;
        }
    }

    /// Records what an entry tells an agent.
    pub(super) fn record_entry_frame(
        &mut self,
        link: LinkId,
        entry: &ProcessId,
        mut frame: EntryFrame,
    ) -> EntryFrame {
        let Some(open) = self.links.iter().find(|open| open.id == link) else { return frame };
        if self.defect == Some(Defect::UnboundEchoes) {
            frame.stamp_echo_ms = open.stamp_ms;
        }
        let check = &mut self.echo_check;
        let agent_incarnation = self.agents[open.agent].id.incarnation;
        let echo = check.echoes.entry((entry.incarnation, agent_incarnation)).or_default();
        *echo = (*echo).max(frame.stamp_echo_ms);
        for order in &frame.orders {
            if let Action::Start(start) = &order.action {
                let starter = Starter {
                    entry: open.entry,
                    entry_incarnation: entry.incarnation,
                    agent_incarnation,
                };
                check.starters.insert((open.agent, start.task.clone()), starter);
            }
        }
        frame
    }

    /// Records that an entry dies or is suspended now.
    pub(super) fn record_last_life(&mut self, entry: usize) {
        let process = &self.entries[entry];
        if process.core.is_some() && self.now_ms >= process.suspended_until_ms {
            self.echo_check.last_life_ms.insert(process.id.incarnation, self.now_ms);
        }
    }

    /// Checks for each run of a delegated job, whose origin is dead or suspended, that the agent was
    /// told of no life of the delegate after that.
    pub(super) fn check_echoes(&mut self) {
        if !self.now_ms.is_multiple_of(CHECK_INTERVAL_MS) {
            return;
        }
        for (task, agent) in self.oracle.running() {
            let check = &self.echo_check;
            let Some(starter) = check.starters.get(&(agent, task.clone())) else { continue };
            let Some(&(origin, incarnation)) = check.origins.get(&task.job) else { continue };
            let process = &self.entries[origin];
            let is_alive = process.id.incarnation == incarnation
                && process.core.is_some()
                && self.now_ms >= process.suspended_until_ms;
            if is_alive || origin == starter.entry {
                continue;
            }
            let last_life_ms = check.last_life_ms.get(&incarnation).copied().unwrap_or(u64::MAX);
            let link = (starter.entry_incarnation, starter.agent_incarnation);
            let echo_ms = check.echoes.get(&link).copied().unwrap_or(0);
            if echo_ms > last_life_ms {
                let violation = format!(
                    "{} ms: {task} runs at {agent} with an echo of {echo_ms}, its origin lived until {last_life_ms}",
                    self.now_ms
                );
                self.oracle.record_violation(violation);
                return;
            }
        }
    }
}
