//! Simulation of a service's VMs over several days, for comparing sizing policies.
//!
//! The policies are those of the production code; load, prices, reclaims and refused starts are
//! simulated.

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

/// Interval between sizing decisions and step of the simulation, in milliseconds.
const DECISION_INTERVAL_MS: u64 = 15_000;

const HOUR_MS: u64 = 3_600_000;

const DAY_MS: u64 = 24 * HOUR_MS;

/// Failure domains and their price factors.
const DOMAINS: [(&str, f64); 4] = [
    ("jos-north", 1.0),
    ("bukuru", 1.1),
    ("pankshin", 1.25),
    ("mangu", 1.5),
];

/// VM classes: name, on-demand price per hour in millionths of the currency unit, and capacity in
/// requests per second.
const CLASSES: [(&str, f64, f64); 2] = [("small", 1_000_000.0, 10.0), ("large", 2_100_000.0, 22.0)];

/// Price of a reclaimable VM as a fraction of the on-demand price.
const RECLAIMABLE_PRICE_RATIO: f64 = 0.3;

/// Standard deviation of the daily peak, which has the shape of a normal curve, in hours.
const PEAK_STD_DEV_HOURS: f64 = 2.0;

/// Time for which an offer stays marked as refused after the refusals end, in milliseconds.
const REFUSAL_RETENTION_MS: u64 = 10 * 60_000;

/// Parameters of the simulated load and cloud.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetScenario {
    /// Number of days; the first only fills the load profile and is not measured.
    pub days: u64,
    /// Load outside the peak, at night, in requests per second.
    pub low: f64,
    /// Load at the peak, in requests per second.
    pub high: f64,
    /// Hour of the peak on the first day.
    pub peak_hour: f64,
    /// Delay of the peak from one day to the next, in minutes.
    pub drift_min: f64,
    /// Time from requesting a VM until it serves load, in seconds.
    pub start_s: u64,
    /// Expected number of reclaims of a reclaimable VM per hour, from 0 to 240.
    pub reclaims: f64,
    /// Time for which starts of reclaimable VMs are refused after the reclaim of their failure
    /// domain, in minutes.
    pub refused_min: u64,
}

/// Totals of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetOutcome {
    /// Cost of all VMs, in millionths of the currency unit.
    pub cost: f64,
    /// Requests within the capacity of the ready VMs, which count as served within the latency
    /// target.
    pub within_target: f64,
    /// All requests.
    pub requests: f64,
    /// Time in which the fraction of requests served within the latency target was below 95 %.
    pub missed_time: Duration,
}

/// Minimum fraction of requests served within the latency target; a step below it counts as missed
/// time.
const MIN_WITHIN_TARGET_RATIO: f64 = 0.95;

struct SimulatedVm {
    /// Index of the offer.
    offer: usize,
    /// Simulated time from which it serves load, in milliseconds.
    ready_at: u64,
}

struct Fleet<'a> {
    scenario: &'a FleetScenario,
    rng: SmallRng,
    offers: Vec<Offer>,
    /// Simulated time until which starts are refused, in milliseconds, by index of the offer.
    refused_until: Vec<u64>,
    vms: Vec<SimulatedVm>,
    profile: LoadProfile,
}

/// Simulates the fleet under a sizing policy.
///
/// `seed` determines the noise of the load and the random reclaims. VMs exist from the second day
/// on.
///
/// # Panics
///
/// May panic if `scenario.reclaims` is outside its range.
pub fn simulate_fleet(scenario: &FleetScenario, policy: SizingPolicy, seed: u64) -> FleetOutcome {
    let mut fleet = Fleet::new(scenario, seed);
    let mut outcome = FleetOutcome::default();
    let mut time_ms = 0;
    while time_ms < scenario.days * DAY_MS {
        let load = scenario.load_at(time_ms, &mut fleet.rng);
        fleet.profile.record(time_ms % DAY_MS, load);
        if time_ms >= DAY_MS {
            fleet.reclaim(time_ms);
            fleet.resize(policy, load, time_ms);
            fleet.record_outcome(load, time_ms, &mut outcome);
        }
        time_ms += DECISION_INTERVAL_MS;
    }
    outcome
}

impl FleetScenario {
    /// Returns the hour of the peak on the day of `time_ms`.
    fn peak_hour_at(&self, time_ms: u64) -> f64 {
        self.peak_hour + (time_ms / DAY_MS) as f64 * self.drift_min / 60.0
    }

    /// Returns the load at a time, multiplied by uniform noise of ±5 %.
    fn load_at(&self, time_ms: u64, rng: &mut SmallRng) -> f64 {
        let hour = (time_ms % DAY_MS) as f64 / HOUR_MS as f64;
        let distance = (hour - self.peak_hour_at(time_ms)) / PEAK_STD_DEV_HOURS;
        let shape = (-0.5 * distance * distance).exp();
        let noise = rng.random_range(0.95..1.05);
        (self.low + (self.high - self.low) * shape) * noise
    }

