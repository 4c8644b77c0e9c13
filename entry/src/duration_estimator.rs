//! Estimates of how long the requests of a service take.

use std::time::Duration;

use indexmap::IndexMap;

/// Weight of the newest request in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Number of mean deviations above and below the mean that bound the duration of most requests.
const BOUND_DEVIATIONS: f64 = 1.5;

/// Duration assumed for a route without measurements.
const DEFAULT_DURATION: Duration = Duration::from_secs(3);

/// Moving averages of a quantity and of its absolute deviation, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Estimate {
    fn record(estimate: &mut Option<Self>, value: f64) {
        let known = estimate.get_or_insert(Self {
            mean: value,
            deviation: value / 2.0,
        });
        let error = value - known.mean;
        known.mean += SMOOTHING_FACTOR * error;
        known.deviation += SMOOTHING_FACTOR * (error.abs() - known.deviation);
    }

    fn upper(self) -> f64 {
        self.mean + BOUND_DEVIATIONS * self.deviation
    }

    fn lower(self) -> f64 {
        (self.mean - BOUND_DEVIATIONS * self.deviation).max(0.0)
    }
}

/// Estimates for the requests of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteEstimator {
    /// Duration in milliseconds, divided by the request's maximum number of output tokens.
    per_token: Option<Estimate>,
    /// Duration in milliseconds of a request that states no maximum number of output tokens.
    unsized_request: Option<Estimate>,
    /// Duration in milliseconds of any request.
    any_request: Option<Estimate>,
}

impl RouteEstimator {
    fn record(&mut self, tokens: Option<u32>, ms: f64) {
        match tokens {
            Some(tokens) => Estimate::record(&mut self.per_token, ms / f64::from(tokens.max(1))),
            None => Estimate::record(&mut self.unsized_request, ms),
        }
        Estimate::record(&mut self.any_request, ms);
    }

    fn upper_bound(&self, tokens: Option<u32>) -> Option<Duration> {
        self.bound(tokens, Estimate::upper)
    }

    /// Returns a bound that holds for large requests as well: part of a request's duration does not
    /// depend on its length.
    fn lower_bound(&self, tokens: Option<u32>) -> Option<Duration> {
        let any = Duration::try_from_secs_f64(self.any_request?.lower() / 1000.0).ok()?;
        self.bound(tokens, Estimate::lower)
            .map(|by_length| by_length.min(any))
    }

    fn bound(&self, tokens: Option<u32>, of: fn(Estimate) -> f64) -> Option<Duration> {
        let ms = match tokens {
            Some(tokens) => of(self.per_token?) * f64::from(tokens.max(1)),
            None => of(self.unsized_request?),
        };
        Duration::try_from_secs_f64(ms / 1000.0).ok()
    }
}

/// Estimates for the requests of one service, kept by route because requests of one route are
/// similar.
#[derive(Clone, Debug, Default)]
pub struct DurationEstimator {
    routes: IndexMap<String, RouteEstimator>,
    /// Moving average of the upper bound over all requests, in milliseconds.
    bound_ms: Option<f64>,
}

impl DurationEstimator {
    /// Adds a request that took `duration`.
    ///
    /// `tokens` is the maximum number of output tokens, if stated.
    pub fn record(&mut self, route: &str, tokens: Option<u32>, duration: Duration) {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.to_owned(), RouteEstimator::default());
        }
        self.routes[route].record(tokens, duration.as_secs_f64() * 1000.0);
        let upper_bound = self.upper_bound(route, tokens).as_secs_f64() * 1000.0;
        let mean = self.bound_ms.get_or_insert(upper_bound);
        *mean += SMOOTHING_FACTOR * (upper_bound - *mean);
    }

    /// Returns the average of the upper bound over all requests.
    pub fn mean_upper_bound(&self) -> Duration {
        let ms = self.bound_ms;
        ms.map_or(DEFAULT_DURATION, |ms| Duration::from_secs_f64(ms / 1000.0))
    }

    /// Returns the time within which most requests of this kind end.
    pub fn upper_bound(&self, route: &str, tokens: Option<u32>) -> Duration {
        let estimator = self.routes.get(route);
        estimator
            .and_then(|e| e.upper_bound(tokens))
            .unwrap_or(DEFAULT_DURATION)
    }

    /// Returns the average duration of requests of this kind; `None` without measurements.
    pub(crate) fn mean(&self, route: &str, tokens: Option<u32>) -> Option<Duration> {
        let estimator = self.routes.get(route)?;
        estimator.bound(tokens, |estimate| estimate.mean)
    }

    /// Returns the time that most requests of this kind take at least; zero without measurements.
    pub fn lower_bound(&self, route: &str, tokens: Option<u32>) -> Duration {
        let estimator = self.routes.get(route);
        estimator
            .and_then(|e| e.lower_bound(tokens))
            .unwrap_or_default()
    }
}
