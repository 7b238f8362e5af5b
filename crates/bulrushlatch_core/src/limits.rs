//! Time and size limits of a process.

use std::time::Duration;

/// Limits of one process. The defaults suit both deployed sites, except that entry processes
/// override `agent_gone_after` with 10 s.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Time without a heartbeat or, from an agent, a report, after which an entry starts to remove
    /// another entry, or places no more tasks on an agent.
    ///
    /// An entry that receives heartbeats of too few members to be in a majority waits four times as
    /// long before it removes another entry.
    pub silence_limit: Duration,
    /// Time without a heartbeat or a report after which an agent is declared gone. Agents do not
    /// read this limit.
    pub agent_gone_after: Duration,
    /// Time after which an unanswered message is sent again.
    pub resend: Duration,
    /// Time after which a placed task without a report is probed.
    pub probe: Duration,
    /// Longest wait for a witness to acknowledge an id.
    pub witness_wait: Duration,
    /// Longest wait for replies of other entries or of agents after a change of ownership, and for
    /// the owner's answer to a cancellation or a lookup.
    pub recovery_wait: Duration,
    /// Time for which answers are kept, and the age from which an unknown id is too old to submit.
    ///
    /// Ids are kept longer, by the longest timeout.
    pub id_window: Duration,
    /// Age of the stamp in a start above which the agent refuses it.
    pub stamp_age: Duration,
    /// Maximum number of ids that one shard keeps.
    pub max_ids: usize,
    /// Maximum size of the results that one shard, or one agent, keeps for resubmissions.
    pub max_result_bytes: usize,
    /// Number of refusals after which a task fails; those with reason `QueueFull` do not count.
    pub max_refusals: u32,
    /// Age of the last snapshot of a stream above which another one is appended.
    pub snapshot_age: Duration,
    /// Records since the last snapshot of a stream above which another one is appended.
    pub snapshot_records: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            silence_limit: Duration::from_secs(2),
            agent_gone_after: Duration::from_secs(30),
            resend: Duration::from_millis(500),
            probe: Duration::from_secs(1),
            witness_wait: Duration::from_millis(1500),
            recovery_wait: Duration::from_secs(2),
            id_window: Duration::from_secs(600),
            stamp_age: Duration::from_secs(10),
            max_ids: 200_000,
            max_result_bytes: 32 * 1024 * 1024,
            max_refusals: 4,
            snapshot_age: Duration::from_secs(600),
            snapshot_records: 1000,
        }
    }
}

/// Returns `interval` shortened by a random part of up to 10 %, so that processes do not act
/// at the same times.
pub fn jittered(interval: Duration, random: &mut fastrand::Rng) -> Duration {
    interval.mul_f64(0.9 + 0.1 * random.f64())
}
