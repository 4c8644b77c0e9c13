//! Rollout experiment: moves to versions with and without a regression under each policy.

use std::time::Duration;

use hawthornrack_lib::RolloutPolicy;
use serde::Deserialize;

use crate::MoveEnding;
use crate::MoveOutcome;
use crate::Report;
use crate::SimulatedVersion;
use crate::Table;
use crate::draw_version;
use crate::median;
use crate::quantile;
use crate::simulate_move;

/// Simulated moves to a population of versions under several rollout policies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutExperiment {
    /// Number of versions drawn for each seed; every other one has a regression.
    pub versions: u32,
    /// Time from the start to the deadline of each move, in seconds.
    pub span_s: u64,
    /// Policies to compare.
    pub policies: Vec<RolloutPolicy>,
    /// Seeds; the versions drawn for one seed form a population.
    pub seeds: Vec<u64>,
}

/// Version and the outcome of the move to it.
type Trial = (SimulatedVersion, MoveOutcome);

impl RolloutExperiment {
    /// Simulates every move under every policy; `seed` replaces the declared seeds.
    pub fn run(&self, seed: Option<u64>) -> Report {
        let seeds = seed.map_or_else(|| self.seeds.clone(), |seed| vec![seed]);
        let mut by_policy = Table::new(
            "Moves by policy, all versions",
            &[
                "policy",
                "seed",
                "good done in time",
                "good taken back",
                "good late",
                "bad taken back",
                "requests to a bad one p50/p95/max",
                "seconds from showing to zero p50/p95/max",
            ],
        );
        let mut by_kind = Table::new(
            "Bad versions by kind, all seeds",
            &["policy", "kind", "taken back", "requests p50/max"],
        );
        let mut misjudged = Table::new(
            "Good versions taken back and bad ones kept",
            &[
                "policy",
                "version",
                "requests a second",
                "in the middle",
                "served",
                "reason",
            ],
        );
        for policy in &self.policies {
            let mut all = Vec::new();
            for seed in &seeds {
                let trials = self.run_population(*policy, *seed);
                by_policy.push_row(summary_row(*policy, *seed, &trials));
                all.extend(trials);
            }
            add_kind_rows(&mut by_kind, *policy, &all);
            if *policy == RolloutPolicy::Sequential {
                add_misjudged_rows(&mut misjudged, *policy, &all);
            }
        }
        Report {
            tables: vec![by_policy, by_kind, misjudged],
        }
    }

    /// Simulates the moves to the versions of one population, on up to four threads.
    fn run_population(&self, policy: RolloutPolicy, seed: u64) -> Vec<Trial> {
        let span = Duration::from_secs(self.span_s);
        let versions: Vec<_> = (0..self.versions)
            .map(|index| draw_version(index, seed, span))
            .collect();
        // A chunk holds a quarter of the versions, rounded up.
        let half = versions.len().div_ceil(2).max(1);
        std::thread::scope(|scope| {
            let threads: Vec<_> = versions
                .chunks(half.div_ceil(2))
                .map(|chunk| scope.spawn(move || run_chunk(chunk, policy)))
                .collect();
            threads
                .into_iter()
                .flat_map(|thread| thread.join().unwrap_or_default())
                .collect()
        })
    }
}

fn run_chunk(versions: &[SimulatedVersion], policy: RolloutPolicy) -> Vec<Trial> {
    let run = |version: &SimulatedVersion| (*version, simulate_move(version, policy));
    versions.iter().map(run).collect()
}

fn summary_row(policy: RolloutPolicy, seed: u64, trials: &[Trial]) -> Vec<String> {
    let (good, regressed): (Vec<&Trial>, Vec<&Trial>) = trials
        .iter()
        .partition(|(version, _)| version.regression.is_none());
    let mut requests: Vec<f64> = regressed
        .iter()
        .map(|(_, o)| o.served_regressed as f64)
        .collect();
    let mut rollback_secs: Vec<f64> = regressed
        .iter()
        .filter_map(|(_, o)| Some(o.time_to_rollback?.as_secs_f64()))
        .collect();
    vec![
        format!("{policy:?}"),
        seed.to_string(),
        format_ratio(&good, MoveEnding::Done),
        format_ratio(&good, MoveEnding::RolledBack),
        format_ratio(&good, MoveEnding::Late),
        format_ratio(&regressed, MoveEnding::RolledBack),
        format_quantiles(&mut requests, 0),
        format_quantiles(&mut rollback_secs, 1),
    ]
}

/// Formats the number of moves with the ending and the number of all moves as `count/total`.
fn format_ratio(trials: &[&Trial], ending: MoveEnding) -> String {
    let count = trials.iter().filter(|(_, o)| o.ending == ending).count();
    format!("{count}/{}", trials.len())
}

/// Formats the median, the 95th percentile and the maximum. Sorts the values.
fn format_quantiles(values: &mut [f64], digits: usize) -> String {
    let (p50, p95, max) = (
        median(values),
        quantile(values, 950),
        quantile(values, 1000),
    );
    format!("{p50:.digits$} / {p95:.digits$} / {max:.digits$}")
}

/// Adds a row for each kind of regression.
fn add_kind_rows(table: &mut Table, policy: RolloutPolicy, trials: &[Trial]) {
    let mut kinds: Vec<String> = trials
        .iter()
        .filter_map(|(v, _)| regression_kind(v))
        .collect();
    kinds.sort();
    kinds.dedup();
    for kind in kinds {
        let of_kind: Vec<&Trial> = trials
            .iter()
            .filter(|(v, _)| regression_kind(v).as_ref() == Some(&kind))
            .collect();
        let mut requests: Vec<f64> = of_kind
            .iter()
            .map(|(_, o)| o.served_regressed as f64)
            .collect();
        table.push_row(vec![
            format!("{policy:?}"),
            kind,
            format_ratio(&of_kind, MoveEnding::RolledBack),
            format!(
                "{:.0} / {:.0}",
                median(&mut requests),
                quantile(&mut requests, 1000)
            ),
        ]);
    }
}

/// Adds the moves with a wrong decision: versions rolled back without a regression, and versions
/// with one that were not rolled back.
fn add_misjudged_rows(table: &mut Table, policy: RolloutPolicy, trials: &[Trial]) {
    for (version, outcome) in trials {
        let has_regression = version.regression.is_some();
        if has_regression == (outcome.ending == MoveEnding::RolledBack) {
            continue;
        }
        table.push_row(vec![
            format!("{policy:?}"),
            version
                .regression
                .map_or_else(|| String::from("good"), |f| format!("{f:?}")),
            format!("{:.1}", version.rate),
            format!("{:?}", version.disturbance),
            outcome.served.to_string(),
            outcome.reason.clone().unwrap_or_default(),
        ]);
    }
}

/// Returns the kind of a version's regression (effect, onset, and whether the traffic is low), or
/// `None` if it has none.
fn regression_kind(version: &SimulatedVersion) -> Option<String> {
    let (regression, onset) = version.regression?;
    let effect = match regression {
        crate::Regression::Fails(_) => "fails",
        crate::Regression::Slow(_) => "slow",
    };
    let onset = match onset {
        crate::Onset::AtOnce => "at once",
        crate::Onset::Later(_) => "later",
        crate::Onset::OneRoute => "on one route",
        crate::Onset::UnderLoad => "under load",
    };
    // `draw_version` draws rates below 1/s for low traffic and from 10/s on otherwise.
    let traffic = if version.rate < 5.0 {
        ", little traffic"
    } else {
        ""
    };
    Some(format!("{effect} {onset}{traffic}"))
}
