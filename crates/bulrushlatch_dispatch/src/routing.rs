//! Routes from a request's host and path to a service.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc, time::Duration};

use crate::ids::{RouteName, ServiceName};

/// Largest stretch that is applied; beyond it an objective would have no effect.
const MAX_STRETCH: f64 = 1_000.0;

/// A route, with the objectives of its jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in a table.
    pub name: RouteName,
    /// Host of the requests, compared without regard to case.
    pub host: String,
    /// Prefix of the path; the rest of the path is the job's id.
    pub path_prefix: String,
    /// Service whose targets run the tasks.
    pub service: ServiceName,
    /// Routes with the lowest number of their service may use the capacity reserve; the queue is
    /// not ordered by it.
    pub priority: u32,
    /// Failed runs of one task after which its job has failed; at least 1.
    pub max_failed_runs: u32,
    /// Factor on the length of a job's critical path in the latency objective.
    pub stretch: f64,
    /// Constant part of the latency objective.
    pub target_latency: Duration,
}

impl Route {
    /// Returns the latency objective of a job whose critical path takes `critical_path`.
    pub fn objective(&self, critical_path: Duration) -> Duration {
        critical_path.mul_f64(self.stretch.clamp(0.0, MAX_STRETCH)) + self.target_latency
    }
}

/// One version of the routes, indexed for the lookup of each request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Increases with each change of the routes.
    pub version: u64,
    /// Largest body of a request in bytes; `None` if not limited.
    pub max_body_bytes: Option<usize>,
    /// Routes by host in lower case; those of a host with longer prefixes come first.
    by_host: BTreeMap<String, Vec<Arc<Route>>>,
    /// Lowest priority number of the routes of each service.
    most_urgent: BTreeMap<ServiceName, u32>,
    /// Number of routes of each service.
    routes_by_service: BTreeMap<ServiceName, usize>,
}

impl RoutingTable {
    /// Returns a table of routes.
    pub fn new(version: u64, routes: Vec<Route>, max_body_bytes: Option<usize>) -> Self {
        let mut table = Self { version, max_body_bytes, ..Self::default() };
        for route in routes {
            let urgent = table.most_urgent.entry(route.service.clone()).or_insert(route.priority);
            *urgent = (*urgent).min(route.priority);
            *table.routes_by_service.entry(route.service.clone()).or_default() += 1;
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

    /// Returns whether the service has more than one route.
    pub fn has_several_routes(&self, service: &str) -> bool {
        self.routes_by_service.get(service).is_some_and(|&routes| routes > 1)
    }

    /// Returns whether no other route of the service has a lower priority number.
    pub fn is_most_urgent(&self, route: &Route) -> bool {
        self.most_urgent.get(&route.service).is_none_or(|&urgent| route.priority <= urgent)
    }
}
