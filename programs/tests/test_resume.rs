//! Process tests of streams resumed at another gate, hand-over and graceful stops.

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

use self::testutils::Answer;
use self::testutils::Call;
use self::testutils::EventStream;
use self::testutils::LIMIT;
use self::testutils::Process;
use self::testutils::Proxy;
use self::testutils::SseEvent;
use self::testutils::gates::OTHER_TOKEN;
use self::testutils::gates::Site;
use self::testutils::gates::TOKEN;
use self::testutils::tokens::read_rest;
use self::testutils::tokens::read_tokens;
use self::testutils::tokens::request;
use self::testutils::wait_until;

/// Settings of engines with 10 ms a token.
const SLOW: &[&str] = &["token_us=10_000"];

/// Tokens of an answer.
const TOKENS: u32 = 150;

fn token_of(stream: &EventStream) -> String {
    let value = &stream.headers["x-resume-token"];
    value.to_str().unwrap().to_owned()
}

fn resumed(token: &str, position: u32) -> Call {
    request("a b", TOKENS, true)
        .header("x-resume-token", token)
        .header("last-event-id", &position.to_string())
}

async fn stats(site: &Site, engine: &Process) -> EngineStats {
    site.http.get(engine.http(), "/stats").await
}

/// Sends a booking to a gate and waits until the endpoint runs it.
async fn book_until_running(
    site: &Site,
    gate: SocketAddr,
    endpoint: &Process,
) -> JoinHandle<Answer> {
    let http = site.http.clone();
    let call = Call::post("/booking/book", &json!({"boat": 1})).bearer(TOKEN);
    let running = tokio::spawn(async move { http.send(gate, call).await.unwrap() });
    wait_until("the booking runs", LIMIT, async || {
        let stats: PlainStats = site.http.get(endpoint.http(), "/stats").await;
        stats.runs == 1
    })
    .await;
    running
}

/// Two gates in two failure domains and one engine.
async fn two_gates() -> (Site, SocketAddr, SocketAddr, Process) {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", SLOW);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let first = site.add_gate("d1").await;
    let second = site.add_gate("d2").await;
    (site, first, second, engine)
}

/// Reads tokens after `position` up to the `handover` event and returns both.
async fn read_to_handover(stream: &mut EventStream, position: u32) -> (String, u32, Value) {
    let mut text = String::new();
    let mut read = position;
    loop {
        let event: SseEvent = stream.next(LIMIT).await.expect("the stream is handed over");
        match event.event.as_str() {
            "handover" => return (text, read, serde_json::from_str(&event.data).unwrap()),
            "error" => panic!("{}", event.data),
            _ if event.id.is_empty() => {}
            _ => {
                read += 1;
                assert_eq!(event.id, read.to_string(), "no gap and no repeat");
                text.push_str(&event.text());
            }
        }
    }
}

fn address_of(location: &Value) -> SocketAddr {
    let text = location.as_str().unwrap();
    let text = text.strip_prefix("http://").unwrap();
    text.split('/').next().unwrap().parse().unwrap()
}

#[tokio::test]
async fn test_resume_after_the_gate_died() {
    let (mut site, first, second, engine) = two_gates().await;
    let mut stream = site
        .http
        .stream(first, request("a b", TOKENS, true))
        .await
        .unwrap();
    let token = token_of(&stream);
    let begin = read_tokens(&mut stream, 10).await;
    site.gates[0].kill();
    let mut stream = site.http.stream(second, resumed(&token, 10)).await.unwrap();
    assert_eq!(stream.status, 200);
    let rest = read_rest(&mut stream, 10).await;
    assert_eq!(begin + &rest, generate_text("a b", TOKENS));
    assert_eq!(
        stats(&site, &engine).await.runs,
        1,
        "the engine's stream is picked up"
    );
}

#[rstest]
#[case::silent(LinkMode::FreezeExisting, 1)]
#[case::cut(LinkMode::Cut, 2)]
#[tokio::test]
async fn test_resume_after_the_callers_connection_was_lost(
    #[case] mode: LinkMode,
    #[case] most_runs: u64,
) {
    let (site, first, second, engine) = two_gates().await;
    let proxy = Proxy::start();
    let link = proxy.link("caller", Some(first)).await;
    let mut stream = site
        .http
        .stream(link, request("a b", TOKENS, true))
        .await
        .unwrap();
    let token = token_of(&stream);
    let begin = read_tokens(&mut stream, 10).await;
    proxy.set_mode("caller", mode).await;
    let mut stream = site.http.stream(second, resumed(&token, 10)).await.unwrap();
    let rest = read_rest(&mut stream, 10).await;
    assert_eq!(begin + &rest, generate_text("a b", TOKENS));
    // The first gate may cancel the generation before the second one has picked it up.
    let runs = stats(&site, &engine).await.runs;
    assert!(runs <= most_runs, "{runs}");
}

