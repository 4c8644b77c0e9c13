//! Requests that endpoints answer, reject, break off or leave without an answer.

mod testutils;

use std::sync::Arc;
use std::time::Duration;

use hawthornrack_entry::BrokeOff;
use hawthornrack_entry::CallKind;
use hawthornrack_entry::Config;
use hawthornrack_entry::Node;
use hawthornrack_entry::Refusal;
use hawthornrack_entry::RefusalKind;
use hawthornrack_entry::Reply;
use hawthornrack_entry::SendFailure;
use hawthornrack_entry::serve;
use rstest::rstest;
use testutils::Script;
use testutils::ScriptedEdge;
use testutils::call;
use testutils::config;
use testutils::node;
use tokio::time::Instant;

fn broke() -> Script {
    Script::Fail(SendFailure::MayHaveRun("reset".to_owned()))
}

fn rejected() -> Script {
    Script::Fail(SendFailure::Rejected {
        status: 503,
        misdirected: false,
    })
}

fn unreached() -> Script {
    Script::Fail(SendFailure::NotWritten("refused".to_owned()))
}

async fn status(node: &Arc<Node>, edge: &Arc<ScriptedEdge>) -> u16 {
    match serve(node, edge, call("1")).await {
        Reply::Whole { status, .. } | Reply::Stream { status, .. } => status,
        Reply::Refused(refusal) => refusal.kind.status(),
    }
}

