//! Learned run times and the wait they imply.

use std::collections::BTreeMap;

use bulrushlatch_protocol::ids::{KindName, ServiceName};

/// Kinds for which run times are learned.
const MAX_KINDS: usize = 1024;
/// Weight of a new run time in the average.
const NEW_SHARE: f64 = 0.1;
/// Run time of a kind of which nothing is known.
const DEFAULT_RUN_MS: u64 = 200;

/// Average run times by service and kind.
#[derive(Debug, Default)]
pub struct RunTimes {
    averages_ms: BTreeMap<(ServiceName, KindName), f64>,
}

impl RunTimes {
    /// Takes the run time of one task into account.
    pub fn learn(&mut self, service: &ServiceName, kind: &KindName, run_ms: u64) {
        let key = (service.clone(), kind.clone());
        let run_ms = run_ms as f64;
        let has_room = self.averages_ms.len() < MAX_KINDS;
        if let Some(average_ms) = self.averages_ms.get_mut(&key) {
            *average_ms += NEW_SHARE * (run_ms - *average_ms);
        } else if has_room {
            self.averages_ms.insert(key, run_ms);
        }
    }

    /// Returns the expected run time; a declared one counts only until something is learned.
    pub fn expected_ms(
        &self,
        service: &ServiceName,
        kind: &KindName,
        declared_ms: Option<u64>,
    ) -> u64 {
        let learned = self.averages_ms.get(&(service.clone(), kind.clone()));
        let learned = learned.map(|&average_ms| average_ms.round() as u64);
        learned.or(declared_ms).unwrap_or(DEFAULT_RUN_MS).max(1)
    }
}
