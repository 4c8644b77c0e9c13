//! The `status` subcommand.

use argh::FromArgs;
use hawthornrack_lib::Member;
use hawthornrack_lib::MemberState;
use hawthornrack_lib::NodeReport;
use hawthornrack_lib::operator_proto as proto;

use super::exit::CommandResult;
use super::exit::ExitStatus;
use super::output::Output;
use super::output::format_percent;
use super::output::format_time;
use super::output::new_table;
use super::output::yes_or_no;
use super::session::Client;
use super::session::Session;

/// Shows the state of a node and its view of the other nodes.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --server 10.0.0.1:7300 --token-file operator.token"
)]
pub(crate) struct StatusCommand {}

impl StatusCommand {
    pub(crate) async fn run(self, session: &mut Session, output: Output) -> CommandResult {
        let call = async |mut client: Client| client.status(proto::StatusRequest {}).await;
        let report = NodeReport::try_from(session.call(call).await?)?;
        output.print(&report, render);
        Ok(ExitStatus::Ok)
    }
}

fn render(report: &NodeReport) -> String {
    let state = &report.state;
    let mut parts = vec![format!(
        "node {}: ready {}, next offset {}, log reachable {}",
        state.node,
        yes_or_no(state.ready),
        report.next,
        yes_or_no(state.log_reachable)
    )];
    let mut members = new_table(&[
        "node",
        "state",
        "domain",
        "region",
        "callers",
        "accepting",
        "load",
    ]);
    for member in &report.members {
        members.add_row(member_row(member));
    }
    let mut leases = new_table(&["duty", "holder", "epoch"]);
    for lease in &state.leases {
        let row = [
            lease.duty.clone(),
            lease.holder.to_string(),
            lease.epoch.to_string(),
        ];
        leases.add_row(row);
    }
    let mut leaving = new_table(&["leaving vm", "ends"]);
    for row in &report.leaving {
        leaving.add_row([row.vm.to_string(), format_time(row.deadline)]);
    }
    let mut stops = new_table(&["stopped by move", "at", "reason"]);
    for row in &report.stops {
        let at = format_time(row.stop.at);
        stops.add_row([row.name.to_string(), at, row.stop.reason.clone()]);
    }
    for table in [members, leases, leaving, stops] {
        if table.row_count() > 0 {
            parts.push(table.trim_fmt());
        }
    }
    parts.join("\n\n")
}

fn member_row(member: &Member) -> [String; 7] {
    let gate = member.gate.as_ref();
    let placeholder = || String::from("-");
    [
        member.node.to_string(),
        state_name(member.state).to_owned(),
        member.domain.to_string(),
        member.region.to_string(),
        gate.map_or_else(placeholder, |gate| gate.callers.to_string()),
        gate.map_or_else(placeholder, |gate| yes_or_no(gate.accepting).to_owned()),
        gate.map_or_else(placeholder, |gate| format_percent(gate.load)),
    ]
}

const fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}
