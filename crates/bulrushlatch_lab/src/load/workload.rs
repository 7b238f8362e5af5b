//! The two mixes of submissions, `marea` and `fairgo`.

use bulrushlatch_protocol::submission::{Submission, Task};
use serde_json::value::RawValue;

/// A mix of submissions that one team sends to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Workload {
    /// Price checks, photo verifications and availability pings.
    Marea,
    /// Lookups and lodgements.
    Fairgo,
}

/// One class of submissions in a mix.
struct SubmissionClass {
    kind: &'static str,
    share_percent: u32,
    tasks: std::ops::RangeInclusive<usize>,
    run_ms: std::ops::RangeInclusive<u64>,
    repeatable: bool,
    timeout_ms: u64,
}

const MAREA: [SubmissionClass; 3] = [
    SubmissionClass {
        kind: "price",
        share_percent: 50,
        tasks: 1..=4,
        run_ms: 50..=150,
        repeatable: true,
        timeout_ms: 5_000,
    },
    SubmissionClass {
        kind: "photo",
        share_percent: 20,
        tasks: 4..=12,
        run_ms: 100..=1000,
        repeatable: true,
        timeout_ms: 30_000,
    },
    SubmissionClass {
        kind: "ping",
        share_percent: 30,
        tasks: 1..=2,
        run_ms: 50..=80,
        repeatable: false,
        timeout_ms: 5_000,
    },
];

const FAIRGO: [SubmissionClass; 2] = [
    SubmissionClass {
        kind: "lookup",
        share_percent: 70,
        tasks: 1..=6,
        run_ms: 50..=300,
        repeatable: true,
        timeout_ms: 5_000,
    },
    SubmissionClass {
        kind: "lodgement",
        share_percent: 30,
        tasks: 1..=2,
        run_ms: 200..=1000,
        repeatable: false,
        timeout_ms: 30_000,
    },
];

/// A submission with the run times of its tasks.
#[derive(Clone, Debug)]
pub struct GeneratedSubmission {
    /// Submission to send.
    pub submission: Submission,
    /// Run time of the longest task, which bounds the response time from below.
    pub longest_run_ms: u64,
    /// Run times of the tasks, in task order.
    pub run_ms: Vec<u64>,
}

impl GeneratedSubmission {
    /// Returns the total slot time that the tasks occupy.
    pub fn slot_ms(&self) -> u64 {
        self.run_ms.iter().sum()
    }
}

impl Workload {
    /// Returns the team that submits jobs of this workload.
    pub fn team(self) -> &'static str {
        match self {
            Self::Marea => "marea",
            Self::Fairgo => "fairgo",
        }
    }

    /// Returns the service that runs tasks of this workload.
    pub fn service(self) -> &'static str {
        match self {
            Self::Marea => "listing",
            Self::Fairgo => "claims",
        }
    }

    /// Draws a class and returns a random submission of it.
    pub fn generate(self, random: &mut fastrand::Rng, submission_id: &str) -> GeneratedSubmission {
        let class = self.draw_class(random);
        let count = random.usize(class.tasks.clone());
        let run_ms = (0..count).map(|_| random.u64(class.run_ms.clone()));
        let run_ms: Vec<u64> = run_ms.collect();
        let submission = Submission {
            submission_id: submission_id.into(),
            team: self.team().into(),
            service: self.service().into(),
            timeout_ms: class.timeout_ms,
            repeatable: class.repeatable,
            tasks: run_ms.iter().map(|&run_ms| task(class.kind, run_ms)).collect(),
        };
        let longest_run_ms = run_ms.iter().copied().max().unwrap_or(0);
        GeneratedSubmission { submission, longest_run_ms, run_ms }
    }

    /// Returns the average total slot time of a submission.
    pub fn average_slot_ms(self) -> f64 {
        let averages = self.classes().iter().map(|class| {
            let tasks = (*class.tasks.start() + *class.tasks.end()) as f64 / 2.0;
            let run_ms = (*class.run_ms.start() + *class.run_ms.end()) as f64 / 2.0;
            f64::from(class.share_percent) / 100.0 * tasks * run_ms
        });
        averages.sum()
    }

    fn classes(self) -> &'static [SubmissionClass] {
        match self {
            Self::Marea => &MAREA,
            Self::Fairgo => &FAIRGO,
        }
    }

    fn draw_class(self, random: &mut fastrand::Rng) -> &'static SubmissionClass {
        let classes = self.classes();
        let mut drawn = random.u32(..100);
        for class in classes {
            if drawn < class.share_percent {
                return class;
            }
            drawn -= class.share_percent;
        }
        &classes[0]
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
