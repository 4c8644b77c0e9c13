//! Process tests of invalid input: the gate rejects it, forwards nothing to an endpoint and counts
//! nothing.

mod testutils;

use std::net::SocketAddr;
use std::time::Duration;

use hawthornrack_lab::EngineStats;
use hawthornrack_lab::PlainStats;
use hawthornrack_lib::GateCounts;
use hyper::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use self::testutils::Call;
use self::testutils::Process;
use self::testutils::TIMEOUT;
use self::testutils::completions::request;
use self::testutils::gates::GateFixture;
use self::testutils::gates::TOKEN;

/// Limits of the gate: sizes in bytes, and the timeout for receiving a request in milliseconds.
const GATE_LIMITS: &str = "body = 2000\nheaders = 4000\nreceive = 500";

/// Starts a gate with an engine and a plain service behind it.
async fn start() -> (GateFixture, SocketAddr, Process, Process) {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", &[]);
    let service = Process::lab("plain", &[]);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    fixture.add_endpoint("booking", "p1", service.http()).await;
    let gate = fixture.add_gate_with("d1", GATE_LIMITS).await;
    (fixture, gate, engine, service)
}

/// Asserts that no request reached an endpoint or changed a counter of the gate, and that the gate
/// still serves requests. It sends a request that the engine runs, so it can be called only once
/// per engine.
async fn assert_not_forwarded(
    fixture: &GateFixture,
    gate: SocketAddr,
    engine: &Process,
    service: &Process,
) {
    let stats: EngineStats = fixture.http.get(engine.http(), "/stats").await;
    assert_eq!(stats.runs, 0);
    let stats: PlainStats = fixture.http.get(service.http(), "/stats").await;
    assert_eq!(stats.runs, 0);
    assert_eq!(fixture.counts(0).await, GateCounts::default());
    let response = fixture
        .http
        .send(gate, request("a b", 3, false))
        .await
        .unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
}

fn completion(body: &Value) -> Call {
    Call::post("/tutor/v1/completions", body).bearer(TOKEN)
}

#[rstest]
#[case::no_token(Call::new(Method::GET, "/booking/stock"), 401, "unauthorized")]
#[case::bad_token(Call::new(Method::GET, "/booking/stock").bearer("x"), 401, "unauthorized")]
#[case::unknown_service(Call::new(Method::GET, "/nothing/x").bearer(TOKEN), 404, "unknown_service")]
#[case::no_service(Call::new(Method::GET, "/").bearer(TOKEN), 404, "unknown_service")]
#[case::nul_in_service_name(
    Call::new(Method::GET, "/a%00b/x").bearer(TOKEN), 404, "unknown_service")]
#[case::entries_post(Call::new(Method::POST, "/v1/entries").bearer(TOKEN), 405, "method_not_allowed")]
#[case::get_completions(
    Call::new(Method::GET, "/tutor/v1/completions").bearer(TOKEN), 405, "method_not_allowed")]
#[case::internal_path_orders(
    Call::post("/tutor/orders", &json!({})).bearer(TOKEN), 404, "not_found")]
#[case::internal_path_kv_export(
    Call::post("/tutor/v1/kv/export", &json!({"stream": "x"})).bearer(TOKEN), 404, "not_found")]
#[case::no_prompt(completion(&json!({"max_tokens": 3})), 400, "bad_request")]
#[case::not_an_object(completion(&json!([1, 2])), 400, "bad_request")]
#[case::zero_max_tokens(completion(&json!({"prompt": "a", "max_tokens": 0})), 400, "bad_request")]
#[case::negative_max_tokens(
    completion(&json!({"prompt": "a", "max_tokens": -4})), 400, "bad_request")]
#[case::max_tokens_over_limit(
    completion(&json!({"prompt": "a", "max_tokens": 4_000_000})), 400, "bad_request")]
#[case::resume_text_not_a_string(
    completion(&json!({"prompt": "a", "resume_text": 7})), 400, "bad_request")]
#[case::oversized(completion(&json!({"prompt": "a".repeat(3000)})), 413, "body_too_large")]
#[case::oversized_header(
    Call::new(Method::GET, "/booking/stock").header("x-flood", &"a".repeat(5000)).bearer(TOKEN),
    431, "headers_too_large")]
#[tokio::test]
async fn test_bad_input_gets_the_right_problem(
    #[case] call: Call,
    #[case] status: u16,
    #[case] kind: &str,
) {
    let (fixture, gate, engine, service) = start().await;
    let response = fixture.http.send(gate, call).await.unwrap();
    assert_eq!(response.status, status, "{}", response.text());
    assert_eq!(response.header("content-type"), "application/problem+json");
    let problem = response.json();
    assert_eq!(problem["type"], format!("urn:hawthornrack:problem:{kind}"));
    assert_eq!(problem["outcome"], "not_run");
    assert_not_forwarded(&fixture, gate, &engine, &service).await;
}

