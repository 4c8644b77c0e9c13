//! Process tests of the membership of controllers and of the gates' connections to them.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::MemberState;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::operator_proto as proto;
use hyper::Method;
use serde_json::json;

use testutils::Call;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::connect_operator;
use testutils::deployment::revision;
use testutils::deployment::service;
use testutils::deployment::with_operator_token;
use testutils::wait_until;

/// Time within which a configuration change must be in force at a gate.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which a failed controller must be declared dead.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which all members must be alive again to each other.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which frozen connections must be replaced and a reclaim notice must have reached the
/// peer over a new one.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts entries with two endpoints of the plain service `desk`.
async fn start_deployment(entries: usize) -> Deployment {
    let mut deployment = Deployment::start(entries).await;
    for name in ["plain-1", "plain-2"] {
        deployment.add_plain("desk", "v1", name, &[]).await;
    }
    let services = [service("desk", ServiceKind::Plain, Vec::new())];
    deployment.declare(&services).await;
    deployment
}

/// Returns the state of each member, by index, as an entry's controller knows it.
async fn states(deployment: &Deployment, index: usize) -> Vec<MemberState> {
    let report = deployment.status(index).await;
    let members = report.map_or_else(|_| Vec::new(), |r| r.members);
    members.into_iter().map(|m| m.state).collect()
}

/// Waits until an entry's gate knows of a declared service that has no endpoints.
async fn wait_declared(deployment: &Deployment, index: usize, name: &str) -> Duration {
    wait_until(
        "the gate knows of the declared service",
        IN_FORCE_TIMEOUT,
        async || {
            let path = format!("/{name}/x");
            let call = Call::new(Method::GET, &path).bearer(TOKEN);
            let response = deployment
                .http
                .send(deployment.entries[index].gate_address(), call)
                .await;
            // Without an endpoint the status is 503; for an undeclared service it is 404.
            response.is_ok_and(|r| r.status == 503)
        },
    )
    .await
}

/// Declares a service through an entry.
async fn declare_service(deployment: &Deployment, index: usize, name: &str) {
    let change = ConfigChange::PutService {
        base: None,
        service: service(name, ServiceKind::Plain, Vec::new()),
    };
    deployment.submit(index, change).await.unwrap();
}

/// Returns the process of each event of type `what` that concerns the identifier `id`, in the
/// timeline that an entry collects.
async fn event_processes(
    deployment: &Deployment,
    index: usize,
    what: &str,
    id: &str,
) -> Vec<String> {
    let mut client = connect_operator(deployment.entries[index].operator_address())
        .await
        .unwrap();
    let request = proto::TimelineRequest {
        id: id.to_owned(),
        from_ms: 0,
        limit: 0,
    };
    let reply = client.timeline(with_operator_token(request)).await.unwrap();
    let events = reply.into_inner().events.into_iter();
    events
        .filter(|event| event.what == what)
        .map(|event| event.process)
        .collect()
}

#[tokio::test]
async fn test_membership_gate_follows_another_controller_and_returns_to_its_own() {
    let mut deployment = start_deployment(3).await;
    deployment.entries[0].controller.kill();
    declare_service(&deployment, 1, "second").await;
    wait_declared(&deployment, 0, "second").await;
    // The gate still serves callers, so the entry stays listed.
    wait_until("the entry is listed", IN_FORCE_TIMEOUT, async || {
        deployment.list_entries(1).await.len() == 3
    })
    .await;
    wait_until(
        "the member is declared dead",
        DETECTION_TIMEOUT,
        async || states(&deployment, 1).await.first() == Some(&MemberState::Dead),
    )
    .await;
    assert_eq!(deployment.list_entries(1).await.len(), 3);
    deployment.restart_controller(0).await;
    wait_until(
        "the gate is attached to its own controller again",
        REJOIN_TIMEOUT,
        async || {
            let attached = event_processes(&deployment, 0, "gate.attached", "entry-0").await;
            attached
                .iter()
                .any(|process| process == "controller/entry-0")
        },
    )
    .await;
    declare_service(&deployment, 0, "third").await;
    wait_declared(&deployment, 0, "third").await;
    wait_until("all members are alive", REJOIN_TIMEOUT, async || {
        states(&deployment, 2).await == [MemberState::Alive; 3]
    })
    .await;
}

#[tokio::test]
async fn test_membership_frozen_connections_between_controllers_are_replaced() {
    let deployment = start_deployment(2).await;
    let vm = deployment.endpoint("plain-1").vm.clone();
    for index in [1] {
        let link = format!("cloud-{index}");
        deployment.proxy.set_mode(&link, LinkMode::Freeze).await;
    }
    deployment.proxy.set_modes("log-", LinkMode::Refuse).await;
    deployment
        .proxy
        .set_modes("rpc-", LinkMode::FreezeExisting)
        .await;
    deployment.announce_reclaim(&vm, 60_000).await;
    wait_until("the peer knows the notice", RECONNECT_TIMEOUT, async || {
        let report = deployment.status(1).await.unwrap();
        report.leaving.iter().any(|l| l.vm.as_str() == vm)
    })
    .await;
    // Allows time for the gates to receive the notice. Any connection of a gate to the other entry's
    // controller was frozen too.
    tokio::time::sleep(RECONNECT_TIMEOUT).await;
    let before: PlainStats = deployment.stats("plain-1").await;
    for entry in &deployment.entries {
        for _ in 0..8 {
            let call = Call::new(Method::GET, "/desk/x").bearer(TOKEN);
            let response = deployment
                .http
                .send(entry.gate_address(), call)
                .await
                .unwrap();
            assert_eq!(response.status, 200, "{}", response.text());
        }
    }
    let after: PlainStats = deployment.stats("plain-1").await;
    assert_eq!(after.runs, before.runs);
}

