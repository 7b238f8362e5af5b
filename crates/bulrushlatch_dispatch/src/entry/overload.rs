//! Refusal of jobs for lack of processor time.
//!
//! A request waits in the queue of the process's only thread before it is read, and the job waits
//! there again at each later step. The control keeps the wait so short that accepted jobs meet
//! their latency objectives: it refuses a fraction of the arriving jobs before their bodies are
//! decoded. The fraction rises while the wait exceeds what the least tolerant route bears, and
//! falls otherwise. The cost of refusals needs no estimate: it is part of the measured wait.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::RouteName, routing::Route};

use super::{Entry, admission, processor_load::ProcessorLoad};

/// Times that a job waits in the thread's queue: until its request is read, twice for the check for
/// a disconnected caller, until its start orders are written, until the last report is read and
/// until its answer is written.
const PASSES_PER_JOB: u32 = 6;
/// Share of the wait that a job's objective allows which may be spent in the thread's queue; the
/// rest is for the wait for targets and for variation.
const SLACK_SHARE: f64 = 0.5;
/// Shortest queueing delay that the control aims at: a turn of the loop at a small VM.
const MIN_TARGET_DELAY: Duration = Duration::from_millis(4);
/// Longest queueing delay that the control aims at: heartbeats, which wait in the same queue, are
/// due every quarter of the contact limit (78 ms).
const MAX_TARGET_DELAY: Duration = Duration::from_millis(40);
/// Busy share below which the thread catches up by itself, so that no job is refused: the
/// share at which jobs are delegated, so that delegation has the first chance.
const MIN_BUSY_SHARE: f64 = 0.7;
/// Rise of the fraction per second while the delay is twice the target, and its fall at no delay.
/// It is slow against the delay, which follows the fraction within a few ticks, so that the fraction
/// does not oscillate.
const FRACTION_CHANGE_PER_S: f64 = 0.6;
/// Fall of the fraction per second while the thread is not busy.
const IDLE_FALL_PER_S: f64 = 2.0;
/// Largest part of the jobs that is refused: some must be accepted for the delay to be measured on
/// real work.
const MAX_FRACTION: f64 = 0.95;
/// Fraction from which on a log line says that refusals have started.
const START_FRACTION: f64 = 0.01;
/// Time without refusals after which a log line says that they have stopped: near full load the
/// fraction returns to zero several times a second.
const STOP_DELAY: Duration = Duration::from_secs(1);
/// Weight of a new job in the moving average of a route's slack.
const SLACK_WEIGHT: f64 = 0.1;
/// Time without a job after which a route no longer determines the target.
const ROUTE_IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Time without a job after which a route is forgotten: routes are renamed and removed.
const ROUTE_RETENTION: Duration = Duration::from_secs(60);
/// Range of the random part of the retry delay when half of the jobs are refused.
const RETRY_SPREAD: Duration = Duration::from_secs(2);

/// What is known of a route's jobs.
#[derive(Clone, Copy, Debug)]
struct RouteSlack {
    /// Moving average of the longest wait for a start that meets the jobs' objectives.
    max_wait: Duration,
    /// Sum of the refusal probabilities of arrived jobs less the jobs refused: below 1.
    refusals_due: f64,
    /// Time since the last job.
    idle: Duration,
}

impl RouteSlack {
    /// Returns the queueing delay that the route's jobs bear.
    fn target_delay(&self) -> Duration {
        let delay = self.max_wait.mul_f64(SLACK_SHARE) / PASSES_PER_JOB;
        delay.clamp(MIN_TARGET_DELAY, MAX_TARGET_DELAY)
    }
}

