//! Comparison of a new version with the old ones, and the tests that decide whether it is bad.
//!
//! A bad version fails some of its requests or responds several times slower, from the start or
//! later, on all routes or on one. Responses differ widely in length, so the logarithms of their
//! times are compared.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::Outcomes;
use crate::VersionSide;
use crate::rollouts::rollout_survival::LogRank;
use crate::rollouts::rollout_survival::SurvivalTable;

/// Log-likelihood ratio above which a version counts as failing.
///
/// A single test since the start gives a false alarm in about one of 400 rollouts at most. The test
/// is run on each route and in total, both since the start and over a moving window, so that all of
/// them together give more.
const FAILURE_LLR_THRESHOLD: f64 = 6.0;

/// Log-likelihood ratio above which a version is in doubt and not completed.
const FAILURE_LLR_DOUBT: f64 = 1.0;

/// Minimum number of failures for a version to count as failing.
const MIN_FAILURES: u64 = 3;

/// Excess of a bad version's failure probability over that of the old versions.
const FAILURE_RATE_EXCESS: f64 = 0.2;

/// Minimum failure probability that is assumed of a good version.
const MIN_FAILURE_RATE: f64 = 0.02;

/// Maximum failure probability that is assumed of a bad version.
const MAX_FAILURE_RATE: f64 = 0.95;

/// Minimum number of responses on each side for times to be compared.
const MIN_TIMED_RESPONSES: u64 = 6;

/// Ratio of the geometric mean times above which a version counts as slow; it leaves a margin for
/// the first prefill of prompts.
const SLOWDOWN_THRESHOLD: f64 = 2.2;

/// Number of standard errors by which the mean log time of a slow version must exceed that of the
/// old versions.
const SLOWDOWN_STDERR_THRESHOLD: f64 = 4.0;

/// Number of standard errors by which the responses of a slow version must fall short of the
/// expected number.
const HAZARD_STDERR_THRESHOLD: f64 = 3.5;

/// Number of standard errors from which a version is in doubt and not completed.
const DOUBT_STDERR_THRESHOLD: f64 = 1.7;

/// Ratio of expected to observed responses above which a version counts as slow.
const HAZARD_RATIO_THRESHOLD: f64 = 1.7;

/// Way in which a new version is worse than the old ones.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum Regression {
    /// it fails more often than the old versions
    Failing,
    /// it responds more slowly than the old versions
    Slow,
}

/// Returns the regression of the new version against the old ones on the same route, if any.
///
/// Sources: Wald, "Sequential tests of statistical hypotheses", 1945; Welch, "The
/// generalization of Student's problem", 1947.
pub fn find_regression(target: &Outcomes, old: &Outcomes) -> Option<Regression> {
    if is_failing(target, old) {
        Some(Regression::Failing)
    } else if is_slow(target, old) {
        Some(Regression::Slow)
    } else {
        None
    }
}

fn is_failing(target: &Outcomes, old: &Outcomes) -> bool {
    target.failed >= MIN_FAILURES && failure_llr(target, old) > FAILURE_LLR_THRESHOLD
}

/// Returns the log-likelihood ratio of a failing version against one that fails like the old ones.
fn failure_llr(target: &Outcomes, old: &Outcomes) -> f64 {
    let good = old
        .failure_rate()
        .clamp(MIN_FAILURE_RATE, MAX_FAILURE_RATE - FAILURE_RATE_EXCESS);
    let bad = good + FAILURE_RATE_EXCESS;
    let failures = target.failed as f64 * (bad / good).ln();
    let responses = target.answered as f64 * ((1.0 - bad) / (1.0 - good)).ln();
    failures + responses
}

fn is_slow(target: &Outcomes, old: &Outcomes) -> bool {
    if target.answered < MIN_TIMED_RESPONSES || old.answered < MIN_TIMED_RESPONSES {
        return false;
    }
    let (slow, slow_variance) = target.log_mean();
    let (baseline, baseline_variance) = old.log_mean();
    let excess = slow - baseline;
    excess > SLOWDOWN_THRESHOLD.ln()
        && excess > SLOWDOWN_STDERR_THRESHOLD * (slow_variance + baseline_variance).sqrt()
}

impl LogRank {
    /// Returns whether responses are missing by more than chance explains in most rollouts.
    pub(crate) fn is_in_doubt(self) -> bool {
        self.shortfall() > DOUBT_STDERR_THRESHOLD
    }

