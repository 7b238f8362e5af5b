//! Entries, agents, targets and a log that run together in one process.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushlatch_agent::{
    process::{AgentProcess, StartedAgent},
    settings::AgentSettings,
};
use bulrushlatch_entry::{
    process::{EntryProcess, StartedEntry},
    settings::EntrySettings,
};
use bulrushlatch_log::{http_server::LogServer, memory_log::MemoryLog};
use bulrushlatch_protocol::change::{Change, SettingKey};
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::target::{Fault, LabTarget};

/// Longest time to wait for a site to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between checks whether the site is ready.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size and names of a site.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// Number of availability zones; entries and agents are assigned to them round-robin.
    pub zones: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with its own target.
    pub agents: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Service that every target runs.
    pub service: String,
    /// Team that submits jobs.
    pub team: String,
}

/// A site that runs until it is dropped or this process ends.
pub struct Site {
    /// Entries of the site.
    pub entries: Vec<StartedEntry>,
    /// Agents of the site.
    pub agents: Vec<StartedAgent>,
    /// Targets, in the order of the agents.
    pub targets: Vec<LabTarget>,
    /// In-memory log that the site's log server serves.
    pub log: Arc<MemoryLog>,
    token: CancellationToken,
    _runtime: tokio::runtime::Runtime,
}

impl Site {
    /// Starts a site, waits until it is ready and publishes its team.
    ///
    /// # Errors
    ///
    /// Returns an error when a process cannot be started, the site does not become ready in time,
    /// or an entry does not accept the team.
    pub fn start(config: &SiteConfig) -> std::io::Result<Self> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
        let any_port: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = LogServer::start(any_port)?;
        let log_url = format!("http://{}", log.address);
        let token = CancellationToken::new();
        let mut entries = Vec::new();
        for index in 0..config.entries {
            let name = format!("entry-{index}");
            let settings = EntrySettings::on_loopback(&name, &zone_name(config, index), &log_url);
            let entry = EntryProcess::start(settings, runtime.handle(), token.child_token());
            entries.push(entry.map_err(|report| std::io::Error::other(format!("{report:?}")))?);
        }
        let seeds: Vec<SocketAddr> = entries.iter().map(|entry| entry.addresses.peers).collect();
        let mut agents = Vec::new();
        let mut targets = Vec::new();
        for index in 0..config.agents {
            let target = LabTarget::start(runtime.handle(), any_port, Fault::None, 0)?;
            let settings = AgentSettings {
                entries: seeds.clone(),
                slots: config.slots,
                ..AgentSettings::on_loopback(
                    &format!("agent-{index}"),
                    &zone_name(config, index),
                    &config.service,
                    &format!("http://{}", target.address),
                )
            };
            let agent = AgentProcess::start(settings, runtime.handle(), token.child_token());
            agents.push(agent.map_err(|report| std::io::Error::other(format!("{report:?}")))?);
            targets.push(target);
        }
        let log = Arc::clone(&log.log);
        let site = Self { entries, agents, targets, log, token, _runtime: runtime };
        site.wait_until(|site| site.is_ready(config))?;
        site.publish_team(&config.team)?;
        Ok(site)
    }

    /// Returns the caller addresses of the entries.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.addresses.callers).collect()
    }

    /// Shuts all processes down and waits until they have ended.
    pub fn stop(self) {
        self.token.cancel();
        for agent in self.agents {
            agent.join();
        }
        for entry in self.entries {
            entry.join();
        }
    }

    /// Returns whether every entry is ready, knows all entries and agents, and has no unready
    /// slices.
    fn is_ready(&self, config: &SiteConfig) -> bool {
        self.entries.iter().all(|started| {
            let entry = started.process.entry();
            let view = entry.view();
            let is_complete =
                view.members.len() == config.entries && view.agents.len() == config.agents;
            is_complete && entry.is_ready() && entry.status().gauges.unready_slices == 0
        })
    }

    fn wait_until(&self, condition: impl Fn(&Self) -> bool) -> std::io::Result<()> {
        let started_at = Instant::now();
        while !condition(self) {
            if started_at.elapsed() > START_TIMEOUT {
                return Err(std::io::Error::other(format!(
                    "the site did not reach the expected state within {} s",
                    START_TIMEOUT.as_secs()
                )));
            }
            std::thread::sleep(START_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Publishes the team's branch of the settings tree; entries refuse submissions of a team
    /// without one. Returns once every entry has applied the change.
    fn publish_team(&self, team: &str) -> std::io::Result<()> {
        let change = Change {
            change_id: format!("create-{team}"),
            team: "operators".into(),
            author: "lab".to_owned(),
            path: team.to_owned(),
            key: SettingKey::Owner,
            value: Some(Value::from(team)),
            expected_version: 0,
            reason: "a team for the lab".to_owned(),
            published_at_ms: 0,
        };
        let url = format!("http://{}/v1/changes", self.caller_addresses()[0]);
        let request = attohttpc::post(url).json(&change).map_err(std::io::Error::other)?;
        let response = request.send().map_err(std::io::Error::other)?;
        if !response.is_success() {
            let message = response.text().unwrap_or_default();
            return Err(std::io::Error::other(format!(
                "team {team:?} was not accepted: {message}"
            )));
        }
        self.wait_until(|site| {
            let version = |started: &StartedEntry| {
                started.process.entry().settings().version(team, SettingKey::Owner)
            };
            site.entries.iter().all(|started| version(started) > 0)
        })
    }
}

fn zone_name(config: &SiteConfig, index: usize) -> String {
    format!("zone-{}", index % config.zones)
}
