//! Plans how many endpoints a service should have in each failure domain.
//!
//! Spot endpoints cost a fraction of on-demand ones, but all those of a domain may be reclaimed
//! together. The load is therefore spread so that the remaining domains can carry it when one is
//! lost. On-demand endpoints replace spot ones while those are not available.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::DomainName;
use crate::Scaling;
use crate::ServiceName;

/// Prompt tokens per second planned for one engine: a tenth of its raw prefill speed
/// (`PREFILL_TOKENS_PER_MS` in `endpoint_load`), so that the first events of streams meet their
/// latency objective.
const PLANNED_PREFILL_TOKENS_PER_S: f64 = 4_500.0;

/// Target fraction of an engine's slots that are in use on average.
const TARGET_SLOT_UTILIZATION: f64 = 0.2;

/// Minimum number of spot endpoints in each domain.
const MIN_SPOT_PER_DOMAIN: u32 = 4;

/// Minimum fraction of the endpoints needed for the peak demand that must be available at any time.
const MIN_CAPACITY_FRACTION: f64 = 0.6;

/// Time after a refused order for spot endpoints during which they count as scarce: the plan does
/// not rely on the spot endpoints that accept requests.
const SPOT_REFUSAL_PERIOD: Duration = Duration::from_secs(6);

/// Time for which the peak demand is retained.
const PEAK_DEMAND_RETENTION: Duration = Duration::from_secs(15);

/// Time after a refused order before endpoints of its kind are ordered in that domain again.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(3);

/// Time in addition to the boot time of an endpoint after which an unfulfilled order is repeated.
const ORDER_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Order for the total number of endpoints of one kind in a failure domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct FleetOrder {
    /// Service that the endpoints serve.
    pub service: ServiceName,
    /// Failure domain of the endpoints.
    pub domain: DomainName,
    /// Whether the order is for spot endpoints, which may be reclaimed, or on-demand ones.
    pub spot: bool,
    /// Number of endpoints of this kind that the domain should have.
    pub count: u32,
}

/// Numbers of a service's endpoints in one failure domain that accept requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DomainFleet {
    /// Spot endpoints.
    pub spot: u32,
    /// On-demand endpoints.
    pub on_demand: u32,
}

/// Load of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Number of requests in progress.
    pub running: f64,
    /// Number of slots of one endpoint.
    pub slots: u32,
}

impl Demand {
    /// Returns the number of endpoints needed for the load.
    pub fn endpoints(&self) -> f64 {
        let for_prefill = self.prefill_rate / PLANNED_PREFILL_TOKENS_PER_S;
        let for_running = self.running / (f64::from(self.slots.max(1)) * TARGET_SLOT_UTILIZATION);
        for_prefill.max(for_running)
    }
}

#[derive(Clone, Copy, Debug)]
struct LastOrder {
    count: u32,
    at: Instant,
    accepted: bool,
}

/// Plans the fleet of one service from its demand and its earlier orders.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    last_orders: IndexMap<(DomainName, bool), LastOrder>,
    peak: Option<(f64, Instant)>,
}

impl FleetPlanner {
    /// Returns the orders that bring the fleet to its planned size.
    ///
    /// `baseline` is the largest number of endpoints in one failure domain when the deployment
    /// started. It reflects the load that operators expect before any request arrives.
    pub fn orders(
        &mut self,
        service: &ServiceName,
        scaling: &Scaling,
        baseline: u32,
        fleet: &IndexMap<DomainName, DomainFleet>,
        demand: Demand,
        now: Instant,
    ) -> Vec<FleetOrder> {
        let domains = scaling.domain_prices.len().max(1);
        let needed = self.peak_demand(demand.endpoints(), now);
        let spot = Self::spot_count(scaling, baseline, needed, domains);
        // Before the first request, the load that the operators expect is all that is known.
        let expected = if needed > 0.0 {
            0
        } else {
            baseline * domains as u32
        };
        let required = ((needed * MIN_CAPACITY_FRACTION).ceil() as u32)
            .max(expected)
            .max(1);
        let on_demand_counts = self.on_demand_counts(scaling, fleet, required, spot, now);
        let mut orders = Vec::new();
        for (domain, on_demand) in on_demand_counts {
            let current = fleet.get(&domain).copied().unwrap_or_default();
            for (is_spot, count, present) in [
                (true, spot, current.spot),
                (false, on_demand, current.on_demand),
            ] {
                if is_spot && scaling.spot_price.is_none() {
                    continue;
                }
                if self.is_due(&domain, is_spot, count, present, scaling.boot, now) {
                    orders.push(FleetOrder {
                        service: service.clone(),
                        domain: domain.clone(),
                        spot: is_spot,
                        count,
                    });
                }
            }
        }
        orders
    }

    /// Records whether the platform accepted an order.
    pub fn record_outcome(&mut self, order: &FleetOrder, accepted: bool, now: Instant) {
        let last = LastOrder {
            count: order.count,
            at: now,
            accepted,
        };
        self.last_orders
            .insert((order.domain.clone(), order.spot), last);
    }

