//! Process tests of model requests at a gate: streams whose endpoint is reclaimed or lost, callers
//! that disconnect, and heartbeats.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::EngineStats;
use hawthornrack_lab::LinkMode;
use hawthornrack_lab::generate_text;
use rstest::rstest;

use self::testutils::Process;
use self::testutils::Proxy;
use self::testutils::TIMEOUT;
use self::testutils::completions::read_rest;
use self::testutils::completions::read_tokens;
use self::testutils::completions::request;
use self::testutils::gates::GateFixture;

/// Settings of an engine that takes 10 ms per token.
const SLOW_ENGINE: &[&str] = &["token_us=10_000"];

async fn stats(fixture: &GateFixture, engine: &Process) -> EngineStats {
    fixture.http.get(engine.http(), "/stats").await
}

#[tokio::test]
async fn test_reclaim_gate_forwards_the_complete_stream() {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", &[]);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = fixture.add_gate("d1").await;
    let mut stream = fixture
        .http
        .stream(gate, request("a b", 20, true))
        .await
        .unwrap();
    assert_eq!(stream.status, 200);
    assert!(stream.headers.contains_key("x-resume-token"));
    let first = stream.next(TIMEOUT).await.unwrap();
    assert_eq!(first.event, "resume");
    assert_eq!(read_rest(&mut stream, 0).await, generate_text("a b", 20));
    let response = fixture
        .http
        .send(gate, request("a b", 20, false))
        .await
        .unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(
        response.json()["choices"][0]["text"],
        generate_text("a b", 20)
    );
    assert_eq!(response.json()["usage"]["completion_tokens"], 20);
}

#[rstest]
#[case::cut(LinkMode::Cut)]
#[case::silent(LinkMode::FreezeExisting)]
#[tokio::test]
async fn test_reclaim_stream_is_resumed_on_its_engine_after_a_lost_connection(
    #[case] mode: LinkMode,
) {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", SLOW_ENGINE);
    let proxy = Proxy::start();
    let address = proxy.add_link("engine", Some(engine.http())).await;
    fixture.add_endpoint("tutor", "e1", address).await;
    // A stream on which no event arrives for 500 ms counts as lost.
    let gate = fixture.add_gate_with("d1", "progress = 500").await;
    let mut stream = fixture
        .http
        .stream(gate, request("a b", 120, true))
        .await
        .unwrap();
    let head = read_tokens(&mut stream, 10).await;
    proxy.set_mode("engine", mode).await;
    let rest = read_rest(&mut stream, 10).await;
    assert_eq!(head + &rest, generate_text("a b", 120));
    assert_eq!(
        stats(&fixture, &engine).await.runs,
        1,
        "the request is not run again"
    );
    assert_eq!(fixture.counts(0).await.resumed, 1);
}

