//! Process tests of `hawthorn-lab`: the stand-ins, alone and behind the fault-injecting proxy.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::EngineStats;
use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lab::generate_text;
use hawthornrack_lib::Record;
use serde_json::Value;
use serde_json::json;

use self::testutils::Call;
use self::testutils::Process;
use self::testutils::Proxy;
use self::testutils::TIMEOUT;
use self::testutils::TestClient;
use self::testutils::wait_until;

#[tokio::test]
async fn test_lab_stream_survives_a_frozen_connection() {
    let engine = Process::lab("engine", &["token_us=10_000", "name='e1'"]);
    let proxy = Proxy::start();
    let address = proxy.add_link("engine", Some(engine.http())).await;
    let http = TestClient::new();
    let body = json!({"prompt": "a b", "max_tokens": 60, "stream": true});
    let call = Call::post("/v1/completions", &body);
    let mut stream = http.stream(address, call).await.unwrap();
    let first = stream.next(TIMEOUT).await.unwrap();
    proxy.set_mode("engine", LinkMode::FreezeExisting).await;
    let id = stream.headers["x-stream-id"].to_str().unwrap().to_owned();
    let mut text = first.text();
    let mut last = first.id;
    // Reads the events that were sent before the connection froze. Tokens are 10 ms apart, so none
    // are left to read after 300 ms without one.
    while let Some(event) = stream.next(Duration::from_millis(300)).await {
        text.push_str(&event.text());
        last = event.id;
    }
    let path = format!("/v1/streams/{id}?from={last}");
    let mut resumed = http
        .stream(address, Call::new(hyper::Method::GET, &path))
        .await
        .unwrap();
    let (rest, complete) = resumed.read_text(TIMEOUT).await;
    assert!(complete);
    assert_eq!(text + &rest, generate_text("a b", 60));
    let stats: EngineStats = http.get(engine.http(), "/stats").await;
    assert_eq!((stats.runs, stats.generated), (1, 60));
}

#[tokio::test]
async fn test_lab_crashing_request_ends_the_process() {
    let mut service = Process::lab("plain", &["faults.crash_marker='boom'"]);
    let http = TestClient::new();
    let success = http
        .send(service.http(), Call::post("/x", &json!("fine")))
        .await;
    assert_eq!(success.unwrap().status, 200);
    let crash = http
        .send(service.http(), Call::post("/x", &json!("boom")))
        .await;
    assert!(crash.is_err(), "{crash:?}");
    let status = service.wait_exit(TIMEOUT).await.unwrap();
    // `hawthorn-lab` exits with this status on a crashing request.
    assert_eq!(status.code(), Some(101));
}

#[tokio::test]
async fn test_lab_request_with_dropped_response_runs_and_refused_request_does_not() {
    let service = Process::lab("plain", &[]);
    let proxy = Proxy::start();
    let address = proxy.add_link("plain", Some(service.http())).await;
    let http = TestClient::new();
    let call = |key: &str| Call::post("/book", &json!({})).header("idempotency-key", key);
    proxy.set_mode("plain", LinkMode::DropAnswers).await;
    http.send(address, call("dropped")).await.unwrap_err();
    proxy.set_mode("plain", LinkMode::DropRequests).await;
    http.send(address, call("unsent")).await.unwrap_err();
    proxy.set_mode("plain", LinkMode::Refuse).await;
    http.send(address, call("refused")).await.unwrap_err();
    proxy.set_mode("plain", LinkMode::Pass).await;
    assert_eq!(
        http.send(address, call("passed")).await.unwrap().status,
        200
    );
    let stats: PlainStats = http.get(service.http(), "/stats").await;
    let keys: Vec<&str> = stats.by_key.keys().map(String::as_str).collect();
    assert_eq!(keys, ["dropped", "passed"]);
}

#[tokio::test]
async fn test_lab_paused_process_responds_after_resume() {
    let log = Process::lab("log", &["keep_records=10"]);
    log.pause();
    let http = TestClient::new();
    let address = log.http();
    let read = tokio::spawn(async move {
        let path = "/streams/config/records?from=0";
        http.get::<Value>(address, path).await
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!read.is_finished());
    log.resume();
    let reply = read.await.unwrap();
    let records: Vec<Record> = serde_json::from_value(reply["records"].clone()).unwrap();
    assert!(records.is_empty());
}

#[tokio::test]
async fn test_lab_exits_on_sigterm_and_sigkill() {
    let mut cloud = Process::lab("cloud", &[]);
    cloud.terminate();
    let status = cloud.wait_exit(TIMEOUT).await.unwrap();
    assert!(status.success(), "{status}");
    let mut weights = Process::lab("weights", &["per_sec=1.5"]);
    weights.kill();
    wait_until("the process ends", TIMEOUT, async || !weights.is_running()).await;
}
