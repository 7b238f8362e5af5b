//! CONFIG: an entry that the store turns away shows the effect of a version through an entry to which
//! it delegates, and then handles requests by the older version.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    programs::{Layout, Site},
    record::Record,
};

use super::{call, configuration, job, post, Outcome, HOST};

/// `rollback-slack-ms`.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// Time for which the store turns the machine away; `platform_down` with `nodes busy` lasts 9 s at most.
const TURNED_AWAY: Duration = Duration::from_millis(8_500);
/// Time from the begin of the load to the disruption: until the first entry delegates, in steps.
const WARM_UP_STEP: Duration = Duration::from_secs(1);
const MAX_WARM_UP_STEPS: usize = 25;
/// Steps in a row in which the first entry delegates as intended.
const WARM_STEPS: usize = 3;
/// Jobs delegated in a step from which on the load is as intended.
const MIN_DELEGATED_JOBS: f64 = 60.0;
/// Pause between two changes of the configuration: no multiple of the 300 ms between two heartbeats of
/// entries, so that the changes come at different times between these.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_575);
/// Changes while the store turns the machine away.
const CHANGES: u64 = 4;
const PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// Share of the jobs, in percent, between whose bounds the load is to keep what the first entry
/// delegates; it carries out the others.
const MIN_DELEGATED_PERCENT: f64 = 35.0;
const MAX_DELEGATED_PERCENT: f64 = 65.0;
/// Busy share in percent from which on an entry delegates.
const THRESHOLD_PERCENT: f64 = 70.0;
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
const LOAD_THREADS: usize = 24;
const LOAD_TICK: Duration = Duration::from_millis(5);
const PREFIX: &str = "/lohu930/";
const OLD_SERVICE: &str = "huvo11a";
const NEW_SERVICE: &str = "dele69a";

/// A job that was sent to the first entry.
struct Sent {
    at: Duration,
    id: String,
    status: Option<u16>,
}

/// A change of the configuration: the service that the route has from then on.
struct Change {
    sent_at: Duration,
    acknowledged_at: Duration,
    service: &'static str,
}

