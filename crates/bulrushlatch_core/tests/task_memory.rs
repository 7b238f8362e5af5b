//! Tests of how long an agent remembers tasks and their results.

use std::time::{Duration, Instant};

use bulrushlatch_core::{
    message::{Placement, TaskDone, TaskReportState},
    process::task_memory::{AcceptedTask, TaskMemory},
};
use serde_json::value::RawValue;

/// Limit of kept results in bytes: three results of 10 bytes fit.
const MAX_RESULT_BYTES: usize = 35;

fn accepted_task(index: u32) -> AcceptedTask {
    let placement = Placement { submission_id: "job".into(), index, epoch: 1, attempt: 1 };
    AcceptedTask { placement, state: TaskReportState::Accepted, slots: 1 }
}

fn record_result(memory: &mut TaskMemory, index: u32, max_bytes: usize) {
    let result = RawValue::from_string("\"12345678\"".to_owned()).expect("JSON");
    let done = TaskDone { result: result.into(), run_ms: 1 };
    memory.get_mut("job", index).expect("the task was accepted").state =
        TaskReportState::Done(done);
    memory.record_result(&"job".into(), index, max_bytes);
}

#[test]
fn oldest_results_are_dropped_while_their_tasks_are_remembered() {
    let mut memory = TaskMemory::default();
    for index in 0..10 {
        memory.record_accepted(Instant::now(), accepted_task(index));
        record_result(&mut memory, index, MAX_RESULT_BYTES);
    }
    let reports = memory.reports("job");
    let is_kept = |index: usize| matches!(reports[index].state, TaskReportState::Done(_));
    assert_eq!(reports.len(), 10);
    assert!((0..7).all(|index| !is_kept(index)), "an old result was kept");
    assert!((7..10).all(is_kept), "a new result was dropped");
}

#[test]
fn old_tasks_are_forgotten_unless_they_run() {
    let mut memory = TaskMemory::default();
    let begin = Instant::now();
    memory.record_accepted(begin, accepted_task(0));
    memory.record_accepted(begin, accepted_task(1));
    record_result(&mut memory, 0, 1000);
    let later = begin + Duration::from_secs(10);
    memory.forget_accepted(later, begin + Duration::from_secs(1));
    assert!(memory.get("job", 0).is_none(), "an ended task was kept");
    assert!(memory.get("job", 1).is_some(), "a running task was forgotten");
}
