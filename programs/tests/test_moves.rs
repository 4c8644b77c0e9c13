//! Process tests of traffic moves between versions, with the log up and down: a bad version is
//! stopped and its move rolled back, and a good version has all traffic by the deadline.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use hawthornrack_lab::PlainStats;
use hawthornrack_lib::MoveResult;
use hawthornrack_lib::Priority;
use hawthornrack_lib::Route;
use hawthornrack_lib::ServiceKind;
use hyper::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use testutils::Call;
use testutils::HttpResponse;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::service;
use testutils::load::Load;
use testutils::load::Sample;
use testutils::moves::MoveWatch;
use testutils::moves::start_move;
use testutils::moves::wall_now;
use testutils::wait_until;

/// Maximum time from when a regression becomes detectable until the version gets no more requests.
const MAX_STOP_DELAY: Duration = Duration::from_secs(3);

/// Time for which a stopped version must get no requests.
const NO_REQUEST_TIME: Duration = Duration::from_secs(2);

/// Regression of a version that fails, with the number of failures that makes it detectable; a lower
/// one would stop a good version in more than one of 10,000 moves.
const FAILING: Detectable = (4, has_failed);

/// Regression of a version that is slow, with the number of slow responses that makes it detectable;
/// good versions have occasional slow responses too.
const SLOW: Detectable = (6, is_slow_on_new_version);

/// Time between two checks of the responses.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Latency from which a response counts as slow.
const SLOW_LATENCY: Duration = Duration::from_millis(150);

/// Maximum fraction of the requests that may reach a version that is bad from its start.
const MAX_BAD_FRACTION: f64 = 0.1;

/// Time within which the watch of a move must end once the log accepts appends.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of bad responses that makes a regression detectable, and which responses are bad.
type Detectable = (usize, fn(&Sample) -> bool);

fn routes() -> Vec<Route> {
    let route = |prefix: &str, repeatable| Route {
        prefix: prefix.to_owned(),
        repeatable,
        priority: Priority::Interactive,
        timeout: Duration::from_secs(10),
    };
    vec![
        route("look", true),
        route("chains", true),
        route("book", false),
    ]
}

/// Starts three entries with two endpoints of `v1` and two of `v2`. The endpoints of `v2` have the
/// given faults.
async fn start_deployment(faults: &Value) -> Deployment {
    let mut deployment = Deployment::start(3).await;
    for name in ["old-1", "old-2", "new-1", "new-2"] {
        let version = if name.starts_with("old") { "v1" } else { "v2" };
        deployment
            .add_plain("desk", version, name, &["run_ms=2"])
            .await;
    }
    let desk = service("desk", ServiceKind::Plain, routes());
    deployment.declare(&[desk]).await;
    set_faults(&deployment, faults).await;
    deployment
}

/// Sets the faults of both endpoints of `v2`.
async fn set_faults(deployment: &Deployment, faults: &Value) {
    for name in ["new-1", "new-2"] {
        let server = deployment.endpoint(name).process.http();
        let patch = json!({"faults": faults});
        deployment.http.configure(server, &patch).await;
    }
}

/// Sets the outage mode of the log stand-in.
async fn set_log_outage(deployment: &Deployment, outage: &str) {
    let patch = json!({"outage": outage});
    deployment
        .http
        .configure(deployment.log.http(), &patch)
        .await;
}

/// Returns how many requests the named endpoints have run.
async fn count_runs(deployment: &Deployment, names: [&str; 2]) -> u64 {
    let mut sum = 0;
    for name in names {
        sum += deployment.stats::<PlainStats>(name).await.runs;
    }
    sum
}

