//! Simulation of the log, and checks of the settings that are read from it.

use super::*;

impl World {
    /// Sets how the log handles calls.
    pub fn set_log_mode(&mut self, mode: LogMode) {
        self.log.set_mode(mode);
        let is_up = mode == LogMode::Up;
        self.log_up_since = is_up.then_some(self.now);
    }

    /// Drops all records of the log that are older than [`LOG_RETENTION`].
    pub fn drop_old_log_records(&mut self) {
        let oldest = self.now.saturating_sub(LOG_RETENTION);
        for stream in [StreamName::Ownership, StreamName::Settings] {
            let times = self.append_times.entry(stream).or_default();
            let kept = times.iter().filter(|at| **at >= oldest).count();
            self.log.trim(stream, kept);
        }
    }

    /// Appends a change to the log, as an entry does for an operator.
    pub fn publish(&mut self, change: &Change) {
        let body = format!("{{\"record\":{}}}", serde_json::to_string(change).expect("JSON"));
        self.append_later(StreamName::Settings, body);
    }

    pub(super) fn append_later(&mut self, stream: StreamName, body: String) {
        let delay_ms =
            if self.is_log_slow { self.random.u64(1000..3000) } else { self.random.u64(3..9) };
        let key = (self.now + Duration::from_millis(delay_ms), self.next_sequence_number());
        self.pending_appends.insert(key, (stream, body));
    }

    pub(super) fn apply_due_appends(&mut self) {
        while let Some((&key, _)) = self.pending_appends.first_key_value() {
            if key.0 > self.now {
                return;
            }
            let Some((stream, body)) = self.pending_appends.remove(&key) else { return };
            if self.log.append(stream, &body).is_err() {
                continue;
            }
            self.append_times.entry(stream).or_default().push(self.now);
            if stream == StreamName::Settings {
                self.record_settings_append(&body);
            }
        }
    }

    /// Passes a record that was appended to the settings stream to the checks.
    pub(super) fn record_settings_append(&mut self, body: &str) {
        let length = self.append_times[&StreamName::Settings].len() as Offset;
        self.settings_stream_lengths.push((self.now, length));
        let record: serde_json::Value = serde_json::from_str(body).expect("records are JSON");
        let Ok(change) = serde_json::from_value::<Change>(record["record"].clone()) else { return };
        self.oracle.apply_change(&change);
        for host in &mut self.agents {
            let is_drain = change.path == format!("targets/{}", host.name);
            if is_drain && change.value == Some(serde_json::Value::Bool(true)) {
                host.drain_accepted_at.get_or_insert(self.now);
            }
        }
    }

    pub(super) fn read_log(&mut self) {
        let reads_settings = self.defect != Some(Defect::NoSettings) || self.now < STARTUP_TIME;
        for index in 0..self.entries.len() {
            for stream in [StreamName::Ownership, StreamName::Settings] {
                if stream == StreamName::Settings && !reads_settings {
                    continue;
                }
                let host = &self.entries[index];
                let Some(entry) = host.process.as_ref() else { continue };
                if host.suspended_since.is_some() {
                    continue;
                }
                let Ok(page) = self.log.read(stream, entry.next_offset(stream), 100) else {
                    continue;
                };
                let mut effects = Vec::new();
                entry.apply_page(stream, &page, &mut effects);
                self.execute_for_entry(index, effects);
            }
        }
    }

    /// Checks that the entries have applied the records appended [`MAX_SETTINGS_DELAY`] ago, unless
    /// they could not read the log since then, and that the settings of an entry equal the
    /// published ones and never revert.
    pub(super) fn check_settings(&mut self) {
        let length = self.append_times.get(&StreamName::Settings).map_or(0, Vec::len) as Offset;
        let bound = self.now.saturating_sub(MAX_SETTINGS_DELAY);
        let due = self.settings_stream_lengths.iter().rev().find(|(at, _)| *at <= bound);
        let due_length = due.map_or(0, |(_, length)| *length);
        let was_readable = self.log_up_since.is_some_and(|since| since <= bound);
        let mut violations = Vec::new();
        for (index, host) in self.entries.iter_mut().enumerate() {
            let Some(entry) = host.process.as_ref() else { continue };
            let offset = entry.next_offset(StreamName::Settings);
            let last_offset = host.settings_offset;
            if offset < last_offset {
                let text =
                    format!("entry {index} reverted settings from {last_offset} to {offset}");
                violations.push(text);
            }
            host.settings_offset = offset;
            let could_read = host.suspended_since.is_none() && host.running_since <= bound;
            if was_readable && could_read && offset < due_length {
                violations.push(format!(
                    "entry {index} has settings only up to offset {offset}; offset {due_length} was due"
                ));
            }
            if offset >= length && !self.oracle.settings().matches(&entry.settings()) {
                violations.push(format!(
                    "entry {index} differs from the published settings at offset {offset}"
                ));
            }
        }
        self.oracle.violations.extend(violations);
    }

    /// Sends an entry empty settings under an offset that has not been reached yet.
    pub fn send_empty_settings(&mut self, index: usize) {
        use bulrushlatch_core::{
            message::StateUpdate,
            version::{settings::SettingsTree, stream::StreamState},
        };
        let mut tree = SettingsTree::default();
        let length = self.append_times.get(&StreamName::Settings).map_or(0, Vec::len) as Offset;
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
