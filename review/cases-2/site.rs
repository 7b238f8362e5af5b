//! A small deployment on loopback addresses: a store, entries, and agents beside runners. Each machine has
//! an address of its own, as the ports are the same on all machines.

use std::{
    env, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Call, Response},
    record::Record,
    runner::{Runner, SERVICE, Start, Starts},
    store::Store,
};

const FRONT_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const APP_PORT: u16 = 8165;
const LINK_PORT: u16 = 7720;
const METRICS_PORT: u16 = 9464;
const STORE_PORT: u16 = 8169;
/// Entries that the settings name at most.
const MAX_SEEDS: usize = 3;
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/jobs/";

/// Bounds of the settings, as the users' small deployments have them.
pub const CANCEL_MS: u64 = 3_000;
pub const ACK_MS: u64 = 4_000;
pub const DRAIN_MS: u64 = 2_000;
pub const STOP_TIMEOUT_MS: u64 = 50;
const RETRANSMIT_MS: &str = "1300";
const HOLD_MAX_MS: &str = "1000";
const GRACE_S: &str = "6";
const LINK_MBPS: &str = "1000";

/// Processes that are ended with the case.
#[derive(Clone, Default)]
pub struct Processes(Arc<Mutex<Vec<Child>>>);

impl Processes {
    fn add(&self, child: Child) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(child);
    }

    pub fn kill_all(&self) {
        for mut child in self.0.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether any process has ended by itself.
    pub fn any_ended(&self) -> bool {
        let mut children = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        children.iter_mut().any(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

pub struct Site {
    network: u8,
    entries: usize,
    pub processes: Processes,
    pub record: Record,
    pub starts: Starts,
    pub store: Store,
    pub runners: Vec<Runner>,
}

impl Site {
    /// Starts a site; returns once all entries are ready.
    pub fn start(
        entries: usize,
        agents: usize,
        processes: &Processes,
        record: &Record,
    ) -> io::Result<Self> {
        let network = free_network()?;
        let store = Store::start(address(network, 3, 1, STORE_PORT))?;
        let mut site = Self {
            network,
            entries,
            processes: processes.clone(),
            record: record.clone(),
            starts: Starts::default(),
            store,
            runners: Vec::new(),
        };
        site.publish(1, &[PREFIX]);
        for entry in 0..entries {
            site.start_entry(entry)?;
        }
        for agent in 0..agents {
            let control = site.agent_address(agent, CONTROL_PORT);
            let app = site.agent_address(agent, APP_PORT);
            site.start_agent(agent)?;
            let id = format!("i-{agent}");
            let runner = Runner::start(&id, "zone-a", app, control, &site.starts, record)?;
            site.runners.push(runner);
        }
        let until = Instant::now() + START_TIMEOUT;
        while !(0..entries).all(|entry| site.is_ready(entry)) {
            if Instant::now() > until || processes.any_ended() {
                return Err(io::Error::other("the entries are not ready"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        // Leaves time for all links, and for every machine to be in touch.
        thread::sleep(Duration::from_secs(4));
        record.write(&format!("{entries} entries and {agents} agents are ready"));
        Ok(site)
    }

    fn entry_address(&self, entry: usize, port: u16) -> SocketAddr {
        address(self.network, 1, entry + 1, port)
    }

    fn agent_address(&self, agent: usize, port: u16) -> SocketAddr {
        address(self.network, 2, agent + 1, port)
    }

    fn seeds(&self) -> String {
        let seeds =
            (0..self.entries.min(MAX_SEEDS)).map(|entry| self.entry_address(entry, CONTROL_PORT));
        seeds.map(|seed| seed.to_string()).collect::<Vec<_>>().join(",")
    }

    /// Starts a program with the command and environment of the deploy file.
    fn start_program(
        &self,
        program: &str,
        name: &str,
        variables: &[(&str, String)],
    ) -> io::Result<()> {
        let root = env::current_dir()?;
        let mut command = Command::new(root.join("target/release").join(program));
        command.args(["--name", name, "--zone", "zone-a", "--link-port", &LINK_PORT.to_string()]);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(env::var(name).map(|value| (name, value)));
        }
        let store = address(self.network, 3, 1, STORE_PORT).to_string();
        command.env("BULRUSH_SEEDS", self.seeds()).env("BULRUSH_STORE", store);
        command.env("BULRUSH_RESEND_AFTER_MS", RETRANSMIT_MS);
        command.env("BULRUSH_LONGEST_LEASE_MS", HOLD_MAX_MS);
        command.env("BULRUSH_GRACE_S", GRACE_S);
        command.env("BULRUSH_DEMAND_EXCHANGE", "on");
        command.envs(variables.iter().map(|(name, value)| (*name, value.as_str())));
        // For a look at what the programs log; not set when the case is run as a case.
        let output = match env::var("CASES_LOG_DIRECTORY") {
            Ok(directory) => {
                let path = PathBuf::from(directory).join(format!("{name}.log"));
                Stdio::from(std::fs::File::options().create(true).append(true).open(path)?)
            }
            Err(_) => Stdio::null(),
        };
        command.stdin(Stdio::null()).stdout(output);
        self.processes.add(command.spawn()?);
        Ok(())
    }

    fn start_entry(&self, entry: usize) -> io::Result<()> {
        let listen = |port| self.entry_address(entry, port).to_string();
        let variables = [
            ("BULRUSH_CALLER_LISTEN", listen(FRONT_PORT)),
            ("BULRUSH_READY_LISTEN", listen(READY_PORT)),
            ("BULRUSH_LINK_LISTEN", listen(LINK_PORT)),
            ("BULRUSH_METRICS_LISTEN", listen(METRICS_PORT)),
            ("BULRUSH_LINK_MBPS", LINK_MBPS.to_owned()),
            ("BULRUSH_DELEGATION", "on".to_owned()),
        ];
        self.start_program("bulrush-site-entry", &format!("entry-{entry}"), &variables)
    }

    fn start_agent(&self, agent: usize) -> io::Result<()> {
        let listen = |port| self.agent_address(agent, port).to_string();
        let variables = [
            ("BULRUSH_ANNOUNCEMENT_LISTEN", listen(CONTROL_PORT)),
            ("BULRUSH_TARGET", listen(APP_PORT)),
            ("BULRUSH_METRICS_LISTEN", listen(METRICS_PORT)),
            ("BULRUSH_MAX_START_WAIT_MS", "20".to_owned()),
        ];
        self.start_program("bulrush-site-agent", &format!("agent-{agent}"), &variables)
    }

    fn is_ready(&self, entry: usize) -> bool {
        let address = self.entry_address(entry, READY_PORT);
        let call = Call {
            address,
            method: "GET",
            path: "/v1/ready",
            headers: vec![("Host", address.to_string())],
            body: "",
            timeout: Duration::from_secs(1),
        };
        call.send().is_ok_and(|reply| reply.status == 200)
    }

    /// Publishes a configuration with a route for each prefix, as the operator does.
    pub fn publish(&self, version: u64, prefixes: &[&str]) {
        let routes = prefixes.iter().enumerate().map(|(number, prefix)| {
            format!(
                r#"{{"name":"r-{number}","host":"{HOST}","path-prefix":"{prefix}","kind":"non_idempotent","timeout-ms":60000,"target-latency-ms":5000,"priority":0,"service":"{SERVICE}","max-attempts":3,"stretch":4.0}}"#
            )
        });
        let routes = routes.collect::<Vec<_>>().join(",");
        let services = format!(
            r#"{{"name":"{SERVICE}","health-path":"/health","max-conns":64,"protocol":"h1","tls":false,"admission-check":true,"standby":false}}"#
        );
        let json = format!(
            r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
        );
        self.store.put("keyed.op", "config", json.as_bytes());
        self.record
            .write(&format!("operator: configuration {version} acknowledged, routes {prefixes:?}"));
    }

    fn call(&self, entry: usize, call: &ClientCall<'_>) -> io::Result<Response> {
        let mut headers = vec![("Host", HOST.to_owned())];
        if call.method == "POST" {
            headers.push(("Deadline-Ms", call.deadline.as_millis().to_string()));
        }
        let path = format!("{PREFIX}{}", call.job);
        let address = self.entry_address(entry, FRONT_PORT);
        let (method, body) = (call.method, call.body);
        Call { address, method, path: &path, headers, body, timeout: call.deadline }.send()
    }

    /// Makes a client's call, and records it with its response.
    pub fn client_call(&self, entry: usize, call: &ClientCall<'_>) -> Option<u16> {
        let ClientCall { method, job, .. } = call;
        self.record.write(&format!("client: {method} {job} to entry-{entry}"));
        let reply = self.call(entry, call);
        let text = match &reply {
            Ok(reply) => format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body)),
            Err(error) => format!("no response ({error})"),
        };
        self.record.write(&format!("client: {method} {job} to entry-{entry} -> {text}"));
        reply.ok().map(|reply| reply.status)
    }

    /// Cancels a job at an entry until that is acknowledged (2xx or 410); returns when it was.
    pub fn cancel(&self, entry: usize, job: &str, pause: Duration, until: Instant) -> Option<u64> {
        let mut last = None;
        while Instant::now() < until {
            let deadline = Duration::from_secs(1);
            let call = ClientCall { method: "DELETE", job, body: "", deadline };
            let reply = self.call(entry, &call);
            let status = reply.as_ref().ok().map(|reply| reply.status);
            if last != Some(status) {
                self.record.write(&format!("client: DELETE {job} to entry-{entry} -> {status:?}"));
                last = Some(status);
            }
            if status.is_some_and(|status| status / 100 == 2 || status == 410) {
                return Some(self.record.now_ms());
            }
            thread::sleep(pause);
        }
        None
    }

    /// Returns the starts at a runner so far.
    pub fn starts_of_runner(&self, id: &str) -> Vec<Start> {
        let starts = self.starts.lock().unwrap_or_else(PoisonError::into_inner);
        starts.iter().filter(|start| start.runner == id).cloned().collect()
    }

    /// Returns the starts of the tasks of a job so far.
    pub fn starts_of(&self, job: &str) -> Vec<Start> {
        let starts = self.starts.lock().unwrap_or_else(PoisonError::into_inner);
        let prefix = format!("{job}.");
        starts.iter().filter(|start| start.task.starts_with(&prefix)).cloned().collect()
    }
}

/// A call of a client about a job.
pub struct ClientCall<'a> {
    pub method: &'a str,
    pub job: &'a str,
    pub body: &'a str,
    /// Time for which the client waits.
    pub deadline: Duration,
}

fn address(network: u8, class: u8, number: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, network, class, number as u8), port))
}

/// Returns a part of the loopback addresses that nobody uses.
fn free_network() -> io::Result<u8> {
    let first = std::process::id() % 150;
    let networks = (0..150).map(|step| 64 + ((first + step) % 150) as u8);
    let is_free = |network: &u8| {
        TcpListener::bind(address(*network, 3, 1, STORE_PORT)).is_ok()
            && TcpListener::bind(address(*network, 1, 1, LINK_PORT)).is_ok()
    };
    let mut free = networks.filter(is_free);
    free.next().ok_or_else(|| io::Error::other("no free loopback addresses"))
}
