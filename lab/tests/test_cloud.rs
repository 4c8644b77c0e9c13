//! Tests of the stand-ins for the cloud and the weight store.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::CloudSettings;
use hawthornrack_lab::CloudStats;
use hawthornrack_lab::WeightSettings;
use hawthornrack_lab::run_cloud;
use hawthornrack_lab::run_weight_store;
use hawthornrack_lib::ListedState;
use hawthornrack_lib::ListedVm;
use hawthornrack_lib::NoticeReply;
use hawthornrack_lib::SendError;
use hawthornrack_lib::Vm;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use self::testutils::Server;
use self::testutils::start;
use self::testutils::wait_until;

/// Delay after which changes show in the VM list.
const LIST_LAG_MS: u64 = 300;

async fn start_cloud() -> Server {
    start(|listener, stop| run_cloud(CloudSettings::default(), listener, stop)).await
}

fn start_request(token: &str) -> Value {
    json!({"token": token, "class": "small", "domain": "north", "market": "reclaimable"})
}

#[tokio::test]
async fn test_cloud_token_starts_one_vm_when_the_response_is_lost() {
    let cloud = start_cloud().await;
    let server = json!({"domain": "north", "address": "127.0.0.1:9"});
    let _ = cloud.post::<Value>("/control/servers", &server).await;
    cloud.change_settings(&json!({"lose_answers": 1})).await;
    let lost = cloud.post::<Vm>("/vms", &start_request("a")).await;
    assert!(lost.is_err());
    let first: Vm = cloud.post("/vms", &start_request("a")).await.unwrap();
    let other: Vm = cloud.post("/vms", &start_request("b")).await.unwrap();
    assert_ne!(first.name, other.name);
    assert_eq!(first.address, Some("127.0.0.1:9".parse().unwrap()));
    assert_eq!(other.address, None);
    let running: Vec<Vm> = cloud.get("/vms").await.unwrap();
    assert_eq!(running.len(), 2);
    let stats: CloudStats = cloud.get("/stats").await.unwrap();
    assert_eq!((stats.started, stats.repeated), (2, 1));
}

#[tokio::test]
async fn test_cloud_refuses_chosen_starts() {
    let cloud = start_cloud().await;
    cloud
        .change_settings(&json!({"refuse": [{"domain": "north", "market": "reclaimable"}]}))
        .await;
    let refused = cloud.post::<Vm>("/vms", &start_request("a")).await;
    assert!(
        matches!(refused, Err(SendError::Status(503, _))),
        "{refused:?}"
    );
    let mut other = start_request("a");
    other["market"] = json!("on_demand");
    cloud.post::<Vm>("/vms", &other).await.unwrap();
}

#[tokio::test]
async fn test_cloud_notice_ends_the_vm_while_the_list_lags() {
    let cloud = start_cloud().await;
    let vm: Vm = cloud.post("/vms", &start_request("a")).await.unwrap();
    cloud
        .change_settings(&json!({"list_lag_ms": LIST_LAG_MS}))
        .await;
    wait_until(async || {
        !cloud
            .get::<Vec<ListedVm>>("/list")
            .await
            .unwrap()
            .is_empty()
    })
    .await;
    let notice_start = Instant::now();
    let notice = json!({"domain": "north", "ms": 100});
    let (reply, notified) = tokio::join!(
        cloud.get::<NoticeReply>("/notices?from=0&wait_ms=9000"),
        cloud.post::<Value>("/control/notice", &notice),
    );
    notified.unwrap();
    let reply = reply.unwrap();
    assert_eq!((reply.next, &reply.notices[0].vm), (1, &vm.name));
    wait_until(async || cloud.get::<Vec<Vm>>("/vms").await.unwrap().is_empty()).await;
    wait_until(async || {
        let listed: Vec<ListedVm> = cloud.get("/list").await.unwrap();
        listed.iter().all(|row| row.state == ListedState::Leaving)
    })
    .await;
    let elapsed = notice_start.elapsed();
    // The stand-in rounds its times down to milliseconds.
    assert!(
        elapsed > Duration::from_millis(LIST_LAG_MS - 1),
        "leaving after {elapsed:?}"
    );
    wait_until(async || {
        cloud
            .get::<Vec<ListedVm>>("/list")
            .await
            .unwrap()
            .is_empty()
    })
    .await;
}

#[tokio::test]
async fn test_weights_are_limited() {
    let settings = WeightSettings {
        per_sec: 0.1,
        burst: 1.0,
        fetch_ms: 0,
        bytes: 8,
    };
    let store = start(|listener, stop| run_weight_store(settings, listener, stop)).await;
    let body = store.send(hyper::Method::GET, "/weights/m", &()).await;
    assert_eq!(body.len(), 8);
    let limited = store.get::<Value>("/weights/m").await;
    assert!(
        matches!(limited, Err(SendError::Status(429, _))),
        "{limited:?}"
    );
}
