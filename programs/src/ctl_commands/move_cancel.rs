//! The `move cancel` subcommand.

use argh::FromArgs;
use hawthornrack_lib::MoveName;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::operator_proto as proto;

use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::ExitStatus;
use super::output::Output;
use super::session::Client;
use super::session::Session;

/// Cancels a move that has not ended; all traffic returns to the old version.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "cancel",
    example = "{command_name} advisor-v2 --server 10.0.0.1:7300 --token-file operator.token"
)]
pub(crate) struct CancelCommand {
    /// name of the move
    #[argh(positional)]
    name: MoveName,
}

impl CancelCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let name = &self.name;
        let request = proto::CancelMoveRequest {
            name: name.to_string(),
        };
        let call = async |mut client: Client| client.cancel_move(request.clone()).await;
        let verdict = Verdict::try_from(session.call(call).await?)?;
        match verdict {
            Verdict::Accepted => {
                let value = serde_json::json!({"cancelled": name});
                output.print(&value, |_| format!("move {name} cancelled"));
                Ok(ExitStatus::Ok)
            }
            Verdict::Conflict { .. } => Err(CommandError::Conflict(format!(
                "move {name}: another writer changed it first"
            ))),
            Verdict::Invalid { reason } => {
                Err(CommandError::Failed(format!("move {name}: {reason}")))
            }
        }
    }
}
