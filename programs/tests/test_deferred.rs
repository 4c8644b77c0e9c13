//! Process tests of deferred execution (`prefer: respond-async`): a gate accepts a request with
//! status 202 and runs it later.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use hawthornrack_lab::EngineStats;
use hawthornrack_lab::LinkMode;
use hawthornrack_lab::PlainStats;
use hawthornrack_lab::generate_text;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::Priority;
use hawthornrack_lib::Route;
use hawthornrack_lib::ServiceKind;
use hyper::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use self::testutils::Call;
use self::testutils::HttpResponse;
use self::testutils::TIMEOUT;
use self::testutils::deployment::Deployment;
use self::testutils::deployment::OTHER_TOKEN;
use self::testutils::deployment::TOKEN;
use self::testutils::deployment::service;
use self::testutils::wait_until;

/// Time within which a gate must respond to a request for deferred execution, also when it runs the
/// request at once.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(3);

/// Starts entries, a model engine, and a plain service that takes `run_ms` milliseconds per
/// request. The plain service's route `fit` is repeatable, its route `book` is not.
async fn start_deployment(entries: usize, run_ms: u32) -> Deployment {
    let mut deployment = Deployment::start(entries).await;
    let run_setting = format!("run_ms={run_ms}");
    deployment
        .add_plain("desk", "v1", "desk-a", &[&run_setting])
        .await;
    deployment.add_engine("tutor", "v1", "tutor-a", &[]).await;
    let route = |prefix: &str, repeatable| Route {
        prefix: String::from(prefix),
        repeatable,
        priority: Priority::Deferred,
        timeout: Duration::from_secs(10),
    };
    let routes = vec![route("fit", true), route("book", false)];
    let mut desk = service("desk", ServiceKind::Plain, routes);
    desk.keys = KeySupport::Ignored;
    let tutor = service("tutor", ServiceKind::Model, vec![route("v1", true)]);
    deployment.declare(&[desk, tutor]).await;
    for entry in &deployment.entries {
        let ready = Call::new(Method::GET, "/desk/ready").bearer(TOKEN);
        wait_until("the gate routes to the service", TIMEOUT, async || {
            let response = deployment
                .http
                .send(entry.gate_address(), ready.clone())
                .await;
            response.is_ok_and(|r| r.status == 200)
        })
        .await;
    }
    deployment
}

/// Returns a `POST` call that asks for deferred execution.
fn deferred_call(path: &str) -> Call {
    Call::post(path, &json!({"chains": path}))
        .bearer(TOKEN)
        .header("prefer", "respond-async")
}

async fn send(deployment: &Deployment, entry: usize, call: Call) -> HttpResponse {
    let gate = deployment.entries[entry].gate_address();
    deployment.http.send(gate, call).await.unwrap()
}

/// Sends a call that must be accepted for deferred execution and returns the path of its result.
async fn defer(deployment: &Deployment, entry: usize, call: Call) -> String {
    let accepted = send(deployment, entry, call).await;
    assert_eq!(accepted.status, 202, "{}", accepted.text());
    assert!(!accepted.header("retry-after").is_empty());
    accepted.header("location").to_owned()
}

/// Requests the result at `location` once; the status is 202 until it is available.
async fn poll_result(deployment: &Deployment, entry: usize, location: &str) -> HttpResponse {
    let call = Call::new(Method::GET, location).bearer(TOKEN);
    send(deployment, entry, call).await
}

