//! Tests of the stand-in for a model engine.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::CacheEventsResponse;
use hawthornrack_lab::EngineSettings;
use hawthornrack_lab::EngineStats;
use hawthornrack_lab::WeightSettings;
use hawthornrack_lab::WeightStats;
use hawthornrack_lab::generate_text;
use hawthornrack_lab::run_engine;
use hawthornrack_lab::run_weight_store;
use hawthornrack_lib::ATTEMPT_ID_HEADER;
use hawthornrack_lib::CompletionChunk;
use hawthornrack_lib::KvHandle;
use hawthornrack_lib::KvStream;
use hawthornrack_lib::LoadReport;
use hawthornrack_lib::Order;
use hawthornrack_lib::STREAM_ID_HEADER;
use hawthornrack_lib::SendError;
use hawthornrack_lib::Timestamp;
use hyper::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use self::testutils::Server;
use self::testutils::StreamContent;
use self::testutils::read_events;
use self::testutils::start;
use self::testutils::stream_request;
use self::testutils::wait_until;

const PATH: &str = "/v1/completions";
const PROMPT: &str = "one two three";

async fn start_engine(settings: EngineSettings) -> Server {
    start(|listener, stop| run_engine(settings, listener, stop)).await
}

fn complete(text: &str, last: u32) -> StreamContent {
    StreamContent {
        text: text.to_owned(),
        last_event_id: last,
        is_complete: true,
    }
}

#[tokio::test]
async fn test_engine_continues_identically_on_another_engine() {
    let source = start_engine(EngineSettings::default()).await;
    let target = start_engine(EngineSettings::default()).await;
    let expected = generate_text(PROMPT, 20);
    let response = source
        .try_send(Method::POST, PATH, &stream_request(PROMPT, 20))
        .await;
    let partial = read_events(response.unwrap(), 8).await;
    assert_eq!((partial.last_event_id, partial.is_complete), (8, false));
    let prompt = format!("{PROMPT}{}", partial.text);
    let response = target
        .try_send(Method::POST, PATH, &stream_request(&prompt, 12))
        .await;
    let remaining = read_events(response.unwrap(), u32::MAX).await;
    assert_eq!(remaining, complete(&expected[partial.text.len()..], 12));
}

#[tokio::test]
async fn test_engine_stream_goes_on_after_disconnect_and_resumes() {
    let engine = start_engine(EngineSettings::default()).await;
    let response = engine
        .try_send(Method::POST, PATH, &stream_request(PROMPT, 20))
        .await
        .unwrap();
    let stream = response.headers()[STREAM_ID_HEADER]
        .to_str()
        .unwrap()
        .to_owned();
    assert_eq!(response.headers()[ATTEMPT_ID_HEADER], "attempt-1");
    let partial = read_events(response, 3).await;
    // Lets the engine generate tokens while the stream has no reader.
    tokio::time::sleep(Duration::from_millis(60)).await;
    let path = format!("/v1/streams/{stream}?from={}", partial.last_event_id);
    let response = engine.try_send(Method::GET, &path, &()).await;
    let remaining = read_events(response.unwrap(), u32::MAX).await;
    let expected = generate_text(PROMPT, 20);
    assert_eq!(remaining, complete(&expected[partial.text.len()..], 20));
    let stats: EngineStats = engine.get("/stats").await.unwrap();
    assert_eq!((stats.runs, stats.generated), (1, 20));
}

#[tokio::test]
async fn test_engine_drops_a_stream_after_the_grace_period() {
    let settings = EngineSettings {
        grace_ms: 50,
        ..EngineSettings::default()
    };
    let engine = start_engine(settings).await;
    let response = engine
        .try_send(Method::POST, PATH, &stream_request(PROMPT, 400))
        .await;
    let partial = read_events(response.unwrap(), 3).await;
    assert!(!partial.is_complete);
    let stats = async || engine.get::<EngineStats>("/stats").await.unwrap();
    wait_until(async || stats().await.cancelled == 1).await;
    assert!(stats().await.generated < 400);
}

