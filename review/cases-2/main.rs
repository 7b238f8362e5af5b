//! Cases of an independent review, each with real programs as processes and stand-ins of the platform.
//!
//! Usage: `cases-2 CASE RECORD`, in the root of the repository. Exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod http;
mod json;
mod record;
mod runner;
mod site;
mod store;

use std::{
    env, io,
    path::Path,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use record::Record;
use site::{ACK_MS, CANCEL_MS, ClientCall, DRAIN_MS, Processes, STOP_TIMEOUT_MS, Site};

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);
/// Allowance for the time between a start at a runner and its line in the record.
const CLOCK_MARGIN_MS: u64 = 100;

/// Whether the rule held.
type Verdict = bool;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: cases-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let processes = Processes::default();
    let watched = processes.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        watched.kill_all();
        std::process::exit(2);
    });
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = run(case, Path::new(record), has_trouble, &processes);
    processes.kill_all();
    match verdict {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, path: &Path, has_trouble: bool, processes: &Processes) -> io::Result<Verdict> {
    let record = Record::create(path)?;
    record.write(&format!("case {case}, with the disruption: {has_trouble}"));
    let verdict = match case {
        "cancel-after-route-removed" => {
            cancel_after_route_removed(has_trouble, processes, &record)?
        }
        "drain-after-stray-heartbeat" => {
            drain_after_stray_heartbeat(has_trouble, processes, &record)?
        }
        "leave-with-running-tasks" => leave_with_running_tasks(has_trouble, processes, &record)?,
        _ => return Err(io::Error::other("no such case")),
    };
    record.write(if verdict { "the rule held" } else { "THE RULE WAS BROKEN" });
    Ok(verdict)
}

