//! Routing of requests to the entry that owns them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::{
    answer::{Answer, Reason},
    ids::{Epoch, SubmissionId, slice_of},
    submission::Submission,
    verdict::Verdict,
};

use super::{Moment, Shard, owned_slice::Arrival};
use crate::{
    connection::{placement::PlacementRule, remote::MAX_REFUSAL_AGE},
    effect::{Destination, Effect},
    message::{Answered, Forward, Lookup, Message, NotOwner, Ticket},
    request::{job::Waiter, known::KnownId},
};

/// Time until an unanswered request is first sent again; it doubles with each resend.
const FIRST_RESEND_DELAY: Duration = Duration::from_secs(1);

/// Time reserved for the owner's answer to arrive before the caller's deadline.
const ANSWER_RETURN_TIME: Duration = Duration::from_millis(20);

/// A request of a local caller, served here or forwarded to its owner.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Id of the submission.
    pub submission_id: SubmissionId,
    /// When the caller is answered even if the owner has not answered.
    pub deadline: Instant,
    sent_to: Option<Destination>,
    last_sent: Instant,
    resend_after: Duration,
}

/// Kind of a caller's request.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// Run a submission.
    Submit(Arc<Submission>),
    /// Cancel a submission.
    Cancel,
    /// Return the state of a submission.
    Lookup,
}

/// State of the sender that a forward carries.
#[derive(Clone, Copy, Debug)]
struct SenderState {
    epoch: Epoch,
    sent_ms: u64,
    is_witness: bool,
}

impl CallerRequest {
    /// Returns a request to run a submission.
    pub fn submit(submission: Arc<Submission>, deadline: Instant) -> Self {
        let submission_id = submission.submission_id.clone();
        Self::new(RequestKind::Submit(submission), submission_id, deadline)
    }

    /// Returns a request to cancel a submission.
    pub fn cancel(submission_id: SubmissionId, deadline: Instant) -> Self {
        Self::new(RequestKind::Cancel, submission_id, deadline)
    }

    /// Returns a request for the state of a submission.
    pub fn lookup(submission_id: SubmissionId, deadline: Instant) -> Self {
        Self::new(RequestKind::Lookup, submission_id, deadline)
    }

    fn new(kind: RequestKind, submission_id: SubmissionId, deadline: Instant) -> Self {
        Self {
            kind,
            submission_id,
            deadline,
            sent_to: None,
            last_sent: deadline,
            resend_after: FIRST_RESEND_DELAY,
        }
    }

    fn message(&self, now: Instant, sender: SenderState, ticket: Ticket) -> Message {
        let submission_id = self.submission_id.clone();
        match &self.kind {
            RequestKind::Submit(submission) => {
                let remaining = self.deadline.saturating_duration_since(now);
                let remaining = remaining.saturating_sub(ANSWER_RETURN_TIME);
                let mut submission = Submission::clone(submission);
                submission.timeout_ms = remaining.as_millis().max(1) as u64;
                let submission = Arc::new(submission);
                let SenderState { epoch, sent_ms, is_witness } = sender;
                Message::Forward(Forward { ticket, epoch, sent_ms, is_witness, submission })
            }
            RequestKind::Cancel => Message::Cancel(Lookup { ticket, submission_id }),
            RequestKind::Lookup => Message::Lookup(Lookup { ticket, submission_id }),
        }
    }
}

impl<P: PlacementRule> Shard<P> {
    /// Serves a request if this entry owns the submission, or else forwards it to the owner.
    pub(super) fn route(
        &mut self,
        moment: Moment,
        ticket: Ticket,
        request: CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        let owner = self.owner_of(&request.submission_id);
        if owner.is_none_or(|owner| owner.incarnation != self.local.incarnation) {
            self.forward(moment, ticket, request, owner, effects);
            return;
        }
        let waiter = Waiter::Local(ticket);
        match request.kind {
            RequestKind::Submit(submission) => {
                let deadline = request.deadline;
                self.admit(
                    moment,
                    Arrival { waiter, submission, deadline, witness: None },
                    effects,
                );
            }
            RequestKind::Cancel => {
                self.cancel_owned(moment, waiter, &request.submission_id, effects);
            }
            RequestKind::Lookup => {
                self.lookup_owned(moment, waiter, &request.submission_id, effects);
            }
        }
    }

    /// Handles a submission that another entry forwarded, or sends it back if this entry does not
    /// own the slice.
    pub(super) fn handle_forward(
        &mut self,
        moment: Moment,
        from: Destination,
        forward: Forward,
        effects: &mut Vec<Effect>,
    ) {
        let owned = self.owned.get(&slice_of(&forward.submission.submission_id));
        // A forward that was sent before this entry acquired the slice may be a late copy of a
        // request that another owner has refused since.
        if owned.is_none_or(|owned| forward.epoch < owned.first_epoch) {
            self.send_not_owner(from, forward.ticket, effects);
            return;
        }
        if !self.remote.record_arrival(moment.now, from, forward.ticket, forward.sent_ms) {
            return;
        }
        let deadline = moment.now + Duration::from_millis(forward.submission.timeout_ms);
        let request = Arrival {
            waiter: Waiter::Remote(from, forward.ticket),
            submission: forward.submission,
            deadline,
            witness: forward.is_witness.then_some(from.incarnation),
        };
        self.admit(moment, request, effects);
    }

    pub(super) fn send_not_owner(
        &self,
        to: Destination,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) {
        let not_owner = NotOwner { ticket, ownership_offset: self.view.next_offset };
        effects.push(Effect::send(to, Message::NotOwner(not_owner)));
    }

