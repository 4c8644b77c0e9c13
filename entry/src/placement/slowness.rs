//! Speed of one endpoint relative to the others of its service.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest response in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Time constant with which an endpoint without new responses counts as average again, so that one
/// that was slow is tried again.
const MEMORY: Duration = Duration::from_secs(20);

/// Range of a single ratio, and so of the factor: endpoints differ by a factor of 2.4, and an outlier
/// says little of the speed.
const FACTOR_RANGE: (f64, f64) = (0.4, 3.0);

/// Moving average of the ratio between the durations of an endpoint's responses and the averages over
/// all endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slowness {
    /// Natural logarithm of the average ratio; 0 for an average endpoint.
    log_ratio: f64,
    as_of: Option<Instant>,
}

impl Slowness {
    pub(crate) fn record(&mut self, ratio: f64, now: Instant) {
        let (min, max) = FACTOR_RANGE;
        let newest = ratio.clamp(min, max).ln();
        let known = self.decayed(now);
        self.log_ratio = known + SMOOTHING_FACTOR * (newest - known);
        self.as_of = Some(now);
    }

    /// Returns the factor by which the endpoint takes longer than others.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        self.decayed(now).exp()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = self
            .as_of
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.log_ratio * (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}
