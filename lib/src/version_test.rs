//! Sequential test of a new version against the old one, on the same route and at the same time.
//!
//! Evidence that has passed its retention is kept as cumulative sums, so that a version with little
//! traffic is tested on all its requests, and so that the old version's latency stays known once it
//! has no traffic.

use std::time::Duration;

use indexmap::IndexMap;

use crate::Counters;
use crate::EVIDENCE_WINDOW_MS;
use crate::EvidenceRow;
use crate::LATENCY_BOUNDS_MS;
use crate::Move;
use crate::Service;
use crate::Timestamp;
use crate::VersionName;
use crate::millis;

/// Time after the end of a window at which the window is closed: its counters no longer change. It
/// exceeds the time for which gates retain and report a window (`COUNTER_RETENTION` in `reports`).
const WINDOW_GRACE_PERIOD: Duration = Duration::from_secs(20);

/// Log-likelihood ratio above which a version counts as bad.
///
/// As long as a score is not reset to zero, its false alarm rate is at most e^-10.6, 1 in 40,000;
/// that of the four alternative hypotheses together is at most 1 in 10,000.
const REGRESSION_LLR_THRESHOLD: f64 = 10.6;

/// Alternative hypotheses on failures: excesses of a bad version's failure rate over a good one's.
const FAILURE_RATE_EXCESSES: [f64; 2] = [0.05, 0.2];

/// Alternative hypotheses on latency: excesses of a bad version's rate of slow responses over a
/// good one's.
const SLOW_RATE_EXCESSES: [f64; 2] = [0.4, 0.6];

/// Time after the end of a window for which its slow responses must still count against a version.
///
/// One pause of a machine makes all requests in progress slow at once; the fast ones after it then
/// weigh more. Gates also report late by less than this.
const SLOW_CONFIRMATION_TIME: Duration = Duration::from_millis(500);

/// Minimum failure rate assumed of a good version.
const MIN_FAILURE_RATE: f64 = 0.01;

/// Minimum rate of slow responses assumed of a good version.
const MIN_SLOW_RATE: f64 = 0.05;

/// Maximum rate assumed under any hypothesis.
const MAX_RATE: f64 = 0.95;

/// Weight of the long-term rate as a prior for the rate of one window, in requests.
const PRIOR_REQUESTS: f64 = 20.0;

/// Deviation from the long-term rate above which conditions count as changed, in standard
/// deviations.
const RATE_CHANGE_STDDEV_THRESHOLD: f64 = 1.5;

/// Number of windows on either side of one that belong to its baseline.
const NEIGHBOUR_WINDOWS: u64 = 2;

/// Maximum share of the old version's responses above the latency threshold, in thousandths.
const MAX_SLOW_SHARE_PERMILLE: u64 = 100;

/// Minimum number of the old version's requests at which its latency serves as the reference.
const MIN_REFERENCE_REQUESTS: u64 = 20;

/// Multiple of the service's latency target above which a response is slow while the old version's
/// latency is unknown.
const SLOW_TARGET_FACTOR: u64 = 2;

/// Cumulative sum of log-likelihood ratios, with the requests counted since it was last zero.
#[derive(Clone, Copy, Debug, Default)]
struct CusumScore {
    llr: f64,
    bad: u64,
    all: u64,
}

/// One score for each alternative hypothesis.
#[derive(Clone, Copy, Debug, Default)]
struct CusumScores {
    failures: [CusumScore; FAILURE_RATE_EXCESSES.len()],
    slow: [CusumScore; SLOW_RATE_EXCESSES.len()],
    /// First window of those up to now after which a score of `slow` exceeded the threshold.
    slow_since: Option<u64>,
}

/// Accumulated evidence of a route.
#[derive(Clone, Debug, Default)]
struct RouteState {
    /// The old version's counters in all closed windows.
    old: Counters,
    /// Test statistics over all closed windows.
    scores: CusumScores,
}

/// Counters of the new and the old version, by window.
type Windows = IndexMap<u64, (Counters, Counters)>;

