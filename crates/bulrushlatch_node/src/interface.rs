//! What a platform's adapter implements. It translates names, formats and calls; it decides nothing.

use std::{future::Future, net::SocketAddr, time::Duration};

use bulrushlatch_dispatch::{
    agent::{
        StopOrder,
        target::{Announcement, PollError, StartReply, TargetId, TargetStatus, TargetTimeMs},
    },
    ids::JobId,
    job::JobRequest,
    outcome::Answer,
    routing::RoutingTable,
};
use http_body_util::Full;
use hyper::{Method, Response, body::Bytes, header::HeaderMap};

pub use bulrushlatch_dispatch::agent::StartRequest;

/// A response with its body in memory.
pub type BodyResponse = Response<Full<Bytes>>;

/// A call of a caller whose path leads to a route.
#[derive(Debug)]
pub struct RoutedRequest<'a> {
    /// Method.
    pub method: &'a Method,
    /// What follows the route's prefix in the path.
    pub rest: &'a str,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a [u8],
}

/// What a caller wants.
#[derive(Debug)]
pub enum CallerRequest {
    /// Work on a job and answer at its end.
    Submit {
        /// The job.
        request: JobRequest,
        /// How long the caller waits, if it says so.
        remaining_time: Option<Duration>,
    },
    /// Tell the state of a job.
    State(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Count the jobs of the route of which nothing has started.
    Pending,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug)]
pub enum CallerReply {
    /// About one job.
    Answer(Answer),
    /// Jobs of the route of which nothing has started.
    Pending(usize),
}

/// Calls of callers in the platform's format.
pub trait CallerInterface: Clone + 'static {
    /// Reads a call.
    ///
    /// # Errors
    ///
    /// Returns the fault of a call that cannot be read.
    fn decode(&self, call: &RoutedRequest<'_>) -> Result<CallerRequest, String>;

    /// Writes a reply.
    fn encode(&self, reply: &CallerReply) -> BodyResponse;

    /// Returns whether a call asks if this process is ready.
    fn is_readiness_check(&self, method: &Method, path: &str) -> bool;
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetEvent {
    /// It is there.
    Announced {
        /// What it said.
        announcement: Announcement,
        /// Where it takes calls.
        address: Option<SocketAddr>,
    },
    /// It has left.
    Left(TargetId),
}

/// Announcements of targets in the platform's format.
pub trait AnnouncementInterface: Clone + 'static {
    /// Reads an announcement; none if the call is something else.
    ///
    /// # Errors
    ///
    /// Returns the fault of an announcement that cannot be read.
    fn decode(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Option<TargetEvent>, String>;
}

/// What a look at a target asks for.
#[derive(Clone, Debug)]
pub struct StatusPoll {
    /// The life of the target.
    pub target: TargetId,
    /// End of the lease to ask for, if it is to be renewed.
    pub lease_until_ms: Option<TargetTimeMs>,
    /// Ends up to this number are acknowledged.
    pub ends_seen: u64,
    /// How long the target may wait for an end.
    pub wait: Duration,
}

/// A target whose tasks run under a lease.
pub trait LeasedTarget: Clone + 'static {
    /// Orders the start of a task; also returns the target's clock.
    fn start(
        &self,
        start: &StartRequest,
    ) -> impl Future<Output = (StartReply, Option<TargetTimeMs>)>;

    /// Orders the end of a run; returns the target's clock, or none without an answer.
    fn stop(&self, stop: &StopOrder) -> impl Future<Output = Option<TargetTimeMs>>;

    /// Looks at what runs and what has ended, and renews the lease.
    fn poll_status(
        &self,
        order: &StatusPoll,
    ) -> impl Future<Output = Result<TargetStatus, PollError>>;
}

/// A stream of keyed records in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Stream {
    /// What operators publish; read only.
    Configuration,
    /// Addresses of entries.
    Entries,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its key.
    pub key: String,
    /// Its value; empty if the key was dropped.
    pub value: Vec<u8>,
}

/// Records, and where to go on reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordPage {
    /// The records, oldest first.
    pub records: Vec<KeyedRecord>,
    /// Offset of the record after them.
    pub next_offset: u64,
}

/// Why a call to the store brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StoreError {
    /// The records asked for are no longer kept.
    Expired,
    /// The store refuses for now.
    Refused,
    /// No usable answer came; a write may have been done.
    NoAnswer,
}

/// The platform's store.
pub trait SiteStore: Clone + 'static {
    /// Returns the newest record of each key.
    fn newest(&self, stream: Stream) -> impl Future<Output = Result<RecordPage, StoreError>>;

    /// Returns records from an offset on, as soon as there are any or after `wait`.
    fn follow(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<RecordPage, StoreError>>;

    /// Writes a record; an empty value drops the key.
    fn put(
        &self,
        stream: Stream,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Returns the key of the record that holds the routes.
    fn routes_key(&self) -> &'static str;

    /// Reads the routes in a configuration record; none if the record has another key.
    ///
    /// # Errors
    ///
    /// Returns the fault of a record that cannot be read.
    fn decode_routes(&self, record: &KeyedRecord) -> Result<Option<RoutingTable>, String>;
}

/// Returns a refusal's time to come back, in whole seconds and at least one.
pub fn retry_after_s(retry_after: Duration) -> u64 {
    retry_after.as_secs_f64().ceil().max(1.0) as u64
}
