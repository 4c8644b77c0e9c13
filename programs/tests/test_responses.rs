//! Process tests of responses: each is complete and belongs to its request, and a refusal states
//! the correct outcome. Also tests retries and requests that crash endpoints.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hawthornrack_lab::EngineStats;
use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lab::generate_text;
use hyper::Method;
use rstest::rstest;
use serde_json::json;

use self::testutils::Call;
use self::testutils::Process;
use self::testutils::Proxy;
use self::testutils::completions::read_rest;
use self::testutils::completions::request;
use self::testutils::gates::GateFixture;
use self::testutils::gates::OTHER_TOKEN;
use self::testutils::gates::TOKEN;

fn get(path: &str) -> Call {
    Call::new(Method::GET, path).bearer(TOKEN)
}

fn booking_request(number: u32) -> Call {
    Call::post("/booking/book", &json!({"boat": number})).bearer(TOKEN)
}

async fn stats(fixture: &GateFixture, endpoint: &Process) -> PlainStats {
    fixture.http.get(endpoint.http(), "/stats").await
}

#[tokio::test]
async fn test_responses_crossed_plain_response_is_dropped() {
    let mut fixture = GateFixture::start().await;
    let first = Process::lab("plain", &["faults.crossed=1"]);
    let second = Process::lab("plain", &["faults.crossed=1"]);
    fixture.add_endpoint("booking", "p1", first.http()).await;
    fixture.add_endpoint("booking", "p2", second.http()).await;
    let third = Process::lab("plain", &[]);
    let gate = fixture.add_gate("d1").await;
    fixture.add_endpoint("booking", "p3", third.http()).await;
    for number in 0..5 {
        let path = format!("/booking/stock/{number}");
        let response = fixture.http.send(gate, get(&path)).await.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
        assert_eq!(response.json()["path"], format!("/stock/{number}"));
    }
    // Enough requests for both faulty endpoints to have sent their one mismatched response.
    for _ in 0..20 {
        fixture
            .http
            .send(gate, get("/booking/stock"))
            .await
            .unwrap();
    }
    assert_eq!(fixture.counts(0).await.mismatched, 2);
}