    /// Returns the peak demand within [`PEAK_DEMAND_RETENTION`], in endpoints.
    fn peak_demand(&mut self, endpoints: f64, now: Instant) -> f64 {
        match self.peak {
            Some((peak, at))
                if peak >= endpoints && now.duration_since(at) < PEAK_DEMAND_RETENTION =>
            {
                peak
            }
            _ => {
                self.peak = Some((endpoints, now));
                endpoints
            }
        }
    }

    /// Returns the number of spot endpoints per domain that tolerates the loss of one domain.
    fn spot_count(scaling: &Scaling, baseline: u32, needed: f64, domains: usize) -> u32 {
        if scaling.spot_price.is_none() {
            return 0;
        }
        let others = domains.saturating_sub(1).max(1) as f64;
        let each = (needed / others).ceil() as u32;
        let minimum = scaling.min.max(MIN_SPOT_PER_DOMAIN).max(baseline);
        each.max(minimum).min(scaling.max)
    }

    /// Returns the number of on-demand endpoints per domain that are needed in addition to the spot
    /// endpoints, so that `required` endpoints are available at any time.
    ///
    /// Starting spot endpoints prevent new on-demand orders, but on-demand endpoints are released
    /// only when spot endpoints that replace them accept requests.
    fn on_demand_counts(
        &self,
        scaling: &Scaling,
        fleet: &IndexMap<DomainName, DomainFleet>,
        required: u32,
        spot: u32,
        now: Instant,
    ) -> IndexMap<DomainName, u32> {
        let ready: u32 = fleet.values().map(|f| f.spot).sum();
        // While spot orders are refused, all spot endpoints may be lost before any replacement
        // could start.
        let reliable = if self.is_spot_refused(now) { 0 } else { ready };
        let spot_starting = self.spot_starting(scaling, fleet, spot, now);
        let minimum = required.saturating_sub(reliable + spot_starting);
        let maximum = required.saturating_sub(reliable);
        let ordered = self.on_demand_ordered(fleet);
        spread_by_price(scaling, fleet, ordered.clamp(minimum, maximum))
    }

    /// Returns the number of on-demand endpoints ordered, or present where no order was accepted.
    fn on_demand_ordered(&self, fleet: &IndexMap<DomainName, DomainFleet>) -> u32 {
        let ordered = |domain: &DomainName| self.last_orders.get(&(domain.clone(), false));
        let counts = fleet.iter().map(|(domain, present)| {
            let order = ordered(domain).filter(|o| o.accepted);
            order.map_or(present.on_demand, |o| o.count)
        });
        counts.sum()
    }

    /// Returns whether an order for spot endpoints was refused recently.
    fn is_spot_refused(&self, now: Instant) -> bool {
        self.last_orders.iter().any(|((_, spot), order)| {
            *spot && !order.accepted && now.duration_since(order.at) < SPOT_REFUSAL_PERIOD
        })
    }

    /// Returns the number of spot endpoints whose accepted order may still be fulfilled in time.
    fn spot_starting(
        &self,
        scaling: &Scaling,
        fleet: &IndexMap<DomainName, DomainFleet>,
        spot: u32,
        now: Instant,
    ) -> u32 {
        let mut sum = 0;
        for domain in scaling.domain_prices.keys() {
            let present = fleet.get(domain).map_or(0, |f| f.spot);
            let order = self.last_orders.get(&(domain.clone(), true));
            let is_starting = order.is_some_and(|o| {
                o.accepted && now.duration_since(o.at) < scaling.boot + ORDER_GRACE_PERIOD
            });
            if is_starting {
                sum += spot.saturating_sub(present);
            }
        }
        sum
    }

    fn is_due(
        &self,
        domain: &DomainName,
        spot: bool,
        count: u32,
        present: u32,
        boot: Duration,
        now: Instant,
    ) -> bool {
        let Some(last) = self.last_orders.get(&(domain.clone(), spot)) else {
            return count != present;
        };
        let age = now.duration_since(last.at);
        if !last.accepted {
            return count != present && age >= REFUSAL_BACKOFF;
        }
        let is_past_grace_period = age >= boot + ORDER_GRACE_PERIOD;
        last.count != count || is_past_grace_period && count != present
    }
}

/// Spreads on-demand endpoints over the failure domains in turn, the cheapest first.
fn spread_by_price(
    scaling: &Scaling,
    fleet: &IndexMap<DomainName, DomainFleet>,
    mut missing: u32,
) -> IndexMap<DomainName, u32> {
    let mut by_price: Vec<(&DomainName, f64)> =
        scaling.domain_prices.iter().map(|(d, p)| (d, *p)).collect();
    by_price.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut counts: IndexMap<DomainName, u32> = IndexMap::new();
    for (domain, _) in &by_price {
        counts.insert((*domain).clone(), 0);
    }
    while missing > 0 {
        let before = missing;
        for (domain, _) in &by_price {
            let present = fleet.get(*domain).map_or(0, |f| f.spot);
            let count = counts.entry((*domain).clone()).or_default();
            if missing > 0 && *count + present < scaling.max {
                *count += 1;
                missing -= 1;
            }
        }
        if missing == before {
            break;
        }
    }
    counts
}
