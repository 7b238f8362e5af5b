//! Metrics in Prometheus's text format, served over HTTP.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bulrushlatch_runtime::metrics_text::metrics_text;
use hyper::StatusCode;
use prometheus_client::{
    metrics::{counter::ConstCounter, gauge::ConstGauge, histogram::Histogram},
    registry::Registry,
};

use crate::{
    http_server::{self, ServerHandler, ServerRequest, text_response},
    interface::BodyResponse,
};

/// Upper bound of the first bucket of a latency histogram; each further bound is twice as long.
const FIRST_BUCKET: Duration = Duration::from_millis(2);
/// Number of buckets of a latency histogram, which makes the last bound about 8 s.
const BUCKET_COUNT: u16 = 13;

/// Returns an empty latency histogram, in seconds.
pub fn latency_histogram() -> Histogram {
    let first_s = FIRST_BUCKET.as_secs_f64();
    Histogram::new(prometheus_client::metrics::histogram::exponential_buckets(
        first_s,
        2.0,
        BUCKET_COUNT,
    ))
}

/// A process that has metrics.
pub trait MetricsSource: 'static {
    /// Returns a registry that holds the current values.
    fn registry(&self) -> Registry;
}

/// Registers counters, given as rows of name, help text and value.
pub fn add_counters(registry: &mut Registry, rows: &[(&str, &str, u64)]) {
    for (name, help, count) in rows {
        registry.register(*name, *help, ConstCounter::new(*count));
    }
}

/// Registers gauges, given as rows of name, help text and value.
pub fn add_gauges(registry: &mut Registry, rows: &[(&str, &str, u64)]) {
    for (name, help, value) in rows {
        registry.register(*name, *help, ConstGauge::new(*value as i64));
    }
}

/// Handles requests for the metrics and the health check of a process.
#[derive(Debug)]
pub struct MetricsHandler<M>(pub Rc<M>);

impl<M: MetricsSource> ServerHandler for MetricsHandler<M> {
    async fn handle(self: Rc<Self>, request: ServerRequest) -> BodyResponse {
        match request.path.as_str() {
            "/metrics" => text_response(StatusCode::OK, metrics_text(&self.0.registry())),
            "/healthz" => text_response(StatusCode::OK, "ok"),
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

/// Serves the metrics of a process, if it has an address for them. If the address cannot be
/// listened on, the process runs without serving metrics.
pub async fn serve<M: MetricsSource>(source: &Rc<M>, address: Option<SocketAddr>) {
    let Some(address) = address else { return };
    match http_server::listen(address).await {
        Ok(listener) => {
            let handler = Rc::new(MetricsHandler(Rc::clone(source)));
            tokio::task::spawn_local(http_server::serve(listener, handler));
        }
        Err(error) => tracing::warn!(%address, %error, "metrics not served: cannot listen"),
    }
}
