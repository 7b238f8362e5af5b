//! Time bounds which ensure that an earlier run of a task is over before the next one starts.
//!
//! An entry that crashes, is suspended or loses its links falls silent. Its callers submit their
//! jobs again after `resend_after`, at any entry. By then all its runs must be over:
//!
//! ```text
//! contact_limit + stop_grace + lease / (1 - CLOCK_DRIFT) + SLACK  <=  resend_after
//! ```
//!
//! Once the newest stamp that an entry has echoed is older than `contact_limit`, an agent stops the
//! entry's runs. If a stop is not confirmed within `stop_grace`, the agent no longer renews the
//! target's lease, and the remaining runs end within one lease. They do so even if the agent itself
//! has crashed, since the next agent does not renew it either.
//!
//! A job that its entry has ended may be submitted again although the entry lives. The same sum then
//! counts from the last stamp echoed before the end of the job.

use std::time::Duration;

use crate::frame::{FrameVersion, SPARSE_HEARTBEAT_VERSION};

/// Largest relative difference in rate between a target's clock and the agent's, as stated by the
/// platform.
pub const CLOCK_DRIFT: f64 = 0.02;
/// Allowance for scheduling delays and the transit time of a message.
pub const SLACK: Duration = Duration::from_millis(100);
/// Share of `resend_after` that is the contact limit.
const CONTACT_SHARE: f64 = 0.24;
/// Share of `resend_after` within which a stop must be confirmed.
const STOP_SHARE: f64 = 0.12;
/// Share of `resend_after` for which a lease holds.
const LEASE_SHARE: f64 = 0.54;
/// Share of the contact limit between two heartbeats: two may be lost without exceeding the limit.
const HEARTBEAT_SHARE: f64 = 0.25;

/// Factor on the heartbeat interval on a link that is not in use: most links of a large site are not.
const IDLE_HEARTBEAT_FACTOR: u32 = 18;
/// The same on a link to a build that replaces a link after a shorter silence.
const DENSE_IDLE_HEARTBEAT_FACTOR: u32 = 6;

/// Returns the longest time that `duration` on a target's clock may last on the agent's clock.
pub fn on_agent_clock(duration: Duration) -> Duration {
    duration.div_f64(1.0 - CLOCK_DRIFT)
}

/// Time bounds that all processes of a site share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time after a broken connection at which callers submit a job again.
    pub resend_after: Duration,
    /// Age of the newest stamp echoed by an entry beyond which the agent stops the entry's runs.
    ///
    /// Also the time without an answer after which a target counts as silent, and the time without
    /// an event after which an entry concludes that it was suspended.
    pub contact_limit: Duration,
    /// Time within which a stop must be confirmed.
    pub stop_grace: Duration,
    /// Length of a target's lease, on the target's clock.
    pub lease: Duration,
    /// Longest lease that a target grants, on the target's clock.
    pub longest_lease: Duration,
    /// Longest interval between two frames on a link in use: the entry has chosen the agent for
    /// placement, or still has runs there.
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
            longest_lease,
            heartbeat: contact_limit.mul_f64(HEARTBEAT_SHARE),
        }
    }

    /// Returns the longest interval between two frames on a link that is not in use, whose frames
    /// have the given version.
    pub fn idle_heartbeat(&self, version: FrameVersion) -> Duration {
        if version >= SPARSE_HEARTBEAT_VERSION {
            self.heartbeat * IDLE_HEARTBEAT_FACTOR
        } else {
            self.heartbeat * DENSE_IDLE_HEARTBEAT_FACTOR
        }
    }

    /// Returns the longest time for which a lease may last on the agent's clock.
    pub fn max_lease_on_agent_clock(&self) -> Duration {
        on_agent_clock(self.lease)
    }

    /// Returns the longest time for which any lease that a target grants may last on the agent's
    /// clock.
    pub fn max_granted_lease_on_agent_clock(&self) -> Duration {
        on_agent_clock(self.longest_lease)
    }

    /// Returns the time by which all runs of an entry are over, counted from the newest stamp that
    /// the entry has echoed.
    pub fn all_runs_ended_after(&self) -> Duration {
        self.contact_limit + self.stop_grace + self.max_lease_on_agent_clock() + SLACK
    }

    /// Returns whether all runs of a silent entry are over before its callers submit again.
    pub fn is_safe(&self) -> bool {
        self.all_runs_ended_after() <= self.resend_after
    }
}
