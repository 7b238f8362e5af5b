//! The cases.

mod cancel_at_cut_off_entry;
mod cancelled_job;
mod delegated_configuration;

use crate::{http::Connection, record::Record, runner::RunEvents};

use std::time::Duration;

/// What a case found.
pub enum Outcome {
    Held,
    Broken(String),
}

/// Runs a case; returns the exit status.
pub fn run(case: &str, path: &str, has_trouble: bool) -> i32 {
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            return 2;
        }
    };
    record.note(&format!("case {case}, with the disruption: {has_trouble}"));
    let outcome = match case {
        "cancelled-job" => cancelled_job::run(&record, has_trouble),
        "delegated-configuration" => delegated_configuration::run(&record, has_trouble),
        "cancel-at-cut-off-entry" => cancel_at_cut_off_entry::run(&record, has_trouble),
        _ => Err("no such case".to_owned()),
    };
    let (status, text) = match outcome {
        Ok(Outcome::Held) => (0, "the rule held".to_owned()),
        Ok(Outcome::Broken(text)) => (1, format!("the rule was broken: {text}")),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.note(&text);
    println!("{text}");
    status
}

/// Host of all routes.
const HOST: &str = "nony24.example";

/// Returns a configuration with routes, given as name, path prefix and service.
fn configuration(version: u64, routes: &[(&str, &str, &str)]) -> String {
    let routes = routes.iter().map(|(name, prefix, service)| {
        format!(
            concat!(
                r#"{{"name":"{}","host":"{}","path-prefix":"{}","kind":"non_idempotent","#,
                r#""timeout-ms":1500,"target-latency-ms":60,"priority":0,"service":"{}","#,
                r#""max-attempts":3,"stretch":1.6}}"#
            ),
            name, HOST, prefix, service
        )
    });
    let routes: Vec<String> = routes.collect();
    let services = r#"{"name":"huvo11a","admission-check":true}"#;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{services}],"limits":{{"max-body-bytes":262144}}}}"#,
        routes.join(",")
    )
}

/// Returns a job that needs not be kept, of one step; its tasks take `run_ms` each.
fn job(tasks: u32, run_ms: u64) -> String {
    format!(
        concat!(
            r#"{{"spec":"{}","best-effort":true,"phases":[{{"count":{},"cpu":1000,"#,
            r#""mem-mb":64,"estimate-ms":{}}}]}}"#
        ),
        run_ms, tasks, run_ms
    )
}

fn post(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 1500\r\n")
}

/// Makes one call on a connection of its own, and records it.
fn call(record: &Record, entry: &str, request: &str, body: &str) -> Option<(u16, String)> {
    let first = request.split(" HTTP").next().unwrap_or("").to_owned();
    record.note(&format!("client: {first} to {entry}"));
    let answer = Connection::open(entry)
        .and_then(|mut open| open.call(request, body, Duration::from_secs(3)));
    record.note(&format!("client: answer to {first} from {entry}: {answer:?}"));
    answer
}

/// Returns the times at which tasks of a job were started.
fn starts_of(events: &RunEvents, job: &str) -> Vec<Duration> {
    let events = events.lock().unwrap();
    let starts = events.iter().filter(|event| event.what == "start");
    starts.filter(|event| event.task.starts_with(job)).map(|event| event.at).collect()
}
