//! The choice among delegates, and what they offer.

use std::{collections::BTreeMap, time::Duration};

use bulrushlatch_dispatch::{
    entry::{
        delegation::{delegates::Delegates, job_rate::JobRate, spare_rate::SpareRate},
        processor_load::ProcessorLoad,
    },
    ids::LinkId,
};

use crate::support::{BOOT, ms};

const TICK: Duration = Duration::from_millis(20);
/// Longest silence of a delegate that gets jobs.
const MAX_SILENCE: Duration = Duration::from_millis(78);

fn delegates_of(offers: &[(LinkId, &str, u32)]) -> Delegates {
    let mut delegates = Delegates::new("a".to_owned());
    for &(link, zone, jobs_per_s) in offers {
        delegates.add(BOOT, link);
        delegates.record_offer(BOOT, link, jobs_per_s, zone);
    }
    delegates
}

/// Has jobs of `jobs_per_s` delegated for a second; returns how many each delegate got.
fn delegate(
    delegates: &mut Delegates,
    offers: &[(LinkId, &str, u32)],
    jobs_per_s: u32,
) -> BTreeMap<LinkId, u32> {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut taken = BTreeMap::new();
    for tick in 1..=50 {
        let now = BOOT + TICK * tick;
        for &(link, zone, offer) in offers {
            delegates.record_offer(now, link, offer, zone);
        }
        delegates.update_used(now, &mut rng, f64::from(jobs_per_s));
        for _ in 0..jobs_per_s / 50 {
            if let Some(link) = delegates.take(now, &mut rng, MAX_SILENCE) {
                *taken.entry(link).or_default() += 1;
            }
        }
    }
    taken
}

/// Bytes between availability zones are priced.
#[test]
fn an_entry_of_the_own_zone_is_preferred() {
    let offers = [(1, "b", 1_000), (2, "a", 200), (3, "c", 1_000)];
    let taken = delegate(&mut delegates_of(&offers), &offers, 100);
    assert_eq!(taken.keys().copied().collect::<Vec<_>>(), [2], "{taken:?}");
}

#[test]
fn other_zones_are_used_for_what_the_own_one_does_not_take() {
    let offers = [(1, "b", 1_000), (2, "a", 100)];
    let taken = delegate(&mut delegates_of(&offers), &offers, 400);
    assert!((80..=110).contains(&taken[&2]) && taken[&1] > 250, "{taken:?}");
}

#[test]
fn few_delegates_are_used() {
    let offers: Vec<_> = (1..=12).map(|link| (link, "b", 300)).collect();
    let mut delegates = delegates_of(&offers);
    let taken = delegate(&mut delegates, &offers, 250);
    assert!(delegates.count_used() <= 2 && taken.len() <= 2, "{taken:?}");
}

#[test]
fn a_delegate_without_a_recent_frame_gets_no_job() {
    let mut delegates = delegates_of(&[(1, "a", 1_000)]);
    let mut rng = fastrand::Rng::with_seed(1);
    delegates.update_used(BOOT + ms(60), &mut rng, 100.0);
    assert_eq!(delegates.take(BOOT + ms(60), &mut rng, MAX_SILENCE), Some(1));
    assert_eq!(delegates.take(BOOT + ms(100), &mut rng, MAX_SILENCE), None);
}

/// What a delegate got from two origins that delegate 400 jobs/s each.
struct Played {
    jobs_per_s: f64,
    /// Mean time for which a job waits for CPU time.
    mean_wait: Duration,
}

/// Plays 20 s of two origins and a delegate with the given part of a core, of which each job takes
/// `cpu_time`; returns what came of the last 10 s. The delegate's thread is busy all the time while
/// jobs wait for CPU time.
fn play_two_origins(cores: f64, cpu_time: Duration) -> Played {
    let mut spare = SpareRate::default();
    let mut load = ProcessorLoad::default();
    let mut rates = [JobRate::default(); 2];
    let offers = [(1, "a", 20)];
    let mut origins = [delegates_of(&offers), delegates_of(&offers)];
    let mut rng = fastrand::Rng::with_seed(1);
    let quota_s = TICK.as_secs_f64() * cores;
    let (mut jobs, mut backlog_s, mut waits_s) = (0, 0.0, 0.0);
    for tick in 1..=1_000 {
        let now = BOOT + TICK * tick;
        let mut arrived = 0;
        for (origin, rate) in origins.iter_mut().zip(&mut rates) {
            let offer = spare.offer(now, load.busy_share(), rate.jobs_per_s(now), 2);
            origin.record_offer(now, 1, offer, "a");
            origin.update_used(now, &mut rng, 400.0);
            for _ in 0..8 {
                if origin.take(now, &mut rng, MAX_SILENCE).is_some() {
                    arrived += 1;
                    rate.record(now);
                    spare.record_job(now);
                }
            }
        }
        let work_s = backlog_s + cpu_time.as_secs_f64() * f64::from(arrived);
        backlog_s = (work_s - quota_s).max(0.0);
        let busy = if backlog_s > 0.0 { TICK } else { Duration::from_secs_f64(work_s) };
        load.record(TICK, busy, Duration::ZERO);
        spare.update(now, load.busy_share());
        if tick > 500 {
            jobs += arrived;
            waits_s += backlog_s / cores / 500.0;
        }
    }
    println!("{jobs} jobs in 10 s, mean wait {waits_s} s");
    Played { jobs_per_s: f64::from(jobs) / 10.0, mean_wait: Duration::from_secs_f64(waits_s) }
}

/// Guards against two overloaded entries that delegate all they have to the same idle one: each would
/// fill it alone. 350 jobs/s keep it busy for 70% of the time.
#[test]
fn two_origins_do_not_swamp_one_delegate() {
    let played = play_two_origins(1.0, ms(2));
    assert!(played.mean_wait < ms(1), "{:?}", played.mean_wait);
    assert!(played.jobs_per_s > 250.0, "{}", played.jobs_per_s);
}

/// Guards against a delegate with a small quota that takes ten times the jobs that it can carry out,
/// since it is busy for 12% of the time until the quota is used up by 200 jobs/s.
#[test]
fn two_origins_do_not_swamp_a_delegate_with_a_small_quota() {
    let played = play_two_origins(0.12, Duration::from_micros(600));
    assert!(played.mean_wait < ms(3), "{:?}", played.mean_wait);
    assert!(played.jobs_per_s > 120.0, "{}", played.jobs_per_s);
}
