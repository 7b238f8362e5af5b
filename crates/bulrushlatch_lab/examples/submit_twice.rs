//! Submits the same job to two entries and shows that its task starts once.
//!
//!     cargo run -p bulrushlatch_lab --example submit_twice

use bulrushlatch_lab::site::{Site, SiteConfig};
use bulrushlatch_protocol::answer::Answer;
use serde_json::json;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let config = SiteConfig {
        zones: 2,
        entries: 2,
        agents: 2,
        slots: 8,
        service: "listing".to_owned(),
        team: "marea".to_owned(),
    };
    let site = Site::start(&config)?;
    let job = json!({
        "submission_id": "order-17",
        "team": "marea",
        "service": "listing",
        "timeout_ms": 5000,
        "tasks": [{ "kind": "photo", "payload": { "run_ms": 80 } }],
    });
    for entry in site.caller_addresses() {
        let request = attohttpc::post(format!("http://{entry}/v1/submissions")).json(&job)?;
        let answer: Answer = request.send()?.json()?;
        println!("{entry} answered {} with {} result(s)", answer.state, answer.results.len());
    }
    let started: u64 = site.targets.iter().map(|target| target.counters().started).sum();
    println!("the targets started {started} task(s)");
    site.stop();
    Ok(())
}
