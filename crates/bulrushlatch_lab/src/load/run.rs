//! Sends submissions at a given rate.

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

/// Number of client threads, which limits the calls that are open at once.
const CLIENT_THREADS: usize = 400;
/// Network round trip that the ideal response time adds to the run time of the longest task.
const IDEAL_NETWORK_MS: f64 = 1.0;
/// Upper bound of the delay before a submission is sent again.
const MAX_RESUBMIT_DELAY_MS: u64 = 300;

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Caller addresses of the entries that submissions are sent to.
    pub entries: Vec<SocketAddr>,
    /// Mix of submissions.
    pub workload: Workload,
    /// Average number of submissions per second.
    pub rate_per_second: f64,
    /// Time during which submissions are sent.
    pub duration: Duration,
    /// Percentage of submissions that are also sent to a second entry.
    pub resubmit_percent: u32,
    /// Seed of all random choices except the submission ids.
    pub seed: u64,
}

/// A call that a client thread makes when it is due.
struct Call {
    generated: Arc<GeneratedSubmission>,
    entry: SocketAddr,
    due: Instant,
    /// Results of complete answers so far, shared by all calls with the same submission id.
    answers: Arc<Mutex<Vec<String>>>,
}

/// Sends the load that a plan describes, waits for all answers and returns the report.
pub fn run(plan: &LoadPlan) -> LoadReport {
    let report = Arc::new(Mutex::new(LoadReport::default()));
    let (sender, receiver) = unbounded::<Call>();
    let threads = (0..CLIENT_THREADS).map(|_| {
        let receiver = receiver.clone();
        let report = Arc::clone(&report);
        thread::spawn(move || make_calls(&receiver, &report))
    });
    let threads: Vec<_> = threads.collect();
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let started_at = Instant::now();
    let mut due = started_at;
    while due.duration_since(started_at) < plan.duration {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let is_resubmitted = random.u32(..100) < plan.resubmit_percent;
        let calls = plan_calls(plan, &mut random, due, is_resubmitted);
        {
            let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
            report.tasks += calls[0].generated.submission.tasks.len() as u64;
            report.resubmitted += calls.len() as u64 - 1;
        }
        for call in calls {
            // Cannot fail: the receivers live until the sender is dropped.
            let _ = sender.send(call);
        }
        // Arrivals form a Poisson process: the times between them are exponentially distributed.
        let gap_s = -(1.0 - random.f64()).ln() / plan.rate_per_second;
        due += Duration::from_secs_f64(gap_s);
    }
    drop(sender);
    for thread in threads {
        // The panic hook has already printed a panic of a client thread.
        let _ = thread.join();
    }
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *report)
}

fn plan_calls(
    plan: &LoadPlan,
    random: &mut fastrand::Rng,
    due: Instant,
    is_resubmitted: bool,
) -> Vec<Call> {
    let submission_id = Uuid::now_v7().to_string();
    let generated = Arc::new(plan.workload.generate(random, &submission_id));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let first = random.usize(..plan.entries.len());
    let call = |entry: usize, due: Instant| Call {
        generated: Arc::clone(&generated),
        entry: plan.entries[entry % plan.entries.len()],
        due,
        answers: Arc::clone(&answers),
    };
    let mut calls = vec![call(first, due)];
    if is_resubmitted {
        let delay = Duration::from_millis(random.u64(..MAX_RESUBMIT_DELAY_MS));
        calls.push(call(first + 1, due + delay));
    }
    calls
}

fn make_calls(calls: &Receiver<Call>, report: &Mutex<LoadReport>) {
    let config = ureq::Agent::config_builder().http_status_as_error(false).proxy(None).build();
    let client = ureq::Agent::new_with_config(config);
    for call in calls {
        // First calls are queued when they are due, resubmissions earlier. A resubmission that is
        // overdue when a thread takes it counts as a first call.
        let is_resubmission = call.due > Instant::now();
        thread::sleep(call.due.saturating_duration_since(Instant::now()));
        let answer = submit(&client, &call);
        let response_ms = call.due.elapsed().as_secs_f64() * 1000.0;
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        match answer {
            Some(answer) => {
                record_answer(&mut report, &call, &answer, response_ms, is_resubmission);
            }
            None => report.lost_calls += 1,
        }
    }
}

fn submit(client: &ureq::Agent, call: &Call) -> Option<Answer> {
    let url = format!("http://{}/v1/submissions", call.entry);
    let body = serde_json::to_string(&call.generated.submission).ok()?;
    let mut response = client.post(url).send(body).ok()?;
    let body = response.body_mut().read_to_string().ok()?;
    serde_json::from_str(&body).ok()
}

fn record_answer(
    report: &mut LoadReport,
    call: &Call,
    answer: &Answer,
    response_ms: f64,
    is_resubmission: bool,
) {
    *report.answers.entry(answer.state).or_default() += 1;
    if let Some(reason) = answer.reason {
        *report.refusals.entry(reason).or_default() += 1;
    }
    if answer.state != AnswerState::Complete {
        return;
    }
    if !is_resubmission {
        let ideal_ms = call.generated.longest_run_ms as f64 + IDEAL_NETWORK_MS;
        report.record_response_time(response_ms, ideal_ms);
    }
    if let Some(error) = answer_error(call, answer) {
        report.wrong_answers.push(format!("{}: {error}", answer.submission_id));
    }
}

/// Returns what is wrong with the results of a complete answer, if anything.
///
/// A result that is not a [`LabResult`] ends the check and counts as correct.
fn answer_error(call: &Call, answer: &Answer) -> Option<&'static str> {
    let submission = &call.generated.submission;
    if answer.results.len() != submission.tasks.len() {
        return Some("the number of results differs from the number of tasks");
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
    (answers[0] != answers[answers.len() - 1])
        .then_some("the results differ from the first complete answer to the same id")
}
