//! Routes: which service runs the jobs of which path.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc, time::Duration};

use crate::ids::{RouteName, ServiceName};

/// Largest factor on a job's work: beyond it an objective is none.
const LARGEST_STRETCH: f64 = 1_000.0;

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
        work.mul_f64(self.stretch.clamp(0.0, LARGEST_STRETCH)) + self.target_latency
    }
}

/// One version of the routes, indexed for lookups at each request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Grows with each change.
    pub version: u64,
    /// Largest body of a request in bytes; none if not limited.
    pub max_body_bytes: Option<usize>,
    /// Routes by host in lower case; in each, longer prefixes come first.
    by_host: BTreeMap<String, Vec<Arc<Route>>>,
    /// The lowest priority number of each service.
    most_urgent: BTreeMap<ServiceName, u32>,
}

impl RoutingTable {
    /// Returns a table of routes.
    pub fn new(version: u64, routes: Vec<Route>, max_body_bytes: Option<usize>) -> Self {
        let mut table = Self { version, max_body_bytes, ..Self::default() };
        for route in routes {
            let urgent = table.most_urgent.entry(route.service.clone()).or_insert(route.priority);
            *urgent = (*urgent).min(route.priority);
            let host = route.host.to_ascii_lowercase();
            table.by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in table.by_host.values_mut() {
            routes.sort_by_key(|route| Reverse(route.path_prefix.len()));
        }
        table
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Returns the route whose host and longest path prefix match, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Route>, &'a str)> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let mut routes = self.by_host.get(&host)?.iter();
        let route = routes.find(|route| path.starts_with(&route.path_prefix))?;
        Some((route, &path[route.path_prefix.len()..]))
    }

    /// Returns whether no other route of the same service goes first.
    pub fn is_most_urgent(&self, route: &Route) -> bool {
        self.most_urgent.get(&route.service).is_none_or(|&urgent| route.priority <= urgent)
    }
}