/// Sends raw bytes to the gate and returns what the gate sends until it closes the connection. With
/// `close`, the sending direction is shut down after the bytes.
async fn send_raw(gate: SocketAddr, text: &[u8], close: bool) -> String {
    let mut connection = TcpStream::connect(gate).await.unwrap();
    connection.write_all(text).await.unwrap();
    if close {
        connection.shutdown().await.unwrap();
    }
    let mut response = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, connection.read_to_end(&mut response)).await;
    let _ = read.expect("the gate must close the connection");
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the head of a booking request that announces a body of `length` bytes.
fn request_head(length: usize) -> String {
    format!(
        "POST /booking/book HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

#[tokio::test]
async fn test_bad_input_truncated_body_is_not_run() {
    let (fixture, gate, engine, service) = start().await;
    let text = format!("{}{{\"boat\"", request_head(100));
    let response = send_raw(gate, text.as_bytes(), true).await;
    assert!(
        response.is_empty() || response.contains(" 400 "),
        "{response}"
    );
    assert_not_forwarded(&fixture, gate, &engine, &service).await;
}

#[tokio::test]
async fn test_bad_input_slow_body_times_out() {
    let (fixture, gate, engine, service) = start().await;
    let text = format!("{}{{\"boat\"", request_head(100));
    let response = send_raw(gate, text.as_bytes(), false).await;
    assert!(response.contains(" 408 "), "{response}");
    assert!(response.contains("receive_timeout"), "{response}");
    assert_not_forwarded(&fixture, gate, &engine, &service).await;
}

#[tokio::test]
async fn test_bad_input_slow_headers_end_the_connection() {
    let (fixture, gate, engine, service) = start().await;
    let response = send_raw(gate, b"GET /booking/stock HTTP/1.1\r\nhost", false).await;
    assert!(!response.contains(" 200 "), "{response}");
    assert_not_forwarded(&fixture, gate, &engine, &service).await;
}

#[tokio::test]
async fn test_bad_input_header_flood_is_refused() {
    let (fixture, gate, engine, service) = start().await;
    let flood = "x-a: b\r\n".repeat(5000);
    let text = format!("GET /booking/stock HTTP/1.1\r\nhost: x\r\n{flood}\r\n");
    let mut connection = TcpStream::connect(gate).await.unwrap();
    let _ = connection.write_all(text.as_bytes()).await;
    let mut response = Vec::new();
    let read = connection.read_to_end(&mut response);
    let _ = tokio::time::timeout(TIMEOUT, read)
        .await
        .expect("the gate must close the connection");
    let response = String::from_utf8_lossy(&response).into_owned();
    assert!(
        response.is_empty() || response.contains(" 431 "),
        "{response}"
    );
    assert_not_forwarded(&fixture, gate, &engine, &service).await;
}

#[rstest]
#[case::not_http(b"\x00\x01\x02\x03 noise \r\n\r\n")]
#[case::no_version(b"GET /booking/stock\r\n\r\n")]
#[case::bad_length(b"POST /booking/book HTTP/1.1\r\nhost: x\r\ncontent-length: -4\r\n\r\n")]
#[case::two_lengths(
    b"POST /booking/book HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde")]
#[tokio::test]
async fn test_bad_input_malformed_http_is_not_run(#[case] text: &[u8]) {
    let (fixture, gate, engine, service) = start().await;
    let response = send_raw(gate, text, true).await;
    assert!(
        response.is_empty() || response.contains(" 400 "),
        "{response}"
    );
    assert_not_forwarded(&fixture, gate, &engine, &service).await;
}

#[tokio::test]
async fn test_bad_input_slow_senders_do_not_hold_up_others() {
    let (fixture, gate, engine, service) = start().await;
    let slow = (0..50).map(|_| {
        tokio::spawn(async move { send_raw(gate, request_head(100).as_bytes(), false).await })
    });
    let slow: Vec<_> = slow.collect();
    let started = tokio::time::Instant::now();
    let response = fixture
        .http
        .send(gate, request("a b", 3, false))
        .await
        .unwrap();
    assert_eq!(response.status, 200);
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
    for response in slow {
        assert!(response.await.unwrap().contains(" 408 "));
    }
    // `assert_not_forwarded` does not apply: the engine has run one request.
    let stats: PlainStats = fixture.http.get(service.http(), "/stats").await;
    assert_eq!(stats.runs, 0);
    drop(engine);
}
