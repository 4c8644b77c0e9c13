//! Process tests of bad input: the right answer, and nothing held against an endpoint.

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
use self::testutils::LIMIT;
use self::testutils::Process;
use self::testutils::gates::Site;
use self::testutils::gates::TOKEN;
use self::testutils::tokens::request;

/// Limits of the gate in these tests.
const LIMITS: &str = "body = 2000\nheaders = 4000\nreceive = 500";

async fn start() -> (Site, SocketAddr, Process, Process) {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", &[]);
    let service = Process::lab("plain", &[]);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    site.add_endpoint("booking", "p1", service.http()).await;
    let gate = site.add_gate_with("d1", LIMITS).await;
    (site, gate, engine, service)
}

/// Checks that no endpoint saw anything and that the gate still serves.
async fn check_untouched(site: &Site, gate: SocketAddr, engine: &Process, service: &Process) {
    let stats: EngineStats = site.http.get(engine.http(), "/stats").await;
    assert_eq!(stats.runs, 0);
    let stats: PlainStats = site.http.get(service.http(), "/stats").await;
    assert_eq!(stats.runs, 0);
    assert_eq!(site.counts(0).await, GateCounts::default());
    let answer = site
        .http
        .send(gate, request("a b", 3, false))
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}

fn completion(body: &Value) -> Call {
    Call::post("/tutor/v1/completions", body).bearer(TOKEN)
}

#[rstest]
#[case::no_token(Call::new(Method::GET, "/booking/stock"), 401, "unauthorized")]
#[case::bad_token(Call::new(Method::GET, "/booking/stock").bearer("x"), 401, "unauthorized")]
#[case::unknown_service(Call::new(Method::GET, "/nothing/x").bearer(TOKEN), 404, "unknown_service")]
#[case::no_service(Call::new(Method::GET, "/").bearer(TOKEN), 404, "unknown_service")]
#[case::bad_name(Call::new(Method::GET, "/a%00b/x").bearer(TOKEN), 404, "unknown_service")]
#[case::entries_post(Call::new(Method::POST, "/v1/entries").bearer(TOKEN), 405, "method_not_allowed")]
#[case::get_completions(
    Call::new(Method::GET, "/tutor/v1/completions").bearer(TOKEN), 405, "method_not_allowed")]
#[case::engine_orders(Call::post("/tutor/orders", &json!({})).bearer(TOKEN), 404, "not_found")]
#[case::engine_cache(
    Call::post("/tutor/v1/kv/export", &json!({"stream": "x"})).bearer(TOKEN), 404, "not_found")]
#[case::no_prompt(completion(&json!({"max_tokens": 3})), 400, "bad_request")]
#[case::not_an_object(completion(&json!([1, 2])), 400, "bad_request")]
#[case::no_tokens(completion(&json!({"prompt": "a", "max_tokens": 0})), 400, "bad_request")]
#[case::negative(completion(&json!({"prompt": "a", "max_tokens": -4})), 400, "bad_request")]
#[case::too_many(completion(&json!({"prompt": "a", "max_tokens": 4_000_000})), 400, "bad_request")]
#[case::bad_text(completion(&json!({"prompt": "a", "resume_text": 7})), 400, "bad_request")]
#[case::oversized(completion(&json!({"prompt": "a".repeat(3000)})), 413, "body_too_large")]
#[case::header_flood(
    Call::new(Method::GET, "/booking/stock").header("x-flood", &"a".repeat(5000)).bearer(TOKEN),
    431, "headers_too_large")]
#[tokio::test]
async fn test_bad_input_gets_the_right_problem(
    #[case] call: Call,
    #[case] status: u16,
    #[case] kind: &str,
) {
    let (site, gate, engine, service) = start().await;
    let answer = site.http.send(gate, call).await.unwrap();
    assert_eq!(answer.status, status, "{}", answer.text());
    assert_eq!(answer.header("content-type"), "application/problem+json");
    let problem = answer.json();
    assert_eq!(problem["type"], format!("urn:hawthornrack:problem:{kind}"));
    assert_eq!(problem["outcome"], "not_run");
    check_untouched(&site, gate, &engine, &service).await;
}

