//! Process tests of streams resumed at another gate, of handover and of graceful shutdown.

mod testutils;

use std::net::SocketAddr;
use std::time::Duration;

use hawthornrack_lab::EngineStats;
use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lab::generate_text;
use hyper::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;

use self::testutils::Call;
use self::testutils::EventStream;
use self::testutils::HttpResponse;
use self::testutils::Process;
use self::testutils::Proxy;
use self::testutils::SseEvent;
use self::testutils::TIMEOUT;
use self::testutils::completions::read_rest;
use self::testutils::completions::read_tokens;
use self::testutils::completions::request;
use self::testutils::gates::GateFixture;
use self::testutils::gates::OTHER_TOKEN;
use self::testutils::gates::TOKEN;
use self::testutils::wait_until;

/// Settings of an engine that takes 10 ms per token.
const SLOW_ENGINE: &[&str] = &["token_us=10_000"];

/// Number of tokens in a response.
const RESPONSE_TOKENS: u32 = 150;

/// Returns the resume token of a stream.
fn resume_token(stream: &EventStream) -> String {
    let value = &stream.headers["x-resume-token"];
    value.to_str().unwrap().to_owned()
}

/// Returns a call that resumes a stream after token `position`.
fn resume_call(token: &str, position: u32) -> Call {
    request("a b", RESPONSE_TOKENS, true)
        .header("x-resume-token", token)
        .header("last-event-id", &position.to_string())
}

async fn engine_stats(fixture: &GateFixture, engine: &Process) -> EngineStats {
    fixture.http.get(engine.http(), "/stats").await
}

/// Sends a booking to a gate and waits until the endpoint runs it.
async fn book_until_running(
    fixture: &GateFixture,
    gate: SocketAddr,
    endpoint: &Process,
) -> JoinHandle<HttpResponse> {
    let http = fixture.http.clone();
    let call = Call::post("/booking/book", &json!({"boat": 1})).bearer(TOKEN);
    let pending = tokio::spawn(async move { http.send(gate, call).await.unwrap() });
    wait_until("the booking runs", TIMEOUT, async || {
        let stats: PlainStats = fixture.http.get(endpoint.http(), "/stats").await;
        stats.runs == 1
    })
    .await;
    pending
}

/// Starts two gates in two failure domains and one engine.
async fn start_two_gates() -> (GateFixture, SocketAddr, SocketAddr, Process) {
    start_two_gates_with(SLOW_ENGINE).await
}

/// Starts like [`start_two_gates`], with the given settings of the engine.
async fn start_two_gates_with(settings: &[&str]) -> (GateFixture, SocketAddr, SocketAddr, Process) {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", settings);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    let first = fixture.add_gate("d1").await;
    let second = fixture.add_gate("d2").await;
    (fixture, first, second, engine)
}

/// Reads the tokens after `position` up to the `handover` event; returns their text, the position
/// reached and the data of the event.
async fn read_to_handover(stream: &mut EventStream, position: u32) -> (String, u32, Value) {
    let mut text = String::new();
    let mut last = position;
    loop {
        let event: SseEvent = stream
            .next(TIMEOUT)
            .await
            .expect("a stream must not end before its handover");
        match event.event.as_str() {
            "handover" => return (text, last, serde_json::from_str(&event.data).unwrap()),
            "error" => panic!("stream ended with an error: {}", event.data),
            _ if event.id.is_empty() => {}
            _ => {
                last += 1;
                assert_eq!(
                    event.id,
                    last.to_string(),
                    "a stream must have no missing or repeated token"
                );
                text.push_str(&event.text());
            }
        }
    }
}

/// Returns the address in a location URL.
fn location_address(location: &Value) -> SocketAddr {
    let text = location.as_str().unwrap();
    let text = text.strip_prefix("http://").unwrap();
    text.split('/').next().unwrap().parse().unwrap()
}

