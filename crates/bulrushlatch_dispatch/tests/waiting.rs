//! Tests of the queue of waiting tasks.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    entry::waiting::{QueueLengths, WaitClass, WaitingQueue, WaitingTask},
    ids::{JobId, RouteName, TaskKey},
};

const ROUTES: [&str; 3] = ["urgent", "medium", "long"];
const CLASSES: [WaitClass; 3] = [WaitClass::Restart, WaitClass::InTime, WaitClass::Late];

/// Returns the sums that the queue must show for a route, from its tasks with their needs.
fn sums(tasks: &BTreeMap<WaitingTask, (u64, &str)>, route: &str) -> QueueLengths {
    let mut lengths = QueueLengths::default();
    for (task, (cpu_millis, task_route)) in tasks {
        lengths.cpu_millis += cpu_millis;
        if task.class == WaitClass::Late {
            lengths.late_cpu_millis += cpu_millis;
        } else if *task_route == route {
            lengths.same_route_cpu_millis += cpu_millis;
        }
    }
    lengths
}

/// Guards against running sums that drift from the tasks that wait: jobs would be refused for a queue
/// that does not exist.
#[test]
fn running_sums_equal_the_sums_over_all_waiting_tasks() {
    arbtest::arbtest(|u| {
        let mut queue = WaitingQueue::default();
        let mut expected = BTreeMap::new();
        while !u.is_empty() {
            let job: JobId = format!("job-{}", u.int_in_range(0..=4_u8)?).into();
            let key = TaskKey { job: job.clone(), step: 0, index: u.int_in_range(0..=3)? };
            let due_at = Duration::from_millis(u.int_in_range(0..=3)?);
            let task = WaitingTask { class: *u.choose(&CLASSES)?, due_at, key };
            match u.int_in_range(0..=5)? {
                0 => {
                    queue.remove_job(&job);
                    expected.retain(|task: &WaitingTask, _| task.key.job != job);
                }
                1 => {
                    queue.remove(&task);
                    expected.remove(&task);
                }
                _ => {
                    let (cpu_millis, route) = (u.int_in_range(0..=5_000)?, *u.choose(&ROUTES)?);
                    queue.insert(task.clone(), cpu_millis, &Arc::from(route));
                    expected.insert(task, (cpu_millis, route));
                }
            }
            assert!(queue.iter().eq(expected.keys()));
            for route in ROUTES {
                let name: RouteName = Arc::from(route);
                assert_eq!(queue.lengths(&name), sums(&expected, route), "{route}");
            }
        }
        Ok(())
    });
}
