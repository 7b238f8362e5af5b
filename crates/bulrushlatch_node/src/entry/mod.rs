//! Process that accepts jobs.
//!
//! - [`flags`]: command line
//! - [`callers`]: requests from callers
//! - [`links`]: links to agents and other entries
//! - `configuration_exchange`: configurations that entries send each other
//! - `delegation`: jobs that other entries carry out, and jobs carried out for them
//! - `cordon_notices`: cordoned zones, from the store to all linked processes
//! - [`encoded_configuration`]: the form in which they are sent
//! - `metric_values`: values of the metrics
//! - [`store_watch`]: configuration and addresses from the platform's store

pub mod callers;
mod configuration_exchange;
mod cordon_notices;
mod delegation;
pub mod encoded_configuration;
pub mod flags;
pub mod links;
mod metric_values;
pub mod store_watch;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bulrushlatch_dispatch::{
    clock::{BootClock, BootTime},
    configuration_fetch::ConfigurationFetch,
    delegation::DelegatedOutcome,
    entry::Entry,
    ids::{CallerId, LinkId, ProcessId},
    outcome::Answer,
    routing::RoutingTable,
    served_peers::ServedPeers,
};
use bulrushlatch_runtime::start_error::StartError;
use error_stack::{Report, ResultExt};
use prometheus_client::metrics::histogram::Histogram;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use self::encoded_configuration::EncodedConfiguration;
use crate::{
    boot_clock::SystemBootClock,
    busy_time::BusyTimer,
    http_server,
    interface::{CallerInterface, KeyedRecord, SiteStore, Stream},
    link::{Frame, LinkSender},
    link_manager::{LinkManager, maintain_links},
    metrics,
    queue_probe::QueueProbe,
    settings::EntrySettings,
    signals::watch_signals,
};

/// Interval between calls of [`Entry::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Share of the grace period in which new jobs are still accepted after SIGTERM, since the load
/// balancer needs a few seconds to route connections to other entries.
const SERVING_SHARE: f64 = 0.5;
/// Time reserved at the end of the grace period for writing the last answers.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(800);

/// Entry process: the state machine [`Entry`], the `core`, with its callers, links and store.
pub struct EntryProcess<C, S> {
    settings: EntrySettings,
    id: ProcessId,
    clock: SystemBootClock,
    caller_interface: C,
    store: S,
    core: RefCell<Entry>,
    links: RefCell<BTreeMap<LinkId, LinkSender>>,
    /// Links to other entries, with the process at the other end.
    peers: RefCell<BTreeMap<LinkId, ProcessId>>,
    pending_answers: RefCell<BTreeMap<CallerId, oneshot::Sender<Answer>>>,
    /// Callers of delegated jobs.
    pending_outcomes: RefCell<BTreeMap<CallerId, oneshot::Sender<DelegatedOutcome>>>,
    /// Wakes [`EntryProcess::send_delegation_frames`].
    delegation_ready: Notify,
    link_manager: LinkManager,
    /// Record of the configuration in force, as stored.
    configuration_record: RefCell<Option<KeyedRecord>>,
    /// The same record, encoded for other entries; may be of an earlier version.
    encoded_configuration: RefCell<Option<Rc<EncodedConfiguration>>>,
    configuration_fetch: RefCell<ConfigurationFetch>,
    /// Entries to which the configuration is being sent.
    served_peers: RefCell<ServedPeers>,
    /// When the operators' stream was last read successfully.
    operators_read_at: Cell<BootTime>,
    /// Whether that was recent, as told to linked processes.
    is_current: Cell<bool>,
    /// Discovered addresses that are yet to be sent on all links.
    unannounced_entries: RefCell<Vec<SocketAddr>>,
    /// Measures how long events wait for the process's thread.
    queue_probe: Rc<QueueProbe>,
    /// Wakes [`EntryProcess::announce_entries`].
    entry_discovered: Notify,
    /// Id given to the newest link or caller.
    last_id: Cell<u64>,
    /// Shutdown has begun; jobs are refused later, from [`Entry::begin_shutdown`] on.
    shutdown_begun: Cell<bool>,
    answer_latency: Histogram,
    configuration_read_errors: Cell<u64>,
}