/// Decides which jobs an entry refuses because its processor is too busy.
#[derive(Debug)]
pub struct OverloadControl {
    /// Whether a fraction is refused; otherwise all jobs are while the delay exceeds
    /// [`MAX_TARGET_DELAY`].
    is_enabled: bool,
    /// Part of the jobs to refuse, from 0 to [`MAX_FRACTION`].
    fraction: f64,
    /// Whether jobs are being refused, as logged.
    is_active: bool,
    /// Time since the fraction was above zero.
    quiet_time: Duration,
    /// Whether the thread is so busy that jobs may be refused.
    is_busy: bool,
    /// Present queueing delay.
    queueing_delay: Duration,
    /// Moving average of it, which a single pause of the VM changes little.
    average_delay: Duration,
    routes: BTreeMap<RouteName, RouteSlack>,
}

impl Default for OverloadControl {
    fn default() -> Self {
        Self::new(true)
    }
}

impl OverloadControl {
    /// Returns a control that refuses nothing yet.
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            fraction: 0.0,
            is_active: false,
            quiet_time: Duration::ZERO,
            is_busy: false,
            queueing_delay: Duration::ZERO,
            average_delay: Duration::ZERO,
            routes: BTreeMap::new(),
        }
    }

    /// Returns the part of the jobs to refuse, before it is weighted by route.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Records a decoded job: the longest wait for a start that meets its latency objective.
    pub fn record_job(&mut self, route: &RouteName, max_wait: Duration) {
        let Some(slack) = self.routes.get_mut(route) else {
            let slack = RouteSlack { max_wait, refusals_due: 0.0, idle: Duration::ZERO };
            self.routes.insert(route.clone(), slack);
            return;
        };
        slack.idle = Duration::ZERO;
        slack.max_wait =
            slack.max_wait.mul_f64(1.0 - SLACK_WEIGHT) + max_wait.mul_f64(SLACK_WEIGHT);
    }

    /// Adapts the fraction to the load of the last `elapsed`. To be called once a tick.
    pub fn update(&mut self, elapsed: Duration, load: &ProcessorLoad) {
        self.queueing_delay = load.recent_queueing_delay();
        self.average_delay = load.queueing_delay();
        self.is_busy = load.busy_share() >= MIN_BUSY_SHARE;
        for slack in self.routes.values_mut() {
            slack.idle = slack.idle.saturating_add(elapsed);
        }
        self.routes.retain(|_, slack| slack.idle <= ROUTE_RETENTION);
        let seconds = elapsed.as_secs_f64();
        let change = if self.is_busy {
            let excess = self.ratio_to(self.shortest_target_delay()) - 1.0;
            excess.min(1.0) * FRACTION_CHANGE_PER_S
        } else {
            -IDLE_FALL_PER_S
        };
        self.fraction = (self.fraction + change * seconds).clamp(0.0, MAX_FRACTION);
        let is_quiet = self.fraction <= 0.0;
        self.quiet_time = if is_quiet { self.quiet_time + elapsed } else { Duration::ZERO };
        self.log_activity();
    }

    /// Returns whether any job may be refused at present.
    pub fn may_refuse(&self) -> bool {
        if self.is_enabled { self.is_busy } else { self.queueing_delay > MAX_TARGET_DELAY }
    }

    /// Returns whether to refuse an arriving job of a route.
    ///
    /// The route of the least tolerant jobs is refused in the control's fraction, others in
    /// proportion to the part of their slack that the delay takes. Jobs that would be late are
    /// refused without waiting for the fraction to rise.
    pub fn refuses(&mut self, route: &RouteName) -> bool {
        if !self.is_enabled {
            return self.queueing_delay > MAX_TARGET_DELAY;
        }
        let probability = self.refusal_probability(route);
        let Some(slack) = self.routes.get_mut(route) else { return false };
        slack.idle = Duration::ZERO;
        slack.refusals_due += probability;
        let is_due = slack.refusals_due >= 1.0;
        slack.refusals_due -= f64::from(u8::from(is_due));
        is_due
    }

    /// Returns whether even the most tolerant jobs would be late, so that none should arrive.
    pub fn is_exhausted(&self) -> bool {
        if !self.is_enabled {
            return self.average_delay > MAX_TARGET_DELAY;
        }
        let targets = self.recent_target_delays();
        let longest = targets.max().unwrap_or(MAX_TARGET_DELAY);
        self.is_busy && self.average_delay >= longest.div_f64(SLACK_SHARE)
    }

    /// Returns the range of the random part of a refused job's retry delay: what is refused in a
    /// time `t` while the part `f` is refused takes `t * f / (1 - f)` to serve later.
    pub fn retry_spread(&self) -> Duration {
        RETRY_SPREAD.mul_f64((self.fraction / (1.0 - self.fraction)).max(1.0))
    }

    fn refusal_probability(&self, route: &RouteName) -> f64 {
        let Some(slack) = self.routes.get(route) else { return 0.0 };
        if !self.is_busy {
            return 0.0;
        }
        let ratio = self.ratio_to(slack.target_delay());
        let share = self.fraction * ratio.min(1.0);
        share.max((ratio - 1.0).clamp(0.0, MAX_FRACTION))
    }

    fn ratio_to(&self, target: Duration) -> f64 {
        self.queueing_delay.as_secs_f64() / target.as_secs_f64()
    }

    fn recent_target_delays(&self) -> impl Iterator<Item = Duration> {
        let recent = self.routes.values().filter(|slack| slack.idle <= ROUTE_IDLE_LIMIT);
        recent.map(RouteSlack::target_delay)
    }

    fn shortest_target_delay(&self) -> Duration {
        self.recent_target_delays().min().unwrap_or(MAX_TARGET_DELAY)
    }

    /// Logs when refusals start and stop.
    fn log_activity(&mut self) {
        let is_active = if self.is_active {
            self.quiet_time < STOP_DELAY
        } else {
            self.is_enabled && self.fraction >= START_FRACTION
        };
        if is_active == self.is_active {
            return;
        }
        self.is_active = is_active;
        tracing::info!(
            is_active,
            delay_us = self.queueing_delay.as_micros() as u64,
            target_us = self.shortest_target_delay().as_micros() as u64,
            "refusal for lack of processor time"
        );
    }
}