/// Returns a function that creates `GET` calls for a route from their numbers.
fn get_call(path: &'static str) -> impl Fn(u64) -> Call + Clone + Send + 'static {
    move |number| Call::new(Method::GET, &format!("/desk/{path}/{number}")).bearer(TOKEN)
}

/// Returns a call for the route `look`.
fn look_call(number: u64) -> Call {
    get_call("look")(number)
}

/// Returns a call for the route `look` or `chains`, in turn.
fn alternating_call(number: u64) -> Call {
    let path = if number.is_multiple_of(2) {
        "look"
    } else {
        "chains"
    };
    get_call(path)(number)
}

/// Returns a call for the route `book`, which is not repeatable.
fn booking_call(number: u64) -> Call {
    Call::post(&format!("/desk/book/{number}"), &json!({"boat": number})).bearer(TOKEN)
}

/// Returns whether a request failed.
fn has_failed(sample: &Sample) -> bool {
    sample.status >= 500
}

/// Returns whether a request failed or the new version was slow to respond.
///
/// On a busy machine the old version and the gates are slow too, which says nothing of the new one.
fn is_slow_on_new_version(sample: &Sample) -> bool {
    has_failed(sample) || sample.version() == "v2" && sample.latency >= SLOW_LATENCY
}

/// Checks that the new version gets no requests from [`MAX_STOP_DELAY`] after its `count`-th bad
/// response.
///
/// The version may be stopped after fewer than `count` bad responses, and no more follow then. In
/// that case it must get no requests after `timeout`.
async fn check_stopped(
    deployment: &Deployment,
    load: &Load,
    (count, is_bad): Detectable,
    timeout: Duration,
) {
    let give_up_at = Instant::now() + timeout;
    let detectable_at = loop {
        let nth_bad_at = load.nth_time(count, is_bad);
        if nth_bad_at.is_some() || Instant::now() >= give_up_at {
            break nth_bad_at;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    if detectable_at.is_none() {
        let bad = load.samples().iter().filter(|s| is_bad(s)).count();
        println!(
            "{bad} bad responses, not {count}, within {timeout:?}; the version must be stopped"
        );
        assert!(bad > 0, "no bad response within {timeout:?}");
    }
    let stop_by = detectable_at.map_or(give_up_at, |at| at + MAX_STOP_DELAY);
    tokio::time::sleep_until(stop_by.into()).await;
    let before = count_runs(deployment, ["new-1", "new-2"]).await;
    let started = Instant::now();
    tokio::time::sleep(NO_REQUEST_TIME).await;
    let after = count_runs(deployment, ["new-1", "new-2"]).await;
    assert_eq!(after, before, "a stopped version must get no requests");
    for gate in 0..3 {
        let mut samples = load.samples();
        samples.retain(|s| s.gate == gate && s.ended_at > started);
        assert!(!samples.is_empty(), "gate {gate} must still serve");
    }
}

/// Checks that a move ended once, rolled back.
async fn check_rolled_back(watch: MoveWatch) {
    let ends = watch.ends(WATCH_TIMEOUT).await;
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(ends[0].result, MoveResult::TakenBack);
}

#[rstest]
#[case::failing(json!({"failure_rate": 1.0}), "off")]
#[case::failing_log_down(json!({"failure_rate": 1.0}), "silent")]
#[case::slow(json!({"slow_factor": 100.0}), "off")]
#[case::slow_log_down(json!({"slow_factor": 100.0}), "refuse")]
#[case::one_route(json!({"failure_rate": 1.0, "bad_path": "/chains"}), "off")]
#[tokio::test]
async fn test_moves_bad_version_gets_a_small_share_then_none(
    #[case] faults: Value,
    #[case] outage: &str,
) {
    let deployment = start_deployment(&faults).await;
    let one_route = faults["bad_path"].is_string();
    let make_call = if one_route {
        alternating_call
    } else {
        look_call
    };
    let load = Load::start(&deployment, 6, Duration::from_millis(80), make_call);
    let spec = start_move(&deployment, "desk", Duration::from_secs(20)).await;
    let watch = MoveWatch::start(&deployment, 1, &spec.name).await;
    set_log_outage(&deployment, outage).await;
    let is_slow = faults["slow_factor"].is_number();
    let detectable = if is_slow { SLOW } else { FAILING };
    check_stopped(&deployment, &load, detectable, Duration::from_secs(14)).await;
    let new = count_runs(&deployment, ["new-1", "new-2"]).await as f64;
    let old = count_runs(&deployment, ["old-1", "old-2"]).await as f64;
    assert!(
        new / (new + old) <= MAX_BAD_FRACTION,
        "{new} of {}",
        new + old
    );
    if outage != "off" {
        assert!(
            !watch.has_ended(),
            "the end of the move cannot be in the log yet"
        );
        set_log_outage(&deployment, "off").await;
    }
    check_rolled_back(watch).await;
}

#[rstest]
#[case::log_up("off")]
#[case::log_down("silent")]
#[tokio::test]
async fn test_moves_version_that_turns_bad_is_stopped(#[case] outage: &str) {
    let deployment = start_deployment(&json!({})).await;
    let load = Load::start(&deployment, 6, Duration::from_millis(80), get_call("look"));
    let spec = start_move(&deployment, "desk", Duration::from_secs(16)).await;
    let watch = MoveWatch::start(&deployment, 2, &spec.name).await;
    wait_until(
        "a fifth of the traffic has moved",
        Duration::from_secs(14),
        async || {
            let samples = load.samples();
            let last_samples = &samples[samples.len().saturating_sub(100)..];
            last_samples.len() == 100
                && last_samples.iter().filter(|s| s.version() == "v2").count() >= 20
        },
    )
    .await;
    set_log_outage(&deployment, outage).await;
    set_faults(&deployment, &json!({"failure_rate": 1.0})).await;
    check_stopped(&deployment, &load, FAILING, Duration::from_secs(5)).await;
    set_log_outage(&deployment, "off").await;
    check_rolled_back(watch).await;
}

#[tokio::test]
async fn test_moves_version_that_is_bad_under_load_is_stopped() {
    let faults = json!({"failure_rate": 1.0, "bad_above": 2});
    let deployment = start_deployment(&faults).await;
    for name in ["new-1", "new-2"] {
        let server = deployment.endpoint(name).process.http();
        deployment
            .http
            .configure(server, &json!({"run_ms": 40}))
            .await;
    }
    for name in ["old-1", "old-2"] {
        let server = deployment.endpoint(name).process.http();
        deployment
            .http
            .configure(server, &json!({"run_ms": 40}))
            .await;
    }
    let load = Load::start(&deployment, 8, Duration::from_millis(40), get_call("look"));
    let spec = start_move(&deployment, "desk", Duration::from_secs(16)).await;
    let watch = MoveWatch::start(&deployment, 0, &spec.name).await;
    check_stopped(&deployment, &load, FAILING, Duration::from_secs(16)).await;
    check_rolled_back(watch).await;
}

#[tokio::test]
async fn test_moves_calls_that_may_not_be_repeated_show_a_regression() {
    let faults = json!({"failure_rate": 1.0, "bad_path": "/book"});
    let deployment = start_deployment(&faults).await;
    let load = Load::start(&deployment, 6, Duration::from_millis(80), booking_call);
    let spec = start_move(&deployment, "desk", Duration::from_secs(16)).await;
    let watch = MoveWatch::start(&deployment, 0, &spec.name).await;
    check_stopped(&deployment, &load, FAILING, Duration::from_secs(14)).await;
    check_rolled_back(watch).await;
}

#[rstest]
#[case::log_down_in_the_middle(Duration::from_secs(4), Duration::from_secs(11), true)]
#[case::log_down_at_the_end(Duration::from_secs(9), Duration::from_secs(18), false)]
#[tokio::test]
async fn test_moves_good_version_is_done_by_its_deadline(
    #[case] outage_start: Duration,
    #[case] outage_end: Duration,
    #[case] move_ends_in_time: bool,
) {
    let deployment = start_deployment(&json!({})).await;
    let load = Load::start(&deployment, 4, Duration::from_millis(80), get_call("look"));
    let started = Instant::now();
    let spec = start_move(&deployment, "desk", Duration::from_secs(16)).await;
    let watch = MoveWatch::start(&deployment, 1, &spec.name).await;
    tokio::time::sleep_until((started + outage_start).into()).await;
    set_log_outage(&deployment, "silent").await;
    let remaining = Duration::from_millis(spec.deadline.0.saturating_sub(wall_now().0));
    let deadline = Instant::now() + remaining;
    let outage_end_at = (started + outage_end).min(deadline + MAX_STOP_DELAY);
    if outage_end_at < deadline {
        tokio::time::sleep_until(outage_end_at.into()).await;
        set_log_outage(&deployment, "off").await;
    }
    tokio::time::sleep_until(deadline.into()).await;
    if move_ends_in_time {
        assert!(watch.has_ended(), "the move must be done by its deadline");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut late_samples = load.samples();
    late_samples.retain(|s| s.sent_at > deadline);
    assert!(!late_samples.is_empty());
    let old_version_count = late_samples.iter().filter(|s| s.version() != "v2").count();
    assert_eq!(
        old_version_count, 0,
        "all traffic must have moved by the deadline"
    );
    set_log_outage(&deployment, "off").await;
    let ends = watch.ends(WATCH_TIMEOUT).await;
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(ends[0].result, MoveResult::Done);
    if move_ends_in_time {
        assert!(ends[0].at <= spec.deadline);
    }
    let failed = load.samples().iter().filter(|s| s.status != 200).count();
    assert_eq!(failed, 0, "every caller must be served during the move");
}

#[tokio::test]
async fn test_moves_crashing_request_takes_down_two_endpoints_at_most() {
    let mut deployment = Deployment::start(3).await;
    let settings = ["run_ms=2", "faults.crash_marker=\"boom\""];
    let names = ["old-1", "old-2", "old-3", "new-1", "new-2", "new-3"];
    for name in names {
        let version = if name.starts_with("old") { "v1" } else { "v2" };
        deployment.add_plain("desk", version, name, &settings).await;
    }
    let desk = service("desk", ServiceKind::Plain, routes());
    deployment.declare(&[desk]).await;
    let load = Load::start(&deployment, 4, Duration::from_millis(80), get_call("look"));
    let spec = start_move(&deployment, "desk", Duration::from_secs(14)).await;
    let watch = MoveWatch::start(&deployment, 1, &spec.name).await;
    wait_until(
        "the new version has traffic",
        Duration::from_secs(12),
        async || {
            let samples = load.samples();
            let last_samples = &samples[samples.len().saturating_sub(50)..];
            last_samples.iter().any(|s| s.version() == "v2")
        },
    )
    .await;
    // The caller resends at once, through the next entry each time.
    let mut last: Option<(HttpResponse, Duration)> = None;
    for round in 0..9 {
        let call = Call::post("/desk/look/it", &json!({"text": "boom"})).bearer(TOKEN);
        let started = Instant::now();
        let entry = deployment.entries[round % 3].gate_address();
        let response = deployment.http.send(entry, call).await.unwrap();
        last = Some((response, started.elapsed()));
    }
    let (response, latency) = last.unwrap();
    assert_eq!(response.status, 502, "{}", response.text());
    assert!(
        response.text().contains("crashing_request"),
        "{}",
        response.text()
    );
    assert!(!response.header("retry-after").is_empty());
    assert!(
        latency < Duration::from_secs(1),
        "response after {latency:?}"
    );
    let down = names.iter().filter(|name| {
        let address = deployment.endpoint(name).process.http();
        std::net::TcpStream::connect(address).is_err()
    });
    let down_count = down.count();
    assert!(down_count <= 2, "{down_count} endpoints are down");
    let ends = watch.ends(Duration::from_secs(18)).await;
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(ends[0].result, MoveResult::Done, "{}", ends[0].reason);
}
