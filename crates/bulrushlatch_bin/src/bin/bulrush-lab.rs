//! The `bulrush-lab` program: a simulated log and target, a load generator, measurements and a
//! demo.

use std::{
    fs, net::SocketAddr, path::Path, process::ExitCode, sync::atomic::Ordering, time::Duration,
};

use bulrushlatch_lab::{
    capacity::{
        table::{self, PlannedSize},
        unit_costs,
    },
    demo,
    flags::{Bench, BulrushLab, BulrushLabCmd, Capacity, Load, Log, Policy, Report, Target},
    journal::{entries, page},
    load::{
        report::LoadFigures,
        run::{self, LoadPlan},
        workload::Workload,
    },
    policy::{
        comparison::{self, RuleName, Scenario},
        failover,
        virtual_site::FirstTarget,
    },
    site::{Site, SiteConfig},
    target::{Fault, LabTarget},
};
use bulrushlatch_log::http_server::LogServer;
use bulrushlatch_runtime::logging::{LogFormat, LogOutput, init_logging};
use strum::IntoEnumIterator;

/// Number of agents that `bench` starts, each with a target; the same for both workloads.
const BENCH_AGENTS: usize = 11;
/// Number of entries that `bench` starts; the same for both workloads.
const BENCH_ENTRIES: usize = 3;
/// Number of slots of each target in `bench`; the same for both workloads.
const BENCH_SLOTS: u32 = 8;