#[tokio::test]
async fn test_resume_after_the_gate_died() {
    let (mut fixture, first, second, engine) = start_two_gates().await;
    let mut stream = fixture
        .http
        .stream(first, request("a b", RESPONSE_TOKENS, true))
        .await
        .unwrap();
    let token = resume_token(&stream);
    let start_text = read_tokens(&mut stream, 10).await;
    fixture.gates[0].kill();
    let mut stream = fixture
        .http
        .stream(second, resume_call(&token, 10))
        .await
        .unwrap();
    assert_eq!(stream.status, 200);
    let end_text = read_rest(&mut stream, 10).await;
    assert_eq!(
        start_text + &end_text,
        generate_text("a b", RESPONSE_TOKENS)
    );
    assert_eq!(
        engine_stats(&fixture, &engine).await.runs,
        1,
        "the second gate must attach to the running generation"
    );
}

#[rstest]
#[case::silent(LinkMode::FreezeExisting, 1)]
#[case::cut(LinkMode::Cut, 2)]
#[tokio::test]
async fn test_resume_after_the_callers_connection_was_lost(
    #[case] mode: LinkMode,
    #[case] max_runs: u64,
) {
    let (fixture, first, second, engine) = start_two_gates().await;
    let proxy = Proxy::start();
    let link = proxy.add_link("caller", Some(first)).await;
    let mut stream = fixture
        .http
        .stream(link, request("a b", RESPONSE_TOKENS, true))
        .await
        .unwrap();
    let token = resume_token(&stream);
    let start_text = read_tokens(&mut stream, 10).await;
    proxy.set_mode("caller", mode).await;
    let mut stream = fixture
        .http
        .stream(second, resume_call(&token, 10))
        .await
        .unwrap();
    let end_text = read_rest(&mut stream, 10).await;
    assert_eq!(
        start_text + &end_text,
        generate_text("a b", RESPONSE_TOKENS)
    );
    // The first gate may cancel the generation before the second one attaches to it.
    let runs = engine_stats(&fixture, &engine).await.runs;
    assert!(runs <= max_runs, "{runs}");
}

#[rstest]
#[case::with_text(true)]
#[case::without_text(false)]
#[tokio::test]
async fn test_resume_after_gate_and_engine_died(#[case] with_text: bool) {
    let (mut fixture, first, second, mut engine) = start_two_gates().await;
    let mut stream = fixture
        .http
        .stream(first, request("a b", RESPONSE_TOKENS, true))
        .await
        .unwrap();
    let token = resume_token(&stream);
    let start_text = read_tokens(&mut stream, 10).await;
    fixture.gates[0].kill();
    engine.kill();
    let other = Process::lab("engine", SLOW_ENGINE);
    fixture.add_endpoint("tutor", "e2", other.http()).await;
    let mut body = json!({"prompt": "a b", "max_tokens": RESPONSE_TOKENS, "stream": true});
    if with_text {
        body["resume_text"] = json!(start_text);
    }
    let call = resume_call(&token, 10).json(&body);
    if with_text {
        let mut stream = fixture.http.stream(second, call).await.unwrap();
        let end_text = read_rest(&mut stream, 10).await;
        assert_eq!(
            start_text + &end_text,
            generate_text("a b", RESPONSE_TOKENS)
        );
    } else {
        let response = fixture.http.send(second, call).await.unwrap();
        assert!(
            response.text().contains("resume_text"),
            "{}",
            response.text()
        );
        assert_eq!(
            engine_stats(&fixture, &other).await.runs,
            0,
            "the engine must not generate without the text"
        );
    }
}

#[tokio::test]
async fn test_resume_token_is_bound_to_customer_and_request() {
    let (fixture, first, second, _engine) = start_two_gates().await;
    let mut stream = fixture
        .http
        .stream(first, request("a b", RESPONSE_TOKENS, true))
        .await
        .unwrap();
    let token = resume_token(&stream);
    read_tokens(&mut stream, 1).await;
    let mut invalid_token = token.clone();
    invalid_token.insert(9, 'x');
    let other_customer = resume_call(&token, 1).bearer(OTHER_TOKEN);
    let other_request = request("c d", RESPONSE_TOKENS, true).header("x-resume-token", &token);
    let invalid_position = request("a b", RESPONSE_TOKENS, true)
        .header("x-resume-token", &token)
        .header("last-event-id", "seven");
    for (call, status) in [
        (resume_call(&invalid_token, 1), 400),
        (other_customer, 403),
        (other_request, 400),
        (invalid_position, 400),
    ] {
        let response = fixture.http.send(second, call).await.unwrap();
        assert_eq!(response.status, status, "{}", response.text());
        assert_eq!(response.json()["outcome"], "not_run");
    }
}

