//! Simulated days of a service's machines, on which decisions about sizing are measured.
//!
//! The decision under test is the product's; load, prices, reclaims and refused starts are
//! drawn here.

use std::time::Duration;

use hawthornrack_lib::DomainName;
use hawthornrack_lib::LoadProfile;
use hawthornrack_lib::Market;
use hawthornrack_lib::Offer;
use hawthornrack_lib::SizingInput;
use hawthornrack_lib::SizingPolicy;
use hawthornrack_lib::millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;

/// Time between two decisions, in milliseconds.
const TICK_MS: u64 = 15_000;

/// Milliseconds of an hour.
const HOUR_MS: u64 = 3_600_000;

/// Milliseconds of a day.
const DAY_MS: u64 = 24 * HOUR_MS;

/// Failure domains, with the factor on their prices.
const DOMAINS: [(&str, f64); 4] = [
    ("jos-north", 1.0),
    ("bukuru", 1.1),
    ("pankshin", 1.25),
    ("mangu", 1.5),
];

/// Machine classes: name, price on demand per hour in millionths, requests a second.
const CLASSES: [(&str, f64, f64); 2] = [("small", 1_000_000.0, 10.0), ("large", 2_100_000.0, 22.0)];

/// Part of the on-demand price that a reclaimable machine costs.
const RECLAIMABLE_PART: f64 = 0.3;

/// Width of the evening peak, in hours.
const PEAK_HOURS: f64 = 2.0;

/// Time for which a refusal is remembered, in milliseconds.
const REFUSAL_MS: u64 = 10 * 60_000;

/// Simulated days.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDays {
    /// Days, the first of which only teaches the profile.
    pub days: u64,
    /// Load at night, in requests a second.
    pub low: f64,
    /// Load at the peak, in requests a second.
    pub high: f64,
    /// Hour of the first day's peak.
    pub peak_hour: f64,
    /// Time by which the peak comes later each day, in minutes.
    pub drift_min: f64,
    /// Time from asking for a machine until it carries load, in seconds.
    pub start_s: u64,
    /// Reclaims of a reclaimable machine in an hour.
    pub reclaims: f64,
    /// Time for which reclaimable starts are refused after the zone is reclaimed, in minutes.
    pub refused_min: u64,
}

/// What came of the simulated days.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetOutcome {
    /// Price of all machines, in millionths of the currency unit.
    pub price: f64,
    /// Requests answered within the latency target.
    pub within: f64,
    /// Requests in all.
    pub requests: f64,
    /// Time in which fewer than 95 in 100 requests were answered within the target.
    pub missed: Duration,
}

/// Part of the requests that must be answered within the target.
const TARGET_PART: f64 = 0.95;

struct Machine {
    offer: usize,
    ready: u64,
}

struct Fleet<'a> {
    days: &'a FleetDays,
    rng: SmallRng,
    offers: Vec<Offer>,
    refused: Vec<u64>,
    machines: Vec<Machine>,
    profile: LoadProfile,
}

/// Runs the days under a policy.
pub fn simulate_days(days: &FleetDays, policy: SizingPolicy, seed: u64) -> FleetOutcome {
    let mut fleet = Fleet::new(days, seed);
    let mut outcome = FleetOutcome::default();
    let mut time = 0;
    while time < days.days * DAY_MS {
        let load = days.load(time, &mut fleet.rng);
        fleet.profile.learn(time % DAY_MS, load);
        if time >= DAY_MS {
            fleet.reclaim(time);
            fleet.resize(policy, load, time);
            fleet.count(load, time, &mut outcome);
        }
        time += TICK_MS;
    }
    outcome
}

impl FleetDays {
    /// Returns the hour of the day's peak.
    fn peak(&self, time: u64) -> f64 {
        self.peak_hour + (time / DAY_MS) as f64 * self.drift_min / 60.0
    }

    fn load(&self, time: u64, rng: &mut SmallRng) -> f64 {
        let hour = (time % DAY_MS) as f64 / HOUR_MS as f64;
        let away = (hour - self.peak(time)) / PEAK_HOURS;
        let shape = (-0.5 * away * away).exp();
        let noise = rng.random_range(0.95..1.05);
        (self.low + (self.high - self.low) * shape) * noise
    }

    /// Tells whether the cheapest zone is reclaimed in the tick: at the peak of each day.
    fn is_worst_minute(&self, time: u64) -> bool {
        let worst = (self.peak(time) * HOUR_MS as f64) as u64;
        (time % DAY_MS).abs_diff(worst) < TICK_MS && time % DAY_MS >= worst
    }
}

