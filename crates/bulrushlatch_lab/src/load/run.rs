//! Submitting at a rate.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::answer::{Answer, AnswerState};
use crossbeam::channel::{Receiver, unbounded};
use uuid::Uuid;

use super::{
    report::LoadReport,
    workload::{GeneratedSubmission, Workload},
};
use crate::target::LabResult;

/// Calls that may be open at once.
const CLIENT_THREADS: usize = 400;
/// Time added to the longest task for the ideal: the network there and back.
const IDEAL_NETWORK_MS: f64 = 1.0;
/// Longest delay before an id is submitted again.
const MAX_RESUBMIT_DELAY_MS: u64 = 300;

/// What to submit, where and how fast.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Caller addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Mix of submissions.
    pub workload: Workload,
    /// Submissions a second.
    pub rate_per_second: f64,
    /// Time to submit for.
    pub duration: Duration,
    /// Share of ids that are submitted again to another entry.
    pub resubmit_percent: u32,
    /// Seed of all random choices but the ids.
    pub seed: u64,
}

/// One call to make.
struct Call {
    planned: Arc<GeneratedSubmission>,
    entry: SocketAddr,
    due: Instant,
    /// Answer of the first call under the same id, to compare with.
    answers: Arc<Mutex<Vec<String>>>,
}

/// Puts the load on and returns what came of it.
pub fn run(plan: &LoadPlan) -> LoadReport {
    let report = Arc::new(Mutex::new(LoadReport::default()));
    let (sender, receiver) = unbounded::<Call>();
    let threads = (0..CLIENT_THREADS).map(|_| {
        let receiver = receiver.clone();
        let report = Arc::clone(&report);
        thread::spawn(move || serve_calls(&receiver, &report))
    });
    let threads: Vec<_> = threads.collect();
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let begun = Instant::now();
    let mut due = begun;
    while due.duration_since(begun) < plan.duration {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let is_again = random.u32(..100) < plan.resubmit_percent;
        let calls = plan_calls(plan, &mut random, due, is_again);
        {
            let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
            report.tasks += calls[0].planned.submission.tasks.len() as u64;
            report.resubmitted += calls.len() as u64 - 1;
        }
        for call in calls {
            // The receivers live until the sender is dropped.
            let _ = sender.send(call);
        }
        // Arrivals are independent: the gaps are exponential.
        let gap_s = -(1.0 - random.f64()).ln() / plan.rate_per_second;
        due += Duration::from_secs_f64(gap_s);
    }
    drop(sender);
    for thread in threads {
        // A panic of a client has been printed already.
        let _ = thread.join();
    }
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *report)
}

fn plan_calls(
    plan: &LoadPlan,
    random: &mut fastrand::Rng,
    due: Instant,
    is_again: bool,
) -> Vec<Call> {
    let submission_id = Uuid::now_v7().to_string();
    let planned = Arc::new(plan.workload.generate(random, &submission_id));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let first = random.usize(..plan.entries.len());
    let call = |entry: usize, due: Instant| Call {
        planned: Arc::clone(&planned),
        entry: plan.entries[entry % plan.entries.len()],
        due,
        answers: Arc::clone(&answers),
    };
    let mut calls = vec![call(first, due)];
    if is_again {
        let delay = Duration::from_millis(random.u64(..MAX_RESUBMIT_DELAY_MS));
        calls.push(call(first + 1, due + delay));
    }
    calls
}

fn serve_calls(calls: &Receiver<Call>, report: &Mutex<LoadReport>) {
    let config = ureq::Agent::config_builder().http_status_as_error(false).proxy(None).build();
    let client = ureq::Agent::new_with_config(config);
    for call in calls {
        let is_again = call.due > Instant::now();
        thread::sleep(call.due.saturating_duration_since(Instant::now()));
        let answer = submit(&client, &call);
        let response_ms = call.due.elapsed().as_secs_f64() * 1000.0;
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        match answer {
            Some(answer) => note_answer(&mut report, &call, &answer, response_ms, is_again),
            None => report.lost_calls += 1,
        }
    }
}

fn submit(client: &ureq::Agent, call: &Call) -> Option<Answer> {
    let url = format!("http://{}/v1/submissions", call.entry);
    let body = serde_json::to_string(&call.planned.submission).ok()?;
    let mut response = client.post(url).send(body).ok()?;
    let body = response.body_mut().read_to_string().ok()?;
    serde_json::from_str(&body).ok()
}

fn note_answer(
    report: &mut LoadReport,
    call: &Call,
    answer: &Answer,
    response_ms: f64,
    is_again: bool,
) {
    *report.answers.entry(answer.state).or_default() += 1;
    if let Some(reason) = answer.reason {
        *report.refusals.entry(reason).or_default() += 1;
    }
    if answer.state != AnswerState::Complete {
        return;
    }
    if !is_again {
        let ideal_ms = call.planned.longest_run_ms as f64 + IDEAL_NETWORK_MS;
        report.record_response_time(response_ms, ideal_ms);
    }
    if let Some(fault) = fault_of(call, answer) {
        report.wrong_answers.push(format!("{}: {fault}", answer.submission_id));
    }
}

/// Returns what is wrong with a complete answer.
fn fault_of(call: &Call, answer: &Answer) -> Option<&'static str> {
    let submission = &call.planned.submission;
    if answer.results.len() != submission.tasks.len() {
        return Some("the answer is partial");
    }
    for (index, result) in (0..).zip(&answer.results) {
        let result: LabResult = serde_json::from_str(result.get()).ok()?;
        if result.index != index || result.submission_id != *submission.submission_id {
            return Some("a result belongs to another task");
        }
    }
    let results: Vec<&str> = answer.results.iter().map(|result| result.get()).collect();
    let mut answers = call.answers.lock().unwrap_or_else(PoisonError::into_inner);
    answers.push(results.join(","));
    (answers[0] != answers[answers.len() - 1]).then_some("two answers to one id differ")
}
