//! The `apply` subcommand.

use std::path::PathBuf;

use argh::FromArgs;
use hawthornrack_lib::Change;
use hawthornrack_lib::Offset;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::operator_proto as proto;
use serde::Serialize;

use super::diff::Plan;
use super::diff::object_label;
use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::ExitStatus;
use super::output::Output;
use super::session::Client;
use super::session::Session;

/// Changes the configuration in force to match the declaration files. Applying the same files
/// again changes nothing.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} deploy --server 10.0.0.1:7300 --token-file operator.token",
    note = "Changes are applied one at a time, each based on the revision that was compared. If
another writer changes an object in the meantime, the command stops with exit code 3 and prints
the changes already applied; run `diff` and `apply` again."
)]
pub(crate) struct ApplyCommand {
    /// declaration file, or directory whose *.toml files are read together
    #[argh(positional)]
    path: PathBuf,
    /// also delete objects in force that are not declared
    #[argh(switch)]
    prune: bool,
    /// change shares even if that bypasses a running move or undoes a completed one
    #[argh(switch)]
    force_shares: bool,
}

/// Labels (kind and name) of the objects that were changed, and of the undeclared ones that were
/// kept.
#[derive(Serialize)]
struct Report {
    applied: Vec<String>,
    kept: Vec<String>,
}

impl ApplyCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let plan = Plan::compare(&self.path, self.prune, session).await?;
        if !self.force_shares {
            check_hazards(&plan.changes)?;
        }
        let total = plan.changes.len();
        let mut report = Report {
            applied: Vec::new(),
            kept: plan.kept,
        };
        for change in &plan.changes {
            if let Err(error) = apply_change(session, change).await {
                output.print(&report, Report::render);
                return Err(add_change_count(&error, report.applied.len(), total));
            }
            report.applied.push(object_label(change));
        }
        output.print(&report, Report::render);
        Ok(ExitStatus::Ok)
    }
}

impl Report {
    fn render(&self) -> String {
        let mut lines: Vec<String> = self
            .applied
            .iter()
            .map(|label| format!("{label}: in force"))
            .collect();
        let kept = self.kept.iter();
        lines.extend(kept.map(|label| format!("{label}: not declared, kept (--prune deletes it)")));
        if self.applied.is_empty() {
            lines.push(String::from("nothing to change"));
        }
        lines.join("\n")
    }
}

/// Rejects changes of shares that would bypass a running move or undo a completed one.
fn check_hazards(changes: &[Change]) -> CommandResult<()> {
    let hazard = changes
        .iter()
        .find_map(|change| Some((object_label(change), change.hazard.as_ref()?)));
    let Some((label, hazard)) = hazard else {
        return Ok(());
    };
    Err(CommandError::Conflict(format!(
        "{label}: the declared shares differ from those in force, and {hazard}; leave the shares \
         out of the file, declare those in force, or use --force-shares; nothing was changed"
    )))
}

async fn apply_change(session: &mut Session, change: &Change) -> CommandResult<()> {
    let label = object_label(change);
    let Some(request) = proto::ApplyRequest::from_change(&change.change) else {
        return Err(CommandError::Failed(format!(
            "{label}: moves cannot be changed with apply"
        )));
    };
    let call = async |mut client: Client| client.apply(request.clone()).await;
    let verdict = Verdict::try_from(session.call(call).await?)?;
    match verdict {
        Verdict::Accepted => Ok(()),
        Verdict::Conflict { current } => Err(CommandError::Conflict(format!(
            "{label}: {}",
            describe_conflict(current)
        ))),
        Verdict::Invalid { reason } => Err(CommandError::Failed(format!("{label}: {reason}"))),
    }
}

/// Describes how another writer changed an object; `current` is its revision, if it still exists.
pub(crate) fn describe_conflict(current: Option<Offset>) -> String {
    match current {
        Some(offset) => format!(
            "another writer changed it after it was compared; it is at revision {offset} now"
        ),
        None => String::from("another writer deleted it after it was compared"),
    }
}

fn add_change_count(error: &CommandError, done: usize, total: usize) -> CommandError {
    let text = format!("{error}; {done} of {total} changes are in force");
    match error {
        CommandError::Conflict(_) => {
            CommandError::Conflict(format!("{text}; run diff and apply again"))
        }
        CommandError::Failed(_) => CommandError::Failed(text),
        CommandError::Unreachable(_) => CommandError::Unreachable(format!(
            "{text}; the outcome of the next one is unknown; run apply again"
        )),
        CommandError::Usage(_) => CommandError::Usage(text),
    }
}
