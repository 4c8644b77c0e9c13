//! Machines under notice get no new work.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lab::generate_text;
use hawthornrack_lib::ServiceKind;
use hyper::Method;
use serde_json::json;

use testutils::Call;
use testutils::LIMIT;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::service;
use testutils::wait_until;

/// Time within which a leaving endpoint must get no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Time by which the list of machines lags, in milliseconds.
const LIST_LAG_MS: u64 = 600_000;

async fn deploy(entries: usize) -> Deployment {
    let mut deployment = Deployment::start(entries).await;
    let lag = json!({"list_lag_ms": LIST_LAG_MS});
    deployment.http.control(deployment.cloud.http(), &lag).await;
    for name in ["plain-1", "plain-2"] {
        deployment.add_plain("desk", "v1", name, &[]).await;
    }
    let services = [service("desk", ServiceKind::Plain, Vec::new())];
    deployment.declare(&services).await;
    deployment
}

/// Sends calls through every gate and returns how many of them `server` ran.
async fn runs_of(deployment: &Deployment, server: &str) -> u64 {
    let before: PlainStats = deployment.stats(server).await;
    for entry in &deployment.entries {
        for _ in 0..8 {
            let call = Call::new(Method::GET, "/desk/chains/7").bearer(TOKEN);
            let answer = deployment.http.send(entry.callers(), call).await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    }
    let after: PlainStats = deployment.stats(server).await;
    after.runs - before.runs
}

#[tokio::test]
async fn test_leaving_endpoint_gets_no_new_work_with_log_down_and_list_lagging() {
    let deployment = deploy(4).await;
    assert!(runs_of(&deployment, "plain-1").await > 0);
    deployment.proxy.set_modes("log-", LinkMode::Refuse).await;
    // Only one controller can still ask the cloud; the others learn from it.
    for index in 1..4 {
        let link = format!("cloud-{index}");
        deployment.proxy.set_mode(&link, LinkMode::Freeze).await;
    }
    let vm = deployment.server("plain-1").vm.clone();
    deployment.give_notice(&vm, 60_000).await;
    tokio::time::sleep(LEAVING_LIMIT).await;
    assert_eq!(runs_of(&deployment, "plain-1").await, 0);
}

#[tokio::test]
async fn test_leaving_entry_is_not_listed_to_callers() {
    let deployment = deploy(3).await;
    let leaving = deployment.entries[2].callers();
    assert!(deployment.list_entries(0).await.contains(&leaving));
    deployment.proxy.set_modes("log-", LinkMode::Refuse).await;
    // Only the leaving entry itself can still ask the cloud.
    for index in 0..2 {
        let link = format!("cloud-{index}");
        deployment.proxy.set_mode(&link, LinkMode::Freeze).await;
    }
    deployment.give_notice("entry-vm-2", 60_000).await;
    for index in 0..3 {
        wait_until(
            "the leaving entry is not listed",
            LEAVING_LIMIT,
            async || {
                let listed = deployment.list_entries(index).await;
                !listed.contains(&leaving) && listed.len() == 2
            },
        )
        .await;
    }
}

#[tokio::test]
async fn test_leaving_gate_under_a_planned_stop_is_not_listed_and_ends_its_stream() {
    let mut deployment = Deployment::start(3).await;
    let slow = ["token_us=40_000", "model='m'"];
    deployment
        .add_engine("tutor", "v1", "engine-1", &slow)
        .await;
    let services = [service("tutor", ServiceKind::Model, Vec::new())];
    deployment.declare(&services).await;
    let leaving = deployment.entries[1].callers();
    let body = json!({"model": "m", "prompt": "a", "max_tokens": 100, "stream": true});
    let call = Call::post("/tutor/v1/completions", &body).bearer(TOKEN);
    let mut stream = deployment.http.stream(leaving, call).await.unwrap();
    let first = stream.next(LIMIT).await.unwrap();
    deployment.entries[1].gate.terminate();
    for index in [0, 2] {
        wait_until(
            "the stopping entry is not listed",
            LEAVING_LIMIT,
            async || {
                let listed = deployment.list_entries(index).await;
                !listed.contains(&leaving) && listed.len() == 2
            },
        )
        .await;
    }
    assert!(
        deployment.entries[1].gate.is_running(),
        "its stream goes on"
    );
    let (rest, ended) = stream.read_text(LIMIT).await;
    assert!(ended);
    assert_eq!(first.text() + &rest, generate_text("a", 100));
    let status = deployment.entries[1].gate.wait_exit(LIMIT).await;
    assert!(status.is_some_and(|s| s.success()));
}
