//! Reads and validates process settings from flags and environment variables.
//!
//! Process settings are fixed at the start, unlike the settings tree, which operators change while
//! the processes run.

use std::{fmt, str::FromStr, time::Duration};

/// All invalid settings of a process.
#[derive(Debug)]
pub struct SettingsError {
    /// One line for each problem.
    pub problems: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the settings have {} problem(s)", self.problems.len())?;
        for problem in &self.problems {
            write!(f, "\n  {problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Reads process settings and collects their problems.
///
/// A flag takes precedence over its environment variable, `BULRUSH_` plus the flag's name in
/// capitals with underscores.
#[derive(Debug, Default)]
pub struct SettingsReader {
    problems: Vec<String>,
}

impl SettingsReader {
    /// Returns the value of a required setting; records a problem if it is missing.
    pub fn required<T: FromStr + Default>(&mut self, flag: &str, given: Option<String>) -> T {
        let Some(text) = given.or_else(|| environment_value(flag)) else {
            self.problems.push(format!("--{flag} or {} must be given", variable_name(flag)));
            return T::default();
        };
        self.parse(flag, &text).unwrap_or_default()
    }

    /// Returns the value of a setting, or its default if it is not given.
    pub fn optional<T: FromStr>(&mut self, flag: &str, given: Option<String>, default: T) -> T {
        let Some(text) = given.or_else(|| environment_value(flag)) else { return default };
        self.parse(flag, &text).unwrap_or(default)
    }

    /// Returns a duration that is given in whole milliseconds.
    pub fn millis(&mut self, flag: &str, given: Option<String>, default: Duration) -> Duration {
        Duration::from_millis(self.optional(flag, given, default.as_millis() as u64))
    }

    /// Returns the values of a setting that is a comma-separated list.
    pub fn list<T: FromStr>(&mut self, flag: &str, given: Option<String>) -> Vec<T> {
        let text = given.or_else(|| environment_value(flag)).unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let parts: Vec<&str> = parts.collect();
        parts.into_iter().filter_map(|part| self.parse(flag, part)).collect()
    }

    /// Records `problem` unless `is_valid` holds.
    pub fn check(&mut self, is_valid: bool, problem: &str) {
        if !is_valid {
            self.problems.push(problem.to_owned());
        }
    }

    /// Returns `settings` if no problem was recorded.
    ///
    /// # Errors
    ///
    /// Returns all recorded problems at once.
    pub fn finish<T>(self, settings: T) -> Result<T, SettingsError> {
        if self.problems.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError { problems: self.problems })
        }
    }

    fn parse<T: FromStr>(&mut self, flag: &str, text: &str) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let kind = std::any::type_name::<T>().rsplit("::").next().unwrap_or("value");
            self.problems.push(format!("--{flag}: {text:?} is not a valid {kind}"));
        }
        parsed
    }
}

fn environment_value(flag: &str) -> Option<String> {
    std::env::var(variable_name(flag)).ok()
}

fn variable_name(flag: &str) -> String {
    format!("BULRUSH_{}", flag.replace('-', "_").to_uppercase())
}
