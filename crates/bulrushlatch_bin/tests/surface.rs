//! The interfaces for callers and operators: refusals, settings, status, metrics and failures of
//! targets and the log.

mod support;

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bulrushlatch_protocol::{
    answer::{Answer, AnswerState, Reason},
    verdict::Verdict,
};
use serde_json::{Value, json};
use support::{ProgramSite, get_json, submission};

fn post(site: &ProgramSite, body: &str) -> (u16, Answer) {
    let url = format!("http://{}/v1/submissions", site.entries[0].address);
    let response = attohttpc::post(url).text(body).send().expect("the entry answers");
    let status = response.status().as_u16();
    (status, response.json().expect("the answer is JSON"))
}

/// Returns a request body with a valid submission that `edit` has changed.
fn body_with(edit: impl Fn(&mut Value)) -> String {
    let mut job = submission("bad", 2, 50, 5_000);
    edit(&mut job);
    job.to_string()
}

#[test]
fn invalid_submissions_are_refused_with_the_name_of_the_field() {
    let site = ProgramSite::start(1, 1);
    let cases = [
        ("{".to_owned(), 400, Reason::BadRequest, "EOF"),
        (body_with(|job| job["tasks"] = json!([])), 400, Reason::BadRequest, "tasks"),
        (body_with(|job| job["timeout_ms"] = json!(0)), 400, Reason::BadRequest, "timeout_ms"),
        (body_with(|job| job["surprise"] = json!(1)), 400, Reason::BadRequest, "surprise"),
        (body_with(|job| job["team"] = json!("nobody")), 404, Reason::UnknownTeam, "team"),
        (body_with(|job| job["service"] = json!("none")), 404, Reason::UnknownService, "service"),
        (body_with(|job| job["tasks"][1]["slots"] = json!(99)), 400, Reason::NeverFits, "tasks[1]"),
        ("x".repeat(9 * 1024 * 1024), 413, Reason::TooLarge, "body"),
    ];
    for (body, status, reason, field) in cases {
        let (got, answer) = post(&site, &body);
        assert_eq!((got, answer.reason), (status, Some(reason)), "{answer:?}");
        assert_eq!(answer.ran, Verdict::NotRun);
        assert!(answer.message.contains(field), "{field} is not named: {answer:?}");
    }
    assert_eq!(site.started_tasks(), 0);
}

#[test]
fn settings_take_effect_without_a_restart() {
    let site = ProgramSite::start(2, 2);
    let stale = site.publish("stale", "marea", "marea", "quota_slots", &json!(1), 7);
    assert_eq!(stale["outcome"]["rejected"], "stale_version");
    let foreign = site.publish("foreign", "fairgo", "marea", "quota_slots", &json!(1), 0);
    assert_eq!(foreign["outcome"]["rejected"], "foreign_branch");
    let off = site.publish("off", "marea", "marea/listing", "enabled", &json!(false), 0);
    assert_eq!(off["outcome"]["accepted"], 1);
    let again = site.publish("off", "marea", "marea/listing", "enabled", &json!(false), 0);
    assert_eq!(again["outcome"]["accepted"], 1, "a change id takes effect once");
    // A repeated id would get the answer from before the entry read the change, so each submission
    // has a new id.
    let numbers = AtomicU32::new(0);
    let submit_new = |site: &ProgramSite, entry: usize| {
        let id = format!("new-{}", numbers.fetch_add(1, Ordering::Relaxed));
        site.submit(entry, &submission(&id, 1, 50, 5_000))
    };
    site.wait_until(|site| {
        let mut answers = (0..8).map(|number| submit_new(site, number % 2));
        answers.all(|answer| answer.reason == Some(Reason::UnknownService))
    });
    site.publish("on", "marea", "marea/listing", "enabled", &json!(true), 1);
    site.wait_until(|site| {
        let mut answers = (0..8).map(|number| submit_new(site, number % 2));
        answers.all(|answer| answer.state == AnswerState::Complete)
    });
}

