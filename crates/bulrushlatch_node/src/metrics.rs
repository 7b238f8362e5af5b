//! Counters and histograms in the text form of Prometheus.

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

/// First bound of a latency histogram; each further one is twice as long.
const FIRST_BUCKET: Duration = Duration::from_millis(2);
/// Number of bounds: the last is about 8 s.
const BUCKETS: u16 = 13;

/// Returns an empty latency histogram, in seconds.
pub fn latency_histogram() -> Histogram {
    let first_s = FIRST_BUCKET.as_secs_f64();
    Histogram::new(prometheus_client::metrics::histogram::exponential_buckets(
        first_s, 2.0, BUCKETS,
    ))
}

/// Something with metrics.
pub trait MetricsSource: 'static {
    /// Returns the metrics as they are now.
    fn registry(&self) -> Registry;
}

/// Adds counters.
pub fn add_counters(registry: &mut Registry, rows: &[(&str, &str, u64)]) {
    for (name, help, count) in rows {
        registry.register(*name, *help, ConstCounter::new(*count));
    }
}

/// Adds gauges.
pub fn add_gauges(registry: &mut Registry, rows: &[(&str, &str, u64)]) {
    for (name, help, value) in rows {
        registry.register(*name, *help, ConstGauge::new(*value as i64));
    }
}

/// Serves the metrics of a process.
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

/// Serves the metrics of a process, if it has an address for them. A process whose metrics cannot be
/// served does its work all the same.
pub async fn serve<M: MetricsSource>(source: &Rc<M>, address: Option<SocketAddr>) {
    let Some(address) = address else { return };
    match http_server::listen(address).await {
        Ok(listener) => {
            let handler = Rc::new(MetricsHandler(Rc::clone(source)));
            tokio::task::spawn_local(http_server::serve(listener, handler));
        }
        Err(error) => tracing::warn!(%address, %error, "metrics are not served"),
    }
}
