//! Whether a request may have run.

use serde::{Deserialize, Serialize};

/// What is known about whether a request, such as a job, a task or a log append, has run.
///
/// Variants are ordered by how much may have run, so that the verdict on a job is the maximum of
/// the verdicts on its tasks.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// No part of the request started, and none will.
    #[serde(rename = "no")]
    #[strum(serialize = "no")]
    NotRun,
    /// The request may have started; it must not be sent again as if it had not.
    #[serde(rename = "maybe")]
    #[strum(serialize = "maybe")]
    MayHaveRun,
    /// The request has certainly started.
    #[serde(rename = "yes")]
    #[strum(serialize = "yes")]
    Ran,
}

impl Verdict {
    /// Returns whether the same request can be sent again without running twice.
    pub fn is_safe_to_retry(self) -> bool {
        self == Self::NotRun
    }
}