/// Sequential test of the new version of one move.
#[derive(Clone, Debug, Default)]
pub struct VersionTest {
    /// First window that is not closed.
    first_open_window: u64,
    routes: IndexMap<String, RouteState>,
}

impl VersionTest {
    /// Returns the reason why the new version counts as bad on some route, or `None` if it does
    /// not.
    ///
    /// `evidence` holds the rows that nodes retain; each call must pass all rows of at least the
    /// last [`EVIDENCE_RETENTION`](crate::EVIDENCE_RETENTION).
    pub fn find_regression(
        &mut self,
        spec: &Move,
        service: &Service,
        evidence: &[EvidenceRow],
        now: Timestamp,
    ) -> Option<String> {
        let first_open_window =
            now.0.saturating_sub(millis(WINDOW_GRACE_PERIOD)) / EVIDENCE_WINDOW_MS;
        let mut found = None;
        for (route, windows) in self.windows(spec, evidence) {
            let state = self.routes.entry(route.clone()).or_default();
            let regression = state.test(service, &windows, first_open_window, now);
            let reason = regression.map(|r| r.describe(&spec.to, &route));
            found = found.or(reason);
        }
        self.first_open_window = self.first_open_window.max(first_open_window);
        found
    }

    /// Returns the windows that the previous call did not close, by route and in order of time.
    fn windows(&self, spec: &Move, evidence: &[EvidenceRow]) -> IndexMap<String, Windows> {
        let mut routes: IndexMap<String, Windows> = IndexMap::new();
        for row in evidence {
            let key = &row.key;
            let is_new = key.version == spec.to;
            let is_compared = is_new || key.version == spec.from;
            let is_early = is_new && (key.window + 1) * EVIDENCE_WINDOW_MS <= spec.start.0;
            if key.service != spec.service
                || !is_compared
                || is_early
                || key.window < self.first_open_window
            {
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

impl RouteState {
    /// Tests the windows, folds those before `first_open_window` into the scores, and returns how
    /// the new version is worse.
    ///
    /// This is a CUSUM test: a score never falls below zero, so that a regression that begins late
    /// is detected as quickly as one present from the start.
    /// Source: Page, "Continuous inspection schemes", 1954.
    fn test(
        &mut self,
        service: &Service,
        windows: &Windows,
        first_open_window: u64,
        now: Timestamp,
    ) -> Option<Regression> {
        let mut long_term = self.old.clone();
        for (_, old) in windows.values() {
            add(&mut long_term, old);
        }
        let slow = SlowThreshold::of(service, &long_term);
        let mut scores = self.scores;
        let mut found = None;
        for (index, (window, (new, old))) in windows.iter().enumerate() {
            let baseline = Baseline {
                same_window: old,
                nearby: &nearby_counters(windows, *window),
                long_term: &long_term,
            };
            scores.update(*window, new, baseline, slow);
            let next_window = windows.get_index(index + 1);
            let valid_until = next_window.map_or(now, |(next, _)| window_start(*next));
            found = found.or_else(|| scores.regression(slow, valid_until));
            if *window < first_open_window {
                self.scores = scores;
                add(&mut self.old, old);
            }
        }
        found
    }
}

/// Returns the old version's counters in a window and its neighbours.
fn nearby_counters(windows: &Windows, window: u64) -> Counters {
    let mut nearby = Counters::default();
    for other in window.saturating_sub(NEIGHBOUR_WINDOWS)..=window + NEIGHBOUR_WINDOWS {
        if let Some((_, old)) = windows.get(&other) {
            add(&mut nearby, old);
        }
    }
    nearby
}

/// The old version's counters that a window of the new version is compared with.
#[derive(Clone, Copy, Debug)]
struct Baseline<'a> {
    /// In the same window.
    same_window: &'a Counters,
    /// In the same window and its neighbours.
    nearby: &'a Counters,
    /// In all windows.
    long_term: &'a Counters,
}

impl Baseline<'_> {
    /// Returns the rate expected of a good version. `count` returns the bad and all requests.
    ///
    /// Takes the higher of the two estimates, since a change of conditions at the start of a window
    /// shows in that window first.
    fn expected_rate(self, count: impl Fn(&Counters) -> (u64, u64)) -> f64 {
        let long_term = count(self.long_term);
        expected_rate(count(self.same_window), long_term)
            .max(expected_rate(count(self.nearby), long_term))
    }
}

impl CusumScores {
    /// Adds a window of the new version to the scores.
    fn update(&mut self, window: u64, new: &Counters, baseline: Baseline<'_>, slow: SlowThreshold) {
        let failures = |c: &Counters| (c.failed, c.ok + c.failed);
        let good_rate = baseline.expected_rate(failures).max(MIN_FAILURE_RATE);
        update_scores(
            &mut self.failures,
            &FAILURE_RATE_EXCESSES,
            failures(new),
            good_rate,
        );
        let good_rate = if slow.is_relative {
            baseline.expected_rate(|c| count_from(c, slow.bucket - 1))
        } else {
            0.0
        };
        let seen = count_from(new, slow.bucket);
        update_scores(
            &mut self.slow,
            &SLOW_RATE_EXCESSES,
            seen,
            good_rate.max(MIN_SLOW_RATE),
        );
        let is_slow = find_exceeding(&self.slow).is_some();
        self.slow_since = is_slow.then(|| self.slow_since.unwrap_or(window));
    }

    /// Returns how the new version is worse, once a score exceeds the threshold and, for slow
    /// responses, has done so for long enough.
    ///
    /// `valid_until` is the time at which the next window changes the scores.
    fn regression(&self, slow: SlowThreshold, valid_until: Timestamp) -> Option<Regression> {
        if let Some(CusumScore { bad, all, .. }) = find_exceeding(&self.failures) {
            return Some(Regression::Failing { bad, all });
        }
        let since = window_start(self.slow_since? + 1);
        if valid_until.since(since) < SLOW_CONFIRMATION_TIME {
            return None;
        }
        let CusumScore { bad, all, .. } = find_exceeding(&self.slow)?;
        let bound_ms = slow.bound_ms();
        Some(Regression::Slow { bad, all, bound_ms })
    }
}

/// Returns a score that exceeds the threshold.
fn find_exceeding(scores: &[CusumScore]) -> Option<CusumScore> {
    let mut scores = scores.iter().copied();
    scores.find(|score| score.llr > REGRESSION_LLR_THRESHOLD)
}

/// Returns the time at which a window begins.
fn window_start(window: u64) -> Timestamp {
    Timestamp(window * EVIDENCE_WINDOW_MS)
}

impl CusumScore {
    /// Adds a window, whose log-likelihood ratio is `llr`.
    fn add(&mut self, (bad, all): (u64, u64), llr: f64) {
        self.llr += llr;
        self.bad += bad;
        self.all += all;
        if self.llr <= 0.0 {
            *self = Self::default();
        }
    }
}

/// How a new version is worse than the old one.
#[derive(Clone, Copy, Debug)]
enum Regression {
    /// `bad` of `all` requests failed.
    Failing { bad: u64, all: u64 },
    /// `bad` of `all` responses took longer than `bound_ms` milliseconds.
    Slow { bad: u64, all: u64, bound_ms: u64 },
}

impl Regression {
    /// Returns the reason for operators.
    fn describe(self, version: &VersionName, route: &str) -> String {
        match self {
            Self::Failing { bad, all } => {
                format!("version {version} fails on route {route:?}: {bad} of {all} requests")
            }
            Self::Slow { bad, all, bound_ms } => format!(
                "version {version} is slow on route {route:?}: {bad} of {all} responses took over \
                 {bound_ms} ms"
            ),
        }
    }
}

/// Adds a window to the score of each alternative hypothesis.
fn update_scores(
    scores: &mut [CusumScore],
    excesses: &[f64],
    (bad, all): (u64, u64),
    good_rate: f64,
) {
    for (score, excess) in scores.iter_mut().zip(excesses) {
        let llr = log_likelihood_ratio(bad, all, good_rate, *excess);
        score.add((bad, all), llr);
    }
}

/// Returns the rate expected of a good version in one window.
///
/// The estimate is the rate near the window, shrunk towards the long-term rate. When it exceeds the
/// long-term rate by more than chance explains, conditions have changed for both versions: the
/// nearby rate then counts alone, plus its standard error.
fn expected_rate(nearby: (u64, u64), overall: (u64, u64)) -> f64 {
    let long_term_rate = (overall.0 as f64 + 0.5) / (overall.1 as f64 + 1.0);
    let (bad, all) = (nearby.0 as f64, nearby.1 as f64);
    let stddev = (all * long_term_rate * (1.0 - long_term_rate)).sqrt();
    if bad - all * long_term_rate <= RATE_CHANGE_STDDEV_THRESHOLD * stddev {
        return (bad + PRIOR_REQUESTS * long_term_rate) / (all + PRIOR_REQUESTS);
    }
    let weight = all + 1.0;
    let rate = (bad + long_term_rate) / weight;
    rate + (rate * (1.0 - rate) / weight).sqrt()
}

/// Returns the log-likelihood ratio of a bad to a good version for one window.
fn log_likelihood_ratio(bad: u64, all: u64, good_rate: f64, excess: f64) -> f64 {
    let good_rate = good_rate.min(MAX_RATE - excess);
    let bad_rate = good_rate + excess;
    let bad_log_ratio = (bad_rate / good_rate).ln();
    let good_log_ratio = ((1.0 - bad_rate) / (1.0 - good_rate)).ln();
    bad as f64 * bad_log_ratio + (all - bad) as f64 * good_log_ratio
}

/// Latency threshold above which responses of the new version are slow.
#[derive(Clone, Copy, Debug)]
struct SlowThreshold {
    /// First latency bucket of slow responses; 1 or more.
    bucket: usize,
    /// Whether the expected rate comes from the old version's responses, counted from the bucket
    /// below `bucket`.
    ///
    /// The offset of one bucket lets a good version be slower than the old one by the ratio of two
    /// adjacent bounds.
    is_relative: bool,
}

impl SlowThreshold {
    fn of(service: &Service, old: &Counters) -> Self {
        let all: u64 = old.latency.iter().sum();
        if all < MIN_REFERENCE_REQUESTS {
            let threshold = millis(service.target).saturating_mul(SLOW_TARGET_FACTOR);
            // The bucket that holds the threshold also has responses below it.
            let bucket = LATENCY_BOUNDS_MS.partition_point(|b| *b < threshold) + 1;
            return Self {
                bucket,
                is_relative: false,
            };
        }
        let last = LATENCY_BOUNDS_MS.len();
        let bucket = (1..last).find(|k| {
            let (slower, _) = count_from(old, k - 1);
            slower * 1000 <= all * MAX_SLOW_SHARE_PERMILLE
        });
        Self {
            bucket: bucket.unwrap_or(last),
            is_relative: true,
        }
    }

    /// Returns the latency, in milliseconds, above which responses are slow.
    fn bound_ms(self) -> u64 {
        let last = LATENCY_BOUNDS_MS.len();
        LATENCY_BOUNDS_MS[self.bucket.min(last) - 1]
    }
}

/// Returns the number of responses from a latency bucket on, and of all responses.
fn count_from(counters: &Counters, bucket: usize) -> (u64, u64) {
    let slow = counters.latency.iter().skip(bucket).sum();
    (slow, counters.latency.iter().sum())
}

/// Adds counters to a sum.
fn add(sum: &mut Counters, counters: &Counters) {
    sum.ok += counters.ok;
    sum.failed += counters.failed;
    let buckets = sum.latency.len().max(counters.latency.len());
    sum.latency.resize(buckets, 0);
    for (total, seen) in sum.latency.iter_mut().zip(&counters.latency) {
        *total += seen;
    }
}

/// Returns the rows of a version of the service that a move belongs to.
pub(crate) fn rows_of<'a>(
    evidence: &'a [EvidenceRow],
    spec: &'a Move,
    version: &'a VersionName,
) -> impl Iterator<Item = &'a EvidenceRow> {
    let is_match =
        move |row: &&EvidenceRow| row.key.service == spec.service && row.key.version == *version;
    evidence.iter().filter(is_match)
}