async fn refusal(node: &Arc<Node>, edge: &Arc<ScriptedEdge>) -> Refusal {
    match serve(node, edge, call("1")).await {
        Reply::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

/// Reads a stream to its end.
async fn events(reply: Reply<ScriptedEdge>) -> (String, Option<BrokeOff>) {
    let Reply::Stream { mut events, .. } = reply else {
        panic!("no stream: {reply:?}");
    };
    let mut text = String::new();
    loop {
        match events.next().await {
            Ok(Some(bytes)) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Ok(None) => return (text, None),
            Err(error) => return (text, Some(error)),
        }
    }
}

#[rstest]
// A call that may run only once is never sent again after it may have run, and never refused
// with a status that promises that it has not.
#[case::once_broken(CallKind::Once, vec![broke()], 502, 1)]
#[case::once_rejected_then_answered(CallKind::Once, vec![rejected(), Script::Answer(200)], 200, 2)]
#[case::once_rejected_twice(CallKind::Once, vec![rejected(), rejected()], 503, 2)]
#[case::once_unreached(CallKind::Once, vec![unreached(), Script::Answer(200)], 200, 2)]
#[case::once_own_failure(CallKind::Once, vec![Script::Answer(500)], 500, 1)]
#[case::idempotent_broken(CallKind::Idempotent, vec![broke(), Script::Answer(200)], 200, 2)]
#[case::idempotent_failure(CallKind::Idempotent, vec![Script::Answer(500), Script::Answer(200)], 200, 2)]
#[case::idempotent_broken_twice(CallKind::Idempotent, vec![broke(), broke()], 502, 2)]
#[case::idempotent_broken_then_rejected(CallKind::Idempotent, vec![broke(), rejected()], 502, 2)]
#[tokio::test(start_paused = true)]
async fn test_serve_sends_again_only_what_may_be(
    #[case] kind: CallKind,
    #[case] script: Vec<Script>,
    #[case] expected: u16,
    #[case] sends: usize,
) {
    let node = node(config(kind), 4);
    let edge = ScriptedEdge::new(script);
    assert_eq!(status(&node, &edge).await, expected);
    let seen = edge.seen.lock();
    assert_eq!(seen.len(), sends);
    let mut endpoints: Vec<_> = seen.iter().map(|s| s.endpoint.clone()).collect();
    endpoints.dedup();
    assert_eq!(endpoints.len(), sends, "an endpoint was tried twice");
    assert!(seen.iter().all(|s| s.customer.as_deref() == Some("kanem")));
}

#[tokio::test(start_paused = true)]
async fn test_serve_once_without_an_answer_ends_at_its_time_with_no_promise() {
    let node = node(config(CallKind::Once), 4);
    let edge = ScriptedEdge::new([Script::Hang]);
    let begun = Instant::now();
    let refusal = refusal(&node, &edge).await;
    assert_eq!(refusal.kind.status(), 504);
    assert_eq!(refusal.retry_after, None);
    assert_eq!(begun.elapsed().as_secs(), 3);
    assert_eq!(node.in_flight(), 0);
}

#[tokio::test(start_paused = true)]
async fn test_serve_idempotent_call_leaves_a_silent_endpoint_early() {
    let node = node(config(CallKind::Idempotent), 4);
    let edge = ScriptedEdge::new([Script::Hang, Script::Answer(200)]);
    let begun = Instant::now();
    assert_eq!(status(&node, &edge).await, 200);
    assert!(begun.elapsed() < Duration::from_secs(1));
    let seen = edge.seen.lock();
    assert!(
        seen[1].budget < seen[0].budget,
        "the time that has passed is not given again"
    );
}

#[rstest]
#[case::no_config(None, "h", "/a/x", Some("key"), RefusalKind::NoConfig)]
#[case::unknown_host(Some(()), "g", "/a/x", Some("key"), RefusalKind::NoRoute)]
#[case::unknown_path(Some(()), "h", "/b/x", Some("key"), RefusalKind::NoRoute)]
#[case::unknown_key(Some(()), "h", "/a/x", Some("other"), RefusalKind::UnknownKey)]
#[case::no_key(Some(()), "h", "/a/x", None, RefusalKind::UnknownKey)]
#[tokio::test(start_paused = true)]
async fn test_serve_refuses_by_configuration(
    #[case] known: Option<()>,
    #[case] host: &str,
    #[case] target: &str,
    #[case] key: Option<&str>,
    #[case] expected: RefusalKind,
) {
    let node = match known {
        Some(()) => node(config(CallKind::Once), 2),
        None => Node::new(
            testutils::settings("entry-1"),
            node(Config::default(), 0).metrics.clone(),
        ),
    };
    let edge = ScriptedEdge::new([]);
    let mut call = call("1");
    call.host = host.to_owned();
    call.target = target.to_owned();
    call.key = key.map(ToOwned::to_owned);
    let Reply::Refused(refusal) = serve(&node, &edge, call).await else {
        panic!("not refused");
    };
    assert_eq!(refusal.kind, expected);
}

#[tokio::test(start_paused = true)]
async fn test_serve_gives_quota_back_for_what_did_not_run() {
    let node = node(config(CallKind::Once), 2);
    let script = std::iter::repeat_n(rejected(), 150);
    let edge = ScriptedEdge::new(script);
    // 70 requests of two sends each; the bucket holds 100 units.
    for _ in 0..70 {
        let kind = refusal(&node, &edge).await.kind;
        assert_ne!(kind, RefusalKind::OverQuota);
    }
    let totals = node.quotas.lock().own_totals();
    assert!(totals.values().all(|total| *total == 0.0));
}

#[tokio::test(start_paused = true)]
async fn test_serve_refuses_a_request_that_crashed_three_endpoints() {
    let node = node(config(CallKind::Once), 5);
    let edge = ScriptedEdge::new([broke(), broke(), broke()]);
    for _ in 0..3 {
        assert_eq!(status(&node, &edge).await, 502);
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    let refusal = refusal(&node, &edge).await;
    assert_eq!(refusal.kind, RefusalKind::Crashing);
    assert!(refusal.retry_after.is_some());
}

#[tokio::test(start_paused = true)]
async fn test_serve_stream_goes_on_after_the_last_whole_event() {
    let node = node(config(CallKind::ResumableStream), 4);
    let edge = ScriptedEdge::new([
        Script::Stream(
            vec!["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\nda"],
            Err("reset"),
        ),
        Script::Stream(vec!["id: 3\ndata: c\n\n"], Ok(())),
    ]);
    let (text, error) = events(serve(&node, &edge, call("1")).await).await;
    assert_eq!(
        text,
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
    );
    assert_eq!(error, None);
    assert_eq!(edge.seen.lock()[1].last_event, Some(2));
}

#[rstest]
#[case::broken(Script::Stream(vec!["id: 1\ndata: a\n\nid: 2"], Err("reset")))]
#[case::ended_within_an_event(Script::Stream(vec!["id: 1\ndata: a\n\nid: 2"], Ok(())))]
#[case::silent(Script::Stall(vec!["id: 1\ndata: a\n\n"]))]
#[tokio::test(start_paused = true)]
async fn test_serve_stream_that_may_not_go_on_does_not_look_complete(#[case] script: Script) {
    let node = node(config(CallKind::Stream), 4);
    let edge = ScriptedEdge::new([script]);
    let (text, error) = events(serve(&node, &edge, call("1")).await).await;
    assert_eq!(text, "id: 1\ndata: a\n\n");
    assert!(error.is_some());
}

#[tokio::test(start_paused = true)]
async fn test_serve_stream_leaves_a_silent_endpoint_within_the_callers_patience() {
    let node = node(config(CallKind::ResumableStream), 4);
    let edge = ScriptedEdge::new([
        Script::Stall(vec!["id: 1\ndata: a\n\n"]),
        Script::Stream(vec!["id: 2\ndata: b\n\n"], Ok(())),
    ]);
    let begun = Instant::now();
    let (text, error) = events(serve(&node, &edge, call("1")).await).await;
    assert_eq!(
        (text.as_str(), error),
        ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", None)
    );
    assert!(begun.elapsed() < Duration::from_secs(2));
    assert_eq!(*edge.cancelled.lock(), 1, "the first run goes on");
}

#[tokio::test(start_paused = true)]
async fn test_serve_stream_ends_when_its_caller_leaves() {
    let node = node(config(CallKind::Stream), 4);
    let edge = ScriptedEdge::new([Script::Stall(vec!["id: 1\ndata: a\n\n"])]);
    let reply = serve(&node, &edge, call("1")).await;
    assert_eq!(node.in_flight(), 1);
    drop(reply);
    assert_eq!(*edge.cancelled.lock(), 1);
    assert_eq!(node.in_flight(), 0);
    let endpoints = node.endpoints.lock();
    assert!(endpoints.iter().all(|(_, e)| e.load.is_idle()));
}

#[tokio::test(start_paused = true)]
async fn test_serve_refuses_at_once_when_no_endpoint_is_left() {
    let node = node(config(CallKind::Once), 0);
    let edge = ScriptedEdge::new([]);
    let begun = Instant::now();
    let refusal = refusal(&node, &edge).await;
    assert_eq!(refusal.kind, RefusalKind::NoEndpoint);
    assert!(refusal.retry_after.is_some());
    assert_eq!(begun.elapsed(), Duration::ZERO);
}