async fn raw(gate: SocketAddr, text: &[u8], close: bool) -> String {
    let mut connection = TcpStream::connect(gate).await.unwrap();
    connection.write_all(text).await.unwrap();
    if close {
        connection.shutdown().await.unwrap();
    }
    let mut answer = Vec::new();
    let read = tokio::time::timeout(LIMIT, connection.read_to_end(&mut answer)).await;
    let _ = read.expect("the gate ends the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(length: usize) -> String {
    format!(
        "POST /booking/book HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

#[tokio::test]
async fn test_bad_input_truncated_body_is_not_run() {
    let (site, gate, engine, service) = start().await;
    let text = format!("{}{{\"boat\"", head(100));
    let answer = raw(gate, text.as_bytes(), true).await;
    assert!(answer.is_empty() || answer.contains(" 400 "), "{answer}");
    check_untouched(&site, gate, &engine, &service).await;
}

#[tokio::test]
async fn test_bad_input_slow_body_times_out() {
    let (site, gate, engine, service) = start().await;
    let text = format!("{}{{\"boat\"", head(100));
    let answer = raw(gate, text.as_bytes(), false).await;
    assert!(answer.contains(" 408 "), "{answer}");
    assert!(answer.contains("receive_timeout"), "{answer}");
    check_untouched(&site, gate, &engine, &service).await;
}

#[tokio::test]
async fn test_bad_input_slow_headers_end_the_connection() {
    let (site, gate, engine, service) = start().await;
    let answer = raw(gate, b"GET /booking/stock HTTP/1.1\r\nhost", false).await;
    assert!(!answer.contains(" 200 "), "{answer}");
    check_untouched(&site, gate, &engine, &service).await;
}

#[tokio::test]
async fn test_bad_input_header_flood_is_refused() {
    let (site, gate, engine, service) = start().await;
    let flood = "x-a: b\r\n".repeat(5000);
    let text = format!("GET /booking/stock HTTP/1.1\r\nhost: x\r\n{flood}\r\n");
    let mut connection = TcpStream::connect(gate).await.unwrap();
    let _ = connection.write_all(text.as_bytes()).await;
    let mut answer = Vec::new();
    let read = connection.read_to_end(&mut answer);
    let _ = tokio::time::timeout(LIMIT, read)
        .await
        .expect("the gate ends the connection");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.is_empty() || answer.contains(" 431 "), "{answer}");
    check_untouched(&site, gate, &engine, &service).await;
}

#[rstest]
#[case::noise(b"\x00\x01\x02\x03 noise \r\n\r\n")]
#[case::no_version(b"GET /booking/stock\r\n\r\n")]
#[case::bad_length(b"POST /booking/book HTTP/1.1\r\nhost: x\r\ncontent-length: -4\r\n\r\n")]
#[case::two_lengths(
    b"POST /booking/book HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde")]
#[tokio::test]
async fn test_bad_input_malformed_http_is_not_run(#[case] text: &[u8]) {
    let (site, gate, engine, service) = start().await;
    let answer = raw(gate, text, true).await;
    assert!(answer.is_empty() || answer.contains(" 400 "), "{answer}");
    check_untouched(&site, gate, &engine, &service).await;
}

#[tokio::test]
async fn test_bad_input_slow_senders_do_not_hold_up_others() {
    let (site, gate, engine, service) = start().await;
    let slow =
        (0..50).map(|_| tokio::spawn(async move { raw(gate, head(100).as_bytes(), false).await }));
    let slow: Vec<_> = slow.collect();
    let begun = tokio::time::Instant::now();
    let answer = site
        .http
        .send(gate, request("a b", 3, false))
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
    assert!(
        begun.elapsed() < Duration::from_millis(500),
        "{:?}",
        begun.elapsed()
    );
    for answer in slow {
        assert!(answer.await.unwrap().contains(" 408 "));
    }
    let stats: PlainStats = site.http.get(service.http(), "/stats").await;
    assert_eq!(stats.runs, 0);
    drop(engine);
}
