//! The process beside a target.
//!
//! - [`flags`]: the command line
//! - [`links`]: links to entries
//! - [`target_driver`]: orders and looks at the target

pub mod flags;
pub mod links;
pub mod target_driver;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
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
    link_manager::{LinkKeeper, keep_links},
    metrics::{self, MetricsSource},
    settings::AgentSettings,
    signals::watch_signals,
};

/// Time between looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Shortest pause between two frames to one entry that carry no report.
const NEWS_PAUSE: Duration = Duration::from_millis(8);
/// Kept free at the end of the grace.
const LAST_MOMENT: Duration = Duration::from_millis(600);
/// Time for which an idle leaving agent still tells its entries that it takes nothing.
const LINGER: Duration = Duration::from_millis(100);

/// A running agent.
pub struct AgentProcess<T, A, S> {
    settings: AgentSettings,
    process: ProcessId,
    clock: SystemBootClock,
    target: T,
    announcements: A,
    store: S,
    core: RefCell<Agent>,
    links: RefCell<BTreeMap<LinkId, LinkSender>>,
    keeper: LinkKeeper,
    last_link: Cell<LinkId>,
    /// Wakes the sender of news.
    news: Notify,
    /// Wakes the look at the target.
    target_found: Notify,
    /// Address in the last announcement that was not the one in the settings.
    elsewhere: Cell<Option<SocketAddr>>,
}

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> AgentProcess<T, A, S> {
    /// Runs an agent until its token is cancelled and it has drained.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub async fn run(
        settings: AgentSettings,
        target: T,
        announcements: A,
        store: S,
        token: CancellationToken,
    ) -> Result<(), Report<StartError>> {
        watch_signals(token.clone()).change_context(StartError::System)?;
        let listener = http_server::listen(settings.announcement_listen)
            .await
            .change_context(StartError::HttpListen(settings.announcement_listen))?;
        let common = &settings.common;
        let process = Rc::new(Self {
            process: ProcessId { name: common.name.clone(), incarnation: fastrand::u64(1..) },
            clock: SystemBootClock,
            target,
            announcements,
            store,
            core: RefCell::new(Agent::new(common.timing)),
            links: RefCell::default(),
            keeper: LinkKeeper::new(&common.seeds, None),
            last_link: Cell::new(0),
            news: Notify::new(),
            target_found: Notify::new(),
            elsewhere: Cell::new(None),
            settings,
        });
        tracing::info!(process = %process.process, zone = %process.settings.common.zone, "agent started");
        let handler = Rc::new(AnnouncementHandler { process: Rc::clone(&process) });
        tokio::task::spawn_local(http_server::serve(listener, handler));
        tokio::task::spawn_local(keep_links(Rc::clone(&process)));
        tokio::task::spawn_local(Rc::clone(&process).read_entries());
        tokio::task::spawn_local(Rc::clone(&process).look_at_target());
        tokio::task::spawn_local(Rc::clone(&process).send_news());
        metrics::serve(&process, process.settings.common.metrics_listen).await;
        while !token.is_cancelled() {
            process.act(|core, now| core.tick(now));
            process.drop_silent_links();
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        process.shut_down().await;
        Ok(())
    }

    /// Logs where the target says it is, once for each address that is not the one in the settings.
    fn note_address(&self, target: &TargetId, address: Option<SocketAddr>) {
        let elsewhere = address.filter(|address| *address != self.settings.target);
        if elsewhere.is_some() && self.elsewhere.replace(elsewhere) != elsewhere {
            tracing::info!(%target, address = ?elsewhere, "target says that it is elsewhere");
        }
    }

    /// Lets the decisions act, then does what they want done.
    fn act<R>(self: &Rc<Self>, action: impl FnOnce(&mut Agent, BootTime) -> R) -> R {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        let result = action(&mut core, now);
        let orders = core.take_orders();
        drop(core);
        for order in orders {
            let process = Rc::clone(self);
            match order {
                TargetOrder::Start(task) => {
                    tokio::task::spawn_local(async move { process.start(task).await });
                }
                TargetOrder::Stop(stop) => {
                    tokio::task::spawn_local(async move { process.stop(stop).await });
                }
            }
        }
        self.send_frames();
        result
    }

    fn send_frames(&self) {
        let now = self.clock.now();
        let frames = self.core.borrow_mut().frames(now, NEWS_PAUSE);
        for (link, frame) in frames {
            let mut links = self.links.borrow_mut();
            let is_sent = links.get(&link).is_some_and(|it| it.send(Frame::Agent(frame)));
            if !is_sent {
                links.remove(&link);
            }
        }
        if self.core.borrow().has_pending_update() {
            self.news.notify_one();
        }
    }

    /// Sends news a moment after it came up, so that changes close together share a frame.
    async fn send_news(self: Rc<Self>) {
        loop {
            self.news.notified().await;
            tokio::time::sleep(NEWS_PAUSE).await;
            self.send_frames();
        }
    }

    async fn shut_down(self: &Rc<Self>) {
        let end = self.clock.now() + self.settings.common.grace.saturating_sub(LAST_MOMENT);
        tracing::info!("shutdown begun");
        self.act(|core, _| core.begin_shutdown());
        loop {
            self.act(|core, now| core.tick(now));
            let is_idle = self.core.borrow().is_idle();
            if is_idle || self.clock.now() >= end {
                break;
            }
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        tokio::time::sleep(LINGER).await;
        let is_idle = self.core.borrow().is_idle();
        tracing::info!(is_idle, "agent stopped");
    }
}

/// Takes announcements of the target.
struct AnnouncementHandler<T, A, S> {
    process: Rc<AgentProcess<T, A, S>>,
}

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> ServerHandler
    for AnnouncementHandler<T, A, S>
{
    async fn handle(self: Rc<Self>, request: ServerRequest) -> BodyResponse {
        let process = &self.process;
        let news = process.announcements.decode(&request.method, &request.path, &request.body);
        match news {
            Ok(Some(TargetEvent::Announced { announcement, address })) => {
                process.note_address(&announcement.id, address);
                process.act(|core, _| core.handle_announcement(announcement));
                process.target_found.notify_one();
                text_response(StatusCode::OK, "{}")
            }
            Ok(Some(TargetEvent::Left(id))) => {
                process.act(|core, now| core.handle_departure(now, &id));
                text_response(StatusCode::OK, "{}")
            }
            Ok(None) => text_response(StatusCode::NOT_FOUND, "no such path"),
            Err(fault) => {
                tracing::info!(path = %request.path, %fault, "announcement cannot be read");
                text_response(StatusCode::BAD_REQUEST, fault)
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
                ("done_runs", "Runs that were done", counters.done),
                ("failed_runs", "Runs that failed", counters.failed),
                ("stopped_runs", "Runs that were stopped", counters.stopped),
                ("lost_runs", "Runs whose lease or target ended", counters.lost),
                ("fruitless_starts", "Start orders that began nothing", counters.not_started),
                ("orphaned_runs", "Runs stopped as their entry fell silent", counters.orphaned),
                (
                    "unknown_runs",
                    "Runs at the target ordered by nobody here",
                    counters.unknown_runs,
                ),
                ("withheld_renewals", "Looks without renewal", counters.withheld_renewals),
            ],
        );
        metrics::add_gauges(
            &mut registry,
            &[("links", "Open links to entries", self.links.borrow().len() as u64)],
        );
        registry
    }
}
