//! Process tests of endpoints and gates that are leaving, because their VM is reclaimed or the gate
//! is stopped: endpoints get no new requests, and gates are no longer listed to callers.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lab::generate_text;
use hawthornrack_lib::ServiceKind;
use hyper::Method;
use serde_json::json;

use testutils::Call;
use testutils::TIMEOUT;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::service;
use testutils::wait_until;

/// Maximum time from a reclaim notice or the start of a graceful shutdown until an endpoint gets no
/// new requests or a gate is no longer listed.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);

/// Delay after which changes show in the cloud's list of VMs; longer than a test takes, so that the
/// list never shows the reclaim.
const LIST_LAG_MS: u64 = 600_000;

/// Starts entries with two endpoints of the plain service `desk`, and a cloud whose list of VMs
/// lags.
async fn start_deployment(entries: usize) -> Deployment {
    let mut deployment = Deployment::start(entries).await;
    let lag = json!({"list_lag_ms": LIST_LAG_MS});
    deployment
        .http
        .configure(deployment.cloud.http(), &lag)
        .await;
    for name in ["plain-1", "plain-2"] {
        deployment.add_plain("desk", "v1", name, &[]).await;
    }
    let services = [service("desk", ServiceKind::Plain, Vec::new())];
    deployment.declare(&services).await;
    deployment
}

/// Sends eight requests through every gate and returns how many of them the endpoint ran.
async fn count_runs(deployment: &Deployment, endpoint: &str) -> u64 {
    let before: PlainStats = deployment.stats(endpoint).await;
    for entry in &deployment.entries {
        for _ in 0..8 {
            let call = Call::new(Method::GET, "/desk/chains/7").bearer(TOKEN);
            let response = deployment
                .http
                .send(entry.gate_address(), call)
                .await
                .unwrap();
            assert_eq!(response.status, 200, "{}", response.text());
        }
    }
    let after: PlainStats = deployment.stats(endpoint).await;
    after.runs - before.runs
}

#[tokio::test]
async fn test_leaving_endpoint_gets_no_new_work_with_log_down_and_list_lagging() {
    let deployment = start_deployment(4).await;
    assert!(count_runs(&deployment, "plain-1").await > 0);
    deployment.proxy.set_modes("log-", LinkMode::Refuse).await;
    // Only one controller can still poll the cloud; the others receive the notice by gossip.
    for index in 1..4 {
        let link = format!("cloud-{index}");
        deployment.proxy.set_mode(&link, LinkMode::Freeze).await;
    }
    let vm = deployment.endpoint("plain-1").vm.clone();
    deployment.announce_reclaim(&vm, 60_000).await;
    tokio::time::sleep(MAX_LEAVING_DELAY).await;
    assert_eq!(count_runs(&deployment, "plain-1").await, 0);
}

#[tokio::test]
async fn test_leaving_entry_is_not_listed_to_callers() {
    let deployment = start_deployment(3).await;
    let leaving = deployment.entries[2].gate_address();
    assert!(deployment.list_entries(0).await.contains(&leaving));
    deployment.proxy.set_modes("log-", LinkMode::Refuse).await;
    // Only the controller of the leaving entry can still poll the cloud.
    for index in 0..2 {
        let link = format!("cloud-{index}");
        deployment.proxy.set_mode(&link, LinkMode::Freeze).await;
    }
    deployment.announce_reclaim("entry-vm-2", 60_000).await;
    for index in 0..3 {
        wait_until(
            "the leaving entry is not listed",
            MAX_LEAVING_DELAY,
            async || {
                let listed = deployment.list_entries(index).await;
                !listed.contains(&leaving) && listed.len() == 2
            },
        )
        .await;
    }
}

#[tokio::test]
async fn test_leaving_gate_in_graceful_shutdown_is_not_listed_and_ends_its_stream() {
    let mut deployment = Deployment::start(3).await;
    let slow = ["token_us=40_000", "model='m'"];
    deployment
        .add_engine("tutor", "v1", "engine-1", &slow)
        .await;
    let services = [service("tutor", ServiceKind::Model, Vec::new())];
    deployment.declare(&services).await;
    let leaving = deployment.entries[1].gate_address();
    // The lease holder orders another model than the engine has loaded. The engine serves requests
    // until the order arrives, then responds with 503 until it has loaded that model.
    let engine = deployment.endpoint("engine-1").process.http();
    wait_until("the engine has its order", TIMEOUT, async || {
        let call = Call::new(Method::GET, "/orders");
        let response = deployment.http.send(engine, call).await;
        response.is_ok_and(|r| r.status == 200)
    })
    .await;
    wait_until("the engine serves requests", TIMEOUT, async || {
        let body = json!({"model": "m", "prompt": "ready", "max_tokens": 1});
        let call = Call::post("/tutor/v1/completions", &body).bearer(TOKEN);
        let response = deployment.http.send(leaving, call).await;
        response.is_ok_and(|r| r.status == 200)
    })
    .await;
    let body = json!({"model": "m", "prompt": "a", "max_tokens": 100, "stream": true});
    let call = Call::post("/tutor/v1/completions", &body).bearer(TOKEN);
    let mut stream = deployment.http.stream(leaving, call).await.unwrap();
    let first = stream.next(TIMEOUT).await.unwrap();
    deployment.entries[1].gate.terminate();
    for index in [0, 2] {
        wait_until(
            "the stopping entry is not listed",
            MAX_LEAVING_DELAY,
            async || {
                let listed = deployment.list_entries(index).await;
                !listed.contains(&leaving) && listed.len() == 2
            },
        )
        .await;
    }
    assert!(
        deployment.entries[1].gate.is_running(),
        "the gate runs until its stream ends"
    );
    let (rest, ended) = stream.read_text(TIMEOUT).await;
    assert!(ended);
    assert_eq!(first.text() + &rest, generate_text("a", 100));
    let status = deployment.entries[1].gate.wait_exit(TIMEOUT).await;
    assert!(status.is_some_and(|s| s.success()));
}
