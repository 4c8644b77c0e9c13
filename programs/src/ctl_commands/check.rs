//! The `check` subcommand.

use std::fmt::Write;
use std::path::PathBuf;

use argh::FromArgs;
use hawthornrack_lib::DeclarationError;
use hawthornrack_lib::Declarations;
use hawthornrack_lib::Finding;
use hawthornrack_lib::FindingKind;
use hawthornrack_lib::check_declarations;
use serde::Serialize;

use super::diff::Plan;
use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::ExitStatus;
use super::output::Output;
use super::session::Session;

/// Checks declaration files for errors, entries that can never match and limits that contradict each
/// other; with --server, also shows what differs from the configuration in force. Exits with code 0
/// if no problem is found, 1 if there are problems, and 2 if the check cannot be made. Differences
/// are no problems.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} deploy",
    example = "{command_name} deploy --server 10.0.0.1:7300 --token-file operator.token --json"
)]
pub(crate) struct CheckCommand {
    /// declaration file, or directory whose *.toml files are read together
    #[argh(positional)]
    path: PathBuf,
}

/// Problems of the declarations, and their differences from the configuration in force.
#[derive(Serialize)]
struct Report {
    findings: Vec<Finding>,
    /// `None` if no server is given or the declarations have errors.
    differences: Option<Plan>,
}

impl CheckCommand {
    /// Runs the check; `session` leads to the configuration in force, if that is to be compared.
    pub(crate) async fn run(self, session: Option<Session>, output: Output) -> CommandResult {
        let report = self.check(session).await;
        let report = report.map_err(|error| as_impossible(&error))?;
        output.print(&report, Report::render);
        if report.findings.is_empty() {
            return Ok(ExitStatus::Ok);
        }
        Ok(ExitStatus::Failed)
    }

    async fn check(&self, session: Option<Session>) -> CommandResult<Report> {
        let declared = match Declarations::load(&self.path) {
            Ok(declared) => declared,
            Err(error @ DeclarationError::Invalid { .. }) => {
                return Ok(Report {
                    findings: vec![Finding::error(error.to_string())],
                    differences: None,
                });
            }
            Err(error) => return Err(CommandError::Failed(error.to_string())),
        };
        let differences = match session {
            Some(mut session) => Some(Plan::compare(&self.path, true, &mut session).await?),
            None => None,
        };
        Ok(Report {
            findings: check_declarations(&declared),
            differences,
        })
    }
}

/// Gives an error that prevents the check the exit code for that, whatever its cause.
fn as_impossible(error: &CommandError) -> CommandError {
    CommandError::Usage(format!("the check cannot be made: {error}"))
}

impl Report {
    fn render(&self) -> String {
        let mut text = String::new();
        for finding in &self.findings {
            let kind = match finding.kind {
                FindingKind::Contradiction => "contradiction",
                FindingKind::Error => "error",
                FindingKind::Unreachable => "never matches",
            };
            let separator = if finding.object.is_empty() { "" } else { ": " };
            let _ = writeln!(
                text,
                "{kind}: {}{separator}{}",
                finding.object, finding.problem
            );
        }
        if self.findings.is_empty() {
            text.push_str("no problems\n");
        }
        if let Some(differences) = &self.differences {
            text.push_str("differences from the configuration in force:\n");
            text.push_str(&differences.render());
        }
        text
    }
}
