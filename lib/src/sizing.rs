//! Fleet sizing: decides how many VMs a service needs, and which.
//!
//! The decision is a pure function of the load, the load profile and the offers of the cloud.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::DomainName;
use crate::Market;
use crate::millis;

/// Number of time slots in the load profile of a day.
pub const PROFILE_SLOTS: usize = 96;

/// Length of a day, in milliseconds.
const DAY_MS: u64 = 24 * 3_600_000;

/// Length of a time slot, in milliseconds.
const SLOT_MS: u64 = DAY_MS / PROFILE_SLOTS as u64;

/// Weight of the newest sample in the average of its time slot, 0 to 1.
const SMOOTHING_FACTOR: f64 = 0.5;

/// Maximum drift of a peak to either side from one day to the next, in time slots.
const MAX_DRIFT_SLOTS: usize = 2;

/// Target ratio of load to capacity of a VM.
const TARGET_UTILIZATION: f64 = 0.85;

/// Multiple of the measured load that is provided for, to cover its growth while a VM starts.
const HEADROOM_FACTOR: f64 = 1.2;

/// Policy that chooses the VMs of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SizingPolicy {
    /// On-demand VMs only, for the peak load of the day.
    OnDemand,
    /// Cheapest mix that carries the load expected until new VMs have started, even after the loss
    /// of any one failure domain.
    #[default]
    Profile,
    /// Reclaimable VMs only, for the current load.
    Reactive,
}

/// Minimum fraction of the load that on-demand VMs must be able to carry.
const MIN_ON_DEMAND_FRACTION: f64 = 0.1;

/// VM class that the cloud offers in one failure domain and market.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// VM class.
    pub class: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Market: on demand or reclaimable.
    pub market: Market,
    /// Price per hour, in millionths of the currency unit.
    pub price: u64,
    /// Requests per second that a VM serves within the latency target.
    pub capacity: f64,
    /// Expected number of reclaims of a VM per hour.
    pub reclaims: f64,
    /// Whether the cloud has recently refused to start one.
    pub refused: bool,
}

/// Load by time of day, as an exponential moving average of the samples of each time slot.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadProfile {
    /// Requests per second by time slot of the day; `None` before the first sample.
    slots: Vec<Option<f64>>,
}

/// Input of a sizing decision.
#[derive(Clone, Copy, Debug)]
pub struct SizingInput<'a> {
    /// Current load, in requests per second.
    pub load: f64,
    /// Load by time of day.
    pub profile: &'a LoadProfile,
    /// Time of day, in milliseconds.
    pub time_ms: u64,
    /// Time from requesting a VM until it serves load.
    pub startup_time: Duration,
    /// VM classes on offer.
    pub offers: &'a [Offer],
}

/// Number of VMs by index of the offer.
pub type Mix = IndexMap<usize, u32>;

impl LoadProfile {
    /// Adds a sample of the load, in requests per second, at a time of day.
    pub fn record(&mut self, time_ms: u64, load: f64) {
        self.slots.resize(PROFILE_SLOTS, None);
        let slot = &mut self.slots[slot_of(time_ms)];
        let average = slot.unwrap_or(load);
        *slot = Some(average + SMOOTHING_FACTOR * (load - average));
    }

    /// Returns the maximum load expected between two times of day, in requests per second.
    ///
    /// The range is extended on both sides, since the peak may drift from day to day.
    pub fn max_load(&self, from_ms: u64, to_ms: u64) -> f64 {
        let first = slot_of(from_ms) + PROFILE_SLOTS - MAX_DRIFT_SLOTS;
        let span = to_ms.saturating_sub(from_ms).div_ceil(SLOT_MS) as usize;
        (first..=first + span + 2 * MAX_DRIFT_SLOTS)
            .filter_map(|slot| *self.slots.get(slot % PROFILE_SLOTS)?)
            .fold(0.0, f64::max)
    }

    /// Returns the peak load of the day, in requests per second.
    pub fn peak(&self) -> f64 {
        self.slots.iter().flatten().copied().fold(0.0, f64::max)
    }
}

/// Returns the time slot of a time of day.
fn slot_of(time_ms: u64) -> usize {
    (time_ms % DAY_MS / SLOT_MS) as usize
}

