//! Requests that arrive at an entry while it shuts down gracefully, or are in progress then.

mod testutils;

use std::sync::Arc;
use std::time::Duration;

use hawthornrack_entry::Branch;
use hawthornrack_entry::Call;
use hawthornrack_entry::CallerConnections;
use hawthornrack_entry::CallerResponse;
use hawthornrack_entry::Metrics;
use hawthornrack_entry::Node;
use hawthornrack_entry::Prompt;
use hawthornrack_entry::RefusalKind;
use hawthornrack_entry::RouteKind;
use hawthornrack_entry::ServiceName;
use hawthornrack_entry::end_connections;
use hawthornrack_entry::finish_duties;
use hawthornrack_entry::serve;
use hawthornrack_entry::shut_down;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::metrics::noop::NoopMeterProvider;
use rstest::rstest;
use testutils::Log;
use testutils::ScriptedClient;
use testutils::ScriptedSend;
use testutils::call;
use testutils::config;
use testutils::node;
use testutils::settings;
use tokio::time::Instant;

/// Interval at which requests arrive.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of requests from which an entry learns how long they take.
const LEARNING_REQUESTS: usize = 60;

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Refused,
    Complete,
    Cut,
}

/// Returns a stream request whose caller waits for 15 s.
fn stream_call(id: &str) -> Call {
    Call {
        timeout: Some(Duration::from_secs(15)),
        prompt: Some(Prompt {
            input: 100,
            max_output: 100,
            ..Prompt::default()
        }),
        ..call(id)
    }
}

/// Creates an entry whose route allows streams of 15 s.
fn stream_node() -> Arc<Node> {
    let mut config = config(RouteKind::ResumableStream);
    let route = &mut config.routes["h"][0];
    route.timeout = Duration::from_secs(15);
    route.max_pause = Duration::from_secs(10);
    config.customers[0].quota.rate = 10_000.0;
    config.customers[0].quota.burst = 10_000.0;
    node(config, 40)
}

/// Serves a stream that ends `duration` after its start, and cuts it at `end`.
async fn serve_stream(node: &Arc<Node>, id: &str, duration: Duration, end: Instant) -> Outcome {
    let send = ScriptedSend::Delayed("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", duration);
    let client = ScriptedClient::new([send]);
    let read = async {
        let CallerResponse::Stream { mut events, .. } = serve(node, &client, stream_call(id)).await
        else {
            return Outcome::Refused;
        };
        while let Ok(Some(_)) = events.next().await {}
        Outcome::Complete
    };
    tokio::time::timeout_at(end, read)
        .await
        .unwrap_or(Outcome::Cut)
}

/// Shuts an entry down while streams that take `duration` arrive; returns when each was sent, from
/// the start of shutdown, and what became of it.
async fn streams_during_shutdown(node: &Arc<Node>, duration: Duration) -> Vec<(Duration, Outcome)> {
    let connections = CallerConnections::default();
    let start = Instant::now();
    let end = start + node.settings.grace;
    let arrivals = (1..80).map(|n| {
        let node = Arc::clone(node);
        async move {
            let at = ARRIVAL_INTERVAL * n;
            tokio::time::sleep_until(start + at).await;
            (
                at,
                serve_stream(&node, &format!("s{n}"), duration, end).await,
            )
        }
    });
    let arrivals = futures_util::future::join_all(arrivals);
    let (outcomes, ()) = tokio::join!(arrivals, shut_down(node, &connections));
    outcomes
}