#[rstest]
#[case::streamed(true)]
#[case::not_streamed(false)]
#[tokio::test]
async fn test_reclaim_stream_of_killed_engine_continues_on_another(#[case] streamed: bool) {
    let mut fixture = GateFixture::start().await;
    let mut engine = Process::lab("engine", SLOW_ENGINE);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = fixture.add_gate("d1").await;
    let http = fixture.http.clone();
    let other = Process::lab("engine", SLOW_ENGINE);
    let call = request("a b", 200, streamed);
    let reader = tokio::spawn(async move {
        if !streamed {
            let response = http.send(gate, call).await.unwrap();
            return response.json()["choices"][0]["text"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
        }
        let mut stream = http.stream(gate, call).await.unwrap();
        read_rest(&mut stream, 0).await
    });
    testutils::wait_until(
        "the engine has generated some tokens",
        TIMEOUT,
        async || stats(&fixture, &engine).await.generated > 10,
    )
    .await;
    fixture.add_endpoint("tutor", "e2", other.http()).await;
    engine.kill();
    assert_eq!(reader.await.unwrap(), generate_text("a b", 200));
    let counts = fixture.counts(0).await;
    assert_eq!(counts.continued, 1);
    assert!(counts.recomputed > 10, "{counts:?}");
    assert_eq!(stats(&fixture, &other).await.runs, 1);
}

/// Guards against lost or repeated tokens after a reclaim notice. The stream finishes on its engine
/// if the time until the reclaim suffices; otherwise its KV cache is moved. If the time does not
/// suffice for that either, another engine resumes from the text so far.
#[rstest]
#[case::finishes(30, 60_000, "Finish")]
#[case::moves_cache(400, 3_000, "MoveCache")]
#[case::resumes(400, 120, "Resume")]
#[tokio::test]
async fn test_reclaim_notice_of_an_endpoint(
    #[case] tokens: u32,
    #[case] notice_ms: u64,
    #[case] plan: &str,
) {
    let mut fixture = GateFixture::start().await;
    let mut engine = Process::lab("engine", SLOW_ENGINE);
    let other = Process::lab("engine", &["token_us=2_000"]);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = fixture.add_gate("d1").await;
    let mut stream = fixture
        .http
        .stream(gate, request("a b", tokens, true))
        .await
        .unwrap();
    let head = read_tokens(&mut stream, 10).await;
    fixture.add_endpoint("tutor", "e2", other.http()).await;
    let notice = Duration::from_millis(notice_ms);
    fixture.reclaim_endpoint("e1", notice);
    let shutdown = async {
        if plan != "Finish" {
            tokio::time::sleep(notice).await;
            engine.kill();
        }
    };
    let (rest, ()) = tokio::join!(read_rest(&mut stream, 10), shutdown);
    assert_eq!(head + &rest, generate_text("a b", tokens));
    let counts = fixture.counts(0).await;
    let other = stats(&fixture, &other).await;
    match plan {
        "Finish" => assert_eq!(
            (counts.cache_transfers, counts.continued, other.runs),
            (0, 0, 0)
        ),
        "MoveCache" => assert_eq!(
            (counts.cache_transfers, counts.recomputed, other.imported),
            (1, 0, 1)
        ),
        _ => assert_eq!(
            (counts.cache_transfers, counts.continued, other.runs),
            (0, 1, 1)
        ),
    }
}

#[tokio::test]
async fn test_reclaim_leaving_endpoint_gets_no_new_work() {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", &[]);
    let other = Process::lab("engine", &[]);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    fixture.add_endpoint("tutor", "e2", other.http()).await;
    let gate = fixture.add_gate("d1").await;
    fixture.reclaim_endpoint("e1", Duration::from_mins(1));
    // Allows time for the gate to receive the notice.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = stats(&fixture, &engine).await.runs;
    for number in 0..20 {
        let call = request(&format!("p{number}"), 2, false);
        assert_eq!(fixture.http.send(gate, call).await.unwrap().status, 200);
    }
    assert_eq!(stats(&fixture, &engine).await.runs, before);
    assert_eq!(stats(&fixture, &other).await.runs, 20);
}

#[tokio::test]
async fn test_reclaim_caller_disconnect_cancels_the_run() {
    let mut fixture = GateFixture::start().await;
    // The grace period exceeds the wait below, so that only an explicit cancellation can end the
    // run in time.
    let engine = Process::lab("engine", &["token_us=10_000", "grace_ms=20_000"]);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = fixture.add_gate("d1").await;
    let mut stream = fixture
        .http
        .stream(gate, request("a b", 2000, true))
        .await
        .unwrap();
    read_tokens(&mut stream, 3).await;
    drop(stream);
    testutils::wait_until("the run is cancelled", Duration::from_secs(5), async || {
        stats(&fixture, &engine).await.cancelled == 1
    })
    .await;
}

#[tokio::test]
async fn test_reclaim_heartbeats_while_silent() {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", &["token_us=1_600_000"]);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = fixture.add_gate("d1").await;
    let call = request("a b", 2, true);
    let response = fixture.http.send(gate, call).await.unwrap();
    assert!(
        response.text().contains(": heartbeat\n\n"),
        "{}",
        response.text()
    );
}