    /// Passes the owner's answer on to the local caller, and turns a refusal that was in transit
    /// for too long into "unknown".
    pub(super) fn handle_answer(
        &mut self,
        moment: Moment,
        answered: Answered,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.forwards.get(&answered.ticket) else { return };
        let Answered { ticket, answer, sent_ms, held_ms } = answered;
        if request.submission_id != answer.submission_id {
            return;
        }
        self.forwards.remove(&ticket);
        let transit_ms = self.clock_ms(moment).saturating_sub(sent_ms + held_ms);
        let is_stale = u128::from(transit_ms) >= MAX_REFUSAL_AGE.as_millis();
        self.settle_witnessed_id(ticket, &answer);
        let answer = if answer.ran == Verdict::NotRun && is_stale {
            let message = "the refusal came late; the id may have been submitted again since";
            let retry_after_ms = answer.retry_after_ms;
            let reason = Reason::OwnerUnreachable;
            Answer::unknown(answer.submission_id, reason, message, retry_after_ms)
        } else {
            answer
        };
        self.answer_local(ticket, answer, effects);
    }

    /// Handles delayed submissions for which no earlier refusal of the same id can still arrive.
    pub(super) fn admit_delayed(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let ready: Vec<(Instant, Arrival)> =
            self.delayed.extract_if(.., |(until, _)| *until <= moment.now).collect();
        for (_, arrival) in ready {
            if self.owns(&arrival.submission.submission_id) {
                self.admit(moment, arrival, effects);
            } else {
                self.redirect_to_owner(moment, arrival, effects);
            }
        }
    }

    /// Remembers the id of a request that is forwarded, so that the owner needs no other witness.
    /// Returns whether the owner can count this entry as a witness.
    fn record_as_witness(&mut self, moment: Moment, request: &CallerRequest) -> bool {
        let RequestKind::Submit(submission) = &request.kind else { return false };
        if self.known.get(&request.submission_id).is_some() {
            return true;
        }
        if self.known.len() >= self.limits.max_ids {
            return false;
        }
        let id =
            KnownId::new(request.submission_id.clone(), submission.digest(), self.view.next_offset);
        self.known.remember(moment.now, id).must_retain = false;
        true
    }

    /// Keeps the id of an answered request if the submission may have run. Otherwise forgets it,
    /// unless the owner may rely on this entry as a witness of the id for another reason.
    fn settle_witnessed_id(&mut self, ticket: Ticket, answer: &Answer) {
        let submission_id = &answer.submission_id;
        let Some(known) = self.known.get_mut(submission_id) else { return };
        if answer.ran != Verdict::NotRun {
            known.must_retain = true;
        }
        let must_retain = known.must_retain;
        let is_forwarded_again = self.forwards.iter().any(|(&other_ticket, request)| {
            other_ticket != ticket && request.submission_id == *submission_id
        });
        if !must_retain && !is_forwarded_again && !self.owns(submission_id) {
            self.known.forget(submission_id);
        }
    }

    fn clock_ms(&self, moment: Moment) -> u64 {
        moment.now.saturating_duration_since(self.started).as_millis() as u64
    }

    /// Handles the reply that the receiver of a forward does not own the slice.
    ///
    /// The request is routed anew at once unless the other entry has a newer view; then it is
    /// routed when this entry has applied that view.
    pub(super) fn handle_not_owner(
        &mut self,
        moment: Moment,
        from: Destination,
        not_owner: &NotOwner,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.forwards.get_mut(&not_owner.ticket) else { return };
        if request.sent_to != Some(from) {
            return;
        }
        request.sent_to = None;
        if not_owner.ownership_offset <= self.view.next_offset {
            self.maintain_forwards(moment, effects);
        }
    }

    /// Answers forwarded requests past their deadline, and routes those anew whose owner changed or
    /// did not answer in time.
    pub(super) fn maintain_forwards(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let now = moment.now;
        let tickets: Vec<Ticket> = self.forwards.keys().copied().collect();
        for ticket in tickets {
            let Some(request) = self.forwards.get(&ticket) else { continue };
            if now >= request.deadline {
                self.expire_forward(ticket, effects);
                continue;
            }
            let owner = self.owner_of(&request.submission_id);
            let is_resend_due =
                now.saturating_duration_since(request.last_sent) >= request.resend_after;
            if owner == request.sent_to && !is_resend_due {
                continue;
            }
            if let Some(request) = self.forwards.remove(&ticket) {
                self.route(moment, ticket, request, effects);
            }
        }
    }

    fn forward(
        &mut self,
        moment: Moment,
        ticket: Ticket,
        mut request: CallerRequest,
        owner: Option<Destination>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(owner) = owner {
            if request.sent_to == Some(owner) {
                request.resend_after *= 2;
            }
            let sender = SenderState {
                epoch: self.view.epoch,
                sent_ms: self.clock_ms(moment),
                is_witness: self.record_as_witness(moment, &request),
            };
            let message = request.message(moment.now, sender, ticket);
            effects.push(Effect::send(owner, message));
        }
        request.sent_to = owner;
        request.last_sent = moment.now;
        self.forwards.insert(ticket, request);
    }

    /// Answers a forwarded request past its deadline. The outcome is unknown, since another attempt
    /// at the same id may be running.
    fn expire_forward(&mut self, ticket: Ticket, effects: &mut Vec<Effect>) {
        let Some(request) = self.forwards.remove(&ticket) else { return };
        if let Some(known) = self.known.get_mut(&request.submission_id) {
            known.must_retain = true;
        }
        let retry_after_ms = self.limits.silence_limit.as_millis() as u64;
        let answer = Answer::unknown(
            request.submission_id,
            Reason::OwnerUnreachable,
            "the entry that owns the submission did not answer in time",
            Some(retry_after_ms),
        );
        self.answer_local(ticket, answer, effects);
    }
}
