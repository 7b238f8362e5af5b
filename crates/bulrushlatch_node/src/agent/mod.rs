//! Process that runs tasks at one target.
//!
//! - [`flags`]: command line
//! - `cordon_follower`: cordoned zones, from entries or the store
//! - [`links`]: links to entries
//! - [`target_driver`]: orders and status polls to the target

mod cordon_follower;
pub mod flags;
pub mod links;
pub mod target_driver;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bulrushlatch_dispatch::{
    agent::{Agent, TargetOrder, target::TargetId},
    clock::{BootClock, BootTime},
    ids::{LinkId, ProcessId},
};
use bulrushlatch_runtime::start_error::StartError;
use error_stack::{Report, ResultExt};
use hyper::StatusCode;
use prometheus_client::registry::Registry;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    boot_clock::SystemBootClock,
    http_server::{self, ServerHandler, ServerRequest, text_response},
    interface::{AnnouncementInterface, BodyResponse, LeasedTarget, SiteStore, TargetEvent},
    link::{Frame, LinkSender},
    link_manager::{LinkManager, maintain_links},
    metrics::{self, MetricsSource},
    settings::AgentSettings,
    signals::watch_signals,
};

/// Interval between calls of [`Agent::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Shortest time between frames to one entry; a report, an unsent profile or a changed `accepts` is
/// sent at once.
const MIN_FRAME_INTERVAL: Duration = Duration::from_millis(8);
/// Time reserved at the end of the grace period, so that the process ends before SIGKILL.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(600);
/// Time for which links stay open at the end of the shutdown, so that entries receive the last
/// frames, which say that the agent accepts no tasks.
const SHUTDOWN_LINGER: Duration = Duration::from_millis(100);

