//! Whether a request may have run.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request.
///
/// The order is by how much may have happened, so that the verdict on a whole is the
/// maximum of the verdicts on its parts.
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
    /// Nothing of the request started, and nothing of it will.
    #[serde(rename = "no")]
    #[strum(serialize = "no")]
    NotRun,
    /// The request may have started; it must not be sent again as if it had not.
    #[serde(rename = "maybe")]
    #[strum(serialize = "maybe")]
    MayHaveRun,
    /// The request started for certain.
    #[serde(rename = "yes")]
    #[strum(serialize = "yes")]
    Ran,
}

impl Verdict {
    /// Returns whether another placement of the same work is allowed.
    pub fn is_safe_to_retry(self) -> bool {
        self == Self::NotRun
    }
}
