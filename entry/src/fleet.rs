//! How many endpoints a service should have in each failure domain.
//!
//! Reclaimable endpoints cost a fraction of on-demand ones and leave a domain at a time, so the
//! load is spread over all domains such that the others can take over from any one. On-demand
//! endpoints stand in while reclaimable ones are not to be had.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::DomainName;
use crate::Scaling;
use crate::ServiceName;

/// Prompt tokens a second that one engine reads while first events stay in time.
const TOKENS_PER_ENGINE: f64 = 4_500.0;

/// Part of an engine's slots that are taken on average.
const SLOT_SHARE: f64 = 0.2;

/// Reclaimable endpoints of a domain at least.
const LEAST_SPOT: u32 = 4;

/// Part of the endpoints that carry the load in comfort which must be there at all times.
const REQUIRED_SHARE: f64 = 0.6;

/// Time for which a refused order of reclaimable endpoints tells that they are scarce.
const REFUSAL_MEMORY: Duration = Duration::from_secs(6);

/// Time for which the highest demand is remembered.
const DEMAND_MEMORY: Duration = Duration::from_secs(15);

/// Time after a refused order for which its kind is not ordered in that domain again.
const REFUSAL_PAUSE: Duration = Duration::from_secs(3);

/// Time beyond the start of an endpoint after which an order is repeated.
const ORDER_SLACK: Duration = Duration::from_secs(3);

/// Order for a number of endpoints of one kind.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct FleetOrder {
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the endpoints may be reclaimed.
    pub spot: bool,
    /// Number of endpoints of this kind there.
    pub count: u32,
}

/// Endpoints of a service in one failure domain that take requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DomainFleet {
    /// Reclaimable ones.
    pub spot: u32,
    /// On-demand ones.
    pub on_demand: u32,
}

/// Load of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens that are read in a second.
    pub prefill: f64,
    /// Requests in progress.
    pub running: f64,
    /// Slots of one endpoint.
    pub slots: u32,
}

impl Demand {
    /// Returns the number of endpoints that carry the load.
    pub fn endpoints(&self) -> f64 {
        let reading = self.prefill / TOKENS_PER_ENGINE;
        let running = self.running / (f64::from(self.slots.max(1)) * SLOT_SHARE);
        reading.max(running)
    }
}

#[derive(Clone, Copy, Debug)]
struct LastOrder {
    count: u32,
    at: Instant,
    accepted: bool,
}

/// What the holder of the lease remembers of one service's fleet.
#[derive(Debug, Default)]
pub struct FleetPlan {
    orders: IndexMap<(DomainName, bool), LastOrder>,
    peak: Option<(f64, Instant)>,
}

