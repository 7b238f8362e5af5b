//! One case: a load, faults at drawn times, quiet, and a last look.

use std::{collections::BTreeMap, time::Duration};

use arbtest::arbitrary;
use bulrushlatch_log::memory_log::LogMode;
use bulrushlatch_protocol::{
    answer::Reason,
    change::{Change, SettingKey},
};
use serde_json::Value;

use super::{
    defect::Sabotage,
    fault::Fault,
    world::{TargetMode, World, pairs_with},
};

/// When the load begins.
const LOAD_FROM: Duration = Duration::from_secs(2);
/// When the load, and every fault, has ended.
const LOAD_UNTIL: Duration = Duration::from_secs(17);
/// Longest time that a fault lasts.
const MAX_FAULT_MS: u64 = 6_000;
/// Time after the faults in which the system gets back to work.
const RECOVERY: Duration = Duration::from_secs(10);
/// Submissions after the recovery, each of which must complete.
const LAST_SUBMISSIONS: usize = 12;
/// End of a case.
const END: Duration = Duration::from_secs(48);

/// What is drawn for a case.
#[derive(Clone, Debug)]
pub struct Case {
    seed: u64,
    entries: usize,
    agents: usize,
    faults: Vec<Fault>,
    sabotage: Option<Sabotage>,
    /// Whether ids are UUIDv7, which tell when they were made.
    ids_have_time: bool,
}

impl Case {
    /// Draws a case.
    pub fn draw(
        entropy: &mut arbitrary::Unstructured<'_>,
        faults: &[Fault],
        sabotage: Option<Sabotage>,
    ) -> arbitrary::Result<Self> {
        // A drained target never comes back; another fault must leave one to do the work.
        let fewest_agents = if faults.contains(&Fault::DrainSetting) { 3 } else { 2 };
        Ok(Self {
            seed: entropy.arbitrary()?,
            entries: entropy.int_in_range(2..=4)?,
            agents: entropy.int_in_range(fewest_agents..=4)?,
            faults: faults.to_vec(),
            sabotage,
            ids_have_time: entropy.arbitrary()?,
        })
    }
}

impl Case {
    /// Returns whether all entries and an agent are lost, and with them all traces of some ids.
    fn loses_all_records(&self) -> bool {
        let mut faults = self.faults.iter();
        let is_agent_lost =
            faults.any(|fault| matches!(fault, Fault::KillAgent | Fault::LeaveAgent));
        is_agent_lost && self.faults.contains(&Fault::KillAllEntries)
    }
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
enum Action {
    SubmitNew,
    SubmitAgain,
    SubmitLast,
    Cancel,
    Publish,
    Begin(Fault, usize, usize),
    End(Fault, usize, usize),
    OfferOldSettings,
}

/// A job that was submitted.
#[derive(Clone, Debug)]
struct Job {
    id: String,
    run_ms: Vec<u64>,
    timeout: Duration,
}

struct Driver {
    world: World,
    agenda: BTreeMap<(Duration, u64), Action>,
    jobs: Vec<Job>,
    last_attempts: Vec<usize>,
    changes: u64,
    ids_have_time: bool,
    has_drained: bool,
}

/// Runs a case and returns what was not as promised.
pub fn run_case(case: &Case) -> Vec<String> {
    let world = World::new(case.seed, case.entries, case.agents, case.sabotage);
    let mut driver = Driver {
        world,
        agenda: BTreeMap::new(),
        jobs: Vec::new(),
        last_attempts: Vec::new(),
        changes: 0,
        ids_have_time: case.ids_have_time,
        has_drained: false,
    };
    driver.create_team();
    driver.plan_load(case);
    driver.plan_faults(case);
    while driver.world.now < END {
        driver.world.step();
        while let Some((&key, _)) = driver.agenda.first_key_value() {
            if key.0 > driver.world.now {
                break;
            }
            let action = driver.agenda.remove(&key).expect("it was just seen");
            driver.act(&action);
        }
    }
    let floors = case.faults.iter().map(|fault| fault.served_floor_percent());
    // Each of two faults takes its share of what the other leaves.
    let floor = floors.fold(99, |left, floor| left * floor / 100);
    // All load may fall into the time in which no process can tell whether an id was used.
    let floor = if case.loses_all_records() { 0 } else { floor };
    driver.check_last(case);
    driver.world.check_end(floor);
    driver.world.oracle.violations
}

impl Driver {
    fn create_team(&mut self) {
        self.publish("", "operators", "marea", SettingKey::Owner, Some(Value::from("marea")), 0);
    }

