//! Adaptive concurrency limits: the requests in progress at an endpoint, adjusted by its latency.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::EndpointName;
use crate::Gate;
use crate::GatePlugin;
use crate::Result;
use crate::Stage;

/// Minimum limit, in requests.
const MIN_LIMIT: f64 = 1.0;

/// Maximum limit, in requests.
const MAX_LIMIT: f64 = 4096.0;

/// Multiplicative decrease of the limit after a late or rejected request.
const DECREASE_FACTOR: f64 = 0.8;

/// Minimum ratio of requests in progress to the limit at which the limit increases.
const MIN_UTILIZATION: f64 = 0.5;

/// Minimum time between two decreases.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Policy that adjusts concurrency limits.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitPolicy {
    /// Constant limit.
    Fixed,
    /// Additive increase, multiplicative decrease: plus one for each round of responses within
    /// the latency target, and a decrease by a fifth after a late response or a rejection.
    #[default]
    Aimd,
}

/// Concurrency limit of one endpoint.
///
/// Source: Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
/// Avoidance in Computer Networks", 1989.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    policy: LimitPolicy,
    limit: f64,
    decreased_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit of `initial` requests, clamped to the range from 1 to 4096.
    pub fn new(policy: LimitPolicy, initial: usize) -> Self {
        Self {
            policy,
            limit: (initial as f64).clamp(MIN_LIMIT, MAX_LIMIT),
            decreased_at: None,
        }
    }

    /// Returns the maximum number of requests in progress, 1 or more.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Adjusts the limit for a response: decreases it if the response was late, and otherwise
    /// increases it if enough requests were in progress.
    ///
    /// `running` is the number of requests in progress when the response arrived, `first_byte` its
    /// time to first byte and `target` the latency target for it.
    pub fn record_response(
        &mut self,
        now: Instant,
        running: usize,
        first_byte: Duration,
        target: Duration,
    ) {
        if first_byte > target {
            self.decrease(now, target);
        } else if self.policy == LimitPolicy::Aimd && running as f64 >= self.limit * MIN_UTILIZATION
        {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Decreases the limit after a request that the endpoint rejected for lack of capacity.
    pub fn record_rejection(&mut self, now: Instant) {
        self.decrease(now, MIN_DECREASE_INTERVAL);
    }

    /// Decreases the limit, at most once in `interval`, so that requests that were in progress at
    /// the same time decrease it only once.
    fn decrease(&mut self, now: Instant, interval: Duration) {
        let interval = interval.max(MIN_DECREASE_INTERVAL);
        let is_new = self
            .decreased_at
            .is_none_or(|at| now.saturating_duration_since(at) >= interval);
        if self.policy == LimitPolicy::Aimd && is_new {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.decreased_at = Some(now);
        }
    }
}

inventory::submit! {
    GatePlugin {
        name: "limits",
        stage: Stage::Background,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "signature required by GatePlugin")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let task = Arc::clone(gate);
    gate.kernel.spawn(async move { prune_limits(&task).await });
    Ok(())
}

/// Drops the limits of endpoints that are no longer declared.
async fn prune_limits(gate: &Gate) {
    let mut tables = gate.subscribe_table();
    let mut offset = None;
    while tables.changed().await.is_ok() {
        let table = tables.borrow_and_update().clone();
        let Some(table) = table.filter(|t| offset != Some(t.config.next)) else {
            continue;
        };
        offset = Some(table.config.next);
        gate.limits
            .retain(|name| table.config.endpoints.contains_key(name));
    }
}

/// Concurrency limits by endpoint.
#[derive(Debug)]
pub(crate) struct EndpointLimits {
    policy: LimitPolicy,
    initial: usize,
    limits: Mutex<IndexMap<EndpointName, ConcurrencyLimit>>,
}

impl EndpointLimits {
    pub(crate) fn new(policy: LimitPolicy, initial: usize) -> Self {
        Self {
            policy,
            initial,
            limits: Mutex::default(),
        }
    }

    /// Returns the limit of an endpoint, the initial one before its first adjustment.
    pub(crate) fn get(&self, endpoint: &EndpointName) -> usize {
        let limits = self.limits.lock();
        limits
            .get(endpoint)
            .map_or(self.initial, ConcurrencyLimit::limit)
    }

    /// Applies `change` to the limit of an endpoint.
    pub(crate) fn update(
        &self,
        endpoint: &EndpointName,
        change: impl FnOnce(&mut ConcurrencyLimit),
    ) {
        let mut limits = self.limits.lock();
        let limit = limits
            .entry(endpoint.clone())
            .or_insert_with(|| ConcurrencyLimit::new(self.policy, self.initial));
        change(limit);
    }

    /// Drops the limits of endpoints for which `is_known` returns `false`.
    pub(crate) fn retain(&self, is_known: impl Fn(&EndpointName) -> bool) {
        self.limits.lock().retain(|name, _| is_known(name));
    }
}
