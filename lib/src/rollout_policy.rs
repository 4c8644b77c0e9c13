//! Policies for moves of traffic: the product's decision and the plain ones it is compared with.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Decision;
use crate::EvidenceRow;
use crate::Move;
use crate::STEP_SHARES;
use crate::Service;
use crate::Step;
use crate::Timestamp;
use crate::VersionTest;
use crate::decide_on;
use crate::millis;

/// Requests of the new version from which its failure rate is judged.
const RATE_REQUESTS: u64 = 20;

/// Failure rate above which a version is taken back, in thousandths.
const RATE_LIMIT: u64 = 50;

/// How a running move is decided.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPolicy {
    /// Steps by time, taken back above a fixed failure rate.
    FailureRate,
    /// Steps by time without evidence.
    FixedSteps,
    /// Sequential test against the version in force, steps by evidence and time.
    #[default]
    Sequential,
}

impl RolloutPolicy {
    /// Decides about a running move; see [`decide_on`].
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
            Self::Sequential => decide_on(test, spec, service, step, evidence, now),
            Self::FailureRate if exceeds_rate(spec, evidence) => {
                Decision::Stop(format!("version {} fails too often", spec.to))
            }
            Self::FailureRate | Self::FixedSteps => step_by_time(spec, step, now),
        }
    }
}

fn exceeds_rate(spec: &Move, evidence: &[EvidenceRow]) -> bool {
    let rows = evidence
        .iter()
        .filter(|row| row.key.service == spec.service && row.key.version == spec.to);
    let (failed, all) = rows.fold((0, 0), |(failed, all), row| {
        (failed + row.sum.failed, all + row.sum.ok + row.sum.failed)
    });
    all >= RATE_REQUESTS && failed * 1000 > all * RATE_LIMIT
}

/// Takes the steps at equal distances between start and deadline.
fn step_by_time(spec: &Move, step: Option<Step>, now: Timestamp) -> Decision {
    if now < spec.start {
        return Decision::Hold;
    }
    let steps = STEP_SHARES.len() as u32;
    let span = spec.deadline.since(spec.start);
    let length = (span / (steps + 1)).max(Duration::from_millis(1));
    let due = millis(now.since(spec.start)) / millis(length);
    let index = (due as u32).min(steps - 1);
    if due >= u64::from(steps) {
        return Decision::Finish;
    }
    if step.is_none_or(|s| s.index < index) {
        return Decision::Raise(Step { index, at: now });
    }
    Decision::Hold
}
