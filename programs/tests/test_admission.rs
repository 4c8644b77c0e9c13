//! Process tests of admission, fair queueing and routing at a gate.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hawthornrack_lab::EngineStats;
use hawthornrack_lab::PlainStats;
use hyper::Method;
use rstest::rstest;

use self::testutils::Call;
use self::testutils::Process;
use self::testutils::completions::read_tokens;
use self::testutils::completions::request;
use self::testutils::gates::GateFixture;
use self::testutils::gates::OTHER_TOKEN;
use self::testutils::gates::TOKEN;

/// Gate settings that allow one request at a time for each endpoint.
const ONE_REQUEST_PER_ENDPOINT: &str = "[routing]\nlimit = 'fixed'\nconcurrency = 1";

#[tokio::test]
async fn test_admission_gate_over_its_limit_refuses_at_once() {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", &["token_us=20_000"]);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = fixture.add_gate_with("d1", "requests = 2").await;
    let mut streams = Vec::new();
    for _ in 0..2 {
        let mut stream = fixture
            .http
            .stream(gate, request("a", 100, true))
            .await
            .unwrap();
        read_tokens(&mut stream, 1).await;
        streams.push(stream);
    }
    let started = Instant::now();
    let response = fixture
        .http
        .send(gate, request("a", 100, true))
        .await
        .unwrap();
    assert_eq!(response.status, 429, "{}", response.text());
    assert!(started.elapsed() < Duration::from_millis(500));
    assert_eq!(response.json()["outcome"], "not_run");
    assert!(!response.header("retry-after").is_empty());
    let stats: EngineStats = fixture.http.get(engine.http(), "/stats").await;
    assert_eq!(stats.runs, 2);
}

#[tokio::test]
async fn test_admission_request_that_would_time_out_in_the_queue_is_refused_at_once() {
    let mut fixture = GateFixture::start().await;
    let service = Process::lab("plain", &["run_ms=500"]);
    fixture.add_endpoint("booking", "p1", service.http()).await;
    let gate = fixture.add_gate_with("d1", ONE_REQUEST_PER_ENDPOINT).await;
    let call = || Call::new(Method::GET, "/booking/quick").bearer(TOKEN);
    assert_eq!(fixture.http.send(gate, call()).await.unwrap().status, 200);
    // The route has a timeout of 2 s and a run takes 0.5 s, so at most four of the requests can
    // complete in time.
    let calls = (0..12).map(|_| {
        let http = fixture.http.clone();
        async move {
            let started = Instant::now();
            (http.send(gate, call()).await.unwrap(), started.elapsed())
        }
    });
    let mut completed = 0;
    for (response, elapsed) in join_all(calls).await {
        match response.status {
            200 => {
                completed += 1;
                assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
            }
            429 => {
                assert!(
                    elapsed < Duration::from_millis(400),
                    "refusal took {elapsed:?}"
                );
                let retry_after: u64 = response.header("retry-after").parse().unwrap();
                assert!(
                    (2..=3).contains(&retry_after),
                    "retry-after of {retry_after} s for four calls of 0.5 s each"
                );
            }
            status => panic!("{status}: {}", response.text()),
        }
    }
    assert!((3..=4).contains(&completed), "{completed}");
    let stats: PlainStats = fixture.http.get(service.http(), "/stats").await;
    assert_eq!(stats.runs, 1 + completed);
}

#[rstest]
#[case::fair("fair", true)]
#[case::fifo("fifo", false)]
#[tokio::test]
async fn test_admission_flood_of_one_customer(#[case] queue: &str, #[case] overtakes_flood: bool) {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", &["token_us=2_000"]);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    let settings = format!("{ONE_REQUEST_PER_ENDPOINT}\nqueue = '{queue}'");
    let gate = fixture.add_gate_with("d1", &settings).await;
    let flood: Vec<_> = (0..40)
        .map(|_| {
            let http = fixture.http.clone();
            tokio::spawn(async move { http.send(gate, request("a", 20, false)).await })
        })
        .collect();
    // Gives the gate time to queue the flood.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let call = request("b", 20, false).bearer(OTHER_TOKEN);
    assert_eq!(fixture.http.send(gate, call).await.unwrap().status, 200);
    let finished_count = flood.iter().filter(|task| task.is_finished()).count();
    for task in flood {
        assert_eq!(task.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(
        finished_count < 20,
        overtakes_flood,
        "{finished_count} of 40 requests of the flood had ended before the other customer's request"
    );
}

#[tokio::test]
async fn test_admission_interactive_goes_before_deferred() {
    let mut fixture = GateFixture::start().await;
    let engine = Process::lab("engine", &["token_us=2_000"]);
    fixture.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = fixture.add_gate_with("d1", ONE_REQUEST_PER_ENDPOINT).await;
    let deferred_requests: Vec<_> = (0..40)
        .map(|_| {
            let http = fixture.http.clone();
            let call = request("a", 20, false).header("x-priority", "deferred");
            tokio::spawn(async move { http.send(gate, call).await })
        })
        .collect();
    // Gives the gate time to queue the deferred requests.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let response = fixture
        .http
        .send(gate, request("b", 20, false))
        .await
        .unwrap();
    assert_eq!(response.status, 200);
    let finished_count = deferred_requests
        .iter()
        .filter(|task| task.is_finished())
        .count();
    assert!(
        finished_count < 10,
        "{finished_count} of 40 deferred requests had ended before the interactive request"
    );
    for task in deferred_requests {
        assert_eq!(
            task.await.unwrap().unwrap().status,
            200,
            "every deferred request must complete"
        );
    }
}

#[rstest]
#[case::affinity("prefix_affinity", true)]
#[case::random("random", false)]
#[tokio::test]
async fn test_admission_only_prefix_affinity_reuses_cached_prompts(
    #[case] balance: &str,
    #[case] is_mostly_cached: bool,
) {
    let mut fixture = GateFixture::start().await;
    let mut engines = Vec::new();
    for number in 0..4 {
        let engine = Process::lab("engine", &["token_us=100"]);
        fixture
            .add_endpoint("tutor", &format!("e{number}"), engine.http())
            .await;
        engines.push(engine);
    }
    let settings = format!("[routing]\nbalance = '{balance}'");
    let gate = fixture.add_gate_with("d1", &settings).await;
    for lesson_number in 0..8 {
        for question in 0..4 {
            let shared_prefix = format!("lesson{lesson_number} ").repeat(100);
            let call = request(&format!("{shared_prefix} question {question}"), 2, false);
            assert_eq!(fixture.http.send(gate, call).await.unwrap().status, 200);
        }
    }
    let (mut cached, mut computed) = (0, 0);
    for engine in &engines {
        let stats: EngineStats = fixture.http.get(engine.http(), "/stats").await;
        cached += stats.cached;
        computed += stats.computed;
    }
    let cached_ratio = cached as f64 / (cached + computed) as f64;
    println!("{balance}: {cached_ratio:.2} of the prompt tokens were cached");
    assert_eq!(
        cached_ratio > 0.6,
        is_mostly_cached,
        "{cached_ratio:.2} of the prompt tokens were cached"
    );
}
