//! Jobs that this entry has other entries carry out, and jobs that it carries out for others.
//!
//! - `origin`: the entry's part as the origin of jobs
//! - [`share`]: which share of the arriving jobs is delegated
//! - [`delegates`]: the other entries, and the choice among them
//! - [`outgoing`]: the open delegated jobs
//! - `delegate`: the entry's part as the delegate of other entries
//! - [`incoming`]: the open jobs of other entries
//! - [`proofs`]: until when their origins are known to have been alive
//! - [`spare_rate`], [`job_rate`]: how many jobs of others the processor time suffices for
//! - `exchange`: the frames between two entries

mod delegate;
pub mod delegates;
mod exchange;
pub mod incoming;
pub mod job_rate;
mod origin;
pub mod outgoing;
pub mod proofs;
pub mod share;
pub mod spare_rate;

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::BootTime,
    ids::{CallerId, LinkId, ProcessId, TaskKey, ZoneName},
    timing::Timing,
};

pub use self::origin::DelegableRequest;

use super::agent_view::AgentView;

use self::{
    delegates::Delegates,
    incoming::Incoming,
    job_rate::JobRate,
    outgoing::Outgoing,
    proofs::{LivenessProofs, OriginId},
    share::{DEFAULT_THRESHOLD, DelegatedShare},
    spare_rate::SpareRate,
};

/// Share of the contact limit beyond which the other end of a link counts as silent: the rest is left
/// to confirm the stops of its runs.
const SILENCE_SHARE: f64 = 0.5;
/// Share of the contact limit beyond which a liveness proof is too old for a new job: half of
/// [`SILENCE_SHARE`], so that the job's origin does not count as silent soon after its arrival.
const FRESH_SHARE: f64 = 0.25;

/// Settings of delegation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DelegationSettings {
    /// Busy share above which the entry delegates jobs.
    pub busy_threshold: f64,
}

impl Default for DelegationSettings {
    fn default() -> Self {
        Self { busy_threshold: DEFAULT_THRESHOLD }
    }
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelegationCounters {
    /// Jobs sent to other entries.
    pub delegated: u64,
    /// Of these, jobs that the other entry did not take.
    pub not_taken: u64,
    /// Of these, jobs answered as interrupted because the other entry was silent or its link lost.
    pub interrupted: u64,
    /// Jobs accepted from other entries.
    pub accepted: u64,
    /// Jobs of other entries that were not taken.
    pub refused: u64,
    /// Accepted jobs given up because their origin was silent or its link lost.
    pub abandoned: u64,
    /// Frames of other entries that were dropped as invalid, in whole or in part.
    pub invalid: u64,
}

/// Another entry at the other end of a link.
#[derive(Debug)]
struct Peer {
    process: ProcessId,
    /// Newest stamp received on the link, to be echoed.
    stamp_ms: u64,
    /// When the last frame arrived.
    received_at: BootTime,
    /// When a reply was last asked for.
    asked_at: BootTime,
    /// Whether the other end has asked for a reply that is not sent yet.
    is_reply_due: bool,
    /// Rate up to which this entry has last offered to take jobs.
    offered_jobs_per_s: u32,
    /// Whether the next frame tells this entry's zone.
    is_zone_due: bool,
    /// Whether the link was silent at the last tick. A process that lacks CPU time finds its links
    /// silent before it has read them, so one observation is not enough.
    was_silent: bool,
}

/// State of delegation at one entry, as origin and as delegate.
#[derive(Debug)]
pub struct Delegation {
    is_enabled: bool,
    /// Whether the entry delegates no more jobs.
    is_stopped: bool,
    /// This entry's zone.
    zone: ZoneName,
    /// Other entries by link, both those that may carry out jobs and those that may delegate them.
    peers: BTreeMap<LinkId, Peer>,
    /// Share of the arriving jobs to delegate.
    share: DelegatedShare,
    /// Entries that may carry out jobs of this entry's callers.
    delegates: Delegates,
    /// Open jobs that others carry out.
    outgoing: Outgoing,
    /// Jobs that arrive from this entry's own callers.
    arrivals: JobRate,
    /// Open jobs of others.
    incoming: Incoming,
    /// Liveness proofs of the origins of `incoming`.
    pub(super) proofs: LivenessProofs,
    /// Rate of jobs that this entry can take from others.
    spare_rate: SpareRate,
    /// When the shares and rates were last updated.
    updated_at: BootTime,
    /// Whether [`super::Entry::delegation_frames`] may have frames.
    has_pending: bool,
    /// Links that the process is to close.
    broken_links: Vec<LinkId>,
    counters: DelegationCounters,
}

impl Delegation {
    /// Returns the state of an entry in `zone` that does not delegate.
    pub fn disabled(zone: &str) -> Self {
        Self {
            is_enabled: false,
            is_stopped: false,
            zone: zone.to_owned(),
            peers: BTreeMap::new(),
            share: DelegatedShare::new(DEFAULT_THRESHOLD),
            delegates: Delegates::new(zone.to_owned()),
            outgoing: Outgoing::default(),
            arrivals: JobRate::default(),
            incoming: Incoming::default(),
            proofs: LivenessProofs::default(),
            spare_rate: SpareRate::default(),
            updated_at: BootTime::ZERO,
            has_pending: false,
            broken_links: Vec::new(),
            counters: DelegationCounters::default(),
        }
    }

    /// Delegates no more jobs from now on.
    pub(super) fn stop_delegating(&mut self) {
        self.is_stopped = true;
    }

    /// Records a job that this entry carries out itself, whoever its caller is.
    pub(super) fn record_job(&mut self, now: BootTime) {
        self.spare_rate.record_job(now);
    }

    /// Returns the other entry whose caller waits for a job with the given callers, if one does.
    pub(super) fn origin_of(&self, callers: &[CallerId]) -> Option<OriginId> {
        self.incoming.origin_of(callers)
    }

    /// Returns whether a task may start at an agent as far as liveness proofs are concerned.
    ///
    /// A run of another entry's job may start only where no stamp was echoed that is newer than the
    /// proof: the agent counts the time until it stops the run from that stamp.
    pub(super) fn may_start(
        &self,
        origin: Option<OriginId>,
        task: &TaskKey,
        view: &AgentView,
    ) -> bool {
        let earlier = view.runs.get(task);
        match origin {
            None => earlier.is_none_or(|run| run.origin.is_none()),
            Some(origin) => earlier.is_none() && view.echoed_at() <= self.proofs.alive_at(origin),
        }
    }

    /// Returns the open delegated jobs.
    pub(super) fn outgoing(&self) -> &Outgoing {
        &self.outgoing
    }
}

/// Returns the age beyond which a liveness proof is too old for a new job.
pub(super) fn fresh_limit(timing: &Timing) -> Duration {
    timing.contact_limit.mul_f64(FRESH_SHARE)
}

/// Returns the time after which the other end of a link counts as silent.
fn silence_limit(timing: &Timing) -> Duration {
    timing.contact_limit.mul_f64(SILENCE_SHARE)
}
