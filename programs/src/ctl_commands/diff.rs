//! The `diff` subcommand.

use std::fmt::Write;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use hawthornrack_lib::Action;
use hawthornrack_lib::Change;
use hawthornrack_lib::diff;
use serde::Serialize;
use serde_json::Value;

use super::exit::CommandResult;
use super::exit::ExitStatus;
use super::output::Output;
use super::session::Session;
use super::validate::load_declarations;

/// Shows what `apply` would change; exits with code 3 if there are differences.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} deploy --server 10.0.0.1:7300 --token-file operator.token"
)]
pub(crate) struct DiffCommand {
    /// declaration file, or directory whose *.toml files are read together
    #[argh(positional)]
    path: PathBuf,
    /// also show deletions of objects in force that are not declared, as `apply --prune` makes them
    #[argh(switch)]
    prune: bool,
}

/// Changes that bring the configuration in force in line with the declarations.
#[derive(Serialize)]
pub(crate) struct Plan {
    /// Changes, in the order in which they are applied.
    pub(crate) changes: Vec<Change>,
    /// Labels (kind and name) of the objects in force that are not declared, but kept because
    /// `--prune` is not set.
    pub(crate) kept: Vec<String>,
}

impl DiffCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let plan = Plan::compare(&self.path, self.prune, session).await?;
        output.print(&plan, Plan::render);
        if plan.changes.is_empty() {
            return Ok(ExitStatus::Ok);
        }
        Ok(ExitStatus::DiffersOrConflict)
    }
}

impl Plan {
    /// Compares the declarations in `path` with the configuration in force.
    pub(crate) async fn compare(
        path: &Path,
        prune: bool,
        session: &mut Session,
    ) -> CommandResult<Self> {
        let declared = load_declarations(path)?;
        let current = session.config().await?;
        let (changes, undeclared): (Vec<Change>, Vec<Change>) = diff(&current, &declared)
            .into_iter()
            .partition(|change| prune || change.action != Action::Delete);
        Ok(Self {
            changes,
            kept: undeclared.iter().map(object_label).collect(),
        })
    }

    /// Formats the plan as text.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        for change in &self.changes {
            render_change(&mut text, change);
        }
        for label in &self.kept {
            let _ = writeln!(text, "  {label}: not declared, kept (--prune deletes it)");
        }
        if self.changes.is_empty() {
            text.push_str("no differences\n");
        }
        text
    }
}

/// Returns the label (kind and name) of the changed object.
pub(crate) fn object_label(change: &Change) -> String {
    format!("{} {}", change.kind, change.name)
}

fn render_change(text: &mut String, change: &Change) {
    let sign = match change.action {
        Action::Create => '+',
        Action::Delete => '-',
        Action::Replace => '~',
    };
    let _ = writeln!(text, "{sign} {}", object_label(change));
    for field in &change.fields {
        let old = format_value(field.old.as_ref());
        let new = format_value(field.new.as_ref());
        let _ = writeln!(text, "    {}: {old} -> {new}", field.field);
    }
    if let Some(hazard) = &change.hazard {
        let _ = writeln!(text, "    refused without --force-shares: {hazard}");
    }
}

fn format_value(value: Option<&Value>) -> String {
    value.map_or_else(|| String::from("(none)"), Value::to_string)
}