    fn plan_load(&mut self, case: &Case) {
        let jobs = case.agents as u64 * 30;
        for _ in 0..jobs {
            let at = self.random_time(LOAD_FROM, LOAD_UNTIL);
            self.plan(at, Action::SubmitNew);
        }
        for _ in 0..jobs / 4 {
            let at = self.random_time(LOAD_FROM, LOAD_UNTIL);
            self.plan(at, Action::SubmitAgain);
        }
        for _ in 0..20 {
            let at = self.random_time(LOAD_FROM, LOAD_UNTIL);
            self.plan(at, Action::Publish);
        }
        for number in 0..LAST_SUBMISSIONS as u32 {
            let at = LOAD_UNTIL + RECOVERY + Duration::from_millis(100) * number;
            self.plan(at, Action::SubmitLast);
        }
        if case.sabotage == Some(Sabotage::RevertSettings) {
            self.plan(Duration::from_secs(10), Action::OfferOldSettings);
        }
    }

    fn plan_faults(&mut self, case: &Case) {
        for &fault in &case.faults {
            let first = self.world.random.usize(..);
            let second = self.world.random.usize(..);
            let length = Duration::from_millis(self.world.random.u64(200..MAX_FAULT_MS));
            let begin = self.random_time(LOAD_FROM, LOAD_UNTIL - length);
            self.plan(begin, Action::Begin(fault, first, second));
            self.plan(begin + length, Action::End(fault, first, second));
            self.plan_burst(fault, begin, length);
        }
    }

    fn plan_burst(&mut self, fault: Fault, begin: Duration, length: Duration) {
        let (count, action) = match fault {
            Fault::CancelWave => (30, Action::Cancel),
            Fault::RacingOperators => (60, Action::Publish),
            Fault::Resubmit => (80, Action::SubmitAgain),
            _ => return,
        };
        for _ in 0..count {
            let at = self.random_time(begin, begin + length);
            self.plan(at, action.clone());
        }
    }

    fn act(&mut self, action: &Action) {
        match *action {
            Action::SubmitNew => self.submit_new(),
            Action::SubmitLast => self.submit_last(),
            Action::SubmitAgain => self.submit_again(),
            Action::Cancel => self.cancel(),
            Action::Publish => self.publish_something(),
            Action::Begin(fault, first, second) => self.begin(fault, first, second),
            Action::End(fault, first, second) => self.end(fault, first, second),
            Action::OfferOldSettings => self.world.offer_old_settings(0),
        }
    }

    fn begin(&mut self, fault: Fault, first: usize, second: usize) {
        let entry = first % self.world.entries.len();
        let agent = first % self.world.agents.len();
        let world = &mut self.world;
        match fault {
            Fault::KillEntry => world.kill_entry(entry),
            Fault::KillAllEntries => {
                (0..world.entries.len()).for_each(|index| world.kill_entry(index));
            }
            Fault::KillAgent => world.kill_agent(agent),
            Fault::FreezeEntry => world.freeze_entry(entry),
            Fault::FreezeAgent => world.freeze_agent(agent),
            Fault::CutBothWays | Fault::CutOneWay | Fault::SilentConnection => {
                let (from, to) = self.two_addresses(first, second);
                self.world.network.cuts.insert((from, to));
                if fault == Fault::CutBothWays {
                    self.world.network.cuts.insert((to, from));
                }
            }
            Fault::IsolateEntry => {
                let address = world.entries[entry].address;
                let others = self.addresses();
                self.world.network.cuts.extend(pairs_with(address, &others));
            }
            Fault::Delay => world.network.late_percent = 15,
            Fault::Duplicate => world.network.twice_percent = 50,
            Fault::LogDown => world.set_log_mode(LogMode::Down),
            Fault::LogSlow => world.slow_log = true,
            Fault::LogLapse => world.lapse_log(),
            Fault::TargetFailsAll => world.agents[agent].target = TargetMode::FailsAll,
            Fault::TargetStraggles => world.agents[agent].target = TargetMode::Straggles,
            Fault::TargetLosesReplies => world.agents[agent].target = TargetMode::LosesReplies,
            Fault::TargetRefuses => world.agents[agent].target = TargetMode::Refuses,
            Fault::LeaveAgent => world.leave_agent(agent),
            Fault::LeaveEntry => world.leave_entry(entry),
            Fault::DrainSetting => self.drain(agent, true),
            Fault::CancelWave | Fault::RacingOperators | Fault::Resubmit => {}
        }
    }

