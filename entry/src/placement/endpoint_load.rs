//! Load and health of one endpoint as observed by an entry VM.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointLoadReport;
use crate::PartId;
use crate::Prompt;
use crate::PromptPart;
use crate::placement::slowness::Slowness;

/// Prompt tokens that an engine is assumed to prefill per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 45.0;

/// Maximum number of prompt parts tracked as cached at one endpoint.
const MAX_CACHED_PARTS: usize = 1024;

/// Time for which an endpoint is avoided after it was unavailable once; doubles each time the
/// endpoint is unavailable again before a successful response.
const INITIAL_AVOIDANCE_TIME: Duration = Duration::from_millis(250);

/// Upper limit of the time for which an unavailable endpoint is avoided.
const MAX_AVOIDANCE_TIME: Duration = Duration::from_secs(4);

/// Maximum time for which an endpoint is given no requests because it asked for that, so that a
/// malformed response does not take it out of use for good.
const MAX_PAUSE: Duration = Duration::from_mins(5);

/// Weight of the newest outcome in the moving average of failures.
const FAILURE_RATE_SMOOTHING_FACTOR: f64 = 0.15;

/// Weight of the newest response in the moving average of the latency.
const LATENCY_SMOOTHING_FACTOR: f64 = 0.15;

/// Resources that one request occupies at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Occupancy {
    /// KV cache space of the engine, in tokens.
    pub tokens: u64,
    /// Prompt tokens that are not cached at the endpoint and have to be prefilled.
    pub prefill: u32,
    /// Whether the request cannot be continued on another endpoint.
    pub non_retryable: bool,
}

/// Load that the other entries place on an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerLoad {
    /// Number of in-flight requests.
    pub running: u32,
    /// KV cache space that the requests occupy, in tokens.
    pub tokens: u64,
    /// Number of in-flight requests that cannot be continued on another endpoint.
    pub non_retryable: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill: u64,
}

impl PeerLoad {
    /// Adds what one entry reports; sums end at the largest number.
    pub(crate) fn add(&mut self, report: &EndpointLoadReport) {
        self.running = self.running.saturating_add(report.running);
        self.tokens = self.tokens.saturating_add(report.tokens);
        self.non_retryable = self.non_retryable.saturating_add(report.non_retryable);
        self.prefill = self.prefill.saturating_add(report.prefill);
    }
}

/// Load and health of one endpoint: this entry's own requests and what its peers report.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    running: u32,
    non_retryable: u32,
    tokens: u64,
    /// Prompt tokens that the in-flight requests of this entry have to prefill.
    prefill: u64,
    /// Estimated time at which the prompts sent so far are prefilled.
    prefilled_at: Option<Instant>,
    /// Load that the other entries report.
    pub peers: PeerLoad,
    cached_parts: IndexMap<PartId, Instant>,
    failure_rate: f64,
    /// Number of times that the endpoint was unavailable since its last successful response.
    unavailable_count: u32,
    avoid_until: Option<Instant>,
    /// End of the time for which the endpoint wants no requests from this entry.
    paused_until: Option<Instant>,
    /// End of the time for which no permit for the endpoint's rate limit is to be had.
    held_until: Option<Instant>,
    latency_ms: Option<f64>,
    is_brittle: bool,
    slowness: Slowness,
}

impl EndpointLoad {
    /// Adds a request that is sent to the endpoint.
    pub fn begin(&mut self, occupancy: Occupancy, now: Instant) {
        self.running += 1;
        self.non_retryable += u32::from(occupancy.non_retryable);
        self.tokens += occupancy.tokens;
        let backlog = self.prefill_backlog(now);
        self.prefilled_at = Some(now + backlog + prefill_time(occupancy.prefill));
        self.prefill += u64::from(occupancy.prefill);
    }

    /// Removes a request that ended.
    pub fn end(&mut self, occupancy: Occupancy) {
        self.running = self.running.saturating_sub(1);
        self.non_retryable = self
            .non_retryable
            .saturating_sub(u32::from(occupancy.non_retryable));
        self.tokens = self.tokens.saturating_sub(occupancy.tokens);
        self.prefill = self.prefill.saturating_sub(occupancy.prefill.into());
    }

