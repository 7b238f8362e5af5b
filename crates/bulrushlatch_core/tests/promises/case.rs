//! A case: load with faults at random times, recovery, and submissions that check the recovery.

use std::{collections::BTreeMap, time::Duration};

use arbtest::arbitrary;
use bulrushlatch_log::memory_log::LogMode;
use bulrushlatch_protocol::{
    answer::Reason,
    change::{Change, SettingKey},
};
use serde_json::Value;

use super::{
    defect::Defect,
    fault::Fault,
    world::{TargetMode, World, links_of},
};

/// Time at which the load begins.
const LOAD_START: Duration = Duration::from_secs(2);
/// Time at which the load and all faults have ended.
const LOAD_END: Duration = Duration::from_secs(17);
/// Longest duration of a fault in milliseconds.
const MAX_FAULT_MS: u64 = 6_000;
/// Time given to the system to recover from the faults.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Number of submissions after the recovery, each of which must complete.
const RECOVERY_SUBMISSIONS: usize = 12;
/// Time at which a case ends.
const CASE_END: Duration = Duration::from_secs(48);

/// The random parameters of a case.
#[derive(Clone, Debug)]
pub struct Case {
    seed: u64,
    entries: usize,
    agents: usize,
    faults: Vec<Fault>,
    defect: Option<Defect>,
    /// Whether submission ids are UUIDv7, which contain their time of creation.
    ids_are_uuid_v7: bool,
}

impl Case {
    /// Draws a case with the given faults and defect.
    pub fn draw(
        entropy: &mut arbitrary::Unstructured<'_>,
        faults: &[Fault],
        defect: Option<Defect>,
    ) -> arbitrary::Result<Self> {
        // A drained target stays drained, so two more are needed: another fault may take out one.
        let min_agents = if faults.contains(&Fault::DrainSetting) { 3 } else { 2 };
        Ok(Self {
            seed: entropy.arbitrary()?,
            entries: entropy.int_in_range(2..=4)?,
            agents: entropy.int_in_range(min_agents..=4)?,
            faults: faults.to_vec(),
            defect,
            ids_are_uuid_v7: entropy.arbitrary()?,
        })
    }
}

impl Case {
    /// Returns whether all entries and an agent are lost, and with them all records of some ids.
    fn loses_all_records(&self) -> bool {
        let mut faults = self.faults.iter();
        let is_agent_lost =
            faults.any(|fault| matches!(fault, Fault::KillAgent | Fault::LeaveAgent));
        is_agent_lost && self.faults.contains(&Fault::KillAllEntries)
    }
}

/// A scheduled action.
#[derive(Clone, Debug)]
enum Action {
    SubmitNew,
    Resubmit,
    SubmitAfterRecovery,
    Cancel,
    PublishWeight,
    /// Begins a fault; two drawn numbers select the processes that it affects.
    BeginFault(Fault, usize, usize),
    EndFault(Fault, usize, usize),
    SendEmptySettings,
}

/// A submission of the load, kept so that it can be resubmitted.
#[derive(Clone, Debug)]
struct Job {
    id: String,
    run_ms: Vec<u64>,
    timeout: Duration,
}

struct Driver {
    world: World,
    /// Scheduled actions by time and order number.
    actions: BTreeMap<(Duration, u64), Action>,
    jobs: Vec<Job>,
    recovery_calls: Vec<usize>,
    changes: u64,
    ids_are_uuid_v7: bool,
    has_drained: bool,
}

