//! Aliases for identifiers and the mapping of submissions to slices.

use std::sync::Arc;

use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

/// Identifier that a caller gives a submission; at most [`MAX_ID_BYTES`] long.
pub type SubmissionId = Arc<str>;
/// Name of a team, which is also the name of its branch in the settings tree.
pub type TeamId = Arc<str>;
/// Name of a service that targets offer.
pub type ServiceName = Arc<str>;
/// Name of a kind of task within a service.
pub type KindName = Arc<str>;
/// Name of a process, stable over its restarts.
pub type NodeName = Arc<str>;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;
/// Identifies one life of a process; never zero and never used again.
pub type Incarnation = u64;
/// Number of the membership view in which an action was taken.
pub type Epoch = u64;
/// Position of a record in a stream of the platform's log.
pub type Offset = u64;
/// Index of a group of submission ids that have one owner.
pub type SliceId = u16;
/// Position of a task in its submission.
pub type TaskIndex = u32;
/// JSON that is passed on without being parsed.
pub type Payload = Arc<RawValue>;

/// Number of slices that submission ids are hashed to.
pub const SLICE_COUNT: SliceId = 128;
/// Longest accepted submission id, team, service or kind.
pub const MAX_ID_BYTES: usize = 128;

/// Returns the slice that a submission id belongs to.
///
/// # Examples
///
/// ```
/// use bulrushlatch_protocol::ids::{SLICE_COUNT, slice_of};
/// assert!(slice_of("order-17") < SLICE_COUNT);
/// assert_eq!(slice_of("order-17"), slice_of("order-17"));
/// ```
pub fn slice_of(submission_id: &str) -> SliceId {
    let slice = xxh3_64(submission_id.as_bytes()) % u64::from(SLICE_COUNT);
    slice as SliceId
}

/// Returns the milliseconds since the Unix epoch in a UUIDv7, if `submission_id` is one.
pub fn uuid_v7_time_ms(submission_id: &str) -> Option<u64> {
    let uuid = uuid::Uuid::try_parse(submission_id).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanoseconds) / 1_000_000)
}
