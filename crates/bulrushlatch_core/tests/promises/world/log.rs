//! The log, and what is in force of it.

use super::*;

impl World {
    /// Sets how the log treats calls.
    pub fn set_log_mode(&mut self, mode: LogMode) {
        self.log.set_mode(mode);
        let is_up = mode == LogMode::Up;
        self.log_up_since = is_up.then_some(self.now);
    }

    /// Lets the log forget what is older than its retention.
    pub fn lapse_log(&mut self) {
        let oldest = self.now.saturating_sub(RETENTION);
        for stream in [StreamName::Ownership, StreamName::Settings] {
            let times = self.appended.entry(stream).or_default();
            let kept = times.iter().filter(|at| **at >= oldest).count();
            self.log.lapse(stream, kept);
        }
    }

    /// Publishes a change, as an entry does for an operator.
    pub fn publish(&mut self, change: &Change) {
        let body = format!("{{\"record\":{}}}", serde_json::to_string(change).expect("JSON"));
        self.append_later(StreamName::Settings, body);
    }

    pub(super) fn append_later(&mut self, stream: StreamName, body: String) {
        let delay_ms =
            if self.slow_log { self.random.u64(1000..3000) } else { self.random.u64(3..9) };
        let key = (self.now + Duration::from_millis(delay_ms), self.number());
        self.appends.insert(key, (stream, body));
    }

    pub(super) fn apply_appends(&mut self) {
        while let Some((&key, _)) = self.appends.first_key_value() {
            if key.0 > self.now {
                return;
            }
            let Some((stream, body)) = self.appends.remove(&key) else { return };
            if self.log.append(stream, &body).is_err() {
                continue;
            }
            self.appended.entry(stream).or_default().push(self.now);
            if stream == StreamName::Settings {
                self.note_settings_record(&body);
            }
        }
    }

    pub(super) fn note_settings_record(&mut self, body: &str) {
        let length = self.appended[&StreamName::Settings].len() as Offset;
        self.settings_lengths.push((self.now, length));
        let record: serde_json::Value = serde_json::from_str(body).expect("records are JSON");
        let Ok(change) = serde_json::from_value::<Change>(record["record"].clone()) else { return };
        self.oracle.note_change(&change);
        for slot in &mut self.agents {
            let is_drain = change.path == format!("targets/{}", slot.name);
            if is_drain && change.value == Some(serde_json::Value::Bool(true)) {
                slot.drained_at.get_or_insert(self.now);
            }
        }
    }

    pub(super) fn read_log(&mut self) {
        let reads_settings = self.sabotage != Some(Sabotage::NoSettings) || self.now < FORMED;
        for index in 0..self.entries.len() {
            for stream in [StreamName::Ownership, StreamName::Settings] {
                if stream == StreamName::Settings && !reads_settings {
                    continue;
                }
                let slot = &self.entries[index];
                let Some(entry) = slot.process.as_ref() else { continue };
                if slot.frozen_since.is_some() {
                    continue;
                }
                let Ok(page) = self.log.read(stream, entry.next_offset(stream), 100) else {
                    continue;
                };
                let mut effects = Vec::new();
                entry.fold(stream, &page, &mut effects);
                self.execute_for_entry(index, effects);
            }
        }
    }

    /// Accepted settings are in force within the bound, are the same everywhere and never revert.
    pub(super) fn look_at_settings(&mut self) {
        let all = self.appended.get(&StreamName::Settings).map_or(0, Vec::len) as Offset;
        let bound = self.now.saturating_sub(IN_FORCE_WITHIN);
        let due = self.settings_lengths.iter().rev().find(|(at, _)| *at <= bound);
        let due = due.map_or(0, |(_, length)| *length);
        let was_readable = self.log_up_since.is_some_and(|since| since <= bound);
        let mut violations = Vec::new();
        for (index, slot) in self.entries.iter_mut().enumerate() {
            let Some(entry) = slot.process.as_ref() else { continue };
            let offset = entry.next_offset(StreamName::Settings);
            if offset < slot.settings_offset {
                violations.push(format!("entry {index} went back to older settings"));
            }
            slot.settings_offset = offset;
            let could_follow = slot.frozen_since.is_none() && slot.followed_since <= bound;
            if was_readable && could_follow && offset < due {
                violations.push(format!("entry {index} has settings {offset} of {due}"));
            }
            if offset >= all && !self.oracle.settings().is_same(&entry.settings()) {
                violations.push(format!("entry {index} has other settings than published"));
            }
        }
        self.oracle.violations.extend(violations);
    }

    /// Offers an entry old settings under a new offset.
    pub fn offer_old_settings(&mut self, index: usize) {
        use bulrushlatch_core::{
            message::StateUpdate,
            version::{settings::SettingsTree, stream::Fold},
        };
        let mut tree = SettingsTree::default();
        let length = self.appended.get(&StreamName::Settings).map_or(0, Vec::len) as Offset;
        tree.set_next_offset(length + 1);
        let update = StateUpdate { view: None, settings: Some(Arc::new(tree)) };
        let to = self.entries[index].address;
        let envelope = Envelope {
            from: 1,
            from_address: to,
            to: 0,
            messages: vec![Message::StateUpdate(update)],
        };
        self.deliver(Delivery { to, envelope });
    }
}
