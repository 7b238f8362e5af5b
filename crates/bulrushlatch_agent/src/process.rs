//! Starting, running and ending the process.

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

/// Time between looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Largest body of a request for metrics.
const MAX_ADMIN_BODY_BYTES: usize = 1024;
/// Time for which an idle leaving agent still answers questions about its tasks.
const LINGER: Duration = Duration::from_millis(1500);

/// A running agent.
pub struct AgentProcess {
    settings: AgentSettings,
    agent: Mutex<Agent>,
    outbox: Outbox,
    runners: Sender<Box<StartTask>>,
}

/// A started agent; it runs until its token is cancelled and it has drained.
pub struct StartedAgent {
    /// The process.
    pub process: Arc<AgentProcess>,
    /// Where other processes reach it.
    pub peers: SocketAddr,
    main_thread: thread::JoinHandle<()>,
}

impl StartedAgent {
    /// Waits until the agent has shut down.
    pub fn join(self) {
        // A panic of the main thread has been printed already.
        let _ = self.main_thread.join();
    }
}

impl AgentProcess {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub fn start(
        settings: AgentSettings,
        runtime: &tokio::runtime::Handle,
        token: CancellationToken,
    ) -> Result<StartedAgent, Report<StartError>> {
        let listener = runtime
            .block_on(PeerListener::bind(settings.peer_listen))
            .change_context(StartError::PeerListen(settings.peer_listen))?;
        let peers = settings.advertise.unwrap_or(listener.address());
        let (runners, tasks) = unbounded::<Box<StartTask>>();
        let process = Arc::new(Self {
            agent: Mutex::new(new_agent(&settings, peers)),
            outbox: Outbox::new(runtime.clone(), peers),
            runners,
            settings,
        });
        let peer_server = {
            let _guard = runtime.enter();
            let served = listener.serve(Arc::clone(&process));
            served.change_context(StartError::PeerListen(process.settings.peer_listen))?
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
                    process.act(|agent, effects| {
                        let (id, index) = (&placement.submission_id, placement.index);
                        agent.finish_task(Instant::now(), id, index, outcome, effects);
                    });
                }
            });
        }
        if let Some(listen) = process.settings.admin_listen {
            serve_http(runtime, listen, MAX_ADMIN_BODY_BYTES, Arc::clone(&process))
                .change_context(StartError::HttpListen(listen))?;
        }
        let main = Arc::clone(&process);
        let main_thread = thread::spawn(move || {
            main.run(&token);
            // Stopping only closes connections; the process is over either way.
            let _ = peer_server.stop();
        });
        tracing::info!(name = %process.settings.name, %peers, "agent started");
        Ok(StartedAgent { process, peers, main_thread })
    }

    /// Returns the settings.
    pub fn settings(&self) -> &AgentSettings {
        &self.settings
    }

    /// Locks the decisions.
    pub fn agent(&self) -> MutexGuard<'_, Agent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the sender of messages.
    pub fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    fn act(&self, action: impl FnOnce(&mut Agent, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        let mut agent = self.agent();
        let was_leaving = agent.is_leaving();
        action(&mut agent, &mut effects);
        let is_leaving = agent.is_leaving();
        let incarnation = agent.incarnation();
        drop(agent);
        if was_leaving != is_leaving {
            tracing::info!(name = %self.settings.name, is_leaving, "agent changed state");
        }
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.outbox.send(incarnation, to, *message),
                Effect::Run(task) => {
                    // The runners live as long as the process.
                    let _ = self.runners.send(task);
                }
                Effect::Answer { .. } | Effect::Append { .. } => {}
            }
        }
    }

    fn run(&self, token: &CancellationToken) {
        while !token.is_cancelled() {
            self.act(|agent, effects| agent.tick(Instant::now(), effects));
            thread::sleep(TICK_INTERVAL);
        }
        self.act(|agent, effects| agent.begin_shutdown(Instant::now(), effects));
        let begun = Instant::now();
        let mut idle_since: Option<Instant> = None;
        while begun.elapsed() < self.settings.drain_timeout {
            self.act(|agent, effects| agent.tick(Instant::now(), effects));
            thread::sleep(TICK_INTERVAL);
            let is_idle = self.agent().is_idle();
            idle_since = is_idle.then(|| idle_since.unwrap_or_else(Instant::now));
            if idle_since.is_some_and(|since| since.elapsed() >= LINGER) {
                break;
            }
        }
        let is_clean = idle_since.is_some();
        tracing::info!(name = %self.settings.name, is_clean, "agent left");
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
        self.act(|agent, effects| agent.receive(Instant::now(), envelope, effects));
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
