//! The whole path with every part in a process of its own.

mod testutils;

use hawthornrack_lab::generate_text;
use hawthornrack_lib::ServiceKind;
use hyper::Method;
use serde_json::json;

use testutils::Call;
use testutils::LIMIT;
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
        let (text, ended) = stream.read_text(LIMIT).await;
        assert!(ended, "the stream ends with its last event");
        assert_eq!(text, generate_text("reef knots", 12));

        let call = Call::new(Method::GET, "/desk/chains/7").bearer(TOKEN);
        let answer = deployment.http.send(entry, call).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.json()["path"], "/chains/7");
    }
}