/// Runs a case and returns the violations of guarantees.
pub fn run_case(case: &Case) -> Vec<String> {
    let world = World::new(case.seed, case.entries, case.agents, case.defect);
    let mut driver = Driver {
        world,
        actions: BTreeMap::new(),
        jobs: Vec::new(),
        recovery_calls: Vec::new(),
        changes: 0,
        ids_are_uuid_v7: case.ids_are_uuid_v7,
        has_drained: false,
    };
    driver.create_team();
    driver.schedule_load(case);
    driver.schedule_faults(case);
    while driver.world.now < CASE_END {
        driver.world.step();
        while let Some((&key, _)) = driver.actions.first_key_value() {
            if key.0 > driver.world.now {
                break;
            }
            let action = driver.actions.remove(&key).expect("the first action exists");
            driver.perform(&action);
        }
    }
    // Without faults, 99 % must be served. The floors of several faults are multiplied: each reduces
    // what the others leave.
    let floors = case.faults.iter().map(|fault| fault.served_floor_percent());
    let floor = floors.fold(99, |total, floor| total * floor / 100);
    // The whole load may fall into the time in which no process knows whether an id was used.
    let floor = if case.loses_all_records() { 0 } else { floor };
    driver.check_recovery(case);
    driver.world.check_end(floor);
    driver.world.oracle.violations
}

impl Driver {
    fn create_team(&mut self) {
        self.publish("", "operators", "marea", SettingKey::Owner, Some(Value::from("marea")), 0);
    }

    fn schedule_load(&mut self, case: &Case) {
        let jobs = case.agents as u64 * 30;
        for _ in 0..jobs {
            let at = self.random_time(LOAD_START, LOAD_END);
            self.schedule(at, Action::SubmitNew);
        }
        for _ in 0..jobs / 4 {
            let at = self.random_time(LOAD_START, LOAD_END);
            self.schedule(at, Action::Resubmit);
        }
        for _ in 0..20 {
            let at = self.random_time(LOAD_START, LOAD_END);
            self.schedule(at, Action::PublishWeight);
        }
        for number in 0..RECOVERY_SUBMISSIONS as u32 {
            let at = LOAD_END + RECOVERY_TIME + Duration::from_millis(100) * number;
            self.schedule(at, Action::SubmitAfterRecovery);
        }
        if case.defect == Some(Defect::RevertSettings) {
            self.schedule(Duration::from_secs(10), Action::SendEmptySettings);
        }
    }

    fn schedule_faults(&mut self, case: &Case) {
        for &fault in &case.faults {
            let first = self.world.random.usize(..);
            let second = self.world.random.usize(..);
            let length = Duration::from_millis(self.world.random.u64(200..MAX_FAULT_MS));
            let begin = self.random_time(LOAD_START, LOAD_END - length);
            self.schedule(begin, Action::BeginFault(fault, first, second));
            self.schedule(begin + length, Action::EndFault(fault, first, second));
            self.schedule_burst(fault, begin, length);
        }
    }

    /// Schedules the actions of a fault that consists of many calls or changes.
    fn schedule_burst(&mut self, fault: Fault, begin: Duration, length: Duration) {
        let (count, action) = match fault {
            Fault::CancelWave => (30, Action::Cancel),
            Fault::RacingOperators => (60, Action::PublishWeight),
            Fault::Resubmit => (80, Action::Resubmit),
            _ => return,
        };
        for _ in 0..count {
            let at = self.random_time(begin, begin + length);
            self.schedule(at, action.clone());
        }
    }

    fn perform(&mut self, action: &Action) {
        match *action {
            Action::SubmitNew => self.submit_new(),
            Action::SubmitAfterRecovery => self.submit_after_recovery(),
            Action::Resubmit => self.resubmit(),
            Action::Cancel => self.cancel(),
            Action::PublishWeight => self.publish_weight(),
            Action::BeginFault(fault, first, second) => self.begin_fault(fault, first, second),
            Action::EndFault(fault, first, second) => self.end_fault(fault, first, second),
            Action::SendEmptySettings => self.world.send_empty_settings(0),
        }
    }

