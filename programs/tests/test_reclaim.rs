//! Process tests of accepted requests under reclaim notices and lost endpoints.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::EngineStats;
use hawthornrack_lab::LinkMode;
use hawthornrack_lab::generate_text;
use rstest::rstest;

use self::testutils::LIMIT;
use self::testutils::Process;
use self::testutils::Proxy;
use self::testutils::gates::Site;
use self::testutils::tokens::read_rest;
use self::testutils::tokens::read_tokens;
use self::testutils::tokens::request;

/// Settings of engines with 10 ms a token.
const SLOW: &[&str] = &["token_us=10_000"];

async fn stats(site: &Site, engine: &Process) -> EngineStats {
    site.http.get(engine.http(), "/stats").await
}

#[tokio::test]
async fn test_reclaim_stream_passes_a_gate_whole() {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", &[]);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = site.add_gate("d1").await;
    let mut stream = site
        .http
        .stream(gate, request("a b", 20, true))
        .await
        .unwrap();
    assert_eq!(stream.status, 200);
    assert!(stream.headers.contains_key("x-resume-token"));
    let first = stream.next(LIMIT).await.unwrap();
    assert_eq!(first.event, "resume");
    assert_eq!(read_rest(&mut stream, 0).await, generate_text("a b", 20));
    let answer = site
        .http
        .send(gate, request("a b", 20, false))
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(
        answer.json()["choices"][0]["text"],
        generate_text("a b", 20)
    );
    assert_eq!(answer.json()["usage"]["completion_tokens"], 20);
}

#[rstest]
#[case::cut(LinkMode::Cut)]
#[case::silent(LinkMode::FreezeExisting)]
#[tokio::test]
async fn test_reclaim_lost_connection_is_resumed_on_the_engine(#[case] mode: LinkMode) {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", SLOW);
    let proxy = Proxy::start();
    let address = proxy.link("engine", Some(engine.http())).await;
    site.add_endpoint("tutor", "e1", address).await;
    let gate = site.add_gate_with("d1", "progress = 500").await;
    let mut stream = site
        .http
        .stream(gate, request("a b", 120, true))
        .await
        .unwrap();
    let begin = read_tokens(&mut stream, 10).await;
    proxy.set_mode("engine", mode).await;
    let rest = read_rest(&mut stream, 10).await;
    assert_eq!(begin + &rest, generate_text("a b", 120));
    assert_eq!(stats(&site, &engine).await.runs, 1, "nothing is run again");
    assert_eq!(site.counts(0).await.resumed, 1);
}

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[tokio::test]
async fn test_reclaim_dead_engine_is_continued_elsewhere(#[case] streamed: bool) {
    let mut site = Site::start().await;
    let mut engine = Process::lab("engine", SLOW);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = site.add_gate("d1").await;
    let http = site.http.clone();
    let call = request("a b", 100, streamed);
    let reader = tokio::spawn(async move {
        if !streamed {
            let answer = http.send(gate, call).await.unwrap();
            return answer.json()["choices"][0]["text"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
        }
        let mut stream = http.stream(gate, call).await.unwrap();
        read_rest(&mut stream, 0).await
    });
    testutils::wait_until("the engine generates", LIMIT, async || {
        stats(&site, &engine).await.generated > 10
    })
    .await;
    let other = Process::lab("engine", SLOW);
    site.add_endpoint("tutor", "e2", other.http()).await;
    engine.kill();
    assert_eq!(reader.await.unwrap(), generate_text("a b", 100));
    let counts = site.counts(0).await;
    assert_eq!(counts.continued, 1);
    assert!(counts.recomputed > 10, "{counts:?}");
    assert_eq!(stats(&site, &other).await.runs, 1);
}

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
    let mut site = Site::start().await;
    let mut engine = Process::lab("engine", SLOW);
    let other = Process::lab("engine", &["token_us=2_000"]);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = site.add_gate("d1").await;
    let mut stream = site
        .http
        .stream(gate, request("a b", tokens, true))
        .await
        .unwrap();
    let begin = read_tokens(&mut stream, 10).await;
    site.add_endpoint("tutor", "e2", other.http()).await;
    let notice = Duration::from_millis(notice_ms);
    site.reclaim_endpoint("e1", notice);
    let end = async {
        if plan != "Finish" {
            tokio::time::sleep(notice).await;
            engine.kill();
        }
    };
    let (rest, ()) = tokio::join!(read_rest(&mut stream, 10), end);
    assert_eq!(begin + &rest, generate_text("a b", tokens));
    let counts = site.counts(0).await;
    let other = stats(&site, &other).await;
    match plan {
        "Finish" => assert_eq!((counts.moved, counts.continued, other.runs), (0, 0, 0)),
        "MoveCache" => assert_eq!((counts.moved, counts.recomputed, other.imported), (1, 0, 1)),
        _ => assert_eq!((counts.moved, counts.continued, other.runs), (0, 1, 1)),
    }
}

#[tokio::test]
async fn test_reclaim_leaving_endpoint_gets_no_new_work() {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", &[]);
    let other = Process::lab("engine", &[]);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    site.add_endpoint("tutor", "e2", other.http()).await;
    let gate = site.add_gate("d1").await;
    site.reclaim_endpoint("e1", Duration::from_mins(1));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = stats(&site, &engine).await.runs;
    for number in 0..20 {
        let call = request(&format!("p{number}"), 2, false);
        assert_eq!(site.http.send(gate, call).await.unwrap().status, 200);
    }
    assert_eq!(stats(&site, &engine).await.runs, before);
    assert_eq!(stats(&site, &other).await.runs, 20);
}

#[tokio::test]
async fn test_reclaim_caller_gone_cancels_the_engine() {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", &["token_us=10_000", "grace_ms=20_000"]);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = site.add_gate("d1").await;
    let mut stream = site
        .http
        .stream(gate, request("a b", 2000, true))
        .await
        .unwrap();
    read_tokens(&mut stream, 3).await;
    drop(stream);
    testutils::wait_until("the run is cancelled", Duration::from_secs(5), async || {
        stats(&site, &engine).await.cancelled == 1
    })
    .await;
}

#[tokio::test]
async fn test_reclaim_heartbeats_while_silent() {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", &["token_us=1_600_000"]);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let gate = site.add_gate("d1").await;
    let call = request("a b", 2, true);
    let answer = site.http.send(gate, call).await.unwrap();
    assert!(
        answer.text().contains(": heartbeat\n\n"),
        "{}",
        answer.text()
    );
}
