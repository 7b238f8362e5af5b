//! Metrics served at `/metrics`.

use std::sync::atomic::{AtomicU64, Ordering};

use bulrushlatch_runtime::metrics_text::metrics_text;
use prometheus_client::{
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};

use crate::process::EntryProcess;

/// Returns the metrics of an entry in the Prometheus text format.
pub fn text(process: &EntryProcess) -> String {
    let mut registry = Registry::with_prefix("bulrushlatch_entry");
    add_counters(process, &mut registry);
    add_gauges(process, &mut registry);
    metrics_text(&registry)
}

fn add_counters(process: &EntryProcess, registry: &mut Registry) {
    let counters = process.entry().status().counters;
    for (state, count) in &counters.answers {
        let name = format!("answers_{state}");
        registry.register(name, "Answers given to callers", ConstCounter::new(*count));
    }
    for (reason, count) in &counters.refusals {
        let name = format!("refusals_{reason}");
        registry.register(name, "Refusals given to callers", ConstCounter::new(*count));
    }
    let outbox = process.outbox().counters();
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let unreadable = process.entry().membership().unreadable_records();
    let rows = [
        ("attached_submissions", "Submissions attached to a known one", counters.attached),
        ("recoveries", "Submissions whose tasks agents were asked for", counters.recoveries),
        ("placements", "Tasks sent to agents", counters.placements),
        ("refused_placements", "Placements that agents refused", counters.refused_placements),
        ("probes", "Tasks asked for because no report came", counters.probes),
        ("ejections", "Targets ejected", counters.ejections),
        ("sent_messages", "Messages to other processes", load(&outbox.messages)),
        ("sent_calls", "Calls to other processes", load(&outbox.calls)),
        ("lost_messages", "Messages lost on this side", load(&outbox.lost_messages)),
        ("unreadable_records", "Log records that could not be parsed", unreadable),
    ];
    for (name, help, count) in rows {
        registry.register(name, help, ConstCounter::new(count));
    }
}

fn add_gauges(process: &EntryProcess, registry: &mut Registry) {
    let entry = process.entry();
    let gauges = entry.status().gauges;
    let view = entry.view();
    let rows = [
        ("ready", "Whether callers are served", i64::from(entry.is_ready())),
        ("epoch", "Epoch of the membership view", view.epoch as i64),
        ("members", "Entries in the view", view.members.len() as i64),
        ("agents", "Registered agents", view.agents.len() as i64),
        ("known_ids", "Ids remembered as owner or witness", gauges.known_ids as i64),
        ("open_jobs", "Submissions without a final answer", gauges.open_jobs as i64),
        ("queued_tasks", "Tasks that wait for a slot", gauges.queued_tasks as i64),
        ("forwarded_requests", "Requests that wait for another entry", gauges.forwarded as i64),
        ("owned_slices", "Slices owned", gauges.owned_slices as i64),
        ("unready_slices", "Owned slices not ready yet", gauges.unready_slices as i64),
        ("kept_results_bytes", "Bytes of kept results", gauges.result_bytes as i64),
        ("waiting_callers", "Requests that wait", process.pending_request_count() as i64),
    ];
    for (name, help, value) in rows {
        registry.register(name, help, ConstGauge::new(value));
    }
}