#[rstest]
#[case::engine_kept(false)]
#[case::engine_killed(true)]
#[tokio::test]
async fn test_resume_stream_is_handed_over_on_notice(#[case] kill_engine: bool) {
    let (fixture, first, second, mut engine) = start_two_gates().await;
    let mut stream = fixture
        .http
        .stream(first, request("a b", RESPONSE_TOKENS, true))
        .await
        .unwrap();
    let start_text = read_tokens(&mut stream, 10).await;
    fixture.reclaim_all(
        if kill_engine { &["e1"] } else { &[] },
        &[0],
        Duration::from_millis(900),
    );
    let (middle_text, position, handover) = read_to_handover(&mut stream, 10).await;
    assert_eq!(handover["last_event_id"], position);
    assert_eq!(location_address(&handover["location"]), second);
    let other = Process::lab("engine", SLOW_ENGINE);
    fixture.add_endpoint("tutor", "e2", other.http()).await;
    if kill_engine {
        engine.kill();
    }
    let token = handover["resume_token"].as_str().unwrap();
    let mut stream = fixture
        .http
        .stream(second, resume_call(token, position))
        .await
        .unwrap();
    let end_text = read_rest(&mut stream, position).await;
    assert_eq!(
        start_text + &middle_text + &end_text,
        generate_text("a b", RESPONSE_TOKENS)
    );
    assert_eq!(fixture.counts(0).await.handed_over, 1);
    let runs = engine_stats(&fixture, &other).await.runs;
    assert_eq!(
        runs,
        u64::from(kill_engine),
        "only a lost generation must run again"
    );
}

#[tokio::test]
async fn test_resume_when_the_gate_dies_halfway_through_the_handover() {
    // All streams run at once, and none is dropped before it is resumed.
    let settings = [SLOW_ENGINE, &["slots=32", "grace_ms=20_000"]].concat();
    let (mut fixture, first, second, engine) = start_two_gates_with(&settings).await;
    let mut streams = Vec::new();
    for _ in 0..20 {
        let opened = fixture
            .http
            .stream(first, request("a b", RESPONSE_TOKENS, true))
            .await;
        let mut stream = opened.unwrap();
        let token = resume_token(&stream);
        let start_text = read_tokens(&mut stream, 1).await;
        streams.push((stream, token, start_text));
    }
    fixture.reclaim_gate(0, Duration::from_millis(800));
    wait_until("the handover has started", TIMEOUT, async || {
        fixture.counts(0).await.handed_over > 0
    })
    .await;
    fixture.gates[0].kill();
    for (mut stream, token, mut text) in streams {
        let mut position = 1;
        while let Some(event) = stream.next(Duration::from_secs(1)).await {
            if !event.id.is_empty() {
                position += 1;
                assert_eq!(event.id, position.to_string());
                text.push_str(&event.text());
            }
        }
        let mut stream = fixture
            .http
            .stream(second, resume_call(&token, position))
            .await
            .unwrap();
        text.push_str(&read_rest(&mut stream, position).await);
        assert_eq!(text, generate_text("a b", RESPONSE_TOKENS));
    }
    assert_eq!(engine_stats(&fixture, &engine).await.runs, 20);
}

#[tokio::test]
async fn test_resume_non_streaming_request_is_redirected_and_not_run_again() {
    let (fixture, first, second, engine) = start_two_gates().await;
    let http = fixture.http.clone();
    let call = request("a b", RESPONSE_TOKENS, false);
    let pending = tokio::spawn(async move { http.send(first, call).await.unwrap() });
    wait_until("the engine generates", TIMEOUT, async || {
        engine_stats(&fixture, &engine).await.generated > 10
    })
    .await;
    fixture.reclaim_gate(0, Duration::from_millis(600));
    let response = pending.await.unwrap();
    assert_eq!(response.status, 307, "{}", response.text());
    let location = response.header("location").to_owned();
    assert_eq!(location_address(&json!(location)), second);
    let path = &location[location.find("/tutor").unwrap()..];
    let body = json!({"prompt": "a b", "max_tokens": RESPONSE_TOKENS, "stream": false});
    let call = Call::post(path, &body).bearer(TOKEN);
    let response = fixture.http.send(second, call).await.unwrap();
    assert_eq!(
        response.json()["choices"][0]["text"],
        generate_text("a b", RESPONSE_TOKENS)
    );
    assert_eq!(engine_stats(&fixture, &engine).await.runs, 1);
}

