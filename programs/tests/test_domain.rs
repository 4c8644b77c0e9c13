//! Process tests of whole deployments that lose a failure domain, an entry or both ends of a
//! request.

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
use self::testutils::LIMIT;
use self::testutils::caller::Caller;
use self::testutils::deployment::Deployment;
use self::testutils::deployment::Entry;
use self::testutils::deployment::TOKEN;
use self::testutils::deployment::entry_vm;
use self::testutils::deployment::service;
use self::testutils::wait_until;

/// Path of completions.
const PATH: &str = "/tutor/v1/completions";

/// Time from the notice to the end of a machine, in milliseconds.
const NOTICE_MS: u64 = 2500;

/// Tokens of an answer, at 10 ms each.
const TOKENS: u32 = 400;

/// Starts entries and an engine in each failure domain.
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
        wait_until("the gate serves", LIMIT, async || {
            let body = json!({"prompt": "ready", "max_tokens": 1});
            let call = Call::post(PATH, &body).bearer(TOKEN);
            let answer = deployment.http.send(entry.callers(), call).await;
            answer.is_ok_and(|a| a.status == 200)
        })
        .await;
    }
    deployment
}

/// Callers of every gate, each with the other entries to fall back on.
fn callers(deployment: &Deployment) -> Vec<Caller> {
    let entries: Vec<_> = deployment.entries.iter().map(Entry::callers).collect();
    let rotated = |by: usize| {
        let mut order = entries.clone();
        order.rotate_left(by);
        Caller::new(order, TOKEN)
    };
    (0..entries.len()).map(rotated).collect()
}

#[rstest]
#[case::announced(true)]
#[case::processes_die_during_the_notice(false)]
#[tokio::test]
async fn test_domain_reclaimed_with_the_log_down(#[case] whole_notice: bool) {
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
                let received = caller.complete(PATH, &prompt, TOKENS).await;
                assert_eq!(received.text, generate_text(&prompt, TOKENS));
                received
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(700)).await;
    // Entries 0 and 4 and engine `e0` are in the same failure domain.
    let engine = deployment.server("e0").vm.clone();
    for vm in [entry_vm(0), entry_vm(4), engine] {
        deployment.give_notice(&vm, NOTICE_MS).await;
    }
    let left = if whole_notice {
        NOTICE_MS
    } else {
        NOTICE_MS / 5
    };
    tokio::time::sleep(Duration::from_millis(left)).await;
    for index in [0, 4] {
        deployment.entries[index].gate.kill();
        deployment.entries[index].controller.kill();
    }
    deployment.servers[0].process.kill();
    let received: Vec<_> = join_all(streams)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect();
    let moved = received.iter().filter(|r| r.sends > 1).count();
    assert!(
        moved >= 6,
        "the streams of two of six gates went on elsewhere: {moved}"
    );
    let mut recomputed = 0;
    for index in [1, 2, 3, 5] {
        let rpc = deployment.entries[index].gate.address("rpc");
        let clients = deployment.rpc();
        let call = clients.call(rpc, LIMIT, |client| async move { client.counts().await });
        recomputed += call.await.unwrap().recomputed;
    }
    println!("{moved} of 18 streams went on elsewhere, {recomputed} tokens computed again");
}

#[tokio::test]
async fn test_domain_deferred_draft_survives_the_notice_of_its_gate() {
    let mut deployment = deploy(2).await;
    let mut drafts = Vec::new();
    for number in 0..6 {
        let prompt = format!("draft {number}");
        let body = json!({"prompt": prompt, "max_tokens": TOKENS});
        let call = Call::post(PATH, &body)
            .bearer(TOKEN)
            .header("prefer", "respond-async");
        let gate = deployment.entries[0].callers();
        let accepted = deployment.http.send(gate, call).await.unwrap();
        assert_eq!(accepted.status, 202, "{}", accepted.text());
        drafts.push((prompt, accepted.header("location").to_owned()));
    }
    wait_until("all drafts run", LIMIT, async || {
        let mut runs = 0;
        for name in ["e0", "e1", "e2", "e3"] {
            runs += deployment.stats::<EngineStats>(name).await.runs;
        }
        runs == 2 + 6
    })
    .await;
    deployment.give_notice(&entry_vm(0), NOTICE_MS).await;
    tokio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
    deployment.entries[0].gate.kill();
    deployment.entries[0].controller.kill();
    let gate = deployment.entries[1].callers();
    for (prompt, location) in drafts {
        let mut text = String::new();
        wait_until("the draft is there", LIMIT, async || {
            let call = Call::new(Method::GET, &location).bearer(TOKEN);
            let answer = deployment.http.send(gate, call).await.unwrap();
            assert!(
                matches!(answer.status, 200 | 202 | 503),
                "{} {}",
                answer.status,
                answer.text()
            );
            let body = answer.json();
            text = body["choices"][0]["text"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            answer.status == 200
        })
        .await;
        assert_eq!(text, generate_text(&prompt, TOKENS));
    }
}
