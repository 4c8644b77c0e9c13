//! Conversion of numbers from outside the process to durations.

use std::time::Duration;

/// Maximum duration; sums and multiples of it cannot overflow.
const MAX_DURATION: Duration = Duration::from_hours(365 * 24);

/// Converts seconds to a duration of at most one year; negative and non-finite values
/// become zero.
pub fn duration_from_secs(value: f64) -> Duration {
    if !value.is_finite() {
        return Duration::ZERO;
    }
    let seconds = value.clamp(0.0, MAX_DURATION.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// Converts milliseconds as in [`duration_from_secs`].
pub fn duration_from_ms(value: f64) -> Duration {
    duration_from_secs(value / 1000.0)
}
