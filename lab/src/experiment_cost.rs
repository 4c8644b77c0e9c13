//! Cost experiment: simulates a fleet of VMs under each sizing policy.

use hawthornrack_lib::SizingPolicy;
use serde::Deserialize;

use crate::FleetOutcome;
use crate::FleetScenario;
use crate::Report;
use crate::Table;
use crate::median;
use crate::simulate_fleet;

/// Simulation of the same fleet under several sizing policies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CostExperiment {
    /// Policies to compare; the first is the baseline.
    pub policies: Vec<SizingPolicy>,
    /// Seeds of the load's noise and the random reclaims; every policy runs once with each.
    pub seeds: Vec<u64>,
    /// Load and conditions of the cloud.
    pub fleet: FleetScenario,
}

impl CostExperiment {
    /// Simulates the fleet under every policy; `seed` replaces the declared seeds.
    pub fn run(&self, seed: Option<u64>) -> Report {
        let seeds = seed.map_or_else(|| self.seeds.clone(), |seed| vec![seed]);
        let mut table = Table::new(
            "Cost by policy, medians over the seeds",
            &[
                "policy",
                "price per thousand answers within target",
                "ratio to the first policy",
                "answers within target",
                "minutes a day below 95 % within target",
            ],
        );
        let mut baseline = None;
        for policy in &self.policies {
            let outcomes: Vec<FleetOutcome> = seeds
                .iter()
                .map(|seed| simulate_fleet(&self.fleet, *policy, *seed))
                .collect();
            let cost_per_1000 = |o: &FleetOutcome| o.cost / o.within_target.max(1.0) * 1000.0;
            let within_target_ratio = |o: &FleetOutcome| o.within_target / o.requests.max(1.0);
            let price = median(&mut outcomes.iter().map(cost_per_1000).collect::<Vec<_>>());
            let median_within_target =
                median(&mut outcomes.iter().map(within_target_ratio).collect::<Vec<_>>());
            // The first day is not measured.
            let measured_days = self.fleet.days.saturating_sub(1).max(1) as f64;
            let missed_minutes_per_day =
                |o: &FleetOutcome| o.missed_time.as_secs_f64() / 60.0 / measured_days;
            let missed = median(
                &mut outcomes
                    .iter()
                    .map(missed_minutes_per_day)
                    .collect::<Vec<_>>(),
            );
            let baseline_cost = *baseline.get_or_insert(price);
            table.push_row(vec![
                format!("{policy:?}"),
                format!("{price:.0}"),
                format!("{:.2}", price / baseline_cost),
                format!("{:.3} %", median_within_target * 100.0),
                format!("{missed:.1}"),
            ]);
        }
        Report {
            tables: vec![table],
        }
    }
}