/// Polls a result until it is available and returns it.
async fn wait_result(deployment: &Deployment, entry: usize, location: &str) -> HttpResponse {
    let started = Instant::now();
    loop {
        let response = poll_result(deployment, entry, location).await;
        if response.status != 202 {
            return response;
        }
        assert!(started.elapsed() < TIMEOUT, "{}", response.text());
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Returns how many times the plain service ran a request for a path.
async fn count_runs(deployment: &Deployment, path: &str) -> u32 {
    let stats: PlainStats = deployment.stats("desk-a").await;
    stats.by_path.get(path).copied().unwrap_or(0)
}

/// Changes the settings of the log stand-in.
async fn configure_log(deployment: &Deployment, patch: Value) {
    deployment
        .http
        .configure(deployment.log.http(), &patch)
        .await;
}

#[tokio::test]
async fn test_deferred_result_is_read_at_any_entry_by_its_customer_only() {
    let deployment = start_deployment(2, 300).await;
    let location = defer(&deployment, 0, deferred_call("/desk/fit/1")).await;
    let first_poll = poll_result(&deployment, 1, &location).await;
    assert_eq!(first_poll.status, 202, "{}", first_poll.text());
    let result = wait_result(&deployment, 1, &location).await;
    assert_eq!(result.status, 200, "{}", result.text());
    assert_eq!(result.json()["path"], "/fit/1");
    assert_eq!(count_runs(&deployment, "/fit/1").await, 1);
    let other = Call::new(Method::GET, &location).bearer(OTHER_TOKEN);
    assert_eq!(send(&deployment, 0, other).await.status, 404);
    let unknown = Call::new(Method::GET, "/v1/jobs/17").bearer(TOKEN);
    assert_eq!(send(&deployment, 0, unknown).await.status, 404);
}

#[tokio::test]
async fn test_deferred_stream_is_kept_as_a_whole_response() {
    let deployment = start_deployment(1, 1).await;
    let body = json!({"prompt": "a b", "max_tokens": 20, "stream": true});
    let call = Call::post("/tutor/v1/completions", &body)
        .bearer(TOKEN)
        .header("prefer", "respond-async");
    let location = defer(&deployment, 0, call).await;
    let result = wait_result(&deployment, 0, &location).await;
    assert_eq!(result.status, 200, "{}", result.text());
    let text = &result.json()["choices"][0]["text"];
    assert_eq!(*text, generate_text("a b", 20));
    let stats: EngineStats = deployment.stats("tutor-a").await;
    assert_eq!(stats.runs, 1);
}

#[tokio::test]
async fn test_deferred_survives_the_death_of_the_gate_that_took_it() {
    let mut deployment = start_deployment(3, 1500).await;
    let mut locations = Vec::new();
    for n in 0..6 {
        let call = deferred_call(&format!("/desk/fit/{n}"));
        locations.push(defer(&deployment, 0, call).await);
    }
    deployment.entries[0].gate.kill();
    deployment.entries[0].controller.kill();
    for (n, location) in locations.iter().enumerate() {
        let result = wait_result(&deployment, 1, location).await;
        assert_eq!(result.status, 200, "{}", result.text());
        assert_eq!(result.json()["path"], format!("/fit/{n}"));
    }
}

#[tokio::test]
async fn test_deferred_survives_the_death_of_the_gate_that_runs_it() {
    let mut deployment = start_deployment(2, 2000).await;
    let mut locations = Vec::new();
    for n in 0..6 {
        let call = deferred_call(&format!("/desk/fit/{n}"));
        locations.push(defer(&deployment, 1, call).await);
    }
    wait_until("all requests run", TIMEOUT, async || {
        deployment.stats::<PlainStats>("desk-a").await.running == 6
    })
    .await;
    // The gate that runs a request is chosen by rendezvous hash, so gate 0 probably runs some.
    deployment.entries[0].gate.kill();
    for (n, location) in locations.iter().enumerate() {
        let result = wait_result(&deployment, 1, location).await;
        assert_eq!(result.status, 200, "{}", result.text());
        assert_eq!(result.json()["path"], format!("/fit/{n}"));
    }
}

#[tokio::test]
async fn test_deferred_booking_runs_once_though_its_gate_dies() {
    let mut deployment = start_deployment(2, 1500).await;
    let mut locations = Vec::new();
    for n in 0..4 {
        let call = deferred_call(&format!("/desk/book/{n}"));
        locations.push(defer(&deployment, 1, call).await);
    }
    wait_until("all requests run", TIMEOUT, async || {
        deployment.stats::<PlainStats>("desk-a").await.running == 4
    })
    .await;
    // The gate that runs a request is chosen by rendezvous hash, so gate 0 probably runs some.
    deployment.entries[0].gate.kill();
    for (n, location) in locations.iter().enumerate() {
        let result = wait_result(&deployment, 1, location).await;
        let outcome = result.json()["outcome"].clone();
        assert!(
            result.status == 200 || outcome == "unknown",
            "{}",
            result.text()
        );
        assert_eq!(count_runs(&deployment, &format!("/book/{n}")).await, 1);
    }
}

#[tokio::test]
async fn test_deferred_resend_with_a_key_returns_the_first_job() {
    let deployment = start_deployment(2, 200).await;
    let keyed = |path: &str| deferred_call(path).header("idempotency-key", "k");
    let first = defer(&deployment, 0, keyed("/desk/book/1")).await;
    let second = defer(&deployment, 1, keyed("/desk/book/1")).await;
    assert_eq!(first, second);
    let other = send(&deployment, 1, keyed("/desk/book/2")).await;
    assert_eq!(other.status, 422, "{}", other.text());
    let result = wait_result(&deployment, 0, &first).await;
    assert_eq!(result.status, 200, "{}", result.text());
    let direct = Call::post("/desk/book/1", &json!({"chains": "/desk/book/1"}))
        .bearer(TOKEN)
        .header("idempotency-key", "k");
    let direct = send(&deployment, 1, direct).await;
    assert_eq!(direct.json(), result.json());
    assert_eq!(count_runs(&deployment, "/book/1").await, 1);
    assert_eq!(count_runs(&deployment, "/book/2").await, 0);
}

#[rstest]
#[case::refusing("refuse")]
#[case::silent("silent")]
#[tokio::test]
async fn test_deferred_log_outage_accepts_no_job(#[case] outage: &str) {
    let deployment = start_deployment(1, 1).await;
    configure_log(&deployment, json!({"outage": outage})).await;
    // A repeatable request runs at once when the log cannot record it. A booking is refused, or its
    // outcome is unknown.
    let started = Instant::now();
    let direct = send(&deployment, 0, deferred_call("/desk/fit/1")).await;
    assert!(started.elapsed() < MAX_RESPONSE_TIME);
    assert_eq!(direct.status, 200, "{}", direct.text());
    assert_eq!(direct.json()["path"], "/fit/1");
    let mut unknown_outcomes = Vec::new();
    for n in 0..3 {
        let path = format!("/desk/book/{n}");
        let started = Instant::now();
        let refused = send(&deployment, 0, deferred_call(&path)).await;
        assert!(started.elapsed() < MAX_RESPONSE_TIME);
        match refused.json()["outcome"].as_str() {
            Some("not_run") => assert!(!refused.header("retry-after").is_empty()),
            Some("unknown") => unknown_outcomes.push(n),
            _ => panic!("{} {}", refused.status, refused.text()),
        }
    }
    configure_log(&deployment, json!({"outage": "off"})).await;
    // Long enough for the gate to poll for unanswered requests several times.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for n in 0..3 {
        let runs = count_runs(&deployment, &format!("/book/{n}")).await;
        let max_runs = u32::from(unknown_outcomes.contains(&n));
        assert!(runs <= max_runs, "booking {n} ran {runs} times");
    }
    assert_eq!(count_runs(&deployment, "/fit/1").await, 1);
}

#[tokio::test]
async fn test_deferred_acceptance_without_a_log_response_is_not_reported_as_refused() {
    let deployment = start_deployment(1, 1).await;
    deployment
        .proxy
        .set_mode("log-0", LinkMode::DropAnswers)
        .await;
    let mut refused_numbers = Vec::new();
    for n in 0..4 {
        let path = format!("/desk/book/{n}");
        let response = send(&deployment, 0, deferred_call(&path)).await;
        match response.json()["outcome"].as_str() {
            Some("not_run") => refused_numbers.push(n),
            Some("unknown") => {}
            _ => panic!("{} {}", response.status, response.text()),
        }
    }
    assert!(
        refused_numbers.len() < 4,
        "the log accepted the first record, so not all requests may be reported as not run"
    );
    deployment.proxy.set_mode("log-0", LinkMode::Pass).await;
    // Long enough for the gate to poll for unanswered requests several times.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for n in refused_numbers {
        let runs = count_runs(&deployment, &format!("/book/{n}")).await;
        assert_eq!(runs, 0, "booking {n} was refused as not run");
    }
    // The first record reached the log, so its request runs.
    assert_eq!(count_runs(&deployment, "/book/0").await, 1);
}

#[tokio::test]
async fn test_deferred_request_is_retried_until_the_endpoint_recovers() {
    let deployment = start_deployment(1, 1).await;
    let server = deployment.endpoint("desk-a").process.http();
    let failing = json!({"faults": {"failure_rate": 1.0}});
    deployment.http.configure(server, &failing).await;
    let location = defer(&deployment, 0, deferred_call("/desk/fit/1")).await;
    wait_until("the request has failed", TIMEOUT, async || {
        count_runs(&deployment, "/fit/1").await > 0
    })
    .await;
    assert_eq!(poll_result(&deployment, 0, &location).await.status, 202);
    let healthy = json!({"faults": {"failure_rate": 0.0}});
    deployment.http.configure(server, &healthy).await;
    let result = wait_result(&deployment, 0, &location).await;
    assert_eq!(result.status, 200, "{}", result.text());
}
