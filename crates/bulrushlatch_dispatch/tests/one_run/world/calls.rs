//! Calls to targets, and their announcements.

use super::*;

impl World {
    pub(super) fn order(&mut self, agent: usize, life: u64, order: TargetOrder) {
        match order {
            TargetOrder::Start(task) => {
                let now = self.clock();
                let core = self.agents[agent].core.as_mut();
                let Some(start) = core.and_then(|core| core.prepare_start(now, &task)) else {
                    return;
                };
                self.call(agent, life, Call::Start(start));
            }
            TargetOrder::Stop(stop) => self.call(agent, life, Call::Stop(stop)),
        }
    }

    /// Sends a call to the target; under faults it is not answered, and carried out late or never.
    pub(super) fn call(&mut self, agent: usize, life: u64, call: Call) {
        let is_silent = self.silent_targets.get(&agent).is_some_and(|&end| self.now_ms < end);
        let is_late_time = self.late_targets.get(&agent).is_some_and(|&end| self.now_ms < end);
        let is_late = is_late_time && self.rng.f64() < LATE_SHARE;
        if is_silent || is_late {
            if is_late {
                let is_lost_answer = self.rng.bool();
                let delay_ms = self.rng.u64(if is_lost_answer { 1..50 } else { 2_000..4_000 });
                let call = call.clone();
                self.after(delay_ms, Event::AtTarget { agent, life, call, answers: false });
            }
            self.no_answer(agent, life, call);
        } else {
            let delay_ms = self.rng.u64(0..3);
            self.after(delay_ms, Event::AtTarget { agent, life, call, answers: true });
        }
    }

    pub(super) fn no_answer(&mut self, agent: usize, life: u64, call: Call) {
        match call {
            Call::Start(start) => {
                let reply = match self.defect {
                    Some(Defect::UnansweredMeansNotStarted) => StartReply::Rejected,
                    _ => StartReply::NoAnswer,
                };
                let event = Event::Started { agent, life, start, reply, clock_ms: None };
                self.after(ORDER_PATIENCE_MS, event);
            }
            Call::Stop(_) => {}
            Call::Poll { id, asked_ms, repeats, .. } => {
                let look = Err(PollError::NoAnswer);
                self.after(
                    LOOK_PATIENCE_MS,
                    Event::Looked { agent, life, id, asked_ms, look, repeats },
                );
            }
        }
    }

    pub(super) fn at_target(&mut self, agent: usize, life: u64, call: Call, answers: bool) {
        let now_ms = self.now_ms;
        let lease_cap_ms = if self.defect == Some(Defect::LongLease) { 3_000 } else { 1_000 };
        let target = &mut self.targets[agent];
        let clock_ms = target.clock_ms(now_ms);
        match call {
            Call::Start(mut start) => {
                // What the target carries out late is its own doing.
                if answers && target.has_left(now_ms) {
                    let fault =
                        format!("{now_ms} ms: {} begins at a target that leaves", start.task);
                    self.oracle.note_fault(fault);
                }
                start.lease_until_ms = start.lease_until_ms.min(clock_ms + lease_cap_ms);
                let run_ms = start.payload.parse().unwrap_or(100);
                let reply = target.start(now_ms, &start, run_ms, &mut self.oracle);
                if answers {
                    let clock_ms = Some(clock_ms);
                    self.after(1, Event::Started { agent, life, start, reply, clock_ms });
                }
            }
            Call::Stop(stop) => {
                let is_carried_out = target.stop(&stop, &mut self.oracle);
                if answers && is_carried_out {
                    self.after(1, Event::Stopped { agent, life, stop, clock_ms });
                }
            }
            Call::Poll { id, asked_ms, until_ms, seen, give_up_ms, repeats } => {
                if id != target.id {
                    let look = Err(PollError::OtherTarget);
                    self.after(1, Event::Looked { agent, life, id, asked_ms, look, repeats });
                    return;
                }
                target.renew(until_ms, now_ms);
                if !target.has_ends(seen) && now_ms < give_up_ms && answers {
                    let call =
                        Call::Poll { id, asked_ms, until_ms: None, seen, give_up_ms, repeats };
                    self.after(1, Event::AtTarget { agent, life, call, answers });
                    return;
                }
                let look = Ok(target.look(now_ms, seen));
                if answers {
                    self.after(1, Event::Looked { agent, life, id, asked_ms, look, repeats });
                }
            }
        }
    }

    pub(super) fn look(&mut self, agent: usize, life: u64, wait_ms: u64) {
        let asked_ms = self.now_ms;
        let mut asked = None;
        self.with_agent(agent, life, |core, now| {
            let until_ms = core.prepare_renewal(now);
            asked = core.target_id().cloned().map(|id| (id, until_ms, core.ends_seen()));
        });
        let Some((id, until_ms, seen)) = asked else { return };
        let give_up_ms = asked_ms + wait_ms;
        let repeats = wait_ms > 0;
        self.call(agent, life, Call::Poll { id, asked_ms, until_ms, seen, give_up_ms, repeats });
    }

    pub(super) fn looked(
        &mut self,
        agent: usize,
        life: u64,
        id: &String,
        asked_ms: u64,
        look: Result<TargetStatus, PollError>,
        repeats: bool,
    ) {
        let asked_at = Duration::from_millis(asked_ms);
        self.with_agent(agent, life, |core, now| match look {
            Ok(look) => {
                core.handle_status(now, asked_at, id, &look);
            }
            Err(fault) => core.handle_poll_error(now, id, fault),
        });
        if repeats && self.agents[agent].id.incarnation == life {
            self.look(agent, life, LOOK_WAIT_MS);
        }
    }

    /// The target announces itself every so often; the first announcement starts the looks.
    pub(super) fn heartbeat(&mut self, agent: usize) {
        let known: BTreeSet<String> =
            self.agents[agent].core.iter().filter_map(|core| core.target_id().cloned()).collect();
        let target = &self.targets[agent];
        let announcement = Announcement {
            id: target.id.clone(),
            service: "service".to_owned(),
            zone: "a".to_owned(),
            capacity: Size {
                cpu_millis: self.announced_cpu_millis(),
                memory_mb: 1_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            is_leaving: target.is_leaving && self.defect != Some(Defect::SilentLeave),
            clock_ms: target.clock_ms(self.now_ms),
            sequence: self.now_ms,
        };
        let life = self.agents[agent].id.incarnation;
        let is_awake = self.now_ms >= self.agents[agent].frozen_until_ms;
        if is_awake && self.agents[agent].core.is_some() {
            if self.targets[agent].is_leaving {
                self.targets[agent].leave_noted_ms.get_or_insert(self.now_ms);
            }
            self.with_agent(agent, life, |core, _| core.handle_announcement(announcement));
            let is_new = self.agents[agent]
                .core
                .as_ref()
                .and_then(|core| core.target_id())
                .is_some_and(|id| !known.contains(id));
            if is_new {
                self.look(agent, life, LOOK_WAIT_MS);
            }
        }
        self.after(150, Event::Heartbeat { agent });
    }

    fn announced_cpu_millis(&self) -> u64 {
        let honest = TASK_CPU_MILLIS * SLOTS as u64;
        if self.defect == Some(Defect::LargerAnnouncement) { 2 * honest } else { honest }
    }
}
