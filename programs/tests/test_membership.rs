//! Membership of the controllers and the gates' links to them.

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
use testutils::deployment::operator;
use testutils::deployment::revision;
use testutils::deployment::service;
use testutils::deployment::with_token;
use testutils::wait_until;

/// Time within which a new configuration must be in force at a gate.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Time within which a dead controller must be known to be dead.
const DEATH_LIMIT: Duration = Duration::from_secs(10);

/// Time within which members must have found each other again.
const HEAL_LIMIT: Duration = Duration::from_secs(10);

/// Time within which a fact must have spread over a replaced connection.
const RECONNECT_LIMIT: Duration = Duration::from_secs(3);

async fn deploy(entries: usize) -> Deployment {
    let mut deployment = Deployment::start(entries).await;
    for name in ["plain-1", "plain-2"] {
        deployment.add_plain("desk", "v1", name, &[]).await;
    }
    let services = [service("desk", ServiceKind::Plain, Vec::new())];
    deployment.declare(&services).await;
    deployment
}

/// Returns the states of all members as an entry's controller sees them, by index.
async fn states(deployment: &Deployment, index: usize) -> Vec<MemberState> {
    let report = deployment.status(index).await;
    let members = report.map_or_else(|_| Vec::new(), |r| r.members);
    members.into_iter().map(|m| m.state).collect()
}

/// Waits until an entry's gate answers calls to a service that was not declared before.
async fn wait_served(deployment: &Deployment, index: usize, name: &str) -> Duration {
    wait_until(
        "the gate has the new configuration",
        IN_FORCE_LIMIT,
        async || {
            let path = format!("/{name}/x");
            let call = Call::new(Method::GET, &path).bearer(TOKEN);
            let answer = deployment
                .http
                .send(deployment.entries[index].callers(), call)
                .await;
            // No endpoint serves it: 503; an undeclared service answers 404.
            answer.is_ok_and(|a| a.status == 503)
        },
    )
    .await
}

/// Declares another service through an entry.
async fn declare_through(deployment: &Deployment, index: usize, name: &str) {
    let change = ConfigChange::PutService {
        base: None,
        service: service(name, ServiceKind::Plain, Vec::new()),
    };
    deployment.submit(index, change).await.unwrap();
}

/// Returns the events of one kind that name a value, as an entry collects them.
async fn events(deployment: &Deployment, index: usize, what: &str, value: &str) -> Vec<String> {
    let mut client = operator(deployment.entries[index].operators())
        .await
        .unwrap();
    let request = proto::TimelineRequest {
        id: value.to_owned(),
        from_ms: 0,
        limit: 0,
    };
    let reply = client.timeline(with_token(request)).await.unwrap();
    let events = reply.into_inner().events.into_iter();
    events
        .filter(|event| event.what == what)
        .map(|event| event.process)
        .collect()
}

#[tokio::test]
async fn test_membership_gate_follows_another_controller_and_returns_to_its_own() {
    let mut deployment = deploy(3).await;
    deployment.entries[0].controller.kill();
    declare_through(&deployment, 1, "second").await;
    wait_served(&deployment, 0, "second").await;
    // Its own VM still serves callers, so the entry stays listed.
    wait_until("the entry is listed", IN_FORCE_LIMIT, async || {
        deployment.list_entries(1).await.len() == 3
    })
    .await;
    wait_until("the dead controller is known", DEATH_LIMIT, async || {
        states(&deployment, 1).await.first() == Some(&MemberState::Dead)
    })
    .await;
    assert_eq!(deployment.list_entries(1).await.len(), 3);
    deployment.restart_controller(0).await;
    wait_until(
        "the gate is back at its controller",
        HEAL_LIMIT,
        async || {
            let attached = events(&deployment, 0, "gate.attached", "entry-0").await;
            attached
                .iter()
                .any(|process| process == "controller/entry-0")
        },
    )
    .await;
    declare_through(&deployment, 0, "third").await;
    wait_served(&deployment, 0, "third").await;
    wait_until("all are alive", HEAL_LIMIT, async || {
        states(&deployment, 2).await == [MemberState::Alive; 3]
    })
    .await;
}