#[rstest]
#[case::with_text(true)]
#[case::without_text(false)]
#[tokio::test]
async fn test_resume_after_gate_and_engine_died(#[case] with_text: bool) {
    let (mut site, first, second, mut engine) = two_gates().await;
    let mut stream = site
        .http
        .stream(first, request("a b", TOKENS, true))
        .await
        .unwrap();
    let token = token_of(&stream);
    let begin = read_tokens(&mut stream, 10).await;
    site.gates[0].kill();
    engine.kill();
    let other = Process::lab("engine", SLOW);
    site.add_endpoint("tutor", "e2", other.http()).await;
    let mut body = json!({"prompt": "a b", "max_tokens": TOKENS, "stream": true});
    if with_text {
        body["resume_text"] = json!(begin);
    }
    let call = resumed(&token, 10).json(&body);
    if with_text {
        let mut stream = site.http.stream(second, call).await.unwrap();
        let rest = read_rest(&mut stream, 10).await;
        assert_eq!(begin + &rest, generate_text("a b", TOKENS));
    } else {
        let answer = site.http.send(second, call).await.unwrap();
        assert!(answer.text().contains("resume_text"), "{}", answer.text());
        assert_eq!(stats(&site, &other).await.runs, 0, "nothing is made up");
    }
}

#[tokio::test]
async fn test_resume_token_is_bound_to_customer_and_request() {
    let (site, first, second, _engine) = two_gates().await;
    let mut stream = site
        .http
        .stream(first, request("a b", TOKENS, true))
        .await
        .unwrap();
    let token = token_of(&stream);
    read_tokens(&mut stream, 1).await;
    let mut broken = token.clone();
    broken.insert(9, 'x');
    let foreign = resumed(&token, 1).bearer(OTHER_TOKEN);
    let other = request("c d", TOKENS, true).header("x-resume-token", &token);
    let no_number = request("a b", TOKENS, true)
        .header("x-resume-token", &token)
        .header("last-event-id", "seven");
    for (call, status) in [
        (resumed(&broken, 1), 400),
        (foreign, 403),
        (other, 400),
        (no_number, 400),
    ] {
        let answer = site.http.send(second, call).await.unwrap();
        assert_eq!(answer.status, status, "{}", answer.text());
        assert_eq!(answer.json()["outcome"], "not_run");
    }
}

#[rstest]
#[case::engine_lives(false)]
#[case::engine_dies(true)]
#[tokio::test]
async fn test_resume_stream_is_handed_over_on_notice(#[case] engine_dies: bool) {
    let (site, first, second, mut engine) = two_gates().await;
    let mut stream = site
        .http
        .stream(first, request("a b", TOKENS, true))
        .await
        .unwrap();
    let begin = read_tokens(&mut stream, 10).await;
    site.reclaim_all(
        if engine_dies { &["e1"] } else { &[] },
        &[0],
        Duration::from_millis(900),
    );
    let (more, position, told) = read_to_handover(&mut stream, 10).await;
    assert_eq!(told["last_event_id"], position);
    assert_eq!(address_of(&told["location"]), second);
    let other = Process::lab("engine", SLOW);
    site.add_endpoint("tutor", "e2", other.http()).await;
    if engine_dies {
        engine.kill();
    }
    let token = told["resume_token"].as_str().unwrap();
    let mut stream = site
        .http
        .stream(second, resumed(token, position))
        .await
        .unwrap();
    let rest = read_rest(&mut stream, position).await;
    assert_eq!(begin + &more + &rest, generate_text("a b", TOKENS));
    assert_eq!(site.counts(0).await.handed_over, 1);
    let runs = stats(&site, &other).await.runs;
    assert_eq!(
        runs,
        u64::from(engine_dies),
        "run again only when it must be"
    );
}

#[tokio::test]
async fn test_resume_when_the_gate_dies_halfway_through_the_hand_over() {
    let (mut site, first, second, engine) = two_gates().await;
    let mut streams = Vec::new();
    for _ in 0..20 {
        let opened = site.http.stream(first, request("a b", TOKENS, true)).await;
        let mut stream = opened.unwrap();
        let token = token_of(&stream);
        let begin = read_tokens(&mut stream, 1).await;
        streams.push((stream, token, begin));
    }
    site.reclaim_gate(0, Duration::from_millis(800));
    wait_until("the hand-over has begun", LIMIT, async || {
        site.counts(0).await.handed_over > 0
    })
    .await;
    site.gates[0].kill();
    for (mut stream, token, mut text) in streams {
        let mut position = 1;
        while let Some(event) = stream.next(Duration::from_secs(1)).await {
            if !event.id.is_empty() {
                position += 1;
                assert_eq!(event.id, position.to_string());
                text.push_str(&event.text());
            }
        }
        let mut stream = site
            .http
            .stream(second, resumed(&token, position))
            .await
            .unwrap();
        text.push_str(&read_rest(&mut stream, position).await);
        assert_eq!(text, generate_text("a b", TOKENS));
    }
    assert_eq!(stats(&site, &engine).await.runs, 20);
}

