//! Comparison of how long requests run on two sides, including requests that still run.
//!
//! A request that still runs is known to take longer than its age (it is censored). The log-rank
//! test compares, for each age, the part of the requests of that age that end, and so uses the
//! running ones up to their age.
//!
//! Sources: Mantel, "Evaluation of survival data and two new rank order statistics", 1966; Cutler
//! and Ederer, "Maximum utilization of the life table method", 1958.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Number of classes of a [`TimeHistogram`].
const CLASS_COUNT: usize = 32;

/// Upper bound of the first class in milliseconds.
const FIRST_CLASS_MS: f64 = 8.0;

/// Width of a class on the scale of natural logarithms.
const CLASS_WIDTH: f64 = 0.3;

/// Tolerated slowdown as a number of classes: a version up to 1.8 times as slow is not bad.
const TOLERATED_CLASSES: usize = 2;

/// Numbers of requests by time, in classes of equal width on a logarithmic scale.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TimeHistogram([u32; CLASS_COUNT]);

impl TimeHistogram {
    pub(crate) fn record(&mut self, time: Duration) {
        let count = &mut self.0[class_of(time)];
        *count = count.saturating_add(1);
    }

    pub(crate) fn add(&mut self, other: &Self) {
        for (count, more) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(more);
        }
    }

    /// Returns the numbers of the same requests if their times were shorter by a number of classes.
    fn shortened(&self, classes: usize) -> Self {
        let mut shorter = Self::default();
        for (class, count) in self.0.iter().enumerate() {
            let sum = &mut shorter.0[class.saturating_sub(classes)];
            *sum = sum.saturating_add(*count);
        }
        shorter
    }

    pub(crate) fn since(&self, older: &Self) -> Self {
        let mut difference = *self;
        for (count, before) in difference.0.iter_mut().zip(older.0) {
            *count = count.saturating_sub(before);
        }
        difference
    }
}

fn class_of(time: Duration) -> usize {
    let ms = time.as_secs_f64() * 1000.0;
    let class = (ms.max(1.0) / FIRST_CLASS_MS).ln() / CLASS_WIDTH + 1.0;
    (class.max(0.0) as usize).min(CLASS_COUNT - 1)
}

fn histogram_of(ages: &[Duration]) -> TimeHistogram {
    let mut histogram = TimeHistogram::default();
    for age in ages {
        histogram.record(*age);
    }
    histogram
}

/// Numbers of requests that reached and that ended in each class of time.
#[derive(Debug)]
pub(crate) struct SurvivalTable {
    at_risk: [f64; CLASS_COUNT],
    ended: [f64; CLASS_COUNT],
}

impl SurvivalTable {
    /// Creates the table of requests that ended after `ended` and of those that run for `running`.
    ///
    /// A running request counts in the classes that it has completed.
    pub(crate) fn new(ended: &TimeHistogram, running: &[Duration]) -> Self {
        Self::from_histograms(ended, &histogram_of(running))
    }

    /// Creates the table that the requests would have if their times were shorter by the tolerated
    /// slowdown.
    pub(crate) fn tolerant(ended: &TimeHistogram, running: &[Duration]) -> Self {
        Self::from_histograms(
            &ended.shortened(TOLERATED_CLASSES),
            &histogram_of(running).shortened(TOLERATED_CLASSES),
        )
    }

    fn from_histograms(ended: &TimeHistogram, censored: &TimeHistogram) -> Self {
        let mut table = Self {
            at_risk: [0.0; CLASS_COUNT],
            ended: ended.0.map(f64::from),
        };
        let mut longer = 0.0;
        for class in (0..CLASS_COUNT).rev() {
            longer += table.ended[class];
            table.at_risk[class] = longer;
            longer += f64::from(censored.0[class]);
        }
        table
    }
}

/// Sums of the log-rank test.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LogRank {
    /// Number of requests of the new version that ended.
    pub(crate) observed: f64,
    /// Number that would have ended if both sides were alike.
    pub(crate) expected: f64,
    /// Variance of the observed number if both sides were alike.
    variance: f64,
}

impl LogRank {
    /// Adds requests that are alike but for their side.
    pub(crate) fn add_stratum(&mut self, target: &SurvivalTable, old: &SurvivalTable) {
        for class in 0..CLASS_COUNT {
            let (target_risk, old_risk) = (target.at_risk[class], old.at_risk[class]);
            let risk = target_risk + old_risk;
            let ended = target.ended[class] + old.ended[class];
            if target_risk == 0.0 || old_risk == 0.0 || risk <= 1.0 {
                continue;
            }
            let share = target_risk / risk;
            self.observed += target.ended[class];
            self.expected += ended * share;
            self.variance += ended * share * (1.0 - share) * (risk - ended) / (risk - 1.0);
        }
    }

    /// Returns by how many standard errors fewer requests ended than expected.
    pub(crate) fn shortfall(self) -> f64 {
        if self.variance > 0.0 {
            (self.expected - self.observed) / self.variance.sqrt()
        } else {
            0.0
        }
    }
}
