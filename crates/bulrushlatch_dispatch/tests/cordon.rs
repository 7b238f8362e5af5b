//! Cordons as they spread: any interleaving of changes, lost history, restarts and notices.

use std::collections::BTreeSet;

use arbtest::arbitrary::{Result, Unstructured};
use bulrushlatch_dispatch::cordon::{CordonChange, Cordons};

/// Number of processes that follow the stream or tell each other.
const PROCESSES: usize = 4;
/// Number of actions in a case.
const ACTIONS: usize = 60;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The operators' stream and what processes know of it.
#[derive(Default)]
struct World {
    changes: Vec<CordonChange>,
    /// Oldest change that can still be read.
    first: usize,
    known: [Cordons; PROCESSES],
    /// Offset up to which each process has followed the stream, if it has listed it.
    followed: [Option<usize>; PROCESSES],
    /// Notices under way; they may arrive at any time, in any order, or never.
    notices: Vec<Cordons>,
}

impl World {
    fn zones_at(&self, offset: usize) -> BTreeSet<String> {
        let mut zones = BTreeSet::new();
        for change in &self.changes[..offset] {
            if change.is_set {
                zones.insert(change.zone.clone());
            } else {
                zones.remove(&change.zone);
            }
        }
        zones
    }

    /// Lists the stream, or reads up to `count` changes from where the process has got to.
    fn read(&mut self, process: usize, count: usize) {
        match self.followed[process].filter(|&from| from >= self.first) {
            Some(from) => {
                let to = (from + count).min(self.changes.len());
                let changes = self.changes[from..to].to_vec();
                self.known[process].apply(to as u64, changes);
                self.followed[process] = Some(to);
            }
            None => {
                let end = self.changes.len();
                let zones = self.zones_at(end);
                self.known[process].adopt(Cordons { offset: end as u64, zones });
                self.followed[process] = Some(end);
            }
        }
    }

    fn act(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let process = u.choose_index(PROCESSES)?;
        match u.int_in_range(0..=7)? {
            0 | 1 => {
                let zone = (*u.choose(&ZONES)?).to_owned();
                self.changes.push(CordonChange { zone, is_set: u.arbitrary()? });
            }
            2 | 3 => {
                let count = u.int_in_range(1..=3)?;
                self.read(process, count);
            }
            4 => self.notices.push(self.known[process].clone()),
            5 if !self.notices.is_empty() => {
                let notice = u.choose(&self.notices)?.clone();
                self.known[process].adopt(notice);
            }
            6 => self.first = self.changes.len(),
            7 => {
                self.known[process] = Cordons::default();
                self.followed[process] = None;
            }
            _ => {}
        }
        Ok(())
    }

    /// Checks that each process knows the zones as they were at the offset that it states.
    fn check(&self) {
        for known in &self.known {
            assert_eq!(known.zones, self.zones_at(known.offset as usize));
        }
    }
}

/// What a process knows is always the state at one offset. The offset falls only with a restart, so a
/// cordon that was lifted never returns, and one that was set is never forgotten.
#[test]
fn known_cordons_are_those_at_one_offset_which_only_rises() {
    arbtest::arbtest(|u| {
        let mut world = World::default();
        for _ in 0..ACTIONS {
            let before = world.known.clone();
            world.act(u)?;
            world.check();
            for (before, after) in before.iter().zip(&world.known) {
                assert!(after.offset >= before.offset || *after == Cordons::default());
            }
        }
        for process in 0..PROCESSES {
            world.read(process, usize::MAX / 2);
            assert_eq!(world.known[process].zones, world.zones_at(world.changes.len()));
        }
        Ok(())
    });
}

/// A listing after lost history may be the only trace of a cordon that was lifted.
#[test]
fn zone_missing_from_a_newer_listing_is_not_cordoned() {
    let zones = BTreeSet::from(["a".to_owned()]);
    let mut cordons = Cordons { offset: 4, zones };
    assert!(!cordons.adopt(Cordons { offset: 3, ..Cordons::default() }), "an older listing");
    assert!(cordons.contains("a"));
    assert!(cordons.adopt(Cordons { offset: 9, ..Cordons::default() }));
    assert!(!cordons.contains("a"));
}
