//! Tests a new version against the version in force, on the same route and at the same time.
//!
//! Evidence that nodes drop is kept as sums, so that a version with little traffic is judged on
//! all its requests, and so that the old version's latency stays known once it has no traffic.

use std::time::Duration;

use indexmap::IndexMap;

use crate::Counters;
use crate::EvidenceRow;
use crate::LATENCY_BOUNDS_MS;
use crate::Move;
use crate::Service;
use crate::Timestamp;
use crate::VersionName;
use crate::WINDOW_MS;
use crate::millis;

/// Age from which a window's counters no longer change.
const SETTLED_AFTER: Duration = Duration::from_secs(20);

/// Log-likelihood ratio at which a version counts as bad: a false alarm in 10,000 for each of
/// the alternatives.
const STOP_BOUND: f64 = 10.6;

/// Probabilities by which bad versions exceed good ones in failures.
const FAILURE_EXCESS: [f64; 2] = [0.05, 0.2];

/// Probability by which bad versions exceed good ones in slow answers.
const SLOW_EXCESS: [f64; 2] = [0.4, 0.6];

/// Least probability of failure that is assumed of a good version.
const LEAST_FAILURE: f64 = 0.01;

/// Least probability of a slow answer that is assumed of a good version.
const LEAST_SLOW: f64 = 0.05;

/// Highest probability that either hypothesis assumes.
const MOST: f64 = 0.95;

/// Weight of the long-term rate when the rate of one window is estimated, in requests.
const PRIOR_REQUESTS: f64 = 20.0;

/// Standard deviations above the long-term rate from which conditions count as changed.
const SURPRISE: f64 = 1.5;

/// Windows before and after one whose requests of the old version are compared with it.
const NEAR_WINDOWS: u64 = 2;

/// Share of the old version's answers that may be slower than the bound of slow answers,
/// in thousandths.
const SLOW_SHARE: u64 = 100;

/// Requests of the old version from which its latency is taken.
const REFERENCE_REQUESTS: u64 = 20;

/// Factor over the service's target from which an answer is slow while the old version's
/// latency is unknown.
const TARGET_FACTOR: u64 = 2;

/// Cumulative sums of log-likelihood ratios, one an alternative.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    failures: [f64; FAILURE_EXCESS.len()],
    slow: [f64; SLOW_EXCESS.len()],
}

/// What is remembered of a route.
#[derive(Clone, Debug, Default)]
struct RouteMemory {
    old: Counters,
    sums: Sums,
}

/// The counters of a route's windows, of the new and the old version.
type Windows = IndexMap<u64, (Counters, Counters)>;

/// The test of one move's new version.
#[derive(Clone, Debug, Default)]
pub struct VersionTest {
    /// First window whose counters have not been summed up.
    settled: u64,
    routes: IndexMap<String, RouteMemory>,
}

impl VersionTest {
    /// Returns the reason for which the new version counts as bad on some route.
    ///
    /// `evidence` holds the rows that nodes still keep; each call must give the rows of at
    /// least the last minute.
    pub fn find_badness(
        &mut self,
        spec: &Move,
        service: &Service,
        evidence: &[EvidenceRow],
        now: Timestamp,
    ) -> Option<String> {
        let upto = now.0.saturating_sub(millis(SETTLED_AFTER)) / WINDOW_MS;
        let mut found = None;
        for (route, windows) in self.windows(spec, evidence) {
            let memory = self.routes.entry(route.clone()).or_default();
            let what = memory.test(service, &windows, upto);
            let reason = what.map(|w| format!("version {} {w} on route {route:?}", spec.to));
            found = found.or(reason);
        }
        self.settled = self.settled.max(upto);
        found
    }

    /// Returns the windows that are not summed up, in order, by route.
    fn windows(&self, spec: &Move, evidence: &[EvidenceRow]) -> IndexMap<String, Windows> {
        let mut routes: IndexMap<String, Windows> = IndexMap::new();
        for row in evidence {
            let key = &row.key;
            let is_new = key.version == spec.to;
            let wanted = is_new || key.version == spec.from;
            let early = is_new && (key.window + 1) * WINDOW_MS <= spec.start.0;
            if key.service != spec.service || !wanted || early || key.window < self.settled {
                continue;
            }
            let windows = routes.entry(key.route.clone()).or_default();
            let (new, old) = windows.entry(key.window).or_default();
            add(if is_new { new } else { old }, &row.sum);
        }
        for windows in routes.values_mut() {
            windows.sort_unstable_keys();
        }
        routes
    }
}

impl RouteMemory {
    /// Tests the windows, sums up those before `upto` and tells what is wrong.
    ///
    /// The sums never fall below zero, so that badness which begins late shows as soon as
    /// badness from the start.
    /// Source: Page, "Continuous inspection schemes", 1954.
    fn test(&mut self, service: &Service, windows: &Windows, upto: u64) -> Option<&'static str> {
        let mut long = self.old.clone();
        for (_, old) in windows.values() {
            add(&mut long, old);
        }
        let slow = SlowBound::of(service, &long);
        let mut sums = self.sums;
        let mut found = None;
        for (window, (new, old)) in windows {
            let control = Control {
                same: old,
                near: &near_window(windows, *window),
                long: &long,
            };
            sums.update(new, control, slow);
            found = found.or_else(|| sums.verdict());
            if *window < upto {
                self.sums = sums;
                add(&mut self.old, old);
            }
        }
        found
    }
}

