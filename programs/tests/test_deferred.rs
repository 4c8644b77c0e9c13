//! Process tests of requests that are answered later.

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

use self::testutils::Answer;
use self::testutils::Call;
use self::testutils::LIMIT;
use self::testutils::deployment::Deployment;
use self::testutils::deployment::OTHER_TOKEN;
use self::testutils::deployment::TOKEN;
use self::testutils::deployment::service;
use self::testutils::wait_until;

/// Time within which a request must be refused or accepted.
const ACCEPT_LIMIT: Duration = Duration::from_secs(3);

/// Starts entries before a model engine and a plain service that takes `run_ms` for a request;
/// its route `book` may not be repeated.
async fn drafts(entries: usize, run_ms: u32) -> Deployment {
    let mut deployment = Deployment::start(entries).await;
    let run = format!("run_ms={run_ms}");
    deployment.add_plain("desk", "v1", "desk-a", &[&run]).await;
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
        wait_until("the gate routes to the service", LIMIT, async || {
            let answer = deployment.http.send(entry.callers(), ready.clone()).await;
            answer.is_ok_and(|a| a.status == 200)
        })
        .await;
    }
    deployment
}

fn deferred(path: &str) -> Call {
    Call::post(path, &json!({"chains": path}))
        .bearer(TOKEN)
        .header("prefer", "respond-async")
}

async fn send(deployment: &Deployment, entry: usize, call: Call) -> Answer {
    let gate = deployment.entries[entry].callers();
    deployment.http.send(gate, call).await.unwrap()
}

/// Defers a call and returns the address of its result.
async fn defer(deployment: &Deployment, entry: usize, call: Call) -> String {
    let accepted = send(deployment, entry, call).await;
    assert_eq!(accepted.status, 202, "{}", accepted.text());
    assert!(!accepted.header("retry-after").is_empty());
    accepted.header("location").to_owned()
}

async fn result(deployment: &Deployment, entry: usize, location: &str) -> Answer {
    let call = Call::new(Method::GET, location).bearer(TOKEN);
    send(deployment, entry, call).await
}