// An entry that shuts down accepted streams for a fixed time, whatever they took, and its process
// ended in the middle of those that took longer than the rest of the grace period.
#[rstest]
#[case::short(1)]
#[case::longer_than_half_of_the_grace_period(5)]
#[case::almost_as_long_as_the_grace_period(7)]
#[tokio::test(start_paused = true)]
async fn test_shutdown_refuses_streams_that_would_outlast_the_grace_period(#[case] seconds: u64) {
    let node = stream_node();
    let duration = Duration::from_secs(seconds);
    let never = Instant::now() + Duration::from_hours(1);
    for n in 0..LEARNING_REQUESTS {
        let outcome = serve_stream(&node, &format!("l{n}"), duration, never).await;
        assert_eq!(outcome, Outcome::Complete);
    }
    let outcomes = streams_during_shutdown(&node, duration).await;
    let cut: Vec<_> = outcomes.iter().filter(|o| o.1 == Outcome::Cut).collect();
    assert!(cut.is_empty(), "accepted, then cut: {cut:?}");
    let margin = Duration::from_secs(1);
    let fits = |at: Duration| at + duration + margin < node.settings.grace;
    let refused: Vec<_> = outcomes
        .iter()
        .filter(|o| o.1 == Outcome::Refused && fits(o.0) && o.0 < Duration::from_secs(2))
        .collect();
    assert!(refused.is_empty(), "refused without need: {refused:?}");
}

// How long a stream takes is known only on average. When callers have learnt of other entries, an
// entry that shuts down must not rely on it.
#[tokio::test(start_paused = true)]
async fn test_shutdown_refuses_late_streams_that_may_outlast_the_grace_period() {
    let node = stream_node();
    let outcomes = streams_during_shutdown(&node, Duration::from_secs(5)).await;
    let cut: Vec<_> = outcomes
        .iter()
        .filter(|o| o.1 == Outcome::Cut && o.0 > Duration::from_millis(2800))
        .collect();
    assert!(cut.is_empty(), "accepted late, then cut: {cut:?}");
}

// A request in progress at the end of a shutdown got neither a response nor a refusal, since the
// process ended first.
#[rstest]
#[case::without_response(ScriptedSend::Hang)]
#[case::before_the_first_event(ScriptedSend::Stall(Vec::new()))]
#[tokio::test(start_paused = true)]
async fn test_shutdown_answers_requests_that_it_cannot_complete(#[case] send: ScriptedSend) {
    let mut config = config(RouteKind::Stream);
    config.routes["h"][0].timeout = Duration::from_secs(15);
    config.routes["h"][0].max_pause = Duration::from_secs(10);
    let node = node(config, 4);
    let client = ScriptedClient::new([send]);
    let request = tokio::spawn({
        let node = Arc::clone(&node);
        async move { serve(&node, &client, stream_call("1")).await }
    });
    tokio::task::yield_now().await;
    let connections = CallerConnections::default();
    shut_down(&node, &connections).await;
    assert_eq!(node.in_flight(), 0);
    let response = tokio::time::timeout(Duration::ZERO, request).await;
    let response = response.expect("no response").unwrap();
    assert!(
        matches!(response, CallerResponse::Refused(refusal) if refusal.kind == RefusalKind::Broken),
        "{response:?}"
    );
}

// A request that may run only once was accepted late, on the strength of its expected duration, and
// ended with a status that does not allow its caller to send it again.
#[tokio::test(start_paused = true)]
async fn test_shutdown_refuses_late_requests_that_may_not_be_sent_again() {
    let mut config = config(RouteKind::Once);
    config.routes["h"][0].timeout = Duration::from_secs(15);
    let node = node(config, 4);
    node.begin_shutdown();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let client = ScriptedClient::new([]);
    let response = serve(&node, &client, stream_call("1")).await;
    assert!(
        matches!(response, CallerResponse::Refused(refusal) if refusal.kind == RefusalKind::Stopping),
        "{response:?}"
    );
}

// The log of a refused request showed more time left than the decision allowed for: a caller's
// timeout of 4 s beside 4.4 s left.
#[tokio::test(start_paused = true)]
async fn test_shutdown_logs_the_time_left_that_decided() {
    let (log, _guard) = Log::capture();
    let mut config = config(RouteKind::Once);
    config.routes["h"][0].timeout = Duration::from_secs(15);
    let node = node(config, 4);
    node.begin_shutdown();
    tokio::time::sleep(Duration::from_millis(3600)).await;
    let call = Call {
        timeout: Some(Duration::from_secs(4)),
        ..call("1")
    };
    serve(&node, &ScriptedClient::new([]), call).await;
    let logged = |field| log.values("stopping_request", field);
    assert_eq!(logged("outcome"), ["refused"]);
    assert_eq!(logged("timeout_ms"), ["4000"]);
    assert_eq!(logged("left_ms"), ["3800"]);
}

