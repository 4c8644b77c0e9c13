//! Moves of traffic between versions: bad versions are kept from callers, good ones arrive in
//! time, with the log down as well.

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

use testutils::Answer;
use testutils::Call;
use testutils::deployment::Deployment;
use testutils::deployment::TOKEN;
use testutils::deployment::service;
use testutils::load::Load;
use testutils::load::Sample;
use testutils::moves::MoveWatch;
use testutils::moves::start_move;
use testutils::moves::wall_now;
use testutils::wait_until;

/// Time after its badness shows from which a version gets no request.
const STOP_LIMIT: Duration = Duration::from_secs(3);

/// Time for which a stopped version is watched for requests.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Failures by which badness has shown: with fewer, a good version would be stopped more often
/// than once in 10,000 moves.
const FAILURES_SHOWN: usize = 4;

/// Slow answers by which slowness has shown; good versions have slow answers now and then.
const SLOW_SHOWN: usize = 6;

/// Pause between two looks at the answers so far.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Latency from which an answer of the service counts as slow to its callers.
const SLOW: Duration = Duration::from_millis(150);

/// Highest share of the requests that reach a version that is bad from its start.
const SMALL_SHARE: f64 = 0.1;

/// Time within which the watch ends once the log can be written.
const WATCH_LIMIT: Duration = Duration::from_secs(5);

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

