//! Starting, running and ending the process.

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
    publishing::{PendingChanges, PendingChangesStep},
    settings::EntrySettings,
};

/// Time between looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Time between looks at the drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a drained entry still tells the new owners what it knows.
const LINGER: Duration = Duration::from_millis(1500);

/// The decisions as the entry runs them.
pub type RunningEntry = Entry<SystemClock, ZoneFirst>;

/// A running entry.
pub struct EntryProcess {
    settings: EntrySettings,
    entry: RunningEntry,
    outbox: Outbox,
    appender: Sender<PendingAppend>,
    callers: PendingRequests,
    publishing: PendingChanges,
    addresses: OnceLock<EntryAddresses>,
}

/// Where a running entry listens.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// For callers and operators.
    pub callers: SocketAddr,
    /// For other processes.
    pub peers: SocketAddr,
}

/// A started entry; it runs until its token is cancelled and it has drained.
pub struct StartedEntry {
    /// The process.
    pub process: Arc<EntryProcess>,
    /// Where it listens.
    pub addresses: EntryAddresses,
    main_thread: thread::JoinHandle<()>,
}

impl StartedEntry {
    /// Waits until the entry has shut down.
    pub fn join(self) {
        // A panic of the main thread has been printed already.
        let _ = self.main_thread.join();
    }
}

impl EntryProcess {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub fn start(
        settings: EntrySettings,
        runtime: &tokio::runtime::Handle,
        token: CancellationToken,
    ) -> Result<StartedEntry, Report<StartError>> {
        let listener = runtime
            .block_on(PeerListener::bind(settings.peer_listen))
            .change_context(StartError::PeerListen(settings.peer_listen))?;
        let peer_address = settings.advertise.unwrap_or(listener.address());
        let log = Arc::new(HttpLog::new(settings.log_url.clone()));
        let process = Arc::new(Self {
            entry: new_entry(&settings, peer_address),
            outbox: Outbox::new(runtime.clone(), peer_address),
            appender: spawn_appender(Arc::clone(&log)),
            callers: PendingRequests::default(),
            publishing: PendingChanges::default(),
            addresses: OnceLock::new(),
            settings,
        });
        let peer_server = {
            let _guard = runtime.enter();
            let served = listener.serve(Arc::clone(&process));
            served.change_context(StartError::PeerListen(process.settings.peer_listen))?
        };
        for stream in [StreamName::Ownership, StreamName::Settings] {
            let interval = process.settings.log_interval;
            follow_stream(
                Arc::clone(&log),
                Arc::clone(&process),
                stream,
                interval,
                CancellationToken::new(),
            );
        }
        let callers = serve_http(
            runtime,
            process.settings.caller_listen,
            process.settings.max_body_bytes,
            Arc::clone(&process),
        )
        .change_context(StartError::HttpListen(process.settings.caller_listen))?;
        let addresses = EntryAddresses { callers, peers: peer_address };
        process.addresses.get_or_init(|| addresses);
        let main = Arc::clone(&process);
        let main_thread = thread::spawn(move || {
            main.run(&token);
            // Stopping only closes connections; the process is over either way.
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

    /// Returns the settings.
    pub fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Returns the decisions.
    pub fn entry(&self) -> &RunningEntry {
        &self.entry
    }

    /// Returns the sender of messages.
    pub fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    /// Returns the number of waiting requests.
    pub fn pending_request_count(&self) -> usize {
        self.callers.len()
    }

    /// Returns where the entry listens.
    pub fn addresses(&self) -> Option<EntryAddresses> {
        self.addresses.get().copied()
    }

    /// Runs a submission; the request waits for its answer.
    pub fn submit(&self, responder: Responder, submission: Submission) {
        let ticket = self.callers.wait(responder);
        self.act(|entry, effects| entry.submit(ticket, submission, effects));
    }

    /// Cancels a submission.
    pub fn cancel(&self, responder: Responder, submission_id: SubmissionId) {
        let ticket = self.callers.wait(responder);
        self.act(|entry, effects| entry.cancel(ticket, submission_id, effects));
    }

    /// Tells the state of a submission.
    pub fn lookup(&self, responder: Responder, submission_id: SubmissionId) {
        let ticket = self.callers.wait(responder);
        self.act(|entry, effects| entry.lookup(ticket, submission_id, effects));
    }

    /// Publishes a change; the request waits until the change is folded.
    pub fn publish(&self, responder: Responder, change: Change) {
        self.publishing.add(responder, change);
        self.step_publishing();
    }

    fn act(&self, action: impl FnOnce(&RunningEntry, &mut Vec<Effect>)) {
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
                Effect::Answer { ticket, answer } => self.callers.answer(ticket, &answer),
                Effect::Append { stream, body } => self.append(PendingAppend { stream, body }),
                Effect::Run(_) => {}
            }
        }
    }

    fn append(&self, append: PendingAppend) {
        // A full queue is like a lost append: whoever needs the record asks again.
        let _ = self.appender.try_send(append);
    }

    fn step_publishing(&self) {
        if self.publishing.is_empty() {
            return;
        }
        let PendingChangesStep { responses, appends } =
            self.publishing.step(&self.entry.settings());
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
        let begun = Instant::now();
        let mut drained_at: Option<Instant> = None;
        while begun.elapsed() < self.settings.drain_timeout {
            self.tick();
            thread::sleep(DRAIN_POLL_INTERVAL);
            let is_drained = self.entry.is_drained() && self.callers.is_empty();
            drained_at = is_drained.then(|| drained_at.unwrap_or_else(Instant::now));
            if drained_at.is_some_and(|at| at.elapsed() >= LINGER) {
                break;
            }
        }
        let is_clean = drained_at.is_some();
        tracing::info!(name = %self.settings.name, is_clean, "entry left");
    }

    fn tick(&self) {
        self.act(|entry, effects| entry.tick(effects));
        self.step_publishing();
    }
}

impl EnvelopeReceiver for EntryProcess {
    fn receive(&self, envelope: Envelope) {
        self.act(|entry, effects| entry.receive(envelope, effects));
    }
}

impl StreamFollower for EntryProcess {
    fn next_offset(&self, stream: StreamName) -> Offset {
        self.entry.next_offset(stream)
    }

    fn fold(&self, stream: StreamName, page: &LogPage) {
        let epoch_before = self.entry.view().epoch;
        let settings_before = self.entry.next_offset(StreamName::Settings);
        self.act(|entry, effects| entry.fold(stream, page, effects));
        self.log_changes(epoch_before, settings_before);
        self.step_publishing();
    }
}

impl EntryProcess {
    /// One line for each change of agreed state.
    fn log_changes(&self, epoch_before: u64, settings_before: Offset) {
        let view = self.entry.view();
        if view.epoch != epoch_before {
            let members: Vec<&str> = view.members.values().map(|member| &*member.name).collect();
            tracing::info!(epoch = view.epoch, ?members, "membership changed");
        }
        let settings = self.entry.settings();
        for entry in settings.audit().rev().take_while(|entry| entry.offset >= settings_before) {
            tracing::info!(
                offset = entry.offset,
                change_id = entry.change.change_id,
                team = %entry.change.team,
                author = entry.change.author,
                path = entry.change.path,
                key = %entry.change.key,
                outcome = ?entry.outcome,
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
    let rules = (0..settings.shards).map(|_| ZoneFirst::new(fastrand::u64(..)));
    let limits = Arc::new(settings.limits.clone());
    Entry::new(SystemClock, identity, limits, settings.peers.clone(), rules.collect())
}