    fn begin_fault(&mut self, fault: Fault, first: usize, second: usize) {
        let entry = first % self.world.entries.len();
        let agent = first % self.world.agents.len();
        let world = &mut self.world;
        match fault {
            Fault::KillEntry => world.kill_entry(entry),
            Fault::KillAllEntries => {
                (0..world.entries.len()).for_each(|index| world.kill_entry(index));
            }
            Fault::KillAgent => world.kill_agent(agent),
            Fault::FreezeEntry => world.suspend_entry(entry),
            Fault::FreezeAgent => world.suspend_agent(agent),
            Fault::CutBothWays | Fault::CutOneWay | Fault::SilentConnection => {
                let (from, to) = self.link_addresses(first, second);
                self.world.network.cuts.insert((from, to));
                if fault == Fault::CutBothWays {
                    self.world.network.cuts.insert((to, from));
                }
            }
            Fault::IsolateEntry => {
                let address = world.entries[entry].address;
                let addresses = self.addresses();
                self.world.network.cuts.extend(links_of(address, &addresses));
            }
            Fault::Delay => world.network.delayed_percent = 15,
            Fault::Duplicate => world.network.duplicated_percent = 50,
            Fault::LogDown => world.set_log_mode(LogMode::Down),
            Fault::LogSlow => world.is_log_slow = true,
            Fault::LogLapse => world.drop_old_log_records(),
            Fault::TargetFailsAll => world.agents[agent].target_mode = TargetMode::FailsAll,
            Fault::TargetStraggles => world.agents[agent].target_mode = TargetMode::Straggles,
            Fault::TargetLosesReplies => world.agents[agent].target_mode = TargetMode::LosesReplies,
            Fault::TargetRefuses => world.agents[agent].target_mode = TargetMode::Refuses,
            Fault::LeaveAgent => world.leave_agent(agent),
            Fault::LeaveEntry => world.leave_entry(entry),
            Fault::DrainSetting => self.drain(agent, true),
            Fault::CancelWave | Fault::RacingOperators | Fault::Resubmit => {}
        }
    }

    fn end_fault(&mut self, fault: Fault, first: usize, second: usize) {
        let entry = first % self.world.entries.len();
        let agent = first % self.world.agents.len();
        let world = &mut self.world;
        match fault {
            Fault::KillEntry | Fault::LeaveEntry => self.replace_entry(entry),
            Fault::KillAllEntries => {
                (0..world.entries.len()).for_each(|index| world.start_entry(index));
            }
            Fault::KillAgent | Fault::LeaveAgent => self.replace_agent(agent),
            Fault::FreezeEntry => world.resume_entry(entry),
            Fault::FreezeAgent => world.resume_agent(agent),
            Fault::CutBothWays | Fault::CutOneWay | Fault::SilentConnection => {
                let (from, to) = self.link_addresses(first, second);
                self.world.network.cuts.remove(&(from, to));
                self.world.network.cuts.remove(&(to, from));
            }
            // Ends the cuts of other faults too.
            Fault::IsolateEntry => world.network.cuts.clear(),
            Fault::Delay => world.network.delayed_percent = 0,
            Fault::Duplicate => world.network.duplicated_percent = 0,
            Fault::LogDown => world.set_log_mode(LogMode::Up),
            Fault::LogSlow => world.is_log_slow = false,
            Fault::TargetFailsAll
            | Fault::TargetStraggles
            | Fault::TargetLosesReplies
            | Fault::TargetRefuses => world.agents[agent].target_mode = TargetMode::Normal,
            // A drained target stays drained; the other targets do the work.
            Fault::DrainSetting
            | Fault::LogLapse
            | Fault::CancelWave
            | Fault::RacingOperators
            | Fault::Resubmit => {}
        }
    }

    /// Starts an entry in place of one that ended; while that one still drains, tries again later.
    fn replace_entry(&mut self, index: usize) {
        if self.world.entries[index].process.is_some() && self.world.entries[index].is_leaving {
            let at = self.world.now + Duration::from_millis(200);
            if at < LOAD_END + RECOVERY_TIME {
                self.schedule(at, Action::EndFault(Fault::LeaveEntry, index, 0));
            }
            return;
        }
        self.world.start_entry(index);
    }

