//! Process tests of at-most-once calls, with and without idempotency keys.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hawthornrack_lab::LinkMode;
use hawthornrack_lib::KeySupport;
use hawthornrack_lib::SendError;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;

use self::testutils::Call;
use self::testutils::HttpResponse;
use self::testutils::TIMEOUT;
use self::testutils::bookings::ENDPOINTS;
use self::testutils::bookings::ROUTE_TIMEOUT;
use self::testutils::bookings::book;
use self::testutils::bookings::book_until_ok;
use self::testutils::bookings::booking_request;
use self::testutils::bookings::configure_log;
use self::testutils::bookings::count_running;
use self::testutils::bookings::count_runs;
use self::testutils::bookings::outcome;
use self::testutils::bookings::start_bookings;
use self::testutils::bookings::start_bookings_with;
use self::testutils::deployment::Deployment;
use self::testutils::deployment::OTHER_TOKEN;
use self::testutils::deployment::TOKEN;
use self::testutils::deployment::entry_vm;
use self::testutils::wait_until;

/// Offset before which the expired records of the claims stream lie; the first booking's are among
/// them.
const EXPIRED_BEFORE: u64 = 12;

/// Time within which a gate must refuse a call while the log is down.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(3);

/// Sends the booking `k` to the first entry.
fn send_booking(deployment: &Deployment) -> JoinHandle<Result<HttpResponse, SendError>> {
    let http = deployment.http.clone();
    let gate = deployment.entries[0].gate_address();
    tokio::spawn(async move { http.send(gate, booking_request("k")).await })
}

/// Sends the booking `k` to the first entry and waits until it runs.
async fn send_until_running(
    deployment: &Deployment,
) -> JoinHandle<Result<HttpResponse, SendError>> {
    let pending = send_booking(deployment);
    wait_until("the booking runs", TIMEOUT, async || {
        count_running(deployment).await == 1
    })
    .await;
    pending
}

#[tokio::test]
async fn test_once_same_key_through_two_gates_runs_once() {
    let deployment = start_bookings(3, KeySupport::Ignored, 100).await;
    let keys: Vec<String> = (0..20).map(|n| format!("k{n}")).collect();
    let sends = keys.iter().flat_map(|key| {
        let deployment = &deployment;
        (0..3).map(move |entry| async move { (key, book(deployment, entry, key).await) })
    });
    let mut first_bodies: std::collections::HashMap<&String, Value> =
        std::collections::HashMap::new();
    for (key, response) in join_all(sends).await {
        let response = response.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
        let expected = first_bodies.entry(key).or_insert_with(|| response.json());
        assert_eq!(*expected, response.json());
    }
    for key in &keys {
        assert_eq!(count_runs(&deployment, key).await, 1, "{key}");
    }
}

