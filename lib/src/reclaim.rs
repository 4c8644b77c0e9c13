//! Decides how a stream continues when its endpoint's VM is under a reclaim notice.

use std::time::Duration;

use parking_lot::Mutex;

/// Maximum ratio of an action's estimated duration to the remaining time.
const MAX_TIME_RATIO: f64 = 0.7;

/// Fixed overhead of a cache transfer, independent of its size.
const TRANSFER_OVERHEAD: Duration = Duration::from_millis(100);

/// Weight of the newest sample in the moving averages of the estimates, 0 to 1.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Plan for a stream whose endpoint's VM is about to be reclaimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReclaimPlan {
    /// Finish on the endpoint: the rest of the stream fits into the remaining time.
    Finish,
    /// Move the KV cache to another endpoint: the transfer fits into the remaining time.
    MoveCache,
    /// Neither fits: resume on another endpoint from the prompt and the text so far.
    Resume,
}

/// State of a stream and its endpoint, the input of [`plan_reclaim`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReclaimInput {
    /// Time until the VM is reclaimed.
    pub remaining: Duration,
    /// Maximum number of tokens still to generate.
    pub tokens_left: u32,
    /// Tokens generated per second; zero while unknown.
    pub token_rate: f64,
    /// Size of the KV cache, in bytes.
    pub kv_bytes: f64,
    /// Transfer rate, in bytes per second.
    pub transfer_rate: f64,
}

/// Returns the first plan that fits: finishing, moving the cache, else resuming elsewhere.
pub fn plan_reclaim(input: ReclaimInput) -> ReclaimPlan {
    let usable = input.remaining.as_secs_f64() * MAX_TIME_RATIO;
    if fits_within(f64::from(input.tokens_left), input.token_rate, usable) {
        return ReclaimPlan::Finish;
    }
    let usable = usable - TRANSFER_OVERHEAD.as_secs_f64();
    if fits_within(input.kv_bytes, input.transfer_rate, usable) {
        return ReclaimPlan::MoveCache;
    }
    ReclaimPlan::Resume
}

/// Returns whether an amount is processed within the given seconds; never when the rate is unknown.
fn fits_within(amount: f64, rate: f64, seconds: f64) -> bool {
    rate > 0.0 && seconds > 0.0 && amount / rate <= seconds
}

/// Estimates the cost of cache transfers from past ones.
#[derive(Debug)]
pub(crate) struct TransferEstimator {
    inner: Mutex<TransferEstimates>,
}

#[derive(Clone, Copy, Debug)]
struct TransferEstimates {
    /// Cache size per token, in bytes.
    bytes_per_token: f64,
    /// Transfer rate, in bytes per second.
    bytes_per_sec: f64,
}

impl Default for TransferEstimator {
    /// Starts with 128 KiB per token and 1 GB/s until the first transfer has been recorded.
    fn default() -> Self {
        Self {
            inner: Mutex::new(TransferEstimates {
                bytes_per_token: 128.0 * 1024.0,
                bytes_per_sec: 1e9,
            }),
        }
    }
}

impl TransferEstimator {
    /// Returns the expected size of a cache of `tokens` tokens, in bytes, and the expected transfer
    /// rate, in bytes per second.
    pub(crate) fn estimate(&self, tokens: u32) -> (f64, f64) {
        let estimates = *self.inner.lock();
        (
            estimates.bytes_per_token * f64::from(tokens),
            estimates.bytes_per_sec,
        )
    }

    /// Updates the estimates with a completed transfer; ignores empty caches.
    pub(crate) fn record(&self, tokens: u32, bytes: u64, elapsed: Duration) {
        if tokens == 0 || bytes == 0 {
            return;
        }
        let seconds = elapsed.as_secs_f64().max(1e-3);
        let mut estimates = self.inner.lock();
        estimates.bytes_per_token =
            moving_average(estimates.bytes_per_token, bytes as f64 / f64::from(tokens));
        estimates.bytes_per_sec = moving_average(estimates.bytes_per_sec, bytes as f64 / seconds);
    }
}

/// Returns the moving average after a sample.
fn moving_average(old: f64, new: f64) -> f64 {
    old + (new - old) * SMOOTHING_FACTOR
}
