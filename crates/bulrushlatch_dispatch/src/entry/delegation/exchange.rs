//! Frames between two entries of which one delegates jobs to the other, or may do so.

use std::time::Duration;

use crate::{
    clock::BootTime,
    delegation::{DelegatedJob, DelegatedOutcome, DelegationFrame},
    ids::{LinkId, ProcessId},
};

use super::{
    super::Entry, Delegation, DelegationSettings, Peer, fresh_limit, share::DelegatedShare,
};

/// Interval after which a reply is asked for again while a delegate is in use. It is checked at each
/// tick of 20 ms, so that two frames are 40 ms apart.
const ASK_INTERVAL: Duration = Duration::from_millis(30);
/// Interval after which a frame that is sent anyway asks for a reply. It is below [`ASK_INTERVAL`], so
/// that such frames take the place of those that would be sent only to ask.
const EARLY_ASK_INTERVAL: Duration = Duration::from_millis(15);
/// Time for which an offered rate may be used up with one frame: twice that of origins, since the frame
/// may follow an earlier and larger offer.
const MAX_BURST: Duration = Duration::from_millis(100);
/// Number of jobs of a frame that may be taken whatever was offered.
const MIN_JOBS_PER_FRAME: usize = 8;
/// Largest valid rate in an offer, well above that of any entry. A larger one would give the origin a
/// budget that no delegate can meet.
const MAX_OFFERED_JOBS_PER_S: u32 = 100_000;

impl Entry {
    /// Enables delegation.
    pub fn enable_delegation(&mut self, settings: DelegationSettings) {
        self.delegation.is_enabled = true;
        self.delegation.share = DelegatedShare::new(settings.busy_threshold);
    }

    /// Handles a new link to another entry whose frames can carry delegated jobs. `may_delegate` tells
    /// whether this entry may delegate jobs on it; the other end may do so in any case.
    pub fn peer_up(&mut self, now: BootTime, process: ProcessId, link: LinkId, may_delegate: bool) {
        if !self.delegation.is_enabled {
            return;
        }
        let delegation = &mut self.delegation;
        let peer = Peer {
            process,
            stamp_ms: 0,
            received_at: now,
            asked_at: BootTime::ZERO,
            is_reply_due: false,
            offered_jobs_per_s: 0,
            is_zone_due: true,
            was_silent: false,
        };
        delegation.peers.insert(link, peer);
        delegation.incoming.add_link(link);
        if may_delegate {
            delegation.delegates.add(now, link);
        }
        delegation.has_pending = true;
    }

    /// Handles the loss of a link to another entry.
    pub fn peer_down(&mut self, now: BootTime, link: LinkId) {
        self.detect_suspension(now);
        self.remove_peer(now, link, "link lost");
    }

    /// Gives up a link on which a frame is invalid, and has it closed: jobs, cancellations and answers
    /// in that frame are lost.
    pub(super) fn break_link(&mut self, now: BootTime, link: LinkId) {
        self.delegation.counters.invalid += 1;
        tracing::info!(link, "invalid frame from another entry dropped");
        self.remove_peer(now, link, "invalid frame");
        if !self.delegation.broken_links.contains(&link) {
            self.delegation.broken_links.push(link);
        }
    }

    /// Ends all jobs of a link that is not used again.
    fn remove_peer(&mut self, now: BootTime, link: LinkId, cause: &'static str) {
        if self.delegation.peers.remove(&link).is_none() {
            return;
        }
        self.delegation.proofs.close(link);
        self.delegation.delegates.remove(link);
        self.interrupt_delegated(link, cause);
        self.abandon_origin(now, link, cause);
        self.delegation.incoming.remove_link(link);
    }

    /// Has the next frame to another entry tell this entry's zone and what it offers.
    pub fn advertise_to_peer(&mut self, link: LinkId) {
        if let Some(peer) = self.delegation.peers.get_mut(&link) {
            peer.is_zone_due = true;
            self.delegation.has_pending = true;
        }
    }

