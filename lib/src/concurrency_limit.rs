//! Limit on the requests in progress at an endpoint, learnt from its answers.

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

/// Smallest limit.
const MIN_LIMIT: f64 = 1.0;

/// Largest limit.
const MAX_LIMIT: f64 = 4096.0;

/// Factor on the limit after a late answer.
const DECREASE: f64 = 0.8;

/// Share of the limit that must be in use for it to rise.
const USED_SHARE: f64 = 0.5;

/// Least time between two decreases.
const MIN_SPACING: Duration = Duration::from_millis(100);

/// How limits are set.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitPolicy {
    /// The limit stays as it starts.
    Fixed,
    /// The limit rises by one a round while answers come in time, and falls by a fifth when
    /// one is late or refused.
    #[default]
    Aimd,
}

/// Limit of one endpoint.
///
/// Source: Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
/// Avoidance in Computer Networks", 1989.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    policy: LimitPolicy,
    limit: f64,
    decreased: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `start`.
    pub fn new(policy: LimitPolicy, start: usize) -> Self {
        Self {
            policy,
            limit: (start as f64).clamp(MIN_LIMIT, MAX_LIMIT),
            decreased: None,
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Takes an answer into account: the requests in progress when it came, the time to its
    /// first byte and the time aimed at.
    pub fn answered(
        &mut self,
        now: Instant,
        running: usize,
        first_byte: Duration,
        target: Duration,
    ) {
        if first_byte > target {
            self.decrease(now, target);
        } else if self.policy == LimitPolicy::Aimd && running as f64 >= self.limit * USED_SHARE {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Takes into account that the endpoint refused a request for want of capacity.
    pub fn refused(&mut self, now: Instant) {
        self.decrease(now, MIN_SPACING);
    }

    /// Lowers the limit, once for all requests that were in progress at the same time.
    fn decrease(&mut self, now: Instant, spacing: Duration) {
        let spacing = spacing.max(MIN_SPACING);
        let is_new = self
            .decreased
            .is_none_or(|at| now.saturating_duration_since(at) >= spacing);
        if self.policy == LimitPolicy::Aimd && is_new {
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
            self.decreased = Some(now);
        }
    }
}

inventory::submit! {
    GatePlugin {
        name: "limits",
        stage: Stage::Duty,
        start,
        methods: None,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let owned = Arc::clone(gate);
    gate.kernel
        .spawn(async move { forget_removed(&owned).await });
    Ok(())
}

/// Forgets the limits of endpoints that are no longer declared.
async fn forget_removed(gate: &Gate) {
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

/// Limits of all endpoints.
#[derive(Debug)]
pub(crate) struct EndpointLimits {
    policy: LimitPolicy,
    start: usize,
    limits: Mutex<IndexMap<EndpointName, ConcurrencyLimit>>,
}

impl EndpointLimits {
    pub(crate) fn new(policy: LimitPolicy, start: usize) -> Self {
        Self {
            policy,
            start,
            limits: Mutex::default(),
        }
    }

    /// Returns the limit of an endpoint.
    pub(crate) fn of(&self, endpoint: &EndpointName) -> usize {
        let limits = self.limits.lock();
        limits
            .get(endpoint)
            .map_or(self.start, ConcurrencyLimit::limit)
    }

    /// Changes the limit of an endpoint.
    pub(crate) fn update(
        &self,
        endpoint: &EndpointName,
        change: impl FnOnce(&mut ConcurrencyLimit),
    ) {
        let mut limits = self.limits.lock();
        let limit = limits
            .entry(endpoint.clone())
            .or_insert_with(|| ConcurrencyLimit::new(self.policy, self.start));
        change(limit);
    }

    /// Forgets the endpoints for which `is_known` does not hold.
    pub(crate) fn retain(&self, is_known: impl Fn(&EndpointName) -> bool) {
        self.limits.lock().retain(|name, _| is_known(name));
    }
}
