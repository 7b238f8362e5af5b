//! Starts, runs and shuts down the entry process.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    thread,
    time::{Duration, Instant},
};

use bulrushlatch_core::{
    clock::SystemClock,
    connection::placement::ZoneFirst,
    effect::Effect,
    message::Envelope,
    process::{entry::Entry, membership::EntryIdentity},
};
use bulrushlatch_log::{
    http_log::HttpLog,
    platform_log::{LogPage, StreamName},
};
use bulrushlatch_protocol::{
    change::Change,
    ids::{Incarnation, Offset, SubmissionId},
    submission::Submission,
};
use bulrushlatch_runtime::{
    log_io::{PendingAppend, StreamFollower, follow_stream, spawn_appender},
    outbox::Outbox,
    peer_api::{EnvelopeReceiver, PeerListener},
    start_error::StartError,
    web::{Responder, serve_http},
};
use crossbeam::channel::Sender;
use error_stack::{Report, ResultExt};
use tokio_util::sync::CancellationToken;

use crate::{
    pending_requests::PendingRequests,
    publishing::{ChangeActions, PendingChanges},
    settings::EntrySettings,
};

/// Time between ticks of the entry, which do what has come due.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Time between checks of whether the entry has finished its work.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which an entry keeps running after its work is finished, to report what it knows to
/// the new owners.
const EXIT_DELAY: Duration = Duration::from_millis(1500);

/// The entry state machine on the system clock with zone-first placement.
pub type RunningEntry = Entry<SystemClock, ZoneFirst>;

/// An entry with its connections to callers, other processes and the platform's log.
pub struct EntryProcess {
    settings: EntrySettings,
    entry: RunningEntry,
    outbox: Outbox,
    appender: Sender<PendingAppend>,
    pending_requests: PendingRequests,
    pending_changes: PendingChanges,
    addresses: OnceLock<EntryAddresses>,
}

/// Addresses of a running entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Address for other processes.
    pub peers: SocketAddr,
}

/// A started entry; it runs until its token is cancelled and its work is finished.
pub struct StartedEntry {
    /// The running entry.
    pub process: Arc<EntryProcess>,
    /// Addresses of the entry.
    pub addresses: EntryAddresses,
    main_thread: thread::JoinHandle<()>,
}

impl StartedEntry {
    /// Waits until the entry has shut down.
    pub fn join(self) {
        // The panic hook has printed a panic of the main thread already.
        let _ = self.main_thread.join();
    }
}

impl EntryProcess {
    /// Binds the addresses and starts the threads of an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the address for callers or for other processes cannot be bound.
    pub fn start(
        settings: EntrySettings,
        runtime: &tokio::runtime::Handle,
        token: CancellationToken,
    ) -> Result<StartedEntry, Report<StartError>> {
        let listener = runtime
            .block_on(PeerListener::bind(settings.peer_listen))
            .change_context(StartError::BindPeerAddress(settings.peer_listen))?;
        let peer_address = settings.advertise.unwrap_or(listener.address());
        let log = Arc::new(HttpLog::new(settings.log_url.clone()));
        let process = Arc::new(Self {
            entry: new_entry(&settings, peer_address),
            outbox: Outbox::new(runtime.clone(), peer_address),
            appender: spawn_appender(Arc::clone(&log)),
            pending_requests: PendingRequests::default(),
            pending_changes: PendingChanges::default(),
            addresses: OnceLock::new(),
            settings,
        });
        let peer_server = {
            let _guard = runtime.enter();
            let server = listener.serve(Arc::clone(&process));
            server.change_context(StartError::BindPeerAddress(process.settings.peer_listen))?
        };
        for stream in [StreamName::Ownership, StreamName::Settings] {
            let interval = process.settings.log_interval;
            // The token is never cancelled: an entry that shuts down still has to read its removal
            // from the membership view.
            follow_stream(
                Arc::clone(&log),
                Arc::clone(&process),
                stream,
                interval,
                CancellationToken::new(),
            );
        }
        let caller_address = serve_http(
            runtime,
            process.settings.caller_listen,
            process.settings.max_body_bytes,
            Arc::clone(&process),
        )
        .change_context(StartError::BindHttpAddress(process.settings.caller_listen))?;
        let addresses = EntryAddresses { callers: caller_address, peers: peer_address };
        process.addresses.get_or_init(|| addresses);
        let main_process = Arc::clone(&process);
        let main_thread = thread::spawn(move || {
            main_process.run(&token);
            // Stopping only closes connections, and the process ends either way.
            let _ = peer_server.stop();
        });
        tracing::info!(
            name = %process.settings.name,
            callers = %addresses.callers,
            peers = %addresses.peers,
            "entry started"
        );
        Ok(StartedEntry { process, addresses, main_thread })
    }

    /// Returns the process settings that the entry was started with.
    pub fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Returns the entry state machine.
    pub fn entry(&self) -> &RunningEntry {
        &self.entry
    }

    /// Returns the outbox for messages to other processes.
    pub fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    /// Returns the number of requests that wait for their answers.
    pub fn pending_request_count(&self) -> usize {
        self.pending_requests.len()
    }

    /// Returns the addresses that the entry listens on, or `None` during the start.
    pub fn addresses(&self) -> Option<EntryAddresses> {
        self.addresses.get().copied()
    }