    /// Returns whether a whole failure domain is reclaimed in this step: once a day, at the peak.
    fn is_domain_reclaim_due(&self, time_ms: u64) -> bool {
        let reclaim_at = (self.peak_hour_at(time_ms) * HOUR_MS as f64) as u64;
        (time_ms % DAY_MS).abs_diff(reclaim_at) < DECISION_INTERVAL_MS
            && time_ms % DAY_MS >= reclaim_at
    }
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a FleetScenario, seed: u64) -> Self {
        let offers = build_offers(scenario.reclaims);
        Self {
            scenario,
            rng: SmallRng::seed_from_u64(seed),
            refused_until: vec![0; offers.len()],
            offers,
            vms: Vec::new(),
            profile: LoadProfile::default(),
        }
    }

    /// Reclaims VMs: single ones at random, and once a day all reclaimable VMs of the failure
    /// domain with the most VMs, where starts of reclaimable VMs are then refused for a time.
    fn reclaim(&mut self, time_ms: u64) {
        let probability = self.scenario.reclaims * DECISION_INTERVAL_MS as f64 / HOUR_MS as f64;
        let offers = &self.offers;
        let rng = &mut self.rng;
        self.vms.retain(|v| {
            offers[v.offer].market == Market::OnDemand || !rng.random_bool(probability)
        });
        if !self.scenario.is_domain_reclaim_due(time_ms) {
            return;
        }
        let vm_count = |domain: &DomainName| {
            let vms = self.vms.iter();
            vms.filter(|v| offers[v.offer].domain == *domain).count()
        };
        let Some(domain) = offers.iter().map(|o| &o.domain).max_by_key(|d| vm_count(d)) else {
            return;
        };
        let domain = domain.clone();
        self.vms.retain(|v| {
            let offer = &offers[v.offer];
            offer.domain != domain || offer.market == Market::OnDemand
        });
        for (offer, refused_until) in offers.iter().zip(&mut self.refused_until) {
            if offer.domain == domain && offer.market == Market::Reclaimable {
                *refused_until = time_ms + self.scenario.refused_min * 60_000;
            }
        }
    }

    /// Starts the VMs of the policy's mix that are missing. Terminates surplus VMs only when no VM
    /// of the mix was missing and every VM is ready, so that a change of the mix does not reduce
    /// the capacity.
    fn resize(&mut self, policy: SizingPolicy, load: f64, time_ms: u64) {
        let input = SizingInput {
            load,
            profile: &self.profile,
            time_ms: time_ms % DAY_MS,
            startup_time: Duration::from_secs(self.scenario.start_s),
            offers: &self.offers,
        };
        let mix = policy.mix(input);
        let mut is_complete = true;
        for (offer, count) in &mix {
            let existing = self.vms.iter().filter(|v| v.offer == *offer);
            let missing = (*count as usize).saturating_sub(existing.count());
            for _ in 0..missing {
                is_complete = false;
                if time_ms < self.refused_until[*offer] {
                    self.offers[*offer].refused = true;
                    continue;
                }
                let ready_at = time_ms + millis(Duration::from_secs(self.scenario.start_s));
                self.vms.push(SimulatedVm {
                    offer: *offer,
                    ready_at,
                });
            }
        }
        for (offer, refused_until) in self.offers.iter_mut().zip(&self.refused_until) {
            offer.refused &= time_ms < refused_until.saturating_add(REFUSAL_RETENTION_MS);
        }
        is_complete &= self.vms.iter().all(|v| v.ready_at <= time_ms);
        if is_complete {
            let mut remaining = mix;
            self.vms.retain(|v| match remaining.get_mut(&v.offer) {
                Some(left) if *left > 0 => {
                    *left -= 1;
                    true
                }
                _ => false,
            });
        }
    }

    fn record_outcome(&self, load: f64, time_ms: u64, outcome: &mut FleetOutcome) {
        let hours = DECISION_INTERVAL_MS as f64 / HOUR_MS as f64;
        let seconds = DECISION_INTERVAL_MS as f64 / 1000.0;
        let price = |v: &SimulatedVm| self.offers[v.offer].price as f64;
        outcome.cost += self.vms.iter().map(price).sum::<f64>() * hours;
        let ready = self.vms.iter().filter(|v| v.ready_at <= time_ms);
        let capacity: f64 = ready.map(|v| self.offers[v.offer].capacity).sum();
        outcome.requests += load * seconds;
        outcome.within_target += load.min(capacity) * seconds;
        if capacity < load * MIN_WITHIN_TARGET_RATIO {
            outcome.missed_time += Duration::from_millis(DECISION_INTERVAL_MS);
        }
    }
}

fn build_offers(reclaims_per_hour: f64) -> Vec<Offer> {
    let mut offers = Vec::new();
    for (domain, factor) in DOMAINS {
        for (class, price, capacity) in CLASSES {
            for market in [Market::OnDemand, Market::Reclaimable] {
                let is_reclaimable = market == Market::Reclaimable;
                let ratio = if is_reclaimable {
                    RECLAIMABLE_PRICE_RATIO
                } else {
                    1.0
                };
                offers.push(Offer {
                    class: class.to_owned(),
                    domain: DomainName::new(domain).expect("the name is valid"),
                    market,
                    price: (price * factor * ratio) as u64,
                    capacity,
                    reclaims: if is_reclaimable {
                        reclaims_per_hour
                    } else {
                        0.0
                    },
                    refused: false,
                });
            }
        }
    }
    offers
}
