//! Time bounds which ensure that an earlier run of a task is over before the next one starts.
//!
//! An entry that crashes, freezes or loses its links falls silent. Its callers submit their jobs
//! again after `resend_after`, at any entry. By then all runs of the silent entry must be over:
//!
//! ```text
//! contact_limit + stop_grace + lease / (1 - CLOCK_DRIFT) + SLACK  <=  resend_after
//! ```
//!
//! After `contact_limit` without a frame from an entry, an agent stops that entry's runs. If a stop
//! is not confirmed within `stop_grace`, the agent no longer renews the target's lease, and the
//! remaining runs end within one lease. They do so even if the agent itself has crashed.

use std::time::Duration;

/// Largest relative difference in rate between a target's clock and the agent's, as stated by the
/// platform.
pub const CLOCK_DRIFT: f64 = 0.02;
/// Allowance for scheduling delays and the transit time of a message.
pub const SLACK: Duration = Duration::from_millis(100);
/// Share of `resend_after` without a frame after which an entry counts as silent.
const CONTACT_SHARE: f64 = 0.24;
/// Share of `resend_after` within which a stop must be confirmed.
const STOP_SHARE: f64 = 0.12;
/// Share of `resend_after` for which a lease holds.
const LEASE_SHARE: f64 = 0.54;
/// Share of the contact limit between two heartbeats: two may be lost without exceeding the limit.
const HEARTBEAT_SHARE: f64 = 0.25;

/// Factor on the heartbeat interval on a link that is not in use.
const IDLE_HEARTBEAT_FACTOR: u32 = 6;

/// Time bounds that all processes of a site share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time after a broken connection at which callers submit a job again.
    pub resend_after: Duration,
    /// Time without a frame from an entry after which its runs are stopped.
    pub contact_limit: Duration,
    /// Time within which a stop must be confirmed.
    pub stop_grace: Duration,
    /// Length of a target's lease, on the target's clock.
    pub lease: Duration,
    /// Longest interval between two frames on a link in use.
    pub heartbeat: Duration,
}

impl Timing {
    /// Returns the bounds for callers that submit again after `resend_after` and targets that grant
    /// leases of at most `longest_lease`.
    pub fn new(resend_after: Duration, longest_lease: Duration) -> Self {
        let contact_limit = resend_after.mul_f64(CONTACT_SHARE);
        Self {
            resend_after,
            contact_limit,
            stop_grace: resend_after.mul_f64(STOP_SHARE),
            lease: resend_after.mul_f64(LEASE_SHARE).min(longest_lease),
            heartbeat: contact_limit.mul_f64(HEARTBEAT_SHARE),
        }
    }

    /// Returns the longest interval between two frames on a link that is not in use.
    pub fn idle_heartbeat(&self) -> Duration {
        self.heartbeat * IDLE_HEARTBEAT_FACTOR
    }

    /// Returns the longest time for which a lease may last on the agent's clock.
    pub fn longest_lease(&self) -> Duration {
        self.lease.div_f64(1.0 - CLOCK_DRIFT)
    }

    /// Returns the time after the last frame of an entry by which all its runs are over.
    pub fn all_runs_ended_after(&self) -> Duration {
        self.contact_limit + self.stop_grace + self.longest_lease() + SLACK
    }

    /// Returns whether all runs of a silent entry are over before its callers submit again.
    pub fn is_safe(&self) -> bool {
        self.all_runs_ended_after() <= self.resend_after
    }
}
