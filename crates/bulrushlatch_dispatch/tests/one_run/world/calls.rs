//! Calls of agents to their targets, and announcements of targets.

use super::*;

/// Time after which an order that got no answer is carried out.
const LATE_ORDER_DELAY_MS: std::ops::Range<u64> = 2_000..4_000;
/// The same for an order whose lease may still hold then.
const DELAY_WITHIN_LEASE_MS: std::ops::Range<u64> = 50..750;

impl World {
    /// Sends an order of an agent to its target.
    pub(super) fn send_order(&mut self, agent: usize, incarnation: u64, order: TargetOrder) {
        match order {
            TargetOrder::Start(task) => {
                let now = self.clock();
                let core = self.agents[agent].core.as_mut();
                let Some(start) = core.and_then(|core| core.prepare_start(now, &task)) else {
                    return;
                };
                self.call(agent, incarnation, Call::Start(start));
            }
            TargetOrder::Stop(stop) => self.call(agent, incarnation, Call::Stop(stop)),
        }
    }

    /// Sends a call to the target. Under a fault it is not answered, and is carried out within 50 ms,
    /// after 2 to 4 s, or never.
    pub(super) fn call(&mut self, agent: usize, incarnation: u64, call: Call) {
        let are_stops_lost = self.lost_stops.get(&agent).is_some_and(|&end| self.now_ms < end);
        if are_stops_lost
            && let Call::Stop(StopOrder { task: Some(task), .. }) = &call
            && self.is_delegated(&task.job)
        {
            return;
        }
        let is_order = !matches!(call, Call::Poll { .. });
        let is_unanswered =
            is_order && self.unanswered_targets.get(&agent).is_some_and(|&end| self.now_ms < end);
        if is_unanswered {
            let event =
                Event::AtTarget { agent, incarnation, call: call.clone(), is_answered: false };
            let is_late_for_lease = self.rng.bool();
            let delay_ms = self.rng.u64(if is_late_for_lease {
                LATE_ORDER_DELAY_MS
            } else {
                DELAY_WITHIN_LEASE_MS
            });
            self.after(delay_ms, event);
            self.time_out(agent, incarnation, call);
            return;
        }
        let is_silent = self.silent_targets.get(&agent).is_some_and(|&end| self.now_ms < end);
        let is_late_target = self.late_targets.get(&agent).is_some_and(|&end| self.now_ms < end);
        let is_late = is_late_target && self.rng.f64() < LATE_SHARE;
        if is_silent || is_late {
            if is_late {
                let is_prompt = self.rng.bool();
                let delay_ms = self.rng.u64(if is_prompt { 1..50 } else { LATE_ORDER_DELAY_MS });
                let call = call.clone();
                self.after(
                    delay_ms,
                    Event::AtTarget { agent, incarnation, call, is_answered: false },
                );
            }
            self.time_out(agent, incarnation, call);
        } else {
            let delay_ms = self.rng.u64(0..3);
            self.after(delay_ms, Event::AtTarget { agent, incarnation, call, is_answered: true });
        }
    }

    /// Lets a call to the target time out.
    pub(super) fn time_out(&mut self, agent: usize, incarnation: u64, call: Call) {
        match call {
            Call::Start(start) => {
                let reply = match self.defect {
                    Some(Defect::UnansweredMeansNotStarted) => StartReply::Rejected,
                    _ => StartReply::NoAnswer,
                };
                let event = Event::Started { agent, incarnation, start, reply, clock_ms: None };
                self.after(ORDER_TIMEOUT_MS, event);
            }
            Call::Stop(_) => {}
            Call::Poll { id, polled_ms, repeats, .. } => {
                let status = Err(PollError::NoAnswer);
                self.after(
                    POLL_TIMEOUT_MS,
                    Event::Polled { agent, incarnation, id, polled_ms, status, repeats },
                );
            }
        }
    }

