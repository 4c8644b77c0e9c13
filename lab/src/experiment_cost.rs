//! Experiment on cost: simulated days under each sizing policy.

use hawthornrack_lib::SizingPolicy;
use serde::Deserialize;

use crate::FleetDays;
use crate::FleetOutcome;
use crate::Report;
use crate::Table;
use crate::median;
use crate::simulate_days;

/// Simulated days under several policies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CostExperiment {
    /// Policies compared; the first is the measure of the others.
    pub policies: Vec<SizingPolicy>,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Load and cloud.
    pub fleet: FleetDays,
}

impl CostExperiment {
    /// Runs the days under every policy; `seed` replaces the declared seeds.
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
        let mut measure = None;
        for policy in &self.policies {
            let outcomes: Vec<FleetOutcome> = seeds
                .iter()
                .map(|seed| simulate_days(&self.fleet, *policy, *seed))
                .collect();
            let price = |o: &FleetOutcome| o.price / o.within.max(1.0) * 1000.0;
            let within = |o: &FleetOutcome| o.within / o.requests.max(1.0);
            let price = median(&mut outcomes.iter().map(price).collect::<Vec<_>>());
            let within = median(&mut outcomes.iter().map(within).collect::<Vec<_>>());
            let days = self.fleet.days.saturating_sub(1).max(1) as f64;
            let missed = |o: &FleetOutcome| o.missed.as_secs_f64() / 60.0 / days;
            let missed = median(&mut outcomes.iter().map(missed).collect::<Vec<_>>());
            let first = *measure.get_or_insert(price);
            table.push(vec![
                format!("{policy:?}"),
                format!("{price:.0}"),
                format!("{:.2}", price / first),
                format!("{:.3} %", within * 100.0),
                format!("{missed:.1}"),
            ]);
        }
        Report {
            tables: vec![table],
        }
    }
}