impl<C: CallerInterface, S: SiteStore> EntryProcess<C, S> {
    /// Runs an entry until its token is cancelled and it has shut down.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be listened on or signal handlers cannot be installed.
    pub async fn run(
        settings: EntrySettings,
        caller_interface: C,
        store: S,
        token: CancellationToken,
    ) -> Result<(), Report<StartError>> {
        watch_signals(token.clone()).change_context(StartError::ProcessSetup)?;
        let caller_listener = http_server::listen(settings.caller_listen)
            .await
            .change_context(StartError::BindHttpAddress(settings.caller_listen))?;
        let ready_listener = http_server::listen(settings.ready_listen)
            .await
            .change_context(StartError::BindHttpAddress(settings.ready_listen))?;
        let link_listener = http_server::listen(settings.link_listen)
            .await
            .change_context(StartError::BindPeerAddress(settings.link_listen))?;
        let process = Rc::new(Self::new(settings, caller_interface, store));
        tracing::info!(process = %process.id, zone = %process.settings.common.zone, "entry started");
        let handler = Rc::new(callers::CallerHandler::new(&process));
        tokio::task::spawn_local(http_server::serve(caller_listener, Rc::clone(&handler)));
        tokio::task::spawn_local(http_server::serve(ready_listener, handler));
        tokio::task::spawn_local(Rc::clone(&process).accept_links(link_listener));
        tokio::task::spawn_local(maintain_links(Rc::clone(&process)));
        tokio::task::spawn_local(Rc::clone(&process).watch_configuration());
        tokio::task::spawn_local(Rc::clone(&process).watch_entries());
        tokio::task::spawn_local(Rc::clone(&process).announce_entries());
        tokio::task::spawn_local(Rc::clone(&process.queue_probe).run());
        if process.settings.delegation.is_some() {
            tokio::task::spawn_local(Rc::clone(&process).send_delegation_frames());
        }
        metrics::serve(&process, process.settings.common.metrics_listen).await;
        process.tick_until(&token).await;
        process.shut_down().await;
        Ok(())
    }

    fn new(settings: EntrySettings, caller_interface: C, store: S) -> Self {
        let common = &settings.common;
        let id = ProcessId { name: common.name.clone(), incarnation: fastrand::u64(1..) };
        let mut core = Entry::new(common.timing, common.zone.clone(), fastrand::u64(..));
        core.set_overload_control(settings.overload_control);
        if let Some(delegation) = settings.delegation {
            core.enable_delegation(delegation);
        }
        core.set_demand_exchange(common.demand_exchange);
        core.set_shortage_policy(settings.shortage_policy);
        core.set_speed_placement(settings.speed_placement);
        Self {
            id,
            clock: SystemBootClock,
            caller_interface,
            store,
            core: RefCell::new(core),
            links: RefCell::default(),
            peers: RefCell::default(),
            pending_answers: RefCell::default(),
            pending_outcomes: RefCell::default(),
            delegation_ready: Notify::new(),
            link_manager: LinkManager::new(&common.seeds, Some(settings.link_address)),
            configuration_record: RefCell::default(),
            encoded_configuration: RefCell::default(),
            configuration_fetch: RefCell::default(),
            served_peers: RefCell::default(),
            operators_read_at: Cell::new(BootTime::ZERO),
            is_current: Cell::new(false),
            unannounced_entries: RefCell::default(),
            queue_probe: Rc::default(),
            entry_discovered: Notify::new(),
            last_id: Cell::new(0),
            shutdown_begun: Cell::new(false),
            answer_latency: metrics::latency_histogram(),
            configuration_read_errors: Cell::new(0),
            settings,
        }
    }

