//! Failures that are blamed on the request that was running, and failures that are not.

mod testutils;

use std::sync::Arc;
use std::time::Duration;

use hawthornrack_entry::Call;
use hawthornrack_entry::CallerResponse;
use hawthornrack_entry::EndpointId;
use hawthornrack_entry::EndpointRecord;
use hawthornrack_entry::EventRelay;
use hawthornrack_entry::GossipRequest;
use hawthornrack_entry::Node;
use hawthornrack_entry::PartId;
use hawthornrack_entry::Prompt;
use hawthornrack_entry::PromptPart;
use hawthornrack_entry::RefusalKind;
use hawthornrack_entry::Rollout;
use hawthornrack_entry::RolloutOrder;
use hawthornrack_entry::RolloutState;
use hawthornrack_entry::RouteKind;
use hawthornrack_entry::ServiceName;
use hawthornrack_entry::Stage;
use hawthornrack_entry::VersionName;
use hawthornrack_entry::handle_exchange;
use hawthornrack_entry::serve;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rstest::rstest;
use testutils::ScriptedClient;
use testutils::ScriptedSend;
use testutils::call;
use testutils::config;
use testutils::endpoint;
use testutils::settings;
use tokio::time::Instant;

/// Number of endpoints that fail; as many crashes are enough to refuse a request.
const FAILURES: usize = 3;

/// Prompt part that the requests have in common with others.
const SHARED_PART: PartId = PartId(7);

/// An event that lacks its last empty line.
const UNENDED: &str = "id: 2\ndata: b\n";

/// An event of a stream.
const EVENT: &str = "id: 1\ndata: a\n\n";

/// Returns an endpoint that runs one request at a time.
fn record(id: &str, version: &str) -> EndpointRecord {
    EndpointRecord {
        version: VersionName::from(version),
        slots: 1,
        ..endpoint(id)
    }
}

/// Creates an entry with endpoints `e0`, `e1`... of one version, as many as fail.
fn node(name: &str, version: &str) -> Arc<Node> {
    let metrics = testutils::node(config(RouteKind::Stream), 0)
        .metrics
        .clone();
    let node = Node::new(settings(name), metrics);
    let records = (0..FAILURES).map(|number| record(&format!("e{number}"), version));
    let now = Instant::now();
    node.endpoints.lock().replace(records.collect(), now);
    assert!(node.apply_config(config(RouteKind::Stream), "test"));
    node
}

/// Returns a request with a shared prompt part; all requests are the same but for their id.
fn request(id: &str) -> Call {
    let parts = [SHARED_PART, PartId(8)].map(|id| PromptPart { id, tokens: 10 });
    Call {
        prompt: Some(Prompt {
            parts: parts.to_vec(),
            input: 20,
            max_output: 10,
            hint: None,
        }),
        ..call(id)
    }
}

/// Starts the same request at every endpoint; all streams break after their first event.
async fn start_streams(node: &Arc<Node>) -> Vec<EventRelay<ScriptedClient>> {
    start_scripted(node, ScriptedSend::Stream(vec![EVENT], Err("reset"))).await
}

/// Starts the same request at every endpoint.
async fn start_scripted(node: &Arc<Node>, script: ScriptedSend) -> Vec<EventRelay<ScriptedClient>> {
    let client = ScriptedClient::new(std::iter::repeat_n(script, FAILURES));
    let mut streams = Vec::new();
    for _ in 0..FAILURES {
        let response = serve(node, &client, request("1")).await;
        let CallerResponse::Stream { events, .. } = response else {
            panic!("no stream: {response:?}");
        };
        streams.push(*events);
        let used = client.seen.lock().last().unwrap().endpoint.clone();
        pause_endpoint(node, &used);
    }
    let seen = client.seen.lock();
    let endpoints: IndexSet<_> = seen.iter().map(|s| &s.endpoint).collect();
    assert_eq!(endpoints.len(), FAILURES, "{seen:?}");
    streams
}

/// Keeps the next requests from an endpoint.
fn pause_endpoint(node: &Node, id: &str) {
    let mut endpoints = node.endpoints.lock();
    let endpoint = endpoints.by_id_mut(&EndpointId::from(id)).unwrap();
    let pause = Duration::from_millis(100);
    endpoint.load.pause(pause, Instant::now());
}