/// Returns a job whose steps have one task each and depend on the one before, with the given run times.
fn chain(run_times_ms: &[u64]) -> String {
    let steps = run_times_ms.iter().enumerate().map(|(step, run_time_ms)| {
        let depends_on =
            if step == 0 { String::new() } else { format!(r#","depends-on":[{}]"#, step - 1) };
        format!(r#"{{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":{run_time_ms}{depends_on}}}"#)
    });
    let steps = steps.collect::<Vec<_>>().join(",");
    let times: Vec<String> = run_times_ms.iter().map(u64::to_string).collect();
    format!(r#"{{"spec":"{}","best-effort":true,"phases":[{steps}]}}"#, times.join(","))
}

/// Returns whether no task of the job was started later than `limit_ms`, and none ran on for long after.
fn check_no_start_after(site: &Site, job: &str, limit_ms: u64) -> Verdict {
    let starts = site.starts_of(job);
    for start in &starts {
        let ended = start.ended_at_ms.map_or("still runs".to_owned(), |at| format!("{at} ms"));
        site.record.write(&format!(
            "result: {} started at {} ms at {}, ended: {ended} {}",
            start.task, start.at_ms, start.runner, start.how
        ));
    }
    site.record.write(&format!("result: no start is allowed later than {limit_ms} ms"));
    starts.iter().all(|start| start.at_ms <= limit_ms + CLOCK_MARGIN_MS)
}

fn is_running(site: &Site, job: &str) -> bool {
    site.starts_of(job).iter().any(|start| start.ended_at_ms.is_none())
}

/// Submits a job in the background and waits until a task of it runs.
fn submit<'scope>(
    scope: &'scope thread::Scope<'scope, '_>,
    site: &'scope Site,
    entry: usize,
    job: &'scope str,
    body: &'scope str,
    deadline: Duration,
) -> io::Result<thread::ScopedJoinHandle<'scope, Option<u16>>> {
    let handle = scope.spawn(move || {
        site.client_call(entry, &ClientCall { method: "POST", job, body, deadline })
    });
    let until = Instant::now() + Duration::from_secs(5);
    while !is_running(site, job) {
        if Instant::now() > until {
            return Err(io::Error::other("the job did not start"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(handle)
}

/// A job is cancelled after its queue was removed.
fn cancel_after_route_removed(
    has_trouble: bool,
    processes: &Processes,
    record: &Record,
) -> io::Result<Verdict> {
    let site = Site::start(2, 3, processes, record)?;
    let (job, deadline) = ("00000000000000c1", Duration::from_secs(40));
    let body = chain(&[4_000, 4_000, 4_000, 500]);
    thread::scope(|scope| {
        let handle = submit(scope, &site, 0, job, &body, deadline)?;
        let prefixes: &[&str] = if has_trouble { &["/other/"] } else { &[site::PREFIX, "/other/"] };
        site.publish(2, prefixes);
        thread::sleep(Duration::from_secs(3));
        let asked_at_ms = site.record.now_ms();
        let until = Instant::now() + Duration::from_secs(5);
        let acknowledged_at_ms = site.cancel(0, job, Duration::from_millis(250), until);
        // The answer does not matter.
        let _ = handle.join();
        // Without an acknowledgement, the bound counts from the end of the time for it.
        let since_ms = acknowledged_at_ms.unwrap_or(asked_at_ms + ACK_MS);
        Ok(check_no_start_after(&site, job, since_ms + CANCEL_MS))
    })
}

/// A runner drains after a heartbeat of another writer has arrived under its id.
fn drain_after_stray_heartbeat(
    has_trouble: bool,
    processes: &Processes,
    record: &Record,
) -> io::Result<Verdict> {
    /// Above what a runner reaches in a day.
    const STRAY_SEQUENCE: u64 = 1_000_000;
    /// Time for which the runner goes on serving after the acknowledgement.
    const SERVES_ON: Duration = Duration::from_millis(DRAIN_MS + 2_000);

    let site = Site::start(2, 7, processes, record)?;
    let runner = &site.runners[0];
    if has_trouble && !runner.send_stray_heartbeat(STRAY_SEQUENCE) {
        return Err(io::Error::other("the stray heartbeat was not acknowledged"));
    }
    runner.drain();
    let until = Instant::now() + Duration::from_secs(5);
    let body = r#"{"spec":"400","best-effort":true,"phases":[{"count":4,"cpu":1000,"mem-mb":64,"estimate-ms":400}]}"#;
    let mut acknowledged_at = None;
    thread::scope(|scope| {
        for number in 0_u64.. {
            let job = format!("{:016x}", 0xd000 + number);
            let site = &site;
            scope.spawn(move || {
                let deadline = Duration::from_secs(3);
                let call = ClientCall { method: "POST", job: &job, body, deadline };
                site.client_call((number % 2) as usize, &call);
            });
            thread::sleep(Duration::from_millis(100));
            if runner.drain_acknowledged_at_ms().is_some() {
                let at = *acknowledged_at.get_or_insert_with(Instant::now);
                if at.elapsed() >= SERVES_ON {
                    break;
                }
            } else if Instant::now() > until {
                break;
            }
        }
        runner.leave(Duration::ZERO);
    });
    let acknowledged_at_ms =
        runner.drain_acknowledged_at_ms().ok_or(io::Error::other("draining not acknowledged"))?;
    let limit_ms = acknowledged_at_ms + DRAIN_MS;
    let starts = site.starts_of_runner(runner.id());
    let late = starts.iter().filter(|start| start.at_ms > limit_ms + CLOCK_MARGIN_MS);
    let late: Vec<_> = late.collect();
    for start in &late {
        record.write(&format!(
            "result: {} started at {} ms at {}, which may start nothing later than {limit_ms} ms; its end: {}",
            start.task, start.at_ms, start.runner, start.how
        ));
    }
    record.write(&format!("result: {} starts, {} of them too late", starts.len(), late.len()));
    Ok(late.is_empty())
}

/// A runner that has reported that it drains leaves while tasks run there.
fn leave_with_running_tasks(
    has_trouble: bool,
    processes: &Processes,
    record: &Record,
) -> io::Result<Verdict> {
    /// Time for which the runner goes on serving after the acknowledgement that it drains.
    const SERVES_ON: Duration = Duration::from_millis(DRAIN_MS + 500);

    let site = Site::start(2, 7, processes, record)?;
    let (job, deadline) = ("00000000000000e1", Duration::from_secs(20));
    let body = r#"{"spec":"6000","best-effort":true,"phases":[{"count":28,"cpu":1000,"mem-mb":64,"estimate-ms":6000}]}"#;
    let runner = &site.runners[0];
    thread::scope(|scope| {
        submit(scope, &site, 0, job, body, deadline)?;
        runner.drain();
        let until = Instant::now() + Duration::from_secs(5);
        while runner.drain_acknowledged_at_ms().is_none() {
            if Instant::now() > until {
                return Err(io::Error::other("draining not acknowledged"));
            }
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(SERVES_ON);
        if has_trouble {
            runner.leave(Duration::from_millis(STOP_TIMEOUT_MS));
        }
        Ok(())
    })?;
    let starts = site.starts_of(job);
    let mut verdict = true;
    for first in &starts {
        let second = starts.iter().find(|second| {
            second.task == first.task
                && second.at_ms > first.at_ms
                && first.ended_at_ms.is_none_or(|ended_at_ms| ended_at_ms > second.at_ms)
        });
        if let Some(second) = second {
            verdict = false;
            record.write(&format!(
                "result: {} ran at {} from {} ms to {:?} ms, and at {} from {} ms on",
                first.task,
                first.runner,
                first.at_ms,
                first.ended_at_ms,
                second.runner,
                second.at_ms
            ));
        }
    }
    record.write(&format!("result: {} starts", starts.len()));
    Ok(verdict)
}
