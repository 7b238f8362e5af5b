//! Admission control: accepts or refuses a job when it arrives.

use std::time::Duration;

/// Shortest retry delay; the `retry-after` header counts whole seconds.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// Range of the random part of a retry delay, so that callers refused together do not retry
/// together.
const RETRY_JITTER: Duration = Duration::from_secs(2);

/// Share of [`Demand::max_wait`] that the expected wait may use; the rest covers errors of the
/// estimate.
const WAIT_SHARE: f64 = 0.75;

/// Requirements of a job.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// CPU that its initial tasks need together, in thousandths of a core.
    pub cpu_millis: u64,
    /// Longest wait for a start that still meets the latency objective.
    pub max_wait: Duration,
    /// Longest wait for a start after which the answer is late, but still of use.
    pub max_late_wait: Duration,
}

/// Capacity available to a job.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// Free CPU at targets that accept tasks, in thousandths of a core, less the reserve.
    pub free_cpu_millis: u64,
    /// CPU that the waiting tasks of the same route need, without those of late jobs, in thousandths
    /// of a core.
    pub queued_cpu_millis: u64,
    /// This entry's part of the CPU that ending runs release per second, in thousandths of a core.
    pub released_cpu_millis_per_s: f64,
    /// The route's share of that part under overload.
    pub route_share: f64,
    /// CPU that all waiting tasks need, in thousandths of a core.
    pub waiting_cpu_millis: u64,
    /// CPU that waiting tasks of late jobs need, in thousandths of a core.
    pub late_cpu_millis: u64,
    /// Limit of `late_cpu_millis`.
    pub max_late_cpu_millis: u64,
}

impl Supply {
    /// Returns whether a job that needs `cpu_millis` may wait in the late class. One job may, however
    /// large it is, unless the limit is zero.
    pub fn has_late_room(&self, cpu_millis: u64) -> bool {
        let is_first = self.late_cpu_millis == 0 && self.max_late_cpu_millis > 0;
        is_first || self.late_cpu_millis + cpu_millis <= self.max_late_cpu_millis
    }
}

/// Decision on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accept {
        /// Expected wait until all its initial tasks have started.
        wait: Duration,
    },
    /// The job is accepted, but will be late.
    AcceptLate {
        /// Expected wait if it were not placed after the jobs that can be in time.
        wait: Duration,
    },
    /// The job is refused.
    Refuse {
        /// Expected wait, which is too long.
        wait: Duration,
    },
}

/// Decides whether to accept a job from what is known when it arrives.
pub fn decide(demand: &Demand, supply: &Supply) -> Admission {
    let wait = expected_wait(demand, supply);
    if wait <= demand.max_wait.mul_f64(WAIT_SHARE) {
        Admission::Accept { wait }
    } else if fits_late(demand, supply) {
        Admission::AcceptLate { wait }
    } else {
        Admission::Refuse { wait }
    }
}

/// Returns whether a job may wait in the late class: there is room in it, and the job could start
/// early enough even if everything that waits were to go first.
fn fits_late(demand: &Demand, supply: &Supply) -> bool {
    let ahead = (supply.waiting_cpu_millis + demand.cpu_millis) as f64;
    let seconds = ahead / supply.released_cpu_millis_per_s.max(1.0);
    supply.has_late_room(demand.cpu_millis)
        && seconds <= demand.max_late_wait.as_secs_f64() * WAIT_SHARE
}

/// Returns the expected time until all initial tasks of a job have started, at most
/// `MAX_RETRY_DELAY`.
///
/// Waiting tasks of the same route are served first, at the route's share of the released CPU; then
/// the job itself gets all the released CPU.
pub fn expected_wait(demand: &Demand, supply: &Supply) -> Duration {
    let queued = supply.queued_cpu_millis.saturating_sub(supply.free_cpu_millis);
    let free = supply.free_cpu_millis.saturating_sub(supply.queued_cpu_millis);
    let missing = demand.cpu_millis.saturating_sub(free);
    let released_per_s = supply.released_cpu_millis_per_s.max(1.0);
    let seconds = queued as f64 / (released_per_s * supply.route_share.max(f64::EPSILON))
        + missing as f64 / released_per_s;
    Duration::from_secs_f64(seconds.min(MAX_RETRY_DELAY.as_secs_f64()))
}

/// Returns the delay after which a refused caller may retry; `random` is uniform in 0..1.
pub fn retry_after(wait: Duration, random: f64) -> Duration {
    retry_after_within(wait, RETRY_JITTER, random)
}

/// Returns the delay after which a refused caller may retry, between `wait` and `spread` later;
/// `random` is uniform in 0..1.
pub fn retry_after_within(wait: Duration, spread: Duration, random: f64) -> Duration {
    (wait + spread.mul_f64(random)).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}