    /// Handles a frame from another entry; returns the jobs to decode and submit.
    pub fn receive_delegation(
        &mut self,
        now: BootTime,
        link: LinkId,
        mut frame: DelegationFrame,
    ) -> Vec<DelegatedJob> {
        self.detect_suspension(now);
        if !self.delegation.peers.contains_key(&link) {
            return Vec::new();
        }
        if !self.is_valid(now, link, &frame) {
            self.break_link(now, link);
            return Vec::new();
        }
        let Some(peer) = self.delegation.peers.get_mut(&link) else { return Vec::new() };
        let alive_at = BootTime::from_millis(frame.stamp_echo_ms);
        peer.received_at = now;
        peer.stamp_ms = peer.stamp_ms.max(frame.stamp_ms);
        peer.is_reply_due |= frame.wants_reply;
        let delegation = &mut self.delegation;
        delegation.has_pending |= frame.wants_reply;
        delegation.delegates.record_offer(now, link, frame.max_jobs_per_s, &frame.zone);
        let is_asking = frame.wants_reply || !frame.jobs.is_empty();
        // Its job would start after the cancellation and never be stopped.
        frame.jobs.retain(|job| !frame.cancelled.contains(&job.number));
        // The proof may be newer than the loss of the callers whose jobs are cancelled, so the runs of
        // these are bound to the one before.
        for number in frame.cancelled {
            self.cancel_for_origin(now, link, number);
        }
        self.delegation.proofs.record(now, link, alive_at, is_asking);
        for answer in &frame.answers {
            self.handle_delegated_answer(link, answer);
        }
        self.refuse_untaken_jobs(now, link, frame.jobs)
    }

    fn is_valid(&self, now: BootTime, link: LinkId, frame: &DelegationFrame) -> bool {
        let is_in_use = |number| self.delegation.incoming.caller(link, number).is_some();
        frame.is_well_formed()
            && BootTime::from_millis(frame.stamp_echo_ms) <= now
            && frame.max_jobs_per_s <= MAX_OFFERED_JOBS_PER_S
            && !frame.jobs.iter().any(|job| is_in_use(job.number))
    }

    /// Returns the number of jobs of a frame up to which they are taken.
    fn max_jobs_per_frame(&self, link: LinkId) -> usize {
        let peer = self.delegation.peers.get(&link);
        let offered_jobs_per_s = peer.map_or(0, |peer| peer.offered_jobs_per_s);
        let offered = f64::from(offered_jobs_per_s) * MAX_BURST.as_secs_f64();
        (offered as usize).max(MIN_JOBS_PER_FRAME)
    }

    /// Refuses the jobs that this entry does not take; returns those to decode and submit.
    fn refuse_untaken_jobs(
        &mut self,
        now: BootTime,
        link: LinkId,
        jobs: Vec<DelegatedJob>,
    ) -> Vec<DelegatedJob> {
        let max_jobs = self.max_jobs_per_frame(link);
        let mut accepted = Vec::new();
        for job in jobs {
            if accepted.len() < max_jobs && self.accepts_delegated_job(now, link, &job) {
                accepted.push(job);
            } else {
                self.refuse_delegated_job(now, link, &job);
            }
        }
        accepted
    }

    fn refuse_delegated_job(&mut self, now: BootTime, link: LinkId, job: &DelegatedJob) {
        let proof = self.delegation.proofs.alive_at(link);
        tracing::info!(
            link,
            number = job.number,
            busy_percent = self.processor_load.busy_percent(),
            proof_age_ms = now.saturating_sub(proof).as_millis() as u64,
            version = self.version(),
            job_version = job.version,
            "job of another entry not taken"
        );
        let delegation = &mut self.delegation;
        delegation.counters.refused += 1;
        delegation.incoming.push_answer(link, job.number, DelegatedOutcome::NotTaken);
        delegation.has_pending = true;
    }

