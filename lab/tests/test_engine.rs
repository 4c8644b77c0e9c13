//! Tests of the model-engine stand-in.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::CacheReply;
use hawthornrack_lab::EngineSettings;
use hawthornrack_lab::EngineStats;
use hawthornrack_lab::WeightSettings;
use hawthornrack_lab::WeightStats;
use hawthornrack_lab::generate_text;
use hawthornrack_lab::run_engine;
use hawthornrack_lab::run_weights;
use hawthornrack_lib::ATTEMPT_HEADER;
use hawthornrack_lib::CompletionChunk;
use hawthornrack_lib::KvHandle;
use hawthornrack_lib::KvStream;
use hawthornrack_lib::LoadReport;
use hawthornrack_lib::Order;
use hawthornrack_lib::STREAM_HEADER;
use hawthornrack_lib::SendError;
use hawthornrack_lib::Timestamp;
use hyper::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use self::testutils::Server;
use self::testutils::Streamed;
use self::testutils::read_events;
use self::testutils::start;
use self::testutils::streamed;
use self::testutils::wait_until;

const PATH: &str = "/v1/completions";
const PROMPT: &str = "one two three";

async fn engine(settings: EngineSettings) -> Server {
    start(|listener, stop| run_engine(settings, listener, stop)).await
}

fn whole(text: &str, last: u32) -> Streamed {
    Streamed {
        text: text.to_owned(),
        last,
        whole: true,
    }
}

#[tokio::test]
async fn test_engine_continues_identically_on_another_engine() {
    let one = engine(EngineSettings::default()).await;
    let two = engine(EngineSettings::default()).await;
    let expected = generate_text(PROMPT, 20);
    let answer = one
        .try_send(Method::POST, PATH, &streamed(PROMPT, 20))
        .await;
    let cut = read_events(answer.unwrap(), 8).await;
    assert_eq!((cut.last, cut.whole), (8, false));
    let prompt = format!("{PROMPT}{}", cut.text);
    let answer = two
        .try_send(Method::POST, PATH, &streamed(&prompt, 12))
        .await;
    let rest = read_events(answer.unwrap(), u32::MAX).await;
    assert_eq!(rest, whole(&expected[cut.text.len()..], 12));
}

#[tokio::test]
async fn test_engine_stream_goes_on_after_disconnect_and_resumes() {
    let engine = engine(EngineSettings::default()).await;
    let answer = engine
        .try_send(Method::POST, PATH, &streamed(PROMPT, 20))
        .await
        .unwrap();
    let stream = answer.headers()[STREAM_HEADER].to_str().unwrap().to_owned();
    assert_eq!(answer.headers()[ATTEMPT_HEADER], "attempt-1");
    let cut = read_events(answer, 3).await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    let path = format!("/v1/streams/{stream}?from={}", cut.last);
    let answer = engine.try_send(Method::GET, &path, &()).await;
    let rest = read_events(answer.unwrap(), u32::MAX).await;
    let expected = generate_text(PROMPT, 20);
    assert_eq!(rest, whole(&expected[cut.text.len()..], 20));
    let stats: EngineStats = engine.get("/stats").await.unwrap();
    assert_eq!((stats.runs, stats.generated), (1, 20));
}

#[tokio::test]
async fn test_engine_drops_a_stream_after_the_grace_period() {
    let settings = EngineSettings {
        grace_ms: 50,
        ..EngineSettings::default()
    };
    let engine = engine(settings).await;
    let answer = engine
        .try_send(Method::POST, PATH, &streamed(PROMPT, 400))
        .await;
    let cut = read_events(answer.unwrap(), 3).await;
    assert!(!cut.whole);
    let stats = async || engine.get::<EngineStats>("/stats").await.unwrap();
    wait_until(async || stats().await.cancelled == 1).await;
    assert!(stats().await.generated < 400);
}

#[tokio::test]
async fn test_engine_moves_its_cache_to_another_engine() {
    let one = engine(EngineSettings::default()).await;
    let two = engine(EngineSettings::default()).await;
    let answer = one
        .try_send(Method::POST, PATH, &streamed(PROMPT, 40))
        .await
        .unwrap();
    let stream = answer.headers()[STREAM_HEADER].to_str().unwrap().to_owned();
    let cut = read_events(answer, 4).await;
    let export = json!({"stream": stream});
    let handle: KvHandle = one.post("/v1/kv/export", &export).await.unwrap();
    assert!(handle.tokens >= 7 && handle.bytes > 0, "{handle:?}");
    let import = json!({"source": one.address, "handle": handle.handle});
    let moved: KvStream = two.post("/v1/kv/import", &import).await.unwrap();
    let path = format!("/v1/streams/{}?from={}", moved.stream, cut.last);
    let answer = two.try_send(Method::GET, &path, &()).await;
    let rest = read_events(answer.unwrap(), u32::MAX).await;
    let expected = generate_text(PROMPT, 40);
    assert_eq!(rest, whole(&expected[cut.text.len()..], 40));
    let computed = two.get::<EngineStats>("/stats").await.unwrap().computed;
    assert_eq!(computed, 0);
}