/// Agent process: the state machine [`Agent`], the `core`, with its target, links and store.
pub struct AgentProcess<T, A, S> {
    settings: AgentSettings,
    id: ProcessId,
    clock: SystemBootClock,
    target: T,
    announcement_interface: A,
    store: S,
    core: RefCell<Agent>,
    links: RefCell<BTreeMap<LinkId, LinkSender>>,
    link_manager: LinkManager,
    /// Id given to the newest link.
    last_link: Cell<LinkId>,
    /// Links to entries that follow the operators' stream.
    current_links: RefCell<BTreeSet<LinkId>>,
    /// Wakes [`AgentProcess::follow_cordons`].
    current_links_changed: Notify,
    /// Wakes [`AgentProcess::send_pending_updates`].
    update_pending: Notify,
    /// Wakes [`AgentProcess::poll_target`].
    target_found: Notify,
    /// Address in the last announcement that differed from the one in the settings.
    unexpected_address: Cell<Option<SocketAddr>>,
}

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> AgentProcess<T, A, S> {
    /// Runs an agent until its token is cancelled and it has drained.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be listened on or signal handlers cannot be installed.
    pub async fn run(
        settings: AgentSettings,
        target: T,
        announcement_interface: A,
        store: S,
        token: CancellationToken,
    ) -> Result<(), Report<StartError>> {
        watch_signals(token.clone()).change_context(StartError::ProcessSetup)?;
        let listener = http_server::listen(settings.announcement_listen)
            .await
            .change_context(StartError::BindHttpAddress(settings.announcement_listen))?;
        let common = &settings.common;
        let clock = SystemBootClock;
        let mut core = Agent::new(common.timing, clock.now());
        core.set_max_start_wait(settings.max_start_wait);
        core.set_demand_exchange(common.demand_exchange);
        let process = Rc::new(Self {
            id: ProcessId { name: common.name.clone(), incarnation: fastrand::u64(1..) },
            clock,
            target,
            announcement_interface,
            store,
            core: RefCell::new(core),
            links: RefCell::default(),
            link_manager: LinkManager::new(&common.seeds, None),
            last_link: Cell::new(0),
            current_links: RefCell::default(),
            current_links_changed: Notify::new(),
            update_pending: Notify::new(),
            target_found: Notify::new(),
            unexpected_address: Cell::new(None),
            settings,
        });
        tracing::info!(process = %process.id, zone = %process.settings.common.zone, "agent started");
        let handler = Rc::new(AnnouncementHandler { process: Rc::clone(&process) });
        tokio::task::spawn_local(http_server::serve(listener, handler));
        tokio::task::spawn_local(maintain_links(Rc::clone(&process)));
        tokio::task::spawn_local(Rc::clone(&process).read_entries());
        tokio::task::spawn_local(Rc::clone(&process).follow_cordons());
        tokio::task::spawn_local(Rc::clone(&process).poll_target());
        tokio::task::spawn_local(Rc::clone(&process).send_pending_updates());
        metrics::serve(&process, process.settings.common.metrics_listen).await;
        while !token.is_cancelled() {
            process.with_core(|core, now| core.tick(now));
            process.close_silent_links();
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        process.shut_down().await;
        Ok(())
    }

    /// Logs the address that the target announces if it differs from the one in the settings, once
    /// for each such address.
    fn check_announced_address(&self, target: &TargetId, address: SocketAddr) {
        if address == self.settings.target {
            return;
        }
        if self.unexpected_address.replace(Some(address)) != Some(address) {
            tracing::info!(
                %target, %address, configured = %self.settings.target,
                "target announces an address that differs from the configured one"
            );
        }
    }

    /// Calls `action` on the state machine, then carries out the orders and sends the frames that
    /// result.
    fn with_core<R>(self: &Rc<Self>, action: impl FnOnce(&mut Agent, BootTime) -> R) -> R {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        let result = action(&mut core, now);
        let orders = core.take_orders();
        drop(core);
        for order in orders {
            let process = Rc::clone(self);
            match order {
                TargetOrder::Start(task) => {
                    tokio::task::spawn_local(async move { process.start_task(task).await });
                }
                TargetOrder::Stop(stop) => {
                    tokio::task::spawn_local(async move { process.stop_run(stop).await });
                }
            }
        }
        self.send_frames();
        result
    }

    fn send_frames(&self) {
        let now = self.clock.now();
        let crashes = self.core.borrow_mut().take_crash_notices();
        let frames = self.core.borrow_mut().frames(now, MIN_FRAME_INTERVAL);
        let summaries = self.core.borrow_mut().take_demand_summaries();
        for (link, notice) in crashes {
            self.send(link, Frame::Crashes(notice));
        }
        for (link, frame) in frames {
            self.send(link, Frame::Agent(frame));
        }
        // These are written with the same flush as the frames before them.
        for (link, summary) in summaries {
            self.send(link, Frame::DemandSummary(summary));
        }
        if self.core.borrow().has_pending_update() {
            self.update_pending.notify_one();
        }
    }

    /// Sends a frame; closes the link if it does not accept it.
    fn send(&self, link: LinkId, frame: Frame) {
        let mut links = self.links.borrow_mut();
        let is_sent = links.get(&link).is_some_and(|sender| sender.send(frame));
        if !is_sent {
            links.remove(&link);
        }
    }

    /// Sends pending updates after a short delay, so that updates close together share a frame.
    async fn send_pending_updates(self: Rc<Self>) {
        loop {
            self.update_pending.notified().await;
            tokio::time::sleep(MIN_FRAME_INTERVAL).await;
            self.send_frames();
        }
    }

    async fn shut_down(self: &Rc<Self>) {
        let end = self.clock.now() + self.settings.common.grace.saturating_sub(SHUTDOWN_RESERVE);
        tracing::info!("shutdown begun");
        self.with_core(|core, _| core.begin_shutdown());
        loop {
            self.with_core(|core, now| core.tick(now));
            let is_idle = self.core.borrow().is_idle();
            if is_idle || self.clock.now() >= end {
                break;
            }
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        tokio::time::sleep(SHUTDOWN_LINGER).await;
        let is_idle = self.core.borrow().is_idle();
        tracing::info!(is_idle, "agent stopped");
    }
}

/// Handles announcements from the target.
struct AnnouncementHandler<T, A, S> {
    process: Rc<AgentProcess<T, A, S>>,
}

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> ServerHandler
    for AnnouncementHandler<T, A, S>
{
    async fn handle(self: Rc<Self>, request: ServerRequest) -> BodyResponse {
        let process = &self.process;
        let event =
            process.announcement_interface.decode(&request.method, &request.path, &request.body);
        match event {
            Ok(Some(TargetEvent::Announced { announcement, address })) => {
                process.check_announced_address(&announcement.id, address);
                process.with_core(|core, _| core.handle_announcement(announcement));
                process.target_found.notify_one();
                text_response(StatusCode::OK, "{}")
            }
            Ok(Some(TargetEvent::Left(id))) => {
                process.with_core(|core, now| core.handle_departure(now, &id));
                text_response(StatusCode::OK, "{}")
            }
            Ok(None) => text_response(StatusCode::NOT_FOUND, "no such path"),
            Err(error) => {
                tracing::info!(
                    path = %request.path, fault = %error,
                    "announcement cannot be decoded"
                );
                text_response(StatusCode::BAD_REQUEST, error)
            }
        }
    }
}

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> MetricsSource
    for AgentProcess<T, A, S>
{
    fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("bulrushlatch_agent");
        let core = self.core.borrow();
        let counters = core.counters();
        metrics::add_counters(
            &mut registry,
            &[
                ("start_orders", "Start orders taken", counters.starts),
                (
                    "queued_starts",
                    "Start orders that waited for a run to end",
                    counters.queued_starts,
                ),
                (
                    "starts_from_queue",
                    "Start orders taken after they had waited",
                    counters.started_from_queue,
                ),
                ("done_runs", "Runs that were done", counters.done),
                ("failed_runs", "Runs that failed", counters.failed),
                ("stopped_runs", "Runs that were stopped", counters.stopped),
                ("lost_runs", "Runs whose lease or target ended", counters.lost),
                ("target_crashes", "Targets that ended without leaving", counters.target_crashes),
                ("fruitless_starts", "Start orders that began nothing", counters.not_started),
                ("orphaned_runs", "Runs stopped as their entry fell silent", counters.orphaned),
                (
                    "unknown_runs",
                    "Runs at the target ordered by nobody here",
                    counters.unknown_runs,
                ),
                ("withheld_renewals", "Times the lease was withheld", counters.withheld_renewals),
                ("demand_statements", "Statements of demand taken", counters.demand_statements),
                ("demand_summaries", "Summaries of demand sent", counters.demand_summaries),
                ("invalid_demand", "Invalid statements of demand dropped", counters.invalid_demand),
            ],
        );
        metrics::add_gauges(
            &mut registry,
            &[
                ("links", "Open links to entries", self.links.borrow().len() as u64),
                (
                    "cordoned_zones",
                    "Zones that receive no new tasks",
                    core.cordons().zones.len() as u64,
                ),
                ("demand_entries", "Entries whose demand is known", core.demand_entries() as u64),
            ],
        );
        registry
    }
}
