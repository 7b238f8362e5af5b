//! Whether a job is taken or refused when it arrives.

use std::time::Duration;

/// Shortest time after which a refused caller may come back: whole seconds are the finest step of
/// the header that says so.
const SHORTEST_RETRY: Duration = Duration::from_secs(1);
/// Longest time that a refused caller is told to wait.
const LONGEST_RETRY: Duration = Duration::from_secs(8);
/// Range over which returns are spread, so that callers refused together do not return together.
const RETRY_SPREAD: Duration = Duration::from_secs(2);

/// Share of a job's patience that the expected wait may take up; the rest is for what the
/// expectation gets wrong.
const PATIENCE_SHARE: f64 = 0.75;
/// Share of a service's capacity that jobs leave free for more urgent ones, so that these need not
/// wait for an end: about what urgent jobs take while a common task runs.
const URGENT_RESERVE: f64 = 0.06;

/// Returns the processor that jobs leave free if there are more urgent routes.
pub fn reserve_cpu_millis(total_cpu_millis: u64, is_most_urgent: bool) -> u64 {
    if is_most_urgent { 0 } else { (total_cpu_millis as f64 * URGENT_RESERVE) as u64 }
}

/// What a job asks for.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Processor that its first tasks take together, in thousandths of a core.
    pub cpu_millis: u64,
    /// Longest wait after which its answer is still of use.
    pub patience: Duration,
}

/// What there is for a job.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// Free processor at targets that take work, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// Processor that jobs of the same route wait for.
    pub queued_cpu_millis: u64,
    /// The part of the processor set free in a second that falls to this entry.
    pub released_cpu_millis_per_s: f64,
    /// The part of that which falls to the job's route under overload.
    pub route_share: f64,
}

/// What to do with a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Take it; it waits about so long.
    Take {
        /// The expected wait.
        wait: Duration,
    },
    /// Refuse it.
    Refuse {
        /// The expected wait, which is too long.
        wait: Duration,
    },
}

/// Decides on a job from what is known when it arrives.
pub fn decide(demand: &Demand, supply: &Supply) -> Admission {
    let wait = expected_wait(demand, supply);
    if wait <= demand.patience.mul_f64(PATIENCE_SHARE) {
        Admission::Take { wait }
    } else {
        Admission::Refuse { wait }
    }
}

/// Returns the time until the last of a job's first tasks can start: jobs of its route that wait are
/// served at the route's part of what is released, and then the job itself at once.
pub fn expected_wait(demand: &Demand, supply: &Supply) -> Duration {
    let queued = supply.queued_cpu_millis.saturating_sub(supply.free_cpu_millis);
    let free = supply.free_cpu_millis.saturating_sub(supply.queued_cpu_millis);
    let missing = demand.cpu_millis.saturating_sub(free);
    let released_per_s = supply.released_cpu_millis_per_s.max(1.0);
    let seconds = queued as f64 / (released_per_s * supply.route_share.max(f64::EPSILON))
        + missing as f64 / released_per_s;
    Duration::from_secs_f64(seconds.min(LONGEST_RETRY.as_secs_f64()))
}

/// Returns when a refused caller may come back; `draw` is a random share from 0 to 1.
pub fn retry_after(wait: Duration, draw: f64) -> Duration {
    let spread = RETRY_SPREAD.mul_f64(draw);
    (wait + spread).clamp(SHORTEST_RETRY, LONGEST_RETRY)
}
