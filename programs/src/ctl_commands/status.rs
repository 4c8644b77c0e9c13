//! The `status` subcommand.

use argh::FromArgs;
use hawthornrack_lib::Member;
use hawthornrack_lib::MemberState;
use hawthornrack_lib::NodeReport;
use hawthornrack_lib::operator_proto as proto;

use super::exit::CommandResult;
use super::exit::Exit;
use super::output::Output;
use super::output::percent;
use super::output::table;
use super::output::time_text;
use super::output::yes;
use super::session::Client;
use super::session::Session;

/// Shows the state of a node and what it knows of the others.
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
        output.show(&report, render);
        Ok(Exit::Ok)
    }
}

fn render(report: &NodeReport) -> String {
    let state = &report.state;
    let mut parts = vec![format!(
        "node {}: ready {}, next offset {}, log reachable {}",
        state.node,
        yes(state.ready),
        report.next,
        yes(state.log_reachable)
    )];
    let mut members = table(&[
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
    let mut leases = table(&["duty", "holder", "epoch"]);
    for lease in &state.leases {
        let row = [
            lease.duty.clone(),
            lease.holder.to_string(),
            lease.epoch.to_string(),
        ];
        leases.add_row(row);
    }
    let mut leaving = table(&["leaving vm", "ends"]);
    for row in &report.leaving {
        leaving.add_row([row.vm.to_string(), time_text(row.deadline)]);
    }
    let mut stops = table(&["stopped by move", "at", "reason"]);
    for row in &report.stops {
        let at = time_text(row.stop.at);
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
    let none = || String::from("-");
    [
        member.node.to_string(),
        state_text(member.state).to_owned(),
        member.domain.to_string(),
        member.region.to_string(),
        gate.map_or_else(none, |gate| gate.callers.to_string()),
        gate.map_or_else(none, |gate| yes(gate.accepting).to_owned()),
        gate.map_or_else(none, |gate| percent(gate.load)),
    ]
}

const fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}
