//! The faults that a case can have.

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Fault {
    /// An entry dies and is replaced.
    KillEntry,
    /// An agent dies and is replaced.
    KillAgent,
    /// An entry does nothing for a while, and goes on where it was.
    FreezeEntry,
    /// An agent does nothing for a while, and goes on where it was.
    FreezeAgent,
    /// Two processes do not hear each other.
    CutBothWays,
    /// One process does not hear another.
    CutOneWay,
    /// One entry is cut off from all other processes.
    IsolateEntry,
    /// A connection loses everything until a new one is opened.
    SilentConnection,
    /// Messages are late by up to seconds.
    Delay,
    /// Messages arrive more than once.
    Duplicate,
    /// The log fails every call.
    LogDown,
    /// Appends take effect seconds later.
    LogSlow,
    /// The log forgets all but the latest records.
    LogLapse,
    /// A target fails every task.
    TargetFailsAll,
    /// A target takes ten times as long.
    TargetStraggles,
    /// A target runs tasks and loses the replies.
    TargetLosesReplies,
    /// A target refuses every task.
    TargetRefuses,
    /// An agent shuts down in order.
    LeaveAgent,
    /// An entry shuts down in order.
    LeaveEntry,
    /// Operators drain a target.
    DrainSetting,
    /// Many submissions are cancelled at once.
    CancelWave,
    /// Operators race each other with changes.
    RacingOperators,
    /// Callers submit ids again and again, at any entry.
    Resubmit,
    /// All entries die at once.
    KillAllEntries,
}

impl Fault {
    /// Least share of submissions that must complete, from the stated targets.
    ///
    /// A fault lasts at most 6 of the 15 s of load, and at least two entries and two targets
    /// share the work. What promises to disturb nothing may cost next to nothing; a process
    /// that fails may cost its half for the 6 s and the few seconds in which its work moves; a
    /// target that fails jobs may cost all jobs for the 6 s; without any entry nothing is served
    /// for the 6 s and the few seconds after them.
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
            // The wave cancels 30 of the 60 submissions that the smallest case has.
            Self::CancelWave => 45,
            Self::KillAllEntries => 25,
            _ => 65,
        }
    }
}
