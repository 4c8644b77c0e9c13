//! Decides what becomes of a stream whose endpoint is under a reclaim notice.

use std::time::Duration;

use parking_lot::Mutex;

/// Share of the remaining time that an action may be planned to take.
const SAFE_SHARE: f64 = 0.7;

/// Cost of the messages of a cache transfer, whatever its size.
const TRANSFER_SETUP: Duration = Duration::from_millis(100);

/// Weight of a new reading in a learnt cost.
const LEARN_WEIGHT: f64 = 0.2;

/// What to do with a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReclaimPlan {
    /// The rest of the stream fits into the remaining time.
    Finish,
    /// The transfer of the cache fits into the remaining time.
    MoveCache,
    /// Neither fits: another endpoint starts from the prompt and the text so far.
    Resume,
}

/// What is known of a stream and its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReclaimFacts {
    /// Time until the machine ends.
    pub remaining: Duration,
    /// Tokens still to generate at most.
    pub tokens_left: u32,
    /// Tokens generated per second; zero when none has been seen.
    pub token_rate: f64,
    /// Size of the cache, in bytes.
    pub kv_bytes: f64,
    /// Bytes transferred per second.
    pub transfer_rate: f64,
}

/// Decides between finishing, moving the cache and resuming elsewhere.
pub fn reclaim_plan(facts: ReclaimFacts) -> ReclaimPlan {
    let usable = facts.remaining.as_secs_f64() * SAFE_SHARE;
    if fits(f64::from(facts.tokens_left), facts.token_rate, usable) {
        return ReclaimPlan::Finish;
    }
    let usable = usable - TRANSFER_SETUP.as_secs_f64();
    if fits(facts.kv_bytes, facts.transfer_rate, usable) {
        return ReclaimPlan::MoveCache;
    }
    ReclaimPlan::Resume
}

fn fits(amount: f64, rate: f64, seconds: f64) -> bool {
    rate > 0.0 && seconds > 0.0 && amount / rate <= seconds
}

/// Learnt cost of cache transfers.
#[derive(Debug)]
pub(crate) struct TransferCosts {
    inner: Mutex<Costs>,
}

#[derive(Clone, Copy, Debug)]
struct Costs {
    token_bytes: f64,
    rate: f64,
}

impl Default for TransferCosts {
    fn default() -> Self {
        Self {
            inner: Mutex::new(Costs {
                token_bytes: 128.0 * 1024.0,
                rate: 1e9,
            }),
        }
    }
}

impl TransferCosts {
    /// Returns the expected size of a cache of `tokens` tokens and the transfer rate, in bytes
    /// and bytes per second.
    pub(crate) fn expect(&self, tokens: u32) -> (f64, f64) {
        let costs = *self.inner.lock();
        (costs.token_bytes * f64::from(tokens), costs.rate)
    }

    /// Takes the size of an exported cache and the time of its transfer into account.
    pub(crate) fn learn(&self, tokens: u32, bytes: u64, took: Duration) {
        if tokens == 0 || bytes == 0 {
            return;
        }
        let seconds = took.as_secs_f64().max(1e-3);
        let mut costs = self.inner.lock();
        costs.token_bytes = blend(costs.token_bytes, bytes as f64 / f64::from(tokens));
        costs.rate = blend(costs.rate, bytes as f64 / seconds);
    }
}

fn blend(old: f64, new: f64) -> f64 {
    old + (new - old) * LEARN_WEIGHT
}
