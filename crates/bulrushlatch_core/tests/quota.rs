//! Tests that entries never exceed a team's quota, also if quota messages are lost or repeated.

use std::time::{Duration, Instant};

use arbtest::{arbitrary, arbtest};
use bulrushlatch_core::connection::quota::{QuotaMessage, QuotaShare, QuotaTable};
use bulrushlatch_protocol::ids::{Incarnation, TeamId};

/// Number of cases, each with its own fixed seed.
const CASES: u64 = 60;
/// Number of steps of one case.
const STEPS: usize = 300;

/// Quota tables of several entries and the messages in flight between them.
struct Entries {
    now: Instant,
    quota_slots: u64,
    team: TeamId,
    tables: Vec<QuotaTable>,
    in_flight: Vec<(usize, QuotaMessage)>,
}

impl Entries {
    fn new(count: usize, quota_slots: u64) -> Self {
        let tables = (0..count).map(|index| {
            let mut table = QuotaTable::default();
            let peers = (0..count).filter(|&peer| peer != index);
            let peers = peers.map(incarnation).collect();
            let share = QuotaShare { rank: index as u64, members: count as u64 };
            table.change_members(1, share, peers);
            table
        });
        Self {
            now: Instant::now(),
            quota_slots,
            team: "marea".into(),
            tables: tables.collect(),
            in_flight: Vec::new(),
        }
    }

    /// Acquires a slot at an entry if its table allows it, and returns whether it did.
    fn try_acquire(&mut self, index: usize) -> bool {
        let may_acquire = self.tables[index].may_acquire(self.now, &self.team, self.quota_slots, 1);
        if may_acquire {
            self.tables[index].acquire(&self.team, 1);
        }
        may_acquire
    }

    fn tick(&mut self, elapsed: Duration) {
        self.now += elapsed;
        for index in 0..self.tables.len() {
            let quota_slots = self.quota_slots;
            let messages = self.tables[index].tick(self.now, |_| Some(quota_slots));
            self.in_flight.extend(messages.into_iter().map(|message| (index, message)));
        }
    }

    /// Delivers a message in flight; `keep_copy` leaves a duplicate of it in flight.
    fn deliver(&mut self, position: usize, keep_copy: bool) {
        let (from, message) = if keep_copy {
            self.in_flight[position].clone()
        } else {
            self.in_flight.swap_remove(position)
        };
        let (to, reply) = match message {
            QuotaMessage::Request(to, request) => {
                let to = index_of(to);
                (to, self.tables[to].handle_request(incarnation(from), &request, self.quota_slots))
            }
            QuotaMessage::Loan(to, loan) => {
                let to = index_of(to);
                (to, self.tables[to].handle_loan(incarnation(from), &loan))
            }
        };
        self.in_flight.extend(reply.map(|reply| (to, reply)));
    }

    fn held_slots(&self) -> u64 {
        self.tables.iter().map(|table| table.held_slots(&self.team)).sum()
    }

    fn allowed_slots(&self) -> u64 {
        let quota_slots = self.quota_slots;
        self.tables.iter().map(|table| table.allowed_slots(&self.team, quota_slots)).sum()
    }
}

#[test]
fn shares_and_loans_never_exceed_the_quota() {
    for case in 0..CASES {
        arbtest(check_random_steps).seed((case << 32) | 4096);
    }
}

#[test]
fn one_entry_can_borrow_the_whole_quota() {
    let mut entries = Entries::new(3, 7);
    let mut acquired = 0;
    for _ in 0..200 {
        acquired += u64::from(entries.try_acquire(0));
        entries.tick(Duration::from_millis(20));
        while !entries.in_flight.is_empty() {
            entries.deliver(0, false);
        }
    }
    assert_eq!(acquired, 7);
}

#[test]
fn unused_loans_are_returned() {
    let mut entries = Entries::new(2, 1);
    let settle = |entries: &mut Entries| {
        for _ in 0..400 {
            entries.tick(Duration::from_millis(20));
            while !entries.in_flight.is_empty() {
                entries.deliver(0, false);
            }
        }
    };
    assert!(!entries.try_acquire(1), "the only slot belongs to the first entry");
    entries.tick(Duration::from_millis(20));
    while !entries.in_flight.is_empty() {
        entries.deliver(0, false);
    }
    assert!(entries.try_acquire(1), "the slot was not lent to the second entry");
    entries.tables[1].release(&"marea".into(), 1);
    settle(&mut entries);
    assert!(entries.try_acquire(0), "the slot was not returned to the first entry");
}

/// Acquires and releases slots, and delivers, loses or duplicates messages at random.
fn check_random_steps(entropy: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let count = entropy.int_in_range(1..=4)?;
    let quota_slots = entropy.int_in_range(0..=12)?;
    let mut entries = Entries::new(count, quota_slots);
    for _ in 0..STEPS {
        let index = entropy.int_in_range(0..=count - 1)?;
        match entropy.int_in_range(0..=5)? {
            0 | 1 => {
                entries.try_acquire(index);
            }
            2 => entries.tables[index].release(&"marea".into(), 1),
            3 => entries.tick(Duration::from_millis(entropy.int_in_range(1..=1500)?)),
            _ if entries.in_flight.is_empty() => {}
            4 => {
                let position = entropy.int_in_range(0..=entries.in_flight.len() - 1)?;
                if entropy.ratio(1, 5)? {
                    entries.in_flight.swap_remove(position);
                } else {
                    let keep_copy = entropy.ratio(1, 4)?;
                    entries.deliver(position, keep_copy);
                }
            }
            _ => entries.deliver(0, false),
        }
        assert!(
            entries.held_slots() <= quota_slots,
            "the held slots exceed the quota of {quota_slots}"
        );
        assert!(
            entries.allowed_slots() <= quota_slots,
            "the allowed slots exceed the quota of {quota_slots}"
        );
    }
    Ok(())
}

fn incarnation(index: usize) -> Incarnation {
    index as Incarnation + 1
}

fn index_of(incarnation: Incarnation) -> usize {
    incarnation as usize - 1
}
