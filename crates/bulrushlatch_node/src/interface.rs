//! Traits that a platform's adapter implements. The adapter translates names, formats and calls;
//! all decisions are made in `bulrushlatch_dispatch`.

use std::{future::Future, net::SocketAddr, time::Duration};

use bulrushlatch_dispatch::{
    agent::{
        StopOrder,
        target::{Announcement, PollError, StartReply, TargetId, TargetStatus, TargetTimeMs},
    },
    cordon::CordonChange,
    ids::JobId,
    job::JobRequest,
    outcome::Answer,
    routing::RoutingTable,
};
use http_body_util::Full;
use hyper::{Method, Response, body::Bytes, header::HeaderMap};

pub use bulrushlatch_dispatch::agent::StartRequest;

/// An HTTP response with its body in memory.
pub type BodyResponse = Response<Full<Bytes>>;

/// An HTTP request from a caller, not yet decoded, whose path matches a route.
#[derive(Debug)]
pub struct RoutedHttpRequest<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Part of the path after the route's prefix: a job id, or empty.
    pub path_suffix: &'a str,
    /// HTTP headers.
    pub headers: &'a HeaderMap,
    /// Request body.
    pub body: &'a [u8],
}

/// A decoded request from a caller.
#[derive(Debug)]
pub enum CallerRequest {
    /// Run a job and answer when it has ended.
    Submit {
        /// Id, payload and steps of the job.
        job_request: JobRequest,
        /// Time for which the caller waits for the answer, if the request states it.
        remaining_time: Option<Duration>,
    },
    /// Return the state of a job.
    State(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Return the number of the route's open jobs that have not run and have no placed task.
    UnstartedJobs,
}

/// What a submission says outside its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionHead {
    /// Id of the job.
    pub job: JobId,
    /// Time for which the caller waits for the answer, if the request states it.
    pub remaining_time: Option<Duration>,
}

/// A reply to a caller, before it is encoded.
#[derive(Clone, Copy, Debug)]
pub enum CallerReply {
    /// Answer about one job.
    Answer(Answer),
    /// Number of the route's open jobs that have not run and have no placed task.
    UnstartedJobs(usize),
}

/// Decodes requests from callers and encodes the replies, in the platform's format.
pub trait CallerInterface: Clone + 'static {
    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a malformed request.
    fn decode(&self, request: &RoutedHttpRequest<'_>) -> Result<CallerRequest, String>;

    /// Decodes the method, path and headers of a submission; returns `None` for another request or a
    /// malformed one.
    fn decode_head(&self, request: &RoutedHttpRequest<'_>) -> Option<SubmissionHead>;

    /// Encodes a reply.
    fn encode(&self, reply: &CallerReply) -> BodyResponse;

    /// Returns whether a request is the load balancer's readiness check.
    fn is_readiness_check(&self, method: &Method, path: &str) -> bool;
}

/// Content of an announcement from a target.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetEvent {
    /// The target is running.
    Announced {
        /// Id, capacity and state of the target.
        announcement: Announcement,
        /// Address on which it accepts calls.
        address: SocketAddr,
    },
    /// The target has left.
    Left(TargetId),
}

/// Decodes announcements from targets, in the platform's format.
pub trait AnnouncementInterface: Clone + 'static {
    /// Decodes an announcement; returns `None` if the request is something else.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a malformed announcement.
    fn decode(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Option<TargetEvent>, String>;
}

/// Parameters of a status poll.
#[derive(Clone, Debug)]
pub struct StatusPoll {
    /// The incarnation of the target to poll.
    pub target: TargetId,
    /// End of the lease to request; `None` to leave the lease as it is.
    pub lease_until_ms: Option<TargetTimeMs>,
    /// Highest number of an ended run that is acknowledged.
    pub ends_seen: u64,
    /// Time for which the target may hold the poll open until a run ends.
    pub wait: Duration,
}

/// A target whose tasks run under a lease.
pub trait LeasedTarget: Clone + 'static {
    /// Orders the start of a task; also returns the target's clock, if the target answered.
    fn start(
        &self,
        start: &StartRequest,
    ) -> impl Future<Output = (StartReply, Option<TargetTimeMs>)>;

    /// Orders the stop of a run; returns the target's clock, or `None` if it did not answer.
    fn stop(&self, stop: &StopOrder) -> impl Future<Output = Option<TargetTimeMs>>;

    /// Returns which runs are running and which have ended, and renews the lease.
    fn poll_status(
        &self,
        poll: &StatusPoll,
    ) -> impl Future<Output = Result<TargetStatus, PollError>>;
}

/// A stream of keyed records in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Stream {
    /// Configuration and cordons that operators publish; read-only.
    Configuration,
    /// Link addresses of entries.
    Entries,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key within the stream.
    pub key: String,
    /// Value; empty if the key was removed.
    pub value: Vec<u8>,
}

/// Records read from a stream, and the offset at which to continue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordPage {
    /// Records: from [`SiteStore::follow`], oldest first; from [`SiteStore::newest`], in listing
    /// order.
    pub records: Vec<KeyedRecord>,
    /// Offset at which [`SiteStore::follow`] continues.
    pub next_offset: u64,
    /// Whether further records exist that were not read, so that a key which is missing may have one.
    pub is_partial: bool,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StoreError {
    /// The requested records are no longer retained.
    Expired,
    /// The store was not reached, refused the call for now, or cannot hold the record. The call was
    /// not carried out.
    Refused,
    /// No usable answer arrived; a write may have been carried out.
    NoAnswer,
}

/// The platform's store.
pub trait SiteStore: Clone + 'static {
    /// Returns the newest record of each key.
    fn newest(&self, stream: Stream) -> impl Future<Output = Result<RecordPage, StoreError>>;

    /// Returns the records from offset `from`, as soon as there are any or after `wait`.
    fn follow(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<RecordPage, StoreError>>;

    /// Writes a record; an empty value removes the key.
    fn put(
        &self,
        stream: Stream,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Returns whether a record of [`Stream::Configuration`] has arrived in part.
    fn is_receiving_configuration(&self) -> bool;

    /// Returns the key of the record that holds the routes.
    fn routes_key(&self) -> &'static str;

    /// Decodes the routes in a configuration record; returns `None` if the record holds no routes.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a malformed record.
    fn decode_routes(&self, record: &KeyedRecord) -> Result<Option<RoutingTable>, String>;

    /// Decodes the change of a cordon in a record of [`Stream::Configuration`]; returns `None` if the
    /// record is something else.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a malformed record.
    fn decode_cordon(&self, record: &KeyedRecord) -> Result<Option<CordonChange>, String>;
}

/// Returns the value of a `Retry-After` header: whole seconds, rounded up, at least one.
pub fn retry_after_s(retry_after: Duration) -> u64 {
    retry_after.as_secs_f64().ceil().max(1.0) as u64
}
