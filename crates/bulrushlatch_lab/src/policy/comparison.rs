//! Runs the same load under each placement rule and scenario.

use std::{collections::BTreeMap, fmt, time::Duration};

use bulrushlatch_core::connection::placement::{
    AnyFree, MostFree, PlacementRule, PowerOfTwo, ZoneFirst,
};
use bulrushlatch_protocol::answer::AnswerState;

use super::virtual_site::{FirstTarget, VirtualSite, VirtualSiteConfig};
use crate::load::{
    report::{LoadFigures, LoadReport},
    workload::{GeneratedSubmission, Workload},
};

/// Time that a new site takes to become ready.
const READY_TIME: Duration = Duration::from_secs(3);
/// Time after the end of the load in which the last answers arrive; longer than the longest timeout,
/// which is 30 s.
const DRAIN_TIME: Duration = Duration::from_secs(40);
/// Network time in the ideal response time: the round trips from the client to its entry and from
/// the entry to an agent in its availability zone.
const IDEAL_NETWORK_MS: f64 = 2.4;
/// Offset of the tickets of cancellations, which keeps them apart from those of submissions.
const CANCEL_TICKET_BASE: u64 = 1 << 40;
/// Factor by which the rate grows during a burst.
const BURST_FACTOR: f64 = 3.0;

/// Name of a placement rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum RuleName {
    /// Any agent with a free slot.
    AnyFree,
    /// The agent with more free slots of two random ones.
    PowerOfTwo,
    /// The agent with the most free slots.
    MostFree,
    /// Agents in the availability zone of the entry first.
    ZoneFirst,
}

/// Load and faults to compare placement rules under.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Mix of submissions, which also determines the simulated site.
    pub workload: Workload,
    /// Load as a share of the slots, 1 being all of them.
    pub load: f64,
    /// Whether the load is three times as high during a tenth of the time.
    pub has_burst: bool,
    /// Whether callers declare run times that are ten times too short or too long.
    pub has_wrong_hints: bool,
    /// Whether a third of the submissions of one second are cancelled at once.
    pub has_cancel_wave: bool,
    /// Behaviour of the first target.
    pub first_target: FirstTarget,
    /// Time during which submissions are sent.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Measurements of a scenario under one placement rule.
#[derive(Clone, Debug)]
pub struct ComparisonRow {
    /// Placement rule that was used.
    pub rule: RuleName,
    /// Scenario that was run.
    pub scenario: Scenario,
    /// Response times and answers.
    pub figures: LoadFigures,
    /// Messages for submissions, tasks and quotas, per task.
    pub work_messages_per_task: f64,
    /// Slot time of completely answered submissions, as a share of the slot time available during
    /// the load.
    pub goodput: f64,
}

impl fmt::Display for ComparisonRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scenario = &self.scenario;
        let answers = |state| self.figures.answers.get(&state).copied().unwrap_or(0);
        let all: u64 = self.figures.answers.values().sum();
        write!(
            f,
            "{:<6} load {:>3.0}%{} {:<9} {:<12} ratio p50 {:.3} p99 {:.3}  messages/task {:.3}  \
             goodput {:.3}  complete {} failed {} refused {} of {}",
            scenario.workload.to_string(),
            scenario.load * 100.0,
            if scenario.has_burst { " burst" } else { "      " },
            scenario.first_target.to_string(),
            self.rule.to_string(),
            self.figures.ratio_p50,
            self.figures.ratio_p99,
            self.work_messages_per_task,
            self.goodput,
            answers(AnswerState::Complete),
            answers(AnswerState::Failed),
            answers(AnswerState::Refused),
            all,
        )
    }
}

/// Runs a scenario under a placement rule.
pub fn run(rule: RuleName, scenario: Scenario) -> ComparisonRow {
    match rule {
        RuleName::AnyFree => run_with(rule, scenario, AnyFree::new),
        RuleName::PowerOfTwo => run_with(rule, scenario, PowerOfTwo::new),
        RuleName::MostFree => run_with(rule, scenario, MostFree::new),
        RuleName::ZoneFirst => run_with(rule, scenario, ZoneFirst::new),
    }
}

