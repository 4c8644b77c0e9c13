//! Serving requests that endpoints complete, reject, fail or never respond to.

mod testutils;

use std::sync::Arc;
use std::time::Duration;

use hawthornrack_entry::Call;
use hawthornrack_entry::CallerResponse;
use hawthornrack_entry::Config;
use hawthornrack_entry::EndpointNotice;
use hawthornrack_entry::EndpointRecord;
use hawthornrack_entry::Interruption;
use hawthornrack_entry::Node;
use hawthornrack_entry::Refusal;
use hawthornrack_entry::RefusalKind;
use hawthornrack_entry::RouteKind;
use hawthornrack_entry::SendFailure;
use hawthornrack_entry::StreamBroken;
use hawthornrack_entry::serve;
use rstest::rstest;
use testutils::ScriptedClient;
use testutils::ScriptedSend;
use testutils::call;
use testutils::config;
use testutils::endpoint;
use testutils::node;
use tokio::time::Instant;

fn may_have_run() -> ScriptedSend {
    ScriptedSend::Fail(SendFailure::MayHaveRun(Interruption::ConnectionBroken(
        "reset".to_owned(),
    )))
}

fn rejected() -> ScriptedSend {
    ScriptedSend::Fail(SendFailure::Rejected {
        status: 503,
        misdirected: false,
        notice: EndpointNotice::default(),
    })
}

fn not_written() -> ScriptedSend {
    ScriptedSend::Fail(SendFailure::NotWritten("refused".to_owned()))
}

async fn response_status(node: &Arc<Node>, client: &Arc<ScriptedClient>) -> u16 {
    match serve(node, client, call("1")).await {
        CallerResponse::Whole { status, .. } | CallerResponse::Stream { status, .. } => status,
        CallerResponse::Refused(refusal) => refusal.kind.status(),
    }
}

