//! The `entries` subcommand.

use argh::FromArgs;
use hawthornrack_lib::EntryRow;
use hawthornrack_lib::operator_proto as proto;

use super::exit::CommandResult;
use super::exit::ExitStatus;
use super::output::Output;
use super::output::format_percent;
use super::output::new_table;
use super::session::Client;
use super::session::Session;

/// Shows the entries that accept requests, least loaded first.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "entries",
    example = "{command_name} --server 10.0.0.1:7300 --token-file operator.token"
)]
pub(crate) struct EntriesCommand {}

impl EntriesCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let call = async |mut client: Client| client.entries(proto::EntriesRequest {}).await;
        let entries = session.call(call).await?.entries;
        let rows: Result<Vec<EntryRow>, _> = entries.into_iter().map(TryInto::try_into).collect();
        output.print(&rows?, |rows| render(rows));
        Ok(ExitStatus::Ok)
    }
}

fn render(rows: &[EntryRow]) -> String {
    let mut table = new_table(&["node", "domain", "address", "load"]);
    for row in rows {
        table.add_row([
            row.node.to_string(),
            row.domain.to_string(),
            row.address.to_string(),
            format_percent(row.load),
        ]);
    }
    table.trim_fmt()
}