    fn end(&mut self, fault: Fault, first: usize, second: usize) {
        let entry = first % self.world.entries.len();
        let agent = first % self.world.agents.len();
        let world = &mut self.world;
        match fault {
            Fault::KillEntry | Fault::LeaveEntry => self.replace_entry(entry),
            Fault::KillAllEntries => {
                (0..world.entries.len()).for_each(|index| world.start_entry(index));
            }
            Fault::KillAgent | Fault::LeaveAgent => self.replace_agent(agent),
            Fault::FreezeEntry => world.thaw_entry(entry),
            Fault::FreezeAgent => world.thaw_agent(agent),
            Fault::CutBothWays | Fault::CutOneWay | Fault::SilentConnection => {
                let (from, to) = self.two_addresses(first, second);
                self.world.network.cuts.remove(&(from, to));
                self.world.network.cuts.remove(&(to, from));
            }
            Fault::IsolateEntry => world.network.cuts.clear(),
            Fault::Delay => world.network.late_percent = 0,
            Fault::Duplicate => world.network.twice_percent = 0,
            Fault::LogDown => world.set_log_mode(LogMode::Up),
            Fault::LogSlow => world.slow_log = false,
            Fault::TargetFailsAll
            | Fault::TargetStraggles
            | Fault::TargetLosesReplies
            | Fault::TargetRefuses => world.agents[agent].target = TargetMode::Normal,
            // The drain stays; the other targets do the work.
            Fault::DrainSetting
            | Fault::LogLapse
            | Fault::CancelWave
            | Fault::RacingOperators
            | Fault::Resubmit => {}
        }
    }

    /// A replacement starts once the one before it is gone.
    fn replace_entry(&mut self, index: usize) {
        if self.world.entries[index].process.is_some() && self.world.entries[index].leaving {
            let at = self.world.now + Duration::from_millis(200);
            if at < LOAD_UNTIL + RECOVERY {
                self.plan(at, Action::End(Fault::LeaveEntry, index, 0));
            }
            return;
        }
        self.world.start_entry(index);
    }

    fn replace_agent(&mut self, index: usize) {
        if self.world.agents[index].process.is_some() {
            let at = self.world.now + Duration::from_millis(200);
            if at < LOAD_UNTIL + RECOVERY {
                self.plan(at, Action::End(Fault::LeaveAgent, index, 0));
            }
            return;
        }
        self.world.start_agent(index);
    }

    fn submit_new(&mut self) {
        let random = &mut self.world.random;
        let tasks = random.usize(1..5);
        let run_ms = (0..tasks).map(|_| random.u64(30..400)).collect();
        let timeout = Duration::from_millis(random.u64(4_000..12_000));
        let job = Job { id: String::new(), run_ms, timeout };
        let job = Job { id: self.new_id(&format!("job-{}", self.jobs.len())), ..job };
        self.jobs.push(job.clone());
        self.submit_somewhere(&job);
    }

    fn submit_last(&mut self) {
        let id = self.new_id(&format!("last-{}", self.last_attempts.len()));
        let job = Job { id, run_ms: vec![50, 80], timeout: Duration::from_secs(8) };
        self.last_attempts.push(self.world.oracle.attempts.len());
        self.submit_somewhere(&job);
    }

    fn new_id(&mut self, plain: &str) -> String {
        if !self.ids_have_time {
            return plain.to_owned();
        }
        let made_ms = self.world.wall_ms();
        let (high, low) = (made_ms >> 16, made_ms & 0xffff);
        let random = self.world.random.u64(..) & 0xffff_ffff_ffff;
        format!("{high:08x}-{low:04x}-7000-8000-{random:012x}")
    }

