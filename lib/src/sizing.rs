//! Decides how many machines a service needs, and which.
//!
//! The decision is pure: the load profile, the offers of the cloud and the machines running go
//! in, the wanted mix comes out.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::DomainName;
use crate::Market;
use crate::millis;

/// Slots of the day's profile.
pub const PROFILE_SLOTS: usize = 96;

/// Milliseconds of a day.
const DAY_MS: u64 = 24 * 3_600_000;

/// Milliseconds of a slot.
const SLOT_MS: u64 = DAY_MS / PROFILE_SLOTS as u64;

/// Weight of the newest day in the profile.
const PROFILE_WEIGHT: f64 = 0.5;

/// Slots by which a drifting peak may come earlier or later than on the days learnt.
const DRIFT_SLOTS: usize = 2;

/// Part of a machine's capacity that is planned for.
const PLANNED_USE: f64 = 0.85;

/// Factor on the measured load that covers its growth while a machine starts.
const REACTIVE_MARGIN: f64 = 1.2;

/// How a service's machines are chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SizingPolicy {
    /// On-demand machines only, for the highest load of the day.
    OnDemand,
    /// Cheapest mix that carries the load expected by the time that machines have started,
    /// with any one failure domain gone.
    #[default]
    Profile,
    /// Reclaimable machines for the load measured now.
    Reactive,
}

/// Part of the load that on-demand machines carry.
const FLOOR_PART: f64 = 0.1;

/// A kind of machine that the cloud offers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// Machine class.
    pub class: String,
    /// Failure domain.
    pub domain: DomainName,
    /// How it is paid for.
    pub market: Market,
    /// Price per hour, in millionths of the currency unit.
    pub price: u64,
    /// Requests a second that a machine carries within the latency target.
    pub capacity: f64,
    /// Reclaims to be expected in an hour.
    pub reclaims: f64,
    /// Whether the cloud has lately refused to start one.
    pub refused: bool,
}

/// Load by time of day, learnt over days; the newest day counts most.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadProfile {
    /// Requests a second, by slot of the day; `None` before the first reading.
    slots: Vec<Option<f64>>,
}

/// What a sizing decision is made on.
#[derive(Clone, Copy, Debug)]
pub struct SizingInput<'a> {
    /// Load measured now, in requests a second.
    pub load: f64,
    /// Load by time of day.
    pub profile: &'a LoadProfile,
    /// Time of day, in milliseconds.
    pub time: u64,
    /// Time from asking for a machine until it carries load.
    pub start: Duration,
    /// Machines that can be had.
    pub offers: &'a [Offer],
}

/// Wanted machines, by index of the offer.
pub type Mix = IndexMap<usize, u32>;

impl LoadProfile {
    /// Takes in the load measured at a time of day, in milliseconds.
    pub fn learn(&mut self, time: u64, load: f64) {
        self.slots.resize(PROFILE_SLOTS, None);
        let slot = &mut self.slots[slot_of(time)];
        let known = slot.unwrap_or(load);
        *slot = Some(known + PROFILE_WEIGHT * (load - known));
    }

    /// Returns the highest load to be expected between two times of day, in requests a second.
    ///
    /// A peak that drifts is expected somewhat earlier and later than on the days learnt.
    pub fn highest(&self, from: u64, to: u64) -> f64 {
        let first = slot_of(from) + PROFILE_SLOTS - DRIFT_SLOTS;
        let span = to.saturating_sub(from).div_ceil(SLOT_MS) as usize;
        (first..=first + span + 2 * DRIFT_SLOTS)
            .filter_map(|slot| *self.slots.get(slot % PROFILE_SLOTS)?)
            .fold(0.0, f64::max)
    }

    /// Returns the highest load of the day, in requests a second.
    pub fn peak(&self) -> f64 {
        self.slots.iter().flatten().copied().fold(0.0, f64::max)
    }
}

fn slot_of(time: u64) -> usize {
    (time % DAY_MS / SLOT_MS) as usize
}

