//! The `validate` subcommand.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use hawthornrack_lib::Declarations;
use serde::Serialize;

use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::ExitStatus;
use super::output::Output;

/// Validates declaration files without connecting to a server.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "validate",
    example = "{command_name} deploy",
    example = "{command_name} --json deploy/services.toml"
)]
pub(crate) struct ValidateCommand {
    /// declaration file, or directory whose *.toml files are read together
    #[argh(positional)]
    path: PathBuf,
}

/// Number of declared objects of each kind.
#[derive(Serialize)]
struct Summary {
    services: usize,
    endpoints: usize,
    customers: usize,
}

impl ValidateCommand {
    pub(crate) fn run(self, output: Output) -> CommandResult {
        let declarations = load_declarations(&self.path)?;
        let summary = Summary {
            services: declarations.services.len(),
            endpoints: declarations.endpoints.len(),
            customers: declarations.customers.len(),
        };
        output.print(&summary, |s| {
            format!(
                "valid: {} services, {} endpoints, {} customers",
                s.services, s.endpoints, s.customers
            )
        });
        Ok(ExitStatus::Ok)
    }
}

/// Loads the declarations from a file or directory.
pub(crate) fn load_declarations(path: &Path) -> CommandResult<Declarations> {
    Declarations::load(path).map_err(|error| CommandError::Failed(error.to_string()))
}
