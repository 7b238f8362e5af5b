//! Tests that the queue serves teams by weight, and the tasks of a team by deadline.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use arbtest::{arbitrary, arbtest};
use bulrushlatch_core::request::queue::{FairQueue, QueuedTask, TaskKey};
use bulrushlatch_protocol::ids::{ServiceName, TeamId};

/// Number of cases, each with its own fixed seed.
const CASES: u64 = 60;

fn queued_task(id: &str, index: u32) -> QueuedTask {
    let key = TaskKey { submission_id: id.into(), index };
    QueuedTask { key, slots: 1, expected_ms: 100 }
}

#[test]
fn teams_get_slots_by_weight() {
    let service: ServiceName = "listing".into();
    let mut queue = FairQueue::default();
    let now = Instant::now();
    for team in ["light", "heavy"] {
        for index in 0..300 {
            queue.push(&service, &team.into(), now, queued_task(team, index));
        }
    }
    let weight_of = |team: &TeamId| if &**team == "heavy" { 3 } else { 1 };
    let mut popped: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..200 {
        let next = queue.pop(&service, weight_of, |_, _| true).expect("tasks are queued");
        *popped.entry(next.key.submission_id.to_string()).or_default() += 1;
    }
    assert_eq!(popped["heavy"], 150);
    assert_eq!(popped["light"], 50);
}

#[test]
fn a_blocked_team_does_not_block_other_teams() {
    let service: ServiceName = "listing".into();
    let mut queue = FairQueue::default();
    let now = Instant::now();
    queue.push(&service, &"full".into(), now, queued_task("full", 0));
    queue.push(&service, &"free".into(), now, queued_task("free", 0));
    let next = queue.pop(&service, |_| 1, |team, _| &**team == "free");
    assert_eq!(&*next.expect("a task of the free team is queued").key.submission_id, "free");
    assert!(queue.pop(&service, |_| 1, |team, _| &**team == "free").is_none());
    assert_eq!(queue.len(), 1);
}

/// Compares the queue with a list under random operations: no task is lost or duplicated, and each
/// team's tasks are ordered by deadline.
#[test]
fn random_operations_match_a_list() {
    for case in 0..CASES {
        arbtest(compare_with_list).seed((case << 32) | 4096);
    }
}

fn compare_with_list(entropy: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let service: ServiceName = "listing".into();
    let begin = Instant::now();
    let mut queue = FairQueue::default();
    let mut list: Vec<(TeamId, Instant, QueuedTask)> = Vec::new();
    for number in 0..200 {
        match entropy.int_in_range(0..=3)? {
            0 | 1 => {
                let team: TeamId = (*entropy.choose(&["a", "b", "c"])?).into();
                let deadline = begin + Duration::from_millis(entropy.int_in_range(0..=50)?);
                let queued = queued_task("job", number);
                queue.push(&service, &team, deadline, queued.clone());
                list.push((team, deadline, queued));
            }
            2 if !list.is_empty() => {
                let position = entropy.int_in_range(0..=list.len() - 1)?;
                let (team, deadline, queued) = list.swap_remove(position);
                queue.remove(&service, &team, deadline, &queued.key);
            }
            _ => {
                let popped = queue.pop(&service, |_| 1, |_, _| true);
                assert_eq!(popped.is_none(), list.is_empty());
                let Some(popped) = popped else { continue };
                let position = list.iter().position(|(_, _, queued)| *queued == popped);
                let (team, deadline, _) =
                    list.swap_remove(position.expect("the popped task is in the list"));
                let is_earliest =
                    list.iter().all(|(other_team, at, _)| *other_team != team || *at >= deadline);
                assert!(is_earliest, "a task was popped before one with an earlier deadline");
            }
        }
        assert_eq!(queue.len(), list.len());
        assert_eq!(queue.is_empty(), list.is_empty());
        assert_eq!(queue.work_slot_ms(&service), 100 * list.len() as u64);
    }
    Ok(())
}
