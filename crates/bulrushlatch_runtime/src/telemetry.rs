//! Logs and the text form of metrics.

use prometheus_client::{encoding::text::encode, registry::Registry};
use tracing_subscriber::EnvFilter;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Sends log lines to standard error; `filter` is a level or a filter directive.
pub fn start_logs(format: LogFormat, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // A second call in one process, as in the demo, keeps the first subscriber.
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// Returns the metrics of a registry in the text form of Prometheus.
pub fn metrics_text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = encode(&mut text, registry);
    text
}
