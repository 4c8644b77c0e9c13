//! Tests of the operator RPC: status, entries and timeline.

mod testutils;

use hawthornrack_lib::Event;
use hawthornrack_lib::GateInfo;
use hawthornrack_lib::LiveView;
use hawthornrack_lib::Member;
use hawthornrack_lib::MemberState;
use hawthornrack_lib::NodeReport;
use hawthornrack_lib::OperatorBackend;
use hawthornrack_lib::Timeline;
use hawthornrack_lib::TimelineFilter;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::operator_proto as proto;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;
use testutils::operator::name;
use testutils::operator::start_server;

fn member(node: &str, state: MemberState, accepting: bool, load: u32) -> Member {
    let address: SocketAddr = "127.0.0.1:4000".parse().expect("an address");
    Member {
        node: name(node),
        domain: name("bukuru"),
        region: name("jos-plateau"),
        controller: address,
        gate: Some(GateInfo {
            callers: address,
            rpc: address,
            accepting,
            load,
        }),
        state,
    }
}

/// Guards against a status that omits members or leaving VMs, and against a list of entries that is
/// not sorted by load, or includes nodes that are dead, are leaving or do not accept requests.
#[tokio::test]
async fn test_operator_status_and_entries_match_live_view() {
    let mut fixture = start_server().await;
    let members = [
        member("n3", MemberState::Alive, true, 500),
        member("n5", MemberState::Dead, true, 0),
        member("n1", MemberState::Alive, true, 700),
        member("n2", MemberState::Leaving, true, 0),
        member("n4", MemberState::Alive, false, 0),
    ];
    let live = LiveView {
        members: members
            .iter()
            .map(|m| (m.node.clone(), m.clone()))
            .collect(),
        leaving: IndexMap::from([(name("vm-9"), Timestamp(99))]),
        ..LiveView::default()
    };
    *fixture.backend.live.lock() = Arc::new(live);
    let reply = fixture
        .client
        .status(proto::StatusRequest {})
        .await
        .expect("a response");
    let report = NodeReport::try_from(reply.into_inner()).expect("a report");
    assert_eq!(report.members.len(), 5);
    assert_eq!(report.members[1], members[3]);
    assert_eq!(report.leaving[0].deadline, Timestamp(99));
    assert_eq!(report.state, fixture.backend.node_state());
    let reply = fixture
        .client
        .entries(proto::EntriesRequest {})
        .await
        .expect("a response");
    let nodes: Vec<String> = reply
        .into_inner()
        .entries
        .into_iter()
        .map(|e| e.node)
        .collect();
    assert_eq!(nodes, ["n3", "n1"]);
}

/// Guards against a timeline that is unsorted, holds duplicates, ignores the filter or omits the
/// names of processes whose events could not be read. The backend returns each event twice and in
/// reverse order.
#[tokio::test]
async fn test_operator_timeline_is_sorted_filtered_and_deduplicated() {
    let mut fixture = start_server().await;
    let events = fixture.backend.events.clone();
    events.record("request.accepted", &[("request", &"r1")]);
    events.record("move.started", &[("move", &"m1")]);
    events.record(
        "request.answered",
        &[("request", &"r1"), ("endpoint", &"e1")],
    );
    let mut ask = async |filter: TimelineFilter| -> Timeline {
        let request = proto::TimelineRequest::from(&filter);
        let reply = fixture.client.timeline(request).await.expect("a response");
        reply.into_inner().into()
    };
    let all = ask(TimelineFilter::default()).await;
    assert_eq!(all.events, events.since(0));
    assert_eq!(all.missing, ["n2"]);
    let what = |timeline: Timeline| -> Vec<String> {
        timeline.events.into_iter().map(|e: Event| e.what).collect()
    };
    let filter = TimelineFilter {
        id: Some(String::from("r1")),
        ..TimelineFilter::default()
    };
    assert_eq!(
        what(ask(filter).await),
        ["request.accepted", "request.answered"]
    );
    let filter = TimelineFilter {
        limit: 1,
        ..TimelineFilter::default()
    };
    assert_eq!(what(ask(filter).await), ["request.answered"]);
}
