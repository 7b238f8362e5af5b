//! UNASKED: a job whose cancelling was acknowledged is started again by a late copy of its request.

use std::{net::Shutdown, thread, time::Duration};

use crate::{
    http::Connection,
    programs::{Layout, Site},
    record::Record,
};

use super::{call, configuration, job, post, starts_of, Outcome};

/// `retransmit-ms`.
const RETRANSMIT: Duration = Duration::from_millis(1_300);
/// `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
/// Time from the 2xx responses to the arrival of the late copy: "seconds".
const COPY_DELAY: Duration = Duration::from_millis(4_500);
/// Time after the late copy for which the runners are watched.
const WATCH: Duration = Duration::from_millis(2_500);
const PREFIX: &str = "/lohu930/";

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let layout = Layout {
        entries: vec!["a", "b"],
        runners: vec![("huvo11a", "a"), ("huvo11a", "b"), ("huvo11a", "b")],
        cut_off: None,
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
    let mut late_starts = 0;
    // The late copy reaches the node that acknowledged the cancelling, or the other one.
    for (id, copy_to) in [(0x5c0e_7a21_d94b_0001_u64, &second), (0x5c0e_7a21_d94b_0002, &first)] {
        let id = format!("{id:016x}");
        let path = format!("{PREFIX}{id}");
        let (request, body) = (post(&path), job(4, 900));
        // The connection of the first request breaks, so the client sends it again.
        let mut open = Connection::open(&first).ok_or("no connection")?;
        let handle = open.handle();
        record.note(&format!("client: POST {path} to {first}"));
        let (sent_request, sent_body) = (request.clone(), body.clone());
        let waiting =
            thread::spawn(move || open.call(&sent_request, &sent_body, Duration::from_secs(3)));
        thread::sleep(Duration::from_millis(100));
        let _ = handle.shutdown(Shutdown::Both);
        let answer = waiting.join().map_err(|_| "the client failed")?;
        record.note(&format!("client: connection broken, answer {answer:?}"));
        thread::sleep(RETRANSMIT);
        let (again_to, again_request, again_body) = (second.clone(), request.clone(), body.clone());
        let again_record = record.clone();
        let again =
            thread::spawn(move || call(&again_record, &again_to, &again_request, &again_body));
        thread::sleep(Duration::from_millis(200));
        let cancel =
            format!("DELETE {path} HTTP/1.1\r\nHost: nony24.example\r\nDeadline-Ms: 1500\r\n");
        let cancelled = call(record, &second, &cancel, "");
        let acknowledged_at = record.now();
        let answer = again.join().map_err(|_| "the client failed")?;
        let is_acknowledged = |answer: &Option<(u16, String)>| {
            answer.as_ref().is_some_and(|(status, _)| *status == 200)
        };
        if !is_acknowledged(&cancelled) || !is_acknowledged(&answer) {
            return Err("the job was not cancelled with 200 while it was open".to_owned());
        }
        thread::sleep(COPY_DELAY);
        if has_trouble {
            record.note("a copy of the request arrives seconds after the 2xx responses");
            call(record, copy_to, &request, &body);
        }
        thread::sleep(WATCH);
        let starts = starts_of(&site.events, &id);
        let late = starts.iter().filter(|at| **at > acknowledged_at + CANCEL).count();
        record.note(&format!(
            "job {id}: {} starts in all, {late} later than cancel_ms after the cancelling was acknowledged",
            starts.len()
        ));
        late_starts += late;
    }
    if late_starts == 0 {
        return Ok(Outcome::Held);
    }
    let text = format!(
        "UNASKED: {late_starts} tasks were started later than cancel_ms after the cancelling of their job was acknowledged"
    );
    Ok(Outcome::Broken(text))
}