impl Entry {
    /// Switches the refusal of a fraction of the jobs on or off.
    pub fn set_overload_control(&mut self, is_enabled: bool) {
        self.overload = OverloadControl::new(is_enabled);
    }

    /// Returns the control that refuses jobs for lack of processor time.
    pub fn overload(&self) -> &OverloadControl {
        &self.overload
    }

    /// Returns the retry delay if an arriving job is to be refused for lack of processor time; to
    /// be called before its body is decoded.
    ///
    /// A job that is open here or at another entry, or has ended here, is not refused: it may have
    /// run.
    pub fn refuse_for_overload(&mut self, route: &Route, job: &str) -> Option<Duration> {
        if !self.overload.may_refuse() {
            return None;
        }
        let is_known = self.jobs.contains_key(job)
            || self.delegation.outgoing().contains(job)
            || self.answer_cache.get(job).is_some();
        if is_known || !self.overload.refuses(&route.name) {
            return None;
        }
        self.counters.arrived += 1;
        self.counters.refused += 1;
        self.counters.refused_by_processor += 1;
        let spread = self.overload.retry_spread();
        Some(admission::retry_after_within(Duration::ZERO, spread, self.rng.f64()))
    }

    /// Records that this process's thread was busy for `busy` of the last `elapsed`, and that an
    /// event waited for `queueing_delay` until the thread handled it.
    pub fn record_processor_load(
        &mut self,
        elapsed: Duration,
        busy: Duration,
        queueing_delay: Duration,
    ) {
        self.processor_load.record(elapsed, busy, queueing_delay);
        self.overload.update(elapsed, &self.processor_load);
    }

    /// Returns the load of this process's thread.
    pub fn processor_load(&self) -> &ProcessorLoad {
        &self.processor_load
    }
}