impl SizingPolicy {
    /// Returns the machines that the service should have.
    pub fn mix(self, input: SizingInput<'_>) -> Mix {
        match self {
            Self::OnDemand => {
                let load = input.profile.peak().max(input.load);
                let offers = allowed(input.offers, |o| o.market == Market::OnDemand);
                cheapest_mix(input.offers, &offers, load)
            }
            Self::Profile => {
                let ready = input.time + millis(input.start);
                let expected = input.profile.highest(input.time, ready);
                let load = expected.max(input.load * REACTIVE_MARGIN);
                floored_mix(input.offers, load)
            }
            Self::Reactive => {
                let offers = allowed(input.offers, |o| o.market == Market::Reclaimable);
                cheapest_mix(input.offers, &offers, input.load * REACTIVE_MARGIN)
            }
        }
    }
}

/// Returns the offers that can be had and pass a test, cheapest first.
fn allowed(offers: &[Offer], test: impl Fn(&Offer) -> bool) -> Vec<usize> {
    let mut found: Vec<usize> = (0..offers.len())
        .filter(|i| !offers[*i].refused && test(&offers[*i]))
        .collect();
    found.sort_by(|a, b| cost(&offers[*a]).total_cmp(&cost(&offers[*b])));
    found
}

/// Returns the price of a unit of capacity, with the reclaims to be expected counted as the
/// part of an hour that a machine is paid for but not yet of use.
fn cost(offer: &Offer) -> f64 {
    let used = 1.0 / (1.0 + offer.reclaims);
    offer.price as f64 / (offer.capacity * used)
}

/// Returns the cheapest mix found whose floor is on demand and which carries the load with any
/// one failure domain gone.
fn floored_mix(offers: &[Offer], load: f64) -> Mix {
    let steady = allowed(offers, |o| o.market == Market::OnDemand);
    let floor = cheapest_mix(offers, &steady, load * FLOOR_PART);
    let carried: f64 = floor
        .iter()
        .map(|(index, count)| offers[*index].capacity * PLANNED_USE * f64::from(*count))
        .sum();
    let all = allowed(offers, |_| true);
    let mut mix = survivable_mix(offers, &all, (load - carried).max(0.0));
    for (index, count) in floor {
        *mix.entry(index).or_default() += count;
    }
    mix
}

/// Takes the cheapest offer alone until the load is carried.
fn cheapest_mix(offers: &[Offer], order: &[usize], load: f64) -> Mix {
    let Some(first) = order.first() else {
        return Mix::new();
    };
    let count = (load / (offers[*first].capacity * PLANNED_USE)).ceil();
    Mix::from([(*first, (count as u32).max(1))])
}

/// Returns the cheapest mix found that carries the load with any one failure domain gone.
///
/// With the load spread over `k` domains each carries a `k - 1`th part of it, so more domains
/// need less spare capacity but reach into dearer ones; each `k` is tried.
fn survivable_mix(offers: &[Offer], order: &[usize], load: f64) -> Mix {
    let mut best: IndexMap<&DomainName, usize> = IndexMap::new();
    for index in order {
        best.entry(&offers[*index].domain).or_insert(*index);
    }
    let cheapest: Vec<usize> = best.into_values().collect();
    if cheapest.len() < 2 {
        return cheapest_mix(offers, order, load);
    }
    (2..=cheapest.len())
        .map(|k| spread_mix(offers, &cheapest[..k], load))
        .min_by(|a, b| price(offers, a).total_cmp(&price(offers, b)))
        .unwrap_or_default()
}

fn spread_mix(offers: &[Offer], chosen: &[usize], load: f64) -> Mix {
    let part = load / (chosen.len() - 1) as f64;
    let count = |index: &usize| {
        let machines = (part / (offers[*index].capacity * PLANNED_USE)).ceil();
        (*index, (machines as u32).max(1))
    };
    chosen.iter().map(count).collect()
}

/// Returns the price of a mix per hour, with the risk of reclaims.
fn price(offers: &[Offer], mix: &Mix) -> f64 {
    mix.iter()
        .map(|(index, count)| {
            let offer = &offers[*index];
            cost(offer) * offer.capacity * f64::from(*count)
        })
        .sum()
}
