//! Faults that a case can inject.

/// A kind of injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Fault {
    /// An entry crashes and is replaced.
    KillEntry,
    /// An agent crashes and is replaced.
    KillAgent,
    /// An entry is suspended and later resumes with its state.
    FreezeEntry,
    /// An agent is suspended and later resumes with its state.
    FreezeAgent,
    /// All messages between two processes are lost.
    CutBothWays,
    /// All messages from one process to another are lost.
    CutOneWay,
    /// All messages between an entry and all other processes are lost.
    IsolateEntry,
    /// A connection silently loses all messages; the simulation has no connections and cuts one
    /// direction, like [`Fault::CutOneWay`].
    SilentConnection,
    /// Some messages are delayed by up to several seconds.
    Delay,
    /// Some messages arrive twice.
    Duplicate,
    /// Every call to the log fails.
    LogDown,
    /// Appends to the log take effect several seconds later.
    LogSlow,
    /// The log drops all records that are older than its retention period.
    LogLapse,
    /// A target fails every task.
    TargetFailsAll,
    /// A target takes ten times as long for each task.
    TargetStraggles,
    /// A target runs tasks, but its replies are lost.
    TargetLosesReplies,
    /// A target refuses every task.
    TargetRefuses,
    /// An agent shuts down gracefully.
    LeaveAgent,
    /// An entry shuts down gracefully.
    LeaveEntry,
    /// Operators drain a target.
    DrainSetting,
    /// Many submissions are cancelled at once.
    CancelWave,
    /// Operators and teams publish conflicting changes at the same time.
    RacingOperators,
    /// Callers resubmit recent submissions many times, at random entries.
    Resubmit,
    /// All entries crash at once.
    KillAllEntries,
}

impl Fault {
    /// Returns the minimum share of submissions that must complete, in percent.
    ///
    /// The shares are derived from the stated service targets. A fault lasts at most 6 s of the
    /// 15 s of load, and at least two entries and two targets share the work. Therefore:
    ///
    /// - 90 %: a fault that must not disturb anything may cost 10 %
    /// - 65 %: a failed process may cost half of the work for the 6 s and for the few seconds in
    ///   which its work moves
    /// - 55 %: a target that fails jobs may cost all jobs for the 6 s
    /// - 25 %: without any entry, nothing is served for the 6 s and the few seconds after them
    pub fn served_floor_percent(self) -> usize {
        match self {
            Self::LogDown
            | Self::LogSlow
            | Self::LogLapse
            | Self::RacingOperators
            | Self::Resubmit
            | Self::Duplicate
            | Self::DrainSetting
            | Self::LeaveAgent
            | Self::LeaveEntry => 90,
            Self::TargetFailsAll | Self::TargetLosesReplies | Self::TargetStraggles => 55,
            // Up to 30 of the 60 submissions of the smallest case are cancelled; two cancellations
            // may hit the same one.
            Self::CancelWave => 45,
            Self::KillAllEntries => 25,
            _ => 65,
        }
    }
}