impl SizingPolicy {
    /// Returns the VMs that the service should have.
    pub fn mix(self, input: SizingInput<'_>) -> Mix {
        match self {
            Self::OnDemand => {
                let load = input.profile.peak().max(input.load);
                let offers = matching_offers(input.offers, |o| o.market == Market::OnDemand);
                single_offer_mix(input.offers, &offers, load)
            }
            Self::Profile => {
                let ready = input.time_ms + millis(input.startup_time);
                let expected = input.profile.max_load(input.time_ms, ready);
                let load = expected.max(input.load * HEADROOM_FACTOR);
                mix_with_on_demand_minimum(input.offers, load)
            }
            Self::Reactive => {
                let offers = matching_offers(input.offers, |o| o.market == Market::Reclaimable);
                single_offer_mix(input.offers, &offers, input.load * HEADROOM_FACTOR)
            }
        }
    }
}

/// Returns the indexes of the offers that are not refused and match a predicate, cheapest first.
fn matching_offers(offers: &[Offer], test: impl Fn(&Offer) -> bool) -> Vec<usize> {
    let mut found: Vec<usize> = (0..offers.len())
        .filter(|i| !offers[*i].refused && test(&offers[*i]))
        .collect();
    found.sort_by(|a, b| unit_cost(&offers[*a]).total_cmp(&unit_cost(&offers[*b])));
    found
}

/// Returns the price per unit of capacity.
///
/// Expected reclaims raise it, since a VM is paid for but not yet useful after each one.
fn unit_cost(offer: &Offer) -> f64 {
    let useful_ratio = 1.0 / (1.0 + offer.reclaims);
    offer.price as f64 / (offer.capacity * useful_ratio)
}

/// Returns the cheapest mix found that carries the load after the loss of any one failure domain
/// and has the minimum of on-demand VMs.
fn mix_with_on_demand_minimum(offers: &[Offer], load: f64) -> Mix {
    let on_demand = matching_offers(offers, |o| o.market == Market::OnDemand);
    let on_demand_mix = single_offer_mix(offers, &on_demand, load * MIN_ON_DEMAND_FRACTION);
    let carried: f64 = on_demand_mix
        .iter()
        .map(|(index, count)| offers[*index].capacity * TARGET_UTILIZATION * f64::from(*count))
        .sum();
    let all = matching_offers(offers, |_| true);
    let mut mix = survivable_mix(offers, &all, (load - carried).max(0.0));
    for (index, count) in on_demand_mix {
        *mix.entry(index).or_default() += count;
    }
    mix
}

/// Returns a mix of the first offer in `order` only, with enough VMs for the load and at least one;
/// empty when `order` is.
fn single_offer_mix(offers: &[Offer], order: &[usize], load: f64) -> Mix {
    let Some(first) = order.first() else {
        return Mix::new();
    };
    let count = (load / (offers[*first].capacity * TARGET_UTILIZATION)).ceil();
    Mix::from([(*first, (count as u32).max(1))])
}

/// Returns the cheapest mix found that carries the load after the loss of any one failure domain.
///
/// With `k` failure domains, each must be able to carry `1 / (k - 1)` of the load: more domains
/// need less spare capacity but include more expensive offers, so each `k` is tried.
fn survivable_mix(offers: &[Offer], order: &[usize], load: f64) -> Mix {
    let mut best: IndexMap<&DomainName, usize> = IndexMap::new();
    for index in order {
        best.entry(&offers[*index].domain).or_insert(*index);
    }
    let cheapest: Vec<usize> = best.into_values().collect();
    if cheapest.len() < 2 {
        return single_offer_mix(offers, order, load);
    }
    (2..=cheapest.len())
        .map(|k| spread_mix(offers, &cheapest[..k], load))
        .min_by(|a, b| mix_cost(offers, a).total_cmp(&mix_cost(offers, b)))
        .unwrap_or_default()
}

/// Returns equal capacity in each of the chosen offers, so that any one of them may be lost.
fn spread_mix(offers: &[Offer], chosen: &[usize], load: f64) -> Mix {
    let share = load / (chosen.len() - 1) as f64;
    let count = |index: &usize| {
        let vms = (share / (offers[*index].capacity * TARGET_UTILIZATION)).ceil();
        (*index, (vms as u32).max(1))
    };
    chosen.iter().map(count).collect()
}

/// Returns the price of a mix per hour, adjusted for expected reclaims.
fn mix_cost(offers: &[Offer], mix: &Mix) -> f64 {
    mix.iter()
        .map(|(index, count)| {
            let offer = &offers[*index];
            unit_cost(offer) * offer.capacity * f64::from(*count)
        })
        .sum()
}