// A branch that gets no requests has no measured duration; the duration assumed for it made an
// entry refuse requests of a fast route.
#[tokio::test(start_paused = true)]
async fn test_shutdown_ignores_branches_without_requests() {
    let mut config = config(RouteKind::Idempotent);
    let unused = Branch {
        service: ServiceName::from("unused"),
        weight: 0,
    };
    config.routes["h"][0].branches.push(unused);
    let node = node(config, 4);
    let client = ScriptedClient::new(vec![ScriptedSend::Respond(200); LEARNING_REQUESTS + 1]);
    for _ in 0..LEARNING_REQUESTS {
        serve(&node, &client, call("1")).await;
    }
    node.begin_shutdown();
    tokio::time::sleep(Duration::from_millis(5500)).await;
    let response = serve(&node, &client, call("1")).await;
    assert!(
        matches!(response, CallerResponse::Whole { .. }),
        "{response:?}"
    );
}

// With a grace period shorter than its fixed steps, the shutdown outlasted it.
#[tokio::test(start_paused = true)]
async fn test_shutdown_ends_within_a_short_grace_period() {
    let mut settings = settings("entry-1");
    settings.grace = Duration::from_secs(2);
    let metrics = Metrics::new(&NoopMeterProvider::new().meter("test"));
    let node = Node::new(settings, metrics);
    let start = Instant::now();
    shut_down(&node, &CallerConnections::default()).await;
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
}

// A stream that broke during shutdown was resumed at another endpoint with too little time left,
// and cut a second time.
#[tokio::test(start_paused = true)]
async fn test_shutdown_does_not_resume_streams_that_cannot_finish() {
    let node = stream_node();
    let seconds = Duration::from_secs(4);
    let never = Instant::now() + Duration::from_hours(1);
    for n in 0..LEARNING_REQUESTS {
        serve_stream(&node, &format!("l{n}"), seconds, never).await;
    }
    let breaks = ScriptedSend::Stream(vec!["id: 1\ndata: a\n\n"], Err("reset"));
    let client = ScriptedClient::new([breaks, ScriptedSend::Stall(Vec::new())]);
    let response = serve(&node, &client, stream_call("1")).await;
    let CallerResponse::Stream { mut events, .. } = response else {
        panic!("no stream: {response:?}");
    };
    assert!(events.next().await.unwrap().is_some());
    node.begin_shutdown();
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(events.next().await.is_err());
    assert_eq!(client.seen.lock().len(), 1);
}

// The process ended as soon as its last duties were done, and cut streams that would have ended
// within the rest of the grace period.
#[rstest]
#[case::ends_in_time(7_700, true)]
#[case::outlasts_the_grace_period(8_500, false)]
#[tokio::test(start_paused = true)]
async fn test_shutdown_uses_the_grace_period_for_open_streams(
    #[case] duration_ms: u64,
    #[case] is_complete: bool,
) {
    let node = stream_node();
    let connections = CallerConnections::default();
    let start = Instant::now();
    let end = start + Duration::from_millis(duration_ms);
    let cut = connections.cut.clone();
    let stream = connections.tasks.spawn(async move {
        tokio::select! {
            () = tokio::time::sleep_until(end) => true,
            () = cut.cancelled() => false,
        }
    });
    shut_down(&node, &connections).await;
    finish_duties(&node, tokio::spawn(async {})).await;
    end_connections(&node, &connections).await;
    assert!(start.elapsed() < node.settings.grace);
    assert_eq!(stream.await.unwrap(), is_complete);
}