fn routes_of(version: u64, service: &str) -> String {
    // The route is removed, and one with the same prefix and another service is added.
    configuration(version, &[(&format!("r-{version}"), PREFIX, service)])
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let layout = Layout {
        entries: vec!["a", "b"],
        runners: vec![
            (OLD_SERVICE, "a"),
            (OLD_SERVICE, "b"),
            (NEW_SERVICE, "a"),
            (NEW_SERVICE, "b"),
        ],
        cut_off: None,
    };
    let site = Site::start(&layout, &routes_of(7, OLD_SERVICE), record)?;
    let first = site.entries[0].callers.clone();
    let path = format!("{PREFIX}{:016x}", 0xa000);
    let answer = call(record, &first, &post(&path), &job(1, 20));
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err("a job before the disruption was not served".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let calls_per_tick = Arc::new(AtomicU64::new(2));
    for _ in 0..LOAD_THREADS {
        let (address, is_over) = (first.clone(), Arc::clone(&is_over));
        let calls_per_tick = Arc::clone(&calls_per_tick);
        thread::spawn(move || load(&address, &is_over, &calls_per_tick));
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    for prober in 0..4_u64 {
        let (address, is_over) = (first.clone(), Arc::clone(&is_over));
        let (record, sent) = (record.clone(), Arc::clone(&sent));
        thread::spawn(move || probe(&address, &record, &is_over, &sent, prober));
    }
    record.note(&format!("clients: load on {first}, jobs to {PREFIX}"));
    warm_up(&site, &calls_per_tick, record)?;
    if has_trouble {
        site.stores[0].set_closed(true);
        record.note("store: turns the first entry's machine away with 503");
    }
    let closed_at = Instant::now();
    let mut changes = Vec::new();
    for change in 0..CHANGES {
        keep_busy(&site, &calls_per_tick, CHANGE_INTERVAL, record);
        let service = if change % 2 == 0 { NEW_SERVICE } else { OLD_SERVICE };
        let sent_at = record.now();
        site.stores[0].put("keyed.op", "config", routes_of(8 + change, service).as_bytes());
        changes.push(Change { sent_at, acknowledged_at: record.now(), service });
        record.note(&format!(
            "operator: version {} acknowledged, {PREFIX} goes to {service}",
            8 + change
        ));
    }
    keep_busy(&site, &calls_per_tick, TURNED_AWAY.saturating_sub(closed_at.elapsed()), record);
    if has_trouble {
        site.stores[0].set_closed(false);
        record.note("store: serves the first entry's machine again");
    }
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    let sent = std::mem::take(&mut *sent.lock().unwrap());
    judge(&site, &sent, &changes, record)
}

/// Counts the jobs that the first entry handled by an older version later than `rollback-slack-ms`
/// after a runner had seen the effect of a newer one through it.
fn judge(
    site: &Site,
    sent: &[Sent],
    changes: &[Change],
    record: &Record,
) -> Result<Outcome, String> {
    let events = site.events.lock().unwrap();
    let run_by = |id: &str| {
        let mut events = events.iter().filter(|event| event.what == "start");
        events
            .find(|event| event.task.starts_with(id))
            .map(|event| (event.at, event.service.clone()))
    };
    let runs: Vec<(&Sent, Duration, String)> = sent
        .iter()
        .filter(|sent| sent.status == Some(200))
        .filter_map(|sent| run_by(&sent.id).map(|(at, service)| (sent, at, service)))
        .collect();
    record.note(&format!(
        "{} jobs sent to the first entry, {} of them run",
        sent.len(),
        runs.len()
    ));
    if runs.len() < 200 {
        return Err("too few jobs were run".to_owned());
    }
    let mut regressed = 0;
    for (number, change) in changes.iter().enumerate() {
        let until = changes.get(number + 1).map_or(Duration::MAX, |next| next.sent_at);
        let in_force =
            runs.iter().filter(|(sent, ..)| sent.at > change.acknowledged_at && sent.at < until);
        let seen_at = in_force.clone().filter(|(.., service)| service == change.service);
        let Some(seen_at) = seen_at.map(|(_, at, _)| *at).min() else { continue };
        // A job that was started after the next version had been sent may show that one.
        let old = in_force.filter(|(sent, started_at, service)| {
            service != change.service && sent.at > seen_at + ROLLBACK_SLACK && *started_at < until
        });
        let old: Vec<Duration> = old.map(|(sent, ..)| sent.at - seen_at).collect();
        record.note(&format!(
            "version {}: first effect seen by a runner {:.0} ms after the acknowledgement; {} jobs sent more than 250 ms after that were run by the old service, the last {:.0} ms after it",
            8 + number,
            (seen_at.saturating_sub(change.acknowledged_at)).as_secs_f64() * 1e3,
            old.len(),
            old.iter().max().map_or(0.0, |at| at.as_secs_f64() * 1e3),
        ));
        regressed += old.len();
    }
    if regressed == 0 {
        return Ok(Outcome::Held);
    }
    Ok(Outcome::Broken(format!(
        "CONFIG: a machine regressed: {regressed} requests were run by the old service later than rollback-slack-ms after a runner saw the effect of the newer version through the same machine"
    )))
}

/// Adjusts the load until the first entry delegates some of its jobs, for some seconds on end.
fn warm_up(site: &Site, calls_per_tick: &AtomicU64, record: &Record) -> Result<(), String> {
    let mut warm_steps = 0;
    for _ in 0..MAX_WARM_UP_STEPS {
        let before = site.entries[0].metric("delegated_jobs_total").unwrap_or(0.0);
        keep_busy(site, calls_per_tick, WARM_UP_STEP, record);
        let after = site.entries[0].metric("delegated_jobs_total").unwrap_or(0.0);
        warm_steps = if after - before >= MIN_DELEGATED_JOBS { warm_steps + 1 } else { 0 };
        if warm_steps == WARM_STEPS {
            return Ok(());
        }
    }
    Err("the first entry did not delegate under the load".to_owned())
}

/// Adjusts the load for some time so that the first entry delegates the intended share of its jobs, by
/// what it shows in its metrics.
fn keep_busy(site: &Site, calls_per_tick: &AtomicU64, time: Duration, record: &Record) {
    let end = Instant::now() + time;
    let (mut busy_sum, mut delegated_sum, mut samples) = (0.0, 0.0, 0.0);
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        thread::sleep(ADJUST_INTERVAL.min(left));
        let entry = &site.entries[0];
        let (Some(busy), Some(delegated)) =
            (entry.metric("busy_percent"), entry.metric("delegated_percent"))
        else {
            continue;
        };
        (busy_sum, delegated_sum, samples) =
            (busy_sum + busy, delegated_sum + delegated, samples + 1.0);
        let factor = if delegated < MIN_DELEGATED_PERCENT {
            1.15
        } else if delegated > MAX_DELEGATED_PERCENT {
            0.87
        } else {
            (THRESHOLD_PERCENT / busy.max(5.0)).clamp(0.95, 1.05)
        };
        let calls = calls_per_tick.load(Ordering::Relaxed) as f64 * factor;
        calls_per_tick.store((calls.ceil() as u64).clamp(1, 1_000), Ordering::Relaxed);
    }
    let (busy, delegated) =
        (busy_sum / f64::max(samples, 1.0), delegated_sum / f64::max(samples, 1.0));
    let count = |name: &str| site.entries[0].metric(name).unwrap_or(0.0);
    record.note(&format!(
        "first entry: busy {busy:.0}%, is to delegate {delegated:.0}% in the last {:.1} s; since its start {} jobs delegated, {} of them not taken",
        time.as_secs_f64(),
        count("delegated_jobs_total"),
        count("delegated_not_taken_total"),
    ));
}

/// Asks for the length of the queue again and again, on one connection.
fn load(address: &str, is_over: &AtomicBool, calls_per_tick: &AtomicU64) {
    let request = format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n");
    let mut open = Connection::open(address);
    while !is_over.load(Ordering::Relaxed) {
        let end = Instant::now() + LOAD_TICK;
        for _ in 0..calls_per_tick.load(Ordering::Relaxed) {
            let answer =
                open.as_mut().and_then(|open| open.call(&request, "", Duration::from_secs(2)));
            if answer.is_none() {
                open = Connection::open(address);
            }
        }
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
}

/// Sends short jobs one after the other.
fn probe(
    address: &str,
    record: &Record,
    is_over: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
    prober: u64,
) {
    let mut number = 0;
    let mut open = Connection::open(address);
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{:016x}", 0x00b0_0000_0000 + (prober << 24) + number);
        let path = format!("{PREFIX}{id}");
        let at = record.now();
        let answer = open
            .as_mut()
            .and_then(|open| open.call(&post(&path), &job(1, 5), Duration::from_secs(2)));
        if answer.is_none() {
            open = Connection::open(address);
        }
        let status = answer.as_ref().map(|(status, _)| *status);
        record.note(&format!(
            "client: job {id} sent at {:.1} ms: {status:?}",
            at.as_secs_f64() * 1e3
        ));
        sent.lock().unwrap().push(Sent { at, id, status });
        thread::sleep(PROBE_INTERVAL);
    }
}