/// Asks for a result until it is there.
async fn final_result(deployment: &Deployment, entry: usize, location: &str) -> Answer {
    let begun = Instant::now();
    loop {
        let answer = result(deployment, entry, location).await;
        if answer.status != 202 {
            return answer;
        }
        assert!(begun.elapsed() < LIMIT, "{}", answer.text());
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn runs(deployment: &Deployment, path: &str) -> u32 {
    let stats: PlainStats = deployment.stats("desk-a").await;
    stats.by_path.get(path).copied().unwrap_or(0)
}

async fn set_log(deployment: &Deployment, patch: Value) {
    deployment.http.control(deployment.log.http(), &patch).await;
}

#[tokio::test]
async fn test_deferred_result_is_read_at_any_entry_by_its_customer_only() {
    let deployment = drafts(2, 300).await;
    let location = defer(&deployment, 0, deferred("/desk/fit/1")).await;
    let early = result(&deployment, 1, &location).await;
    assert_eq!(early.status, 202, "{}", early.text());
    let whole = final_result(&deployment, 1, &location).await;
    assert_eq!(whole.status, 200, "{}", whole.text());
    assert_eq!(whole.json()["path"], "/fit/1");
    assert_eq!(runs(&deployment, "/fit/1").await, 1);
    let other = Call::new(Method::GET, &location).bearer(OTHER_TOKEN);
    assert_eq!(send(&deployment, 0, other).await.status, 404);
    let unknown = Call::new(Method::GET, "/v1/jobs/17").bearer(TOKEN);
    assert_eq!(send(&deployment, 0, unknown).await.status, 404);
}

#[tokio::test]
async fn test_deferred_stream_is_kept_as_a_whole_answer() {
    let deployment = drafts(1, 1).await;
    let body = json!({"prompt": "a b", "max_tokens": 20, "stream": true});
    let call = Call::post("/tutor/v1/completions", &body)
        .bearer(TOKEN)
        .header("prefer", "respond-async");
    let location = defer(&deployment, 0, call).await;
    let whole = final_result(&deployment, 0, &location).await;
    assert_eq!(whole.status, 200, "{}", whole.text());
    let text = &whole.json()["choices"][0]["text"];
    assert_eq!(*text, generate_text("a b", 20));
    let stats: EngineStats = deployment.stats("tutor-a").await;
    assert_eq!(stats.runs, 1);
}

#[tokio::test]
async fn test_deferred_survives_the_death_of_the_gate_that_took_it() {
    let mut deployment = drafts(3, 1500).await;
    let mut locations = Vec::new();
    for n in 0..6 {
        let call = deferred(&format!("/desk/fit/{n}"));
        locations.push(defer(&deployment, 0, call).await);
    }
    deployment.entries[0].gate.kill();
    deployment.entries[0].controller.kill();
    for (n, location) in locations.iter().enumerate() {
        let whole = final_result(&deployment, 1, location).await;
        assert_eq!(whole.status, 200, "{}", whole.text());
        assert_eq!(whole.json()["path"], format!("/fit/{n}"));
    }
}

#[tokio::test]
async fn test_deferred_survives_the_death_of_the_gate_that_runs_it() {
    let mut deployment = drafts(2, 2000).await;
    let mut locations = Vec::new();
    for n in 0..6 {
        let call = deferred(&format!("/desk/fit/{n}"));
        locations.push(defer(&deployment, 1, call).await);
    }
    wait_until("all run", LIMIT, async || {
        deployment.stats::<PlainStats>("desk-a").await.running == 6
    })
    .await;
    deployment.entries[0].gate.kill();
    for (n, location) in locations.iter().enumerate() {
        let whole = final_result(&deployment, 1, location).await;
        assert_eq!(whole.status, 200, "{}", whole.text());
        assert_eq!(whole.json()["path"], format!("/fit/{n}"));
    }
}

#[tokio::test]
async fn test_deferred_booking_runs_once_though_its_gate_dies() {
    let mut deployment = drafts(2, 1500).await;
    let mut locations = Vec::new();
    for n in 0..4 {
        let call = deferred(&format!("/desk/book/{n}"));
        locations.push(defer(&deployment, 1, call).await);
    }
    wait_until("all run", LIMIT, async || {
        deployment.stats::<PlainStats>("desk-a").await.running == 4
    })
    .await;
    deployment.entries[0].gate.kill();
    for (n, location) in locations.iter().enumerate() {
        let end = final_result(&deployment, 1, location).await;
        let outcome = end.json()["outcome"].clone();
        assert!(end.status == 200 || outcome == "unknown", "{}", end.text());
        assert_eq!(runs(&deployment, &format!("/book/{n}")).await, 1);
    }
}

#[tokio::test]
async fn test_deferred_resend_with_a_key_meets_the_first() {
    let deployment = drafts(2, 200).await;
    let keyed = |path: &str| deferred(path).header("idempotency-key", "k");
    let first = defer(&deployment, 0, keyed("/desk/book/1")).await;
    let again = defer(&deployment, 1, keyed("/desk/book/1")).await;
    assert_eq!(first, again);
    let other = send(&deployment, 1, keyed("/desk/book/2")).await;
    assert_eq!(other.status, 422, "{}", other.text());
    let end = final_result(&deployment, 0, &first).await;
    assert_eq!(end.status, 200, "{}", end.text());
    let direct = Call::post("/desk/book/1", &json!({"chains": "/desk/book/1"}))
        .bearer(TOKEN)
        .header("idempotency-key", "k");
    let direct = send(&deployment, 1, direct).await;
    assert_eq!(direct.json(), end.json());
    assert_eq!(runs(&deployment, "/book/1").await, 1);
    assert_eq!(runs(&deployment, "/book/2").await, 0);
}

#[rstest]
#[case::refusing("refuse")]
#[case::silent("silent")]
#[tokio::test]
async fn test_deferred_log_outage_promises_nothing(#[case] outage: &str) {
    let deployment = drafts(1, 1).await;
    set_log(&deployment, json!({"outage": outage})).await;
    let begun = Instant::now();
    let attached = send(&deployment, 0, deferred("/desk/fit/1")).await;
    assert!(begun.elapsed() < ACCEPT_LIMIT);
    assert_eq!(attached.status, 200, "{}", attached.text());
    assert_eq!(attached.json()["path"], "/fit/1");
    let mut unknown = Vec::new();
    for n in 0..3 {
        let path = format!("/desk/book/{n}");
        let begun = Instant::now();
        let refused = send(&deployment, 0, deferred(&path)).await;
        assert!(begun.elapsed() < ACCEPT_LIMIT);
        match refused.json()["outcome"].as_str() {
            Some("not_run") => assert!(!refused.header("retry-after").is_empty()),
            Some("unknown") => unknown.push(n),
            _ => panic!("{} {}", refused.status, refused.text()),
        }
    }
    set_log(&deployment, json!({"outage": "off"})).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    for n in 0..3 {
        let runs = runs(&deployment, &format!("/book/{n}")).await;
        let most = u32::from(unknown.contains(&n));
        assert!(runs <= most, "booking {n} ran {runs} times");
    }
    assert_eq!(runs(&deployment, "/fit/1").await, 1);
}

#[tokio::test]
async fn test_deferred_acceptance_without_an_answer_is_not_called_refused() {
    let deployment = drafts(1, 1).await;
    deployment
        .proxy
        .set_mode("log-0", LinkMode::DropAnswers)
        .await;
    let mut refused = Vec::new();
    for n in 0..4 {
        let path = format!("/desk/book/{n}");
        let answer = send(&deployment, 0, deferred(&path)).await;
        match answer.json()["outcome"].as_str() {
            Some("not_run") => refused.push(n),
            Some("unknown") => {}
            _ => panic!("{} {}", answer.status, answer.text()),
        }
    }
    assert!(refused.len() < 4, "the log took the first record");
    deployment.proxy.set_mode("log-0", LinkMode::Pass).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    for n in refused {
        let runs = runs(&deployment, &format!("/book/{n}")).await;
        assert_eq!(runs, 0, "booking {n} was refused as not run");
    }
    assert_eq!(runs(&deployment, "/book/0").await, 1);
}

#[tokio::test]
async fn test_deferred_waits_for_an_endpoint() {
    let deployment = drafts(1, 1).await;
    let server = deployment.server("desk-a").process.http();
    let failing = json!({"faults": {"failure_rate": 1.0}});
    deployment.http.control(server, &failing).await;
    let location = defer(&deployment, 0, deferred("/desk/fit/1")).await;
    wait_until("the request has failed", LIMIT, async || {
        runs(&deployment, "/fit/1").await > 0
    })
    .await;
    assert_eq!(result(&deployment, 0, &location).await.status, 202);
    let healthy = json!({"faults": {"failure_rate": 0.0}});
    deployment.http.control(server, &healthy).await;
    let whole = final_result(&deployment, 0, &location).await;
    assert_eq!(whole.status, 200, "{}", whole.text());
}
