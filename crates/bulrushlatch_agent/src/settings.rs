//! Process settings of the agent, read from flags and environment variables and validated.

use std::{net::SocketAddr, time::Duration};

use bulrushlatch_core::limits::Limits;
use bulrushlatch_protocol::ids::{ProcessName, ServiceName, ZoneName};
use bulrushlatch_runtime::{
    logging::LogFormat,
    settings_reader::{SettingsError, SettingsReader},
};

use crate::flags::BulrushAgent;

/// Slots of a target when `--slots` is not given.
const DEFAULT_SLOTS: u32 = 8;
/// Idle connections to a target that are kept when `--connections` is not given.
const DEFAULT_CONNECTIONS: usize = 64;

/// Validated process settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the agent, kept across restarts.
    pub name: ProcessName,
    /// Availability zone of the agent.
    pub zone: ZoneName,
    /// Service that the target offers.
    pub service: ServiceName,
    /// Base URL of the target.
    pub target_url: String,
    /// Slots of the target; at least one.
    pub slots: u32,
    /// Maximum number of idle connections to the target that are kept for reuse; at least `slots`.
    pub connections: usize,
    /// Seeds: addresses of entries for other processes.
    pub entries: Vec<SocketAddr>,
    /// Address that is bound for other processes.
    pub peer_listen: SocketAddr,
    /// Address advertised to other processes, if it differs from `peer_listen`.
    pub advertise: Option<SocketAddr>,
    /// Address at which `/metrics` and `/healthz` are served, if given.
    pub admin_listen: Option<SocketAddr>,
    /// Longest time for an orderly shutdown.
    pub drain_timeout: Duration,
    /// Limits of the agent state machine.
    pub limits: Limits,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Level or filter directive of log lines.
    pub log_level: String,
}

impl AgentSettings {
    /// Returns default settings for a process on loopback, with ports chosen by the system. The
    /// defaults of the flags are taken from them.
    ///
    /// # Panics
    ///
    /// Never panics: the parsed address is a constant.
    pub fn on_loopback(name: &str, zone: &str, service: &str, target_url: &str) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            service: service.into(),
            target_url: target_url.to_owned(),
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            entries: Vec::new(),
            peer_listen: "127.0.0.1:0".parse().expect("a constant address"),
            advertise: None,
            admin_listen: None,
            drain_timeout: Duration::from_secs(60),
            limits: Limits::default(),
            log_format: LogFormat::Text,
            log_level: "info".to_owned(),
        }
    }

    /// Reads and validates the flags and the environment variables.
    ///
    /// # Errors
    ///
    /// Returns all missing, malformed and inconsistent settings at once.
    pub fn from_flags(flags: BulrushAgent) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::default();
        let defaults = Self::on_loopback("", "", "", "");
        let default_limits = defaults.limits.clone();
        let advertise: Vec<SocketAddr> = reader.list("advertise", flags.advertise);
        let admin_listen: Vec<SocketAddr> = reader.list("admin-listen", flags.admin_listen);
        let limits = Limits {
            heartbeat: reader.millis("heartbeat-ms", flags.heartbeat_ms, default_limits.heartbeat),
            id_window: reader.millis("id-window-ms", flags.id_window_ms, default_limits.id_window),
            ..default_limits
        };
        let settings = Self {
            name: reader.required::<String>("name", flags.name).into(),
            zone: reader.required::<String>("zone", flags.zone).into(),
            service: reader.required::<String>("service", flags.service).into(),
            target_url: reader.required("target-url", flags.target_url),
            slots: reader.optional("slots", flags.slots, defaults.slots),
            connections: reader.optional("connections", flags.connections, defaults.connections),
            entries: reader.list("entries", flags.entries),
            peer_listen: reader.optional("peer-listen", flags.peer_listen, defaults.peer_listen),
            advertise: advertise.first().copied(),
            admin_listen: admin_listen.first().copied(),
            drain_timeout: reader.millis(
                "drain-timeout-ms",
                flags.drain_timeout_ms,
                defaults.drain_timeout,
            ),
            limits,
            log_format: reader.optional("log-format", flags.log_format, defaults.log_format),
            log_level: reader.optional("log-level", flags.log_level, defaults.log_level),
        };
        reader.check(settings.slots > 0, "--slots must be at least 1");
        let has_enough_connections = settings.connections >= settings.slots as usize;
        reader.check(has_enough_connections, "--connections must not be below --slots");
        reader.check(!settings.entries.is_empty(), "--entries must name at least one entry");
        let is_url_valid =
            settings.target_url.is_empty() || settings.target_url.starts_with("http");
        reader.check(is_url_valid, "--target-url must be an http URL");
        reader.finish(settings)
    }
}
