//! Process tests of deployments that lose a failure domain, an entry, or both the gate and the
//! endpoint of a request.

mod testutils;

use std::time::Duration;

use futures_util::future::join_all;
use hawthornrack_lab::EngineStats;
use hawthornrack_lab::LinkMode;
use hawthornrack_lab::generate_text;
use hawthornrack_lib::GateRpcClient;
use hawthornrack_lib::Priority;
use hawthornrack_lib::Route;
use hawthornrack_lib::ServiceKind;
use hyper::Method;
use rstest::rstest;
use serde_json::json;

use self::testutils::Call;
use self::testutils::TIMEOUT;
use self::testutils::caller::Caller;
use self::testutils::deployment::Deployment;
use self::testutils::deployment::Entry;
use self::testutils::deployment::TOKEN;
use self::testutils::deployment::entry_vm;
use self::testutils::deployment::service;
use self::testutils::wait_until;

/// Path of the completions of the service `tutor` at a gate.
const COMPLETIONS_PATH: &str = "/tutor/v1/completions";

/// Time from the reclaim notice to the reclaim of the VM.
const NOTICE_MS: u64 = 2500;

/// Number of tokens of a completion; an engine takes 10 ms for each.
const TOKEN_COUNT: u32 = 400;

/// Starts `entries` entries and one engine in each failure domain, and waits until every gate
/// serves requests.
async fn deploy(entries: usize) -> Deployment {
    let mut deployment = Deployment::start(entries).await;
    for name in ["e0", "e1", "e2", "e3"] {
        let settings = &["token_us=10_000", "slots=32"];
        deployment.add_engine("tutor", "v1", name, settings).await;
    }
    let route = Route {
        prefix: String::from("v1/"),
        repeatable: true,
        priority: Priority::Interactive,
        timeout: Duration::from_secs(30),
    };
    let tutor = service("tutor", ServiceKind::Model, vec![route]);
    deployment.declare(&[tutor]).await;
    for entry in &deployment.entries {
        wait_until("the gate serves requests", TIMEOUT, async || {
            let body = json!({"prompt": "ready", "max_tokens": 1});
            let call = Call::post(COMPLETIONS_PATH, &body).bearer(TOKEN);
            let response = deployment.http.send(entry.gate_address(), call).await;
            response.is_ok_and(|r| r.status == 200)
        })
        .await;
    }
    deployment
}

/// Returns one caller for each entry, which falls back on the other entries in turn.
fn callers(deployment: &Deployment) -> Vec<Caller> {
    let entries: Vec<_> = deployment.entries.iter().map(Entry::gate_address).collect();
    let rotated = |by: usize| {
        let mut order = entries.clone();
        order.rotate_left(by);
        Caller::new(order, TOKEN)
    };
    (0..entries.len()).map(rotated).collect()
}

#[rstest]
#[case::killed_after_the_notice_period(true)]
#[case::killed_during_the_notice_period(false)]
#[tokio::test]
async fn test_domain_reclaimed_with_the_log_down(#[case] has_full_notice: bool) {
    let mut deployment = deploy(6).await;
    deployment.proxy.set_modes("log-", LinkMode::Refuse).await;
    let streams: Vec<_> = callers(&deployment)
        .into_iter()
        .cycle()
        .take(18)
        .enumerate()
        .map(|(number, caller)| {
            tokio::spawn(async move {
                let prompt = format!("prompt {number}");
                let received = caller
                    .complete(COMPLETIONS_PATH, &prompt, TOKEN_COUNT)
                    .await;
                assert_eq!(received.text, generate_text(&prompt, TOKEN_COUNT));
                received
            })
        })
        .collect();
    // Lets all streams start; each takes at least 4 s.
    tokio::time::sleep(Duration::from_millis(700)).await;
    // Entries 0 and 4 and engine `e0` are in the same failure domain.
    let engine = deployment.endpoint("e0").vm.clone();
    for vm in [entry_vm(0), entry_vm(4), engine] {
        deployment.announce_reclaim(&vm, NOTICE_MS).await;
    }
    let kill_delay_ms = if has_full_notice {
        NOTICE_MS
    } else {
        NOTICE_MS / 5
    };
    tokio::time::sleep(Duration::from_millis(kill_delay_ms)).await;
    for index in [0, 4] {
        deployment.entries[index].gate.kill();
        deployment.entries[index].controller.kill();
    }
    deployment.endpoints[0].process.kill();
    let received: Vec<_> = join_all(streams)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect();
    // Each of the six gates serves three of the 18 streams, and two gates are lost.
    let reconnected_count = received.iter().filter(|r| r.requests > 1).count();
    assert!(
        reconnected_count >= 6,
        "only {reconnected_count} streams continued on another connection; \
         two of six gates were lost"
    );
    let mut recomputed = 0;
    for index in [1, 2, 3, 5] {
        let rpc_address = deployment.entries[index].gate.address("rpc");
        let rpc = deployment.rpc();
        let call = rpc.call(rpc_address, TIMEOUT, |client| async move {
            client.counts().await
        });
        recomputed += call.await.unwrap().recomputed;
    }
    println!(
        "{reconnected_count} of 18 streams continued on another connection, \
         {recomputed} tokens recomputed"
    );
}

#[tokio::test]
async fn test_domain_deferred_request_completes_after_its_entry_is_reclaimed() {
    let mut deployment = deploy(2).await;
    let mut deferred_requests = Vec::new();
    for number in 0..6 {
        let prompt = format!("draft {number}");
        let body = json!({"prompt": prompt, "max_tokens": TOKEN_COUNT});
        let call = Call::post(COMPLETIONS_PATH, &body)
            .bearer(TOKEN)
            .header("prefer", "respond-async");
        let gate = deployment.entries[0].gate_address();
        let accepted = deployment.http.send(gate, call).await.unwrap();
        assert_eq!(accepted.status, 202, "{}", accepted.text());
        deferred_requests.push((prompt, accepted.header("location").to_owned()));
    }
    wait_until("all deferred requests have started", TIMEOUT, async || {
        let mut runs = 0;
        for name in ["e0", "e1", "e2", "e3"] {
            runs += deployment.stats::<EngineStats>(name).await.runs;
        }
        // One request for each entry in `deploy`, and the six deferred requests.
        runs == 2 + 6
    })
    .await;
    deployment.announce_reclaim(&entry_vm(0), NOTICE_MS).await;
    tokio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
    deployment.entries[0].gate.kill();
    deployment.entries[0].controller.kill();
    let gate = deployment.entries[1].gate_address();
    for (prompt, location) in deferred_requests {
        let mut text = String::new();
        wait_until("the deferred request is complete", TIMEOUT, async || {
            let call = Call::new(Method::GET, &location).bearer(TOKEN);
            let response = deployment.http.send(gate, call).await.unwrap();
            assert!(
                matches!(response.status, 200 | 202 | 503),
                "{} {}",
                response.status,
                response.text()
            );
            let body = response.json();
            text = body["choices"][0]["text"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            response.status == 200
        })
        .await;
        assert_eq!(text, generate_text(&prompt, TOKEN_COUNT));
    }
}
