//! The `move watch` subcommand.

use argh::FromArgs;
use hawthornrack_lib::MoveName;

use super::exit::CommandResult;
use super::output::Output;
use super::progress::watch;
use super::session::Session;

/// Watches a move until it ends. Exits with code 0 if it was completed, 5 if it was rolled back and
/// 1 if it was cancelled.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "watch",
    example = "{command_name} advisor-v2 --server 10.0.0.1:7300 --token-file operator.token"
)]
pub(crate) struct WatchCommand {
    /// name of the move
    #[argh(positional)]
    name: MoveName,
}

impl WatchCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        watch(session, output, &self.name).await
    }
}