/// Returns the size and latencies of the simulated site for a workload.
pub fn site_config_of(workload: Workload) -> VirtualSiteConfig {
    let (zones, zone_delay) = match workload {
        Workload::Marea => (4, Duration::from_micros(1500)),
        Workload::Fairgo => (3, Duration::from_micros(500)),
    };
    VirtualSiteConfig { zones, zone_delay, entries: 3, agents: 11, slots: 8 }
}

/// Declares run times of the tasks that are ten times too long or too short.
fn declare_wrong_run_times(generated: &mut GeneratedSubmission, random: &mut fastrand::Rng) {
    for (task, run_ms) in generated.submission.tasks.iter_mut().zip(&generated.run_ms) {
        let wrong_ms = if random.bool() { run_ms * 10 } else { run_ms / 10 };
        task.expected_ms = Some(wrong_ms.max(1));
    }
}

fn run_with<P: PlacementRule>(
    rule: RuleName,
    scenario: Scenario,
    make_rule: impl Fn(u64) -> P,
) -> ComparisonRow {
    let workload = scenario.workload;
    let config = site_config_of(workload);
    let (team, service) = (workload.team(), workload.service());
    let mut site = VirtualSite::new(config, team, service, scenario.first_target, make_rule);
    site.run_until(READY_TIME);
    let messages_before = site.messages.work;
    let mut random = fastrand::Rng::with_seed(scenario.seed);
    let all_slots = f64::from(config.slots) * config.agents as f64;
    let rate = scenario.load * all_slots * 1000.0 / workload.average_slot_ms();
    let mut due = READY_TIME;
    let mut sent = BTreeMap::new();
    let mut report = LoadReport::default();
    while due < READY_TIME + scenario.duration {
        let ticket = sent.len() as u64 + 1;
        let mut generated = workload.generate(&mut random, &format!("job-{ticket}"));
        if scenario.has_wrong_hints {
            declare_wrong_run_times(&mut generated, &mut random);
        }
        report.tasks += generated.submission.tasks.len() as u64;
        let entry = random.usize(..config.entries);
        site.submit_at(due, entry, ticket, generated.submission.clone());
        let progress = (due - READY_TIME).as_secs_f64() / scenario.duration.as_secs_f64();
        let wave_at = READY_TIME + scenario.duration / 2;
        let is_in_wave = scenario.has_cancel_wave
            && (wave_at.saturating_sub(Duration::from_secs(1))..wave_at).contains(&due);
        if is_in_wave && random.u32(..3) == 0 {
            let id = generated.submission.submission_id.clone();
            site.cancel_at(
                wave_at,
                random.usize(..config.entries),
                CANCEL_TICKET_BASE + ticket,
                id,
            );
        }
        sent.insert(ticket, (due, generated));
        let is_burst = scenario.has_burst && (0.5..0.6).contains(&progress);
        let factor = if is_burst { BURST_FACTOR } else { 1.0 };
        due += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / (rate * factor));
    }
    site.run_until(READY_TIME + scenario.duration + DRAIN_TIME);
    let mut completed_slot_ms = 0;
    for client_answer in &site.answers {
        let Some((sent_at, generated)) = sent.get(&client_answer.ticket) else { continue };
        *report.answers.entry(client_answer.answer.state).or_default() += 1;
        if let Some(reason) = client_answer.answer.reason {
            *report.refusals.entry(reason).or_default() += 1;
        }
        if client_answer.answer.state == AnswerState::Complete {
            let response_ms = (client_answer.at - *sent_at).as_secs_f64() * 1000.0;
            report.record_response_time(
                response_ms,
                generated.longest_run_ms as f64 + IDEAL_NETWORK_MS,
            );
            completed_slot_ms += generated.slot_ms();
        }
    }
    let tasks = report.tasks.max(1) as f64;
    let available_slot_ms = all_slots * scenario.duration.as_secs_f64() * 1000.0;
    ComparisonRow {
        rule,
        scenario,
        figures: report.figures(),
        work_messages_per_task: (site.messages.work - messages_before) as f64 / tasks,
        goodput: completed_slot_ms as f64 / available_slot_ms,
    }
}
