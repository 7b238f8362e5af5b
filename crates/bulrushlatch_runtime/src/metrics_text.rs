//! Prometheus text format of metrics.

use prometheus_client::{encoding::text::encode, registry::Registry};

/// Returns the metrics of a registry in the Prometheus text format.
pub fn metrics_text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = encode(&mut text, registry);
    text
}