#[tokio::test]
async fn test_engine_moves_its_cache_to_another_engine() {
    let source = start_engine(EngineSettings::default()).await;
    let target = start_engine(EngineSettings::default()).await;
    let response = source
        .try_send(Method::POST, PATH, &stream_request(PROMPT, 40))
        .await
        .unwrap();
    let stream = response.headers()[STREAM_ID_HEADER]
        .to_str()
        .unwrap()
        .to_owned();
    let partial = read_events(response, 4).await;
    let export = json!({"stream": stream});
    let handle: KvHandle = source.post("/v1/kv/export", &export).await.unwrap();
    // At least the 3 tokens of the prompt and the 4 tokens that were read.
    assert!(handle.tokens >= 7 && handle.bytes > 0, "{handle:?}");
    let import = json!({"source": source.address, "handle": handle.handle});
    let moved: KvStream = target.post("/v1/kv/import", &import).await.unwrap();
    let path = format!(
        "/v1/streams/{}?from={}",
        moved.stream, partial.last_event_id
    );
    let response = target.try_send(Method::GET, &path, &()).await;
    let remaining = read_events(response.unwrap(), u32::MAX).await;
    let expected = generate_text(PROMPT, 40);
    assert_eq!(remaining, complete(&expected[partial.text.len()..], 40));
    let computed = target.get::<EngineStats>("/stats").await.unwrap().computed;
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
    let engine = start_engine(settings).await;
    let order = |epoch: u64, version: &str| {
        json!({
            "epoch": epoch, "version": version, "model": "m", "role": "serve"
        })
    };
    let first = engine
        .try_send(Method::POST, "/orders", &order(9, "v3"))
        .await;
    assert_eq!(first.unwrap().status(), 200);
    let second = engine
        .try_send(Method::POST, "/orders", &order(8, "v2"))
        .await;
    assert_eq!(second.unwrap().status(), status);
    let current: Order = engine.get("/orders").await.unwrap();
    assert_eq!(current.version.as_str(), version);
    let response = engine.post::<Value>(PATH, &stream_request(PROMPT, 1)).await;
    assert!(
        matches!(response, Err(SendError::Status(503, _))),
        "{response:?}"
    );
    let stats = async || engine.get::<EngineStats>("/stats").await.unwrap();
    wait_until(async || stats().await.version == version).await;
    assert_eq!(stats().await.orders.len(), 2);
}

#[tokio::test]
async fn test_engine_caches_prefixes() {
    let engine = start_engine(EngineSettings::default()).await;
    let prompt = generate_text("seed", 40);
    let mut request = stream_request(&prompt, 2);
    request.stream = false;
    let first: CompletionChunk = engine.post(PATH, &request).await.unwrap();
    let second: CompletionChunk = engine.post(PATH, &request).await.unwrap();
    assert_eq!(first.usage.unwrap().cached_tokens, 0);
    // The cache holds whole blocks of 16 tokens: 2 blocks of the 40 tokens.
    assert_eq!(second.usage.unwrap().cached_tokens, 32);
    assert_eq!(first.choices, second.choices);
}

#[tokio::test]
async fn test_engine_runs_interactive_requests_before_deferred_ones() {
    let settings = EngineSettings {
        slots: 1,
        ..EngineSettings::default()
    };
    let engine = start_engine(settings).await;
    let send = async |priority: &str, delay: u64| {
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let request = stream_request(priority, 60);
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
        let (response, _connection) = sent.await.unwrap();
        assert!(read_events(response, u32::MAX).await.is_complete);
        tokio::time::Instant::now()
    };
    let (_, deferred, interactive) = tokio::join!(
        send("interactive", 0),
        send("deferred", 10),
        send("interactive", 20)
    );
    assert!(interactive < deferred);
}

/// A failure hits only requests under `bad_path`, `crossed` changes the attempt identifier of a
/// response, and a prompt with the crash marker stops the engine.
#[tokio::test]
async fn test_engine_faults_show_on_the_chosen_requests_only() {
    let engine = start_engine(EngineSettings::default()).await;
    engine
        .change_settings(&json!({"faults": {"failure_rate": 1.0, "bad_path": "/bad"}}))
        .await;
    let good = engine
        .try_send(Method::POST, PATH, &stream_request(PROMPT, 1))
        .await
        .unwrap();
    let bad = engine
        .try_send(Method::POST, "/bad/route", &stream_request(PROMPT, 1))
        .await
        .unwrap();
    assert_eq!((good.status().as_u16(), bad.status().as_u16()), (200, 500));
    assert_eq!(bad.headers()[ATTEMPT_ID_HEADER], "attempt-1");
    engine
        .change_settings(&json!({"faults": {"failure_rate": 0.0, "crossed": 1}}))
        .await;
    let crossed = engine
        .try_send(Method::POST, PATH, &stream_request(PROMPT, 1))
        .await
        .unwrap();
    assert_eq!(crossed.headers()[ATTEMPT_ID_HEADER], "1-tpmetta");
    engine
        .change_settings(&json!({"faults": {"crash_marker": "boom"}}))
        .await;
    let crashed = engine
        .try_send(Method::POST, PATH, &stream_request("boom", 1))
        .await;
    assert!(
        matches!(crashed, Err(SendError::MaybeSent(_))),
        "{crashed:?}"
    );
    let after = engine
        .try_send(Method::POST, PATH, &stream_request(PROMPT, 1))
        .await;
    assert!(matches!(after, Err(SendError::Connect(_))), "{after:?}");
}