#[tokio::test]
async fn test_once_key_reused_with_another_body_is_refused() {
    let deployment = start_bookings(2, KeySupport::Ignored, 1).await;
    let first = book(&deployment, 0, "k").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let other = Call::post("/desk/book/k", &json!({"boat": "another"}))
        .bearer(TOKEN)
        .header("idempotency-key", "k");
    let gate = deployment.entries[1].gate_address();
    let response = deployment.http.send(gate, other).await.unwrap();
    assert_eq!(response.status, 422, "{}", response.text());
    assert_eq!(outcome(&response), "not_run");
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

/// Guards against a customer getting the response to another customer's booking with the same key.
#[rstest]
#[case::ignored(KeySupport::Ignored)]
#[case::honoured(KeySupport::Honoured)]
#[tokio::test]
async fn test_once_customers_keys_are_kept_apart(#[case] keys: KeySupport) {
    let deployment = start_bookings(1, keys, 1).await;
    let gate = deployment.entries[0].gate_address();
    let own = book(&deployment, 0, "k").await.unwrap();
    let other = Call::post("/desk/book/k", &json!({"boat": "theirs"}))
        .bearer(OTHER_TOKEN)
        .header("idempotency-key", "k");
    let other = deployment.http.send(gate, other).await.unwrap();
    assert_eq!((own.status, other.status), (200, 200));
    assert!(own.text().contains("\\\"k\\\""), "{}", own.text());
    assert!(other.text().contains("theirs"), "{}", other.text());
}

#[rstest]
#[case::ignored(KeySupport::Ignored)]
#[case::honoured(KeySupport::Honoured)]
#[case::lookup(KeySupport::Lookup)]
#[tokio::test]
async fn test_once_gate_killed_after_dispatch(#[case] keys: KeySupport) {
    let mut deployment = start_bookings(2, keys, 800).await;
    let pending = send_until_running(&deployment).await;
    deployment.entries[0].gate.kill();
    assert!(pending.await.unwrap().is_err());
    let response = book(&deployment, 1, "k").await.unwrap();
    if keys == KeySupport::Lookup {
        assert_eq!(response.status, 200, "{}", response.text());
    } else {
        assert_eq!(response.status, 502, "{}", response.text());
        assert_eq!(outcome(&response), "unknown");
        let started = Instant::now();
        let second = book(&deployment, 1, "k").await.unwrap();
        assert_eq!(outcome(&second), "unknown");
        assert!(started.elapsed() < Duration::from_secs(1));
    }
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_gate_killed_before_dispatch() {
    let mut deployment = start_bookings(2, KeySupport::Ignored, 1).await;
    configure_log(&deployment, json!({"delay_ms": 800})).await;
    let pending = send_booking(&deployment);
    // The log delays the claim, so that the gate has not sent the booking yet.
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.entries[0].gate.kill();
    assert!(pending.await.unwrap().is_err());
    configure_log(&deployment, json!({"delay_ms": 0})).await;
    for _ in 0..3 {
        let response = book(&deployment, 1, "k").await.unwrap();
        let outcome = outcome(&response);
        assert!(
            response.status == 200 || outcome == "unknown",
            "{}",
            response.text()
        );
    }
    assert!(count_runs(&deployment, "k").await <= 1);
}

/// Guards against callers waiting for a claim whose gate was killed: the restarted gate has the
/// same name, but must not count as the holder.
#[tokio::test]
async fn test_once_gate_restarted_on_its_node_does_not_hold_old_claims() {
    let mut deployment = start_bookings(2, KeySupport::Ignored, 800).await;
    let pending = send_until_running(&deployment).await;
    deployment.entries[0].gate.kill();
    deployment.restart_gate(0).await;
    assert!(pending.await.unwrap().is_err());
    deployment.wait_entries(2).await;
    for entry in [1, 0, 1] {
        let response = book(&deployment, entry, "k").await.unwrap();
        assert_eq!(outcome(&response), "unknown", "{}", response.text());
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_keys_run_once_when_a_preferred_controller_is_killed_or_unreachable() {
    let mut deployment = start_bookings(4, KeySupport::Ignored, 50).await;
    let keys: Vec<String> = (0..60).map(|n| format!("k{n}")).collect();
    configure_log(&deployment, json!({"lose_answers": 3, "only": "claims"})).await;
    for (round, chunk) in keys.chunks(20).enumerate() {
        let sends = chunk.iter().flat_map(|key| {
            let deployment = &deployment;
            (0..4).map(move |entry| async move { book(deployment, entry, key).await })
        });
        let responses = join_all(sends).await;
        for response in responses.into_iter().flatten() {
            let is_valid = response.status == 200 || outcome(&response) != "failed";
            assert!(is_valid, "{}", response.text());
        }
        match round {
            // The preferred controller of some keys is killed.
            0 => deployment.entries[1].controller.kill(),
            // The other entries cannot reach a second controller, which still serves its own gate.
            1 => deployment.proxy.set_mode("rpc-2", LinkMode::Refuse).await,
            _ => {}
        }
    }
    for key in &keys {
        let response = book_until_ok(&deployment, 3, key).await;
        assert_eq!(response.status, 200);
        assert_eq!(count_runs(&deployment, key).await, 1, "{key}");
    }
}

#[tokio::test]
async fn test_once_lost_log_response_runs_once() {
    let deployment = start_bookings(2, KeySupport::Ignored, 1).await;
    configure_log(&deployment, json!({"lose_answers": 2, "only": "claims"})).await;
    let first = book(&deployment, 0, "k").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let second = book(&deployment, 1, "k").await.unwrap();
    assert_eq!(second.json(), first.json());
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_holder_paused_after_dispatch() {
    let deployment = start_bookings(2, KeySupport::Ignored, 500).await;
    let pending = send_until_running(&deployment).await;
    deployment.entries[0].gate.pause();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let during_pause = book(&deployment, 1, "k").await.unwrap();
    assert_eq!(outcome(&during_pause), "unknown", "{}", during_pause.text());
    deployment.entries[0].gate.resume();
    let first = pending.await.unwrap().unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let second = book_until_ok(&deployment, 1, "k").await;
    assert_eq!(second.json(), first.json());
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_holder_paused_before_dispatch() {
    let deployment = start_bookings(2, KeySupport::Ignored, 1).await;
    configure_log(&deployment, json!({"delay_ms": 700})).await;
    let pending = send_booking(&deployment);
    // The log delays the claim, so that the gate has not sent the booking yet.
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.entries[0].gate.pause();
    configure_log(&deployment, json!({"delay_ms": 0})).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let during_pause = book(&deployment, 1, "k").await.unwrap();
    // An empty outcome stands for a response that states none.
    assert!(
        matches!(outcome(&during_pause).as_str(), "unknown" | ""),
        "{}",
        during_pause.text()
    );
    deployment.entries[0].gate.resume();
    let first = pending.await.unwrap().unwrap();
    assert!(
        first.status == 200 || outcome(&first) == "not_run",
        "{}",
        first.text()
    );
    let second = book_until_ok(&deployment, 1, "k").await;
    assert_eq!(second.status, 200);
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

#[rstest]
#[case::ignored(KeySupport::Ignored)]
#[case::honoured(KeySupport::Honoured)]
#[case::lookup(KeySupport::Lookup)]
#[tokio::test]
async fn test_once_endpoint_response_lost(#[case] keys: KeySupport) {
    let deployment = start_bookings(2, keys, 1).await;
    for name in ENDPOINTS {
        let server = deployment.endpoint(name).process.http();
        let patch = json!({"faults": {"lose_answers": 1}});
        deployment.http.configure(server, &patch).await;
    }
    let first = book(&deployment, 0, "k").await.unwrap();
    let second = book(&deployment, 1, "k").await.unwrap();
    if keys == KeySupport::Ignored {
        assert_eq!(outcome(&first), "unknown", "{}", first.text());
        assert_eq!(outcome(&second), "unknown", "{}", second.text());
    } else {
        assert_eq!(first.status, 200, "{}", first.text());
        assert_eq!(second.json(), first.json());
    }
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_lost_caller_response_is_returned_again() {
    let deployment = start_bookings(2, KeySupport::Ignored, 1).await;
    deployment
        .proxy
        .set_mode("gate-0", LinkMode::DropAnswers)
        .await;
    assert!(book(&deployment, 0, "k").await.is_none());
    let second = book(&deployment, 1, "k").await.unwrap();
    assert_eq!(second.status, 200, "{}", second.text());
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_without_a_key_each_send_runs_at_most_once() {
    let deployment = start_bookings(1, KeySupport::Ignored, 1).await;
    let gate = deployment.entries[0].gate_address();
    let send = |boat: &str| {
        let body = json!({"boat": boat});
        let call = Call::post(&format!("/desk/book/{boat}"), &body).bearer(TOKEN);
        deployment.http.send(gate, call)
    };
    deployment
        .proxy
        .set_modes("endpoint-", LinkMode::DropAnswers)
        .await;
    let lost = send("lost").await.unwrap();
    assert_eq!(outcome(&lost), "unknown", "{}", lost.text());
    assert_eq!(count_runs(&deployment, "lost").await, 1);
    deployment
        .proxy
        .set_modes("endpoint-", LinkMode::Refuse)
        .await;
    let cut = send("cut").await.unwrap();
    assert!(
        matches!(outcome(&cut).as_str(), "unknown" | "not_run"),
        "{}",
        cut.text()
    );
    assert_eq!(count_runs(&deployment, "cut").await, 0);
    deployment
        .proxy
        .set_modes("endpoint-", LinkMode::Pass)
        .await;
    for name in ENDPOINTS {
        let vm = deployment.endpoint(name).vm.clone();
        deployment.announce_reclaim(&vm, 60_000).await;
    }
    wait_until("the call is refused", TIMEOUT, async || {
        let response = send("leaving").await.unwrap();
        outcome(&response) == "not_run"
    })
    .await;
    let before = count_runs(&deployment, "leaving").await;
    let response = send("leaving").await.unwrap();
    assert_eq!(outcome(&response), "not_run", "{}", response.text());
    assert_eq!(count_runs(&deployment, "leaving").await, before);
}

#[rstest]
#[case::refusing("refuse")]
#[case::silent("silent")]
#[tokio::test]
async fn test_once_log_outage_refuses_and_a_resend_runs_once(#[case] outage: &str) {
    let deployment = start_bookings(2, KeySupport::Ignored, 1).await;
    configure_log(&deployment, json!({"outage": outage})).await;
    for entry in [0, 1, 0] {
        let started = Instant::now();
        let refused = book(&deployment, entry, "k").await.unwrap();
        assert!(
            started.elapsed() < MAX_REFUSAL_TIME,
            "{:?}",
            started.elapsed()
        );
        assert_eq!(refused.status, 503, "{}", refused.text());
        assert_eq!(outcome(&refused), "not_run");
        assert!(!refused.header("retry-after").is_empty());
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(count_runs(&deployment, "k").await, 0);
    configure_log(&deployment, json!({"outage": "off"})).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        count_runs(&deployment, "k").await,
        0,
        "a refused call must not run"
    );
    book_until_ok(&deployment, 1, "k").await;
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_responses_known_before_a_log_outage_are_returned_during_it() {
    let deployment = start_bookings(2, KeySupport::Ignored, 1).await;
    let first = book(&deployment, 0, "k").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    wait_until(
        "the other entry responds with status 200",
        TIMEOUT,
        async || {
            book(&deployment, 1, "k")
                .await
                .is_some_and(|r| r.status == 200)
        },
    )
    .await;
    configure_log(&deployment, json!({"outage": "refuse"})).await;
    let second = book(&deployment, 1, "k").await.unwrap();
    assert_eq!(second.json(), first.json());
}

#[tokio::test]
async fn test_once_stop_finishes_the_booking_and_keeps_its_response() {
    let mut deployment = start_bookings(2, KeySupport::Ignored, 1000).await;
    let pending = send_until_running(&deployment).await;
    deployment.entries[0].gate.terminate();
    let first = pending.await.unwrap().unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    assert!(
        deployment.entries[0]
            .gate
            .wait_exit(TIMEOUT)
            .await
            .is_some()
    );
    let second = book(&deployment, 1, "k").await.unwrap();
    assert_eq!(second.json(), first.json());
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

/// Guards against a lost outcome: the gate stops while its record of the response cannot be
/// appended to the log.
#[tokio::test]
async fn test_once_stop_during_a_log_outage_hands_the_response_to_another_gate() {
    let mut deployment = start_bookings(2, KeySupport::Ignored, 1000).await;
    let pending = send_until_running(&deployment).await;
    configure_log(&deployment, json!({"outage": "refuse"})).await;
    deployment.entries[0].gate.terminate();
    let first = pending.await.unwrap().unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    assert!(
        deployment.entries[0]
            .gate
            .wait_exit(TIMEOUT)
            .await
            .is_some()
    );
    configure_log(&deployment, json!({"outage": "off"})).await;
    let second = book_until_ok(&deployment, 1, "k").await;
    assert_eq!(second.json(), first.json());
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

#[rstest]
#[case::ignored(KeySupport::Ignored)]
#[case::lookup(KeySupport::Lookup)]
#[tokio::test]
async fn test_once_reclaimed_gate_redirects_the_caller(#[case] keys: KeySupport) {
    let mut deployment = start_bookings(2, keys, 4000).await;
    let pending = send_until_running(&deployment).await;
    deployment.announce_reclaim(&entry_vm(0), 2500).await;
    let redirect = pending.await.unwrap().unwrap();
    assert_eq!(redirect.status, 307, "{}", redirect.text());
    let other = deployment.entries[1].gate_address().to_string();
    assert!(redirect.header("location").contains(&other));
    deployment.entries[0].gate.kill();
    deployment.entries[0].controller.kill();
    let response = book(&deployment, 1, "k").await.unwrap();
    if keys == KeySupport::Lookup {
        assert_eq!(response.status, 200, "{}", response.text());
    } else {
        assert_eq!(outcome(&response), "unknown", "{}", response.text());
    }
    assert_eq!(count_runs(&deployment, "k").await, 1);
}

/// Guards against claims that are lost with their expired records: a new controller has to load
/// them from the checkpoint.
#[tokio::test]
async fn test_once_claims_outlive_their_records_behind_a_checkpoint() {
    let mut deployment =
        start_bookings_with(2, KeySupport::Ignored, 1, "checkpoint = 10", ROUTE_TIMEOUT).await;
    let first = book(&deployment, 0, "k").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    for n in 0..20 {
        book_until_ok(&deployment, 0, &format!("other-{n}")).await;
    }
    let log = deployment.log.http();
    // An earlier checkpoint would expire with the records that it covers.
    wait_until(
        "a checkpoint covers the records to expire",
        TIMEOUT,
        async || {
            let path = "/streams/claims/records?from=0&limit=1000&wait_ms=0";
            let reply: Value = deployment.http.get(log, path).await;
            let records = reply["records"].as_array().unwrap();
            records.iter().any(|r| {
                let body = &r["envelope"]["body"];
                body["type"] == "checkpoint"
                    && body["value"]["as_of"].as_u64().unwrap() >= EXPIRED_BEFORE - 1
            })
        },
    )
    .await;
    // Drops the oldest records from the log, including those of the first booking.
    let expiry = json!({"stream": "claims", "before": EXPIRED_BEFORE});
    let call = Call::post("/control/expire", &expiry);
    let expired = deployment.http.send(log, call).await.unwrap();
    assert_eq!(expired.status, 200, "{}", expired.text());
    let entry = deployment.add_entry().await;
    deployment.wait_entries(3).await;
    // Only the new controller remains, which has never read the dropped records.
    for old in 0..2 {
        deployment.entries[old].controller.kill();
    }
    let second = book_until_ok(&deployment, entry, "k").await;
    assert_eq!(second.json(), first.json());
    assert_eq!(count_runs(&deployment, "k").await, 1);
}