    /// Does the periodic work of delegation.
    pub(in super::super) fn tick_delegation(&mut self, now: BootTime) {
        if !self.delegation.is_enabled {
            return;
        }
        let elapsed = now.saturating_sub(self.delegation.updated_at);
        self.delegation.updated_at = now;
        self.abandon_silent_origins(now);
        self.interrupt_silent_delegates(now);
        self.remove_unused_proofs(now);
        let busy_share = self.processor_load.busy_share();
        self.delegation.spare_rate.update(now, busy_share);
        self.update_delegated_share(now, elapsed);
        let delegation = &mut self.delegation;
        delegation.has_pending |=
            delegation.peers.iter().any(|(&link, peer)| delegation.is_ask_due(now, link, peer));
    }

    /// Returns whether [`Self::delegation_frames`] may have frames.
    pub fn has_delegation_frames(&self) -> bool {
        self.delegation.has_pending
    }

    /// Returns the frames to send to other entries now, with their links.
    pub fn delegation_frames(&mut self, now: BootTime) -> Vec<(LinkId, DelegationFrame)> {
        if !std::mem::take(&mut self.delegation.has_pending) {
            return Vec::new();
        }
        let due = self.delegation.peers.iter().filter(|(link, peer)| {
            let delegation = &self.delegation;
            peer.is_reply_due
                || peer.is_zone_due
                || delegation.outgoing.has_pending(**link)
                || delegation.incoming.has_answers(**link)
                || delegation.is_ask_due(now, **link, peer)
        });
        let due: Vec<LinkId> = due.map(|(link, _)| *link).collect();
        let mut frames = Vec::new();
        for link in due {
            let frame = self.delegation_frame(now, link);
            let parts = frame.into_iter().flat_map(DelegationFrame::into_parts);
            frames.extend(parts.map(|part| (link, part)));
        }
        frames
    }

    fn delegation_frame(&mut self, now: BootTime, link: LinkId) -> Option<DelegationFrame> {
        let max_jobs_per_s = self.offered_jobs_per_s(now, link);
        let delegation = &mut self.delegation;
        let is_exchanging = delegation.is_exchanging(link);
        let peer = delegation.peers.get_mut(&link)?;
        peer.is_reply_due = false;
        peer.offered_jobs_per_s = max_jobs_per_s;
        let wants_reply = is_exchanging && now.saturating_sub(peer.asked_at) >= EARLY_ASK_INTERVAL;
        if wants_reply {
            peer.asked_at = now;
        }
        let is_zone_due = std::mem::take(&mut peer.is_zone_due);
        let orders = delegation.outgoing.take_pending(link);
        Some(DelegationFrame {
            stamp_ms: now.as_millis() as u64,
            stamp_echo_ms: peer.stamp_ms,
            wants_reply,
            max_jobs_per_s,
            zone: if is_zone_due { delegation.zone.clone() } else { String::new() },
            jobs: orders.jobs,
            cancelled: orders.cancelled,
            answers: delegation.incoming.take_answers(link),
        })
    }

    /// Returns the rate up to which this entry takes jobs from the other end of a link.
    fn offered_jobs_per_s(&self, now: BootTime, link: LinkId) -> u32 {
        if !self.takes_delegated_jobs() || self.table.is_none() {
            return 0;
        }
        let delegation = &self.delegation;
        let limit = fresh_limit(&self.timing);
        let origins = delegation.proofs.count_active(now, limit, link) + 1;
        let present = delegation.incoming.jobs_per_s(now, link);
        let busy_share = self.processor_load.busy_share();
        delegation.spare_rate.offer(now, busy_share, present, origins).min(MAX_OFFERED_JOBS_PER_S)
    }
}

impl Delegation {
    /// Returns whether frames go back and forth on a link all the time, as jobs are delegated on it or
    /// soon may be.
    fn is_exchanging(&self, link: LinkId) -> bool {
        self.delegates.is_used(link) || self.outgoing.has_jobs_on(link)
    }

    fn is_ask_due(&self, now: BootTime, link: LinkId, peer: &Peer) -> bool {
        now.saturating_sub(peer.asked_at) >= ASK_INTERVAL && self.is_exchanging(link)
    }
}
