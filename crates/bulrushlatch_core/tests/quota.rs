//! The quota of a team is never exceeded, whatever happens to the messages about it.

use std::time::{Duration, Instant};

use arbtest::{arbitrary, arbtest};
use bulrushlatch_core::connection::quota::{QuotaMessage, QuotaShare, QuotaTable};
use bulrushlatch_protocol::ids::{Incarnation, TeamId};

/// Number of cases, each with its own fixed seed.
const CASES: u64 = 60;
/// Steps of one case.
const STEPS: usize = 300;

struct Entries {
    now: Instant,
    quota_slots: u64,
    team: TeamId,
    tables: Vec<QuotaTable>,
    on_the_way: Vec<(usize, QuotaMessage)>,
}

impl Entries {
    fn new(count: usize, quota_slots: u64) -> Self {
        let tables = (0..count).map(|index| {
            let mut table = QuotaTable::default();
            let others = (0..count).filter(|&other| other != index);
            let others = others.map(incarnation).collect();
            let share = QuotaShare { rank: index as u64, members: count as u64 };
            table.change_members(1, share, others);
            table
        });
        Self {
            now: Instant::now(),
            quota_slots,
            team: "marea".into(),
            tables: tables.collect(),
            on_the_way: Vec::new(),
        }
    }

    fn try_take(&mut self, index: usize) -> bool {
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
            self.on_the_way.extend(messages.into_iter().map(|message| (index, message)));
        }
    }

    fn deliver(&mut self, position: usize, keep_copy: bool) {
        let (from, message) = if keep_copy {
            self.on_the_way[position].clone()
        } else {
            self.on_the_way.swap_remove(position)
        };
        let (to, reply) = match message {
            QuotaMessage::Ask(to, ask) => {
                let to = index_of(to);
                (to, self.tables[to].handle_ask(incarnation(from), &ask, self.quota_slots))
            }
            QuotaMessage::Loan(to, loan) => {
                let to = index_of(to);
                (to, self.tables[to].handle_loan(incarnation(from), &loan))
            }
        };
        self.on_the_way.extend(reply.map(|reply| (to, reply)));
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
        arbtest(exchange).seed((case << 32) | 4096);
    }
}

#[test]
fn one_entry_can_borrow_the_whole_quota() {
    let mut entries = Entries::new(3, 7);
    let mut taken = 0;
    for _ in 0..200 {
        taken += u64::from(entries.try_take(0));
        entries.tick(Duration::from_millis(20));
        while !entries.on_the_way.is_empty() {
            entries.deliver(0, false);
        }
    }
    assert_eq!(taken, 7);
}

#[test]
fn unused_loans_go_back() {
    let mut entries = Entries::new(2, 1);
    let settle = |entries: &mut Entries| {
        for _ in 0..400 {
            entries.tick(Duration::from_millis(20));
            while !entries.on_the_way.is_empty() {
                entries.deliver(0, false);
            }
        }
    };
    assert!(!entries.try_take(1), "the only slot is the first entry's");
    entries.tick(Duration::from_millis(20));
    while !entries.on_the_way.is_empty() {
        entries.deliver(0, false);
    }
    assert!(entries.try_take(1), "the slot was not lent");
    entries.tables[1].release(&"marea".into(), 1);
    settle(&mut entries);
    assert!(entries.try_take(0), "the slot did not come back");
}

fn exchange(entropy: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let count = entropy.int_in_range(1..=4)?;
    let quota_slots = entropy.int_in_range(0..=12)?;
    let mut entries = Entries::new(count, quota_slots);
    for _ in 0..STEPS {
        let index = entropy.int_in_range(0..=count - 1)?;
        match entropy.int_in_range(0..=5)? {
            0 | 1 => {
                entries.try_take(index);
            }
            2 => entries.tables[index].release(&"marea".into(), 1),
            3 => entries.tick(Duration::from_millis(entropy.int_in_range(1..=1500)?)),
            _ if entries.on_the_way.is_empty() => {}
            4 => {
                let position = entropy.int_in_range(0..=entries.on_the_way.len() - 1)?;
                if entropy.ratio(1, 5)? {
                    entries.on_the_way.swap_remove(position);
                } else {
                    let keep_copy = entropy.ratio(1, 4)?;
                    entries.deliver(position, keep_copy);
                }
            }
            _ => entries.deliver(0, false),
        }
        assert!(entries.held_slots() <= quota_slots, "more slots are held than the quota has");
        assert!(entries.allowed_slots() <= quota_slots, "the shares exceed the quota");
    }
    Ok(())
}

fn incarnation(index: usize) -> Incarnation {
    index as Incarnation + 1
}

fn index_of(incarnation: Incarnation) -> usize {
    incarnation as usize - 1
}
