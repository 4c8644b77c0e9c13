//! Process tests of configuration distribution: an accepted change is in force at every live node
//! within seconds, and no node returns to an older configuration.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::Offset;
use hawthornrack_lib::Service;
use hawthornrack_lib::ServiceKind;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::VersionName;
use hyper::Method;
use rstest::rstest;
use serde_json::json;

use testutils::Call;
use testutils::TIMEOUT;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::revision;
use testutils::deployment::service;
use testutils::in_force::IN_FORCE_TIMEOUT;
use testutils::in_force::OffsetWatch;
use testutils::in_force::customer_change;
use testutils::in_force::has_event;
use testutils::in_force::offset_at;
use testutils::in_force::put_customer;
use testutils::in_force::wait_offset;
use testutils::wait_until;

/// Lowest offset of a checkpoint that the test uses; all records before that checkpoint expire.
const MIN_CHECKPOINT_OFFSET: u64 = 10;

/// Returns the offset of the newest checkpoint record in the log, or zero if there is none.
async fn newest_checkpoint_offset(deployment: &Deployment) -> u64 {
    let path = "/streams/config/records?from=0&limit=1000&wait_ms=0";
    let reply: serde_json::Value = deployment.http.get(deployment.log.http(), path).await;
    let records = reply["records"].as_array().unwrap();
    let mut checkpoints = records
        .iter()
        .filter(|r| r.to_string().contains("\"as_of\""));
    let newest = checkpoints.next_back().map(|r| r["offset"].as_u64());
    newest.flatten().unwrap_or(0)
}

/// Returns the service `desk` with all traffic on one version.
fn desk_service(version: &str) -> Service {
    let mut desk = service("desk", ServiceKind::Plain, Vec::new());
    for (name, version_spec) in &mut desk.versions {
        let is_selected = *name == VersionName::new(version).unwrap();
        version_spec.share = if is_selected { 1000 } else { 0 };
    }
    desk
}

/// Returns a change that sends all traffic of `desk` to one version.
fn desk_change(base: Offset, version: &str) -> ConfigChange {
    ConfigChange::PutService {
        base: Some(base),
        service: desk_service(version),
    }
}

