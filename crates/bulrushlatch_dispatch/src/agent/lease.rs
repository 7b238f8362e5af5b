//! Renewal of the target's lease.
//!
//! One lease holds for all runs at the target. It is withheld from all of them while it would keep one
//! alive that must be over soon, or of which this process does not know whether it must be: others may
//! act on the belief that it is over.

use std::time::Duration;

use crate::{clock::BootTime, timing::CLOCK_DRIFT};

use super::{
    Agent,
    run::Run,
    target::{Target, TargetTimeMs},
};

/// Largest age of the newest status at a renewal while leases of an earlier process may hold, as a share of the stop
/// grace.
const STATUS_AGE_SHARE: f64 = 1.0 / 3.0;

/// Why the target's lease is not renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum WithholdingReason {
    /// A start that an earlier process ordered may have been carried out since the last status, and an entry
    /// that heard last of that process may take its run for over.
    EarlierProcess,
    /// The target lists a run that is not tracked, or whose row cannot be read: what others believe of it is
    /// not known here.
    UnknownRun,
    /// A run is to be over before its job may be submitted again, and its end is not confirmed.
    OverdueRun,
}

impl Agent {
    /// Stops the runs of silent entries, then returns the end of the lease to request: `None` while the
    /// lease is withheld or no target has answered, since only its answers tell its clock.
    pub fn prepare_renewal(&mut self, now: BootTime) -> Option<TargetTimeMs> {
        self.stop_orphaned_runs(now);
        let reason = self.withholding_reason(now);
        self.log_withholding(reason);
        if reason.is_some() {
            self.counters.withheld_renewals += 1;
            return None;
        }
        let lease = self.lease(now);
        let target = self.target.as_mut().filter(|target| target.answered_at.is_some())?;
        Some(target.request_lease(now, lease))
    }

    fn withholding_reason(&self, now: BootTime) -> Option<WithholdingReason> {
        if !self.have_earlier_leases_ended(now) && !self.is_status_recent(now) {
            Some(WithholdingReason::EarlierProcess)
        } else if self.target.as_ref().is_some_and(Target::has_unknown_runs) {
            Some(WithholdingReason::UnknownRun)
        } else if self.runs.values().any(|run| self.is_overdue(now, run)) {
            Some(WithholdingReason::OverdueRun)
        } else {
            None
        }
    }

    /// Returns the length of a lease requested now, on the target's clock.
    ///
    /// An entry that heard last of an earlier process takes its runs for over by the sum in
    /// [`timing`](crate::timing). A start of that process may be carried out until all but `stop_grace` of the sum has
    /// passed. The run is then listed by the next status, whose age and the lease together are not longer.
    fn lease(&self, now: BootTime) -> Duration {
        if self.have_earlier_leases_ended(now) {
            self.timing.lease
        } else {
            let first_lease = self.timing.stop_grace.saturating_sub(self.max_status_age());
            first_lease.mul_f64(1.0 - CLOCK_DRIFT)
        }
    }

    /// Returns whether each lease that an earlier process requested has ended. The target refuses any
    /// start that this process's predecessor ordered from then on.
    pub(super) fn have_earlier_leases_ended(&self, now: BootTime) -> bool {
        now > self.started_at + self.timing.max_lease_on_agent_clock()
    }

    /// Returns whether the newest status shows what ran a short time ago.
    fn is_status_recent(&self, now: BootTime) -> bool {
        let polled_at = self.target.as_ref().and_then(|target| target.polled_at);
        polled_at.is_some_and(|at| now.saturating_sub(at) <= self.max_status_age())
    }

    fn max_status_age(&self) -> Duration {
        self.timing.stop_grace.mul_f64(STATUS_AGE_SHARE)
    }

    /// Returns whether the lease must not be renewed any more, so that the run is over before a caller
    /// submits its job again.
    fn is_overdue(&self, now: BootTime, run: &Run) -> bool {
        let overdue_after = self.timing.contact_limit + self.timing.stop_grace;
        let alive_at = run.job_open_at.unwrap_or_else(|| self.alive_at(&run.owner));
        now.saturating_sub(alive_at) > overdue_after
    }

    /// Logs when the lease begins to be withheld, for which reason, and when it is renewed again.
    fn log_withholding(&mut self, reason: Option<WithholdingReason>) {
        if self.withholding == reason {
            return;
        }
        self.withholding = reason;
        let target = self.target_id();
        let runs = self.runs.len();
        match reason {
            Some(reason) => tracing::info!(?target, %reason, runs, "lease withheld"),
            None => tracing::info!(?target, runs, "lease renewed again"),
        }
    }
}