impl<'a> Fleet<'a> {
    fn new(days: &'a FleetDays, seed: u64) -> Self {
        let offers = offers(days.reclaims);
        Self {
            days,
            rng: SmallRng::seed_from_u64(seed),
            refused: vec![0; offers.len()],
            offers,
            machines: Vec::new(),
            profile: LoadProfile::default(),
        }
    }

    /// Takes machines back: now and then one, and at the worst minute the whole domain that
    /// holds most of them, whose reclaimable starts are then refused for a while.
    fn reclaim(&mut self, time: u64) {
        let chance = self.days.reclaims * TICK_MS as f64 / HOUR_MS as f64;
        let offers = &self.offers;
        let rng = &mut self.rng;
        self.machines
            .retain(|m| offers[m.offer].market == Market::OnDemand || !rng.random_bool(chance));
        if !self.days.is_worst_minute(time) {
            return;
        }
        let held = |domain: &DomainName| {
            let machines = self.machines.iter();
            machines
                .filter(|m| offers[m.offer].domain == *domain)
                .count()
        };
        let Some(lost) = offers.iter().map(|o| &o.domain).max_by_key(|d| held(d)) else {
            return;
        };
        let lost = lost.clone();
        self.machines.retain(|m| {
            let offer = &offers[m.offer];
            offer.domain != lost || offer.market == Market::OnDemand
        });
        for (offer, refused) in offers.iter().zip(&mut self.refused) {
            if offer.domain == lost && offer.market == Market::Reclaimable {
                *refused = time + self.days.refused_min * 60_000;
            }
        }
    }

    /// Starts what the policy wants more of, and gives back what it no longer wants once
    /// everything wanted is ready.
    fn resize(&mut self, policy: SizingPolicy, load: f64, time: u64) {
        let input = SizingInput {
            load,
            profile: &self.profile,
            time: time % DAY_MS,
            start: Duration::from_secs(self.days.start_s),
            offers: &self.offers,
        };
        let mix = policy.mix(input);
        let mut is_whole = true;
        for (offer, count) in &mix {
            let held = self.machines.iter().filter(|m| m.offer == *offer);
            let missing = (*count as usize).saturating_sub(held.count());
            for _ in 0..missing {
                is_whole = false;
                if time < self.refused[*offer] {
                    self.offers[*offer].refused = true;
                    continue;
                }
                let ready = time + millis(Duration::from_secs(self.days.start_s));
                self.machines.push(Machine {
                    offer: *offer,
                    ready,
                });
            }
        }
        for (offer, refused) in self.offers.iter_mut().zip(&self.refused) {
            offer.refused &= time < refused.saturating_add(REFUSAL_MS);
        }
        is_whole &= self.machines.iter().all(|m| m.ready <= time);
        if is_whole {
            let mut kept = mix;
            self.machines.retain(|m| match kept.get_mut(&m.offer) {
                Some(left) if *left > 0 => {
                    *left -= 1;
                    true
                }
                _ => false,
            });
        }
    }

    fn count(&self, load: f64, time: u64, outcome: &mut FleetOutcome) {
        let hours = TICK_MS as f64 / HOUR_MS as f64;
        let seconds = TICK_MS as f64 / 1000.0;
        let price = |m: &Machine| self.offers[m.offer].price as f64;
        outcome.price += self.machines.iter().map(price).sum::<f64>() * hours;
        let ready = self.machines.iter().filter(|m| m.ready <= time);
        let capacity: f64 = ready.map(|m| self.offers[m.offer].capacity).sum();
        outcome.requests += load * seconds;
        outcome.within += load.min(capacity) * seconds;
        if capacity < load * TARGET_PART {
            outcome.missed += Duration::from_millis(TICK_MS);
        }
    }
}

fn offers(reclaims: f64) -> Vec<Offer> {
    let mut offers = Vec::new();
    for (domain, factor) in DOMAINS {
        for (class, price, capacity) in CLASSES {
            for market in [Market::OnDemand, Market::Reclaimable] {
                let is_reclaimable = market == Market::Reclaimable;
                let part = if is_reclaimable {
                    RECLAIMABLE_PART
                } else {
                    1.0
                };
                offers.push(Offer {
                    class: class.to_owned(),
                    domain: DomainName::new(domain).expect("the name is valid"),
                    market,
                    price: (price * factor * part) as u64,
                    capacity,
                    reclaims: if is_reclaimable { reclaims } else { 0.0 },
                    refused: false,
                });
            }
        }
    }
    offers
}
