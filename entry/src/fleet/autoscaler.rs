//! Measures the load of each service with automatic scaling and plans its fleet.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::Demand;
use crate::DomainFleet;
use crate::DomainName;
use crate::EntryName;
use crate::Feed;
use crate::FleetOrder;
use crate::FleetPlanner;
use crate::Node;
use crate::Rollout;
use crate::ServiceName;
use crate::feeds::feed_schedule::batch_delay;
use crate::fleet::baseline::Baseline;
use crate::fleet::evacuated::scale_without;

/// Window over which the rate of prompt tokens is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Time after the end of a rollout during which the service's fleet is not planned; the endpoints
/// of the unused version are removed within it.
const ROLLOUT_COOLDOWN: Duration = Duration::from_secs(5);

/// Minimum interval between two rounds of fleet planning.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Rate of prefilled prompt tokens, from the running totals of all entries.
#[derive(Debug, Default)]
struct PrefillRate {
    totals: IndexMap<EntryName, u64>,
    since: Option<Instant>,
    tokens: u64,
    per_second: f64,
}

impl PrefillRate {
    fn update(&mut self, totals: &[(EntryName, u64)], now: Instant) {
        for (entry, total) in totals {
            let old = self.totals.insert(entry.clone(), *total);
            // The total of a restarted entry begins at zero again.
            self.tokens += old.map_or(0, |old| total.saturating_sub(old));
        }
        let since = *self.since.get_or_insert(now);
        let elapsed = now.duration_since(since);
        if elapsed >= RATE_WINDOW {
            self.per_second = self.tokens as f64 / elapsed.as_secs_f64();
            self.tokens = 0;
            self.since = Some(now);
        }
    }
}

/// Plans the fleets of all services with automatic scaling.
#[derive(Debug, Default)]
pub struct FleetAutoscaler {
    planners: IndexMap<ServiceName, (PrefillRate, FleetPlanner)>,
    baselines: IndexMap<ServiceName, Baseline>,
    /// Time at which a rollout of the service was last seen in progress.
    last_rollout: IndexMap<ServiceName, Instant>,
    last_planned: Option<Instant>,
}

impl FleetAutoscaler {
    /// Returns the largest number of endpoints in one failure domain when the deployment started,
    /// by service; services for which it is not known yet are missing.
    pub fn baselines(&self) -> IndexMap<ServiceName, u32> {
        let baselines = self.baselines.iter();
        let known = baselines.filter_map(|(name, b)| Some((name.clone(), b.known()?)));
        known.collect()
    }

    /// Adopts the baselines of an earlier lease holder.
    pub fn adopt(&mut self, baselines: IndexMap<ServiceName, u32>) {
        let adopted = baselines.into_iter();
        self.baselines
            .extend(adopted.map(|(name, count)| (name, Baseline::Known(count))));
    }

    /// Returns the orders that are due now; none if the last plan is too recent.
    pub fn orders(&mut self, node: &Node, now: Instant) -> Vec<FleetOrder> {
        let is_recent = self
            .last_planned
            .is_some_and(|at| now.duration_since(at) < MIN_PLAN_INTERVAL);
        let Some(config) = node.config() else {
            return Vec::new();
        };
        if is_recent || !node.endpoints.lock().is_loaded() {
            return Vec::new();
        }
        self.last_planned = Some(now);
        let evacuated = node.endpoints.lock().evacuations().domains.clone();
        let mut orders = Vec::new();
        for (name, service) in &config.services {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            if self.is_rolling_out(node, name, now) {
                continue;
            }
            let (rate, planner) = self.planners.entry(name.clone()).or_default();
            rate.update(&prefill_totals(node, name), now);
            let (fleet, mut demand) = measure_fleet(node, name, now);
            demand.prefill_rate = rate.per_second;
            let baseline = self
                .baselines
                .entry(name.clone())
                .or_insert_with(|| Baseline::new(now));
            let counts = fleet.values().map(|f| f.spot + f.on_demand);
            baseline.update(counts, batch_delay(node, Feed::Endpoints), now);
            let Some(baseline) = baseline.known() else {
                continue;
            };
            let (scaling, baseline) = scale_without(scaling, baseline, &evacuated);
            orders.extend(planner.orders(name, &scaling, baseline, &fleet, demand, now));
        }
        orders
    }

    /// Returns whether a service may have endpoints of two versions because of a rollout.
    ///
    /// An order for the usual count would then stop endpoints of the new version.
    fn is_rolling_out(&mut self, node: &Node, service: &ServiceName, now: Instant) -> bool {
        let rollouts = node.rollouts.lock();
        let is_open = rollouts.get(service).is_some_and(Rollout::is_open);
        drop(rollouts);
        if is_open || node.endpoints.lock().has_delayed_version(service, now) {
            self.last_rollout.insert(service.clone(), now);
        }
        let last_rollout = self.last_rollout.get(service);
        last_rollout.is_some_and(|at| now.duration_since(*at) < ROLLOUT_COOLDOWN)
    }

    /// Records whether the platform accepted an order.
    pub fn record_outcome(&mut self, order: &FleetOrder, accepted: bool, now: Instant) {
        if let Some((_, planner)) = self.planners.get_mut(&order.service) {
            planner.record_outcome(order, accepted, now);
        }
    }
}

fn prefill_totals(node: &Node, service: &ServiceName) -> Vec<(EntryName, u64)> {
    let own = node.prefilled.lock().get(service).copied();
    let own = (node.settings.name.clone(), own.unwrap_or_default());
    let members = node.members.lock();
    let peers = members.iter().map(|p| {
        let total = p.state.prefilled.get(service).copied();
        (p.state.name.clone(), total.unwrap_or_default())
    });
    std::iter::once(own).chain(peers).collect()
}

fn measure_fleet(
    node: &Node,
    service: &ServiceName,
    now: Instant,
) -> (IndexMap<DomainName, DomainFleet>, Demand) {
    let endpoints = node.endpoints.lock();
    let mut fleet: IndexMap<DomainName, DomainFleet> = IndexMap::new();
    let mut demand = Demand::default();
    for (_, endpoint) in endpoints.accepting(service, now) {
        // The requests in progress in an evacuated domain are part of the load all the same.
        demand.running += f64::from(endpoint.load.running());
        demand.slots = demand.slots.max(endpoint.record.slots);
        if endpoints.is_evacuated(endpoint) {
            continue;
        }
        let domain = fleet.entry(endpoint.record.domain.clone()).or_default();
        if endpoint.record.spot {
            domain.spot += 1;
        } else {
            domain.on_demand += 1;
        }
    }
    (fleet, demand)
}
