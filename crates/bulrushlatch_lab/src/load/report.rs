//! Response times, answers and errors of a load.

use std::{collections::BTreeMap, fmt};

use bulrushlatch_protocol::answer::{AnswerState, Reason};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Factor that turns ratios into the integers that a histogram stores.
const RATIO_SCALE: f64 = 1000.0;
/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Measurements recorded during a load.
#[derive(Debug)]
pub struct LoadReport {
    ratios: Histogram<u64>,
    response_ms: Histogram<u64>,
    /// Answers by state.
    pub answers: BTreeMap<AnswerState, u64>,
    /// Refusals by reason.
    pub refusals: BTreeMap<Reason, u64>,
    /// Submissions sent a second time under the same id.
    pub resubmitted: u64,
    /// Number of tasks in all submissions.
    pub tasks: u64,
    /// Descriptions of answers that were partial, had results of another submission, or differed
    /// from the first complete answer to the same id.
    pub wrong_answers: Vec<String>,
    /// Calls that got no answer.
    pub lost_calls: u64,
}

/// Summary of a [`LoadReport`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadFigures {
    /// Median of the response time divided by the ideal response time.
    pub ratio_p50: f64,
    /// 99th percentile of the response time divided by the ideal response time.
    pub ratio_p99: f64,
    /// Median response time.
    pub response_p50_ms: u64,
    /// 99th percentile of the response time.
    pub response_p99_ms: u64,
    /// Answers by state.
    pub answers: BTreeMap<AnswerState, u64>,
    /// Refusals by reason.
    pub refusals: BTreeMap<Reason, u64>,
    /// Submissions sent a second time under the same id.
    pub resubmitted: u64,
    /// Number of tasks in all submissions.
    pub tasks: u64,
    /// Number of wrong answers.
    pub wrong_answers: usize,
    /// Calls that got no answer.
    pub lost_calls: u64,
    /// Messages between processes per task, if measured.
    pub messages_per_task: Option<f64>,
    /// Calls between processes per task, if measured.
    pub calls_per_task: Option<f64>,
    /// Starts per task, if measured.
    pub starts_per_task: Option<f64>,
    /// Tasks started more than once at the same target, if measured.
    pub repeated_tasks: Option<usize>,
}

impl Default for LoadReport {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, 10_000_000, HISTOGRAM_DIGITS)
                .expect("constant bounds are valid")
        };
        Self {
            ratios: histogram(),
            response_ms: histogram(),
            answers: BTreeMap::new(),
            refusals: BTreeMap::new(),
            resubmitted: 0,
            tasks: 0,
            wrong_answers: Vec::new(),
            lost_calls: 0,
        }
    }
}

impl LoadReport {
    /// Records the response time of a complete answer and its ratio to the ideal response time.
    pub fn record_response_time(&mut self, response_ms: f64, ideal_ms: f64) {
        let ratio = (response_ms / ideal_ms.max(1.0) * RATIO_SCALE).round() as u64;
        self.ratios.saturating_record(ratio.max(1));
        self.response_ms.saturating_record((response_ms.round() as u64).max(1));
    }

    /// Returns the summary; figures that need counters of the site are left empty.
    pub fn figures(&self) -> LoadFigures {
        let ratio = |quantile| self.ratios.value_at_quantile(quantile) as f64 / RATIO_SCALE;
        LoadFigures {
            ratio_p50: ratio(0.5),
            ratio_p99: ratio(0.99),
            response_p50_ms: self.response_ms.value_at_quantile(0.5),
            response_p99_ms: self.response_ms.value_at_quantile(0.99),
            answers: self.answers.clone(),
            refusals: self.refusals.clone(),
            resubmitted: self.resubmitted,
            tasks: self.tasks,
            wrong_answers: self.wrong_answers.len(),
            lost_calls: self.lost_calls,
            ..LoadFigures::default()
        }
    }
}

impl fmt::Display for LoadFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "response time over the ideal: p50 {:.3}, p99 {:.3}",
            self.ratio_p50, self.ratio_p99
        )?;
        writeln!(
            f,
            "response time: p50 {} ms, p99 {} ms",
            self.response_p50_ms, self.response_p99_ms
        )?;
        for (state, count) in &self.answers {
            writeln!(f, "answers {state}: {count}")?;
        }
        for (reason, count) in &self.refusals {
            writeln!(f, "refused {reason}: {count}")?;
        }
        writeln!(f, "tasks {}, submitted again {}", self.tasks, self.resubmitted)?;
        if let (Some(messages), Some(calls)) = (self.messages_per_task, self.calls_per_task) {
            writeln!(f, "messages per task {messages:.3}, calls per task {calls:.3}")?;
        }
        if let (Some(starts), Some(repeated)) = (self.starts_per_task, self.repeated_tasks) {
            writeln!(f, "starts per task {starts:.3}, started twice {repeated}")?;
        }
        write!(f, "wrong answers {}, lost calls {}", self.wrong_answers, self.lost_calls)
    }
}
