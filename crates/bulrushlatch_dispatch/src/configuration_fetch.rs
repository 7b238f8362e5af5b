//! When an entry asks another one for a configuration.
//!
//! A configuration may be large, and links narrow: entries tell each other only which version they
//! have, and one that does not get it from the store asks once for it.

use std::time::Duration;

use crate::clock::BootTime;

/// Time that the store has to bring a version that another entry has: several of its answer times.
const STORE_HEAD_START: Duration = Duration::from_millis(250);
/// Pause before it is asked for again: enough for a large one on a narrow link.
const ASK_PAUSE: Duration = Duration::from_millis(600);

/// What an entry knows of newer versions elsewhere.
#[derive(Debug, Default)]
pub struct ConfigurationFetch {
    heard_at: Option<BootTime>,
    asked_at: Option<BootTime>,
}

impl ConfigurationFetch {
    /// Takes word that another entry has version `theirs`, while `own` is in force here; returns
    /// whether to ask that entry for it now.
    pub fn handle_advertised_version(
        &mut self,
        now: BootTime,
        own: Option<u64>,
        theirs: Option<u64>,
    ) -> bool {
        if theirs <= own {
            return false;
        }
        let heard_at = *self.heard_at.get_or_insert(now);
        let has_waited = own.is_none() || now.saturating_sub(heard_at) >= STORE_HEAD_START;
        let asked_lately = self.asked_at.is_some_and(|at| now.saturating_sub(at) < ASK_PAUSE);
        if !has_waited || asked_lately {
            return false;
        }
        self.asked_at = Some(now);
        true
    }

    /// Notes that a newer version is in force.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
