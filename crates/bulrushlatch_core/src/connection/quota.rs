//! Slots that teams hold, and how entries share out the quota of a team.
//!
//! Each entry has an equal share. One that needs more asks the others, which lend what they do
//! not use. A loan is named by its total and a sequence number, so that messages may be lost,
//! repeated or reordered: the lender counts a slot as lent from before the loan is sent until
//! the borrower has said that it gave it back. The shares therefore never add up to more than
//! the quota while the members stay the same; a change of members ends all loans.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::ids::{Epoch, Incarnation, TeamId};
use serde::{Deserialize, Serialize};

/// Time between questions for more slots.
const ASK_INTERVAL: Duration = Duration::from_millis(30);
/// Time between reminders of a loan, which the borrower answers with what it still needs.
const REMIND_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which slots that are not needed are kept.
const KEEP_UNUSED: Duration = Duration::from_secs(1);
/// Most slots asked for at once.
const MAX_ASKED_SLOTS: u64 = 16;

/// The part of a quota that one entry has from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaShare {
    /// Position of the entry among the members.
    pub rank: u64,
    /// Number of members.
    pub members: u64,
}

/// A borrower's question to a lender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Epoch of the members that share the quota.
    pub epoch: Epoch,
    /// The team.
    pub team: TeamId,
    /// Slots that are needed besides those that are borrowed; zero to only give some back.
    pub needed_slots: u64,
    /// Latest loan of this lender that was received.
    pub last_loan: u64,
    /// Slots of it that are still borrowed.
    pub borrowed_slots: u64,
}

/// A lender's word to a borrower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLoan {
    /// Epoch of the members that share the quota.
    pub epoch: Epoch,
    /// The team.
    pub team: TeamId,
    /// Number of the loan; the highest one counts.
    pub loan: u64,
    /// All slots that the borrower has from this lender.
    pub total_slots: u64,
}

/// A message that a quota table wants to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaMessage {
    /// To a lender.
    Ask(Incarnation, QuotaAsk),
    /// To a borrower.
    Loan(Incarnation, QuotaLoan),
}

/// Slots that the tasks placed by one entry hold, and the loans of quotas, by team.
#[derive(Debug, Default)]
pub struct QuotaTable {
    epoch: Epoch,
    share: QuotaShare,
    /// The other members, which may lend.
    others: Vec<Incarnation>,
    teams: BTreeMap<TeamId, TeamQuota>,
}

#[derive(Debug, Default)]
struct TeamQuota {
    held_slots: u64,
    /// Slots that a waiting task could not get; cleared when asked for.
    needed_slots: u64,
    last_needed: Option<Instant>,
    last_ask: Option<Instant>,
    /// Number of questions, to ask the others in turn.
    asked: usize,
    lent: BTreeMap<Incarnation, Loan>,
    borrowed: BTreeMap<Incarnation, Loan>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Loan {
    number: u64,
    slots: u64,
    last_reminder: Option<Instant>,
}

impl QuotaShare {
    /// Returns the share of `quota_slots`; the shares of all ranks add up to it exactly.
    pub fn slots_of(self, quota_slots: u64) -> u64 {
        if self.members == 0 {
            return 0;
        }
        let remainder = quota_slots % self.members;
        quota_slots / self.members + u64::from(self.rank < remainder)
    }
}

impl QuotaTable {
    /// Ends all loans and shares quotas out among new members.
    pub fn change_members(&mut self, epoch: Epoch, share: QuotaShare, others: Vec<Incarnation>) {
        if epoch == self.epoch && share == self.share {
            return;
        }
        self.epoch = epoch;
        self.share = share;
        self.others = others;
        for team in self.teams.values_mut() {
            team.lent.clear();
            team.borrowed.clear();
        }
    }

    /// Returns the slots that a team holds.
    pub fn held_slots(&self, team: &TeamId) -> u64 {
        self.teams.get(team).map_or(0, |team| team.held_slots)
    }

    /// Returns the slots that this entry may let a team hold.
    pub fn allowed_slots(&self, team: &TeamId, quota_slots: u64) -> u64 {
        let own_slots = self.share.slots_of(quota_slots);
        self.teams.get(team).map_or(own_slots, |team| team.allowed_slots(own_slots))
    }

    /// Returns whether a task may be placed; one that may not makes the entry ask for more.
    pub fn may_acquire(
        &mut self,
        now: Instant,
        team: &TeamId,
        quota_slots: u64,
        slots: u32,
    ) -> bool {
        let wanted = self.held_slots(team) + u64::from(slots);
        let allowed = self.allowed_slots(team, quota_slots);
        if wanted <= allowed {
            return true;
        }
        let team = self.teams.entry(team.clone()).or_default();
        team.needed_slots = (wanted - allowed).max(team.needed_slots).min(MAX_ASKED_SLOTS);
        team.last_needed = Some(now);
        false
    }

    /// Notes that a task of the team was placed.
    pub fn acquire(&mut self, team: &TeamId, slots: u32) {
        self.teams.entry(team.clone()).or_default().held_slots += u64::from(slots);
    }

    /// Notes that a task of the team no longer holds its slots.
    pub fn release(&mut self, team: &TeamId, slots: u32) {
        let Some(team) = self.teams.get_mut(team) else { return };
        team.held_slots = team.held_slots.saturating_sub(u64::from(slots));
    }

