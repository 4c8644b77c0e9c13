//! Decides on moves of traffic between versions: when to raise the share, when to stop.
//!
//! Every decision is a pure function of the move, the merged evidence and the time, so that
//! all nodes come to the same one without a leader and while the log is down.

use std::time::Duration;

use crate::Counters;
use crate::EvidenceRow;
use crate::FULL_SHARE;
use crate::LiveView;
use crate::Move;
use crate::Service;
use crate::Timestamp;
use crate::VersionName;
use crate::VersionTest;
use crate::WINDOW_MS;
use crate::millis;
use crate::version_test::rows_of;

/// Share of the step that leaves the old version enough traffic to compare with.
const CONTROL_SHARE: u32 = 900;

/// Shares of the steps, in thousandths of the traffic that moves.
pub const STEP_SHARES: [u32; 8] = [10, 20, 50, 100, 250, 500, CONTROL_SHARE, FULL_SHARE];

/// Earliest start of each step, in thousandths of the time between start and deadline.
const EARLIEST: [u64; 8] = [0, 50, 120, 200, 300, 420, 550, 800];

/// Start of each step when there is little traffic, in thousandths of the same time.
const LATEST: [u64; 8] = [0, 300, 450, 550, 650, 720, 780, 850];

/// Earliest time at which a move is done, in thousandths of the same time.
const DONE_AT: u64 = 950;

/// Requests that a step needs before the next one starts at its earliest time.
const STEP_REQUESTS: u64 = 20;

/// Time for which a step lasts at least.
const STEP_LEAST: Duration = Duration::from_millis(1500);

/// A step that a move has reached.
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
    /// Index into [`STEP_SHARES`].
    pub index: u32,
    /// Time at which the step started.
    pub at: Timestamp,
}

/// What a node does about a running move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Ends the move as done.
    Finish,
    /// Keeps the share.
    Hold,
    /// Goes on to a step.
    Raise(Step),
    /// Takes the traffic back, for a stated reason.
    Stop(String),
}

/// Returns the share of the moving traffic that the new version gets, in thousandths.
pub fn share_of(step: Step) -> u32 {
    let last = STEP_SHARES.len() - 1;
    STEP_SHARES[(step.index as usize).min(last)]
}

/// Returns the share of each version of a service, in thousandths.
///
/// While a move runs, the versions that it names split what the configuration gives to both:
/// the new one gets the share of the step reached, and nothing once it is stopped.
pub fn shares_now<'a>(
    service: &'a Service,
    running: Option<&Move>,
    live: &LiveView,
) -> Vec<(&'a VersionName, u32)> {
    let declared = |name: &VersionName| service.versions.get(name).map_or(0, |v| v.share);
    service
        .versions
        .iter()
        .map(|(name, version)| {
            let Some(spec) = running.filter(|m| m.from == *name || m.to == *name) else {
                return (name, version.share);
            };
            let both = declared(&spec.from) + declared(&spec.to);
            let new = both * moved_share(spec, live) / FULL_SHARE;
            (name, if spec.to == *name { new } else { both - new })
        })
        .collect()
}

/// Returns the share of the moving traffic that the new version gets now, in thousandths.
pub fn moved_share(spec: &Move, live: &LiveView) -> u32 {
    if live.stops.contains_key(&spec.name) {
        return 0;
    }
    live.steps.get(&spec.name).map_or(0, |s| share_of(*s))
}

/// Decides about a running move on the evidence given alone; see [`decide_on`].
pub fn decide(
    spec: &Move,
    service: &Service,
    step: Option<Step>,
    evidence: &[EvidenceRow],
    now: Timestamp,
) -> Decision {
    let mut test = VersionTest::default();
    decide_on(&mut test, spec, service, step, evidence, now)
}

/// Decides about a running move.
///
/// `test` remembers the evidence of earlier calls. `step` is the step reached, `None` before
/// the first. `evidence` holds the rows of the service merged over all nodes.
pub fn decide_on(
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
    if let Some(reason) = test.find_badness(spec, service, evidence, now) {
        return Decision::Stop(reason);
    }
    let Some(step) = step else {
        return Decision::Raise(Step { index: 0, at: now });
    };
    if step.index as usize + 1 == STEP_SHARES.len() {
        return finish(spec, step, now);
    }
    raise(spec, step, evidence, now)
}

fn finish(spec: &Move, step: Step, now: Timestamp) -> Decision {
    let settled = now.since(step.at) >= STEP_LEAST;
    if settled && now >= point(spec, DONE_AT) {
        Decision::Finish
    } else {
        Decision::Hold
    }
}

fn raise(spec: &Move, step: Step, evidence: &[EvidenceRow], now: Timestamp) -> Decision {
    let index = step.index + 1;
    let next = Decision::Raise(Step { index, at: now });
    if now >= point(spec, LATEST[index as usize]) {
        return next;
    }
    let early = now >= point(spec, EARLIEST[index as usize]);
    let settled = now.since(step.at) >= STEP_LEAST;
    let seen: u64 = rows_of(evidence, spec, &spec.to)
        .filter(|row| row.key.window * WINDOW_MS >= step.at.0)
        .map(|row| requests(&row.sum))
        .sum();
    if early && settled && seen >= STEP_REQUESTS {
        next
    } else {
        Decision::Hold
    }
}

/// Returns the time that lies the given thousandths of the way from start to deadline.
fn point(spec: &Move, thousandths: u64) -> Timestamp {
    let span = millis(spec.deadline.since(spec.start));
    Timestamp(spec.start.0 + span.saturating_mul(thousandths) / 1000)
}

fn requests(counters: &Counters) -> u64 {
    counters.ok + counters.failed
}
