//! The `experiment` subcommand.

use std::io::Write;
use std::path::PathBuf;

use argh::FromArgs;
use hawthornrack_lab::Experiment;

use super::CommandResult;

/// Runs an experiment and prints its report.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub(crate) struct ExperimentCommand {
    /// file that declares the experiment
    #[argh(positional)]
    file: PathBuf,
    /// seed to use instead of the declared ones
    #[argh(option)]
    seed: Option<u64>,
}

impl ExperimentCommand {
    pub(crate) async fn run(self) -> CommandResult {
        let experiment = Experiment::load(&self.file)?;
        let report = experiment.run(self.seed).await?;
        write!(std::io::stdout().lock(), "{report}")?;
        Ok(())
    }
}
