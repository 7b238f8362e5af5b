//! The submissions of the two deployments.

use bulrushlatch_protocol::submission::{Submission, Task};
use serde_json::value::RawValue;

/// A mix of submissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Workload {
    /// Price checks, photo verifications and availability pings.
    Marea,
    /// Lookups and lodgements.
    Fairgo,
}

/// One kind of submission in a mix.
struct Ingredient {
    kind: &'static str,
    share_percent: u32,
    tasks: std::ops::RangeInclusive<usize>,
    run_ms: std::ops::RangeInclusive<u64>,
    repeatable: bool,
    timeout_ms: u64,
}

const MAREA: [Ingredient; 3] = [
    Ingredient {
        kind: "price",
        share_percent: 50,
        tasks: 1..=4,
        run_ms: 50..=150,
        repeatable: true,
        timeout_ms: 5_000,
    },
    Ingredient {
        kind: "photo",
        share_percent: 20,
        tasks: 4..=12,
        run_ms: 100..=1000,
        repeatable: true,
        timeout_ms: 30_000,
    },
    Ingredient {
        kind: "ping",
        share_percent: 30,
        tasks: 1..=2,
        run_ms: 50..=80,
        repeatable: false,
        timeout_ms: 5_000,
    },
];

const FAIRGO: [Ingredient; 2] = [
    Ingredient {
        kind: "lookup",
        share_percent: 70,
        tasks: 1..=6,
        run_ms: 50..=300,
        repeatable: true,
        timeout_ms: 5_000,
    },
    Ingredient {
        kind: "lodgement",
        share_percent: 30,
        tasks: 1..=2,
        run_ms: 200..=1000,
        repeatable: false,
        timeout_ms: 30_000,
    },
];

/// A submission and the best possible time for it.
#[derive(Clone, Debug)]
pub struct GeneratedSubmission {
    /// What is submitted.
    pub submission: Submission,
    /// Run time of its longest task.
    pub longest_run_ms: u64,
    /// Run times of its tasks.
    pub run_ms: Vec<u64>,
}

impl GeneratedSubmission {
    /// Returns the time for which its tasks keep slots busy.
    pub fn slot_ms(&self) -> u64 {
        self.run_ms.iter().sum()
    }
}

impl Workload {
    /// Returns the team that submits.
    pub fn team(self) -> &'static str {
        match self {
            Self::Marea => "marea",
            Self::Fairgo => "fairgo",
        }
    }

    /// Returns the service that runs the tasks.
    pub fn service(self) -> &'static str {
        match self {
            Self::Marea => "listing",
            Self::Fairgo => "claims",
        }
    }

    /// Returns the next submission.
    pub fn generate(self, random: &mut fastrand::Rng, submission_id: &str) -> GeneratedSubmission {
        let ingredient = self.pick(random);
        let count = random.usize(ingredient.tasks.clone());
        let run_ms = (0..count).map(|_| random.u64(ingredient.run_ms.clone()));
        let run_ms: Vec<u64> = run_ms.collect();
        let submission = Submission {
            submission_id: submission_id.into(),
            team: self.team().into(),
            service: self.service().into(),
            timeout_ms: ingredient.timeout_ms,
            repeatable: ingredient.repeatable,
            tasks: run_ms.iter().map(|&run_ms| task(ingredient.kind, run_ms)).collect(),
        };
        let longest_run_ms = run_ms.iter().copied().max().unwrap_or(0);
        GeneratedSubmission { submission, longest_run_ms, run_ms }
    }

    /// Returns the average time that one submission keeps a slot busy.
    pub fn average_slot_ms(self) -> f64 {
        let averages = self.ingredients().iter().map(|ingredient| {
            let tasks = (*ingredient.tasks.start() + *ingredient.tasks.end()) as f64 / 2.0;
            let run_ms = (*ingredient.run_ms.start() + *ingredient.run_ms.end()) as f64 / 2.0;
            f64::from(ingredient.share_percent) / 100.0 * tasks * run_ms
        });
        averages.sum()
    }

    fn ingredients(self) -> &'static [Ingredient] {
        match self {
            Self::Marea => &MAREA,
            Self::Fairgo => &FAIRGO,
        }
    }

    fn pick(self, random: &mut fastrand::Rng) -> &'static Ingredient {
        let ingredients = self.ingredients();
        let mut drawn = random.u32(..100);
        for ingredient in ingredients {
            if drawn < ingredient.share_percent {
                return ingredient;
            }
            drawn -= ingredient.share_percent;
        }
        &ingredients[0]
    }
}

fn task(kind: &str, run_ms: u64) -> Task {
    let payload = RawValue::from_string(format!("{{\"run_ms\":{run_ms}}}"));
    Task {
        kind: kind.into(),
        payload: payload.unwrap_or_else(|_| RawValue::NULL.to_owned()).into(),
        slots: 1,
        expected_ms: None,
    }
}