    /// Calls `action` on the state machine, then sends the frames and answers that result.
    fn with_core<T>(&self, action: impl FnOnce(&mut Entry, BootTime) -> T) -> T {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        let result = action(&mut core, now);
        let frames = core.frames(now);
        let statements = core.take_demand_statements();
        let isolation = core.take_isolation_notice();
        let agent_isolation = core.take_agent_isolation_notices();
        let answers = core.take_answers();
        let outcomes = core.take_delegated_outcomes();
        let broken_links = core.take_broken_links();
        let has_delegation_frames = core.has_delegation_frames();
        drop(core);
        for (link, notice) in agent_isolation {
            self.send(link, Frame::Isolation(notice));
        }
        for (link, frame) in frames {
            self.send(link, Frame::Entry(frame));
        }
        // These are written with the same flush as the frames before them.
        for (link, statement) in statements {
            self.send(link, Frame::Demand(statement));
        }
        if let Some(notice) = isolation {
            self.send_to_peers(&Frame::Isolation(notice));
        }
        for (caller, answer) in answers {
            if let Some(sender) = self.pending_answers.borrow_mut().remove(&caller) {
                // Fails only if the caller has just disconnected and does not need the answer.
                let _ = sender.send(answer);
            }
        }
        self.finish_delegation(outcomes, broken_links, has_delegation_frames);
        result
    }

    /// Sends a frame; closes the link if it does not accept it.
    fn send(&self, link: LinkId, frame: Frame) {
        let mut links = self.links.borrow_mut();
        let is_sent = links.get(&link).is_some_and(|sender| sender.send(frame));
        if !is_sent {
            tracing::info!(link, "frame not accepted by the link: closing it");
            links.remove(&link);
        }
    }

    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    async fn tick_until(&self, token: &CancellationToken) {
        let mut timer = BusyTimer::start(self.clock.now());
        while !token.is_cancelled() {
            self.with_core(|core, now| core.tick(now));
            self.check_store_contact();
            tokio::time::sleep(TICK_INTERVAL).await;
            self.record_processor_load(&mut timer);
        }
    }

    fn record_processor_load(&self, timer: &mut BusyTimer) {
        let now = self.clock.now();
        let (elapsed, busy) = timer.end_period(now);
        let queueing_delay = self.queue_probe.delay(now);
        self.with_core(|core, _| core.record_processor_load(elapsed, busy, queueing_delay));
    }

    async fn shut_down(&self) {
        let grace = self.settings.common.grace;
        let started_at = self.clock.now();
        let serve_until = started_at + grace.mul_f64(SERVING_SHARE);
        let end = started_at + grace.saturating_sub(SHUTDOWN_RESERVE);
        tracing::info!(open_jobs = self.core.borrow().open_jobs(), "shutdown begun");
        self.shutdown_begun.set(true);
        let address = self.settings.link_address.to_string();
        let store = self.store.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = store.put(Stream::Entries, &address, &[]).await {
                tracing::info!(fault = %error, "own address not removed from the store");
            }
        });
        let mut timer = BusyTimer::start(started_at);
        loop {
            let now = self.clock.now();
            if now >= serve_until {
                self.with_core(|core, _| core.begin_shutdown());
            }
            self.with_core(|core, now| core.tick(now));
            let is_idle = self.core.borrow().open_jobs() == 0;
            if now >= end || (now >= serve_until && is_idle) {
                break;
            }
            tokio::time::sleep(TICK_INTERVAL).await;
            self.record_processor_load(&mut timer);
        }
        let open_jobs = self.core.borrow().open_jobs();
        self.with_core(|core, now| {
            core.stop_accepting();
            core.give_up_open_jobs(now);
        });
        // Leaves part of the reserve to write the answers that were just given; the rest is margin.
        tokio::time::sleep(SHUTDOWN_RESERVE / 4).await;
        tracing::info!(open_jobs, "entry stopped");
    }

    /// Applies a configuration if it is newer than the one in force, and advertises it.
    fn apply_configuration(&self, record: KeyedRecord, table: RoutingTable) {
        let is_newer = self.with_core(|core, _| core.configure(table));
        if is_newer {
            *self.configuration_record.borrow_mut() = Some(record);
            self.configuration_fetch.borrow_mut().reset();
            self.advertise_version();
        }
    }
}
