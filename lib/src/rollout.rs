//! Rollout decisions for moves of traffic between versions: when to advance, finish or roll back.
//!
//! A decision is a pure function of the move, the merged evidence and the time, so that all nodes
//! decide alike without a leader and while the log is down.

use std::time::Duration;

use crate::Counters;
use crate::EVIDENCE_WINDOW_MS;
use crate::EvidenceRow;
use crate::FULL_SHARE_PERMILLE;
use crate::LiveView;
use crate::Move;
use crate::Service;
use crate::Timestamp;
use crate::VersionName;
use crate::VersionTest;
use crate::millis;
use crate::version_test::rows_of;

/// Share of the new version at the last step at which the old version keeps enough traffic for a
/// comparison, in thousandths.
const LAST_COMPARABLE_SHARE_PERMILLE: u32 = 900;

/// Share of the new version at each step, in thousandths of the moving traffic.
pub const STEP_SHARES_PERMILLE: [u32; 8] = [
    10,
    20,
    50,
    100,
    250,
    500,
    LAST_COMPARABLE_SHARE_PERMILLE,
    FULL_SHARE_PERMILLE,
];

/// Earliest start of each step, in thousandths of the time from start to deadline of the move.
const EARLIEST_STEP_STARTS_PERMILLE: [u64; 8] = [0, 50, 120, 200, 300, 420, 550, 800];

/// Latest start of each step, for services with little traffic; same unit as
/// [`EARLIEST_STEP_STARTS_PERMILLE`].
const LATEST_STEP_STARTS_PERMILLE: [u64; 8] = [0, 300, 450, 550, 650, 720, 780, 850];

/// Earliest completion of a move; same unit as [`EARLIEST_STEP_STARTS_PERMILLE`].
const EARLIEST_FINISH_PERMILLE: u64 = 950;

/// Minimum number of the new version's requests in a step before the next step may start ahead of
/// its latest start.
const MIN_STEP_REQUESTS: u64 = 20;

/// Minimum duration of a step before the move advances early or finishes.
const MIN_STEP_DURATION: Duration = Duration::from_millis(1500);

/// Step that a move has reached.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    serde::Deserialize,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Serialize,
)]
pub struct Step {
    /// Index into [`STEP_SHARES_PERMILLE`], from 0.
    pub index: u32,
    /// Time at which the step started.
    pub at: Timestamp,
}

/// Decision on a running move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// End the move as completed.
    Finish,
    /// Keep the current share.
    Hold,
    /// Advance to a step.
    Advance(Step),
    /// Roll the traffic back to the old version, with the reason for operators.
    Stop(String),
}

/// Returns the new version's share of the moving traffic at a step, in thousandths.
pub fn step_share(step: Step) -> u32 {
    let last = STEP_SHARES_PERMILLE.len() - 1;
    STEP_SHARES_PERMILLE[(step.index as usize).min(last)]
}

/// Returns the effective share of each version of a service, in thousandths of its traffic.
///
/// During a move, its two versions split the sum of their declared shares: the new version gets
/// the share of the current step, or nothing once the move has been stopped.
pub fn effective_shares<'a>(
    service: &'a Service,
    active_move: Option<&Move>,
    live: &LiveView,
) -> Vec<(&'a VersionName, u32)> {
    let declared = |name: &VersionName| service.versions.get(name).map_or(0, |v| v.share);
    service
        .versions
        .iter()
        .map(|(name, version)| {
            let Some(spec) = active_move.filter(|m| m.from == *name || m.to == *name) else {
                return (name, version.share);
            };
            let both = declared(&spec.from) + declared(&spec.to);
            let new = both * rollout_share(spec, live) / FULL_SHARE_PERMILLE;
            (name, if spec.to == *name { new } else { both - new })
        })
        .collect()
}

/// Returns the new version's current share of the moving traffic, in thousandths; 0 when stopped.
pub fn rollout_share(spec: &Move, live: &LiveView) -> u32 {
    if live.stops.contains_key(&spec.name) {
        return 0;
    }
    live.steps.get(&spec.name).map_or(0, |s| step_share(*s))
}

/// Decides on a running move from `evidence` only, with an empty test; see [`decide_with_test`].
pub fn decide(
    spec: &Move,
    service: &Service,
    step: Option<Step>,
    evidence: &[EvidenceRow],
    now: Timestamp,
) -> Decision {
    let mut test = VersionTest::default();
    decide_with_test(&mut test, spec, service, step, evidence, now)
}

/// Decides on a running move.
///
/// `test` accumulates the evidence of earlier calls. `step` is the current step, `None` before
/// the first. `evidence` holds the service's rows, merged over all nodes.
pub fn decide_with_test(
    test: &mut VersionTest,
    spec: &Move,
    service: &Service,
    step: Option<Step>,
    evidence: &[EvidenceRow],
    now: Timestamp,
) -> Decision {
    if now < spec.start {
        return Decision::Hold;
    }
    if let Some(reason) = test.find_regression(spec, service, evidence, now) {
        return Decision::Stop(reason);
    }
    let Some(step) = step else {
        return Decision::Advance(Step { index: 0, at: now });
    };
    if step.index as usize + 1 == STEP_SHARES_PERMILLE.len() {
        return decide_finish(spec, step, now);
    }
    decide_advance(spec, step, evidence, now)
}

/// Returns the decision at the last step: finish once the move is due, else hold.
fn decide_finish(spec: &Move, step: Step, now: Timestamp) -> Decision {
    let has_min_duration = now.since(step.at) >= MIN_STEP_DURATION;
    if has_min_duration && now >= time_at(spec, EARLIEST_FINISH_PERMILLE) {
        Decision::Finish
    } else {
        Decision::Hold
    }
}

/// Returns the decision before the last step: advance once the next step is due, else hold.
fn decide_advance(spec: &Move, step: Step, evidence: &[EvidenceRow], now: Timestamp) -> Decision {
    let index = step.index + 1;
    let next = Decision::Advance(Step { index, at: now });
    if now >= time_at(spec, LATEST_STEP_STARTS_PERMILLE[index as usize]) {
        return next;
    }
    let is_due = now >= time_at(spec, EARLIEST_STEP_STARTS_PERMILLE[index as usize]);
    let has_min_duration = now.since(step.at) >= MIN_STEP_DURATION;
    let step_requests: u64 = rows_of(evidence, spec, &spec.to)
        .filter(|row| row.key.window * EVIDENCE_WINDOW_MS >= step.at.0)
        .map(|row| request_count(&row.sum))
        .sum();
    if is_due && has_min_duration && step_requests >= MIN_STEP_REQUESTS {
        next
    } else {
        Decision::Hold
    }
}

/// Returns the time at the given thousandths of the interval from start to deadline.
fn time_at(spec: &Move, thousandths: u64) -> Timestamp {
    let span = millis(spec.deadline.since(spec.start));
    Timestamp(spec.start.0 + span.saturating_mul(thousandths) / 1000)
}

fn request_count(counters: &Counters) -> u64 {
    counters.ok + counters.failed
}