/// Returns the version that responds to a request through an entry, or an empty string if the
/// response names none.
async fn serving_version(deployment: &Deployment, index: usize) -> String {
    let call = Call::new(Method::GET, "/desk/look").bearer(TOKEN);
    let gate = deployment.entries[index].gate_address();
    let response = deployment.http.send(gate, call).await.unwrap();
    response.json()["version"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

#[tokio::test]
async fn test_config_accepts_one_of_two_racing_operators() {
    let mut deployment = Deployment::start(3).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment.add_plain("desk", "v2", "plain-2", &[]).await;
    deployment.declare(&[desk_service("v1")]).await;
    let watch = OffsetWatch::start(&deployment);
    for _ in 0..5 {
        let base = revision(&deployment, 0, "desk").await;
        let (first, second) = tokio::join!(
            deployment.submit(0, desk_change(base, "v1")),
            deployment.submit(1, desk_change(base, "v2")),
        );
        let verdicts = [first.unwrap(), second.unwrap()];
        let accepted = verdicts.iter().filter(|v| **v == Verdict::Accepted);
        assert_eq!(accepted.count(), 1, "{verdicts:?}");
        let winner = if verdicts[0] == Verdict::Accepted {
            "v1"
        } else {
            "v2"
        };
        let next = deployment.status(0).await.unwrap().next;
        wait_offset(&deployment, &[0, 1, 2], next).await;
        for index in 0..3 {
            assert_eq!(serving_version(&deployment, index).await, winner);
        }
    }
    watch.finish().await;
}

#[rstest]
#[case::responses(json!({"lose_answers": 2, "only": "config"}))]
#[case::requests(json!({"lose_requests": 2, "only": "config"}))]
#[tokio::test]
async fn test_config_applies_a_change_once_when_the_log_loses(#[case] fault: serde_json::Value) {
    let mut deployment = Deployment::start(2).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment.declare(&[desk_service("v1")]).await;
    let base = revision(&deployment, 0, "desk").await;
    deployment
        .http
        .configure(deployment.log.http(), &fault)
        .await;
    let verdict = deployment.submit(0, desk_change(base, "v1")).await.unwrap();
    assert_eq!(verdict, Verdict::Accepted);
    let revised = revision(&deployment, 0, "desk").await;
    let next = deployment.status(0).await.unwrap().next;
    wait_offset(&deployment, &[0, 1], next).await;
    // When a response of the log is lost, the controller appends the record again; the second copy
    // must have no effect.
    let later_offset = put_customer(&deployment, 1, "later").await;
    wait_offset(&deployment, &[0, 1], later_offset).await;
    assert_eq!(revision(&deployment, 0, "desk").await, revised);
    assert_eq!(revision(&deployment, 1, "desk").await, revised);
}

#[rstest]
#[case::silent(LinkMode::Freeze)]
#[case::refusing(LinkMode::Refuse)]
#[tokio::test]
async fn test_config_reaches_a_node_that_has_lost_only_the_log(#[case] mode: LinkMode) {
    let mut deployment = Deployment::start(3).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment.add_plain("desk", "v2", "plain-2", &[]).await;
    deployment.declare(&[desk_service("v1")]).await;
    let watch = OffsetWatch::start(&deployment);
    deployment.proxy.set_mode("log-2", mode).await;
    for number in 0..4 {
        let next = put_customer(&deployment, number % 2, &format!("cut-{number}")).await;
        wait_offset(&deployment, &[0, 1, 2], next).await;
    }
    let base = revision(&deployment, 0, "desk").await;
    deployment.apply(desk_change(base, "v2")).await;
    let next = deployment.status(0).await.unwrap().next;
    wait_offset(&deployment, &[2], next).await;
    assert_eq!(serving_version(&deployment, 2).await, "v2");
    watch.finish().await;
}

#[rstest]
#[case::silent("silent")]
#[case::refusing("refuse")]
#[tokio::test]
async fn test_config_survives_restarts_while_the_log_is_down(#[case] outage: &str) {
    let mut deployment = Deployment::start(3).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment.declare(&[desk_service("v1")]).await;
    let next = put_customer(&deployment, 0, "before").await;
    wait_offset(&deployment, &[0, 1, 2], next).await;
    let log = deployment.log.http();
    let outage_settings = json!({"outage": outage});
    deployment.http.configure(log, &outage_settings).await;
    let watch = OffsetWatch::start(&deployment);
    deployment.entries[2].controller.kill();
    assert_eq!(
        serving_version(&deployment, 2).await,
        "v1",
        "the gate must serve without its controller"
    );
    deployment.restart_controller(2).await;
    wait_until(
        "the controller has the state from its peers",
        IN_FORCE_TIMEOUT,
        async || matches!(deployment.status(2).await, Ok(r) if r.state.ready && r.next >= next),
    )
    .await;
    watch.finish().await;
    deployment.entries[2].gate.kill();
    deployment.restart_gate(2).await;
    wait_offset(&deployment, &[0, 1, 2], next).await;
    assert_eq!(serving_version(&deployment, 2).await, "v1");

    deployment
        .http
        .configure(log, &json!({"outage": "off"}))
        .await;
    let next = put_customer(&deployment, 2, "after").await;
    wait_offset(&deployment, &[0, 1, 2], next).await;
}

#[tokio::test]
async fn test_config_starts_a_node_from_a_checkpoint_after_expired_records() {
    // A checkpoint is appended after every five records.
    let mut deployment = Deployment::start_with(2, "checkpoint = 5").await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment.declare(&[desk_service("v1")]).await;
    let log = deployment.log.http();
    let mut number = 0;
    let mut newest = 0;
    wait_until(
        "a checkpoint has at least the minimum offset",
        TIMEOUT,
        async || {
            put_customer(&deployment, 0, &format!("kept-{number}")).await;
            number += 1;
            newest = newest_checkpoint_offset(&deployment).await;
            newest >= MIN_CHECKPOINT_OFFSET
        },
    )
    .await;
    // Lets the records before the newest checkpoint expire.
    let expiry = json!({"stream": "config", "before": newest});
    let call = Call::post("/control/expire", &expiry);
    let response = deployment.http.send(log, call).await.unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
    // Connections to peers are refused, so the new node can get the state from the log only.
    deployment.proxy.set_modes("rpc-", LinkMode::Refuse).await;
    let index = deployment.add_entry().await;
    wait_until(
        "the checkpoint is loaded",
        IN_FORCE_TIMEOUT,
        async || matches!(deployment.status(index).await, Ok(r) if r.state.ready),
    )
    .await;
    assert!(
        has_event(
            &deployment,
            index,
            "controller/entry-2",
            "config.checkpoint_loaded"
        )
        .await
    );
    let expected = deployment.config(0).await.unwrap();
    let loaded = deployment.config(index).await.unwrap();
    assert_eq!(loaded.customers, expected.customers);
    assert_eq!(loaded.services, expected.services);
    assert_eq!(loaded.endpoints, expected.endpoints);

    deployment.proxy.set_modes("rpc-", LinkMode::Pass).await;
    let next = put_customer(&deployment, index, "after").await;
    wait_offset(&deployment, &[0, 1, index], next).await;
}

#[tokio::test]
async fn test_config_does_not_revert_when_the_log_hides_newer_records() {
    let mut deployment = Deployment::start(3).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment.add_plain("desk", "v2", "plain-2", &[]).await;
    deployment.declare(&[desk_service("v1")]).await;
    let offset_before_change = deployment.status(0).await.unwrap().next;
    let base = revision(&deployment, 0, "desk").await;
    deployment.apply(desk_change(base, "v2")).await;
    let next = deployment.status(0).await.unwrap().next;
    wait_offset(&deployment, &[0, 1, 2], next).await;

    let log = deployment.log.http();
    // Reads of the stream now end before the change to `v2`.
    let fault = json!({"old_tail": offset_before_change.0, "only": "config"});
    deployment.http.configure(log, &fault).await;
    let watch = OffsetWatch::start(&deployment);
    deployment.entries[2].controller.kill();
    deployment.restart_controller(2).await;
    wait_until(
        "the controller has the state from its peers",
        IN_FORCE_TIMEOUT,
        async || matches!(deployment.status(2).await, Ok(r) if r.state.ready),
    )
    .await;
    assert!(deployment.status(2).await.unwrap().next >= next);
    for index in 0..3 {
        assert_eq!(serving_version(&deployment, index).await, "v2");
    }
    watch.finish().await;
    deployment.entries[2].gate.kill();
    deployment.restart_gate(2).await;
    wait_offset(&deployment, &[0, 1, 2], next).await;
    assert_eq!(serving_version(&deployment, 2).await, "v2");

    deployment
        .http
        .configure(log, &json!({"old_tail": null}))
        .await;
    let next = put_customer(&deployment, 0, "after").await;
    wait_offset(&deployment, &[0, 1, 2], next).await;
}

#[tokio::test]
async fn test_config_isolated_node_refuses_and_names_other_entries() {
    let mut deployment = Deployment::start(2).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment.add_plain("desk", "v2", "plain-2", &[]).await;
    deployment.declare(&[desk_service("v1")]).await;
    let watch = OffsetWatch::start(&deployment);
    // Entry 0 can reach neither the log nor its peer; entry 1 still reaches the log.
    deployment.proxy.set_mode("log-0", LinkMode::Freeze).await;
    deployment.proxy.set_modes("rpc-", LinkMode::Freeze).await;
    let base = revision(&deployment, 1, "desk").await;
    let verdict = deployment.submit(1, desk_change(base, "v2")).await.unwrap();
    assert_eq!(verdict, Verdict::Accepted);
    let next = deployment.status(1).await.unwrap().next;
    wait_offset(&deployment, &[1], next).await;

    let (isolated, other) = (&deployment.entries[0], &deployment.entries[1]);
    let call = || Call::new(Method::GET, "/desk/look").bearer(TOKEN);
    wait_until(
        "the isolated node refuses requests",
        IN_FORCE_TIMEOUT,
        async || {
            let response = deployment.http.send(isolated.gate_address(), call()).await;
            response.unwrap().status == 503
        },
    )
    .await;
    let runs = async || {
        let first: PlainStats = deployment.stats("plain-1").await;
        let second: PlainStats = deployment.stats("plain-2").await;
        first.runs + second.runs
    };
    let before = runs().await;
    let response = deployment.http.send(isolated.gate_address(), call()).await;
    let response = response.unwrap();
    assert_eq!(response.json()["outcome"], "not_run", "{}", response.text());
    assert!(!response.header("retry-after").is_empty());
    assert!(
        response
            .header("link")
            .contains(&other.gate_address().to_string())
    );
    assert_eq!(runs().await, before, "a refused request must not run");
    assert_eq!(deployment.list_entries(0).await, vec![other.gate_address()]);
    assert_eq!(
        serving_version(&deployment, 1).await,
        "v2",
        "the other entry must serve"
    );

    deployment.proxy.set_modes("log-", LinkMode::Pass).await;
    deployment.proxy.set_modes("rpc-", LinkMode::Pass).await;
    wait_offset(&deployment, &[0, 1], next).await;
    wait_until("the node serves again", IN_FORCE_TIMEOUT, async || {
        serving_version(&deployment, 0).await == "v2"
    })
    .await;
    deployment.wait_entries(2).await;
    watch.finish().await;
    deployment.assert_no_panics();
}

#[tokio::test]
async fn test_config_gate_without_a_controller_follows_another_or_refuses_requests() {
    let mut deployment = Deployment::start(2).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment.declare(&[desk_service("v1")]).await;
    deployment.entries[0].controller.kill();
    let next = put_customer(&deployment, 1, "followed").await;
    wait_offset(&deployment, &[0, 1], next).await;
    assert_eq!(serving_version(&deployment, 0).await, "v1");

    deployment.entries[1].controller.kill();
    assert_eq!(
        serving_version(&deployment, 0).await,
        "v1",
        "the gate must still serve right after losing its last controller"
    );
    let gate_address = deployment.entries[0].gate_address();
    wait_until("the gate refuses requests", IN_FORCE_TIMEOUT, async || {
        let call = Call::new(Method::GET, "/desk/look").bearer(TOKEN);
        let response = deployment.http.send(gate_address, call).await.unwrap();
        response.status == 503 && response.json()["outcome"] == "not_run"
    })
    .await;
    deployment.restart_controller(0).await;
    let rpc = deployment.rpc();
    wait_until("the gate serves again", IN_FORCE_TIMEOUT, async || {
        let gate = deployment.entries[0].gate.address("rpc");
        offset_at(&rpc, gate).await.is_some_and(|o| o >= next)
            && serving_version(&deployment, 0).await == "v1"
    })
    .await;
    let verdict = deployment.submit(0, customer_change("after")).await;
    assert_eq!(verdict.unwrap(), Verdict::Accepted);
}

#[tokio::test]
async fn test_config_gate_refuses_requests_until_a_controller_has_the_state() {
    let mut deployment = Deployment::start(3).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment.declare(&[desk_service("v1")]).await;
    // Neither the log nor a peer can give the restarted controller its state.
    let log = deployment.log.http();
    deployment
        .http
        .configure(log, &json!({"outage": "silent"}))
        .await;
    deployment.entries[2].controller.kill();
    deployment.entries[2].gate.kill();
    deployment.proxy.set_modes("rpc-", LinkMode::Freeze).await;
    deployment.restart_controller(2).await;
    deployment.restart_gate(2).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let response = deployment
        .http
        .send(
            deployment.entries[2].gate_address(),
            Call::new(Method::GET, "/desk/look").bearer(TOKEN),
        )
        .await
        .unwrap();
    assert_eq!(
        response.status, 503,
        "a gate without a configuration must respond with 503"
    );
    assert_eq!(response.json()["outcome"], "not_run");
    deployment.proxy.set_modes("rpc-", LinkMode::Pass).await;
    wait_until(
        "the gate has a configuration and serves",
        IN_FORCE_TIMEOUT,
        async || serving_version(&deployment, 2).await == "v1",
    )
    .await;
}
