//! Starts, runs and shuts down the agent process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use bulrushlatch_core::{
    effect::Effect,
    message::{AgentDescription, Envelope, StartTask},
    process::agent::Agent,
};
use bulrushlatch_runtime::{
    metrics_text::metrics_text,
    outbox::Outbox,
    peer_api::{EnvelopeReceiver, PeerListener},
    start_error::StartError,
    web::{WebHandler, WebRequest, serve_http, text_response},
};
use crossbeam::channel::{Sender, unbounded};
use error_stack::{Report, ResultExt};
use tokio_util::sync::CancellationToken;

use crate::{metrics, settings::AgentSettings, target::Target};

/// Time between ticks of the agent, which do what has come due.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Largest accepted body of a request at the admin address.
const MAX_ADMIN_BODY_BYTES: usize = 1024;
/// Time for which an idle, leaving agent keeps running, to answer queries about its tasks.
const EXIT_DELAY: Duration = Duration::from_millis(1500);

/// An agent with its connections to entries and its target.
pub struct AgentProcess {
    settings: AgentSettings,
    agent: Mutex<Agent>,
    outbox: Outbox,
    task_queue: Sender<Box<StartTask>>,
}

/// A started agent; it runs until its token is cancelled and it has drained.
pub struct StartedAgent {
    /// The running agent.
    pub process: Arc<AgentProcess>,
    /// Address under which other processes reach the agent.
    pub peer_address: SocketAddr,
    main_thread: thread::JoinHandle<()>,
}

impl StartedAgent {
    /// Waits until the agent has shut down.
    pub fn join(self) {
        // The panic hook has printed a panic of the main thread already.
        let _ = self.main_thread.join();
    }
}

impl AgentProcess {
    /// Binds the addresses and starts the threads of an agent.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer address or the admin address cannot be bound.
    pub fn start(
        settings: AgentSettings,
        runtime: &tokio::runtime::Handle,
        token: CancellationToken,
    ) -> Result<StartedAgent, Report<StartError>> {
        let listener = runtime
            .block_on(PeerListener::bind(settings.peer_listen))
            .change_context(StartError::BindPeerAddress(settings.peer_listen))?;
        let peer_address = settings.advertise.unwrap_or(listener.address());
        let (task_queue, tasks) = unbounded::<Box<StartTask>>();
        let process = Arc::new(Self {
            agent: Mutex::new(new_agent(&settings, peer_address)),
            outbox: Outbox::new(runtime.clone(), peer_address),
            task_queue,
            settings,
        });
        let peer_server = {
            let _guard = runtime.enter();
            let server = listener.serve(Arc::clone(&process));
            server.change_context(StartError::BindPeerAddress(process.settings.peer_listen))?
        };
        let target = Target::new(&process.settings.target_url, process.settings.connections);
        for _ in 0..process.settings.slots {
            let process = Arc::downgrade(&process);
            let tasks = tasks.clone();
            let target = target.clone();
            thread::spawn(move || {
                for task in tasks {
                    let outcome = target.run(&task);
                    let Some(process) = process.upgrade() else { return };
                    let placement = &task.placement;
                    process.apply_action(|agent, effects| {
                        let (id, index) = (&placement.submission_id, placement.index);
                        agent.finish_task(Instant::now(), id, index, outcome, effects);
                    });
                }
            });
        }
        if let Some(listen) = process.settings.admin_listen {
            serve_http(runtime, listen, MAX_ADMIN_BODY_BYTES, Arc::clone(&process))
                .change_context(StartError::BindHttpAddress(listen))?;
        }
        let main_process = Arc::clone(&process);
        let main_thread = thread::spawn(move || {
            main_process.run(&token);
            // Stopping only closes connections, and the process ends either way.
            let _ = peer_server.stop();
        });
        tracing::info!(name = %process.settings.name, peers = %peer_address, "agent started");
        Ok(StartedAgent { process, peer_address, main_thread })
    }

    /// Returns the process settings that the agent was started with.
    pub fn settings(&self) -> &AgentSettings {
        &self.settings
    }

    /// Locks and returns the agent state machine.
    pub fn agent(&self) -> MutexGuard<'_, Agent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the outbox for messages to other processes.
    pub fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    /// Calls the state machine and executes the effects that it requests.
    fn apply_action(&self, action: impl FnOnce(&mut Agent, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        let mut agent = self.agent();
        let was_leaving = agent.is_leaving();
        action(&mut agent, &mut effects);
        let is_leaving = agent.is_leaving();
        let incarnation = agent.incarnation();
        drop(agent);
        if was_leaving != is_leaving {
            tracing::info!(name = %self.settings.name, is_leaving, "acceptance of tasks changed");
        }
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.outbox.send(incarnation, to, *message),
                Effect::Run(task) => {
                    // The worker threads hold the receiver as long as the process lives.
                    let _ = self.task_queue.send(task);
                }
                // Requested by entries only.
                Effect::Answer { .. } | Effect::Append { .. } => {}
            }
        }
    }

    fn run(&self, token: &CancellationToken) {
        while !token.is_cancelled() {
            self.apply_action(|agent, effects| agent.tick(Instant::now(), effects));
            thread::sleep(TICK_INTERVAL);
        }
        self.apply_action(|agent, effects| agent.begin_shutdown(Instant::now(), effects));
        let shutdown_began = Instant::now();
        let mut idle_since: Option<Instant> = None;
        while shutdown_began.elapsed() < self.settings.drain_timeout {
            self.apply_action(|agent, effects| agent.tick(Instant::now(), effects));
            thread::sleep(TICK_INTERVAL);
            let is_idle = self.agent().is_idle();
            idle_since = is_idle.then(|| idle_since.unwrap_or_else(Instant::now));
            if idle_since.is_some_and(|since| since.elapsed() >= EXIT_DELAY) {
                break;
            }
        }
        let is_clean = idle_since.is_some();
        tracing::info!(name = %self.settings.name, is_clean, "shutdown ended");
    }
}

impl WebHandler for AgentProcess {
    fn handle(&self, request: WebRequest) {
        let response = match request.path.as_str() {
            "/healthz" => text_response(200, "ok"),
            "/metrics" => text_response(200, metrics_text(&metrics::registry(self))),
            _ => text_response(404, "no such path"),
        };
        request.responder.respond(response);
    }
}

impl EnvelopeReceiver for AgentProcess {
    fn receive(&self, envelope: Envelope) {
        self.apply_action(|agent, effects| agent.receive(Instant::now(), envelope, effects));
    }
}

fn new_agent(settings: &AgentSettings, address: SocketAddr) -> Agent {
    let description = AgentDescription {
        name: settings.name.clone(),
        address,
        zone: settings.zone.clone(),
        service: settings.service.clone(),
        slots: settings.slots,
        previous_incarnations: Vec::new(),
    };
    let limits = Arc::new(settings.limits.clone());
    let incarnation = fastrand::u64(1..);
    Agent::new(incarnation, description, limits, settings.entries.clone(), Instant::now())
}