/// Reads streams until they break.
async fn break_streams(streams: Vec<EventRelay<ScriptedClient>>) {
    for mut events in streams {
        while let Ok(Some(_)) = events.next().await {}
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
}

/// Lists another endpoint and returns whether the request is refused rather than sent there.
async fn is_refused(node: &Arc<Node>) -> bool {
    let now = Instant::now();
    node.endpoints.lock().apply(record("spare", "v1"), now);
    // Endpoints of a newly listed version accept requests only after a delay.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let client = ScriptedClient::new([ScriptedSend::Respond(200)]);
    match serve(node, &client, request("2")).await {
        CallerResponse::Whole { status: 200, .. } => false,
        CallerResponse::Refused(refusal) if refusal.kind == RefusalKind::Crashing => true,
        response => panic!("{response:?}"),
    }
}

/// Returns a rollout of `v2` in a state, or one that has not started.
fn rollout(order: u64, state: Option<RolloutState>) -> Rollout {
    Rollout {
        order: RolloutOrder {
            id: order,
            service: ServiceName::from("desk"),
            target: VersionName::from("v2"),
            within: Duration::from_secs(16),
        },
        seen_ms: 1_000,
        stage: state.map(|state| Stage {
            state,
            serial: 1,
            share: 0,
            idle_ms: None,
        }),
    }
}

// Guards against a request that is refused for minutes after a rollout whose new version broke
// connections and was rolled back; failures of the old version still count.
#[rstest]
#[case::new_version("v2", false, false)]
#[case::new_version_after_the_rollback("v2", true, false)]
#[case::old_version("v1", false, true)]
#[case::old_version_after_the_rollback("v1", true, true)]
#[tokio::test(start_paused = true)]
async fn test_crash_requests_failures_of_a_bad_version_are_blamed_on_no_request(
    #[case] version: &str,
    #[case] is_rolled_back_first: bool,
    #[case] refused: bool,
) {
    let node = node("entry-1", version);
    node.merge_rollout(&rollout(1, None));
    let streams = start_streams(&node).await;
    let rolled_back = rollout(1, Some(RolloutState::RolledBack));
    if is_rolled_back_first {
        node.merge_rollout(&rolled_back);
    }
    break_streams(streams).await;
    node.merge_rollout(&rolled_back);
    assert_eq!(is_refused(&node).await, refused);
}

/// How endpoints leave.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    Draining,
    Removed,
}

// Guards against a request that is refused for minutes because the endpoints that ran it were
// leaving and cut it when they stopped.
#[rstest]
#[case::serving(None, true)]
#[case::draining(Some(Leaving::Draining), false)]
#[case::removed(Some(Leaving::Removed), false)]
#[tokio::test(start_paused = true)]
async fn test_crash_requests_failures_of_leaving_endpoints_are_blamed_on_no_request(
    #[case] leaving: Option<Leaving>,
    #[case] refused: bool,
) {
    let node = node("entry-1", "v1");
    let streams = start_streams(&node).await;
    for number in 0..FAILURES {
        let id = EndpointId::from(format!("e{number}").as_str());
        let mut endpoints = node.endpoints.lock();
        match leaving {
            Some(Leaving::Draining) => assert!(endpoints.mark_draining(&id)),
            Some(Leaving::Removed) => {
                endpoints.remove(&id, Instant::now());
            }
            None => {}
        }
    }
    break_streams(streams).await;
    assert_eq!(is_refused(&node).await, refused);
}

// Guards against crashes that are forgotten after a rollback and learnt again from a peer that does
// not know of it yet.
#[rstest]
#[case::rolled_back(true, false)]
#[case::not_started(false, true)]
#[tokio::test(start_paused = true)]
async fn test_crash_requests_peers_do_not_bring_back_failures_of_a_bad_version(
    #[case] is_rolled_back: bool,
    #[case] refused: bool,
) {
    let peer = node("entry-2", "v2");
    break_streams(start_streams(&peer).await).await;
    let node = node("entry-1", "v2");
    if is_rolled_back {
        node.merge_rollout(&rollout(1, Some(RolloutState::RolledBack)));
    }
    let request = GossipRequest {
        own: peer.own_state(),
        digest: IndexMap::new(),
        has_endpoints: true,
    };
    handle_exchange(&node, request);
    assert_eq!(is_refused(&node).await, refused);
}

// Guards against failures that count no more once the version of their endpoints was rolled back,
// also when a later order puts it to the test again.
#[tokio::test(start_paused = true)]
async fn test_crash_requests_failures_count_in_a_later_order_of_the_same_version() {
    let node = node("entry-1", "v2");
    node.merge_rollout(&rollout(1, Some(RolloutState::RolledBack)));
    node.merge_rollout(&rollout(2, None));
    break_streams(start_streams(&node).await).await;
    assert!(is_refused(&node).await);
}

// Guards against a request and a prompt part that are refused because servers end their streams
// without the last empty line; one that ends so with its connection was broken off.
#[rstest]
#[case::stated_end(ScriptedSend::Stream(vec![EVENT, UNENDED], Ok(())), false)]
#[case::stated_end_within_a_line(ScriptedSend::Stream(vec![EVENT, "id: 2\nda"], Ok(())), false)]
#[case::end_of_connection(ScriptedSend::Unframed(vec![EVENT, UNENDED]), true)]
#[case::reset(ScriptedSend::Stream(vec![EVENT, UNENDED], Err("reset")), true)]
#[tokio::test(start_paused = true)]
async fn test_crash_requests_end_within_an_event_is_no_crash_if_the_body_states_it(
    #[case] script: ScriptedSend,
    #[case] crashing: bool,
) {
    let node = node("entry-1", "v1");
    break_streams(start_scripted(&node, script).await).await;
    let now = Instant::now();
    let is_blamed = node.part_crashes.lock().is_crashing(&[SHARED_PART], now);
    assert_eq!(is_blamed, crashing);
    assert_eq!(is_refused(&node).await, crashing);
}
