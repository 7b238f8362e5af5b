//! Sends orders and status polls to the target.

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

/// Pause after a failed status poll. Doubles with each further failure, since each poll may open a
/// connection.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause after a failed status poll, so that a target that answers again is soon used.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(80);

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> AgentProcess<T, A, S> {
    /// Sends a start order to the target, unless the agent decides that it must not be sent.
    pub(super) async fn start_task(self: Rc<Self>, task: TaskKey) {
        let start = self.with_core(|core, now| core.prepare_start(now, &task));
        let Some(start) = start else { return };
        let (reply, clock_ms) = self.target.start(&start).await;
        if reply != StartReply::Started {
            tracing::info!(
                %task, attempt = start.attempt, ?reply,
                "start not confirmed by the target"
            );
        }
        self.with_core(|core, now| core.handle_start_reply(now, &start, clock_ms, &reply));
    }

    /// Sends a stop order to the target.
    pub(super) async fn stop_run(self: Rc<Self>, stop: StopOrder) {
        let Some(clock_ms) = self.target.stop(&stop).await else { return };
        let is_open = self.with_core(|core, now| core.handle_stop_reply(now, &stop, clock_ms));
        if is_open {
            // Only a status poll shows whether the run has ended, and the poll in progress was sent
            // before the stop.
            self.poll_target_once(Duration::ZERO).await;
        }
    }

    /// Polls the target's status and renews its lease until the process ends.
    pub(super) async fn poll_target(self: Rc<Self>) {
        let mut pause = RETRY_PAUSE;
        loop {
            if self.core.borrow().target_id().is_none() {
                self.target_found.notified().await;
                continue;
            }
            let wait = self.core.borrow().poll_wait(self.clock.now());
            if self.poll_target_once(wait).await {
                pause = RETRY_PAUSE;
            } else {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }

    /// Polls the target's status once; returns whether it answered. The target may hold the poll
    /// open for `wait`.
    async fn poll_target_once(self: &Rc<Self>, wait: Duration) -> bool {
        let Some(target) = self.core.borrow().target_id().cloned() else { return false };
        let polled_at = self.clock.now();
        let (lease_until_ms, ends_seen) =
            self.with_core(|core, now| (core.prepare_renewal(now), core.ends_seen()));
        let poll = StatusPoll { target: target.clone(), lease_until_ms, ends_seen, wait };
        match self.target.poll_status(&poll).await {
            Ok(status) => {
                self.with_core(|core, now| core.handle_status(now, polled_at, &target, &status));
                true
            }
            Err(error) => {
                if error != PollError::NoAnswer {
                    tracing::info!(%target, fault = ?error, "status poll failed");
                }
                self.with_core(|core, now| core.handle_poll_error(now, &target, error));
                false
            }
        }
    }
}