#[test]
fn a_drained_target_gets_no_new_work() {
    let site = ProgramSite::start(2, 2);
    let entries: Vec<String> = site.entries.iter().map(|entry| entry.address.to_string()).collect();
    let entries = entries.join(",");
    let drain = ["--entries", &entries, "drain", "agent-0", "--reason", "a test"];
    let output = support::run_program("bulrushctl", &drain);
    assert!(output.status.success(), "{output:?}");
    site.wait_until(|site| {
        let status = get_json(site.entries[1].address, "/v1/status").expect("a status");
        let agents = status["agents"].as_array().expect("agents").clone();
        agents.iter().any(|agent| agent["name"] == "agent-0" && agent["state"] == "drained")
    });
    std::thread::sleep(Duration::from_secs(1));
    let started =
        || get_json(site.targets[0].address, "/starts").expect("a count")["started"].clone();
    let before = started();
    for n in 0..6 {
        let answer = site.submit(n % 2, &submission(&format!("drained-{n}"), 3, 50, 5_000));
        assert_eq!(answer.state, AnswerState::Complete, "{answer:?}");
    }
    assert_eq!(started(), before);
}

#[test]
fn operators_see_settings_audit_status_and_metrics() {
    let site = ProgramSite::start(1, 1);
    site.publish("weight", "marea", "marea", "weight", &json!(3), 0);
    let entry = site.entries[0].address.to_string();
    let run = |arguments: &[&str]| {
        let output =
            support::run_program("bulrushctl", &[&["--entries", &entry], arguments].concat());
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    };
    assert!(run(&["show"]).contains("weight"));
    assert!(run(&["explain", "marea/listing", "weight"]).contains("marea"));
    assert!(run(&["audit"]).contains("accepted as version 1"));
    assert!(run(&["status"]).contains("agent-0"));
    let status: Value = serde_json::from_str(&run(&["--json", "status"])).expect("JSON");
    assert_eq!(status["is_ready"], true);
    let url = format!("http://{entry}/metrics");
    let metrics = attohttpc::get(url).send().and_then(attohttpc::Response::text).expect("metrics");
    assert!(metrics.contains("bulrushlatch_entry_owned_slices 128"), "{metrics}");
    let refused = support::run_program("bulrushctl", &["--entries", "127.0.0.1:1", "status"]);
    assert!(!refused.status.success());
}

#[test]
fn an_entry_that_starts_during_a_log_outage_gets_its_state_from_a_peer() {
    let mut site = ProgramSite::start(2, 1);
    site.set_log_mode("down");
    site.entries[1].kill();
    site.entries[1] = site.spawn_entry(1);
    site.wait_until(|site| {
        get_json(site.entries[1].address, "/v1/settings?path=marea")
            .is_some_and(|shown| shown.as_array().is_some_and(|list| !list.is_empty()))
    });
    site.set_log_mode("up");
    site.wait_until(|site| {
        let answer = site.submit(1, &submission("after", 2, 50, 5_000));
        answer.state == AnswerState::Complete
    });
}

#[test]
fn a_refused_task_runs_elsewhere_and_a_failed_task_fails_the_job() {
    let site = ProgramSite::start(1, 2);
    let set_fault = |target: usize, fault: &str| {
        let url = format!("http://{}/fault/{fault}", site.targets[target].address);
        attohttpc::post(url).send().expect("the target answers");
    };
    set_fault(0, "refuse");
    let answer = site.submit(0, &submission("refused", 4, 50, 8_000));
    assert_eq!(answer.state, AnswerState::Complete, "{answer:?}");
    set_fault(0, "reject");
    set_fault(1, "reject");
    let answer = site.submit(0, &submission("rejected", 2, 50, 8_000));
    assert_eq!(answer.state, AnswerState::Failed, "{answer:?}");
    assert_eq!((answer.ran, answer.reason), (Verdict::Ran, Some(Reason::TaskRejected)));
    set_fault(0, "drop_reply");
    set_fault(1, "drop_reply");
    let answer = site.submit(0, &submission("dropped", 1, 50, 8_000));
    assert_eq!(answer.state, AnswerState::Failed, "{answer:?}");
    assert_eq!(answer.ran, Verdict::MayHaveRun);
    assert_eq!(site.repeated_tasks(), 0);
}

#[test]
fn a_change_whose_log_reply_is_lost_is_accepted_once() {
    let site = ProgramSite::start(1, 1);
    site.set_log_mode("lose_replies");
    let lost = site.publish("lost", "marea", "marea", "weight", &json!(2), 0);
    assert_eq!(lost["outcome"]["accepted"], 1, "{lost}");
    site.set_log_mode("up");
    let again = site.publish("lost", "marea", "marea", "weight", &json!(2), 0);
    assert_eq!(again["outcome"]["accepted"], 1, "{again}");
    let shown = get_json(site.entries[0].address, "/v1/explain?path=marea&key=weight");
    assert_eq!(shown.expect("an explanation")["version"], 1);
}