    /// Runs a submission; the request stays open until the answer is ready.
    pub fn submit(&self, responder: Responder, submission: Submission) {
        let ticket = self.pending_requests.add(responder);
        self.apply_action(|entry, effects| entry.submit(ticket, submission, effects));
    }

    /// Cancels a submission; the request stays open until the answer is ready.
    pub fn cancel(&self, responder: Responder, submission_id: SubmissionId) {
        let ticket = self.pending_requests.add(responder);
        self.apply_action(|entry, effects| entry.cancel(ticket, submission_id, effects));
    }

    /// Looks up the state of a submission; the request stays open until the answer is ready.
    pub fn lookup(&self, responder: Responder, submission_id: SubmissionId) {
        let ticket = self.pending_requests.add(responder);
        self.apply_action(|entry, effects| entry.lookup(ticket, submission_id, effects));
    }

    /// Publishes a settings change; the request stays open until the change has been read back
    /// from the platform's log.
    pub fn publish(&self, responder: Responder, change: Change) {
        self.pending_changes.add(responder, change);
        self.advance_pending_changes();
    }

    /// Calls the state machine and executes the effects that it requests.
    fn apply_action(&self, action: impl FnOnce(&RunningEntry, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        action(&self.entry, &mut effects);
        self.execute(effects);
    }

    fn execute(&self, effects: Vec<Effect>) {
        if effects.is_empty() {
            return;
        }
        let from: Incarnation = self.entry.incarnation();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.outbox.send(from, to, *message),
                Effect::Answer { ticket, answer } => self.pending_requests.answer(ticket, &answer),
                Effect::Append { stream, body } => self.append(PendingAppend { stream, body }),
                // Requested by agents only.
                Effect::Run(_) => {}
            }
        }
    }

    fn append(&self, append: PendingAppend) {
        // A full queue drops the record like a failed append: whoever needs it requests it again.
        let _ = self.appender.try_send(append);
    }

    fn advance_pending_changes(&self) {
        if self.pending_changes.is_empty() {
            return;
        }
        let ChangeActions { responses, appends } =
            self.pending_changes.advance(&self.entry.settings());
        for append in appends {
            self.append(append);
        }
        for (responder, response) in responses {
            responder.respond(response);
        }
    }

    fn run(&self, token: &CancellationToken) {
        while !token.is_cancelled() {
            self.tick();
            thread::sleep(TICK_INTERVAL);
        }
        tracing::info!(name = %self.settings.name, "entry leaving");
        self.entry.begin_shutdown();
        let shutdown_began = Instant::now();
        let mut finished_at: Option<Instant> = None;
        while shutdown_began.elapsed() < self.settings.drain_timeout {
            self.tick();
            thread::sleep(DRAIN_POLL_INTERVAL);
            let is_work_finished = self.entry.can_exit() && self.pending_requests.is_empty();
            finished_at = is_work_finished.then(|| finished_at.unwrap_or_else(Instant::now));
            if finished_at.is_some_and(|at| at.elapsed() >= EXIT_DELAY) {
                break;
            }
        }
        let is_clean = finished_at.is_some();
        tracing::info!(name = %self.settings.name, is_clean, "shutdown ended");
    }

    fn tick(&self) {
        self.apply_action(|entry, effects| entry.tick(effects));
        self.advance_pending_changes();
    }
}

impl EnvelopeReceiver for EntryProcess {
    fn receive(&self, envelope: Envelope) {
        self.apply_action(|entry, effects| entry.receive(envelope, effects));
    }
}

impl StreamFollower for EntryProcess {
    fn next_offset(&self, stream: StreamName) -> Offset {
        self.entry.next_offset(stream)
    }

    fn apply_page(&self, stream: StreamName, page: &LogPage) {
        let epoch_before = self.entry.view().epoch;
        let settings_offset_before = self.entry.next_offset(StreamName::Settings);
        self.apply_action(|entry, effects| entry.apply_page(stream, page, effects));
        self.log_changes(epoch_before, settings_offset_before);
        self.advance_pending_changes();
    }
}

impl EntryProcess {
    /// Logs a new membership epoch and each settings change decided at or after the given offset.
    fn log_changes(&self, epoch_before: u64, settings_offset_before: Offset) {
        let view = self.entry.view();
        if view.epoch != epoch_before {
            let members: Vec<&str> = view.members.values().map(|member| &*member.name).collect();
            tracing::info!(epoch = view.epoch, ?members, "membership changed");
        }
        let settings = self.entry.settings();
        for decision in
            settings.audit().rev().take_while(|decision| decision.offset >= settings_offset_before)
        {
            tracing::info!(
                offset = decision.offset,
                change_id = decision.change.change_id,
                team = %decision.change.team,
                author = decision.change.author,
                path = decision.change.path,
                key = %decision.change.key,
                outcome = ?decision.outcome,
                "change decided"
            );
        }
    }
}

fn new_entry(settings: &EntrySettings, address: SocketAddr) -> RunningEntry {
    let identity = EntryIdentity {
        incarnation: fastrand::u64(1..),
        name: settings.name.clone(),
        address,
        zone: settings.zone.clone(),
    };
    let placement_rules = (0..settings.shards).map(|_| ZoneFirst::new(fastrand::u64(..)));
    let limits = Arc::new(settings.limits.clone());
    Entry::new(SystemClock, identity, limits, settings.peers.clone(), placement_rules.collect())
}
