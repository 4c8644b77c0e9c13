//! Tests of the stand-in for a plain service.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::PlainResponse;
use hawthornrack_lab::PlainSettings;
use hawthornrack_lab::PlainStats;
use hawthornrack_lab::run_plain;
use hawthornrack_lib::KeySupport;
use hyper::Method;
use rstest::rstest;
use serde_json::json;

use self::testutils::start;

#[rstest]
#[case::ignored(KeySupport::Ignored, 2, 404)]
#[case::honoured(KeySupport::Honoured, 1, 404)]
#[case::lookup(KeySupport::Lookup, 2, 200)]
#[tokio::test]
async fn test_plain_runs_by_key(
    #[case] keys: KeySupport,
    #[case] runs: u32,
    #[case] lookup_status: u16,
) {
    let settings = PlainSettings {
        keys,
        run_ms: 20,
        ..PlainSettings::default()
    };
    let service = start(|listener, stop| run_plain(settings, listener, stop)).await;
    let body = json!({"boat": 4});
    let (first, second) = tokio::join!(
        service.send(Method::POST, "/book?day=1", &body),
        service.send(Method::POST, "/book?day=1", &body),
    );
    let first: PlainResponse = serde_json::from_slice(&first).unwrap();
    let second: PlainResponse = serde_json::from_slice(&second).unwrap();
    assert_eq!(first.run == second.run, runs == 1);
    assert_eq!(
        (first.path.as_str(), first.key.as_str()),
        ("/book?day=1", "key-1")
    );
    assert_eq!(first.body, body.to_string());
    let stats: PlainStats = service.get("/stats").await.unwrap();
    assert_eq!(stats.by_key["key-1"], runs);
    assert_eq!(stats.by_path["/book"], runs);
    let lookup = service
        .try_send(Method::GET, "/keys/key-1", &())
        .await
        .unwrap();
    assert_eq!(lookup.status(), lookup_status);
}

#[tokio::test]
async fn test_plain_lost_answer_has_run() {
    let service = start(|listener, stop| run_plain(PlainSettings::default(), listener, stop)).await;
    service
        .change_settings(&json!({"faults": {"lose_answers": 1}}))
        .await;
    let response = service.try_send(Method::POST, "/book", &()).await;
    assert!(response.is_err());
    let stats: PlainStats = service.get("/stats").await.unwrap();
    assert_eq!(stats.by_attempt["attempt-1"], 1);
}

#[tokio::test]
async fn test_plain_runs_on_after_disconnect() {
    let settings = PlainSettings {
        run_ms: 100,
        keys: KeySupport::Lookup,
        ..PlainSettings::default()
    };
    let service = start(|listener, stop| run_plain(settings, listener, stop)).await;
    let response = service.try_send(Method::POST, "/book", &());
    assert!(
        tokio::time::timeout(Duration::from_millis(50), response)
            .await
            .is_err()
    );
    let lookup = service
        .try_send(Method::GET, "/keys/key-1", &())
        .await
        .unwrap();
    assert_eq!(lookup.status(), 200);
}
