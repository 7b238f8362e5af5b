//! Identifier types and the mapping of submission ids to slices.

use std::sync::Arc;

use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

/// Identifier that a caller chooses for a submission; at most [`MAX_ID_BYTES`] long.
pub type SubmissionId = Arc<str>;
/// Name of a team, which is also the name of its branch in the settings tree.
pub type TeamId = Arc<str>;
/// Name of a service that targets offer.
pub type ServiceName = Arc<str>;
/// Name of a kind of task within a service.
pub type KindName = Arc<str>;
/// Name of a process, kept across restarts.
pub type ProcessName = Arc<str>;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;
/// Identifier of one incarnation of a process; never zero and never reused.
pub type Incarnation = u64;
/// Number of changes of the member entries in the membership view.
pub type Epoch = u64;
/// Position of a record in a stream of the platform's log.
pub type Offset = u64;
/// Index of a slice: a hash partition of the submission ids, owned by one entry.
pub type SliceId = u16;
/// Position of a task in its submission.
pub type TaskIndex = u32;
/// JSON that is forwarded without being interpreted.
pub type Payload = Arc<RawValue>;

/// Number of slices into which submission ids are hashed.
pub const SLICE_COUNT: SliceId = 128;
/// Maximum length of a submission id, team, service or kind.
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

/// Returns the timestamp of a UUIDv7 in milliseconds since the Unix epoch, or `None` if
/// `submission_id` is not a UUIDv7.
pub fn uuid_v7_time_ms(submission_id: &str) -> Option<u64> {
    let uuid = uuid::Uuid::try_parse(submission_id).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanoseconds) / 1_000_000)
}