/// Starts three entries with two endpoints of `v1` and of `v2` each, the latter with faults.
async fn start(faults: &Value) -> Deployment {
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

async fn set_faults(deployment: &Deployment, faults: &Value) {
    for name in ["new-1", "new-2"] {
        let at = deployment.server(name).process.http();
        let patch = json!({"faults": faults});
        deployment.http.control(at, &patch).await;
    }
}

async fn set_outage(deployment: &Deployment, outage: &str) {
    let patch = json!({"outage": outage});
    deployment.http.control(deployment.log.http(), &patch).await;
}

/// Returns the runs that the endpoints of a version have counted.
async fn runs(deployment: &Deployment, names: [&str; 2]) -> u64 {
    let mut sum = 0;
    for name in names {
        sum += deployment.stats::<PlainStats>(name).await.runs;
    }
    sum
}

fn get(path: &'static str) -> impl Fn(u64) -> Call + Clone + Send + 'static {
    move |number| Call::new(Method::GET, &format!("/desk/{path}/{number}")).bearer(TOKEN)
}

fn get_look(number: u64) -> Call {
    get("look")(number)
}

/// Alternates between the two routes.
fn get_either(number: u64) -> Call {
    let path = if number.is_multiple_of(2) {
        "look"
    } else {
        "chains"
    };
    get(path)(number)
}

fn book(number: u64) -> Call {
    Call::post(&format!("/desk/book/{number}"), &json!({"boat": number})).bearer(TOKEN)
}

fn is_bad(sample: &Sample) -> bool {
    sample.status >= 500 || sample.spent >= SLOW
}

/// Checks that the new version gets nothing from [`STOP_LIMIT`] after its badness has shown.
///
/// A version may be stopped on fewer than `count` bad answers, and then no more come; it must
/// have been stopped by `limit` in that case.
async fn check_stopped(deployment: &Deployment, load: &Load, count: usize, limit: Duration) {
    let limit_at = Instant::now() + limit;
    let shown = loop {
        let shown = load.time_of(count, is_bad);
        if shown.is_some() || Instant::now() >= limit_at {
            break shown;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    };
    if shown.is_none() {
        let bad = load.samples().iter().filter(|s| is_bad(s)).count();
        println!("{bad} of {count} bad answers by the limit: stopped before");
        assert!(bad > 0, "no bad answer within {limit:?}");
    }
    let stop_by = shown.map_or(limit_at, |at| at + STOP_LIMIT);
    tokio::time::sleep_until(stop_by.into()).await;
    let before = runs(deployment, ["new-1", "new-2"]).await;
    let begun = Instant::now();
    tokio::time::sleep(QUIET_TIME).await;
    let after = runs(deployment, ["new-1", "new-2"]).await;
    assert_eq!(after, before, "a stopped version gets no request");
    for gate in 0..3 {
        let mut seen = load.samples();
        seen.retain(|s| s.gate == gate && s.at > begun);
        assert!(!seen.is_empty(), "gate {gate} still serves");
    }
}

async fn check_taken_back(watch: MoveWatch) {
    let ends = watch.ends(WATCH_LIMIT).await;
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
    let deployment = start(&faults).await;
    let one_route = faults["bad_path"].is_string();
    let make = if one_route { get_either } else { get_look };
    let load = Load::start(&deployment, 6, Duration::from_millis(80), make);
    let spec = start_move(&deployment, "desk", Duration::from_secs(20)).await;
    let watch = MoveWatch::start(&deployment, 1, &spec.name).await;
    set_outage(&deployment, outage).await;
    let is_slow = faults["slow_factor"].is_number();
    let shown = if is_slow { SLOW_SHOWN } else { FAILURES_SHOWN };
    check_stopped(&deployment, &load, shown, Duration::from_secs(14)).await;
    let new = runs(&deployment, ["new-1", "new-2"]).await as f64;
    let old = runs(&deployment, ["old-1", "old-2"]).await as f64;
    assert!(new / (new + old) <= SMALL_SHARE, "{new} of {}", new + old);
    if outage != "off" {
        assert!(!watch.is_over(), "the end cannot be in the log yet");
        set_outage(&deployment, "off").await;
    }
    check_taken_back(watch).await;
}

#[rstest]
#[case::log_up("off")]
#[case::log_down("silent")]
#[tokio::test]
async fn test_moves_version_that_turns_bad_is_stopped(#[case] outage: &str) {
    let deployment = start(&json!({})).await;
    let load = Load::start(&deployment, 6, Duration::from_millis(80), get("look"));
    let spec = start_move(&deployment, "desk", Duration::from_secs(16)).await;
    let watch = MoveWatch::start(&deployment, 2, &spec.name).await;
    wait_until(
        "half of the traffic has moved",
        Duration::from_secs(14),
        async || {
            let samples = load.samples();
            let last = &samples[samples.len().saturating_sub(100)..];
            last.len() == 100 && last.iter().filter(|s| s.version() == "v2").count() >= 20
        },
    )
    .await;
    set_outage(&deployment, outage).await;
    set_faults(&deployment, &json!({"failure_rate": 1.0})).await;
    check_stopped(&deployment, &load, FAILURES_SHOWN, Duration::from_secs(5)).await;
    set_outage(&deployment, "off").await;
    check_taken_back(watch).await;
}

#[tokio::test]
async fn test_moves_version_that_is_bad_under_load_is_stopped() {
    let faults = json!({"failure_rate": 1.0, "bad_above": 2});
    let deployment = start(&faults).await;
    for name in ["new-1", "new-2"] {
        let at = deployment.server(name).process.http();
        deployment.http.control(at, &json!({"run_ms": 40})).await;
    }
    for name in ["old-1", "old-2"] {
        let at = deployment.server(name).process.http();
        deployment.http.control(at, &json!({"run_ms": 40})).await;
    }
    let load = Load::start(&deployment, 8, Duration::from_millis(40), get("look"));
    let spec = start_move(&deployment, "desk", Duration::from_secs(16)).await;
    let watch = MoveWatch::start(&deployment, 0, &spec.name).await;
    check_stopped(&deployment, &load, FAILURES_SHOWN, Duration::from_secs(16)).await;
    check_taken_back(watch).await;
}

#[tokio::test]
async fn test_moves_calls_that_may_not_be_repeated_show_badness() {
    let faults = json!({"failure_rate": 1.0, "bad_path": "/book"});
    let deployment = start(&faults).await;
    let load = Load::start(&deployment, 6, Duration::from_millis(80), book);
    let spec = start_move(&deployment, "desk", Duration::from_secs(16)).await;
    let watch = MoveWatch::start(&deployment, 0, &spec.name).await;
    check_stopped(&deployment, &load, FAILURES_SHOWN, Duration::from_secs(14)).await;
    check_taken_back(watch).await;
}

#[rstest]
#[case::log_down_in_the_middle(Duration::from_secs(4), Duration::from_secs(11), true)]
#[case::log_down_at_the_end(Duration::from_secs(9), Duration::from_secs(18), false)]
#[tokio::test]
async fn test_moves_good_version_is_done_by_its_deadline(
    #[case] down_at: Duration,
    #[case] up_at: Duration,
    #[case] recorded: bool,
) {
    let deployment = start(&json!({})).await;
    let load = Load::start(&deployment, 4, Duration::from_millis(80), get("look"));
    let begun = Instant::now();
    let spec = start_move(&deployment, "desk", Duration::from_secs(16)).await;
    let watch = MoveWatch::start(&deployment, 1, &spec.name).await;
    tokio::time::sleep_until((begun + down_at).into()).await;
    set_outage(&deployment, "silent").await;
    let left = Duration::from_millis(spec.deadline.0.saturating_sub(wall_now().0));
    let deadline = Instant::now() + left;
    let up = (begun + up_at).min(deadline + STOP_LIMIT);
    if up < deadline {
        tokio::time::sleep_until(up.into()).await;
        set_outage(&deployment, "off").await;
    }
    tokio::time::sleep_until(deadline.into()).await;
    if recorded {
        assert!(watch.is_over(), "the move is done by its deadline");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut after = load.samples();
    after.retain(|s| s.sent > deadline);
    assert!(!after.is_empty());
    let stayed = after.iter().filter(|s| s.version() != "v2").count();
    assert_eq!(stayed, 0, "all traffic has moved by the deadline");
    set_outage(&deployment, "off").await;
    let ends = watch.ends(WATCH_LIMIT).await;
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(ends[0].result, MoveResult::Done);
    if recorded {
        assert!(ends[0].at <= spec.deadline);
    }
    let refused = load.samples().iter().filter(|s| s.status != 200).count();
    assert_eq!(refused, 0, "every caller is served meanwhile");
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
    let load = Load::start(&deployment, 4, Duration::from_millis(80), get("look"));
    let spec = start_move(&deployment, "desk", Duration::from_secs(14)).await;
    let watch = MoveWatch::start(&deployment, 1, &spec.name).await;
    wait_until(
        "the new version has traffic",
        Duration::from_secs(12),
        async || {
            let samples = load.samples();
            let last = &samples[samples.len().saturating_sub(50)..];
            last.iter().any(|s| s.version() == "v2")
        },
    )
    .await;
    // The caller sends again at once, at another entry each time.
    let mut last: Option<(Answer, Duration)> = None;
    for round in 0..9 {
        let call = Call::post("/desk/look/it", &json!({"text": "boom"})).bearer(TOKEN);
        let begun = Instant::now();
        let entry = deployment.entries[round % 3].callers();
        let answer = deployment.http.send(entry, call).await.unwrap();
        last = Some((answer, begun.elapsed()));
    }
    let (answer, spent) = last.unwrap();
    assert_eq!(answer.status, 502, "{}", answer.text());
    assert!(
        answer.text().contains("crashing_request"),
        "{}",
        answer.text()
    );
    assert!(!answer.header("retry-after").is_empty());
    assert!(spent < Duration::from_secs(1), "answered after {spent:?}");
    let down = names.iter().filter(|name| {
        let address = deployment.server(name).process.http();
        std::net::TcpStream::connect(address).is_err()
    });
    let down = down.count();
    assert!(down <= 2, "{down} endpoints are down");
    let ends = watch.ends(Duration::from_secs(18)).await;
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert_eq!(ends[0].result, MoveResult::Done, "{}", ends[0].reason);
}
