//! Metrics served at `/metrics`.

use std::sync::atomic::Ordering;

use prometheus_client::{
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};

use crate::process::AgentProcess;

/// Returns a registry with the current metrics of an agent.
pub fn registry(process: &AgentProcess) -> Registry {
    let mut registry = Registry::with_prefix("bulrushlatch_agent");
    let agent = process.agent();
    let counters = agent.counters();
    let outbox = process.outbox().counters();
    let rows = [
        ("started_tasks", "Tasks handed to the target", counters.started_tasks),
        ("done_tasks", "Tasks that gave a result", counters.done_tasks),
        ("failed_tasks", "Tasks that ended badly", counters.failed_tasks),
        ("refused_starts", "Starts that were refused", counters.refused_starts),
        ("fenced_starts", "Starts refused as out of date", counters.fenced_starts),
        ("sent_messages", "Messages sent", outbox.messages.load(Ordering::Relaxed)),
        ("sent_calls", "Calls made", outbox.calls.load(Ordering::Relaxed)),
    ];
    for (name, help, count) in rows {
        registry.register(name, help, ConstCounter::new(count));
    }
    let rows = [
        ("leaving", "Whether no new tasks are taken", i64::from(agent.is_leaving())),
        ("remembered_tasks", "Tasks that are remembered", agent.remembered_tasks() as i64),
        ("settings_offset", "Settings offset obeyed", agent.settings_offset() as i64),
    ];
    for (name, help, value) in rows {
        registry.register(name, help, ConstGauge::new(value));
    }
    registry
}
