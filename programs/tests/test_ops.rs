//! Process tests of the `ops` servers of gates and controllers: health, readiness and metrics.

mod testutils;

use std::net::SocketAddr;

use hawthornrack_lib::ServiceKind;
use hyper::Method;

use testutils::Call;
use testutils::TIMEOUT;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::service;
use testutils::wait_until;

/// Sends a `GET` request and returns the status and the body, or status zero and an empty body if
/// the request fails.
async fn get_ops(deployment: &Deployment, server: SocketAddr, path: &str) -> (u16, String) {
    let response = deployment
        .http
        .send(server, Call::new(Method::GET, path))
        .await;
    response.map_or((0, String::new()), |r| (r.status, r.text()))
}

#[tokio::test]
async fn test_ops_shows_health_readiness_and_metrics() {
    let mut deployment = Deployment::start(1).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment
        .declare(&[service("desk", ServiceKind::Plain, Vec::new())])
        .await;
    let call = Call::new(Method::GET, "/desk/chains/7").bearer(TOKEN);
    let gate = deployment.entries[0].gate_address();
    let response = deployment.http.send(gate, call).await.unwrap();
    assert_eq!(response.status, 200, "{}", response.text());

    let ops = deployment.entries[0].gate.address("ops");
    assert_eq!(get_ops(&deployment, ops, "/healthz").await.0, 200);
    assert_eq!(get_ops(&deployment, ops, "/readyz").await.0, 200);
    assert_eq!(get_ops(&deployment, ops, "/other").await.0, 404);
    let (_, text) = get_ops(&deployment, ops, "/metrics").await;
    let has_request_count = text.lines().any(|line| {
        line.starts_with("http_server_request_count")
            && line.contains("desk")
            && line.ends_with(" 1")
    });
    assert!(
        has_request_count,
        "no request counter of `desk` with value 1 in:\n{text}"
    );
    assert!(text.contains("hawthornrack_tokens_recomputed"), "{text}");

    let ops = deployment.entries[0].controller.address("ops");
    assert_eq!(get_ops(&deployment, ops, "/readyz").await.0, 200);
    let (_, text) = get_ops(&deployment, ops, "/metrics").await;
    assert!(text.contains("hawthornrack_move_taken_back"), "{text}");
}

#[tokio::test]
async fn test_ops_gate_without_a_configuration_is_not_ready() {
    let mut deployment = Deployment::start(1).await;
    deployment.entries[0].controller.kill();
    deployment.restart_gate(0).await;
    let ops = deployment.entries[0].gate.address("ops");
    let (status, text) = get_ops(&deployment, ops, "/readyz").await;
    assert_eq!(status, 503, "{text}");
    assert_eq!(get_ops(&deployment, ops, "/healthz").await.0, 200);
    deployment.restart_controller(0).await;
    wait_until("the gate is ready", TIMEOUT, async || {
        get_ops(&deployment, ops, "/readyz").await.0 == 200
    })
    .await;
}