    fn is_regression(self) -> bool {
        self.shortfall() > HAZARD_STDERR_THRESHOLD
            && self.expected > HAZARD_RATIO_THRESHOLD * self.observed
    }
}

/// Difference between the times of both sides of a rollout, over all routes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slowdown {
    /// Number of times on the side of the new version.
    pub(crate) count: u64,
    /// Mean excess of the logarithms of the new version's times.
    pub(crate) excess: f64,
    /// Standard error of that mean.
    pub(crate) stderr: f64,
}

impl Slowdown {
    /// Pools the differences on the given routes, each weighted by its precision, so that the mix
    /// of routes may differ by side.
    ///
    /// The spread of the times is taken from the old versions, which have more of them.
    ///
    /// Source: Cochran, "The combination of estimates from different experiments", 1954.
    fn pool<'a>(routes: impl Iterator<Item = (&'a Outcomes, &'a Outcomes)>) -> Self {
        let mut pooled = Self::default();
        let mut weights = 0.0;
        for (target, old) in routes {
            if target.answered == 0 || old.answered < MIN_TIMED_RESPONSES {
                continue;
            }
            let (baseline, baseline_variance) = old.log_mean();
            let spread = baseline_variance * old.answered as f64;
            let weight = 1.0 / (spread / target.answered as f64 + baseline_variance);
            let (slow, _) = target.log_mean();
            pooled.count += target.answered;
            pooled.excess += weight * (slow - baseline);
            weights += weight;
        }
        if weights > 0.0 {
            pooled.excess /= weights;
            pooled.stderr = weights.sqrt().recip();
        }
        pooled
    }

    fn is_regression(self) -> bool {
        self.count >= MIN_TIMED_RESPONSES
            && self.excess > SLOWDOWN_THRESHOLD.ln()
            && self.excess > SLOWDOWN_STDERR_THRESHOLD * self.stderr
    }
}

/// Outcomes of both sides of a rollout on one route.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteEvidence {
    /// Outcomes of the old versions.
    pub old: Outcomes,
    /// Outcomes of the new version.
    pub target: Outcomes,
    /// Times since the start of the requests that run on old versions.
    #[serde(default)]
    #[serde_as(as = "Vec<DurationMilliSeconds<u64>>")]
    pub old_running: Vec<Duration>,
    /// Times since the start of the requests that run on the new version.
    #[serde(default)]
    #[serde_as(as = "Vec<DurationMilliSeconds<u64>>")]
    pub target_running: Vec<Duration>,
}

impl RouteEvidence {
    /// Returns the outcomes of the new version with the times of overdue requests.
    fn timed_target(&self) -> Outcomes {
        self.target.with_overdue(&self.target_running, &self.old)
    }
}

/// Outcomes of both sides of a rollout, by route.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RolloutEvidence {
    /// Number of the rollout order.
    pub order: u64,
    /// Outcomes by route name.
    pub routes: IndexMap<String, RouteEvidence>,
}

impl RolloutEvidence {
    /// Creates empty evidence for an order.
    pub fn new(order: u64) -> Self {
        Self {
            order,
            ..Self::default()
        }
    }

