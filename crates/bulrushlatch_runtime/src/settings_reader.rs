//! Flags and environment variables, checked together.

use std::{fmt, str::FromStr, time::Duration};

/// Every fault found in the settings of a process.
#[derive(Debug)]
pub struct SettingsError {
    /// One line for each fault.
    pub faults: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the settings have {} fault(s)", self.faults.len())?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Reads settings and remembers what is wrong with them.
///
/// A flag goes before the environment variable `BULRUSH_` plus the flag's name in capitals.
#[derive(Debug, Default)]
pub struct SettingsReader {
    faults: Vec<String>,
}

impl SettingsReader {
    /// Returns the value of a setting that must be given.
    pub fn required<T: FromStr + Default>(&mut self, flag: &str, given: Option<String>) -> T {
        let Some(text) = given.or_else(|| variable(flag)) else {
            self.faults.push(format!("--{flag} or {} must be given", variable_name(flag)));
            return T::default();
        };
        self.parse(flag, &text).unwrap_or_default()
    }

    /// Returns the value of a setting, or its default.
    pub fn optional<T: FromStr>(&mut self, flag: &str, given: Option<String>, default: T) -> T {
        let Some(text) = given.or_else(|| variable(flag)) else { return default };
        self.parse(flag, &text).unwrap_or(default)
    }

    /// Returns a time that is given in whole milliseconds.
    pub fn millis(&mut self, flag: &str, given: Option<String>, default: Duration) -> Duration {
        Duration::from_millis(self.optional(flag, given, default.as_millis() as u64))
    }

    /// Returns the values of a setting that is a list separated by commas.
    pub fn list<T: FromStr>(&mut self, flag: &str, given: Option<String>) -> Vec<T> {
        let text = given.or_else(|| variable(flag)).unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let parts: Vec<&str> = parts.collect();
        parts.into_iter().filter_map(|part| self.parse(flag, part)).collect()
    }

    /// Notes a fault that takes more than one setting to see.
    pub fn check(&mut self, is_right: bool, fault: &str) {
        if !is_right {
            self.faults.push(fault.to_owned());
        }
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Returns all faults at once.
    pub fn finish<T>(self, settings: T) -> Result<T, SettingsError> {
        if self.faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError { faults: self.faults })
        }
    }

    fn parse<T: FromStr>(&mut self, flag: &str, text: &str) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let kind = std::any::type_name::<T>().rsplit("::").next().unwrap_or("value");
            self.faults.push(format!("--{flag}: {text:?} is not a valid {kind}"));
        }
        parsed
    }
}

fn variable(flag: &str) -> Option<String> {
    std::env::var(variable_name(flag)).ok()
}

fn variable_name(flag: &str) -> String {
    format!("BULRUSH_{}", flag.replace('-', "_").to_uppercase())
}