#[rstest]
#[case::fenced(true, 409, "v3")]
#[case::unfenced(false, 200, "v2")]
#[tokio::test]
async fn test_engine_order_with_an_old_epoch(
    #[case] fenced: bool,
    #[case] status: u16,
    #[case] version: &str,
) {
    let settings = EngineSettings {
        fenced,
        load_ms: 500,
        ..EngineSettings::default()
    };
    let engine = engine(settings).await;
    let order = |epoch: u64, version: &str| json!({"epoch": epoch, "version": version, "model": "m", "role": "serve"});
    let first = engine
        .try_send(Method::POST, "/orders", &order(9, "v3"))
        .await;
    assert_eq!(first.unwrap().status(), 200);
    let second = engine
        .try_send(Method::POST, "/orders", &order(8, "v2"))
        .await;
    assert_eq!(second.unwrap().status(), status);
    let force: Order = engine.get("/orders").await.unwrap();
    assert_eq!(force.version.as_str(), version);
    let loading = engine.post::<Value>(PATH, &streamed(PROMPT, 1)).await;
    assert!(
        matches!(loading, Err(SendError::Status(503, _))),
        "{loading:?}"
    );
    let stats = async || engine.get::<EngineStats>("/stats").await.unwrap();
    wait_until(async || stats().await.version == version).await;
    assert_eq!(stats().await.orders.len(), 2);
}

#[tokio::test]
async fn test_engine_caches_prefixes() {
    let engine = engine(EngineSettings::default()).await;
    let prompt = generate_text("seed", 40);
    let mut request = streamed(&prompt, 2);
    request.stream = false;
    let first: CompletionChunk = engine.post(PATH, &request).await.unwrap();
    let second: CompletionChunk = engine.post(PATH, &request).await.unwrap();
    assert_eq!(first.usage.unwrap().cached_tokens, 0);
    assert_eq!(second.usage.unwrap().cached_tokens, 32);
    assert_eq!(first.choices, second.choices);
}

#[tokio::test]
async fn test_engine_runs_interactive_requests_before_deferred_ones() {
    let settings = EngineSettings {
        slots: 1,
        ..EngineSettings::default()
    };
    let engine = engine(settings).await;
    let send = async |priority: &str, delay: u64| {
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let request = streamed(priority, 60);
        let mut request =
            hawthornrack_lib::json_request(engine.address, Method::POST, PATH, Some(&request))
                .unwrap();
        let value = priority.parse().unwrap();
        request
            .headers_mut()
            .insert(hawthornrack_lib::PRIORITY_HEADER, value);
        let sent = engine
            .client
            .send(engine.address, request, hawthornrack_lib::Reuse::Never);
        let (answer, _lent) = sent.await.unwrap();
        assert!(read_events(answer, u32::MAX).await.whole);
        tokio::time::Instant::now()
    };
    let (_, deferred, interactive) = tokio::join!(
        send("interactive", 0),
        send("deferred", 10),
        send("interactive", 20)
    );
    assert!(interactive < deferred);
}

#[tokio::test]
async fn test_engine_faults_show_on_the_chosen_requests_only() {
    let engine = engine(EngineSettings::default()).await;
    engine
        .control(&json!({"faults": {"failure_rate": 1.0, "bad_path": "/bad"}}))
        .await;
    let good = engine
        .try_send(Method::POST, PATH, &streamed(PROMPT, 1))
        .await
        .unwrap();
    let bad = engine
        .try_send(Method::POST, "/bad/route", &streamed(PROMPT, 1))
        .await
        .unwrap();
    assert_eq!((good.status().as_u16(), bad.status().as_u16()), (200, 500));
    assert_eq!(bad.headers()[ATTEMPT_HEADER], "attempt-1");
    engine
        .control(&json!({"faults": {"failure_rate": 0.0, "crossed": 1}}))
        .await;
    let crossed = engine
        .try_send(Method::POST, PATH, &streamed(PROMPT, 1))
        .await
        .unwrap();
    assert_eq!(crossed.headers()[ATTEMPT_HEADER], "1-tpmetta");
    engine
        .control(&json!({"faults": {"crash_marker": "boom"}}))
        .await;
    let crash = engine
        .try_send(Method::POST, PATH, &streamed("boom", 1))
        .await;
    assert!(matches!(crash, Err(SendError::MaybeSent(_))), "{crash:?}");
    let after = engine
        .try_send(Method::POST, PATH, &streamed(PROMPT, 1))
        .await;
    assert!(matches!(after, Err(SendError::Connect(_))), "{after:?}");
}