/// Returns the old version's counters in the windows next to one and in it.
fn near_window(windows: &Windows, window: u64) -> Counters {
    let mut near = Counters::default();
    for other in window.saturating_sub(NEAR_WINDOWS)..=window + NEAR_WINDOWS {
        if let Some((_, old)) = windows.get(&other) {
            add(&mut near, old);
        }
    }
    near
}

/// The old version's counters that one window of the new version is compared with.
#[derive(Clone, Copy, Debug)]
struct Control<'a> {
    /// Of the same window.
    same: &'a Counters,
    /// Of the windows next to it as well.
    near: &'a Counters,
    /// Of all windows.
    long: &'a Counters,
}

impl Control<'_> {
    /// Returns the rate to expect of a good version, by what is counted.
    ///
    /// Conditions that change at a window's start show in the same window first.
    fn expected(self, count: impl Fn(&Counters) -> (u64, u64)) -> f64 {
        let long = count(self.long);
        expected(count(self.same), long).max(expected(count(self.near), long))
    }
}

impl Sums {
    fn update(&mut self, new: &Counters, control: Control<'_>, slow: SlowBound) {
        let failures = |c: &Counters| (c.failed, c.ok + c.failed);
        let good = control.expected(failures).max(LEAST_FAILURE);
        advance(&mut self.failures, &FAILURE_EXCESS, failures(new), good);
        let good = if slow.is_relative {
            control.expected(|c| count_from(c, slow.bucket - 1))
        } else {
            0.0
        };
        let seen = count_from(new, slow.bucket);
        advance(&mut self.slow, &SLOW_EXCESS, seen, good.max(LEAST_SLOW));
    }

    fn verdict(&self) -> Option<&'static str> {
        let passes = |sums: &[f64]| sums.iter().any(|sum| *sum > STOP_BOUND);
        if passes(&self.failures) {
            Some("fails")
        } else if passes(&self.slow) {
            Some("is slow")
        } else {
            None
        }
    }
}

fn advance(sums: &mut [f64], excess: &[f64], (bad, all): (u64, u64), good: f64) {
    for (sum, excess) in sums.iter_mut().zip(excess) {
        *sum = (*sum + log_ratio(bad, all, good, *excess)).max(0.0);
    }
}

/// Returns the rate to expect of a good version in one window.
///
/// The rate next to the window is drawn towards the long-term one. When it is higher than
/// chance explains, conditions have changed for both versions: it then counts alone, with its
/// standard error added.
fn expected(near: (u64, u64), long: (u64, u64)) -> f64 {
    let long_term = (long.0 as f64 + 0.5) / (long.1 as f64 + 1.0);
    let (bad, all) = (near.0 as f64, near.1 as f64);
    let chance = (all * long_term * (1.0 - long_term)).sqrt();
    if bad - all * long_term <= SURPRISE * chance {
        return (bad + PRIOR_REQUESTS * long_term) / (all + PRIOR_REQUESTS);
    }
    let weight = all + 1.0;
    let rate = (bad + long_term) / weight;
    rate + (rate * (1.0 - rate) / weight).sqrt()
}

/// Returns the log-likelihood ratio of a bad version to a good one for one window.
fn log_ratio(bad: u64, all: u64, good: f64, excess: f64) -> f64 {
    let good = good.min(MOST - excess);
    let worse = good + excess;
    let failed = (worse / good).ln();
    let passed = ((1.0 - worse) / (1.0 - good)).ln();
    bad as f64 * failed + (all - bad) as f64 * passed
}

/// Which answers of the new version are slow.
#[derive(Clone, Copy, Debug)]
struct SlowBound {
    /// First latency bucket of slow answers; 1 or more.
    bucket: usize,
    /// Whether the old version's answers from the bucket before on are the measure.
    ///
    /// That bucket lies the ratio of two bounds lower, so that a good version may be slower
    /// than the old one by this ratio.
    is_relative: bool,
}

impl SlowBound {
    fn of(service: &Service, old: &Counters) -> Self {
        let all: u64 = old.latency.iter().sum();
        if all < REFERENCE_REQUESTS {
            let bound = millis(service.target).saturating_mul(TARGET_FACTOR);
            // Answers in the bucket that holds the bound may still be below it.
            let bucket = LATENCY_BOUNDS_MS.partition_point(|b| *b < bound) + 1;
            return Self {
                bucket,
                is_relative: false,
            };
        }
        let last = LATENCY_BOUNDS_MS.len();
        let bucket = (1..last).find(|k| {
            let (slower, _) = count_from(old, k - 1);
            slower * 1000 <= all * SLOW_SHARE
        });
        Self {
            bucket: bucket.unwrap_or(last),
            is_relative: true,
        }
    }
}

/// Returns the answers in a latency bucket or a later one, and all answers.
fn count_from(counters: &Counters, bucket: usize) -> (u64, u64) {
    let slow = counters.latency.iter().skip(bucket).sum();
    (slow, counters.latency.iter().sum())
}

fn add(sum: &mut Counters, counters: &Counters) {
    sum.ok += counters.ok;
    sum.failed += counters.failed;
    let buckets = sum.latency.len().max(counters.latency.len());
    sum.latency.resize(buckets, 0);
    for (total, seen) in sum.latency.iter_mut().zip(&counters.latency) {
        *total += seen;
    }
}

/// Returns the rows of a version of the move's service.
pub(crate) fn rows_of<'a>(
    evidence: &'a [EvidenceRow],
    spec: &'a Move,
    version: &'a VersionName,
) -> impl Iterator<Item = &'a EvidenceRow> {
    let is_of =
        move |row: &&EvidenceRow| row.key.service == spec.service && row.key.version == *version;
    evidence.iter().filter(is_of)
}
