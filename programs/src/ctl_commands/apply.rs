//! The `apply` subcommand.

use std::path::PathBuf;

use argh::FromArgs;
use hawthornrack_lib::Change;
use hawthornrack_lib::Offset;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::operator_proto as proto;
use serde::Serialize;

use super::diff::Plan;
use super::diff::title;
use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::Exit;
use super::output::Output;
use super::session::Client;
use super::session::Session;

/// Brings the configuration in force to what the files declare. Running it again changes nothing.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} deploy --server 10.0.0.1:7300 --token-file operator.token",
    note = "Changes are made one after the other against the revisions that were compared. When
another writer changed an object in between, the command stops with exit code 3 and tells what
was done; run `diff` and `apply` again."
)]
pub(crate) struct ApplyCommand {
    /// file, or directory whose *.toml files are read together
    #[argh(positional)]
    path: PathBuf,
    /// also delete what is in force and not declared
    #[argh(switch)]
    prune: bool,
    /// change shares even where that bypasses a running move or undoes a finished one
    #[argh(switch)]
    force_shares: bool,
}

/// What was done.
#[derive(Serialize)]
struct Report {
    applied: Vec<String>,
    kept: Vec<String>,
}

impl ApplyCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let plan = Plan::make(&self.path, self.prune, session).await?;
        if !self.force_shares {
            check_hazards(&plan.changes)?;
        }
        let total = plan.changes.len();
        let mut report = Report {
            applied: Vec::new(),
            kept: plan.kept,
        };
        for change in &plan.changes {
            if let Err(error) = apply_one(session, change).await {
                output.show(&report, Report::render);
                return Err(add_count(&error, report.applied.len(), total));
            }
            report.applied.push(title(change));
        }
        output.show(&report, Report::render);
        Ok(Exit::Ok)
    }
}

impl Report {
    fn render(&self) -> String {
        let mut lines: Vec<String> = self
            .applied
            .iter()
            .map(|name| format!("{name}: in force"))
            .collect();
        let kept = self.kept.iter();
        lines.extend(kept.map(|name| format!("{name}: not declared, kept (--prune deletes it)")));
        if self.applied.is_empty() {
            lines.push(String::from("nothing to change"));
        }
        lines.join("\n")
    }
}

fn check_hazards(changes: &[Change]) -> CommandResult<()> {
    let hazard = changes
        .iter()
        .find_map(|change| Some((title(change), change.hazard.as_ref()?)));
    let Some((title, hazard)) = hazard else {
        return Ok(());
    };
    Err(CommandError::Conflict(format!(
        "{title}: the declared shares differ from those in force, and {hazard}; leave the shares \
         out of the file, declare those in force, or use --force-shares; nothing was changed"
    )))
}

async fn apply_one(session: &mut Session, change: &Change) -> CommandResult<()> {
    let title = title(change);
    let Some(request) = proto::ApplyRequest::from_change(&change.change) else {
        return Err(CommandError::Failed(format!("{title}: not a declaration")));
    };
    let call = async |mut client: Client| client.apply(request.clone()).await;
    let verdict = Verdict::try_from(session.call(call).await?)?;
    match verdict {
        Verdict::Accepted => Ok(()),
        Verdict::Conflict { current } => Err(CommandError::Conflict(format!(
            "{title}: {}",
            conflict_text(current)
        ))),
        Verdict::Invalid { reason } => Err(CommandError::Failed(format!("{title}: {reason}"))),
    }
}

/// Tells what another writer did to an object.
pub(crate) fn conflict_text(current: Option<Offset>) -> String {
    match current {
        Some(offset) => format!(
            "another writer changed it after it was compared; it is at revision {offset} now"
        ),
        None => String::from("another writer deleted it after it was compared"),
    }
}

fn add_count(error: &CommandError, done: usize, total: usize) -> CommandError {
    let text = format!("{error}; {done} of {total} changes are in force");
    match error {
        CommandError::Conflict(_) => {
            CommandError::Conflict(format!("{text}; run diff and apply again"))
        }
        CommandError::Failed(_) => CommandError::Failed(text),
        CommandError::Unreachable(_) => {
            CommandError::Unreachable(format!("{text}, the next may be; run apply again"))
        }
        CommandError::Usage(_) => CommandError::Usage(text),
    }
}
