//! Decides on moves of traffic between versions: when to raise the share, when to stop.
//!
//! Every decision is a pure function of the move, the merged evidence and the time, so that
//! all nodes come to the same one without a leader and while the log is down.

use std::time::Duration;

use crate::Counters;
use crate::EvidenceRow;
use crate::FULL_SHARE;
use crate::LATENCY_BOUNDS_MS;
use crate::LiveView;
use crate::Move;
use crate::Service;
use crate::Timestamp;
use crate::VersionName;
use crate::WINDOW_MS;
use crate::millis;

/// Shares of the steps, in thousandths of the traffic that moves.
pub const STEP_SHARES: [u32; 7] = [10, 20, 50, 100, 250, 500, FULL_SHARE];

/// Earliest start of each step, in thousandths of the time between start and deadline.
const EARLIEST: [u64; 7] = [0, 50, 120, 200, 300, 420, 550];

/// Start of each step when there is little traffic, in thousandths of the same time.
const LATEST: [u64; 7] = [0, 300, 450, 550, 650, 750, 850];

/// Earliest time at which a move is done, in thousandths of the same time.
const DONE_AT: u64 = 950;

/// Requests that a step needs before the next one starts at its earliest time.
const STEP_REQUESTS: u64 = 20;

/// Time for which a step lasts at least.
const STEP_LEAST: Duration = Duration::from_millis(1500);

/// Log-likelihood ratio at which a version counts as bad: a false alarm in 10,000.
const STOP_BOUND: f64 = 9.21;

/// Least probability of failure that is assumed of a good version.
const LEAST_FAILURE: f64 = 0.01;

/// Least probability of a slow answer that is assumed of a good version.
const LEAST_SLOW: f64 = 0.05;

/// Probability by which a bad version exceeds a good one.
const BAD_EXCESS: f64 = 0.2;

/// Highest probability that either hypothesis assumes.
const MOST: f64 = 0.95;

/// Weight of the long-term rate when the rate of one window is estimated, in requests.
const PRIOR_REQUESTS: f64 = 20.0;

/// Factor over the old version's latency from which an answer counts as slow.
const SLOW_FACTOR: u64 = 2;

/// Share of the old version's requests below its reference latency, in thousandths.
const REFERENCE_QUANTILE: u64 = 950;

/// Requests of the old version from which its reference latency is taken.
const REFERENCE_REQUESTS: u64 = 20;

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

/// Decides about a running move.
///
/// `step` is the step reached, `None` before the first. `evidence` holds the rows of the
/// service merged over all nodes.
pub fn decide(
    spec: &Move,
    service: &Service,
    step: Option<Step>,
    evidence: &[EvidenceRow],
    now: Timestamp,
) -> Decision {
    if now < spec.start {
        return Decision::Hold;
    }
    if let Some(reason) = find_badness(spec, service, evidence) {
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

fn rows_of<'a>(
    evidence: &'a [EvidenceRow],
    spec: &'a Move,
    version: &'a VersionName,
) -> impl Iterator<Item = &'a EvidenceRow> {
    evidence.iter().filter(move |row| {
        let started = (row.key.window + 1) * WINDOW_MS > spec.start.0;
        row.key.service == spec.service && row.key.version == *version && started
    })
}

fn requests(counters: &Counters) -> u64 {
    counters.ok + counters.failed
}

/// Returns the reason for which the new version counts as bad on some route.
fn find_badness(spec: &Move, service: &Service, evidence: &[EvidenceRow]) -> Option<String> {
    let mut routes: Vec<&str> = rows_of(evidence, spec, &spec.to)
        .map(|row| row.key.route.as_str())
        .collect();
    routes.sort_unstable();
    routes.dedup();
    routes
        .into_iter()
        .find_map(|route| route_badness(spec, service, evidence, route))
}

fn route_badness(
    spec: &Move,
    service: &Service,
    evidence: &[EvidenceRow],
    route: &str,
) -> Option<String> {
    let new = route_rows(evidence, spec, &spec.to, route);
    let old = route_rows(evidence, spec, &spec.from, route);
    let slow_from = slow_bucket(service, &old);
    let failing = Signal::Failures;
    let slow = Signal::Slow(slow_from);
    [(failing, "fails"), (slow, "is slow")]
        .into_iter()
        .find(|(signal, _)| cumulative_sum(&new, &old, *signal) > STOP_BOUND)
        .map(|(_, what)| format!("version {} {what} on route {route:?}", spec.to))
}

