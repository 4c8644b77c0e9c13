//! Outcomes of the requests on one side of a rollout.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::rollouts::rollout_survival::TimeHistogram;

/// Minimum variance that is assumed of the logarithm of a response's time.
const MIN_LOG_VARIANCE: f64 = 0.25;

/// Variance of the logarithm of a response's time below which times hardly differ.
const MAX_STEADY_LOG_VARIANCE: f64 = 0.16;

/// Side of a rollout that a version is on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionSide {
    /// One of the old versions.
    Old,
    /// The new version.
    Target,
}

/// Outcomes of the requests on one side of a rollout.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Outcomes {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete responses.
    pub answered: u64,
    /// Number of failed requests.
    pub failed: u64,
    /// Sum of the natural logarithms of the response times in milliseconds.
    pub log_sum: f64,
    /// Sum of the squares of those logarithms.
    pub log_squares: f64,
    /// Number of complete responses by response time.
    #[serde(default)]
    pub times: TimeHistogram,
}

/// Returns the natural logarithm of a time in milliseconds; times below 1 ms count as 1 ms.
fn log_ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 1000.0).max(1.0).ln()
}

impl Outcomes {
    /// Counts a complete response and its response time; times below 1 ms count as 1 ms.
    pub fn record_response(&mut self, response_time: Duration) {
        let log = log_ms(response_time);
        self.answered += 1;
        self.log_sum += log;
        self.log_squares += log * log;
        self.times.record(response_time);
    }

    /// Returns the geometric mean of the response times in milliseconds, or `None` without one.
    pub(crate) fn typical_ms(&self) -> Option<u64> {
        let log_mean = self.log_sum / self.answered as f64;
        (self.answered > 0).then(|| log_mean.exp() as u64)
    }

    /// Returns these outcomes with requests that still run counted as responses, if they have run
    /// for longer than a usual response of the other side takes.
    ///
    /// Their times so far are lower bounds. Those that have run for less are left out: nothing is
    /// known of them.
    pub(crate) fn with_overdue(mut self, running: &[Duration], other: &Self) -> Self {
        let (usual, _) = other.log_mean();
        for age in running {
            if log_ms(*age) > usual {
                self.record_response(*age);
            }
        }
        self
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.failed += other.failed;
        self.log_sum += other.log_sum;
        self.log_squares += other.log_squares;
        self.times.add(&other.times);
    }

    pub(crate) fn since(&self, older: &Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(older.sent),
            answered: self.answered.saturating_sub(older.answered),
            failed: self.failed.saturating_sub(older.failed),
            log_sum: self.log_sum - older.log_sum,
            log_squares: self.log_squares - older.log_squares,
            times: self.times.since(&older.times),
        }
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        let finished = self.answered + self.failed;
        self.failed as f64 / finished.max(1) as f64
    }

    /// Returns whether the response times hardly differ.
    pub(crate) fn has_steady_times(&self) -> bool {
        let count = self.answered.max(1) as f64;
        let log_mean = self.log_sum / count;
        self.log_squares / count - log_mean * log_mean < MAX_STEADY_LOG_VARIANCE
    }

    /// Returns the mean of the logarithms and the variance of that mean.
    pub(crate) fn log_mean(&self) -> (f64, f64) {
        let count = self.answered.max(1) as f64;
        let log_mean = self.log_sum / count;
        let variance = self.log_squares / count - log_mean * log_mean;
        (log_mean, variance.max(MIN_LOG_VARIANCE) / count)
    }
}
