//! Availability zones that operators have cordoned: they receive no new tasks.
//!
//! Operators set and lift a cordon by a record in their stream of the store. Entries follow that
//! stream and pass the state on to each other and to agents, so it can arrive late and more than
//! once. The offset in the stream orders the states: a newer one replaces an older one as a whole,
//! and an older one is ignored.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::ZoneName;

/// A change of one cordon, as an operator published it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CordonChange {
    /// The zone; there may be no target in it.
    pub zone: ZoneName,
    /// Whether the cordon is set; `false` if it is lifted.
    pub is_set: bool,
}

/// The cordoned zones at one offset of the operators' stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordons {
    /// Offset of the stream's next record: all earlier records are taken into account.
    pub offset: u64,
    /// The cordoned zones.
    pub zones: BTreeSet<ZoneName>,
}

impl Cordons {
    /// Returns whether the zone receives no new tasks.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Replaces this state by a newer one, as listed by the store or sent by another process;
    /// ignores one that is not newer. Returns whether the zones have changed.
    pub fn adopt(&mut self, newer: Cordons) -> bool {
        if newer.offset <= self.offset {
            return false;
        }
        let has_changed = newer.zones != self.zones;
        *self = newer;
        has_changed
    }

    /// Applies the changes in the records before `offset`, which follow a state that is not newer
    /// than this one. Returns whether the zones have changed.
    ///
    /// Changes that this state already contains are applied again, which is harmless because the
    /// newest change of each zone comes last.
    pub fn apply(&mut self, offset: u64, changes: impl IntoIterator<Item = CordonChange>) -> bool {
        if offset <= self.offset {
            return false;
        }
        self.offset = offset;
        let mut zones = self.zones.clone();
        for change in changes {
            if change.is_set {
                zones.insert(change.zone);
            } else {
                zones.remove(&change.zone);
            }
        }
        let has_changed = zones != self.zones;
        self.zones = zones;
        has_changed
    }
}

/// The cordons that a process knows, as it tells them to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonNotice {
    /// The cordons.
    pub cordons: Cordons,
    /// Whether the sender has read the operators' stream shortly before. Until a further notice, it
    /// continues to do so.
    pub is_current: bool,
}
