//! Process tests of requests through a complete deployment.

mod testutils;

use hawthornrack_lab::generate_text;
use hawthornrack_lib::ServiceKind;
use hyper::Method;
use serde_json::json;

use testutils::Call;
use testutils::TIMEOUT;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::service;

#[tokio::test]
async fn test_path_serves_streams_and_plain_calls_through_every_gate() {
    let mut deployment = Deployment::start(2).await;
    for (version, name) in [("v1", "engine-1"), ("v1", "engine-2"), ("v2", "engine-3")] {
        deployment.add_engine("tutor", version, name, &[]).await;
    }
    for (version, name) in [("v1", "plain-1"), ("v1", "plain-2"), ("v2", "plain-3")] {
        deployment.add_plain("desk", version, name, &[]).await;
    }
    let services = [
        service("tutor", ServiceKind::Model, Vec::new()),
        service("desk", ServiceKind::Plain, Vec::new()),
    ];
    deployment.declare(&services).await;

    for entry in deployment.list_entries(0).await {
        let body = json!({"model": "m", "prompt": "reef knots", "max_tokens": 12, "stream": true});
        let call = Call::post("/tutor/v1/completions", &body).bearer(TOKEN);
        let mut stream = deployment.http.stream(entry, call).await.unwrap();
        assert_eq!(stream.status, 200);
        let (text, complete) = stream.read_text(TIMEOUT).await;
        assert!(complete, "the stream must end with its final event");
        assert_eq!(text, generate_text("reef knots", 12));

        let call = Call::new(Method::GET, "/desk/chains/7").bearer(TOKEN);
        let response = deployment.http.send(entry, call).await.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
        assert_eq!(response.json()["path"], "/chains/7");
    }
}
