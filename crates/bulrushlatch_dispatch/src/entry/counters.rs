//! Counters of an entry.

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryCounters {
    /// Submissions that reached the state machine, repeated ones included.
    pub arrived: u64,
    /// Jobs answered as completed.
    pub completed: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs refused.
    pub refused: u64,
    /// Jobs refused after they had waited; `refused` includes them.
    pub late_refusals: u64,
    /// Jobs refused for lack of processor time; `refused` includes them.
    pub refused_by_processor: u64,
    /// Waiting jobs refused because they could not start in time; `late_refusals` includes them.
    pub refused_while_waiting: u64,
    /// Waiting jobs refused in favor of more urgent ones; `late_refusals` includes them.
    pub displaced: u64,
    /// Jobs given up after they may have run.
    pub interrupted: u64,
    /// Jobs stopped because no caller waited for them any longer.
    pub abandoned: u64,
    /// Start orders issued.
    pub start_orders: u64,
    /// Start orders that did not start a run.
    pub not_started: u64,
    /// Runs that ended without a result: unlike the agent's `lost`, stopped runs are included.
    pub lost_runs: u64,
    /// Crashes of targets that agents have told, repeated notices included.
    pub target_crashes: u64,
    /// Jobs ended, or not started, because targets crash under them; `failed` includes them.
    pub crashing_jobs: u64,
    /// Runs that were stopped as stuck.
    pub stuck_runs: u64,
    /// Tasks that waited for a fast target although others had room.
    pub speed_waits: u64,
    /// Times that this process was found to have been suspended.
    pub suspensions: u64,
    /// Statements of demand sent to agents.
    pub demand_statements: u64,
    /// Summaries of demand received from agents.
    pub demand_summaries: u64,
    /// Invalid summaries, which were dropped.
    pub invalid_demand: u64,
}