fn route_rows<'a>(
    evidence: &'a [EvidenceRow],
    spec: &'a Move,
    version: &'a VersionName,
    route: &str,
) -> Vec<&'a EvidenceRow> {
    let mut rows: Vec<_> = rows_of(evidence, spec, version)
        .filter(|row| row.key.route == route)
        .collect();
    rows.sort_unstable_by_key(|row| row.key.window);
    rows
}

/// What is counted against a version.
#[derive(Clone, Copy, Debug)]
enum Signal {
    /// Failed requests among all.
    Failures,
    /// Answers in this latency bucket or a later one, among those that succeeded.
    Slow(usize),
}

impl Signal {
    /// Returns the requests counted against the version, and those counted in all.
    fn count(self, counters: &Counters) -> (u64, u64) {
        match self {
            Self::Failures => (counters.failed, requests(counters)),
            Self::Slow(from) => {
                let slow = counters.latency.iter().skip(from).sum();
                (slow, counters.latency.iter().sum())
            }
        }
    }

    fn least(self) -> f64 {
        match self {
            Self::Failures => LEAST_FAILURE,
            Self::Slow(_) => LEAST_SLOW,
        }
    }
}

/// Returns the highest value that the cumulative sum of log-likelihood ratios reaches.
///
/// Each window of the new version is tested against the old version's rate in the same window,
/// drawn towards its rate over all windows. The sum never falls below zero, so that badness
/// which begins late shows as soon as badness from the start.
/// Source: Page, "Continuous inspection schemes", 1954.
fn cumulative_sum(new: &[&EvidenceRow], old: &[&EvidenceRow], signal: Signal) -> f64 {
    let (bad, all) = total(old, signal);
    let long_term = (bad as f64 + 0.5) / (all as f64 + 1.0);
    let mut sum = 0.0_f64;
    let mut highest = 0.0_f64;
    for row in new {
        let same: Vec<_> = old
            .iter()
            .filter(|o| o.key.window.abs_diff(row.key.window) <= 1)
            .copied()
            .collect();
        let (bad, all) = total(&same, signal);
        let drawn = (bad as f64 + PRIOR_REQUESTS * long_term) / (all as f64 + PRIOR_REQUESTS);
        let (bad, all) = signal.count(&row.sum);
        sum = (sum + log_ratio(bad, all, drawn.max(signal.least()))).max(0.0);
        highest = highest.max(sum);
    }
    highest
}

/// Returns the log-likelihood ratio of a bad version to a good one for one window.
fn log_ratio(bad: u64, all: u64, good: f64) -> f64 {
    let good = good.min(MOST - BAD_EXCESS);
    let worse = good + BAD_EXCESS;
    let failed = (worse / good).ln();
    let passed = ((1.0 - worse) / (1.0 - good)).ln();
    bad as f64 * failed + (all - bad) as f64 * passed
}

fn total(rows: &[&EvidenceRow], signal: Signal) -> (u64, u64) {
    rows.iter().fold((0, 0), |(bad, all), row| {
        let (b, a) = signal.count(&row.sum);
        (bad + b, all + a)
    })
}

/// Returns the first latency bucket that counts as slow.
fn slow_bucket(service: &Service, old: &[&EvidenceRow]) -> usize {
    let reference = reference_latency(old).unwrap_or_else(|| millis(service.target));
    let bound = reference.saturating_mul(SLOW_FACTOR);
    // Answers in the bucket that holds the bound may still be below it.
    LATENCY_BOUNDS_MS.partition_point(|b| *b < bound) + 1
}

/// Returns the old version's latency at the reference quantile, in milliseconds.
fn reference_latency(old: &[&EvidenceRow]) -> Option<u64> {
    let mut buckets = [0_u64; LATENCY_BOUNDS_MS.len() + 1];
    for row in old {
        for (sum, count) in buckets.iter_mut().zip(&row.sum.latency) {
            *sum += count;
        }
    }
    let all: u64 = buckets.iter().sum();
    if all < REFERENCE_REQUESTS {
        return None;
    }
    let wanted = (all * REFERENCE_QUANTILE).div_ceil(1000);
    let mut seen = 0;
    for (count, bound) in buckets.iter().zip(LATENCY_BOUNDS_MS) {
        seen += count;
        if seen >= wanted {
            return Some(bound);
        }
    }
    LATENCY_BOUNDS_MS.last().copied()
}