#[tokio::test]
async fn test_engine_failing_stream_breaks_off_without_its_end() {
    let engine = start_engine(EngineSettings::default()).await;
    let faults = json!({"faults": {"failure_rate": 1.0, "fail_after": 4}});
    engine.change_settings(&faults).await;
    let response = engine
        .try_send(Method::POST, PATH, &stream_request(PROMPT, 20))
        .await;
    let broken = read_events(response.unwrap(), u32::MAX).await;
    assert_eq!((broken.last_event_id, broken.is_complete), (4, false));
    assert_eq!(broken.text, generate_text(PROMPT, 4));
}

#[tokio::test]
async fn test_engine_cancelled_stream_stops_generating() {
    let engine = start_engine(EngineSettings::default()).await;
    let response = engine
        .try_send(Method::POST, PATH, &stream_request(PROMPT, 4000))
        .await
        .unwrap();
    let path = format!(
        "/v1/streams/{}",
        response.headers()[STREAM_ID_HEADER].to_str().unwrap()
    );
    engine.send(Method::DELETE, &path, &()).await;
    assert!(!read_events(response, u32::MAX).await.is_complete);
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
    let engine = start_engine(settings).await;
    let load = async || engine.get::<LoadReport>("/load").await.unwrap();
    wait_until(async || load().await.at > Timestamp(0)).await;
    let response = engine
        .try_send(Method::POST, PATH, &stream_request(PROMPT, 4000))
        .await;
    let started = Instant::now();
    wait_until(async || load().await.running == 1).await;
    // The visible load report may be older than the lag, but not younger. `started` is taken after
    // the response has begun, when the run may already be in a load sample; hence 400 ms instead
    // of 500 ms.
    assert!(
        started.elapsed() >= Duration::from_millis(400),
        "{:?}",
        started.elapsed()
    );
    drop(response);
}

#[tokio::test]
async fn test_engine_cache_events_have_gaps() {
    let settings = EngineSettings {
        event_gap: 3,
        event_lag_ms: 100,
        cache_blocks: 4,
        ..EngineSettings::default()
    };
    let engine = start_engine(settings).await;
    let events = async || {
        engine
            .get::<CacheEventsResponse>("/cache/events?from=0")
            .await
            .unwrap()
            .events
    };
    for (seed, blocks) in [("one", 6), ("two", 2)] {
        let prompt = generate_text(seed, 16 * blocks);
        let response = engine
            .try_send(Method::POST, PATH, &stream_request(&prompt, 1))
            .await;
        assert!(read_events(response.unwrap(), u32::MAX).await.is_complete);
    }
    wait_until(async || events().await.len() == 6).await;
    // 4 blocks stored, then 2 stored and 2 evicted give events 0 to 7; every third one (2 and 5) is
    // lost.
    let visible = events().await;
    let numbers: Vec<u64> = visible.iter().map(|e| e.seq).collect();
    assert_eq!(numbers, [0, 1, 3, 4, 6, 7]);
    assert_eq!(visible.iter().filter(|e| !e.stored).count(), 2);
}

#[tokio::test]
async fn test_engine_loads_weights_from_the_limited_store() {
    let store_settings = WeightSettings {
        per_sec: 4.0,
        burst: 1.0,
        fetch_ms: 0,
        bytes: 8,
    };
    let store = start(|listener, stop| run_weight_store(store_settings, listener, stop)).await;
    // Uses up the burst, so that the engine's first fetch is refused.
    store.send(Method::GET, "/weights/other", &()).await;
    let settings = EngineSettings {
        weights: Some(store.address),
        ..EngineSettings::default()
    };
    let engine = start_engine(settings).await;
    let order = json!({"epoch": 1, "version": "v2", "model": "m", "role": "serve"});
    engine.send(Method::POST, "/orders", &order).await;
    let stats = async || engine.get::<EngineStats>("/stats").await.unwrap();
    wait_until(async || stats().await.version == "v2").await;
    let store_stats: WeightStats = store.get("/stats").await.unwrap();
    assert_eq!(store_stats.fetches["m"], 1);
    assert!(store_stats.limited >= 1, "{store_stats:?}");
}