    /// Asks for what is needed, gives back what is not, and reminds borrowers.
    pub fn tick(
        &mut self,
        now: Instant,
        quota_of: impl Fn(&TeamId) -> Option<u64>,
    ) -> Vec<QuotaMessage> {
        let mut messages = Vec::new();
        let (epoch, share) = (self.epoch, self.share);
        for (name, team) in &mut self.teams {
            let Some(quota_slots) = quota_of(name) else {
                team.needed_slots = 0;
                continue;
            };
            team.give_back_unused(now, share.slots_of(quota_slots));
            messages.extend(team.ask(now, epoch, name, &self.others));
            messages.extend(team.remind(now, epoch, name));
        }
        self.teams.retain(|_, team| !team.is_idle());
        messages
    }

    /// Answers a borrower's question.
    pub fn handle_ask(
        &mut self,
        from: Incarnation,
        ask: &QuotaAsk,
        quota_slots: u64,
    ) -> Option<QuotaMessage> {
        if ask.epoch != self.epoch {
            return None;
        }
        let own_slots = self.share.slots_of(quota_slots);
        let team = self.teams.entry(ask.team.clone()).or_default();
        let spare_slots = team.spare_slots(own_slots);
        let loan = team.lent.entry(from).or_default();
        if ask.last_loan == loan.number {
            loan.slots = loan.slots.min(ask.borrowed_slots);
            let more_slots = spare_slots.min(ask.needed_slots);
            if more_slots == 0 {
                return None;
            }
            loan.slots += more_slots;
            loan.number += 1;
        }
        let team = ask.team.clone();
        let (loan, total_slots) = (loan.number, loan.slots);
        let loan = QuotaLoan { epoch: self.epoch, team, loan, total_slots };
        Some(QuotaMessage::Loan(from, loan))
    }

    /// Takes a loan; a reminder is answered with what is still borrowed.
    pub fn handle_loan(&mut self, from: Incarnation, loan: &QuotaLoan) -> Option<QuotaMessage> {
        if loan.epoch != self.epoch {
            return None;
        }
        let team = self.teams.entry(loan.team.clone()).or_default();
        let borrowed = team.borrowed.entry(from).or_default();
        if loan.loan > borrowed.number {
            borrowed.number = loan.loan;
            borrowed.slots = loan.total_slots;
            return None;
        }
        let ask = QuotaAsk {
            epoch: self.epoch,
            team: loan.team.clone(),
            needed_slots: 0,
            last_loan: borrowed.number,
            borrowed_slots: borrowed.slots,
        };
        Some(QuotaMessage::Ask(from, ask))
    }
}

impl TeamQuota {
    fn allowed_slots(&self, own_slots: u64) -> u64 {
        let lent: u64 = self.lent.values().map(|loan| loan.slots).sum();
        let borrowed: u64 = self.borrowed.values().map(|loan| loan.slots).sum();
        (own_slots + borrowed).saturating_sub(lent)
    }

    /// Borrowed slots are not lent on; they go back first.
    fn spare_slots(&self, own_slots: u64) -> u64 {
        let is_borrowing = self.borrowed.values().any(|loan| loan.slots > 0);
        if self.needed_slots > 0 || is_borrowing {
            return 0;
        }
        self.allowed_slots(own_slots).saturating_sub(self.held_slots)
    }

    fn give_back_unused(&mut self, now: Instant, own_slots: u64) {
        let is_needed = |at: Instant| now.saturating_duration_since(at) < KEEP_UNUSED;
        if self.last_needed.is_some_and(is_needed) {
            return;
        }
        let mut unused_slots = self.allowed_slots(own_slots).saturating_sub(self.held_slots);
        for loan in self.borrowed.values_mut() {
            let returned_slots = unused_slots.min(loan.slots);
            loan.slots -= returned_slots;
            unused_slots -= returned_slots;
        }
    }

    fn ask(
        &mut self,
        now: Instant,
        epoch: Epoch,
        name: &TeamId,
        others: &[Incarnation],
    ) -> Option<QuotaMessage> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ASK_INTERVAL;
        let needed_slots = self.needed_slots;
        if needed_slots == 0 || others.is_empty() || self.last_ask.is_some_and(is_recent) {
            return None;
        }
        self.needed_slots = 0;
        self.last_ask = Some(now);
        self.asked += 1;
        let lender = others[self.asked % others.len()];
        let loan = self.borrowed.get(&lender).copied().unwrap_or_default();
        let ask = QuotaAsk {
            epoch,
            team: name.clone(),
            needed_slots,
            last_loan: loan.number,
            borrowed_slots: loan.slots,
        };
        Some(QuotaMessage::Ask(lender, ask))
    }

    fn remind(&mut self, now: Instant, epoch: Epoch, name: &TeamId) -> Vec<QuotaMessage> {
        let mut messages = Vec::new();
        for (&borrower, loan) in &mut self.lent {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < REMIND_INTERVAL;
            if loan.slots == 0 || loan.last_reminder.is_some_and(is_recent) {
                continue;
            }
            loan.last_reminder = Some(now);
            let (number, total_slots) = (loan.number, loan.slots);
            let loan = QuotaLoan { epoch, team: name.clone(), loan: number, total_slots };
            messages.push(QuotaMessage::Loan(borrower, loan));
        }
        messages
    }

    /// Loan numbers must not be used again in one epoch, so a team with loans stays.
    fn is_idle(&self) -> bool {
        let has_loans = !self.lent.is_empty() || !self.borrowed.is_empty();
        self.held_slots == 0 && self.needed_slots == 0 && !has_loans
    }
}
