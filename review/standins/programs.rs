//! The programs under test as processes, with the commands of the deploy file.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    proxy::{self, Cut},
    record::Record,
    runner::{RunEvents, Runner},
    store::Store,
};

/// Figures of the settings of a small deployment (`DEPLOY.md`).
const SETTINGS: [(&str, &str); 4] = [
    ("bounds.retransmit-ms", "1300"),
    ("bounds.hold-max-ms", "1000"),
    ("bounds.grace-s", "6"),
    ("limits.link-mbps", "1000.0"),
];
/// Setting of an entry that others reach through a proxy (`--link-address`).
const LINK_ADDRESS: &str = "BULRUSH_LINK_ADDRESS";
/// Port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9464;
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is killed when this is dropped.
pub struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The part of the deploy file for one role.
struct Role {
    run: String,
    env: Vec<(String, String)>,
}

impl Role {
    fn read(name: &str) -> Self {
        let file = fs::read_to_string("deploy/system.toml").expect("the deploy file is there");
        let (_, section) = file.split_once(&format!("[roles.{name}]")).expect("the role is there");
        let section = section.split("\n[").next().unwrap();
        let line = |key: &str| {
            let start = format!("{key} = ");
            section.lines().find_map(|line| line.strip_prefix(&start)).unwrap().trim().to_owned()
        };
        // `NAME = "text"` pairs: the texts are every second part between quotation marks.
        let env = line("env");
        let parts: Vec<&str> = env.split('"').collect();
        let pairs = parts.chunks_exact(2).map(|pair| {
            let name = pair[0].trim_matches(|sign: char| !sign.is_ascii_alphanumeric());
            (name.to_owned(), pair[1].to_owned())
        });
        Self { run: line("run").trim_matches('"').to_owned(), env: pairs.collect() }
    }

    fn start(&self, settings: &BTreeMap<String, String>, log: PathBuf) -> Program {
        let mut words = self.run.split(' ').map(|word| fill(word, settings));
        let mut command = Command::new(words.next().unwrap());
        command.args(words).stdin(Stdio::null());
        for (name, value) in &self.env {
            command.env(name, fill(value, settings));
        }
        if let Some(address) = settings.get(LINK_ADDRESS) {
            command.env(LINK_ADDRESS, address);
        }
        let log = File::create(log).expect("the log file opens");
        command.stdout(log.try_clone().unwrap()).stderr(log);
        Program(command.spawn().expect("the program starts"))
    }
}

fn fill(text: &str, settings: &BTreeMap<String, String>) -> String {
    let mut text = text.to_owned();
    while let Some((before, rest)) = text.split_once("{{") {
        let (name, after) = rest.split_once("}}").expect("the placeholder ends");
        let value = settings.get(name).cloned().unwrap_or_default();
        text = format!("{before}{value}{after}");
    }
    text
}

/// An entry with its addresses.
pub struct Entry {
    pub callers: String,
    pub ready: String,
    pub name: String,
    metrics: String,
    _program: Program,
}

impl Entry {
    /// Returns a value that the process shows in its metrics.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let request = format!("GET /metrics HTTP/1.1\r\nHost: {}\r\n", self.metrics);
        let (_, text) =
            Connection::open(&self.metrics)?.call(&request, "", Duration::from_secs(1))?;
        let start = format!("bulrushlatch_entry_{name} ");
        text.lines().find_map(|line| line.strip_prefix(&start))?.trim().parse().ok()
    }
}

/// What a deployment consists of.
pub struct Layout {
    /// Zone of each entry.
    pub entries: Vec<&'static str>,
    /// Service and zone of each runner with its agent.
    pub runners: Vec<(&'static str, &'static str)>,
    /// The entry that can be cut off from all other machines of the system; links to entries then
    /// pass through proxies.
    pub cut_off: Option<usize>,
}