    /// Records the parts of a prompt as cached at the endpoint.
    pub fn record_prompt(&mut self, prompt: &Prompt, now: Instant) {
        for part in &prompt.parts {
            self.cached_parts.shift_remove(&part.id);
            self.cached_parts.insert(part.id, now);
        }
        while self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts.shift_remove_index(0);
        }
    }

    /// Returns the number of tokens in the longest prefix of a prompt that is cached.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let known = |part: &&PromptPart| self.cached_parts.contains_key(&part.id);
        sum_tokens(prompt.parts.iter().take_while(known))
    }

    /// Records a successful response and its latency, and ends any avoidance.
    pub fn record_success(&mut self, latency: Duration) {
        self.failure_rate *= 1.0 - FAILURE_RATE_SMOOTHING_FACTOR;
        self.unavailable_count = 0;
        self.avoid_until = None;
        let ms = latency.as_secs_f64() * 1000.0;
        let old = self.latency_ms.unwrap_or(ms);
        self.latency_ms = Some(old + LATENCY_SMOOTHING_FACTOR * (ms - old));
    }

    /// Records a response that reports a failure of the endpoint.
    pub fn record_failure(&mut self) {
        self.failure_rate += FAILURE_RATE_SMOOTHING_FACTOR * (1.0 - self.failure_rate);
    }

    /// Records that the endpoint was unreachable, closed the connection early or timed out.
    ///
    /// Requests avoid the endpoint for a time that doubles each time the endpoint is unavailable
    /// again before a successful response.
    pub fn record_unavailable(&mut self, now: Instant) {
        self.record_failure();
        let factor = 1_u32 << self.unavailable_count.min(4);
        self.unavailable_count += 1;
        self.avoid_until = Some(now + (INITIAL_AVOIDANCE_TIME * factor).min(MAX_AVOIDANCE_TIME));
    }

    /// Ends what [`EndpointLoad::record_unavailable`] has recorded, as the endpoint was not the cause.
    pub fn end_avoidance(&mut self) {
        self.unavailable_count = 0;
        self.avoid_until = None;
    }

    /// Returns whether requests avoid the endpoint because it was recently unavailable.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Records that the endpoint wants no requests from this entry for a time.
    pub fn pause(&mut self, duration: Duration, now: Instant) {
        let until = now + duration.min(MAX_PAUSE);
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Returns how long the endpoint still wants no requests from this entry.
    pub fn pause_left(&self, now: Instant) -> Duration {
        let until = self.paused_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Records that no permit for the endpoint's rate limit is to be had for a time.
    pub fn hold(&mut self, duration: Duration, now: Instant) {
        self.held_until = Some(now + duration);
    }

    /// Ends what [`EndpointLoad::hold`] has recorded, because the limit has changed.
    pub fn end_hold(&mut self) {
        self.held_until = None;
    }

    /// Returns for how long no permit for the endpoint's rate limit is to be had.
    pub fn hold_left(&self, now: Instant) -> Duration {
        let until = self.held_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Returns for how long the endpoint takes no requests, for a pause or for its rate limit.
    pub fn unavailable_left(&self, now: Instant) -> Duration {
        self.pause_left(now).max(self.hold_left(now))
    }

    /// Records whether the endpoint falls over when it rejects too many requests.
    pub fn set_brittle(&mut self, is_brittle: bool) {
        self.is_brittle = is_brittle;
    }

    /// Returns whether the endpoint falls over when it rejects too many requests.
    pub fn is_brittle(&self) -> bool {
        self.is_brittle
    }

    /// Returns the number of in-flight requests of all entries.
    pub fn running(&self) -> u32 {
        self.running.saturating_add(self.peers.running)
    }

    /// Returns the number of in-flight requests of all entries that cannot be continued on
    /// another endpoint.
    pub fn running_non_retryable(&self) -> u32 {
        self.non_retryable.saturating_add(self.peers.non_retryable)
    }

    /// Returns the number of in-flight requests of this entry that cannot be continued on
    /// another endpoint.
    pub fn own_non_retryable(&self) -> u32 {
        self.non_retryable
    }

    /// Returns the number of in-flight requests of this entry.
    pub fn own_running(&self) -> u32 {
        self.running
    }

    /// Returns the KV cache space that this entry's requests occupy, in tokens.
    pub fn own_tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the KV cache space that the requests of all entries occupy, in tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens.saturating_add(self.peers.tokens)
    }

    /// Returns the estimated time until the prompts sent so far are prefilled; those of requests
    /// that have ended no longer count.
    pub fn prefill_backlog(&self, now: Instant) -> Duration {
        let at = self.prefilled_at.unwrap_or(now);
        let tokens = u32::try_from(self.prefill).unwrap_or(u32::MAX);
        at.saturating_duration_since(now).min(prefill_time(tokens))
    }

    /// Returns the number of prompt tokens that this entry has sent and that are still to be prefilled.
    pub fn own_prefill(&self, now: Instant) -> u64 {
        let ms = self.prefill_backlog(now).as_secs_f64() * 1000.0;
        (ms * PREFILL_TOKENS_PER_MS) as u64
    }

    /// Returns the estimated time until the prompts that all entries have sent are prefilled, at the
    /// speed observed.
    pub fn prefill_queue(&self, now: Instant) -> Duration {
        let peers = u32::try_from(self.peers.prefill).unwrap_or(u32::MAX);
        let backlog = self.prefill_backlog(now) + prefill_time(peers);
        backlog.mul_f64(self.slowness(now))
    }

    /// Records that a response took `ratio` times as long as those to similar requests take on
    /// average over all endpoints of the service.
    pub fn record_relative_duration(&mut self, ratio: f64, now: Instant) {
        self.slowness.record(ratio, now);
    }

    /// Returns how long the endpoint's responses take relative to those of the service's others.
    pub fn slowness(&self, now: Instant) -> f64 {
        self.slowness.factor(now)
    }

    /// Returns the moving average of failures, from 0 (none) to 1 (every request fails).
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the moving average of the latency in milliseconds; `None` before any success.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Returns whether this entry has no in-flight request at the endpoint.
    pub fn is_idle(&self) -> bool {
        self.running == 0
    }
}

/// Returns the number of tokens in parts of a prompt, at most `u32::MAX`.
pub(crate) fn sum_tokens<'a>(parts: impl IntoIterator<Item = &'a PromptPart>) -> u32 {
    let tokens = parts.into_iter().map(|part| part.tokens);
    tokens.fold(0, u32::saturating_add)
}

/// Returns the estimated time in which an engine prefills a number of prompt tokens.
pub fn prefill_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_MS / 1000.0)
}
