//! UNASKED: a cancelling that an entry acknowledges while it is cut off is lost, and the job goes on.

use std::{sync::atomic::Ordering, thread, time::Duration};

use crate::{
    http::Connection,
    programs::{Layout, Site},
    record::Record,
};

use super::{call, configuration, job, post, starts_of, Outcome, HOST};

/// `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
/// `contact-ms`: a machine is in touch this long after the end of a cut.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the begin of the cut to the submission of the job.
const BEFORE_JOB: Duration = Duration::from_millis(1_800);
const BEFORE_CANCEL: Duration = Duration::from_millis(200);
/// Time from the cancelling to the end of the cut, which lasts 3 s (5.5 s at most).
const BEFORE_HEALING: Duration = Duration::from_millis(1_000);
const WATCH: Duration = Duration::from_millis(7_000);
const STEPS: usize = 8;
const STEP_MS: u64 = 900;
const DEADLINE_MS: u64 = 9_000;
const PREFIX: &str = "/lohu930/";

/// Returns a job of steps that depend on each other, of one task each.
fn chain() -> String {
    let steps = (0..STEPS).map(|step| {
        let after =
            if step == 0 { String::new() } else { format!(r#","depends-on":[{}]"#, step - 1) };
        format!(r#"{{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":{STEP_MS}{after}}}"#)
    });
    let steps: Vec<String> = steps.collect();
    format!(r#"{{"spec":"{STEP_MS}","best-effort":true,"phases":[{}]}}"#, steps.join(","))
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let layout = Layout {
        entries: vec!["a", "b"],
        runners: vec![("huvo11a", "a"), ("huvo11a", "a"), ("huvo11a", "b")],
        cut_off: Some(1),
    };
    let routes = [("r-1", PREFIX, "huvo11a")];
    let site = Site::start(&layout, &configuration(7, &routes), record)?;
    let [first, second] = [0, 1].map(|entry| site.entries[entry].callers.clone());
    for (number, entry) in [&first, &second].into_iter().enumerate() {
        let path = format!("{PREFIX}{:016x}", 0xa000 + number);
        let answer = call(record, entry, &post(&path), &job(2, 20));
        if answer.is_none_or(|(status, _)| status != 200) {
            return Err("a job before the disruption was not served".to_owned());
        }
    }
    // An open connection stays with its node.
    let mut open = Connection::open(&second).ok_or("no connection")?;
    let ask = format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 1500\r\n");
    open.call(&ask, "", Duration::from_secs(2)).ok_or("no answer before the disruption")?;
    if has_trouble {
        site.cut.is_on.store(true, Ordering::Relaxed);
        record.note(&format!("{} is cut off from all other machines of the system", site.cut.name));
    }
    thread::sleep(BEFORE_JOB);
    let id = format!("{:016x}", 0x5c0e_7a21_d94b_0003_u64);
    let path = format!("{PREFIX}{id}");
    let submit = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: {DEADLINE_MS}\r\n");
    let submit_record = record.clone();
    let submitted = thread::spawn(move || {
        submit_record
            .note(&format!("client: {} to {first}", submit.split(" HTTP").next().unwrap()));
        let answer = Connection::open(&first)
            .and_then(|mut open| open.call(&submit, &chain(), Duration::from_millis(DEADLINE_MS)));
        submit_record.note(&format!("client: answer to the submission: {answer:?}"));
    });
    thread::sleep(BEFORE_CANCEL);
    let cancel = format!("DELETE {path} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 1500\r\n");
    record.note(&format!("client: DELETE {path} to {second} on a connection that was open before"));
    let answer = open.call(&cancel, "", Duration::from_millis(1_500));
    let acknowledged_at = record.now();
    record.note(&format!("client: answer to the DELETE: {answer:?}"));
    if answer.is_none_or(|(status, _)| status != 200 && status != 410) {
        return Err("the cancelling was not acknowledged".to_owned());
    }
    thread::sleep(BEFORE_HEALING);
    if has_trouble {
        site.cut.is_on.store(false, Ordering::Relaxed);
        record.note("the cut is over");
    }
    let healed_at = record.now();
    thread::sleep(WATCH);
    let _ = submitted.join();
    // All machines are in touch from this time on.
    let bound = (acknowledged_at + CANCEL).max(healed_at + CONTACT);
    let starts = starts_of(&site.events, &id);
    let late = starts.iter().filter(|at| **at > bound).count();
    record.note(&format!(
        "{} starts in all, {late} by machines in touch later than cancel_ms after the cancelling was acknowledged",
        starts.len()
    ));
    if late == 0 {
        return Ok(Outcome::Held);
    }
    let text = format!(
        "UNASKED: {late} tasks were started by machines in touch later than cancel_ms after the cancelling of their job was acknowledged"
    );
    Ok(Outcome::Broken(text))
}
