//! Average run times by service and task kind.

use std::collections::BTreeMap;

use bulrushlatch_protocol::ids::{KindName, ServiceName};

/// Largest number of pairs of service and kind with a stored average, which bounds memory.
const MAX_KINDS: usize = 1024;
/// Weight of a new run time in the exponential moving average.
const NEW_RUN_WEIGHT: f64 = 0.1;
/// Expected run time of a kind without a measured or declared one.
const DEFAULT_RUN_MS: u64 = 200;

/// Exponential moving averages of run times by service and task kind.
#[derive(Debug, Default)]
pub struct RunTimes {
    averages_ms: BTreeMap<(ServiceName, KindName), f64>,
}

impl RunTimes {
    /// Adds the run time of one task to the average of its kind.
    pub fn record(&mut self, service: &ServiceName, kind: &KindName, run_ms: u64) {
        let key = (service.clone(), kind.clone());
        let run_ms = run_ms as f64;
        let has_capacity = self.averages_ms.len() < MAX_KINDS;
        if let Some(average_ms) = self.averages_ms.get_mut(&key) {
            *average_ms += NEW_RUN_WEIGHT * (run_ms - *average_ms);
        } else if has_capacity {
            self.averages_ms.insert(key, run_ms);
        }
    }

    /// Returns the expected run time; a measured average takes precedence over `declared_ms`.
    pub fn expected_ms(
        &self,
        service: &ServiceName,
        kind: &KindName,
        declared_ms: Option<u64>,
    ) -> u64 {
        let measured = self.averages_ms.get(&(service.clone(), kind.clone()));
        let measured = measured.map(|&average_ms| average_ms.round() as u64);
        measured.or(declared_ms).unwrap_or(DEFAULT_RUN_MS).max(1)
    }
}