    /// Carries out a call at the target.
    pub(super) fn carry_out(
        &mut self,
        agent: usize,
        incarnation: u64,
        call: Call,
        is_answered: bool,
    ) {
        let now_ms = self.now_ms;
        if self.is_absent(agent) {
            self.refuse_connection(agent, incarnation, call);
            return;
        }
        let lease_cap_ms = if self.defect == Some(Defect::LongLease) { 3_000 } else { 1_000 };
        let target = &mut self.targets[agent];
        let clock_ms = target.clock_ms(now_ms);
        match call {
            Call::Start(mut start) => {
                // Only answered orders are checked; the fault may have delayed the others.
                if is_answered && target.is_past_leave_grace(now_ms) {
                    let violation =
                        format!("{now_ms} ms: {} begins at a target that leaves", start.task);
                    self.oracle.record_violation(violation);
                }
                start.lease_until_ms = start.lease_until_ms.min(clock_ms + lease_cap_ms);
                let run_ms = start.payload.parse().unwrap_or(100);
                let reply = target.start(now_ms, &start, run_ms, &mut self.oracle);
                if reply == StartReply::Started {
                    self.crash_if_started(agent, &start.task);
                }
                if is_answered {
                    let clock_ms = Some(clock_ms);
                    self.after(1, Event::Started { agent, incarnation, start, reply, clock_ms });
                }
            }
            Call::Stop(stop) => {
                let is_carried_out = target.stop(&stop, &mut self.oracle);
                if is_answered && is_carried_out {
                    self.after(1, Event::Stopped { agent, incarnation, stop, clock_ms });
                }
            }
            Call::Poll { id, polled_ms, lease_until_ms, ends_seen, hold_until_ms, repeats } => {
                if id != target.id {
                    let status = Err(PollError::OtherTarget);
                    self.after(
                        1,
                        Event::Polled { agent, incarnation, id, polled_ms, status, repeats },
                    );
                    return;
                }
                target.renew(lease_until_ms, now_ms);
                if !target.has_ends(ends_seen) && now_ms < hold_until_ms && is_answered {
                    let call = Call::Poll {
                        id,
                        polled_ms,
                        lease_until_ms: None,
                        ends_seen,
                        hold_until_ms,
                        repeats,
                    };
                    self.after(1, Event::AtTarget { agent, incarnation, call, is_answered });
                    return;
                }
                let status = Ok(target.status(now_ms, ends_seen));
                if is_answered {
                    self.after(
                        1,
                        Event::Polled { agent, incarnation, id, polled_ms, status, repeats },
                    );
                }
            }
        }
    }

    /// Polls the target, which may hold the answer back for up to `wait_ms` until a run ends.
    pub(super) fn poll(&mut self, agent: usize, incarnation: u64, wait_ms: u64) {
        let polled_ms = self.now_ms;
        let mut poll = None;
        self.with_agent(agent, incarnation, |core, now| {
            let lease_until_ms = core.prepare_renewal(now);
            poll = core.target_id().cloned().map(|id| (id, lease_until_ms, core.ends_seen()));
        });
        let Some((id, lease_until_ms, ends_seen)) = poll else { return };
        let hold_until_ms = polled_ms + wait_ms;
        let repeats = wait_ms > 0;
        self.call(
            agent,
            incarnation,
            Call::Poll { id, polled_ms, lease_until_ms, ends_seen, hold_until_ms, repeats },
        );
    }

    /// Delivers the result of a poll to the agent, which polls again if `repeats` is set.
    pub(super) fn handle_poll_result(
        &mut self,
        agent: usize,
        incarnation: u64,
        id: &String,
        polled_ms: u64,
        status: Result<TargetStatus, PollError>,
        repeats: bool,
    ) {
        let polled_at = Duration::from_millis(polled_ms);
        self.with_agent(agent, incarnation, |core, now| match status {
            Ok(status) => {
                core.handle_status(now, polled_at, id, &status);
            }
            Err(error) => core.handle_poll_error(now, id, error),
        });
        if repeats && self.agents[agent].id.incarnation == incarnation {
            self.poll(agent, incarnation, POLL_WAIT_MS);
        }
    }

    /// Sends an announcement of the target to its agent; the first one starts the polls.
    pub(super) fn announce(&mut self, agent: usize) {
        let known_ids: BTreeSet<String> =
            self.agents[agent].core.iter().filter_map(|core| core.target_id().cloned()).collect();
        let target = &self.targets[agent];
        let announcement = Announcement {
            id: target.id.clone(),
            service: "service".to_owned(),
            zone: "a".to_owned(),
            capacity: Size {
                cpu_millis: self.announced_cpu_millis(agent),
                memory_mb: 1_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            is_leaving: target.is_leaving && self.defect != Some(Defect::SilentLeave),
            clock_ms: target.clock_ms(self.now_ms),
            sequence: self.now_ms,
        };
        let incarnation = self.agents[agent].id.incarnation;
        let is_awake = self.now_ms >= self.agents[agent].suspended_until_ms;
        if is_awake && !self.is_absent(agent) && self.agents[agent].core.is_some() {
            if self.targets[agent].is_leaving {
                self.targets[agent].leave_received_ms.get_or_insert(self.now_ms);
            }
            self.with_agent(agent, incarnation, |core, _| core.handle_announcement(announcement));
            let is_new = self.agents[agent]
                .core
                .as_ref()
                .and_then(|core| core.target_id())
                .is_some_and(|id| !known_ids.contains(id));
            if is_new {
                self.poll(agent, incarnation, POLL_WAIT_MS);
            }
        }
        self.after(150, Event::Announcement { agent });
    }

    fn announced_cpu_millis(&self, agent: usize) -> u64 {
        let is_silent = self.defect == Some(Defect::SilentShrink);
        let slots = if is_silent { SLOTS } else { self.targets[agent].slots };
        let capacity = TASK_CPU_MILLIS * slots as u64;
        if self.defect == Some(Defect::LargerAnnouncement) { 2 * capacity } else { capacity }
    }
}
