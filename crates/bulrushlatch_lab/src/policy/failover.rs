//! Measures how long submissions are delayed after an entry is killed.

use std::{collections::BTreeMap, fmt, time::Duration};

use bulrushlatch_core::connection::placement::ZoneFirst;
use bulrushlatch_protocol::{answer::AnswerState, submission::Submission};

use super::{
    comparison::site_config_of,
    virtual_site::{FirstTarget, VirtualSite},
};
use crate::load::workload::Workload;

/// Time at which the first entry is killed.
const KILL_TIME: Duration = Duration::from_secs(10);
/// Time before and after the kill during which submissions are sent.
const LOAD_MARGIN: Duration = Duration::from_secs(8);
/// Time between submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(25);
/// Time by which all answers have arrived: after the timeout of the last submission.
const END_TIME: Duration = Duration::from_secs(40);
/// Delay above which a submission counts as delayed.
const LONG_DELAY: Duration = Duration::from_secs(1);

/// Delays of submissions to the entries that were not killed.
#[derive(Clone, Debug, Default)]
pub struct FailoverReport {
    /// Submissions sent after the kill.
    pub submitted_after_kill: usize,
    /// Submissions sent after the kill that took over 1 s longer than their longest task.
    pub delayed: usize,
    /// Longest delay of a submission sent after the kill, beyond the run time of its longest task.
    pub longest_delay: Duration,
    /// Time from the kill until the last delayed submission was sent.
    pub last_delayed_after: Duration,
    /// Submissions that did not complete, including those that were open at the kill.
    pub incomplete: usize,
    /// Submissions sent before and after the kill.
    pub submitted: usize,
}

impl fmt::Display for FailoverReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "submissions after the kill {}, delayed over 1 s {}, longest delay {} ms, last delayed \
             submission sent {} ms after the kill, incomplete {} of {}",
            self.submitted_after_kill,
            self.delayed,
            self.longest_delay.as_millis(),
            self.last_delayed_after.as_millis(),
            self.incomplete,
            self.submitted,
        )
    }
}

/// Kills the first entry while the other entries receive a light load.
pub fn run(workload: Workload, seed: u64) -> FailoverReport {
    let config = site_config_of(workload);
    let (team, service) = (workload.team(), workload.service());
    let make_rule = |index| ZoneFirst::new(seed + index);
    let mut site = VirtualSite::new(config, team, service, FirstTarget::Normal, make_rule);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut due = KILL_TIME - LOAD_MARGIN;
    let mut sent = BTreeMap::new();
    while due < KILL_TIME + LOAD_MARGIN {
        let ticket = sent.len() as u64 + 1;
        let generated = workload.generate(&mut random, &format!("job-{ticket}"));
        let submission = Submission { timeout_ms: 20_000, ..generated.submission };
        site.submit_at(due, 1 + sent.len() % 2, ticket, submission);
        sent.insert(ticket, (due, generated.longest_run_ms));
        due += SUBMIT_INTERVAL;
    }
    site.run_until(KILL_TIME);
    site.kill_entry(0);
    site.run_until(END_TIME);
    let mut report = FailoverReport { submitted: sent.len(), ..FailoverReport::default() };
    report.submitted_after_kill = sent.values().filter(|(sent_at, _)| *sent_at > KILL_TIME).count();
    let complete = site
        .answers
        .iter()
        .filter(|client_answer| client_answer.answer.state == AnswerState::Complete);
    let mut completed = 0;
    for client_answer in complete {
        let Some((sent_at, run_ms)) = sent.get(&client_answer.ticket) else { continue };
        completed += 1;
        let delay = (client_answer.at - *sent_at).saturating_sub(Duration::from_millis(*run_ms));
        if *sent_at > KILL_TIME {
            report.longest_delay = report.longest_delay.max(delay);
        }
        if *sent_at > KILL_TIME && delay > LONG_DELAY {
            report.delayed += 1;
            report.last_delayed_after = report.last_delayed_after.max(*sent_at - KILL_TIME);
        }
    }
    report.incomplete = report.submitted - completed;
    report
}