fn main() -> ExitCode {
    // Writes the remaining log lines when dropped.
    let _log_guard = init_logging(LogFormat::Text, "warn", LogOutput::Stderr);
    let result = match BulrushLab::from_env_or_exit().subcommand {
        BulrushLabCmd::Log(flags) => serve_log(&flags),
        BulrushLabCmd::Target(flags) => serve_target(&flags),
        BulrushLabCmd::Load(flags) => generate_load(&flags),
        BulrushLabCmd::Bench(flags) => bench(&flags),
        BulrushLabCmd::Policy(flags) => compare_policies(&flags),
        BulrushLabCmd::Capacity(flags) => print_capacity(&flags),
        BulrushLabCmd::Failover(flags) => {
            let workload = parse_workload(flags.workload.as_deref());
            workload
                .map(|workload| println!("{}", failover::run(workload, flags.seed.unwrap_or(1))))
        }
        BulrushLabCmd::Report(flags) => write_report(&flags),
        BulrushLabCmd::Demo(_) => demo::run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrush-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve_log(flags: &Log) -> Result<(), String> {
    let server = LogServer::start(parse_listen_address(flags.listen.as_deref())?);
    let server = server.map_err(|error| format!("cannot start the log server: {error}"))?;
    println!("log listening on {}", server.address);
    wait_forever()
}

fn serve_target(flags: &Target) -> Result<(), String> {
    let fault = flags.fault.as_deref().unwrap_or("none");
    let fault: Fault = fault.parse().map_err(|_| format!("--fault: no such fault {fault:?}"))?;
    let stragglers = flags.stragglers.unwrap_or(0);
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| format!("cannot start the runtime: {error}"))?;
    let address = parse_listen_address(flags.listen.as_deref())?;
    let target = LabTarget::start(runtime.handle(), address, fault, stragglers);
    let target = target.map_err(|error| format!("cannot start the target: {error}"))?;
    println!("target listening on {}", target.address);
    wait_forever()
}

fn generate_load(flags: &Load) -> Result<(), String> {
    let entries = flags.entries.split(',').map(str::parse);
    let entries: Result<Vec<SocketAddr>, _> = entries.collect();
    let plan = LoadPlan {
        entries: entries.map_err(|error| format!("--entries: {:?}: {error}", flags.entries))?,
        workload: parse_workload(flags.workload.as_deref())?,
        rate_per_second: flags.rate.unwrap_or(20.0),
        duration: Duration::from_secs(flags.seconds.unwrap_or(10)),
        resubmit_percent: flags.resubmit.unwrap_or(5),
        seed: flags.seed.unwrap_or(1),
    };
    let report = run::run(&plan);
    print_report(&report.figures(), flags.json);
    check_answers(&report.wrong_answers)
}

fn bench(flags: &Bench) -> Result<(), String> {
    let workload = parse_workload(flags.workload.as_deref())?;
    let config = SiteConfig {
        zones: if workload == Workload::Marea { 4 } else { 3 },
        entries: BENCH_ENTRIES,
        agents: BENCH_AGENTS,
        slots: BENCH_SLOTS,
        service: workload.service().to_owned(),
        team: workload.team().to_owned(),
    };
    let site = Site::start(&config).map_err(|error| format!("cannot start the site: {error}"))?;
    let all_slots = BENCH_AGENTS as f64 * f64::from(BENCH_SLOTS);
    let load = f64::from(flags.load.unwrap_or(50)) / 100.0;
    let plan = LoadPlan {
        entries: site.caller_addresses(),
        workload,
        rate_per_second: load * all_slots * 1000.0 / workload.average_slot_ms(),
        duration: Duration::from_secs(flags.seconds.unwrap_or(10)),
        resubmit_percent: 5,
        seed: flags.seed.unwrap_or(1),
    };
    let (messages_before, calls_before) = sent_counts(&site);
    let report = run::run(&plan);
    let (messages_after, calls_after) = sent_counts(&site);
    let mut figures = report.figures();
    let tasks = figures.tasks.max(1) as f64;
    figures.messages_per_task = Some((messages_after - messages_before) as f64 / tasks);
    figures.calls_per_task = Some((calls_after - calls_before) as f64 / tasks);
    let counts: Vec<_> = site.targets.iter().map(LabTarget::counters).collect();
    let started: u64 = counts.iter().map(|count| count.started).sum();
    figures.starts_per_task = Some(started as f64 / tasks);
    figures.repeated_tasks = Some(counts.iter().map(|count| count.repeated.len()).sum());
    print_report(&figures, flags.json);
    check_answers(&report.wrong_answers)
}

fn compare_policies(flags: &Policy) -> Result<(), String> {
    let rules: Vec<RuleName> = match flags.rule.as_deref() {
        Some(name) => vec![name.parse().map_err(|_| format!("--rule: no such rule {name:?}"))?],
        None => RuleName::iter().collect(),
    };
    let first_target = flags.first_target.as_deref().unwrap_or("normal");
    let first_target: FirstTarget = first_target
        .parse()
        .map_err(|_| format!("--first-target: no such kind {first_target:?}"))?;
    let loads = match flags.load {
        Some(percent) => vec![(percent, false)],
        None => vec![(50, false), (80, false), (95, false), (80, true)],
    };
    for (percent, has_burst) in loads {
        let scenario = Scenario {
            workload: parse_workload(flags.workload.as_deref())?,
            load: f64::from(percent) / 100.0,
            has_burst,
            has_wrong_hints: flags.wrong_hints,
            has_cancel_wave: flags.cancel_wave,
            first_target,
            duration: Duration::from_secs(flags.seconds.unwrap_or(60)),
            seed: flags.seed.unwrap_or(1),
        };
        for &rule in &rules {
            println!("{}", comparison::run(rule, scenario));
        }
    }
    Ok(())
}

fn print_capacity(flags: &Capacity) -> Result<(), String> {
    let costs = unit_costs::measure().map_err(|error| error.to_string())?;
    let defaults = PlannedSize::default();
    let size = PlannedSize {
        entries: flags.entries.unwrap_or(defaults.entries),
        entries_per_agent: flags.entries_per_agent.unwrap_or(defaults.entries_per_agent),
        heartbeat_s: flags.heartbeat_s.unwrap_or(defaults.heartbeat_s),
        ..defaults
    };
    println!("{}", serde_json::to_string_pretty(&costs).unwrap_or_default());
    for row in table::rows(&costs, &size) {
        let bound = row.bound.map_or(String::new(), |bound| format!(" (bound {bound})"));
        println!("{:<44} {:>12.3} {}{bound}", row.label, row.value, row.unit);
    }
    Ok(())
}

fn write_report(flags: &Report) -> Result<(), String> {
    let entries = entries::read(Path::new(&flags.directory));
    let entries = entries.map_err(|error| format!("{error:?}"))?;
    let page = page::render(&entries).map_err(|error| error.to_string())?;
    let file = flags.out.as_deref().unwrap_or("report.html");
    fs::write(file, page).map_err(|error| format!("{file}: {error}"))?;
    println!("{} entries, written to {file}", entries.len());
    Ok(())
}

/// Returns how many messages and how many calls all processes of a site have sent in total.
fn sent_counts(site: &Site) -> (u64, u64) {
    let entries = site.entries.iter().map(|entry| entry.process.outbox().counters());
    let agents = site.agents.iter().map(|agent| agent.process.outbox().counters());
    entries.chain(agents).fold((0, 0), |(messages, calls), counters| {
        (
            messages + counters.messages.load(Ordering::Relaxed),
            calls + counters.calls.load(Ordering::Relaxed),
        )
    })
}

fn print_report(figures: &LoadFigures, as_json: bool) {
    if as_json {
        println!("{}", serde_json::to_string(figures).unwrap_or_default());
    } else {
        println!("{figures}");
    }
}

/// Returns an error if the load generator found wrong answers.
fn check_answers(wrong_answers: &[String]) -> Result<(), String> {
    match wrong_answers.first() {
        None => Ok(()),
        Some(first) => Err(format!("{} wrong answers, such as {first}", wrong_answers.len())),
    }
}

fn parse_workload(name: Option<&str>) -> Result<Workload, String> {
    let name = name.unwrap_or("marea");
    name.parse().map_err(|_| format!("--workload: no such workload {name:?}"))
}

fn parse_listen_address(address: Option<&str>) -> Result<SocketAddr, String> {
    let address = address.unwrap_or("127.0.0.1:0");
    address.parse().map_err(|error| format!("--listen: {address:?}: {error}"))
}

fn wait_forever() -> Result<(), String> {
    loop {
        std::thread::park();
    }
}
