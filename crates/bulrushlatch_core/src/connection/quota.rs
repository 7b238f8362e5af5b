//! Slots that teams hold, and how entries share the quota of a team.
//!
//! Each entry has an equal share. An entry that needs more asks the others, which lend slots that
//! they do not use. A loan states its total and has a sequence number, so that messages may be
//! lost, repeated or reordered: the lender counts a slot as lent from before the loan is sent until
//! the borrower has reported its return. The shares therefore never add up to more than the quota
//! while the members stay the same; a change of members ends all loans.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::ids::{Epoch, Incarnation, TeamId};
use serde::{Deserialize, Serialize};

/// Minimum time between two requests for more slots of a team.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// Time between reminders of a loan, which the borrower answers with what it still borrows.
const REMIND_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which unused borrowed slots are kept after more slots were last needed.
const UNUSED_RETENTION: Duration = Duration::from_secs(1);
/// Maximum number of slots in one request.
const MAX_REQUESTED_SLOTS: u64 = 16;

/// An entry's position among the members, which determines its own share of each quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaShare {
    /// Position of the entry among the members.
    pub rank: u64,
    /// Number of members.
    pub members: u64,
}

/// A borrower's request to a lender, which also reports returned slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Epoch of the members that share the quota.
    pub epoch: Epoch,
    /// The team.
    pub team: TeamId,
    /// Slots needed in addition to the borrowed ones; zero in a request that only returns slots.
    pub needed_slots: u64,
    /// Number of the latest loan that was received from this lender.
    pub last_loan: u64,
    /// Slots of that loan that are still borrowed.
    pub borrowed_slots: u64,
}

/// A loan to a borrower, or a reminder of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLoan {
    /// Epoch of the members that share the quota.
    pub epoch: Epoch,
    /// The team.
    pub team: TeamId,
    /// Number of the loan; the highest one applies.
    pub loan: u64,
    /// Total slots that the borrower has from this lender.
    pub total_slots: u64,
}

/// A message that a [`QuotaTable`] returns for its entry to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaMessage {
    /// Request to a lender.
    Request(Incarnation, QuotaRequest),
    /// Loan to a borrower.
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
    /// Slots that a waiting task lacks; cleared when they are requested.
    needed_slots: u64,
    last_needed: Option<Instant>,
    last_request: Option<Instant>,
    /// Number of requests sent, which selects the next lender in turn.
    request_count: usize,
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
    /// Ends all loans and divides the quotas among the new members.
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

    /// Returns the slots that a team's tasks hold at this entry.
    pub fn held_slots(&self, team: &TeamId) -> u64 {
        self.teams.get(team).map_or(0, |team| team.held_slots)
    }

    /// Returns the slots that this entry may let a team hold.
    pub fn allowed_slots(&self, team: &TeamId, quota_slots: u64) -> u64 {
        let own_slots = self.share.slots_of(quota_slots);
        self.teams.get(team).map_or(own_slots, |team| team.allowed_slots(own_slots))
    }

    /// Returns whether a task may be placed; if not, requests more slots in the next tick.
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
        team.needed_slots = (wanted - allowed).max(team.needed_slots).min(MAX_REQUESTED_SLOTS);
        team.last_needed = Some(now);
        false
    }

    /// Counts the slots of a placed task of the team as held.
    pub fn acquire(&mut self, team: &TeamId, slots: u32) {
        self.teams.entry(team.clone()).or_default().held_slots += u64::from(slots);
    }

    /// Frees slots that a task of the team held.
    pub fn release(&mut self, team: &TeamId, slots: u32) {
        let Some(team) = self.teams.get_mut(team) else { return };
        team.held_slots = team.held_slots.saturating_sub(u64::from(slots));
    }

    /// Requests needed slots, returns unused ones and reminds borrowers of their loans.
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
            team.return_unused_slots(now, share.slots_of(quota_slots));
            messages.extend(team.request_slots(now, epoch, name, &self.others));
            messages.extend(team.remind_borrowers(now, epoch, name));
        }
        self.teams.retain(|_, team| !team.is_idle());
        messages
    }

    /// Handles a borrower's request; returns the loan if there are slots to lend, or if the
    /// borrower has not received the latest one.
    pub fn handle_request(
        &mut self,
        from: Incarnation,
        request: &QuotaRequest,
        quota_slots: u64,
    ) -> Option<QuotaMessage> {
        if request.epoch != self.epoch {
            return None;
        }
        let own_slots = self.share.slots_of(quota_slots);
        let team = self.teams.entry(request.team.clone()).or_default();
        let spare_slots = team.spare_slots(own_slots);
        let loan = team.lent.entry(from).or_default();
        if request.last_loan == loan.number {
            loan.slots = loan.slots.min(request.borrowed_slots);
            let more_slots = spare_slots.min(request.needed_slots);
            if more_slots == 0 {
                return None;
            }
            loan.slots += more_slots;
            loan.number += 1;
        }
        let team = request.team.clone();
        let (loan, total_slots) = (loan.number, loan.slots);
        let loan = QuotaLoan { epoch: self.epoch, team, loan, total_slots };
        Some(QuotaMessage::Loan(from, loan))
    }

    /// Handles a loan; answers a reminder with the slots that are still borrowed.
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
        let request = QuotaRequest {
            epoch: self.epoch,
            team: loan.team.clone(),
            needed_slots: 0,
            last_loan: borrowed.number,
            borrowed_slots: borrowed.slots,
        };
        Some(QuotaMessage::Request(from, request))
    }
}

