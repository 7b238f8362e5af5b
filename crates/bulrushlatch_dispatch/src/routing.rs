//! Routes: which service runs the jobs of which path.

use std::time::Duration;

use crate::ids::{RouteName, ServiceName};

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in a table.
    pub name: RouteName,
    /// Host that requests name; case does not matter.
    pub host: String,
    /// Start of the path; what follows it is the job's id.
    pub path_prefix: String,
    /// Whose targets run the tasks.
    pub service: ServiceName,
    /// Lower numbers go first.
    pub priority: u32,
    /// Failed runs of one task after which its job has failed; at least 1.
    pub max_failed_runs: u32,
    /// Factor on a job's work in the latency objective.
    pub stretch: f64,
    /// Added to the latency objective.
    pub target_latency: Duration,
}

impl Route {
    /// Returns the response time to aim at for a job whose longest chain takes `work`.
    pub fn objective(&self, work: Duration) -> Duration {
        work.mul_f64(self.stretch.max(0.0)) + self.target_latency
    }
}

/// One version of the routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Largest body of a request in bytes; none if not limited.
    pub max_body_bytes: Option<usize>,
}

impl RoutingTable {
    /// Returns the route whose host and longest path prefix match, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Route, &'a str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
        });
        let route = matching.max_by_key(|route| route.path_prefix.len())?;
        Some((route, &path[route.path_prefix.len()..]))
    }
}
