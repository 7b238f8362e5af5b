//! Shortage of capacity at targets: a burst of long jobs beside short urgent ones.

use super::{
    ALL, PHOTO, PRICE_CHECK,
    fleet::Fleet,
    site::{Site, Tally},
    support::ms,
};

/// Factor on the arrivals of long jobs in the burst.
const BURST: f64 = 2.5;
/// Load factors at which the demand is 1.2 and 1.8 times the capacity in the burst.
const BURST_LOADS: [f64; 2] = [1.06, 1.6];
/// Load factor before and after the burst: 0.75 of the capacity.
const LOAD: f64 = 0.95;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

/// Results of one way to decide, summed over the seeds.
struct Outcome {
    /// By kind, in the burst and 1 s after it.
    tallies: Vec<Tally>,
    /// Those of the largest tenth of each kind.
    large: Vec<Tally>,
    /// All kinds, later than 1 s after the burst.
    after: Tally,
}

fn burst_of_long_jobs(shortage_policy: bool, load: f64, seed: u64) -> Outcome {
    let mut site = Site::with_seed(12, &ALL, seed);
    site.large_job_factor = 3;
    site.entry.set_shortage_policy(shortage_policy);
    // Shifts the arrivals, so that the seeds are independent.
    for (kind, due) in site.due_jobs.iter_mut().enumerate() {
        *due = (seed as f64 * 0.37 + kind as f64 * 0.61).fract();
    }
    let long = site.kinds.iter().position(|kind| kind.name == PHOTO.name).expect("long jobs");
    site.run(ms(3_000), LOAD);
    site.drain();
    site.reset_tallies();
    site.run(ms(1_000), LOAD);
    site.kinds[long].per_s *= BURST;
    site.run(ms(6_000), load);
    site.kinds[long].per_s /= BURST;
    site.run(ms(1_000), LOAD);
    let (tallies, large) = (site.tallies.clone(), site.large_tallies.clone());
    site.reset_tallies();
    site.run(ms(3_000), LOAD);
    site.drain();
    Outcome { tallies, large, after: Tally::sum(&site.tallies) }
}

fn summed_bursts(shortage_policy: bool, load: f64) -> Outcome {
    let plus = |a: &[Tally], b: &[Tally]| a.iter().zip(b).map(|(a, b)| a.plus(b)).collect();
    let outcomes = SEEDS.map(|seed| burst_of_long_jobs(shortage_policy, load, seed));
    let total = outcomes.reduce(|total, outcome| Outcome {
        tallies: plus(&total.tallies, &outcome.tallies),
        large: plus(&total.large, &outcome.large),
        after: total.after.plus(&outcome.after),
    });
    let total = total.expect("there are seeds");
    println!("load {load}, policy {shortage_policy}, afterwards {:?}", total.after);
    for ((kind, tally), large) in ALL.iter().zip(&total.tallies).zip(&total.large) {
        let share = large.served_share();
        println!(
            "  {}: {:.3} in time, {tally:?}, large {share:.3}",
            kind.name,
            tally.in_time_share()
        );
    }
    total
}

/// A reserve of 6% was left empty while long and common jobs were refused.
#[test]
fn burst_of_long_jobs_leaves_less_capacity_unused() {
    for load in BURST_LOADS {
        let (on, off) = (summed_bursts(true, load), summed_bursts(false, load));
        let urgent = ALL.iter().position(|kind| kind.name == PRICE_CHECK.name).expect("urgent");
        assert!(on.tallies[urgent].in_time_share() > off.tallies[urgent].in_time_share() - 0.015);
        assert!(
            Tally::sum(&on.tallies).in_time_share()
                > Tally::sum(&off.tallies).in_time_share() + 0.01
        );
        assert!(on.after.refused <= off.after.refused + 5, "{:?}", on.after);
        for (tally, large) in on.tallies.iter().zip(&on.large) {
            assert!(
                tally.served_share() > Tally::sum(&on.tallies).served_share() / 2.0,
                "{tally:?}"
            );
            assert!(large.served_share() > tally.served_share() / 2.0, "{large:?} of {tally:?}");
        }
    }
}

/// Under a shortage the urgent jobs of a fleet, whose entries do not see what the others have just
/// started, missed their objectives more often than a fixed reserve could avoid.
#[test]
fn reserve_of_a_fleet_follows_its_urgent_demand() {
    let burst = |shortage_policy, start_ms| {
        let mut fleet = Fleet::new(&[4.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0], 51, &ALL);
        fleet.set_shortage_policy(shortage_policy);
        fleet.run(ms(start_ms), 0.8);
        fleet.run(ms(3_000), 1.2);
        fleet.drain();
        ALL.map(|kind| fleet.total_of(kind))
    };
    let bursts = |shortage_policy| {
        let tallies = [1_000, 1_080, 1_160].map(|start_ms| burst(shortage_policy, start_ms));
        let [urgent, common, long] =
            [0, 1, 2].map(|kind| Tally::sum(&tallies.map(|tally| tally[kind])));
        println!("policy {shortage_policy}: {urgent:?}, {common:?}, {long:?}");
        (urgent, long)
    };
    let ((urgent_on, long_on), (urgent_off, long_off)) = (bursts(true), bursts(false));
    assert!(urgent_on.in_time_share() > urgent_off.in_time_share() + 0.03);
    assert!(long_on.in_time_share() > long_off.in_time_share() - 0.03);
}