    fn submit_again(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let recent = self.jobs.len().saturating_sub(12);
        let job = self.jobs[self.world.random.usize(recent..self.jobs.len())].clone();
        self.submit_somewhere(&job);
    }

    fn submit_somewhere(&mut self, job: &Job) {
        let alive = self.world.entries.iter().enumerate();
        let alive = alive.filter(|(_, slot)| slot.process.is_some() && !slot.leaving);
        let alive: Vec<usize> = alive.map(|(index, _)| index).collect();
        if alive.is_empty() {
            return;
        }
        let entry = alive[self.world.random.usize(..alive.len())];
        self.world.submit(entry, &job.id, &job.run_ms, job.timeout);
    }

    fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let recent = self.jobs.len().saturating_sub(8);
        let id = self.jobs[self.world.random.usize(recent..self.jobs.len())].id.clone();
        let entry = self.world.random.usize(..self.world.entries.len());
        self.world.cancel(entry, &id);
    }

    /// Teams and operators change a few settings, each from what some entry shows.
    fn publish_something(&mut self) {
        let entry = self.world.random.usize(..self.world.entries.len());
        let teams = ["marea", "fairgo", "operators"];
        let paths = ["marea", "marea/listing", "other"];
        let team = teams[self.world.random.usize(..teams.len())];
        let path = paths[self.world.random.usize(..paths.len())];
        let key = SettingKey::Weight;
        let version = self.world.version_at(entry, path, key);
        let value = Value::from(self.world.random.u64(1..5));
        self.publish("race", team, path, key, Some(value), version);
    }

    /// At least one target is left to do the work.
    fn drain(&mut self, agent: usize, drain: bool) {
        if std::mem::replace(&mut self.has_drained, true) {
            return;
        }
        let path = format!("targets/{}", self.world.agents[agent].name);
        let value = Some(Value::Bool(drain));
        self.publish("drain", "operators", &path, SettingKey::Drain, value, 0);
    }

    fn publish(
        &mut self,
        change_id: &str,
        team: &str,
        path: &str,
        key: SettingKey,
        value: Option<Value>,
        expected_version: u64,
    ) {
        self.changes += 1;
        let change = Change {
            change_id: format!("{change_id}-{}", self.changes),
            team: team.into(),
            author: "harness".to_owned(),
            path: path.to_owned(),
            key,
            value,
            expected_version,
            reason: "a case".to_owned(),
            published_at_ms: 0,
        };
        self.world.publish(&change);
    }

    /// Once faults have ended, new submissions are served.
    ///
    /// One case is allowed, and the answer says so: no process is left that could know whether
    /// an id was used, and the id does not tell when it was made.
    fn check_last(&mut self, case: &Case) {
        let may_be_unknown = case.loses_all_records() && !case.ids_have_time;
        for &index in &self.last_attempts {
            let attempt = self.world.oracle.attempts.get(index);
            let is_unknown = attempt.is_some_and(|attempt| attempt.has_reason(Reason::RecordsLost));
            if may_be_unknown && is_unknown {
                continue;
            }
            if attempt.is_none_or(|attempt| !attempt.is_complete()) {
                let text = format!("not served after the faults: {attempt:?}");
                self.world.oracle.violations.push(text);
            }
        }
    }

    fn addresses(&self) -> Vec<std::net::SocketAddr> {
        let entries = self.world.entries.iter().map(|slot| slot.address);
        entries.chain(self.world.agents.iter().map(|slot| slot.address)).collect()
    }

    fn two_addresses(
        &self,
        first: usize,
        second: usize,
    ) -> (std::net::SocketAddr, std::net::SocketAddr) {
        let addresses = self.addresses();
        let from = first % self.world.entries.len();
        let to = (from + 1 + second % (addresses.len() - 1)) % addresses.len();
        (addresses[from], addresses[to])
    }

    fn random_time(&mut self, from: Duration, until: Duration) -> Duration {
        let span_ms = (until - from).as_millis().max(1) as u64;
        from + Duration::from_millis(self.world.random.u64(..span_ms))
    }

    fn plan(&mut self, at: Duration, action: Action) {
        let number = self.agenda.len() as u64 + self.world.random.u64(..1 << 40) * 1000;
        self.agenda.insert((at, number), action);
    }
}
