//! Settings of both processes, read from flags and environment variables and validated.

use std::{net::SocketAddr, time::Duration};

use bulrushlatch_dispatch::{entry::delegation::DelegationSettings, timing::Timing};
use bulrushlatch_runtime::{
    logging::LogFormat,
    settings_reader::{SettingsError, SettingsReader},
};

use crate::{agent::flags::BulrushSiteAgent, entry::flags::BulrushSiteEntry, read_rate::ReadRate};

/// Default of `--resend-after-ms`.
const DEFAULT_RESEND_AFTER: Duration = Duration::from_millis(1300);
/// Default of `--longest-lease-ms`.
const DEFAULT_LONGEST_LEASE: Duration = Duration::from_millis(1000);
/// Default of `--grace-s`.
const DEFAULT_GRACE: Duration = Duration::from_secs(6);

/// Bytes per second of one Mbit/s.
const BYTES_PER_S_PER_MBPS: f64 = 125_000.0;
/// Share of the VM's link that reads of the store may use; the rest is for jobs and heartbeats.
const STORE_LINK_SHARE: f64 = 0.5;

/// Settings that entries and agents have in common.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Name of the process, the same after a restart.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Link addresses of some entries, which may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address on which `/metrics` and `/healthz` are served; `None` to serve neither.
    pub metrics_listen: Option<SocketAddr>,
    /// Time bounds, for which [`Timing::is_safe`] holds.
    pub timing: Timing,
    /// Whether entries and agents exchange demand.
    pub demand_exchange: bool,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Level or filter directive of log lines.
    pub log_level: String,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Settings that entries and agents have in common.
    pub common: CommonSettings,
    /// Address on which requests from callers are accepted.
    pub caller_listen: SocketAddr,
    /// Address on which the load balancer's readiness checks are accepted.
    pub ready_listen: SocketAddr,
    /// Address on which links are accepted.
    pub link_listen: SocketAddr,
    /// Address at which agents and other entries reach `link_listen`.
    pub link_address: SocketAddr,
    /// Rate at which the store's responses are read; `None` if not limited.
    pub store_read_rate: Option<ReadRate>,
    /// Whether a part of the jobs is refused while the processor is too busy.
    pub overload_control: bool,
    /// Settings of delegation; `None` to neither delegate jobs nor take those of other entries.
    pub delegation: Option<DelegationSettings>,
    /// Whether waiting jobs that cannot start in time are refused, and the reserve for urgent jobs
    /// follows their demand.
    pub shortage_policy: bool,
    /// Whether tasks are placed by the speed of targets where it differs.
    pub speed_placement: bool,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings that entries and agents have in common.
    pub common: CommonSettings,
    /// Address on which announcements from the target are accepted.
    pub announcement_listen: SocketAddr,
    /// Address on which the target accepts calls.
    pub target: SocketAddr,
    /// Time for which a start order may wait for a run to end; zero if none may wait.
    pub max_start_wait: Duration,
}

struct CommonFlags {
    name: Option<String>,
    zone: Option<String>,
    seeds: Option<String>,
    link_port: Option<String>,
    store: Option<String>,
    metrics_listen: Option<String>,
    resend_after_ms: Option<String>,
    longest_lease_ms: Option<String>,
    demand_exchange: Option<String>,
    grace_s: Option<String>,
    log_format: Option<String>,
    log_level: Option<String>,
}

macro_rules! common_flags {
    ($flags:expr) => {
        CommonFlags {
            name: $flags.name,
            zone: $flags.zone,
            seeds: $flags.seeds,
            link_port: $flags.link_port,
            store: $flags.store,
            metrics_listen: $flags.metrics_listen,
            resend_after_ms: $flags.resend_after_ms,
            longest_lease_ms: $flags.longest_lease_ms,
            demand_exchange: $flags.demand_exchange,
            grace_s: $flags.grace_s,
            log_format: $flags.log_format,
            log_level: $flags.log_level,
        }
    };
}

/// Reads a setting that must hold exactly one address.
fn read_address(reader: &mut SettingsReader, flag: &str, given: Option<String>) -> SocketAddr {
    let list: Vec<SocketAddr> = reader.list(flag, given);
    reader.check(list.len() == 1, &format!("--{flag} must name one address, IP:PORT"));
    list.first().copied().unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)))
}