impl FleetPlan {
    /// Returns the orders that bring the fleet to its size.
    ///
    /// `baseline` is the number of endpoints of a domain that operators started with; the load
    /// that they expect shows in it before any request does.
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
        let needed = self.remember(demand.endpoints(), now);
        let spot = Self::spot_count(scaling, baseline, needed, domains);
        let wanted = self.on_demand_counts(scaling, fleet, needed, spot, now);
        let mut orders = Vec::new();
        for (domain, on_demand) in wanted {
            let have = fleet.get(&domain).copied().unwrap_or_default();
            for (is_spot, count, there) in
                [(true, spot, have.spot), (false, on_demand, have.on_demand)]
            {
                if is_spot && scaling.spot_price.is_none() {
                    continue;
                }
                if self.is_due(&domain, is_spot, count, there, scaling.boot, now) {
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

    /// Notes whether an order was accepted.
    pub fn note_outcome(&mut self, order: &FleetOrder, accepted: bool, now: Instant) {
        let last = LastOrder {
            count: order.count,
            at: now,
            accepted,
        };
        self.orders.insert((order.domain.clone(), order.spot), last);
    }

    /// Returns the highest demand of late.
    fn remember(&mut self, endpoints: f64, now: Instant) -> f64 {
        match self.peak {
            Some((peak, at)) if peak >= endpoints && now.duration_since(at) < DEMAND_MEMORY => peak,
            _ => {
                self.peak = Some((endpoints, now));
                endpoints
            }
        }
    }

    /// Returns the reclaimable endpoints of each domain, such that one domain may be lost.
    fn spot_count(scaling: &Scaling, baseline: u32, needed: f64, domains: usize) -> u32 {
        if scaling.spot_price.is_none() {
            return 0;
        }
        let others = domains.saturating_sub(1).max(1) as f64;
        let each = (needed / others).ceil() as u32;
        let least = scaling.min.max(LEAST_SPOT).max(baseline);
        each.max(least).min(scaling.max)
    }

    /// Returns the on-demand endpoints of each domain: what reclaimable ones do not cover.
    ///
    /// They are ordered for what is neither there nor starting, and given up only for
    /// reclaimable ones that are there.
    fn on_demand_counts(
        &self,
        scaling: &Scaling,
        fleet: &IndexMap<DomainName, DomainFleet>,
        needed: f64,
        spot: u32,
        now: Instant,
    ) -> IndexMap<DomainName, u32> {
        let required = ((needed * REQUIRED_SHARE).ceil() as u32).max(1);
        let ready: u32 = fleet.values().map(|f| f.spot).sum();
        // Without replacements to be had, all domains may be lost before others could start.
        let surely = if self.is_refused(now) { 0 } else { ready };
        let starting = self.starting(scaling, fleet, spot, now);
        let least = required.saturating_sub(surely + starting);
        let most = required.saturating_sub(surely);
        let ordered = self.on_demand_ordered(fleet);
        spread(scaling, fleet, ordered.clamp(least, most))
    }

    /// Returns the on-demand endpoints that are ordered or, before any order, there.
    fn on_demand_ordered(&self, fleet: &IndexMap<DomainName, DomainFleet>) -> u32 {
        let ordered = |domain: &DomainName| self.orders.get(&(domain.clone(), false));
        let counts = fleet.iter().map(|(domain, there)| {
            let order = ordered(domain).filter(|o| o.accepted);
            order.map_or(there.on_demand, |o| o.count)
        });
        counts.sum()
    }

    /// Tells whether reclaimable endpoints were refused lately.
    fn is_refused(&self, now: Instant) -> bool {
        self.orders.iter().any(|((_, spot), order)| {
            *spot && !order.accepted && now.duration_since(order.at) < REFUSAL_MEMORY
        })
    }

    /// Returns the reclaimable endpoints that were ordered and can still come in time.
    fn starting(
        &self,
        scaling: &Scaling,
        fleet: &IndexMap<DomainName, DomainFleet>,
        spot: u32,
        now: Instant,
    ) -> u32 {
        let mut sum = 0;
        for domain in scaling.domain_prices.keys() {
            let there = fleet.get(domain).map_or(0, |f| f.spot);
            let order = self.orders.get(&(domain.clone(), true));
            let coming = order.is_some_and(|o| {
                o.accepted && now.duration_since(o.at) < scaling.boot + ORDER_SLACK
            });
            if coming {
                sum += spot.saturating_sub(there);
            }
        }
        sum
    }

    fn is_due(
        &self,
        domain: &DomainName,
        spot: bool,
        count: u32,
        there: u32,
        boot: Duration,
        now: Instant,
    ) -> bool {
        let Some(last) = self.orders.get(&(domain.clone(), spot)) else {
            return count != there;
        };
        let age = now.duration_since(last.at);
        if !last.accepted {
            return count != there && age >= REFUSAL_PAUSE;
        }
        let settled = age >= boot + ORDER_SLACK;
        last.count != count || settled && count != there
    }
}

/// Spreads on-demand endpoints over domains, the cheapest first.
fn spread(
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
            let there = fleet.get(*domain).map_or(0, |f| f.spot);
            let count = counts.entry((*domain).clone()).or_default();
            if missing > 0 && *count + there < scaling.max {
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
