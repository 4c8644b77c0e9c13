//! Health, readiness and metrics of real processes.

mod testutils;

use std::net::SocketAddr;

use hawthornrack_lib::ServiceKind;
use hyper::Method;

use testutils::Call;
use testutils::LIMIT;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::service;
use testutils::wait_until;

async fn page(deployment: &Deployment, server: SocketAddr, path: &str) -> (u16, String) {
    let answer = deployment
        .http
        .send(server, Call::new(Method::GET, path))
        .await;
    answer.map_or((0, String::new()), |a| (a.status, a.text()))
}

#[tokio::test]
async fn test_ops_shows_health_readiness_and_metrics() {
    let mut deployment = Deployment::start(1).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    deployment
        .declare(&[service("desk", ServiceKind::Plain, Vec::new())])
        .await;
    let call = Call::new(Method::GET, "/desk/chains/7").bearer(TOKEN);
    let gate = deployment.entries[0].callers();
    let answer = deployment.http.send(gate, call).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());

    let ops = deployment.entries[0].gate.address("ops");
    assert_eq!(page(&deployment, ops, "/healthz").await.0, 200);
    assert_eq!(page(&deployment, ops, "/readyz").await.0, 200);
    assert_eq!(page(&deployment, ops, "/other").await.0, 404);
    let (_, text) = page(&deployment, ops, "/metrics").await;
    let counted = text.lines().any(|line| {
        line.starts_with("http_server_request_count")
            && line.contains("desk")
            && line.ends_with(" 1")
    });
    assert!(counted, "{text}");
    assert!(text.contains("hawthornrack_tokens_recomputed"), "{text}");

    let ops = deployment.entries[0].controller.address("ops");
    assert_eq!(page(&deployment, ops, "/readyz").await.0, 200);
    let (_, text) = page(&deployment, ops, "/metrics").await;
    assert!(text.contains("hawthornrack_move_taken_back"), "{text}");
}

#[tokio::test]
async fn test_ops_gate_without_a_configuration_is_not_ready() {
    let mut deployment = Deployment::start(1).await;
    deployment.entries[0].controller.kill();
    deployment.restart_gate(0).await;
    let ops = deployment.entries[0].gate.address("ops");
    let (status, text) = page(&deployment, ops, "/readyz").await;
    assert_eq!(status, 503, "{text}");
    assert_eq!(page(&deployment, ops, "/healthz").await.0, 200);
    deployment.restart_controller(0).await;
    wait_until("the gate is ready", LIMIT, async || {
        page(&deployment, ops, "/readyz").await.0 == 200
    })
    .await;
}
