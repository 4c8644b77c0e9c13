//! Process tests of calls that may not be repeated.

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

use self::testutils::Answer;
use self::testutils::Call;
use self::testutils::LIMIT;
use self::testutils::bookings::ROUTE_TIMEOUT;
use self::testutils::bookings::SERVERS;
use self::testutils::bookings::book;
use self::testutils::bookings::book_until_done;
use self::testutils::bookings::booking;
use self::testutils::bookings::bookings;
use self::testutils::bookings::bookings_with;
use self::testutils::bookings::outcome;
use self::testutils::bookings::running;
use self::testutils::bookings::runs;
use self::testutils::bookings::set_log;
use self::testutils::deployment::Deployment;
use self::testutils::deployment::OTHER_TOKEN;
use self::testutils::deployment::TOKEN;
use self::testutils::deployment::entry_vm;
use self::testutils::wait_until;

/// Time within which a call must be refused while the log is down.
const REFUSAL_LIMIT: Duration = Duration::from_secs(3);

/// Sends the booking `k` to the first entry.
fn send_booking(deployment: &Deployment) -> JoinHandle<Result<Answer, SendError>> {
    let http = deployment.http.clone();
    let gate = deployment.entries[0].callers();
    tokio::spawn(async move { http.send(gate, booking("k")).await })
}

/// Sends the booking `k` to the first entry and waits until it runs.
async fn send_until_running(deployment: &Deployment) -> JoinHandle<Result<Answer, SendError>> {
    let send = send_booking(deployment);
    wait_until("the booking runs", LIMIT, async || {
        running(deployment).await == 1
    })
    .await;
    send
}

#[tokio::test]
async fn test_once_same_key_through_two_gates_runs_once() {
    let deployment = bookings(3, KeySupport::Ignored, 100).await;
    let keys: Vec<String> = (0..20).map(|n| format!("k{n}")).collect();
    let sends = keys.iter().flat_map(|key| {
        let deployment = &deployment;
        (0..3).map(move |entry| async move { (key, book(deployment, entry, key).await) })
    });
    let mut first: std::collections::HashMap<&String, Value> = std::collections::HashMap::new();
    for (key, answer) in join_all(sends).await {
        let answer = answer.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        let seen = first.entry(key).or_insert_with(|| answer.json());
        assert_eq!(*seen, answer.json());
    }
    for key in &keys {
        assert_eq!(runs(&deployment, key).await, 1, "{key}");
    }
}