#[rstest]
#[case::streamed(true)]
#[case::not_streamed(false)]
#[tokio::test]
async fn test_responses_crossed_model_response_is_dropped(#[case] streamed: bool) {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", &["faults.crossed=1"]);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = fixture.add_gate("d1").await;
    let call = request("a b", 20, streamed);
    let text = if streamed {
        let mut stream = fixture.http.stream(gate, call).await.unwrap();
        read_rest(&mut stream, 0).await
    } else {
        let response = fixture.http.send(gate, call).await.unwrap();
        response.json()["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    assert_eq!(text, generate_text("a b", 20));
    assert_eq!(fixture.counts(0).await.mismatched, 1);
}

#[tokio::test]
async fn test_responses_retry_replaces_late_response() {
    let mut fixture = GateFixture::start().await;
    let faults = &["faults.late=1", "faults.late_ms=1500"];
    let endpoint = Process::lab("plain", faults);
    fixture.add_endpoint("booking", "p1", endpoint.http()).await;
    // The progress timeout is in milliseconds.
    let gate = fixture.add_gate_with("d1", "progress = 300").await;
    let other = Process::lab("plain", &[]);
    fixture.add_endpoint("booking", "p2", other.http()).await;
    let mut late = 0;
    for number in 0..30 {
        let path = format!("/booking/quick/{number}");
        let started = Instant::now();
        let response = fixture.http.send(gate, get(&path)).await.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
        assert_eq!(response.json()["path"], format!("/quick/{number}"));
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "response exceeded the timeout of the route"
        );
        late += u32::from(started.elapsed() > Duration::from_millis(300));
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let response = fixture
        .http
        .send(gate, get("/booking/quick/last"))
        .await
        .unwrap();
    assert_eq!(
        response.json()["path"],
        "/quick/last",
        "the late response is delivered to no caller"
    );
    assert_eq!((late, fixture.counts(0).await.retries), (1, 1));
}

#[tokio::test]
async fn test_responses_concurrent_streams_are_not_mixed_up() {
    let mut fixture = GateFixture::start().await;
    let engines = [
        Process::lab("engine", &["slots=64"]),
        Process::lab("engine", &["slots=64"]),
    ];
    let proxy = Proxy::start();
    for (number, engine) in engines.iter().enumerate() {
        let name = format!("e{number}");
        let address = proxy.add_link(&name, Some(engine.http())).await;
        fixture.add_endpoint("tutor", &name, address).await;
    }
    let gates = [fixture.add_gate("d1").await, fixture.add_gate("d2").await];
    let streams = (0..40).map(|number| {
        let http = fixture.http.clone();
        async move {
            let prompt = format!("prompt {number}");
            let call = request(&prompt, 80, true);
            let mut stream = http.stream(gates[number % 2], call).await.unwrap();
            assert_eq!(read_rest(&mut stream, 0).await, generate_text(&prompt, 80));
        }
    });
    let connection_cuts = async {
        for name in ["e0", "e1"] {
            tokio::time::sleep(Duration::from_millis(100)).await;
            proxy.set_mode(name, LinkMode::Cut).await;
        }
    };
    tokio::join!(join_all(streams), connection_cuts);
    let counts = [fixture.counts(0).await, fixture.counts(1).await];
    assert!(
        counts.iter().map(|c| c.resumed).sum::<u64>() > 0,
        "{counts:?}"
    );
}

#[rstest]
#[case::responses_lost(LinkMode::DropAnswers)]
#[case::requests_lost(LinkMode::DropRequests)]
#[case::refused(LinkMode::Refuse)]
#[case::silent(LinkMode::Freeze)]
#[tokio::test]
async fn test_responses_refusals_report_the_outcome_correctly(#[case] mode: LinkMode) {
    let mut fixture = GateFixture::start().await;
    let endpoint = Process::lab("plain", &[]);
    let proxy = Proxy::start();
    let address = proxy.add_link("plain", Some(endpoint.http())).await;
    fixture.add_endpoint("booking", "p1", address).await;
    // The progress timeout is in milliseconds.
    let gate = fixture.add_gate_with("d1", "progress = 300").await;
    assert_eq!(
        fixture
            .http
            .send(gate, booking_request(0))
            .await
            .unwrap()
            .status,
        200
    );
    proxy.set_mode("plain", mode).await;
    let calls = (1..6).map(|number| fixture.http.send(gate, booking_request(number)));
    let mut not_run_count = 0;
    for response in join_all(calls).await {
        let response = response.unwrap();
        assert!(response.status >= 500, "{}", response.text());
        not_run_count += u64::from(response.json()["outcome"] == "not_run");
        assert_ne!(response.json()["outcome"], "failed", "{}", response.text());
    }
    proxy.set_mode("plain", LinkMode::Pass).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let stats = stats(&fixture, &endpoint).await;
    // The first booking ran before the fault. Of the five sent during it, none both ran and was
    // refused as not run.
    assert!(
        stats.runs - 1 + not_run_count <= 5,
        "{not_run_count} responses with outcome not_run, {stats:?}"
    );
    let max_runs_per_body = stats.by_digest.values().copied().max();
    assert_eq!(max_runs_per_body, Some(1), "no booking ran twice");
}

#[tokio::test]
async fn test_responses_unreachable_endpoint_gives_not_run_with_retry_after() {
    let mut fixture = GateFixture::start().await;
    let mut endpoint = Process::lab("plain", &[]);
    fixture.add_endpoint("booking", "p1", endpoint.http()).await;
    let gate = fixture.add_gate("d1").await;
    endpoint.kill();
    let response = fixture.http.send(gate, booking_request(1)).await.unwrap();
    assert_eq!(response.status, 503, "{}", response.text());
    assert_eq!(response.json()["outcome"], "not_run");
    assert!(!response.header("retry-after").is_empty());
}

#[tokio::test]
async fn test_responses_unsent_booking_goes_to_another_endpoint() {
    let mut fixture = GateFixture::start().await;
    let mut stopped = Process::lab("plain", &[]);
    let live = Process::lab("plain", &[]);
    fixture.add_endpoint("booking", "p1", stopped.http()).await;
    fixture.add_endpoint("booking", "p2", live.http()).await;
    let gate = fixture.add_gate("d1").await;
    stopped.kill();
    for number in 0..10 {
        let response = fixture
            .http
            .send(gate, booking_request(number))
            .await
            .unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }
    assert_eq!(stats(&fixture, &live).await.runs, 10);
}

#[tokio::test]
async fn test_responses_refused_connections_do_not_consume_retries() {
    let mut fixture = GateFixture::start().await;
    let mut endpoints = Vec::new();
    for number in 0..4 {
        let endpoint = Process::lab("plain", &[]);
        fixture
            .add_endpoint("booking", &format!("p{number}"), endpoint.http())
            .await;
        endpoints.push(endpoint);
    }
    let gate = fixture.add_gate("d1").await;
    for stopped in &mut endpoints[..2] {
        stopped.kill();
    }
    // Sent concurrently, before a health probe can exclude the stopped endpoints from routing.
    let calls = (0..80).map(|number| {
        let call = Call::post("/booking/stock", &json!({"number": number})).bearer(TOKEN);
        fixture.http.send(gate, call)
    });
    for response in futures_util::future::join_all(calls).await {
        let response = response.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }
}

#[rstest]
#[case::model("tutor", "engine")]
#[case::plain("booking", "plain")]
#[tokio::test]
async fn test_responses_crashing_request_crashes_at_most_two_endpoints(
    #[case] service: &str,
    #[case] kind: &str,
) {
    let mut fixture = GateFixture::start().await;
    let mut endpoints = Vec::new();
    for number in 0..4 {
        let settings = &["faults.crash_marker='boom'", "faults.crash_exit=true"];
        let endpoint = Process::lab(kind, settings);
        fixture
            .add_endpoint(service, &format!("x{number}"), endpoint.http())
            .await;
        endpoints.push(endpoint);
    }
    let gate = fixture.add_gate("d1").await;
    let call = |prompt: &str, token: &str| {
        if service == "tutor" {
            request(prompt, 5, true).bearer(token)
        } else {
            Call::post("/booking/stock", &json!({"prompt": prompt})).bearer(token)
        }
    };
    for _ in 0..5 {
        let started = Instant::now();
        let response = fixture.http.send(gate, call("boom", TOKEN)).await.unwrap();
        assert_eq!(response.status, 502, "{}", response.text());
        let kind = "urn:hawthornrack:problem:crashing_request";
        assert_eq!(response.json()["type"], kind, "{}", response.text());
        assert!(!response.header("retry-after").is_empty());
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "the refusal is not delayed by retries"
        );
    }
    let mut down = 0;
    for endpoint in &mut endpoints {
        down += u32::from(!endpoint.is_running());
    }
    assert_eq!(down, 2);
    for _ in 0..10 {
        let response = fixture
            .http
            .send(gate, call("fine", OTHER_TOKEN))
            .await
            .unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }
}

#[tokio::test]
async fn test_responses_busy_engine_is_skipped() {
    let mut fixture = GateFixture::start().await;
    // With no room for waiting requests, the engine refuses every request with status 429.
    let busy = Process::lab("engine", &["max_waiting=0"]);
    let free = Process::lab("engine", &[]);
    fixture.add_endpoint("tutor", "e1", busy.http()).await;
    fixture.add_endpoint("tutor", "e2", free.http()).await;
    let gate = fixture.add_gate("d1").await;
    for number in 0..10 {
        let call = request(&format!("p{number}"), 3, false);
        let response = fixture.http.send(gate, call).await.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }
    let stats: EngineStats = fixture.http.get(free.http(), "/stats").await;
    assert_eq!(stats.runs, 10);
}