#[tokio::test]
async fn test_membership_frozen_connections_mark_no_member_dead() {
    let deployment = start_deployment(3).await;
    for _ in 0..5 {
        deployment
            .proxy
            .set_modes("rpc-", LinkMode::FreezeExisting)
            .await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    for index in 0..3 {
        for node in ["entry-0", "entry-1", "entry-2"] {
            let changes = event_processes(&deployment, index, "member.state", node).await;
            // At most, the other two controllers each record that the member became alive.
            assert!(changes.len() <= 2, "{node}: {changes:?}");
        }
    }
}

#[tokio::test]
async fn test_membership_heals_after_a_partition_of_all() {
    let deployment = start_deployment(4).await;
    deployment.proxy.set_modes("rpc-", LinkMode::Refuse).await;
    for index in 0..4 {
        wait_until(
            "the others are declared dead",
            DETECTION_TIMEOUT,
            async || {
                let states = states(&deployment, index).await;
                states.iter().filter(|s| **s == MemberState::Dead).count() == 3
            },
        )
        .await;
    }
    deployment.proxy.set_modes("rpc-", LinkMode::Pass).await;
    for index in 0..4 {
        wait_until("all members are alive again", REJOIN_TIMEOUT, async || {
            states(&deployment, index).await == [MemberState::Alive; 4]
        })
        .await;
    }
    deployment.wait_entries(4).await;
}

#[tokio::test]
async fn test_membership_restarted_controller_is_alive_again_under_its_name() {
    let mut deployment = start_deployment(3).await;
    deployment.entries[2].controller.kill();
    wait_until(
        "the member is declared dead",
        DETECTION_TIMEOUT,
        async || states(&deployment, 0).await.last() == Some(&MemberState::Dead),
    )
    .await;
    deployment.restart_controller(2).await;
    for index in 0..3 {
        wait_until("all members are alive again", REJOIN_TIMEOUT, async || {
            states(&deployment, index).await == [MemberState::Alive; 3]
        })
        .await;
    }
}

#[tokio::test]
async fn test_membership_paused_controller_refutes_its_death() {
    let deployment = start_deployment(3).await;
    deployment.entries[1].controller.pause();
    wait_until(
        "the paused controller is declared dead",
        DETECTION_TIMEOUT,
        async || states(&deployment, 0).await.get(1) == Some(&MemberState::Dead),
    )
    .await;
    deployment.entries[1].controller.resume();
    for index in 0..3 {
        wait_until("all members are alive again", REJOIN_TIMEOUT, async || {
            states(&deployment, index).await == [MemberState::Alive; 3]
        })
        .await;
    }
}

#[tokio::test]
async fn test_membership_new_entry_joins_by_seeds_alone() {
    let mut deployment = start_deployment(2).await;
    let index = deployment.add_entry().await;
    for other in 0..=index {
        wait_until("the new member is known", REJOIN_TIMEOUT, async || {
            states(&deployment, other).await == [MemberState::Alive; 3]
        })
        .await;
    }
    deployment.wait_entries(3).await;
}

#[tokio::test]
async fn test_membership_wrong_key_is_rejected() {
    let deployment = start_deployment(1).await;
    let before = revision(&deployment, 0, "desk").await;
    let entry = &deployment.entries[0];
    let body = json!({"jsonrpc": "2.0", "id": 1, "method": "table.offset", "params": []});
    for server in [entry.controller.address("rpc"), entry.gate.address("rpc")] {
        for token in [None, Some("wrong"), Some("")] {
            let mut call = Call::post("/", &body);
            if let Some(token) = token {
                call = call.bearer(token);
            }
            let response = deployment.http.send(server, call).await.unwrap();
            assert_eq!(response.status, 401);
            assert!(response.body.is_empty(), "{}", response.text());
        }
        let call = Call::post("/", &body).bearer("shared key of the tests");
        let response = deployment.http.send(server, call).await.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }
    let config = deployment.config(0).await.unwrap();
    let desk = ServiceName::new("desk").unwrap();
    assert_eq!(config.services[&desk].revision, before);
}

/// With two members, no third member can probe the failed one indirectly.
#[tokio::test]
async fn test_membership_last_peer_is_known_to_be_dead() {
    let mut deployment = start_deployment(2).await;
    deployment.entries[1].controller.kill();
    wait_until(
        "the member is declared dead",
        DETECTION_TIMEOUT,
        async || states(&deployment, 0).await == [MemberState::Alive, MemberState::Dead],
    )
    .await;
}
