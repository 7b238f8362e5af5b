//! A demo that submits jobs to a site in one process and checks the answers.

use std::{collections::BTreeMap, net::SocketAddr};

use bulrushlatch_protocol::answer::{Answer, AnswerState};
use serde_json::{Value, json};

use crate::{
    site::{Site, SiteConfig},
    target::LabResult,
};

/// Number of tasks in the submission.
const TASK_COUNT: u32 = 6;

/// Runs the demo and prints each step: a submission is answered completely, submitting it again
/// at another entry gives the same answer, another body under its id is refused, and every task
/// starts once.
///
/// # Errors
///
/// Returns a description of the first step that failed or gave an unexpected answer.
pub fn run() -> Result<(), String> {
    let config = SiteConfig {
        zones: 2,
        entries: 2,
        agents: 2,
        slots: 8,
        service: "listing".to_owned(),
        team: "marea".to_owned(),
    };
    println!("starting a log, {} entries, {} agents and targets", config.entries, config.agents);
    let site = Site::start(&config).map_err(|error| error.to_string())?;
    let entries = site.caller_addresses();
    let first = submit(entries[0], &submission_body("demo-1", "photo"))?;
    check_complete(&first, "demo-1")?;
    println!("entry 0 answered demo-1: {} results in task order", first.results.len());
    let again = submit(entries[1], &submission_body("demo-1", "photo"))?;
    check_complete(&again, "demo-1")?;
    println!("entry 1 gave the same answer when demo-1 was submitted again");
    let other_body = submit(entries[1], &submission_body("demo-1", "price"))?;
    check(
        other_body.state == AnswerState::Refused,
        "another body under id demo-1 was not refused",
    )?;
    println!("another body under the id was refused: {}", other_body.message);
    let mut starts: BTreeMap<_, u32> = BTreeMap::new();
    for target in &site.targets {
        for (task, count) in target.starts() {
            *starts.entry(task).or_default() += count;
        }
    }
    check(
        starts.len() == TASK_COUNT as usize,
        &format!("only {} of {TASK_COUNT} tasks were started", starts.len()),
    )?;
    check(starts.values().all(|&count| count == 1), "a task was started more than once")?;
    println!("the targets started {} tasks, each once", starts.len());
    site.stop();
    println!("all processes have shut down");
    Ok(())
}

fn submission_body(submission_id: &str, kind: &str) -> Value {
    let task = json!({ "kind": kind, "payload": { "run_ms": 60 } });
    json!({
        "submission_id": submission_id,
        "team": "marea",
        "service": "listing",
        "timeout_ms": 5000,
        "tasks": vec![task; TASK_COUNT as usize],
    })
}

fn submit(entry: SocketAddr, submission: &Value) -> Result<Answer, String> {
    let request = attohttpc::post(format!("http://{entry}/v1/submissions")).json(submission);
    let request = request.map_err(|error| error.to_string())?;
    let response = request.send().map_err(|error| error.to_string())?;
    response.json().map_err(|error| error.to_string())
}

fn check_complete(answer: &Answer, submission_id: &str) -> Result<(), String> {
    check(
        answer.state == AnswerState::Complete,
        &format!("{submission_id} is not complete: {answer:?}"),
    )?;
    check(
        answer.results.len() == TASK_COUNT as usize,
        &format!("{submission_id} has {} of {TASK_COUNT} results", answer.results.len()),
    )?;
    for (index, result) in (0..).zip(&answer.results) {
        let result: LabResult =
            serde_json::from_str(result.get()).map_err(|error| error.to_string())?;
        let is_expected = result.submission_id == submission_id && result.index == index;
        check(is_expected, &format!("result {index} of {submission_id} belongs to another task"))?;
    }
    Ok(())
}

fn check(is_met: bool, failure: &str) -> Result<(), String> {
    if is_met { Ok(()) } else { Err(failure.to_owned()) }
}
