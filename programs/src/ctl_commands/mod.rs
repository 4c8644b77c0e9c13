//! Subcommands of `hawthornctl`, one per module.

mod apply;
mod arguments;
mod check;
mod diff;
mod entries;
mod exit;
mod hash_token;
mod move_cancel;
mod move_start;
mod move_watch;
mod output;
mod progress;
mod session;
mod status;
mod timeline;
mod validate;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use self::apply::ApplyCommand;
use self::arguments::hoist_global_options;
use self::check::CheckCommand;
use self::diff::DiffCommand;
use self::entries::EntriesCommand;
use self::exit::CommandResult;
use self::exit::ExitStatus;
use self::hash_token::HashTokenCommand;
use self::move_cancel::CancelCommand;
use self::move_start::StartCommand;
use self::move_watch::WatchCommand;
use self::output::Output;
use self::output::print_line;
use self::session::Session;
use self::status::StatusCommand;
use self::timeline::TimelineCommand;
use self::validate::ValidateCommand;

/// Declares services, moves their traffic between versions and shows the state of the system.
/// The options can be given before or after the command.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Check the files of a directory, show what would change, and apply it:
  {command_name} validate deploy
  {command_name} diff deploy --server 10.0.0.1:7300 --token-file operator.token
  {command_name} apply deploy --server 10.0.0.1:7300 --token-file operator.token",
    example = "Move the traffic of a service to another version within two hours and watch it:
  {command_name} move start advisor-v2 --service advisor --to v2 --deadline 2h --watch \\
    --server 10.0.0.1:7300 --server 10.0.1.1:7300 --token-file operator.token",
    error_code(0, "The command succeeded."),
    error_code(1, "The command failed, or the watched move was cancelled."),
    error_code(2, "The command line is invalid."),
    error_code(
        3,
        "There are differences, or the change conflicts with another writer or a move."
    ),
    error_code(
        4,
        "No server could serve the call (unreachable, not ready or without the platform's log)."
    ),
    error_code(5, "The watched move was rolled back.")
)]
struct Ctl {
    /// address of a controller's operator port, as in 10.0.0.1:7300; can be repeated, and the
    /// next one is tried if one does not respond
    #[argh(option)]
    server: Vec<SocketAddr>,
    /// file that contains the operator's bearer token
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON instead of tables
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Apply(ApplyCommand),
    Check(CheckCommand),
    Diff(DiffCommand),
    Entries(EntriesCommand),
    HashToken(HashTokenCommand),
    Move(MoveCommand),
    Status(StatusCommand),
    Timeline(TimelineCommand),
    Validate(ValidateCommand),
}

/// Starts, watches or cancels a move of traffic between two versions of a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "move")]
struct MoveCommand {
    #[argh(subcommand)]
    action: MoveAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum MoveAction {
    Cancel(CancelCommand),
    Start(StartCommand),
    Watch(WatchCommand),
}

/// Runs the command line `args`, whose first element is the program's name.
pub async fn run(args: &[String]) -> ExitCode {
    let args = hoist_global_options(args.get(1..).unwrap_or_default());
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Ctl::from_args(&["hawthornctl"], &args) {
        Ok(ctl) => ctl.run().await.into(),
        Err(early) => early_exit(&early),
    }
}

/// Prints the help text, or the error in the command line.
fn early_exit(early: &argh::EarlyExit) -> ExitCode {
    let text = early.output.trim_end();
    if early.status.is_ok() {
        print_line(text);
        return ExitStatus::Ok.into();
    }
    eprintln!("{text}\nRun `hawthornctl --help` for more information.");
    ExitStatus::Usage.into()
}

impl Ctl {
    async fn run(self) -> ExitStatus {
        let output = Output::new(self.json);
        match self.execute(output).await {
            Ok(status) => status,
            Err(error) => {
                output.print_error(&error);
                error.exit_status()
            }
        }
    }

    async fn execute(self, output: Output) -> CommandResult {
        let command = match self.command {
            Command::HashToken(command) => return command.run(output),
            Command::Validate(command) => return command.run(output),
            Command::Check(command) if self.server.is_empty() => {
                return command.run(None, output).await;
            }
            command => command,
        };
        let mut session = Session::new(self.server, self.token_file.as_deref())?;
        match command {
            Command::Apply(command) => command.run(&mut session, output).await,
            Command::Check(command) => command.run(Some(session), output).await,
            Command::Diff(command) => command.run(&mut session, output).await,
            Command::Entries(command) => command.run(&mut session, output).await,
            Command::Move(command) => command.action.run(&mut session, output).await,
            Command::Status(command) => command.run(&mut session, output).await,
            Command::Timeline(command) => command.run(&mut session, output).await,
            Command::HashToken(command) => command.run(output),
            Command::Validate(command) => command.run(output),
        }
    }
}

impl MoveAction {
    async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        match self {
            Self::Cancel(command) => command.run(session, output).await,
            Self::Start(command) => command.run(session, output).await,
            Self::Watch(command) => command.run(session, output).await,
        }
    }
}
