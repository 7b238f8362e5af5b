//! How long submissions wait when an entry dies.

use std::{collections::BTreeMap, fmt, time::Duration};

use bulrushlatch_core::connection::placement::ZoneFirst;
use bulrushlatch_protocol::{answer::AnswerState, submission::Submission};

use super::{
    comparison::deployment_of,
    virtual_site::{FirstTarget, VirtualSite},
};
use crate::load::workload::Workload;

/// When the first entry dies.
const DEATH: Duration = Duration::from_secs(10);
/// Time for which submissions are made before and after the death.
const AROUND: Duration = Duration::from_secs(8);
/// Time between submissions.
const GAP: Duration = Duration::from_millis(25);
/// Time after which the last answers are there.
const END: Duration = Duration::from_secs(40);

/// What submissions at the other entries met.
#[derive(Clone, Debug, Default)]
pub struct FailoverReport {
    /// Submissions made after the death.
    pub submitted_after_kill: usize,
    /// Those of them that took over 1 s longer than their tasks.
    pub delayed: usize,
    /// The longest delay beyond the run time.
    pub longest_delay: Duration,
    /// Time from the death until the last submission was made that was delayed.
    pub last_delayed_after: Duration,
    /// Submissions that did not complete, also those open at the death.
    pub incomplete: usize,
    /// All submissions.
    pub submitted: usize,
}

impl fmt::Display for FailoverReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "submissions after the death {}, delayed over 1 s {}, longest delay {} ms, last delayed \
             one made {} ms after the death, not complete {} of {}",
            self.submitted_after_kill,
            self.delayed,
            self.longest_delay.as_millis(),
            self.last_delayed_after.as_millis(),
            self.incomplete,
            self.submitted,
        )
    }
}

/// Kills the first entry under a light load at the other ones.
pub fn run(workload: Workload, seed: u64) -> FailoverReport {
    let deployment = deployment_of(workload);
    let (team, service) = (workload.team(), workload.service());
    let make_rule = |index| ZoneFirst::new(seed + index);
    let mut site = VirtualSite::new(deployment, team, service, FirstTarget::Normal, make_rule);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut due = DEATH - AROUND;
    let mut made = BTreeMap::new();
    while due < DEATH + AROUND {
        let ticket = made.len() as u64 + 1;
        let planned = workload.generate(&mut random, &format!("job-{ticket}"));
        let submission = Submission { timeout_ms: 20_000, ..planned.submission };
        site.submit_at(due, 1 + made.len() % 2, ticket, submission);
        made.insert(ticket, (due, planned.longest_run_ms));
        due += GAP;
    }
    site.run_until(DEATH);
    site.kill_entry(0);
    site.run_until(END);
    let mut report = FailoverReport { submitted: made.len(), ..FailoverReport::default() };
    report.submitted_after_kill = made.values().filter(|(at, _)| *at > DEATH).count();
    let complete = site.answers.iter().filter(|given| given.answer.state == AnswerState::Complete);
    let mut completed = 0;
    for given in complete {
        let Some((at, run_ms)) = made.get(&given.ticket) else { continue };
        completed += 1;
        let delay = (given.at - *at).saturating_sub(Duration::from_millis(*run_ms));
        if *at > DEATH {
            report.longest_delay = report.longest_delay.max(delay);
        }
        if *at > DEATH && delay > Duration::from_secs(1) {
            report.delayed += 1;
            report.last_delayed_after = report.last_delayed_after.max(*at - DEATH);
        }
    }
    report.incomplete = report.submitted - completed;
    report
}
