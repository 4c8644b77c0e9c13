//! Rollout policies: the sequential test and the simpler policies that it is compared with.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Decision;
use crate::EvidenceRow;
use crate::Move;
use crate::STEP_SHARES_PERMILLE;
use crate::Service;
use crate::Step;
use crate::Timestamp;
use crate::VersionTest;
use crate::decide_with_test;
use crate::millis;

/// Minimum number of the new version's requests at which its failure rate is evaluated.
const MIN_FAILURE_RATE_SAMPLE_SIZE: u64 = 20;

/// Maximum failure rate of the new version, in thousandths; above it the move is rolled back.
const MAX_FAILURE_RATE_PERMILLE: u64 = 50;

/// Policy that decides on running moves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPolicy {
    /// Steps by time; rolled back above a fixed failure rate.
    FailureRate,
    /// Steps by time; evidence is ignored.
    FixedSteps,
    /// Steps by evidence and time; rolled back by a sequential test against the old version.
    #[default]
    Sequential,
}

impl RolloutPolicy {
    /// Decides on a running move; see [`decide_with_test`].
    pub fn decide(
        self,
        test: &mut VersionTest,
        spec: &Move,
        service: &Service,
        step: Option<Step>,
        evidence: &[EvidenceRow],
        now: Timestamp,
    ) -> Decision {
        match self {
            Self::Sequential => decide_with_test(test, spec, service, step, evidence, now),
            Self::FailureRate if exceeds_failure_rate(spec, evidence) => {
                Decision::Stop(format!("version {} fails too often", spec.to))
            }
            Self::FailureRate | Self::FixedSteps => step_by_time(spec, step, now),
        }
    }
}

fn exceeds_failure_rate(spec: &Move, evidence: &[EvidenceRow]) -> bool {
    let rows = evidence
        .iter()
        .filter(|row| row.key.service == spec.service && row.key.version == spec.to);
    let (failed, all) = rows.fold((0, 0), |(failed, all), row| {
        (failed + row.sum.failed, all + row.sum.ok + row.sum.failed)
    });
    all >= MIN_FAILURE_RATE_SAMPLE_SIZE && failed * 1000 > all * MAX_FAILURE_RATE_PERMILLE
}

/// Advances at equal intervals between start and deadline.
fn step_by_time(spec: &Move, step: Option<Step>, now: Timestamp) -> Decision {
    if now < spec.start {
        return Decision::Hold;
    }
    let steps = STEP_SHARES_PERMILLE.len() as u32;
    let span = spec.deadline.since(spec.start);
    let interval = (span / (steps + 1)).max(Duration::from_millis(1));
    let elapsed_intervals = millis(now.since(spec.start)) / millis(interval);
    let index = (elapsed_intervals as u32).min(steps - 1);
    if elapsed_intervals >= u64::from(steps) {
        return Decision::Finish;
    }
    if step.is_none_or(|s| s.index < index) {
        return Decision::Advance(Step { index, at: now });
    }
    Decision::Hold
}
