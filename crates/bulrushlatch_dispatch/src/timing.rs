//! The time bounds by which an earlier run of a task is over before the next one starts.
//!
//! An entry that dies, freezes or loses its links says nothing more. Its callers submit their jobs
//! again after `resend_after`, at any entry. By then no run of the silent entry may be left:
//!
//! ```text
//! contact_limit + stop_grace + lease / (1 - CLOCK_DRIFT) + SLACK  <=  resend_after
//! ```
//!
//! After `contact_limit` without word from an entry, an agent stops that entry's runs. If a stop is
//! not confirmed within `stop_grace`, the agent no longer renews the target's lease, and what is
//! left ends within one lease, even when the agent itself has died.

use std::time::Duration;

/// Largest difference of rate between a target's clock and ours, as a share; stated by the platform.
pub const CLOCK_DRIFT: f64 = 0.02;
/// Left over for scheduling delays and the time a message takes.
pub const SLACK: Duration = Duration::from_millis(100);
/// Share of `resend_after` without word after which an entry counts as silent.
const CONTACT_SHARE: f64 = 0.24;
/// Share of `resend_after` in which a stop is to be confirmed.
const STOP_SHARE: f64 = 0.12;
/// Share of `resend_after` for which a lease holds.
const LEASE_SHARE: f64 = 0.54;
/// Share of the contact limit between two heartbeats, so that two may be late.
const HEARTBEAT_SHARE: f64 = 0.25;

/// Heartbeats that become one on a link that is not in use.
const IDLE_HEARTBEATS: u32 = 6;

/// Time bounds of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time after a broken connection at which callers submit a job again.
    pub resend_after: Duration,
    /// Time without word from an entry after which its runs are stopped.
    pub contact_limit: Duration,
    /// Time in which a stop is to be confirmed.
    pub stop_grace: Duration,
    /// Length of a target's lease.
    pub lease: Duration,
    /// Longest pause between two frames on a link.
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

    /// Returns the longest pause between two frames on a link that is not in use.
    pub fn idle_heartbeat(&self) -> Duration {
        self.heartbeat * IDLE_HEARTBEATS
    }

    /// Returns the longest time for which a lease may hold on our clock.
    pub fn longest_lease(&self) -> Duration {
        self.lease.div_f64(1.0 - CLOCK_DRIFT)
    }

    /// Returns the time after the last word of an entry at which none of its runs is left.
    pub fn all_runs_ended_after(&self) -> Duration {
        self.contact_limit + self.stop_grace + self.longest_lease() + SLACK
    }

    /// Returns whether every run of a silent entry is over before its callers submit again.
    pub fn is_safe(&self) -> bool {
        self.all_runs_ended_after() <= self.resend_after
    }
}