#[tokio::test]
async fn test_resume_whole_answer_is_redirected_and_not_run_again() {
    let (site, first, second, engine) = two_gates().await;
    let http = site.http.clone();
    let call = request("a b", TOKENS, false);
    let waiting = tokio::spawn(async move { http.send(first, call).await.unwrap() });
    wait_until("the engine generates", LIMIT, async || {
        stats(&site, &engine).await.generated > 10
    })
    .await;
    site.reclaim_gate(0, Duration::from_millis(600));
    let answer = waiting.await.unwrap();
    assert_eq!(answer.status, 307, "{}", answer.text());
    let location = answer.header("location").to_owned();
    assert_eq!(address_of(&json!(location)), second);
    let path = &location[location.find("/tutor").unwrap()..];
    let body = json!({"prompt": "a b", "max_tokens": TOKENS, "stream": false});
    let call = Call::post(path, &body).bearer(TOKEN);
    let answer = site.http.send(second, call).await.unwrap();
    assert_eq!(
        answer.json()["choices"][0]["text"],
        generate_text("a b", TOKENS)
    );
    assert_eq!(stats(&site, &engine).await.runs, 1);
}

#[tokio::test]
async fn test_resume_gate_under_notice_redirects_new_requests() {
    let (mut site, first, _second, engine) = two_gates().await;
    let third = site.add_gate("d1").await;
    let service = Process::lab("plain", &["run_ms=800"]);
    site.add_endpoint("booking", "p1", service.http()).await;
    let running = book_until_running(&site, first, &service).await;
    site.reclaim_gate(0, Duration::from_secs(5));
    wait_until("the gate redirects", LIMIT, async || {
        let call = Call::new(Method::GET, "/booking/stock?x=1").bearer(TOKEN);
        let answer = site.http.send(first, call).await.unwrap();
        let location = answer.header("location");
        assert!(
            !location.contains(&third.to_string()),
            "another failure domain first"
        );
        answer.status == 307 && location.ends_with("/booking/stock?x=1")
    })
    .await;
    let answer = site
        .http
        .send(first, request("a b", 5, true))
        .await
        .unwrap();
    assert_eq!(answer.status, 307);
    assert_eq!(answer.header("connection"), "close");
    assert_eq!(stats(&site, &engine).await.runs, 0);
    let booked = running.await.unwrap();
    assert_eq!(booked.status, 200, "{}", booked.text());
}

#[tokio::test]
async fn test_resume_planned_stop_finishes_what_runs() {
    let (mut site, first, _second, _engine) = two_gates().await;
    let service = Process::lab("plain", &["run_ms=1500"]);
    site.add_endpoint("booking", "p1", service.http()).await;
    let mut streams = Vec::new();
    for _ in 0..5 {
        let opened = site.http.stream(first, request("a b", 400, true)).await;
        streams.push(opened.unwrap());
    }
    let running = book_until_running(&site, first, &service).await;
    site.gates[0].terminate();
    wait_until("connections are closed", LIMIT, async || {
        let call = Call::new(Method::GET, "/booking/stock").bearer(TOKEN);
        let answer = site.http.send(first, call).await;
        answer.is_ok_and(|a| a.header("connection") == "close")
    })
    .await;
    let booked = running.await.unwrap();
    assert_eq!(booked.status, 200, "{}", booked.text());
    for mut stream in streams {
        assert_eq!(read_rest(&mut stream, 0).await, generate_text("a b", 400));
    }
    let status = site.gates[0].wait_exit(LIMIT).await;
    assert!(status.is_some_and(|s| s.success()), "{status:?}");
}

#[tokio::test]
async fn test_resume_stop_hands_over_what_outlasts_the_drain_limit() {
    let mut site = Site::start().await;
    let engine = Process::lab("engine", SLOW);
    site.add_endpoint("tutor", "e1", engine.http()).await;
    let first = site.add_gate_with("d1", "drain = 5500\nlinger = 100").await;
    let second = site.add_gate("d2").await;
    let mut stream = site
        .http
        .stream(first, request("a b", 1000, true))
        .await
        .unwrap();
    let begin = read_tokens(&mut stream, 1).await;
    site.gates[0].terminate();
    let (more, position, told) = read_to_handover(&mut stream, 1).await;
    let token = told["resume_token"].as_str().unwrap();
    let call = request("a b", 1000, true)
        .header("x-resume-token", token)
        .header("last-event-id", &position.to_string());
    let mut stream = site.http.stream(second, call).await.unwrap();
    let rest = read_rest(&mut stream, position).await;
    assert_eq!(begin + &more + &rest, generate_text("a b", 1000));
}
