//! Frames to entries.

use std::{cell::LazyCell, time::Duration};

use crate::{
    clock::BootTime,
    frame::{AgentFrame, Offer, Profile, Report},
    ids::LinkId,
};

use super::{Agent, target::Target};

impl Agent {
    /// Returns the frames that are due. `min_interval` is the shortest time between frames on one
    /// link; a report, an unsent profile or a changed `accepts` is sent at once.
    pub fn frames(&mut self, now: BootTime, min_interval: Duration) -> Vec<(LinkId, AgentFrame)> {
        let offer = self.offer(now);
        let profile = LazyCell::new(|| profile_of(self.target.as_ref()));
        let timing = self.timing;
        let mut frames = Vec::new();
        for session in self.sessions.values_mut() {
            let Some(link) = session.link else { continue };
            if !session.is_due(now, &timing, min_interval, offer.accepts) {
                continue;
            }
            let sent = session.sent_report;
            let new = session.reports.iter().filter(|report| report.number > sent);
            let reports: Vec<Report> = new.cloned().collect();
            session.sent_report = session.last_report;
            session.sent_at = now;
            session.has_pending_update = false;
            let profile = (!session.is_profile_sent).then(|| Profile::clone(&profile));
            session.is_profile_sent = true;
            session.sent_accepts = offer.accepts;
            let stamp_ms = now.as_millis() as u64;
            let orders_seen = session.orders_seen;
            frames.push((link, AgentFrame { stamp_ms, orders_seen, profile, offer, reports }));
        }
        self.summarize_demand(now, &frames);
        frames
    }

    /// Returns whether a frame should be sent before the next heartbeat.
    pub fn has_pending_update(&self) -> bool {
        self.sessions.values().any(|session| {
            session.link.is_some() && session.is_in_use && session.has_pending_update
        })
    }

    fn offer(&self, now: BootTime) -> Offer {
        Offer { free: self.unclaimed(now), accepts: self.accepts(now) }
    }

    /// Makes the next frame on each link carry the target's profile.
    pub(super) fn resend_profiles(&mut self) {
        for session in self.sessions.values_mut() {
            session.is_profile_sent = false;
        }
    }

    /// Makes links in use send a frame before their next heartbeat.
    pub(super) fn mark_pending_update(&mut self) {
        for session in self.sessions.values_mut() {
            session.has_pending_update = true;
        }
    }
}

fn profile_of(target: Option<&Target>) -> Profile {
    let Some(target) = target else { return Profile::default() };
    let announcement = &target.announcement;
    Profile {
        service: announcement.service.clone(),
        labels: announcement.labels.clone(),
        zone: announcement.zone.clone(),
        total: announcement.capacity,
    }
}
