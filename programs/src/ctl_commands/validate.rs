//! The `validate` subcommand.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use hawthornrack_lib::Declarations;
use serde::Serialize;

use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::Exit;
use super::output::Output;

/// Checks declaration files without asking a server.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "validate",
    example = "{command_name} deploy",
    example = "{command_name} --json deploy/services.toml"
)]
pub(crate) struct ValidateCommand {
    /// file, or directory whose *.toml files are read together
    #[argh(positional)]
    path: PathBuf,
}

#[derive(Serialize)]
struct Summary {
    services: usize,
    endpoints: usize,
    customers: usize,
}

impl ValidateCommand {
    pub(crate) fn run(self, output: Output) -> CommandResult {
        let all = load(&self.path)?;
        let summary = Summary {
            services: all.services.len(),
            endpoints: all.endpoints.len(),
            customers: all.customers.len(),
        };
        output.show(&summary, |s| {
            format!(
                "valid: {} services, {} endpoints, {} customers",
                s.services, s.endpoints, s.customers
            )
        });
        Ok(Exit::Ok)
    }
}

/// Reads the declarations in a file or directory.
pub(crate) fn load(path: &Path) -> CommandResult<Declarations> {
    Declarations::load(path).map_err(|error| CommandError::Failed(error.to_string()))
}