#[tokio::test]
async fn test_once_key_reused_with_another_body_is_refused() {
    let deployment = bookings(2, KeySupport::Ignored, 1).await;
    let first = book(&deployment, 0, "k").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let other = Call::post("/desk/book/k", &json!({"boat": "another"}))
        .bearer(TOKEN)
        .header("idempotency-key", "k");
    let gate = deployment.entries[1].callers();
    let answer = deployment.http.send(gate, other).await.unwrap();
    assert_eq!(answer.status, 422, "{}", answer.text());
    assert_eq!(outcome(&answer), "not_run");
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[rstest]
#[case::ignored(KeySupport::Ignored)]
#[case::honoured(KeySupport::Honoured)]
#[tokio::test]
async fn test_once_customers_keys_are_kept_apart(#[case] keys: KeySupport) {
    let deployment = bookings(1, keys, 1).await;
    let gate = deployment.entries[0].callers();
    let mine = book(&deployment, 0, "k").await.unwrap();
    let theirs = Call::post("/desk/book/k", &json!({"boat": "theirs"}))
        .bearer(OTHER_TOKEN)
        .header("idempotency-key", "k");
    let theirs = deployment.http.send(gate, theirs).await.unwrap();
    assert_eq!((mine.status, theirs.status), (200, 200));
    assert!(mine.text().contains("\\\"k\\\""), "{}", mine.text());
    assert!(theirs.text().contains("theirs"), "{}", theirs.text());
}

#[rstest]
#[case::ignored(KeySupport::Ignored)]
#[case::honoured(KeySupport::Honoured)]
#[case::lookup(KeySupport::Lookup)]
#[tokio::test]
async fn test_once_gate_killed_after_dispatch(#[case] keys: KeySupport) {
    let mut deployment = bookings(2, keys, 800).await;
    let send = send_until_running(&deployment).await;
    deployment.entries[0].gate.kill();
    assert!(send.await.unwrap().is_err());
    let answer = book(&deployment, 1, "k").await.unwrap();
    if keys == KeySupport::Lookup {
        assert_eq!(answer.status, 200, "{}", answer.text());
    } else {
        assert_eq!(answer.status, 502, "{}", answer.text());
        assert_eq!(outcome(&answer), "unknown");
        let begun = Instant::now();
        let again = book(&deployment, 1, "k").await.unwrap();
        assert_eq!(outcome(&again), "unknown");
        assert!(begun.elapsed() < Duration::from_secs(1));
    }
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_gate_killed_before_dispatch() {
    let mut deployment = bookings(2, KeySupport::Ignored, 1).await;
    set_log(&deployment, json!({"delay_ms": 800})).await;
    let send = send_booking(&deployment);
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.entries[0].gate.kill();
    assert!(send.await.unwrap().is_err());
    set_log(&deployment, json!({"delay_ms": 0})).await;
    for _ in 0..3 {
        let answer = book(&deployment, 1, "k").await.unwrap();
        let outcome = outcome(&answer);
        assert!(
            answer.status == 200 || outcome == "unknown",
            "{}",
            answer.text()
        );
    }
    assert!(runs(&deployment, "k").await <= 1);
}

#[tokio::test]
async fn test_once_gate_restarted_on_its_node_does_not_hold_old_claims() {
    let mut deployment = bookings(2, KeySupport::Ignored, 800).await;
    let send = send_until_running(&deployment).await;
    deployment.entries[0].gate.kill();
    deployment.restart_gate(0).await;
    assert!(send.await.unwrap().is_err());
    deployment.wait_entries(2).await;
    for entry in [1, 0, 1] {
        let answer = book(&deployment, entry, "k").await.unwrap();
        assert_eq!(outcome(&answer), "unknown", "{}", answer.text());
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_homes_killed_and_doubled_run_each_key_once() {
    let mut deployment = bookings(4, KeySupport::Ignored, 50).await;
    let keys: Vec<String> = (0..60).map(|n| format!("k{n}")).collect();
    set_log(&deployment, json!({"lose_answers": 3, "only": "claims"})).await;
    for (round, chunk) in keys.chunks(20).enumerate() {
        let sends = chunk.iter().flat_map(|key| {
            let deployment = &deployment;
            (0..4).map(move |entry| async move { book(deployment, entry, key).await })
        });
        let answers = join_all(sends).await;
        for answer in answers.into_iter().flatten() {
            let known = answer.status == 200 || outcome(&answer) != "failed";
            assert!(known, "{}", answer.text());
        }
        match round {
            0 => deployment.entries[1].controller.kill(),
            1 => deployment.proxy.set_mode("rpc-2", LinkMode::Refuse).await,
            _ => {}
        }
    }
    for key in &keys {
        let answer = book_until_done(&deployment, 3, key).await;
        assert_eq!(answer.status, 200);
        assert_eq!(runs(&deployment, key).await, 1, "{key}");
    }
}

#[tokio::test]
async fn test_once_lost_log_answer_runs_once() {
    let deployment = bookings(2, KeySupport::Ignored, 1).await;
    set_log(&deployment, json!({"lose_answers": 2, "only": "claims"})).await;
    let first = book(&deployment, 0, "k").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let again = book(&deployment, 1, "k").await.unwrap();
    assert_eq!(again.json(), first.json());
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_holder_paused_after_dispatch() {
    let deployment = bookings(2, KeySupport::Ignored, 500).await;
    let send = send_until_running(&deployment).await;
    deployment.entries[0].gate.pause();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let during = book(&deployment, 1, "k").await.unwrap();
    assert_eq!(outcome(&during), "unknown", "{}", during.text());
    deployment.entries[0].gate.resume();
    let first = send.await.unwrap().unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    let again = book_until_done(&deployment, 1, "k").await;
    assert_eq!(again.json(), first.json());
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_holder_paused_before_dispatch() {
    let deployment = bookings(2, KeySupport::Ignored, 1).await;
    set_log(&deployment, json!({"delay_ms": 700})).await;
    let send = send_booking(&deployment);
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.entries[0].gate.pause();
    set_log(&deployment, json!({"delay_ms": 0})).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let during = book(&deployment, 1, "k").await.unwrap();
    assert!(
        matches!(outcome(&during).as_str(), "unknown" | ""),
        "{}",
        during.text()
    );
    deployment.entries[0].gate.resume();
    let late = send.await.unwrap().unwrap();
    assert!(
        late.status == 200 || outcome(&late) == "not_run",
        "{}",
        late.text()
    );
    let again = book_until_done(&deployment, 1, "k").await;
    assert_eq!(again.status, 200);
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[rstest]
#[case::ignored(KeySupport::Ignored)]
#[case::honoured(KeySupport::Honoured)]
#[case::lookup(KeySupport::Lookup)]
#[tokio::test]
async fn test_once_endpoint_answer_lost(#[case] keys: KeySupport) {
    let deployment = bookings(2, keys, 1).await;
    for name in SERVERS {
        let server = deployment.server(name).process.http();
        let patch = json!({"faults": {"lose_answers": 1}});
        deployment.http.control(server, &patch).await;
    }
    let first = book(&deployment, 0, "k").await.unwrap();
    let again = book(&deployment, 1, "k").await.unwrap();
    if keys == KeySupport::Ignored {
        assert_eq!(outcome(&first), "unknown", "{}", first.text());
        assert_eq!(outcome(&again), "unknown", "{}", again.text());
    } else {
        assert_eq!(first.status, 200, "{}", first.text());
        assert_eq!(again.json(), first.json());
    }
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_caller_answer_lost_is_answered_again() {
    let deployment = bookings(2, KeySupport::Ignored, 1).await;
    deployment
        .proxy
        .set_mode("gate-0", LinkMode::DropAnswers)
        .await;
    assert!(book(&deployment, 0, "k").await.is_none());
    let again = book(&deployment, 1, "k").await.unwrap();
    assert_eq!(again.status, 200, "{}", again.text());
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_without_a_key_each_send_runs_at_most_once() {
    let deployment = bookings(1, KeySupport::Ignored, 1).await;
    let gate = deployment.entries[0].callers();
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
    assert_eq!(runs(&deployment, "lost").await, 1);
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
    assert_eq!(runs(&deployment, "cut").await, 0);
    deployment
        .proxy
        .set_modes("endpoint-", LinkMode::Pass)
        .await;
    for name in SERVERS {
        let vm = deployment.server(name).vm.clone();
        deployment.give_notice(&vm, 60_000).await;
    }
    wait_until("the call is refused", LIMIT, async || {
        let answer = send("leaving").await.unwrap();
        outcome(&answer) == "not_run"
    })
    .await;
    let before = runs(&deployment, "leaving").await;
    let answer = send("leaving").await.unwrap();
    assert_eq!(outcome(&answer), "not_run", "{}", answer.text());
    assert_eq!(runs(&deployment, "leaving").await, before);
}

#[rstest]
#[case::refusing("refuse")]
#[case::silent("silent")]
#[tokio::test]
async fn test_once_log_outage_refuses_and_a_resend_runs_once(#[case] outage: &str) {
    let deployment = bookings(2, KeySupport::Ignored, 1).await;
    set_log(&deployment, json!({"outage": outage})).await;
    for entry in [0, 1, 0] {
        let begun = Instant::now();
        let refused = book(&deployment, entry, "k").await.unwrap();
        assert!(begun.elapsed() < REFUSAL_LIMIT, "{:?}", begun.elapsed());
        assert_eq!(refused.status, 503, "{}", refused.text());
        assert_eq!(outcome(&refused), "not_run");
        assert!(!refused.header("retry-after").is_empty());
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(runs(&deployment, "k").await, 0);
    set_log(&deployment, json!({"outage": "off"})).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&deployment, "k").await, 0, "a refused call ran");
    book_until_done(&deployment, 1, "k").await;
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_answers_known_before_a_log_outage_are_given_during_it() {
    let deployment = bookings(2, KeySupport::Ignored, 1).await;
    let first = book(&deployment, 0, "k").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    wait_until("the other entry answers", LIMIT, async || {
        book(&deployment, 1, "k")
            .await
            .is_some_and(|a| a.status == 200)
    })
    .await;
    set_log(&deployment, json!({"outage": "refuse"})).await;
    let again = book(&deployment, 1, "k").await.unwrap();
    assert_eq!(again.json(), first.json());
}

#[tokio::test]
async fn test_once_stop_finishes_the_booking_and_keeps_its_answer() {
    let mut deployment = bookings(2, KeySupport::Ignored, 1000).await;
    let send = send_until_running(&deployment).await;
    deployment.entries[0].gate.terminate();
    let first = send.await.unwrap().unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    assert!(deployment.entries[0].gate.wait_exit(LIMIT).await.is_some());
    let again = book(&deployment, 1, "k").await.unwrap();
    assert_eq!(again.json(), first.json());
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_stop_during_a_log_outage_hands_the_answer_to_another_gate() {
    let mut deployment = bookings(2, KeySupport::Ignored, 1000).await;
    let send = send_until_running(&deployment).await;
    set_log(&deployment, json!({"outage": "refuse"})).await;
    deployment.entries[0].gate.terminate();
    let first = send.await.unwrap().unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    assert!(deployment.entries[0].gate.wait_exit(LIMIT).await.is_some());
    set_log(&deployment, json!({"outage": "off"})).await;
    let again = book_until_done(&deployment, 1, "k").await;
    assert_eq!(again.json(), first.json());
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[rstest]
#[case::ignored(KeySupport::Ignored)]
#[case::lookup(KeySupport::Lookup)]
#[tokio::test]
async fn test_once_reclaimed_gate_sends_the_caller_on(#[case] keys: KeySupport) {
    let mut deployment = bookings(2, keys, 4000).await;
    let send = send_until_running(&deployment).await;
    deployment.give_notice(&entry_vm(0), 2500).await;
    let sent_on = send.await.unwrap().unwrap();
    assert_eq!(sent_on.status, 307, "{}", sent_on.text());
    let other = deployment.entries[1].callers().to_string();
    assert!(sent_on.header("location").contains(&other));
    deployment.entries[0].gate.kill();
    deployment.entries[0].controller.kill();
    let answer = book(&deployment, 1, "k").await.unwrap();
    if keys == KeySupport::Lookup {
        assert_eq!(answer.status, 200, "{}", answer.text());
    } else {
        assert_eq!(outcome(&answer), "unknown", "{}", answer.text());
    }
    assert_eq!(runs(&deployment, "k").await, 1);
}

#[tokio::test]
async fn test_once_claims_outlive_their_records_behind_a_checkpoint() {
    let mut deployment =
        bookings_with(2, KeySupport::Ignored, 1, "checkpoint = 10", ROUTE_TIMEOUT).await;
    let first = book(&deployment, 0, "k").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    for n in 0..20 {
        book_until_done(&deployment, 0, &format!("other-{n}")).await;
    }
    let log = deployment.log.http();
    wait_until("a checkpoint is in the log", LIMIT, async || {
        let path = "/streams/claims/records?from=0&limit=1000&wait_ms=0";
        let reply: Value = deployment.http.get(log, path).await;
        let records = reply["records"].as_array().unwrap();
        records
            .iter()
            .any(|r| r["envelope"]["body"]["type"] == "checkpoint")
    })
    .await;
    let expiry = json!({"stream": "claims", "before": 12});
    let call = Call::post("/control/expire", &expiry);
    let expired = deployment.http.send(log, call).await.unwrap();
    assert_eq!(expired.status, 200, "{}", expired.text());
    let entry = deployment.grow().await;
    deployment.wait_entries(3).await;
    for old in 0..2 {
        deployment.entries[old].controller.kill();
    }
    let again = book_until_done(&deployment, entry, "k").await;
    assert_eq!(again.json(), first.json());
    assert_eq!(runs(&deployment, "k").await, 1);
}
