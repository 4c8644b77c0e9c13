//! Open connections that go silent for good while new ones work.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use hawthornrack_lab::EngineStats;
use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lab::generate_text;
use hawthornrack_lib::MemberState;
use hawthornrack_lib::Priority;
use hawthornrack_lib::Route;
use hawthornrack_lib::ServiceKind;
use hyper::Method;
use serde_json::json;

use testutils::Call;
use testutils::EventStream;
use testutils::LIMIT;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::service;
use testutils::in_force::OffsetWatch;
use testutils::in_force::put_customer;
use testutils::in_force::wait_offset;
use testutils::tokens::open_stream;
use testutils::tokens::read_rest;

/// Time within which a new connection must have taken the place of a silent one.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

/// Tokens of an answer.
const TOKENS: u32 = 60;

/// Time for which members are watched.
const MEMBER_TIME: Duration = Duration::from_secs(4);

fn completion() -> Call {
    let body = json!({"model": "m", "prompt": "a b", "max_tokens": TOKENS, "stream": true});
    Call::post("/tutor/v1/completions", &body).bearer(TOKEN)
}

/// Reads `count` tokens from the start of a stream.
async fn read_begin(stream: &mut EventStream, count: u32) -> String {
    let mut text = String::new();
    let mut read = 0;
    while read < count {
        let event = stream.next(LIMIT).await.expect("the stream goes on");
        if !event.id.is_empty() {
            read += 1;
            assert_eq!(event.id, read.to_string(), "no gap and no repeat");
            text.push_str(&event.text());
        }
    }
    text
}

#[tokio::test]
async fn test_silent_connections_to_the_log_are_replaced() {
    // A single node, so that no peer can relay what the log does not give.
    let deployment = Deployment::start(1).await;
    let next = put_customer(&deployment, 0, "before").await;
    wait_offset(&deployment, &[0], next).await;
    deployment
        .proxy
        .set_mode("log-0", LinkMode::FreezeExisting)
        .await;
    let begun = Instant::now();
    let next = put_customer(&deployment, 0, "after").await;
    wait_offset(&deployment, &[0], next).await;
    assert!(
        begun.elapsed() < RECOVERY_LIMIT,
        "after {:?}",
        begun.elapsed()
    );
}

#[tokio::test]
async fn test_silent_connections_between_peers_are_replaced() {
    let deployment = Deployment::start(3).await;
    let next = put_customer(&deployment, 0, "before").await;
    wait_offset(&deployment, &[0, 1, 2], next).await;
    let watch = OffsetWatch::start(&deployment);
    // Entry 2 depends on its peers alone.
    deployment.proxy.set_mode("log-2", LinkMode::Freeze).await;
    deployment
        .proxy
        .set_modes("rpc-", LinkMode::FreezeExisting)
        .await;
    let next = put_customer(&deployment, 0, "after").await;
    wait_offset(&deployment, &[0, 1, 2], next).await;
    let begun = Instant::now();
    while begun.elapsed() < MEMBER_TIME {
        for index in 0..3 {
            let report = deployment.status(index).await.unwrap();
            let dead = report.members.iter().find(|m| m.state == MemberState::Dead);
            assert!(dead.is_none(), "taken for dead: {dead:?}");
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    watch.finish().await;
}

#[tokio::test]
async fn test_silent_connection_of_a_gate_to_its_controller_is_replaced() {
    let mut deployment = Deployment::start(2).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    let desk = service("desk", ServiceKind::Plain, Vec::new());
    deployment.declare(&[desk]).await;
    let watch = OffsetWatch::start(&deployment);
    deployment
        .proxy
        .set_mode("own-0", LinkMode::FreezeExisting)
        .await;
    let next = put_customer(&deployment, 1, "after").await;
    wait_offset(&deployment, &[0, 1], next).await;
    let call = Call::new(Method::GET, "/desk/look").bearer("after");
    let callers = deployment.entries[0].callers();
    let answer = deployment.http.send(callers, call).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    watch.finish().await;
}

#[tokio::test]
async fn test_silent_idle_connections_to_an_endpoint_are_replaced() {
    let mut deployment = Deployment::start(1).await;
    deployment.add_plain("desk", "v1", "plain-1", &[]).await;
    let route = Route {
        prefix: String::from("book"),
        repeatable: false,
        priority: Priority::Interactive,
        timeout: Duration::from_secs(10),
    };
    let desk = service("desk", ServiceKind::Plain, vec![route]);
    deployment.declare(&[desk]).await;
    let callers = deployment.entries[0].callers();
    let look = || Call::new(Method::GET, "/desk/look").bearer(TOKEN);
    let answer = deployment.http.send(callers, look()).await.unwrap();
    assert_eq!(answer.status, 200);
    deployment
        .proxy
        .set_mode("endpoint-plain-1", LinkMode::FreezeExisting)
        .await;
    // A call that may not be repeated must not be risked on an idle connection.
    let book = Call::post("/desk/book", &json!({"boat": 7})).bearer(TOKEN);
    let begun = Instant::now();
    let (looked, booked) = tokio::join!(
        deployment.http.send(callers, look()),
        deployment.http.send(callers, book),
    );
    let spent = begun.elapsed();
    let (looked, booked) = (looked.unwrap(), booked.unwrap());
    assert_eq!(looked.status, 200, "{}", looked.text());
    assert_eq!(booked.status, 200, "{}", booked.text());
    assert!(spent < RECOVERY_LIMIT, "after {spent:?}");
    let stats: PlainStats = deployment.stats("plain-1").await;
    assert_eq!(stats.by_path["/book"], 1);
}

#[tokio::test]
async fn test_silent_stream_of_an_engine_is_picked_up() {
    let deployment = Deployment::with_slow_engine(1).await;
    let callers = deployment.entries[0].callers();
    let mut stream = open_stream(&deployment.http, callers, &completion()).await;
    let head = read_begin(&mut stream, 10).await;
    deployment
        .proxy
        .set_mode("endpoint-engine-1", LinkMode::FreezeExisting)
        .await;
    let begun = Instant::now();
    let rest = read_rest(&mut stream, 10).await;
    assert!(begun.elapsed() < RECOVERY_LIMIT, "{:?}", begun.elapsed());
    assert_eq!(head + &rest, generate_text("a b", TOKENS));
    let stats: EngineStats = deployment.stats("engine-1").await;
    assert_eq!(
        (stats.runs, stats.resumed),
        (1, 1),
        "nothing is computed again"
    );
}

#[tokio::test]
async fn test_silent_connection_of_a_caller_is_resumed_at_the_same_gate() {
    let mut deployment = Deployment::start(1).await;
    deployment
        .add_engine("tutor", "v1", "engine-1", &["token_us=20_000"])
        .await;
    let tutor = service("tutor", ServiceKind::Model, Vec::new());
    deployment.declare(&[tutor]).await;
    let callers = deployment.entries[0].callers();
    let mut stream = open_stream(&deployment.http, callers, &completion()).await;
    let token = stream.headers["x-resume-token"]
        .to_str()
        .unwrap()
        .to_owned();
    let head = read_begin(&mut stream, 10).await;
    deployment
        .proxy
        .set_mode("gate-0", LinkMode::FreezeExisting)
        .await;
    let begun = Instant::now();
    let call = completion()
        .header("x-resume-token", &token)
        .header("last-event-id", "10");
    let mut again = deployment.http.stream(callers, call).await.unwrap();
    let rest = read_rest(&mut again, 10).await;
    assert!(begun.elapsed() < RECOVERY_LIMIT, "{:?}", begun.elapsed());
    assert_eq!(head + &rest, generate_text("a b", TOKENS));
}