async fn expect_refusal(node: &Arc<Node>, client: &Arc<ScriptedClient>) -> Refusal {
    match serve(node, client, call("1")).await {
        CallerResponse::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

/// Reads a stream to its end; returns the received text and the error, if the stream failed.
async fn read_stream(response: CallerResponse<ScriptedClient>) -> (String, Option<StreamBroken>) {
    let CallerResponse::Stream { mut events, .. } = response else {
        panic!("no stream: {response:?}");
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

// A non-retryable request that may have run must not be sent again, since it could run twice. It
// must not be refused with a status that rules out execution either, since callers would then retry
// it.
#[rstest]
#[case::once_broken(RouteKind::Once, vec![may_have_run()], 502, 1)]
#[case::once_rejected_then_answered(RouteKind::Once, vec![rejected(), ScriptedSend::Respond(200)], 200, 2)]
#[case::once_rejected_twice(RouteKind::Once, vec![rejected(), rejected()], 503, 2)]
#[case::once_not_written(RouteKind::Once, vec![not_written(), ScriptedSend::Respond(200)], 200, 2)]
#[case::once_endpoint_error(RouteKind::Once, vec![ScriptedSend::Respond(500)], 500, 1)]
#[case::idempotent_broken(RouteKind::Idempotent, vec![may_have_run(), ScriptedSend::Respond(200)], 200, 2)]
#[case::idempotent_endpoint_error(RouteKind::Idempotent, vec![ScriptedSend::Respond(500), ScriptedSend::Respond(200)], 200, 2)]
#[case::idempotent_broken_twice(RouteKind::Idempotent, vec![may_have_run(), may_have_run()], 502, 2)]
#[case::idempotent_broken_then_rejected(RouteKind::Idempotent, vec![may_have_run(), rejected()], 502, 2)]
#[tokio::test(start_paused = true)]
async fn test_serve_retries_only_where_safe(
    #[case] kind: RouteKind,
    #[case] script: Vec<ScriptedSend>,
    #[case] expected: u16,
    #[case] sends: usize,
) {
    let node = node(config(kind), 4);
    let client = ScriptedClient::new(script);
    assert_eq!(response_status(&node, &client).await, expected);
    let seen = client.seen.lock();
    assert_eq!(seen.len(), sends);
    let mut endpoints: Vec<_> = seen.iter().map(|s| s.endpoint.clone()).collect();
    endpoints.dedup();
    assert_eq!(endpoints.len(), sends, "an endpoint was tried twice");
    assert!(seen.iter().all(|s| s.customer.as_deref() == Some("kanem")));
}

// An endpoint that never responds may have run the request: the caller must get 504 at its own
// timeout, without a Retry-After that suggests a safe retry.
#[tokio::test(start_paused = true)]
async fn test_serve_once_times_out_without_retry_after() {
    let node = node(config(RouteKind::Once), 4);
    let client = ScriptedClient::new([ScriptedSend::Hang]);
    let started = Instant::now();
    let refusal = expect_refusal(&node, &client).await;
    assert_eq!(refusal.kind.status(), 504);
    assert_eq!(refusal.retry_after, None);
    assert_eq!(started.elapsed().as_secs(), 3);
    assert_eq!(node.in_flight(), 0);
}

// A hanging endpoint must not use up the caller's timeout when another endpoint can respond; the
// second send gets only the time that is left.
#[tokio::test(start_paused = true)]
async fn test_serve_idempotent_retries_early_when_an_endpoint_hangs() {
    let node = node(config(RouteKind::Idempotent), 4);
    let client = ScriptedClient::new([ScriptedSend::Hang, ScriptedSend::Respond(200)]);
    let started = Instant::now();
    assert_eq!(response_status(&node, &client).await, 200);
    assert!(started.elapsed() < Duration::from_secs(1));
    let seen = client.seen.lock();
    assert!(
        seen[1].time_left < seen[0].time_left,
        "the second send must not get the elapsed time again"
    );
}

// A request that had failed was sent again although no response could come before its deadline: its
// caller was told nothing until then, and the endpoint worked in vain.
#[rstest]
#[case::hopeless(700, 502, 1)]
#[case::in_time(2_000, 200, 2)]
#[tokio::test(start_paused = true)]
async fn test_serve_retries_only_what_can_end_before_its_deadline(
    #[case] timeout_ms: u64,
    #[case] expected: u16,
    #[case] sends: usize,
) {
    let mut config = config(RouteKind::Idempotent);
    config.routes["h"][0].objective = Duration::from_secs(1);
    let node = node(config, 4);
    let slow = ScriptedSend::RespondAfter(200, Duration::from_millis(500));
    let client = ScriptedClient::new(vec![slow.clone(); 60]);
    for _ in 0..60 {
        assert_eq!(response_status(&node, &client).await, 200);
    }
    let fails = ScriptedSend::FailAfter(
        SendFailure::MayHaveRun(Interruption::ConnectionBroken("reset".to_owned())),
        Duration::from_millis(400),
    );
    let client = ScriptedClient::new([fails, slow]);
    let call = Call {
        timeout: Some(Duration::from_millis(timeout_ms)),
        ..call("1")
    };
    let started = Instant::now();
    let status = match serve(&node, &client, call).await {
        CallerResponse::Whole { status, .. } => status,
        CallerResponse::Refused(refusal) => refusal.kind.status(),
        CallerResponse::Stream { .. } => panic!("a stream"),
    };
    assert_eq!((status, client.seen.lock().len()), (expected, sends));
    assert!(sends == 2 || started.elapsed() < Duration::from_millis(500));
}

// Requests that the configuration does not allow must be refused with the matching reason and never
// reach an endpoint.
#[rstest]
#[case::no_config(None, "h", "/a/x", Some("key"), RefusalKind::NoConfig)]
#[case::unknown_host(Some(()), "g", "/a/x", Some("key"), RefusalKind::NoRoute)]
#[case::unknown_path(Some(()), "h", "/b/x", Some("key"), RefusalKind::NoRoute)]
#[case::unknown_key(Some(()), "h", "/a/x", Some("other"), RefusalKind::UnknownKey)]
#[case::no_key(Some(()), "h", "/a/x", None, RefusalKind::UnknownKey)]
#[tokio::test(start_paused = true)]
async fn test_serve_refuses_by_configuration(
    #[case] configured: Option<()>,
    #[case] host: &str,
    #[case] target: &str,
    #[case] key: Option<&str>,
    #[case] expected: RefusalKind,
) {
    let node = match configured {
        Some(()) => node(config(RouteKind::Once), 2),
        None => Node::new(
            testutils::settings("entry-1"),
            node(Config::default(), 0).metrics.clone(),
        ),
    };
    let client = ScriptedClient::new([]);
    let mut call = call("1");
    call.host = host.to_owned();
    call.target = target.to_owned();
    call.key = key.map(ToOwned::to_owned);
    let CallerResponse::Refused(refusal) = serve(&node, &client, call).await else {
        panic!("not refused");
    };
    assert_eq!(refusal.kind, expected);
}

// Requests that endpoints reject without running them must not use up the customer's quota.
#[tokio::test(start_paused = true)]
async fn test_serve_refunds_quota_of_rejected_requests() {
    let node = node(config(RouteKind::Once), 2);
    let script = std::iter::repeat_n(rejected(), 150);
    let client = ScriptedClient::new(script);
    // 70 requests of two sends each; the bucket holds 100 units.
    for _ in 0..70 {
        let kind = expect_refusal(&node, &client).await.kind;
        assert_ne!(kind, RefusalKind::OverQuota);
    }
    let totals = node.quotas.lock().own_totals();
    assert!(
        totals
            .values()
            .all(|total| total.admitted - total.refunded == 0.0)
    );
}

// A request that crashes every endpoint it runs on would take down the whole service if callers
// kept retrying it.
#[tokio::test(start_paused = true)]
async fn test_serve_refuses_request_that_crashed_three_endpoints() {
    let node = node(config(RouteKind::Once), 5);
    let client = ScriptedClient::new([may_have_run(), may_have_run(), may_have_run()]);
    for _ in 0..3 {
        assert_eq!(response_status(&node, &client).await, 502);
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    let refusal = expect_refusal(&node, &client).await;
    assert_eq!(refusal.kind, RefusalKind::Crashing);
    assert!(refusal.retry_after.is_some());
}

// An endpoint that is too slow, or whose response is unusable, has not crashed: a version several times
// slower than the others made entries refuse repeated requests, also after it had been rolled back.
#[rstest]
#[case::timed_out(Interruption::TimedOut("timeout".to_owned()))]
#[case::invalid_response(Interruption::InvalidResponse("status".to_owned()))]
#[tokio::test(start_paused = true)]
async fn test_serve_does_not_refuse_request_that_crashed_no_endpoint(#[case] cause: Interruption) {
    let node = node(config(RouteKind::Once), 5);
    let failure = ScriptedSend::Fail(SendFailure::MayHaveRun(cause));
    let script = std::iter::repeat_n(failure, 3).chain([ScriptedSend::Respond(200)]);
    let client = ScriptedClient::new(script);
    for _ in 0..3 {
        response_status(&node, &client).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    assert_eq!(response_status(&node, &client).await, 200);
}

// Guards against a request that crashes the only endpoint of a service again and again: one that was
// back under its id counted once.
#[tokio::test(start_paused = true)]
async fn test_serve_refuses_request_that_crashed_one_endpoint_three_times() {
    let node = node(config(RouteKind::Once), 1);
    let client = ScriptedClient::new([may_have_run(), may_have_run(), may_have_run()]);
    for incarnation in 2..5 {
        assert_eq!(response_status(&node, &client).await, 502);
        let restarted = EndpointRecord {
            incarnation,
            ..endpoint("e0")
        };
        node.endpoints.lock().apply(restarted, Instant::now());
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    let refusal = expect_refusal(&node, &client).await;
    assert_eq!(refusal.kind, RefusalKind::Crashing);
}

/// Chunks of a stream that ends within its third event.
const CUT_CHUNKS: [&str; 2] = ["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\nda"];

// A stream that breaks within an event must resume after the last complete event, without losing
// or repeating an event, however its body ended.
#[rstest]
#[case::reset(ScriptedSend::Stream(CUT_CHUNKS.to_vec(), Err("reset")))]
#[case::stated_end(ScriptedSend::Stream(CUT_CHUNKS.to_vec(), Ok(())))]
#[case::end_of_connection(ScriptedSend::Unframed(CUT_CHUNKS.to_vec()))]
#[tokio::test(start_paused = true)]
async fn test_serve_stream_resumes_after_the_last_complete_event(#[case] cut: ScriptedSend) {
    let node = node(config(RouteKind::ResumableStream), 4);
    let client = ScriptedClient::new([
        cut,
        ScriptedSend::Stream(vec!["id: 3\ndata: c\n\n"], Ok(())),
    ]);
    let (text, error) = read_stream(serve(&node, &client, call("1")).await).await;
    assert_eq!(
        text,
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
    );
    assert_eq!(error, None);
    assert_eq!(client.seen.lock()[1].last_event, Some(2));
}

// A stream without a stated end that ends before its first event may have lost its connection: its
// endpoint may have failed right after the head of the response.
#[rstest]
#[case::no_bytes(vec![])]
#[case::comment(vec![": begin\n\n"])]
#[tokio::test(start_paused = true)]
async fn test_serve_stream_that_ends_before_its_first_event_is_resumed(
    #[case] chunks: Vec<&'static str>,
) {
    let node = node(config(RouteKind::ResumableStream), 4);
    let client = ScriptedClient::new([
        ScriptedSend::Unframed(chunks),
        ScriptedSend::Unframed(vec!["id: 1\ndata: a\n\n"]),
    ]);
    let (text, error) = read_stream(serve(&node, &client, call("1")).await).await;
    assert!(text.ends_with("id: 1\ndata: a\n\n"), "{text}");
    assert_eq!(error, None);
}

// A stream that breaks and cannot be resumed must end with an error, or the caller would take a
// truncated stream for a complete one.
#[rstest]
#[case::broken(ScriptedSend::Stream(vec!["id: 1\ndata: a\n\nid: 2"], Err("reset")))]
#[case::ended_within_an_event(ScriptedSend::Stream(vec!["id: 1\ndata: a\n\nid: 2"], Ok(())))]
#[case::silent(ScriptedSend::Stall(vec!["id: 1\ndata: a\n\n"]))]
#[tokio::test(start_paused = true)]
async fn test_serve_stream_not_resumable_ends_with_an_error(#[case] script: ScriptedSend) {
    let node = node(config(RouteKind::Stream), 4);
    let client = ScriptedClient::new([script]);
    let (text, error) = read_stream(serve(&node, &client, call("1")).await).await;
    assert_eq!(text, "id: 1\ndata: a\n\n");
    assert!(error.is_some());
}

// A stream that stalls must be resumed at another endpoint before the caller abandons it, and the
// stalled one must be cancelled.
#[tokio::test(start_paused = true)]
async fn test_serve_stream_resumes_when_an_endpoint_stalls() {
    let node = node(config(RouteKind::ResumableStream), 4);
    let client = ScriptedClient::new([
        ScriptedSend::Stall(vec!["id: 1\ndata: a\n\n"]),
        ScriptedSend::Stream(vec!["id: 2\ndata: b\n\n"], Ok(())),
    ]);
    let started = Instant::now();
    let (text, error) = read_stream(serve(&node, &client, call("1")).await).await;
    assert_eq!(
        (text.as_str(), error),
        ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", None)
    );
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(
        *client.cancelled.lock(),
        1,
        "the stalled stream was not cancelled"
    );
}

// When a caller disconnects, its stream must be cancelled at the endpoint and release its slot;
// otherwise abandoned streams fill the endpoints.
#[tokio::test(start_paused = true)]
async fn test_serve_stream_is_cancelled_when_its_caller_disconnects() {
    let node = node(config(RouteKind::Stream), 4);
    let client = ScriptedClient::new([ScriptedSend::Stall(vec!["id: 1\ndata: a\n\n"])]);
    let response = serve(&node, &client, call("1")).await;
    assert_eq!(node.in_flight(), 1);
    drop(response);
    assert_eq!(*client.cancelled.lock(), 1);
    assert_eq!(node.in_flight(), 0);
    let endpoints = node.endpoints.lock();
    assert!(endpoints.iter().all(|(_, e)| e.load.is_idle()));
}

// Waiting for a slot makes no sense when there is no endpoint: the refusal must come at once, with
// a Retry-After.
#[tokio::test(start_paused = true)]
async fn test_serve_refuses_immediately_without_endpoints() {
    let node = node(config(RouteKind::Once), 0);
    let client = ScriptedClient::new([]);
    let started = Instant::now();
    let refusal = expect_refusal(&node, &client).await;
    assert_eq!(refusal.kind, RefusalKind::NoEndpoint);
    assert!(refusal.retry_after.is_some());
    assert_eq!(started.elapsed(), Duration::ZERO);
}

// Guards against requests to an endpoint that has said in a response that it leaves, while the
// endpoint list still names it as ready.
#[tokio::test(start_paused = true)]
async fn test_serve_endpoint_that_says_it_leaves_gets_no_more_requests() {
    let node = node(config(RouteKind::Once), 1);
    let leaving = EndpointNotice {
        leaving: true,
        ..EndpointNotice::default()
    };
    let client = ScriptedClient::new([ScriptedSend::Notify(200, leaving)]);
    assert_eq!(response_status(&node, &client).await, 200);
    let refusal = expect_refusal(&node, &client).await;
    assert_eq!(refusal.kind, RefusalKind::NoEndpoint);
    assert_eq!(client.seen.lock().len(), 1);
}

// Guards against requests, retries and waiting requests that reach an endpoint within the time for
// which it has asked for none, and against a Retry-After that brings the caller back too early.
#[tokio::test(start_paused = true)]
async fn test_serve_endpoint_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    let node = node(config(RouteKind::Idempotent), 1);
    let pause = Duration::from_secs(3);
    let rejected = ScriptedSend::Fail(SendFailure::Rejected {
        status: 503,
        misdirected: false,
        notice: EndpointNotice {
            leaving: false,
            retry_after: Some(pause),
            ..EndpointNotice::default()
        },
    });
    let client = ScriptedClient::new([rejected, ScriptedSend::Respond(200)]);
    expect_refusal(&node, &client).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let refusal = expect_refusal(&node, &client).await;
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
    let after = refusal.retry_after.unwrap();
    assert!(after >= Duration::from_millis(1_900), "{after:?}");
    // The rest of the pause is shorter than the objective of 300 ms.
    tokio::time::sleep(after.saturating_sub(Duration::from_millis(150))).await;
    expect_refusal(&node, &client).await;
    assert_eq!(client.seen.lock().len(), 1);
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(response_status(&node, &client).await, 200);
    assert_eq!(client.seen.lock().len(), 2);
}

// Guards against a stalled stream that never ends because its endpoint sends a comment or part of an
// event now and then, and against cutting one that is slow but sends events: only events count as
// progress.
#[rstest]
#[case::comments(": wait\n\n", 300, true)]
#[case::empty_lines("\n", 300, true)]
#[case::parts_of_an_event("data: x", 300, true)]
#[case::events_within_the_pause("data: x\n\n", 2_900, false)]
#[tokio::test(start_paused = true)]
async fn test_serve_stream_progress_is_measured_in_events(
    #[case] chunk: &'static str,
    #[case] interval_ms: u64,
    #[case] is_cut: bool,
) {
    let mut config = config(RouteKind::Stream);
    let route = &mut config.routes["h"][0];
    route.timeout = Duration::from_secs(20);
    let interval = Duration::from_millis(interval_ms);
    let node = node(config, 1);
    let client = ScriptedClient::new([ScriptedSend::Drip("data: 1\n\n", chunk, interval)]);
    let mut call = call("1");
    call.timeout = Some(Duration::from_secs(20));
    let started = Instant::now();
    let (_, broken) = read_stream(serve(&node, &client, call).await).await;
    assert!(broken.is_some());
    // Eight times the maximum pause of 400 ms, and the deadline of 20 s.
    let most = Duration::from_secs(if is_cut { 4 } else { 20 });
    assert!(started.elapsed() <= most, "{:?}", started.elapsed());
    assert!(is_cut || started.elapsed() >= Duration::from_secs(19));
}