impl TeamQuota {
    fn allowed_slots(&self, own_slots: u64) -> u64 {
        let lent: u64 = self.lent.values().map(|loan| loan.slots).sum();
        let borrowed: u64 = self.borrowed.values().map(|loan| loan.slots).sum();
        (own_slots + borrowed).saturating_sub(lent)
    }

    /// Returns the slots that can be lent; an entry lends none while it borrows or needs any.
    fn spare_slots(&self, own_slots: u64) -> u64 {
        let is_borrowing = self.borrowed.values().any(|loan| loan.slots > 0);
        if self.needed_slots > 0 || is_borrowing {
            return 0;
        }
        self.allowed_slots(own_slots).saturating_sub(self.held_slots)
    }

    fn return_unused_slots(&mut self, now: Instant, own_slots: u64) {
        let is_needed = |at: Instant| now.saturating_duration_since(at) < UNUSED_RETENTION;
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

    fn request_slots(
        &mut self,
        now: Instant,
        epoch: Epoch,
        name: &TeamId,
        others: &[Incarnation],
    ) -> Option<QuotaMessage> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REQUEST_INTERVAL;
        let needed_slots = self.needed_slots;
        if needed_slots == 0 || others.is_empty() || self.last_request.is_some_and(is_recent) {
            return None;
        }
        self.needed_slots = 0;
        self.last_request = Some(now);
        self.request_count += 1;
        let lender = others[self.request_count % others.len()];
        let loan = self.borrowed.get(&lender).copied().unwrap_or_default();
        let request = QuotaRequest {
            epoch,
            team: name.clone(),
            needed_slots,
            last_loan: loan.number,
            borrowed_slots: loan.slots,
        };
        Some(QuotaMessage::Request(lender, request))
    }

    fn remind_borrowers(&mut self, now: Instant, epoch: Epoch, name: &TeamId) -> Vec<QuotaMessage> {
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

    /// Returns whether the team can be removed from the table. A team with loans stays, since loan
    /// numbers must not be reused within an epoch.
    fn is_idle(&self) -> bool {
        let has_loans = !self.lent.is_empty() || !self.borrowed.is_empty();
        self.held_slots == 0 && self.needed_slots == 0 && !has_loans
    }
}
