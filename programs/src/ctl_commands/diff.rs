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
use super::exit::Exit;
use super::output::Output;
use super::session::Session;
use super::validate::load;

/// Shows what `apply` would change; exits with 3 when there is anything.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} deploy --server 10.0.0.1:7300 --token-file operator.token"
)]
pub(crate) struct DiffCommand {
    /// file, or directory whose *.toml files are read together
    #[argh(positional)]
    path: PathBuf,
    /// also delete what is in force and not declared
    #[argh(switch)]
    prune: bool,
}

/// What `apply` would do.
#[derive(Serialize)]
pub(crate) struct Plan {
    /// Changes, in the order in which they are made.
    pub(crate) changes: Vec<Change>,
    /// Objects in force that are not declared and are kept for want of `--prune`.
    pub(crate) kept: Vec<String>,
}

impl DiffCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let plan = Plan::make(&self.path, self.prune, session).await?;
        output.show(&plan, Plan::render);
        if plan.changes.is_empty() {
            return Ok(Exit::Ok);
        }
        Ok(Exit::Differs)
    }
}

impl Plan {
    /// Compares the declarations with the configuration in force.
    pub(crate) async fn make(
        path: &Path,
        prune: bool,
        session: &mut Session,
    ) -> CommandResult<Self> {
        let wanted = load(path)?;
        let current = session.config().await?;
        let (changes, dropped): (Vec<Change>, Vec<Change>) = diff(&current, &wanted)
            .into_iter()
            .partition(|change| prune || change.action != Action::Delete);
        Ok(Self {
            changes,
            kept: dropped.iter().map(title).collect(),
        })
    }

    /// Returns the plan as text.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        for change in &self.changes {
            render_change(&mut text, change);
        }
        for name in &self.kept {
            let _ = writeln!(text, "  {name}: not declared, kept (--prune deletes it)");
        }
        if self.changes.is_empty() {
            text.push_str("no differences\n");
        }
        text
    }
}

/// Returns the kind and name of a change's object.
pub(crate) fn title(change: &Change) -> String {
    format!("{} {}", change.kind, change.name)
}

fn render_change(text: &mut String, change: &Change) {
    let sign = match change.action {
        Action::Create => '+',
        Action::Delete => '-',
        Action::Replace => '~',
    };
    let _ = writeln!(text, "{sign} {}", title(change));
    for field in &change.fields {
        let old = value_text(field.old.as_ref());
        let new = value_text(field.new.as_ref());
        let _ = writeln!(text, "    {}: {old} -> {new}", field.field);
    }
    if let Some(hazard) = &change.hazard {
        let _ = writeln!(text, "    refused without --force-shares: {hazard}");
    }
}

fn value_text(value: Option<&Value>) -> String {
    value.map_or_else(|| String::from("(none)"), Value::to_string)
}
