//! Numbers that stand for the names of services.
//!
//! Each decision compares the service of a route with that of every agent; numbers compare faster
//! than names.

use std::collections::BTreeMap;

use crate::ids::ServiceName;

/// Number of a service, unique in its process.
pub type ServiceNumber = u32;

/// Numbers of the services that were seen, of which there are few.
#[derive(Debug, Default)]
pub struct ServiceNumbers {
    numbers: BTreeMap<ServiceName, ServiceNumber>,
}

impl ServiceNumbers {
    /// Returns the number of a service, which is a new one at the first call.
    pub fn add(&mut self, service: &ServiceName) -> Option<ServiceNumber> {
        let next = self.numbers.len() as ServiceNumber;
        Some(*self.numbers.entry(service.clone()).or_insert(next))
    }

    /// Returns the number of a service, or `None` if no agent's target has it.
    pub fn number(&self, service: &str) -> Option<ServiceNumber> {
        self.numbers.get(service).copied()
    }
}