#[tokio::test]
async fn test_membership_frozen_connections_between_controllers_are_replaced() {
    let deployment = deploy(2).await;
    let vm = deployment.server("plain-1").vm.clone();
    for index in [1] {
        let link = format!("cloud-{index}");
        deployment.proxy.set_mode(&link, LinkMode::Freeze).await;
    }
    deployment.proxy.set_modes("log-", LinkMode::Refuse).await;
    deployment
        .proxy
        .set_modes("rpc-", LinkMode::FreezeExisting)
        .await;
    deployment.give_notice(&vm, 60_000).await;
    wait_until("the notice has spread", RECONNECT_LIMIT, async || {
        let report = deployment.status(1).await.unwrap();
        report.leaving.iter().any(|l| l.vm.as_str() == vm)
    })
    .await;
    // The gates' own connections were frozen too; they must have been replaced by then.
    tokio::time::sleep(RECONNECT_LIMIT).await;
    let before: PlainStats = deployment.stats("plain-1").await;
    for entry in &deployment.entries {
        for _ in 0..8 {
            let call = Call::new(Method::GET, "/desk/x").bearer(TOKEN);
            let answer = deployment.http.send(entry.callers(), call).await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    }
    let after: PlainStats = deployment.stats("plain-1").await;
    assert_eq!(after.runs, before.runs);
}

#[tokio::test]
async fn test_membership_frozen_connections_raise_no_death() {
    let deployment = deploy(3).await;
    for _ in 0..5 {
        deployment
            .proxy
            .set_modes("rpc-", LinkMode::FreezeExisting)
            .await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    for index in 0..3 {
        for node in ["entry-0", "entry-1", "entry-2"] {
            let changes = events(&deployment, index, "member.state", node).await;
            // Each controller records that each other member came alive, and nothing else.
            assert!(changes.len() <= 2, "{node}: {changes:?}");
        }
    }
}

#[tokio::test]
async fn test_membership_heals_after_a_partition_of_all() {
    let deployment = deploy(4).await;
    deployment.proxy.set_modes("rpc-", LinkMode::Refuse).await;
    for index in 0..4 {
        wait_until("the others are taken for dead", DEATH_LIMIT, async || {
            let states = states(&deployment, index).await;
            states.iter().filter(|s| **s == MemberState::Dead).count() == 3
        })
        .await;
    }
    deployment.proxy.set_modes("rpc-", LinkMode::Pass).await;
    for index in 0..4 {
        wait_until("all are alive again", HEAL_LIMIT, async || {
            states(&deployment, index).await == [MemberState::Alive; 4]
        })
        .await;
    }
    deployment.wait_entries(4).await;
}

#[tokio::test]
async fn test_membership_restarted_controller_is_alive_again_under_its_name() {
    let mut deployment = deploy(3).await;
    deployment.entries[2].controller.kill();
    wait_until("the dead controller is known", DEATH_LIMIT, async || {
        states(&deployment, 0).await.last() == Some(&MemberState::Dead)
    })
    .await;
    deployment.restart_controller(2).await;
    for index in 0..3 {
        wait_until("all are alive again", HEAL_LIMIT, async || {
            states(&deployment, index).await == [MemberState::Alive; 3]
        })
        .await;
    }
}

#[tokio::test]
async fn test_membership_paused_controller_refutes_its_death() {
    let deployment = deploy(3).await;
    deployment.entries[1].controller.pause();
    wait_until(
        "the paused controller is taken for dead",
        DEATH_LIMIT,
        async || states(&deployment, 0).await.get(1) == Some(&MemberState::Dead),
    )
    .await;
    deployment.entries[1].controller.resume();
    for index in 0..3 {
        wait_until("all are alive again", HEAL_LIMIT, async || {
            states(&deployment, index).await == [MemberState::Alive; 3]
        })
        .await;
    }
}

#[tokio::test]
async fn test_membership_new_entry_joins_by_seeds_alone() {
    let mut deployment = deploy(2).await;
    let index = deployment.grow().await;
    for other in 0..=index {
        wait_until("the new entry is known", HEAL_LIMIT, async || {
            states(&deployment, other).await == [MemberState::Alive; 3]
        })
        .await;
    }
    deployment.wait_entries(3).await;
}

#[tokio::test]
async fn test_membership_wrong_key_learns_nothing() {
    let deployment = deploy(1).await;
    let before = revision(&deployment, 0, "desk").await;
    let entry = &deployment.entries[0];
    let body = json!({"jsonrpc": "2.0", "id": 1, "method": "table.offset", "params": []});
    for server in [entry.controller.address("rpc"), entry.gate.address("rpc")] {
        for token in [None, Some("wrong"), Some("")] {
            let mut call = Call::post("/", &body);
            if let Some(token) = token {
                call = call.bearer(token);
            }
            let answer = deployment.http.send(server, call).await.unwrap();
            assert_eq!(answer.status, 401);
            assert!(answer.body.is_empty(), "{}", answer.text());
        }
        let call = Call::post("/", &body).bearer("shared key of the tests");
        let answer = deployment.http.send(server, call).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let config = deployment.config(0).await.unwrap();
    let desk = ServiceName::new("desk").unwrap();
    assert_eq!(config.services[&desk].revision, before);
}

#[tokio::test]
async fn test_membership_last_peer_is_known_to_be_dead() {
    let mut deployment = deploy(2).await;
    deployment.entries[1].controller.kill();
    wait_until("the dead controller is known", DEATH_LIMIT, async || {
        states(&deployment, 0).await == [MemberState::Alive, MemberState::Dead]
    })
    .await;
}
