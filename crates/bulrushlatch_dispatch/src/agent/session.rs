//! What an agent keeps for each entry.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::BootTime,
    frame::Report,
    ids::{LinkId, OrderNumber, ReportNumber},
    timing::Timing,
};

/// What an agent knows of one life of an entry.
#[derive(Debug)]
pub struct Contact {
    /// The open link, if there is one.
    pub link: Option<LinkId>,
    /// Newest stamp of ours that the entry sent back: it was alive after that time.
    pub heard_at: BootTime,
    /// Highest order processed.
    pub orders_seen: OrderNumber,
    /// Reports that the entry has not acknowledged, oldest first.
    pub reports: VecDeque<Report>,
    /// Number of the last report.
    pub last_report: ReportNumber,
    /// Highest report sent on the present link.
    pub sent_report: ReportNumber,
    /// When the last frame was sent.
    pub sent_at: BootTime,
    /// When the last frame arrived.
    pub received_at: BootTime,
    /// Whether the entry places tasks here.
    pub is_in_use: bool,
    /// Whether the last frame said that new tasks are taken.
    pub said_accepts: bool,
    /// Whether the target's profile has been sent on the present link.
    pub has_profile: bool,
    /// Whether there is news that should go out soon.
    pub has_news: bool,
}

impl Contact {
    /// Returns a contact that has not been heard from, to which reports after `last_report` go.
    pub fn new(link: LinkId, now: BootTime, last_report: ReportNumber) -> Self {
        Self {
            link: Some(link),
            heard_at: BootTime::ZERO,
            orders_seen: 0,
            reports: VecDeque::new(),
            last_report,
            sent_report: last_report,
            sent_at: BootTime::ZERO,
            received_at: now,
            is_in_use: false,
            said_accepts: false,
            has_profile: false,
            has_news: true,
        }
    }

    /// Keeps a report until it is acknowledged.
    pub fn push(&mut self, mut report: Report) {
        self.last_report += 1;
        report.number = self.last_report;
        self.reports.push_back(report);
        self.has_news = true;
    }

    /// Returns whether a frame is due; `pause` is the shortest time between two that bring no report.
    pub fn is_due(&self, now: BootTime, timing: &Timing, pause: Duration, accepts: bool) -> bool {
        let since = now.saturating_sub(self.sent_at);
        let has_change = !self.has_profile || self.said_accepts != accepts;
        if self.sent_report < self.last_report || has_change {
            return true;
        }
        if self.is_in_use {
            since >= timing.heartbeat || (self.has_news && since >= pause)
        } else {
            since >= timing.idle_heartbeat()
        }
    }

    /// Forgets reports up to `seen`.
    pub fn acknowledge(&mut self, seen: ReportNumber) {
        while self.reports.front().is_some_and(|report| report.number <= seen) {
            self.reports.pop_front();
        }
    }
}
