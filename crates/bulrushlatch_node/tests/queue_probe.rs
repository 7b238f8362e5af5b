//! Test of the measured delay of events at a process's thread.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bulrushlatch_dispatch::clock::BootClock;
use bulrushlatch_node::{boot_clock::SystemBootClock, queue_probe::QueueProbe};
use tokio::{runtime::Builder, task::LocalSet};

const TASKS: u32 = 1_000;
const TASK_TIME: Duration = Duration::from_micros(500);
const TICK_INTERVAL: Duration = Duration::from_millis(20);

async fn keep_busy() {
    loop {
        let started_at = Instant::now();
        while started_at.elapsed() < TASK_TIME {
            std::hint::spin_loop();
        }
        tokio::task::yield_now().await;
    }
}

/// The lag of a timer of the main future was taken for the delay of requests. It stayed below 40 ms
/// while requests waited for seconds.
#[test]
fn probe_measures_the_wait_behind_all_tasks() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let (probe_delay, main_lag) = LocalSet::new().block_on(&runtime, async {
        let probe = Rc::<QueueProbe>::default();
        tokio::task::spawn_local(Rc::clone(&probe).run());
        (0..TASKS).for_each(|_| drop(tokio::task::spawn_local(keep_busy())));
        let mut main_lag = Duration::ZERO;
        for _ in 0..16 {
            let due = Instant::now() + TICK_INTERVAL;
            tokio::time::sleep(TICK_INTERVAL).await;
            main_lag = main_lag.max(due.elapsed());
        }
        (probe.delay(SystemBootClock.now()), main_lag)
    });
    println!("probe {probe_delay:?}, main future {main_lag:?}");
    assert!(probe_delay > TASK_TIME * TASKS / 2, "{probe_delay:?}");
    assert!(main_lag * 2 < probe_delay, "{main_lag:?} against {probe_delay:?}");
}
