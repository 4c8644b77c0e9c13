//! Experiments, declared in TOML files, which measure the production code under generated load or
//! its policies in simulations, and compare the policies with simple baselines.

use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use thiserror::Error;

use crate::CostExperiment;
use crate::DeploymentError;
use crate::LoadExperiment;
use crate::Report;
use crate::RolloutExperiment;

/// Experiment declared in a TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Experiment {
    /// Sends generated load to stand-in engines, through real gates and controllers or directly.
    Load(Box<LoadExperiment>),
    /// Simulates a service's VMs over several days, to compare sizing policies.
    Cost(CostExperiment),
    /// Simulates moves to new versions, to compare rollout policies.
    Rollouts(RolloutExperiment),
}

/// Why an experiment could not be loaded.
#[derive(Debug, displaydoc::Display, Error)]
pub enum ExperimentError {
    /// {0}: cannot read the experiment: {1}
    Unreadable(PathBuf, std::io::Error),
    /// {0}: invalid experiment: {1}
    Invalid(PathBuf, toml::de::Error),
}

impl Experiment {
    /// Reads an experiment from a TOML file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or does not declare a valid experiment.
    pub fn load(path: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ExperimentError::Unreadable(path.to_owned(), error))?;
        toml::from_str(&text).map_err(|error| ExperimentError::Invalid(path.to_owned(), error))
    }

    /// Runs the experiment and returns its report; `seed` replaces the declared seeds.
    ///
    /// # Errors
    ///
    /// Fails if a deployment cannot be started or configured.
    pub async fn run(self, seed: Option<u64>) -> Result<Report, DeploymentError> {
        match self {
            Self::Load(experiment) => experiment.run(seed).await,
            Self::Cost(experiment) => Ok(experiment.run(seed)),
            Self::Rollouts(experiment) => Ok(experiment.run(seed)),
        }
    }
}
