//! Experiments: a declared load on the product's code, measured against plain baselines.

use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use thiserror::Error;

use crate::CostExperiment;
use crate::LoadExperiment;
use crate::Report;
use crate::RolloutExperiment;
use crate::SiteError;

/// An experiment as a file declares it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Experiment {
    /// Requests to real gates, controllers and stand-ins.
    Load(Box<LoadExperiment>),
    /// Simulated days of a service's machines.
    Cost(CostExperiment),
    /// Moves to simulated versions.
    Rollouts(RolloutExperiment),
}

/// An experiment that cannot be run.
#[derive(Debug, displaydoc::Display, Error)]
pub enum ExperimentError {
    /// {0}: cannot be read: {1}
    Unreadable(PathBuf, std::io::Error),
    /// {0}: {1}
    Bad(PathBuf, toml::de::Error),
}

impl Experiment {
    /// Reads an experiment from a TOML file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or does not declare an experiment.
    pub fn load(path: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ExperimentError::Unreadable(path.to_owned(), error))?;
        toml::from_str(&text).map_err(|error| ExperimentError::Bad(path.to_owned(), error))
    }

    /// Runs the experiment; `seed` replaces the declared seeds.
    ///
    /// # Errors
    ///
    /// Fails when a deployment cannot be started.
    pub async fn run(self, seed: Option<u64>) -> Result<Report, SiteError> {
        match self {
            Self::Load(experiment) => experiment.run(seed).await,
            Self::Cost(experiment) => Ok(experiment.run(seed)),
            Self::Rollouts(experiment) => Ok(experiment.run(seed)),
        }
    }
}