/// A small deployment. Each machine has a loopback address of its own.
pub struct Site {
    pub record: Record,
    /// What the entries and agents read, one address for each entry and one for all agents.
    pub stores: Vec<Store>,
    pub entries: Vec<Entry>,
    pub events: RunEvents,
    /// Cuts the entry of [`Layout::cut_off`] off.
    pub cut: Cut,
    _agents: Vec<Program>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.clear();
        self._agents.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts a deployment and waits until its entries are ready.
    pub fn start(layout: &Layout, configuration: &str, record: &Record) -> Result<Self, String> {
        let process = std::process::id();
        let network = format!("127.{}.{}", 10 + process / 200 % 200, 1 + process % 200);
        let folder = std::env::temp_dir().join(format!("bulrushlatch-review-{process}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let ports = free_ports(&network, 6);
        let store =
            Store::start(&format!("{network}.250:{}", ports[0])).map_err(|e| e.to_string())?;
        store.put("keyed.op", "config", configuration.as_bytes());
        let mut stores = Vec::new();
        for entry in 0..layout.entries.len() {
            let address = format!("{network}.{}:{}", 200 + entry, ports[0]);
            stores.push(store.also_at(&address).map_err(|error| error.to_string())?);
        }
        let entry_ip = |number: usize| format!("{network}.{}", 10 + number);
        let entry_name = |number: usize| format!("front-{}-{}", layout.entries[number], number + 1);
        // Where an entry is reached: at its own address, or at that of its proxy.
        let link_ip = |number: usize| match layout.cut_off {
            Some(_) => format!("{network}.{}", 100 + number),
            None => entry_ip(number),
        };
        let seeds: Vec<String> = (0..layout.entries.len())
            .map(|entry| format!("{}:{}", link_ip(entry), ports[3]))
            .collect();
        let seeds = seeds.join(",");
        let cut = Cut { name: layout.cut_off.map_or(String::new(), entry_name), ..Cut::default() };
        if layout.cut_off.is_some() {
            for entry in 0..layout.entries.len() {
                let listen = format!("{}:{}", link_ip(entry), ports[4]);
                let address = format!("{}:{}", entry_ip(entry), ports[4]);
                proxy::serve(&listen, &entry_name(entry), &address, &cut)
                    .map_err(|error| error.to_string())?;
            }
        }
        let common = |node: &str, zone: &str, ip: &str, store: &Store| {
            let mut settings: BTreeMap<String, String> =
                SETTINGS.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect();
            let mut add = |name: &str, value: String| settings.insert(name.to_owned(), value);
            add("node", node.to_owned());
            add("zone", zone.to_owned());
            add("ip", ip.to_owned());
            add("internal-ports.0", ports[4].to_string());
            add("seeds", seeds.clone());
            add("platform.addr", store.address.clone());
            add("listen.front", format!("{ip}:{}", ports[1]));
            add("listen.ready", format!("{ip}:{}", ports[2]));
            add("listen.control", format!("{ip}:{}", ports[3]));
            add("app", format!("{ip}:{}", ports[5]));
            settings
        };
        let role = Role::read("entry");
        let mut entries = Vec::new();
        for (number, zone) in layout.entries.iter().enumerate() {
            let name = entry_name(number);
            let mut settings = common(&name, zone, &entry_ip(number), &stores[number]);
            if layout.cut_off.is_some() {
                let address = format!("{}:{}", link_ip(number), ports[4]);
                settings.insert(LINK_ADDRESS.to_owned(), address);
            }
            let log = folder.join(format!("{name}.log"));
            entries.push(Entry {
                callers: settings["listen.front"].clone(),
                ready: settings["listen.ready"].clone(),
                metrics: format!("{}:{METRICS_PORT}", entry_ip(number)),
                _program: role.start(&settings, log),
                name,
            });
        }
        let events = RunEvents::default();
        let role = Role::read("agent");
        let mut agents = Vec::new();
        for (number, (service, zone)) in layout.runners.iter().enumerate() {
            let name = format!("side-{zone}-{}", number + 1);
            let ip = format!("{network}.{}", 50 + number);
            let settings = common(&name, zone, &ip, &store);
            agents.push(role.start(&settings, folder.join(format!("{name}.log"))));
            let (app, control) = (&settings["app"], &settings["listen.control"]);
            let id = format!("i-{:08x}", 0x7f3a_0000 + number);
            Runner::start(&id, service, zone, app, control, &events, record)
                .map_err(|error| error.to_string())?;
        }
        let record = record.clone();
        let site = Self { record, stores, entries, events, cut, _agents: agents, folder };
        site.wait_until_ready()?;
        Ok(site)
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + READY_TIMEOUT;
        for entry in &self.entries {
            loop {
                let request = format!("GET /v1/ready HTTP/1.1\r\nHost: {}\r\n", entry.ready);
                let answer = Connection::open(&entry.ready)
                    .and_then(|mut open| open.call(&request, "", Duration::from_secs(1)));
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("{} is not ready", entry.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // Links of all agents to all entries.
        thread::sleep(Duration::from_secs(3));
        self.record.note("all entries are ready");
        Ok(())
    }
}

/// Returns ports that are free at an address of the network.
fn free_ports(network: &str, count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind(format!("{network}.10:0")).unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap().port()).collect()
}