#[tokio::test]
async fn test_resume_gate_under_notice_redirects_new_requests() {
    let (mut fixture, first, _second, engine) = start_two_gates().await;
    let third = fixture.add_gate("d1").await;
    let endpoint = Process::lab("plain", &["run_ms=800"]);
    fixture.add_endpoint("booking", "p1", endpoint.http()).await;
    let pending = book_until_running(&fixture, first, &endpoint).await;
    fixture.reclaim_gate(0, Duration::from_secs(5));
    wait_until("the gate redirects", TIMEOUT, async || {
        let call = Call::new(Method::GET, "/booking/stock?x=1").bearer(TOKEN);
        let response = fixture.http.send(first, call).await.unwrap();
        let location = response.header("location");
        assert!(
            !location.contains(&third.to_string()),
            "a gate in another failure domain takes precedence"
        );
        response.status == 307 && location.ends_with("/booking/stock?x=1")
    })
    .await;
    let response = fixture
        .http
        .send(first, request("a b", 5, true))
        .await
        .unwrap();
    assert_eq!(response.status, 307);
    assert_eq!(response.header("connection"), "close");
    assert_eq!(engine_stats(&fixture, &engine).await.runs, 0);
    let booking = pending.await.unwrap();
    assert_eq!(booking.status, 200, "{}", booking.text());
}

#[tokio::test]
async fn test_resume_graceful_shutdown_finishes_requests_in_progress() {
    let (mut fixture, first, _second, _engine) = start_two_gates().await;
    let endpoint = Process::lab("plain", &["run_ms=1500"]);
    fixture.add_endpoint("booking", "p1", endpoint.http()).await;
    let mut streams = Vec::new();
    for _ in 0..5 {
        let opened = fixture.http.stream(first, request("a b", 400, true)).await;
        streams.push(opened.unwrap());
    }
    let pending = book_until_running(&fixture, first, &endpoint).await;
    fixture.gates[0].terminate();
    wait_until("the gate closes connections", TIMEOUT, async || {
        let call = Call::new(Method::GET, "/booking/stock").bearer(TOKEN);
        let response = fixture.http.send(first, call).await;
        response.is_ok_and(|r| r.header("connection") == "close")
    })
    .await;
    let booking = pending.await.unwrap();
    assert_eq!(booking.status, 200, "{}", booking.text());
    for mut stream in streams {
        assert_eq!(read_rest(&mut stream, 0).await, generate_text("a b", 400));
    }
    let status = fixture.gates[0].wait_exit(TIMEOUT).await;
    assert!(status.is_some_and(|s| s.success()), "{status:?}");
}

#[tokio::test]
async fn test_resume_stop_hands_over_what_outlasts_the_drain_limit() {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", SLOW_ENGINE);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    // The gate reserves the last 5 s of the drain limit for the handover, which therefore starts
    // 500 ms after the linger period. Both settings are in milliseconds.
    let first = fixture
        .add_gate_with("d1", "drain = 5500\nlinger = 100")
        .await;
    let second = fixture.add_gate("d2").await;
    let mut stream = fixture
        .http
        .stream(first, request("a b", 1000, true))
        .await
        .unwrap();
    let start_text = read_tokens(&mut stream, 1).await;
    fixture.gates[0].terminate();
    let (middle_text, position, handover) = read_to_handover(&mut stream, 1).await;
    let token = handover["resume_token"].as_str().unwrap();
    let call = request("a b", 1000, true)
        .header("x-resume-token", token)
        .header("last-event-id", &position.to_string());
    let mut stream = fixture.http.stream(second, call).await.unwrap();
    let end_text = read_rest(&mut stream, position).await;
    assert_eq!(
        start_text + &middle_text + &end_text,
        generate_text("a b", 1000)
    );
}
