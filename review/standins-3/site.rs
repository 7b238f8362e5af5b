//! A small deployment: the project's programs with the commands of the deploy file, and stand-ins of
//! the store and the runners. Each machine has a loopback address of its own.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http,
    record::Record,
    runner::{Identity, Runner},
    store::Store,
};

pub const OPERATOR_TOPIC: &str = "keyed.op";
pub const SERVICE: &str = "svc-a";
pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/q1/";
const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
const FRONT_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const APP_PORT: u16 = 8080;
const STORE_PORT: u16 = 8169;
const INTERNAL_PORT: u16 = 7720;
const METRICS_PORT: u16 = 9464;
/// Traffic starts this long after the machines at the latest.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// A process of the system.
pub struct Program {
    ip: Ipv4Addr,
    command: Vec<String>,
    env: Vec<(String, String)>,
    log: PathBuf,
    child: Child,
}

impl Program {
    fn spawn(
        command: &[String],
        env: &[(String, String)],
        log: &PathBuf,
    ) -> std::io::Result<Child> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut process = Command::new(&command[0]);
        process.args(&command[1..]).env_clear().envs(env.iter().cloned());
        if let Ok(path) = std::env::var("PATH") {
            process.env("PATH", path);
        }
        process.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()
    }

    /// Kills the process, and starts it again after `pause`.
    pub fn kill_and_restart(&mut self, pause: Duration) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        thread::sleep(pause);
        self.child =
            Self::spawn(&self.command, &self.env, &self.log).expect("the program starts again");
    }

    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Site {
    pub entries: Vec<Program>,
    pub agents: Vec<Program>,
    pub runners: Vec<Runner>,
    directory: PathBuf,
}

/// A table of the deploy file, as far as the cases need it.
#[derive(Default)]
struct Role {
    run: String,
    env: Vec<(String, String)>,
}

fn read_roles() -> BTreeMap<String, Role> {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file is read");
    let mut roles: BTreeMap<String, Role> = BTreeMap::new();
    let mut name = String::new();
    for line in text.lines() {
        if let Some(section) = line.strip_prefix("[roles.") {
            name = section.trim_end_matches(']').to_owned();
        } else if let Some(value) = line.strip_prefix("run = ") {
            roles.entry(name.clone()).or_default().run = value.trim_matches('"').to_owned();
        } else if let Some(value) = line.strip_prefix("env = ") {
            let pairs = value.trim().trim_start_matches('{').trim_end_matches('}');
            let pairs = pairs.split("\", ").filter_map(|pair| pair.split_once(" = "));
            let pairs = pairs.map(|(key, value)| {
                (key.trim().to_owned(), value.trim().trim_matches('"').to_owned())
            });
            roles.entry(name.clone()).or_default().env = pairs.collect();
        }
    }
    roles
}

fn fill(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").expect("a placeholder ends");
        text.push_str(before);
        text.push_str(values.get(name).map_or("", String::as_str));
        rest = after;
    }
    text + rest
}

/// Returns the first two parts of loopback addresses that nothing listens on.
fn free_network() -> (u8, u8) {
    let time = SystemTime::UNIX_EPOCH.elapsed().unwrap().subsec_nanos();
    for attempt in 0..200_u32 {
        let number = time / 1_000 + std::process::id() * 7 + attempt * 13;
        let (second, third) = ((64 + number % 128) as u8, (number / 128 % 250) as u8);
        let ports = [
            FRONT_PORT,
            READY_PORT,
            CONTROL_PORT,
            APP_PORT,
            STORE_PORT,
            INTERNAL_PORT,
            METRICS_PORT,
        ];
        let hosts = [1, 2, 3, 11, 12, 13, 14, 15, 16, 101, 102, 103, 104, 105, 106, 200];
        let is_free = hosts.iter().all(|&host| {
            let ip = Ipv4Addr::new(127, second, third, host);
            ports.iter().all(|&port| TcpListener::bind((ip, port)).is_ok())
        });
        if is_free {
            return (second, third);
        }
    }
    panic!("no free loopback network");
}

