//! A whole site in one process.

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

/// Longest time for a site to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between looks whether the site is ready.
const START_POLL: Duration = Duration::from_millis(50);

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// Availability zones; entries and agents are spread over them in turn.
    pub zones: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with a target.
    pub agents: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Service that all targets offer.
    pub service: String,
    /// Team that submits.
    pub team: String,
}

/// A running site; it ends with the process or when it is dropped.
pub struct Site {
    /// The entries.
    pub entries: Vec<StartedEntry>,
    /// The agents.
    pub agents: Vec<StartedAgent>,
    /// The targets, in the order of the agents.
    pub targets: Vec<LabTarget>,
    /// The log behind the stand-in.
    pub log: Arc<MemoryLog>,
    token: CancellationToken,
    _runtime: tokio::runtime::Runtime,
}

impl Site {
    /// Starts a site and publishes its team.
    ///
    /// # Errors
    ///
    /// Returns an error when a process cannot be started, or the site does not become ready.
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
            let settings = EntrySettings::on_loopback(&name, &zone(config, index), &log_url);
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
                    &zone(config, index),
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
        site.wait_until(|site| site.is_formed(config))?;
        site.publish_team(&config.team)?;
        Ok(site)
    }

    /// Returns the caller addresses of the entries.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.addresses.callers).collect()
    }

    /// Shuts everything down in order.
    pub fn stop(self) {
        self.token.cancel();
        for agent in self.agents {
            agent.join();
        }
        for entry in self.entries {
            entry.join();
        }
    }

    fn is_formed(&self, config: &SiteConfig) -> bool {
        self.entries.iter().all(|started| {
            let entry = started.process.entry();
            let view = entry.view();
            let is_whole =
                view.members.len() == config.entries && view.agents.len() == config.agents;
            is_whole && entry.is_ready() && entry.status().gauges.unready_slices == 0
        })
    }

    fn wait_until(&self, is_reached: impl Fn(&Self) -> bool) -> std::io::Result<()> {
        let begun = Instant::now();
        while !is_reached(self) {
            if begun.elapsed() > START_TIMEOUT {
                return Err(std::io::Error::other("the site did not become ready"));
            }
            std::thread::sleep(START_POLL);
        }
        Ok(())
    }

    /// A team exists once operators have given it its branch.
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
            return Err(std::io::Error::other(format!("the team was not accepted: {message}")));
        }
        self.wait_until(|site| {
            let version = |started: &StartedEntry| {
                started.process.entry().settings().version(team, SettingKey::Owner)
            };
            site.entries.iter().all(|started| version(started) > 0)
        })
    }
}

fn zone(config: &SiteConfig, index: usize) -> String {
    format!("zone-{}", index % config.zones)
}