    /// Starts an agent in place of one that ended; while that one still runs, tries again later.
    fn replace_agent(&mut self, index: usize) {
        if self.world.agents[index].process.is_some() {
            let at = self.world.now + Duration::from_millis(200);
            if at < LOAD_END + RECOVERY_TIME {
                self.schedule(at, Action::EndFault(Fault::LeaveAgent, index, 0));
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
        self.submit_at_random_entry(&job);
    }

    fn submit_after_recovery(&mut self) {
        let id = self.new_id(&format!("last-{}", self.recovery_calls.len()));
        let job = Job { id, run_ms: vec![50, 80], timeout: Duration::from_secs(8) };
        self.recovery_calls.push(self.world.oracle.submit_calls.len());
        self.submit_at_random_entry(&job);
    }

    /// Returns `plain`, or a UUIDv7 if the case uses them.
    fn new_id(&mut self, plain: &str) -> String {
        if !self.ids_are_uuid_v7 {
            return plain.to_owned();
        }
        let created_ms = self.world.wall_ms();
        let (high, low) = (created_ms >> 16, created_ms & 0xffff);
        let random = self.world.random.u64(..) & 0xffff_ffff_ffff;
        format!("{high:08x}-{low:04x}-7000-8000-{random:012x}")
    }

    /// Resubmits one of the latest submissions.
    fn resubmit(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let first_recent = self.jobs.len().saturating_sub(12);
        let job = self.jobs[self.world.random.usize(first_recent..self.jobs.len())].clone();
        self.submit_at_random_entry(&job);
    }

    fn submit_at_random_entry(&mut self, job: &Job) {
        let serving = self.world.entries.iter().enumerate();
        let serving = serving.filter(|(_, host)| host.process.is_some() && !host.is_leaving);
        let serving: Vec<usize> = serving.map(|(index, _)| index).collect();
        if serving.is_empty() {
            return;
        }
        let entry = serving[self.world.random.usize(..serving.len())];
        self.world.submit(entry, &job.id, &job.run_ms, job.timeout);
    }

    /// Cancels one of the latest submissions.
    fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let first_recent = self.jobs.len().saturating_sub(8);
        let id = self.jobs[self.world.random.usize(first_recent..self.jobs.len())].id.clone();
        let entry = self.world.random.usize(..self.world.entries.len());
        self.world.cancel(entry, &id);
    }

    /// Publishes a weight for a random team and path, based on the version at a random entry.
    fn publish_weight(&mut self) {
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

    /// Drains a target, only once in a case, so that a target is left to do the work.
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

    /// Checks that submissions after the recovery complete.
    ///
    /// The answer `RecordsLost` is allowed if no process is left that knows whether an id was used,
    /// and the id does not contain its time of creation.
    fn check_recovery(&mut self, case: &Case) {
        let may_be_unknown = case.loses_all_records() && !case.ids_are_uuid_v7;
        for &index in &self.recovery_calls {
            let call = self.world.oracle.submit_calls.get(index);
            let is_unknown = call.is_some_and(|call| call.has_reason(Reason::RecordsLost));
            if may_be_unknown && is_unknown {
                continue;
            }
            if call.is_none_or(|call| !call.is_complete()) {
                let text = format!("submission after the recovery is not complete: {call:?}");
                self.world.oracle.violations.push(text);
            }
        }
    }

    fn addresses(&self) -> Vec<std::net::SocketAddr> {
        let entries = self.world.entries.iter().map(|host| host.address);
        entries.chain(self.world.agents.iter().map(|host| host.address)).collect()
    }

    /// Returns the addresses of an entry and of another process, selected by two drawn numbers.
    fn link_addresses(
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

    /// Schedules an action; actions at the same time are performed in random order.
    fn schedule(&mut self, at: Duration, action: Action) {
        let number = self.actions.len() as u64 + self.world.random.u64(..1 << 40) * 1000;
        self.actions.insert((at, number), action);
    }
}
