//! Order in which waiting tasks are placed, and the CPU that they need.

use std::{collections::BTreeMap, ops::Bound};

use crate::{
    clock::BootTime,
    ids::{JobId, RouteName, TaskKey},
};

/// Class of a waiting task; an earlier class goes strictly first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitClass {
    /// The task is to be started again.
    Restart,
    /// Its job can still meet its latency objective, or has started.
    InTime,
    /// Its job has not started and will be late.
    Late,
}

/// A task that waits for capacity. Tasks are placed in ascending order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingTask {
    /// Class of the task.
    pub class: WaitClass,
    /// Rank within the class: for initial tasks the latest start that meets the objective, or for
    /// late ones the time after which an answer is of no use; for tasks of later steps the time of
    /// the job's objective; for tasks to be started again the job's arrival.
    pub due_at: BootTime,
    /// The task.
    pub key: TaskKey,
}

/// CPU that waiting tasks need, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueLengths {
    /// All of them.
    pub cpu_millis: u64,
    /// Those of one route, without late jobs.
    pub same_route_cpu_millis: u64,
    /// Those of late jobs.
    pub late_cpu_millis: u64,
}

/// What a waiting task adds to the sums of its queue.
#[derive(Clone, Debug)]
struct Need {
    cpu_millis: u64,
    route: RouteName,
}

/// Waiting tasks in the order in which they are placed, with running sums of the CPU that they need:
/// each submission looks at these sums, and under overload many tasks wait.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    tasks: BTreeMap<WaitingTask, Need>,
    /// Sum over all of `tasks`.
    cpu_millis: u64,
    /// Sum over those in the late class.
    late_cpu_millis: u64,
    /// Sums over the others by route; a route without any has no sum.
    by_route: BTreeMap<RouteName, u64>,
}

impl WaitingQueue {
    /// Returns the CPU that all tasks need, in thousandths of a core.
    pub fn cpu_millis(&self) -> u64 {
        self.cpu_millis
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the tasks in order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingTask> {
        self.tasks.keys()
    }

    /// Returns the first task that comes after `after`, or the first of all.
    pub fn next_after(&self, after: Option<&WaitingTask>) -> Option<&WaitingTask> {
        let Some(after) = after else { return self.tasks.keys().next() };
        let range = self.tasks.range((Bound::Excluded(after), Bound::Unbounded));
        range.map(|(task, _)| task).next()
    }

    /// Adds a task of `route` that needs `cpu_millis`.
    pub fn insert(&mut self, task: WaitingTask, cpu_millis: u64, route: &RouteName) {
        let class = task.class;
        let need = Need { cpu_millis, route: route.clone() };
        if let Some(replaced) = self.tasks.insert(task, need) {
            self.subtract(class, &replaced);
        }
        self.cpu_millis += cpu_millis;
        if class == WaitClass::Late {
            self.late_cpu_millis += cpu_millis;
        } else if let Some(sum) = self.by_route.get_mut(route) {
            *sum += cpu_millis;
        } else {
            self.by_route.insert(route.clone(), cpu_millis);
        }
    }

    /// Removes a task, if it waits.
    pub fn remove(&mut self, task: &WaitingTask) {
        if let Some(need) = self.tasks.remove(task) {
            self.subtract(task.class, &need);
        }
    }

    /// Removes all tasks of a job.
    pub fn remove_job(&mut self, job: &JobId) {
        let tasks = self.tasks.keys().filter(|task| task.key.job == *job);
        let tasks: Vec<WaitingTask> = tasks.cloned().collect();
        for task in tasks {
            self.remove(&task);
        }
    }

    /// Returns the CPU that the tasks need, with that of the tasks of `route` by itself.
    pub fn lengths(&self, route: &RouteName) -> QueueLengths {
        QueueLengths {
            cpu_millis: self.cpu_millis,
            same_route_cpu_millis: self.by_route.get(route).copied().unwrap_or_default(),
            late_cpu_millis: self.late_cpu_millis,
        }
    }

    fn subtract(&mut self, class: WaitClass, need: &Need) {
        self.cpu_millis -= need.cpu_millis;
        if class == WaitClass::Late {
            self.late_cpu_millis -= need.cpu_millis;
            return;
        }
        let Some(sum) = self.by_route.get_mut(&need.route) else { return };
        *sum -= need.cpu_millis;
        if *sum == 0 {
            self.by_route.remove(&need.route);
        }
    }
}
