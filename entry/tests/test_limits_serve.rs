//! Serving requests while endpoints state rate limits.

mod testutils;

use std::sync::Arc;
use std::time::Duration;

use hawthornrack_entry::CallerResponse;
use hawthornrack_entry::EndpointNotice;
use hawthornrack_entry::Interruption;
use hawthornrack_entry::LimitNotice;
use hawthornrack_entry::Node;
use hawthornrack_entry::RateLimit;
use hawthornrack_entry::Refusal;
use hawthornrack_entry::RefusalKind;
use hawthornrack_entry::RouteKind;
use hawthornrack_entry::SendFailure;
use hawthornrack_entry::serve;
use rstest::rstest;
use testutils::ScriptedClient;
use testutils::ScriptedSend;
use testutils::call;
use testutils::config;
use testutils::node;
use tokio::time::Instant;

fn limited(per_second: f64) -> EndpointNotice {
    EndpointNotice {
        limit: LimitNotice::Limited(RateLimit::new(per_second).unwrap()),
        ..EndpointNotice::default()
    }
}

fn broken() -> ScriptedSend {
    ScriptedSend::Fail(SendFailure::MayHaveRun(Interruption::ConnectionBroken(
        "reset".to_owned(),
    )))
}

fn rejected(notice: EndpointNotice) -> ScriptedSend {
    ScriptedSend::Fail(SendFailure::Rejected {
        status: 503,
        misdirected: false,
        notice,
    })
}

async fn send(node: &Arc<Node>, client: &Arc<ScriptedClient>) -> Result<u16, Refusal> {
    match serve(node, client, call("1")).await {
        CallerResponse::Whole { status, .. } => Ok(status),
        CallerResponse::Stream {
            status, mut events, ..
        } => {
            while let Ok(Some(_)) = events.next().await {}
            Ok(status)
        }
        CallerResponse::Refused(refusal) => Err(refusal),
    }
}

// Guards against callers who wait in vain at an endpoint whose limit is used up, and against a
// Retry-After that brings them back too early.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_limits_serve_turns_callers_away_at_once_with_a_true_retry_after(
    #[values(0.0, 0.01, 0.3, 1.0, 5.0)] limit: f64,
) {
    let node = node(config(RouteKind::Idempotent), 1);
    let client = ScriptedClient::new(vec![ScriptedSend::Notify(200, limited(limit)); 3]);
    assert_eq!(send(&node, &client).await, Ok(200));
    for sends in 2..=3 {
        let started = Instant::now();
        let refusal = send(&node, &client).await.unwrap_err();
        assert_eq!(refusal.kind, RefusalKind::Limited);
        assert_eq!(started.elapsed(), Duration::ZERO);
        let after = refusal.retry_after.unwrap();
        tokio::time::sleep(after.saturating_sub(Duration::from_millis(60))).await;
        assert!(
            send(&node, &client).await.is_err(),
            "before the time has come"
        );
        tokio::time::sleep(Duration::from_millis(60)).await;
        assert_eq!(send(&node, &client).await, Ok(200));
        assert_eq!(client.seen.lock().len(), sends);
    }
}

// Guards against retries and resumed streams that do not count towards a limit.
#[rstest]
#[case::retry(RouteKind::Idempotent, broken())]
#[case::retry_of_a_rejection(RouteKind::Once, rejected(EndpointNotice::default()))]
#[case::resume(
    RouteKind::ResumableStream,
    ScriptedSend::Stream(vec!["id: 1\ndata: 1\n\n"], Err("reset"))
)]
#[tokio::test(start_paused = true)]
async fn test_limits_serve_sends_no_repeat_to_an_endpoint_whose_limit_is_used_up(
    #[case] kind: RouteKind,
    #[case] first_send: ScriptedSend,
) {
    let node = node(config(kind), 2);
    let notify = ScriptedSend::Notify(200, limited(0.2));
    let client = ScriptedClient::new([notify, first_send]);
    assert_eq!(send(&node, &client).await, Ok(200));
    let _ = send(&node, &client).await;
    let seen = client.seen.lock();
    assert_eq!(seen.len(), 2);
    assert_ne!(seen[0].endpoint, seen[1].endpoint);
}

// Guards against statements that count only in successful responses.
#[rstest]
#[case::failure(ScriptedSend::Notify(500, limited(1.0)))]
#[case::rejection(rejected(limited(1.0)))]
#[tokio::test(start_paused = true)]
async fn test_limits_serve_heeds_a_limit_in_any_response(#[case] response: ScriptedSend) {
    let node = node(config(RouteKind::Once), 1);
    let client = ScriptedClient::new([response]);
    let _ = send(&node, &client).await;
    let refusal = send(&node, &client).await.unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Limited);
}

// Guards against a limit that outlasts its end, and against one that a response ends which the
// endpoint had written before it stated the limit.
#[tokio::test(start_paused = true)]
async fn test_limits_serve_only_a_later_response_ends_a_limit() {
    let node = node(config(RouteKind::Idempotent), 1);
    let slow = ScriptedSend::RespondAfter(200, Duration::from_millis(200));
    let notify = ScriptedSend::Notify(200, limited(2.0));
    let client = ScriptedClient::new([slow, notify, ScriptedSend::Respond(200)]);
    let earlier = {
        let (node, client) = (Arc::clone(&node), Arc::clone(&client));
        tokio::spawn(async move { send(&node, &client).await })
    };
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(send(&node, &client).await, Ok(200));
    assert_eq!(earlier.await.unwrap(), Ok(200));
    let refusal = send(&node, &client).await.unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Limited);
    tokio::time::sleep(refusal.retry_after.unwrap()).await;
    assert_eq!(send(&node, &client).await, Ok(200));
    client
        .steps
        .lock()
        .extend(vec![ScriptedSend::Respond(200); 5]);
    for _ in 0..5 {
        assert_eq!(send(&node, &client).await, Ok(200));
    }
}

// Guards against callers that come back at once to an endpoint that wants no requests for seconds,
// whether or not another try was allowed.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_limits_serve_rejected_caller_comes_back_after_the_pause(
    #[values(1, 2)] attempts: u32,
) {
    let mut config = config(RouteKind::Once);
    config.routes["h"][0].attempts = attempts;
    let node = node(config, 1);
    let pause = Duration::from_secs(2);
    let rejection = rejected(EndpointNotice {
        retry_after: Some(pause),
        ..EndpointNotice::default()
    });
    let client = ScriptedClient::new([rejection]);
    let refusal = send(&node, &client).await.unwrap_err();
    assert_eq!(refusal.retry_after, Some(pause));
}
