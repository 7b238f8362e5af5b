//! Orders and looks at the target.

use std::{rc::Rc, time::Duration};

use bulrushlatch_dispatch::{
    agent::{
        StopOrder,
        target::{StartReply, TargetFault},
    },
    clock::BootClock,
    ids::TaskKey,
};

use super::AgentProcess;
use crate::interface::{AnnouncementInterface, LeasedTarget, LookOrder, SiteStore};

/// How long the target may hold a look back while it waits for an end: well under the lease and
/// under the time after which the target counts as silent.
const LOOK_WAIT: Duration = Duration::from_millis(120);
/// Pause after a look that failed.
const FAULT_PAUSE: Duration = Duration::from_millis(20);

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> AgentProcess<T, A, S> {
    /// Orders the start of a task.
    pub(super) async fn start(self: Rc<Self>, task: TaskKey) {
        let start = self.act(|core, now| core.begin_start(now, &task));
        let Some(start) = start else { return };
        let (reply, clock_ms) = self.target.start(&start).await;
        if reply != StartReply::Started {
            tracing::info!(%task, attempt = start.attempt, ?reply, "start not taken");
        }
        self.act(|core, now| core.start_answered(now, &start, clock_ms, &reply));
    }

    /// Orders the end of a run.
    pub(super) async fn stop(self: Rc<Self>, stop: StopOrder) {
        if let Some(clock_ms) = self.target.stop(&stop).await {
            self.act(|core, now| core.stop_answered(now, &stop, clock_ms));
        }
    }

    /// Looks at the target again and again, and renews its lease.
    pub(super) async fn look_at_target(self: Rc<Self>) {
        loop {
            let target = self.core.borrow().target_id().cloned();
            let Some(target) = target else {
                self.target_found.notified().await;
                continue;
            };
            let asked_at = self.clock.now();
            let (lease_until_ms, ends_seen) =
                self.act(|core, now| (core.renewal(now), core.ends_seen()));
            let order =
                LookOrder { target: target.clone(), lease_until_ms, ends_seen, wait: LOOK_WAIT };
            match self.target.look(&order).await {
                Ok(look) => {
                    self.act(|core, now| core.looked(now, asked_at, &target, &look));
                }
                Err(fault) => {
                    if fault != TargetFault::NoAnswer {
                        tracing::info!(%target, ?fault, "look failed");
                    }
                    self.act(|core, now| core.look_failed(now, &target, fault));
                    tokio::time::sleep(FAULT_PAUSE).await;
                }
            }
        }
    }
}
