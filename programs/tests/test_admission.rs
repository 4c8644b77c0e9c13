//! Process tests of admission, fair queues and routing at a gate.

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
use self::testutils::gates::OTHER_TOKEN;
use self::testutils::gates::Site;
use self::testutils::gates::TOKEN;
use self::testutils::tokens::read_tokens;
use self::testutils::tokens::request;

/// Settings of a gate that runs one request at a time on each endpoint.
const ONE_AT_A_TIME: &str = "[routing]\nlimit = 'fixed'\nconcurrency = 1";

#[tokio::test]
async fn test_admission_gate_over_its_limit_refuses_at_once() {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", &["token_us=20_000"]);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = site.add_gate_with("d1", "requests = 2").await;
    let mut streams = Vec::new();
    for _ in 0..2 {
        let mut stream = site
            .http
            .stream(gate, request("a", 100, true))
            .await
            .unwrap();
        read_tokens(&mut stream, 1).await;
        streams.push(stream);
    }
    let begun = Instant::now();
    let answer = site.http.send(gate, request("a", 100, true)).await.unwrap();
    assert_eq!(answer.status, 429, "{}", answer.text());
    assert!(begun.elapsed() < Duration::from_millis(500));
    assert_eq!(answer.json()["outcome"], "not_run");
    assert!(!answer.header("retry-after").is_empty());
    let stats: EngineStats = site.http.get(engine.http(), "/stats").await;
    assert_eq!(stats.runs, 2);
}

#[tokio::test]
async fn test_admission_hopeless_wait_is_refused_at_once_and_the_rest_is_answered() {
    let mut site = Site::start().await;
    let service = Process::lab("plain", &["run_ms=500"]);
    site.add_endpoint("booking", "p1", service.http()).await;
    let gate = site.add_gate_with("d1", ONE_AT_A_TIME).await;
    let call = || Call::new(Method::GET, "/booking/quick").bearer(TOKEN);
    assert_eq!(site.http.send(gate, call()).await.unwrap().status, 200);
    let calls = (0..12).map(|_| {
        let http = site.http.clone();
        async move {
            let begun = Instant::now();
            (http.send(gate, call()).await.unwrap(), begun.elapsed())
        }
    });
    let mut answered = 0;
    for (answer, took) in join_all(calls).await {
        match answer.status {
            200 => {
                answered += 1;
                assert!(took < Duration::from_secs(2), "{took:?}");
            }
            429 => {
                assert!(
                    took < Duration::from_millis(400),
                    "refused at once: {took:?}"
                );
                let wait: u64 = answer.header("retry-after").parse().unwrap();
                assert!(
                    (2..=3).contains(&wait),
                    "{wait} s for four calls of half a second"
                );
            }
            status => panic!("{status}: {}", answer.text()),
        }
    }
    assert!((3..=4).contains(&answered), "{answered}");
    let stats: PlainStats = site.http.get(service.http(), "/stats").await;
    assert_eq!(stats.runs, 1 + answered);
}

#[rstest]
#[case::fair("fair", true)]
#[case::fifo("fifo", false)]
#[tokio::test]
async fn test_admission_flood_of_one_customer(#[case] queue: &str, #[case] soon: bool) {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", &["token_us=2_000"]);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let settings = format!("{ONE_AT_A_TIME}\nqueue = '{queue}'");
    let gate = site.add_gate_with("d1", &settings).await;
    let flood: Vec<_> = (0..40)
        .map(|_| {
            let http = site.http.clone();
            tokio::spawn(async move { http.send(gate, request("a", 20, false)).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let call = request("b", 20, false).bearer(OTHER_TOKEN);
    assert_eq!(site.http.send(gate, call).await.unwrap().status, 200);
    let done = flood.iter().filter(|task| task.is_finished()).count();
    for task in flood {
        assert_eq!(task.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(done < 20, soon, "{done} of 40 had ended");
}

#[tokio::test]
async fn test_admission_interactive_goes_before_deferred() {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", &["token_us=2_000"]);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = site.add_gate_with("d1", ONE_AT_A_TIME).await;
    let drafts: Vec<_> = (0..40)
        .map(|_| {
            let http = site.http.clone();
            let call = request("a", 20, false).header("x-priority", "deferred");
            tokio::spawn(async move { http.send(gate, call).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let answer = site.http.send(gate, request("b", 20, false)).await.unwrap();
    assert_eq!(answer.status, 200);
    let done = drafts.iter().filter(|task| task.is_finished()).count();
    assert!(done < 10, "{done} of 40 had ended");
    for task in drafts {
        assert_eq!(task.await.unwrap().unwrap().status, 200, "none is lost");
    }
}

#[rstest]
#[case::affinity("prefix_affinity", true)]
#[case::random("random", false)]
#[tokio::test]
async fn test_admission_prefix_affinity_hits_the_cache(#[case] balance: &str, #[case] hits: bool) {
    let mut site = Site::start().await;
    let mut engines = Vec::new();
    for number in 0..4 {
        let engine = Process::lab("engine", &["token_us=100"]);
        site.add_endpoint("tutor", &format!("e{number}"), engine.http())
            .await;
        engines.push(engine);
    }
    let settings = format!("[routing]\nbalance = '{balance}'");
    let gate = site.add_gate_with("d1", &settings).await;
    for lesson in 0..8 {
        for question in 0..4 {
            let lesson = format!("lesson{lesson} ").repeat(100);
            let call = request(&format!("{lesson} question {question}"), 2, false);
            assert_eq!(site.http.send(gate, call).await.unwrap().status, 200);
        }
    }
    let (mut cached, mut computed) = (0, 0);
    for engine in &engines {
        let stats: EngineStats = site.http.get(engine.http(), "/stats").await;
        cached += stats.cached;
        computed += stats.computed;
    }
    let share = cached as f64 / (cached + computed) as f64;
    println!("{balance}: {share:.2} of the prompt tokens cached");
    assert_eq!(share > 0.6, hits, "{share:.2}");
}