fn read_common(reader: &mut SettingsReader, flags: CommonFlags) -> CommonSettings {
    let resend_after =
        reader.millis("resend-after-ms", flags.resend_after_ms, DEFAULT_RESEND_AFTER);
    let longest_lease =
        reader.millis("longest-lease-ms", flags.longest_lease_ms, DEFAULT_LONGEST_LEASE);
    let timing = Timing::new(resend_after, longest_lease);
    reader.check(
        timing.is_safe(),
        "--resend-after-ms is too short: an earlier run might not be over when callers submit again",
    );
    let seeds: Vec<SocketAddr> = reader.list("seeds", flags.seeds);
    let link_port: u16 = reader.optional("link-port", flags.link_port, 0);
    let seeds = seeds.into_iter().map(|mut seed| {
        if link_port != 0 {
            seed.set_port(link_port);
        }
        seed
    });
    let metrics_listen: Vec<SocketAddr> = reader.list("metrics-listen", flags.metrics_listen);
    let grace_s: f64 = reader.optional("grace-s", flags.grace_s, DEFAULT_GRACE.as_secs_f64());
    reader.check(grace_s >= 1.0, "--grace-s must be at least 1");
    CommonSettings {
        name: reader.required("name", flags.name),
        zone: reader.required("zone", flags.zone),
        seeds: seeds.collect(),
        store: read_address(reader, "store", flags.store),
        metrics_listen: metrics_listen.first().copied(),
        timing,
        demand_exchange: read_switch(reader, "demand-exchange", flags.demand_exchange, false),
        grace: Duration::from_secs_f64(grace_s.max(1.0)),
        log_format: reader.optional("log-format", flags.log_format, LogFormat::Json),
        log_level: reader.optional("log-level", flags.log_level, "info".to_owned()),
    }
}

fn read_store_rate(reader: &mut SettingsReader, link_mbps: Option<String>) -> Option<ReadRate> {
    let link_mbps: f64 = reader.optional("link-mbps", link_mbps, 0.0);
    let is_valid = link_mbps.is_finite() && link_mbps >= 0.0;
    reader.check(is_valid, "--link-mbps must be a number that is not negative");
    let bytes_per_s = link_mbps * BYTES_PER_S_PER_MBPS * STORE_LINK_SHARE;
    (is_valid && link_mbps > 0.0).then_some(ReadRate { bytes_per_s })
}

fn read_delegation(
    reader: &mut SettingsReader,
    delegation: Option<String>,
    busy_percent: Option<String>,
) -> Option<DelegationSettings> {
    let default = DelegationSettings::default();
    let is_on = read_switch(reader, "delegation", delegation, false);
    let default_percent = default.busy_threshold * 100.0;
    let percent: f64 = reader.optional("delegation-busy-percent", busy_percent, default_percent);
    let is_valid = (0.0..=100.0).contains(&percent);
    reader.check(is_valid, "--delegation-busy-percent must be a number from 0 to 100");
    is_on.then_some(DelegationSettings { busy_threshold: percent / 100.0 })
}

/// Reads a setting that is `on` or `off`.
fn read_switch(
    reader: &mut SettingsReader,
    flag: &str,
    given: Option<String>,
    default: bool,
) -> bool {
    let default = if default { "on" } else { "off" };
    let value: String = reader.optional(flag, given, default.to_owned());
    let is_valid = matches!(value.as_str(), "on" | "off");
    reader.check(is_valid, &format!("--{flag} must be on or off"));
    value == "on"
}

impl EntrySettings {
    /// Reads flags and environment variables.
    ///
    /// # Errors
    ///
    /// Returns all problems found in the settings.
    pub fn from_flags(flags: BulrushSiteEntry) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::default();
        let caller_listen = read_address(&mut reader, "caller-listen", flags.caller_listen);
        let ready_listen = read_address(&mut reader, "ready-listen", flags.ready_listen);
        let link_listen = read_address(&mut reader, "link-listen", flags.link_listen);
        let link_address = reader.optional("link-address", flags.link_address, link_listen);
        let store_read_rate = read_store_rate(&mut reader, flags.link_mbps);
        let overload_control =
            read_switch(&mut reader, "overload-control", flags.overload_control, true);
        let delegation =
            read_delegation(&mut reader, flags.delegation, flags.delegation_busy_percent);
        let shortage_policy =
            read_switch(&mut reader, "shortage-policy", flags.shortage_policy, false);
        let speed_placement =
            read_switch(&mut reader, "speed-placement", flags.speed_placement, true);
        let common = read_common(&mut reader, common_flags!(flags));
        reader.finish(Self {
            common,
            caller_listen,
            ready_listen,
            link_listen,
            link_address,
            store_read_rate,
            overload_control,
            delegation,
            shortage_policy,
            speed_placement,
        })
    }
}

impl AgentSettings {
    /// Reads flags and environment variables.
    ///
    /// # Errors
    ///
    /// Returns all problems found in the settings.
    pub fn from_flags(flags: BulrushSiteAgent) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::default();
        let announcement_listen =
            read_address(&mut reader, "announcement-listen", flags.announcement_listen);
        let target = read_address(&mut reader, "target", flags.target);
        let max_start_wait =
            reader.millis("max-start-wait-ms", flags.max_start_wait_ms, Duration::ZERO);
        let common = read_common(&mut reader, common_flags!(flags));
        reader.finish(Self { common, announcement_listen, target, max_start_wait })
    }
}