#[tokio::test]
async fn test_engine_failing_stream_breaks_off_without_its_end() {
    let engine = engine(EngineSettings::default()).await;
    let faults = json!({"faults": {"failure_rate": 1.0, "fail_after": 4}});
    engine.control(&faults).await;
    let answer = engine
        .try_send(Method::POST, PATH, &streamed(PROMPT, 20))
        .await;
    let broken = read_events(answer.unwrap(), u32::MAX).await;
    assert_eq!((broken.last, broken.whole), (4, false));
    assert_eq!(broken.text, generate_text(PROMPT, 4));
}

#[tokio::test]
async fn test_engine_cancelled_stream_stops_generating() {
    let engine = engine(EngineSettings::default()).await;
    let answer = engine
        .try_send(Method::POST, PATH, &streamed(PROMPT, 4000))
        .await
        .unwrap();
    let path = format!(
        "/v1/streams/{}",
        answer.headers()[STREAM_HEADER].to_str().unwrap()
    );
    engine.send(Method::DELETE, &path, &()).await;
    assert!(!read_events(answer, u32::MAX).await.whole);
    let stats: EngineStats = engine.get("/stats").await.unwrap();
    assert_eq!(stats.cancelled, 1);
    assert!(stats.generated < 4000);
}

#[tokio::test]
async fn test_engine_load_report_lags() {
    let settings = EngineSettings {
        load_lag_ms: 500,
        ..EngineSettings::default()
    };
    let engine = engine(settings).await;
    let load = async || engine.get::<LoadReport>("/load").await.unwrap();
    wait_until(async || load().await.at > Timestamp(0)).await;
    let answer = engine
        .try_send(Method::POST, PATH, &streamed(PROMPT, 4000))
        .await;
    let begun = Instant::now();
    wait_until(async || load().await.running == 1).await;
    // The reading that is shown may be older than the lag, never younger.
    assert!(
        begun.elapsed() >= Duration::from_millis(400),
        "{:?}",
        begun.elapsed()
    );
    drop(answer);
}

#[tokio::test]
async fn test_engine_cache_events_are_late_and_have_gaps() {
    let settings = EngineSettings {
        event_gap: 3,
        event_lag_ms: 100,
        cache_blocks: 4,
        ..EngineSettings::default()
    };
    let engine = engine(settings).await;
    let events = async || {
        engine
            .get::<CacheReply>("/cache/events?from=0")
            .await
            .unwrap()
            .events
    };
    for (seed, blocks) in [("one", 6), ("two", 2)] {
        let prompt = generate_text(seed, 16 * blocks);
        let answer = engine
            .try_send(Method::POST, PATH, &streamed(&prompt, 1))
            .await;
        assert!(read_events(answer.unwrap(), u32::MAX).await.whole);
    }
    wait_until(async || events().await.len() == 6).await;
    let seen = events().await;
    let numbers: Vec<u64> = seen.iter().map(|e| e.seq).collect();
    assert_eq!(numbers, [0, 1, 3, 4, 6, 7]);
    assert_eq!(seen.iter().filter(|e| !e.stored).count(), 2);
}

#[tokio::test]
async fn test_engine_loads_weights_from_the_limited_store() {
    let limited = WeightSettings {
        per_sec: 4.0,
        burst: 1.0,
        fetch_ms: 0,
        bytes: 8,
    };
    let store = start(|listener, stop| run_weights(limited, listener, stop)).await;
    store.send(Method::GET, "/weights/other", &()).await;
    let settings = EngineSettings {
        weights: Some(store.address),
        ..EngineSettings::default()
    };
    let engine = engine(settings).await;
    let order = json!({"epoch": 1, "version": "v2", "model": "m", "role": "serve"});
    engine.send(Method::POST, "/orders", &order).await;
    let stats = async || engine.get::<EngineStats>("/stats").await.unwrap();
    wait_until(async || stats().await.version == "v2").await;
    let fetched: WeightStats = store.get("/stats").await.unwrap();
    assert_eq!(fetched.fetches["m"], 1);
    assert!(fetched.limited >= 1, "{fetched:?}");
}