    /// Returns a mutable reference to one side of a route, which is created if missing.
    pub fn side_mut(&mut self, route: &str, side: VersionSide) -> &mut Outcomes {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.to_owned(), RouteEvidence::default());
        }
        let evidence = &mut self.routes[route];
        match side {
            VersionSide::Old => &mut evidence.old,
            VersionSide::Target => &mut evidence.target,
        }
    }

    /// Adds a request that has run on one side for the time `age`.
    pub fn record_running(&mut self, route: &str, side: VersionSide, age: Duration) {
        let evidence = self.routes.entry(route.to_owned()).or_default();
        match side {
            VersionSide::Old => evidence.old_running.push(age),
            VersionSide::Target => evidence.target_running.push(age),
        }
    }

    /// Adds the evidence of another entry.
    pub fn add(&mut self, other: &Self) {
        for (route, evidence) in &other.routes {
            let sum = self.routes.entry(route.clone()).or_default();
            sum.old.add(&evidence.old);
            sum.target.add(&evidence.target);
            sum.old_running.extend(&evidence.old_running);
            sum.target_running.extend(&evidence.target_running);
        }
    }

    /// Removes the requests that run, of an entry that no longer says which ones do.
    pub(crate) fn clear_running(&mut self) {
        for evidence in self.routes.values_mut() {
            evidence.old_running.clear();
            evidence.target_running.clear();
        }
    }

    /// Returns the numbers of requests sent to all versions and to the new version.
    pub fn sent(&self) -> (u64, u64) {
        let target: u64 = self.routes.values().map(|t| t.target.sent).sum();
        let old: u64 = self.routes.values().map(|t| t.old.sent).sum();
        (old + target, target)
    }

    /// Returns the number of responses and failures of the new version.
    pub(crate) fn target_outcomes(&self) -> u64 {
        let targets = self.routes.values().map(|t| &t.target);
        targets.map(|t| t.answered + t.failed).sum()
    }

    /// Returns the regression of the new version, if any.
    ///
    /// Looks at each route and at all routes together, both since the start and since the snapshot
    /// `older`.
    pub fn find_regression(&self, older: &Self) -> Option<Regression> {
        let start = Self::default();
        if self.is_failing_since(&start) || self.is_failing_since(older) {
            return Some(Regression::Failing);
        }
        let is_slow = self.is_slow()
            || self.is_slow_since(older)
            || self.exceeds_tolerance() && self.compare_survival().is_regression();
        is_slow.then_some(Regression::Slow)
    }

    /// Returns the difference in times between both sides over all routes, since the start.
    pub(crate) fn slowdown(&self) -> Slowdown {
        let timed = self.timed();
        Slowdown::pool(timed.iter().map(|(target, old)| (target, *old)))
    }

    /// Compares how long requests run on both sides, over all routes.
    pub(crate) fn compare_survival(&self) -> LogRank {
        let mut log_rank = LogRank::default();
        for route in self.routes.values() {
            log_rank.add_stratum(
                &SurvivalTable::new(&route.target.times, &route.target_running),
                &SurvivalTable::new(&route.old.times, &route.old_running),
            );
        }
        log_rank
    }

    /// Returns whether the new version is more likely slower than tolerated than not.
    ///
    /// Where times hardly differ, a small slowdown is significant as well. Elsewhere it is not, and
    /// nothing is tolerated: a version that slows only some requests is not much slower in the
    /// mean.
    fn exceeds_tolerance(&self) -> bool {
        let mut log_rank = LogRank::default();
        for route in self.routes.values() {
            let create_table = if route.old.has_steady_times() {
                SurvivalTable::tolerant
            } else {
                SurvivalTable::new
            };
            log_rank.add_stratum(
                &create_table(&route.target.times, &route.target_running),
                &SurvivalTable::new(&route.old.times, &route.old_running),
            );
        }
        log_rank.shortfall() > 0.0
    }

    /// Returns whether the evidence speaks against the new version, though not clearly.
    pub fn is_in_doubt(&self) -> bool {
        let mut total = RouteEvidence::default();
        for evidence in self.routes.values() {
            total.target.add(&evidence.target);
            total.old.add(&evidence.old);
        }
        let is_failing = failure_llr(&total.target, &total.old) > FAILURE_LLR_DOUBT;
        is_failing || self.exceeds_tolerance() && self.compare_survival().is_in_doubt()
    }

    fn is_failing_since(&self, older: &Self) -> bool {
        let mut total = (Outcomes::default(), Outcomes::default());
        for (route, evidence) in &self.routes {
            let target = evidence.target.since(&older.target_of(route));
            if is_failing(&target, &evidence.old) {
                return true;
            }
            total.0.add(&target);
            total.1.add(&evidence.old);
        }
        is_failing(&total.0, &total.1)
    }

    fn is_slow(&self) -> bool {
        let timed = self.timed();
        let pooled = Slowdown::pool(timed.iter().map(|(target, old)| (target, *old)));
        pooled.is_regression() || timed.iter().any(|(target, old)| is_slow(target, old))
    }

    /// Returns whether the newest responses on a route are slow.
    ///
    /// When fewer requests were sent than have ended, the newest responses are the long ones of
    /// earlier requests and tell nothing.
    fn is_slow_since(&self, older: &Self) -> bool {
        self.routes.iter().any(|(route, evidence)| {
            let target = evidence.target.since(&older.target_of(route));
            target.sent >= target.answered && is_slow(&target, &evidence.old)
        })
    }

    /// Returns the timed outcomes of the new version and the outcomes of the old versions, by
    /// route.
    fn timed(&self) -> Vec<(Outcomes, &Outcomes)> {
        let routes = self.routes.values();
        routes.map(|e| (e.timed_target(), &e.old)).collect()
    }

    fn target_of(&self, route: &str) -> Outcomes {
        self.routes
            .get(route)
            .map_or_else(Outcomes::default, |e| e.target)
    }
}
