//! Process settings of the entry, read from flags and environment variables and validated.

use std::{net::SocketAddr, time::Duration};

use bulrushlatch_core::limits::Limits;
use bulrushlatch_protocol::ids::{ProcessName, ZoneName};
use bulrushlatch_runtime::{
    logging::LogFormat,
    settings_reader::{SettingsError, SettingsReader},
};

use crate::flags::BulrushEntry;

/// Validated process settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the entry, kept across restarts.
    pub name: ProcessName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Address that is bound for callers and operators.
    pub caller_listen: SocketAddr,
    /// Address that is bound for other processes.
    pub peer_listen: SocketAddr,
    /// Address advertised to other processes, if it differs from `peer_listen`.
    pub advertise: Option<SocketAddr>,
    /// Base URL of the platform's log.
    pub log_url: String,
    /// Seeds: addresses of other entries, contacted at the start even while the platform's log is
    /// down.
    pub peers: Vec<SocketAddr>,
    /// Number of shards, each handling part of the slices under its own lock; at least one.
    pub shards: usize,
    /// Largest accepted body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time between reads of the platform's log.
    pub log_interval: Duration,
    /// Longest time for an orderly shutdown.
    pub drain_timeout: Duration,
    /// Limits of the entry state machine.
    pub limits: Limits,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Level or filter directive of log lines.
    pub log_level: String,
}

impl EntrySettings {
    /// Returns default settings for a process on loopback, with ports chosen by the system. The
    /// defaults of the flags are taken from them.
    ///
    /// # Panics
    ///
    /// Never panics: the parsed address is a constant.
    pub fn on_loopback(name: &str, zone: &str, log_url: &str) -> Self {
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("a constant address");
        Self {
            name: name.into(),
            zone: zone.into(),
            caller_listen: any_port,
            peer_listen: any_port,
            advertise: None,
            log_url: log_url.to_owned(),
            peers: Vec::new(),
            shards: 4,
            max_body_bytes: 8 * 1024 * 1024,
            log_interval: Duration::from_millis(100),
            drain_timeout: Duration::from_secs(60),
            limits: Limits { agent_gone_after: Duration::from_secs(10), ..Limits::default() },
            log_format: LogFormat::Text,
            log_level: "info".to_owned(),
        }
    }

    /// Reads and validates the flags and the environment variables.
    ///
    /// # Errors
    ///
    /// Returns all missing, malformed and inconsistent settings at once.
    pub fn from_flags(flags: BulrushEntry) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::default();
        let defaults = Self::on_loopback("", "", "");
        let default_limits = defaults.limits.clone();
        let advertise: Vec<SocketAddr> = reader.list("advertise", flags.advertise);
        let limits = Limits {
            heartbeat: reader.millis("heartbeat-ms", flags.heartbeat_ms, default_limits.heartbeat),
            silence_limit: reader.millis(
                "silence-ms",
                flags.silence_ms,
                default_limits.silence_limit,
            ),
            agent_gone_after: reader.millis(
                "agent-gone-ms",
                flags.agent_gone_ms,
                default_limits.agent_gone_after,
            ),
            id_window: reader.millis("id-window-ms", flags.id_window_ms, default_limits.id_window),
            snapshot_age: reader.millis(
                "snapshot-age-ms",
                flags.snapshot_age_ms,
                default_limits.snapshot_age,
            ),
            max_ids: reader.optional("max-ids", flags.max_ids, default_limits.max_ids),
            max_result_bytes: reader.optional(
                "max-result-bytes",
                flags.max_result_bytes,
                default_limits.max_result_bytes,
            ),
            ..default_limits
        };
        let name = reader.required::<String>("name", flags.name);
        let zone = reader.required::<String>("zone", flags.zone);
        let settings = Self {
            name: name.into(),
            zone: zone.into(),
            caller_listen: reader.optional(
                "caller-listen",
                flags.caller_listen,
                defaults.caller_listen,
            ),
            peer_listen: reader.optional("peer-listen", flags.peer_listen, defaults.peer_listen),
            advertise: advertise.first().copied(),
            log_url: reader.required("log-url", flags.log_url),
            peers: reader.list("peers", flags.peers),
            shards: reader.optional("shards", flags.shards, defaults.shards),
            max_body_bytes: reader.optional(
                "max-body-bytes",
                flags.max_body_bytes,
                defaults.max_body_bytes,
            ),
            log_interval: reader.millis(
                "log-interval-ms",
                flags.log_interval_ms,
                defaults.log_interval,
            ),
            drain_timeout: reader.millis(
                "drain-timeout-ms",
                flags.drain_timeout_ms,
                defaults.drain_timeout,
            ),
            limits,
            log_format: reader.optional("log-format", flags.log_format, defaults.log_format),
            log_level: reader.optional("log-level", flags.log_level, defaults.log_level),
        };
        reader.check(settings.shards > 0, "--shards must be at least 1");
        let is_silence_long_enough = settings.limits.heartbeat * 2 < settings.limits.silence_limit;
        reader.check(is_silence_long_enough, "--silence-ms must be more than twice --heartbeat-ms");
        let is_url_valid = settings.log_url.is_empty() || settings.log_url.starts_with("http");
        reader.check(is_url_valid, "--log-url must be an http URL");
        reader.finish(settings)
    }
}
