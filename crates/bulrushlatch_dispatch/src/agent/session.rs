//! The state that an agent keeps for each entry.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::BootTime,
    crash::CrashNumber,
    frame::{FrameVersion, OLDEST_FRAME_VERSION, Report},
    ids::{LinkId, OrderNumber, ReportNumber},
    timing::Timing,
};

/// What an agent knows of one incarnation of an entry; outlives the links to it.
#[derive(Debug)]
pub struct Session {
    /// The open link, if there is one.
    pub link: Option<LinkId>,
    /// Version of the frames on that link.
    pub version: FrameVersion,
    /// Newest stamp of this agent that the entry echoed: the entry was alive after that time.
    pub alive_at: BootTime,
    /// Highest order processed.
    pub orders_seen: OrderNumber,
    /// Reports that the entry has not acknowledged, oldest first.
    pub reports: VecDeque<Report>,
    /// Number of the last report.
    pub last_report: ReportNumber,
    /// Highest report sent on the present link.
    pub sent_report: ReportNumber,
    /// Number of the last crash told on the present link.
    pub sent_crash: CrashNumber,
    /// When the last frame was sent.
    pub sent_at: BootTime,
    /// When the last frame arrived.
    pub received_at: BootTime,
    /// Whether the entry places tasks at this agent.
    pub is_in_use: bool,
    /// Value of [`crate::frame::Offer::accepts`] in the last frame sent.
    pub sent_accepts: bool,
    /// Whether the target's profile has been sent on the present link.
    pub is_profile_sent: bool,
    /// Whether something new is to be sent before the next heartbeat if the link is in use.
    pub has_pending_update: bool,
}

impl Session {
    /// Returns a session in which no stamp has been echoed; its reports are numbered from
    /// `last_report` + 1.
    pub fn new(link: LinkId, now: BootTime, last_report: ReportNumber) -> Self {
        Self {
            link: Some(link),
            version: OLDEST_FRAME_VERSION,
            alive_at: BootTime::ZERO,
            orders_seen: 0,
            reports: VecDeque::new(),
            last_report,
            sent_report: last_report,
            sent_crash: 0,
            sent_at: BootTime::ZERO,
            received_at: now,
            is_in_use: false,
            sent_accepts: false,
            is_profile_sent: false,
            has_pending_update: true,
        }
    }

    /// Numbers a report and keeps it until it is acknowledged.
    pub fn push(&mut self, mut report: Report) {
        self.last_report += 1;
        report.number = self.last_report;
        self.reports.push_back(report);
        self.has_pending_update = true;
    }

    /// Returns whether a frame is due. `min_interval` is the shortest time between frames; a
    /// report, an unsent profile or a changed `accepts` is sent at once.
    pub fn is_due(
        &self,
        now: BootTime,
        timing: &Timing,
        min_interval: Duration,
        accepts: bool,
    ) -> bool {
        let since_sent = now.saturating_sub(self.sent_at);
        let has_change = !self.is_profile_sent || self.sent_accepts != accepts;
        if self.sent_report < self.last_report || has_change {
            return true;
        }
        if self.is_in_use {
            since_sent >= timing.heartbeat
                || (self.has_pending_update && since_sent >= min_interval)
        } else {
            since_sent >= timing.idle_heartbeat(self.version)
        }
    }

    /// Removes the reports with numbers up to `seen`.
    pub fn acknowledge(&mut self, seen: ReportNumber) {
        while self.reports.front().is_some_and(|report| report.number <= seen) {
            self.reports.pop_front();
        }
    }
}
