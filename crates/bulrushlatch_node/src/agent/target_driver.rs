//! Orders and looks at the target.

use std::{rc::Rc, time::Duration};

use bulrushlatch_dispatch::{
    agent::{
        StopOrder,
        target::{PollError, StartReply},
    },
    clock::BootClock,
    ids::TaskKey,
};

use super::AgentProcess;
use crate::interface::{AnnouncementInterface, LeasedTarget, SiteStore, StatusPoll};

/// How long the target may hold a look back while it waits for an end: well under the lease and
/// under the time after which the target counts as silent.
const LOOK_WAIT: Duration = Duration::from_millis(100);
/// Pause after a look that failed; each further one is twice as long, since each may open a connection.
const FAULT_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause, so that a target that answers again is used within moments.
const LONGEST_FAULT_PAUSE: Duration = Duration::from_millis(80);

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> AgentProcess<T, A, S> {
    /// Orders the start of a task.
    pub(super) async fn start(self: Rc<Self>, task: TaskKey) {
        let start = self.act(|core, now| core.prepare_start(now, &task));
        let Some(start) = start else { return };
        let (reply, clock_ms) = self.target.start(&start).await;
        if reply != StartReply::Started {
            tracing::info!(%task, attempt = start.attempt, ?reply, "start not taken");
        }
        self.act(|core, now| core.handle_start_reply(now, &start, clock_ms, &reply));
    }

    /// Orders the end of a run.
    pub(super) async fn stop(self: Rc<Self>, stop: StopOrder) {
        let Some(clock_ms) = self.target.stop(&stop).await else { return };
        let is_open = self.act(|core, now| core.handle_stop_reply(now, &stop, clock_ms));
        if is_open {
            // Only a look shows whether the run is over; the one under way was asked for before.
            self.look_once(Duration::ZERO).await;
        }
    }

    /// Looks at the target again and again, and renews its lease.
    pub(super) async fn look_at_target(self: Rc<Self>) {
        let mut pause = FAULT_PAUSE;
        loop {
            if self.core.borrow().target_id().is_none() {
                self.target_found.notified().await;
            } else if self.look_once(LOOK_WAIT).await {
                pause = FAULT_PAUSE;
            } else {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_FAULT_PAUSE);
            }
        }
    }

    /// Looks at the target, which may wait for an end; returns whether it answered.
    async fn look_once(self: &Rc<Self>, wait: Duration) -> bool {
        let Some(target) = self.core.borrow().target_id().cloned() else { return false };
        let asked_at = self.clock.now();
        let (lease_until_ms, ends_seen) =
            self.act(|core, now| (core.prepare_renewal(now), core.ends_seen()));
        let order = StatusPoll { target: target.clone(), lease_until_ms, ends_seen, wait };
        match self.target.poll_status(&order).await {
            Ok(look) => {
                self.act(|core, now| core.handle_status(now, asked_at, &target, &look));
                true
            }
            Err(fault) => {
                if fault != PollError::NoAnswer {
                    tracing::info!(%target, ?fault, "look failed");
                }
                self.act(|core, now| core.handle_poll_error(now, &target, fault));
                false
            }
        }
    }
}