impl Site {
    /// Starts a site; returns once all entries are ready and jobs are served.
    pub fn start(record: &Record, entries: usize, agents: usize) -> Self {
        let (second, third) = free_network();
        let ip = |host: usize| Ipv4Addr::new(127, second, third, host as u8);
        let directory = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("the temporary folder is made");
        let store_address = SocketAddr::from((ip(200), STORE_PORT));
        let store = Store::start(store_address).expect("the store starts");
        store.put(OPERATOR_TOPIC, "config", configuration(1).as_bytes());
        let roles = read_roles();
        let seeds: Vec<String> =
            (1..=entries.min(3)).map(|host| format!("{}:{CONTROL_PORT}", ip(host))).collect();
        let values = |name: &str, zone: &str, own: Ipv4Addr, app: Option<SocketAddr>| {
            BTreeMap::from([
                ("node", name.to_owned()),
                ("zone", zone.to_owned()),
                ("ip", own.to_string()),
                ("internal-ports.0", INTERNAL_PORT.to_string()),
                ("listen.front", format!("{own}:{FRONT_PORT}")),
                ("listen.ready", format!("{own}:{READY_PORT}")),
                ("listen.control", format!("{own}:{CONTROL_PORT}")),
                ("app", app.map_or_else(String::new, |app| app.to_string())),
                ("seeds", seeds.join(",")),
                ("platform.addr", store_address.to_string()),
                ("bounds.retransmit-ms", "1300".to_owned()),
                ("bounds.hold-max-ms", "1000".to_owned()),
                ("bounds.grace-s", "6".to_owned()),
                ("limits.link-mbps", "1000.0".to_owned()),
            ])
        };
        let start = |role: &str, name: String, own: Ipv4Addr, values: &BTreeMap<&str, String>| {
            let role = &roles[role];
            let command: Vec<String> = role.run.split(' ').map(|word| fill(word, values)).collect();
            let env: Vec<(String, String)> =
                role.env.iter().map(|(key, value)| (key.clone(), fill(value, values))).collect();
            let log = directory.join(format!("{name}.log"));
            let child = Program::spawn(&command, &env, &log).expect("the program starts");
            Program { ip: own, command, env, log, child }
        };
        let mut site = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            runners: Vec::new(),
            directory: directory.clone(),
        };
        for number in 0..entries {
            let (name, own) = (format!("front-{number}"), ip(1 + number));
            let zone = ZONES[number % ZONES.len()];
            site.entries.push(start("entry", name.clone(), own, &values(&name, zone, own, None)));
        }
        for number in 0..agents {
            let (name, own) = (format!("side-{number}"), ip(11 + number));
            let zone = ZONES[number % ZONES.len()];
            let app = SocketAddr::from((ip(101 + number), APP_PORT));
            let values = values(&name, zone, own, Some(app));
            site.agents.push(start("agent", name, own, &values));
            let identity = Identity {
                id: format!("i-{number:04}"),
                service: SERVICE.to_owned(),
                zone: zone.to_owned(),
                address: app,
                control: SocketAddr::from((own, CONTROL_PORT)),
            };
            site.runners.push(Runner::start(identity, record).expect("the runner starts"));
        }
        site.wait_until_served();
        site
    }

    fn wait_until_served(&self) {
        let end = Instant::now() + READY_LIMIT;
        let mut number = 0;
        for entry in 0..self.entries.len() {
            loop {
                number += 1;
                let id = format!("f{number:015x}");
                let reply = self.submit(entry, &id, &job(&[(1, "ms=5", 5)]), 1_500);
                if reply.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                assert!(Instant::now() < end, "entry {entry} serves jobs in time");
                thread::sleep(Duration::from_millis(50));
            }
        }
        thread::sleep(Duration::from_secs(1));
    }

    /// Submits a job; returns the status and the body, or `None` without an answer in the deadline.
    pub fn submit(
        &self,
        entry: usize,
        id: &str,
        body: &str,
        deadline_ms: u64,
    ) -> Option<(u16, String)> {
        submit(self.entries[entry].front(), id, body, deadline_ms)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.directory);
        } else {
            eprintln!("logs of the processes: {}", self.directory.display());
        }
    }
}

pub fn submit(front: SocketAddr, id: &str, body: &str, deadline_ms: u64) -> Option<(u16, String)> {
    let headers = [("Host", HOST), ("Deadline-Ms", &deadline_ms.to_string())];
    let path = format!("{PREFIX}{id}");
    let timeout = Duration::from_millis(deadline_ms);
    let reply = http::call(front, "POST", &path, &headers, body.as_bytes(), timeout);
    reply.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns a job whose steps, each of (tasks, spec of the job, estimate in ms), follow each other. The
/// spec is that of the first step.
pub fn job(steps: &[(u32, &str, u64)]) -> String {
    let phases = steps.iter().enumerate().map(|(number, (count, _, estimate_ms))| {
        let depends_on =
            if number == 0 { String::new() } else { format!(",\"depends-on\":[{}]", number - 1) };
        format!(
            "{{\"count\":{count},\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":{estimate_ms}{depends_on}}}"
        )
    });
    let phases = phases.collect::<Vec<_>>().join(",");
    format!("{{\"spec\":\"{}\",\"best-effort\":true,\"phases\":[{phases}]}}", steps[0].1)
}

fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"q1\",\"host\":\"{HOST}\",\
         \"path-prefix\":\"{PREFIX}\",\"service\":\"{SERVICE}\",\"kind\":\"non_idempotent\",\
         \"max-attempts\":3,\"priority\":0,\"stretch\":1.6,\"target-latency-ms\":60}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"admission-check\":true}}],\
         \"limits\":{{\"max-body-bytes\":262144}}}}"
    )
}
