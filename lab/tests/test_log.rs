//! Tests of the stand-in for the log.

mod testutils;

use std::time::Duration;

use hawthornrack_lab::LogSettings;
use hawthornrack_lab::run_log;
use hawthornrack_lib::AppendReply;
use hawthornrack_lib::AppendRequest;
use hawthornrack_lib::Body;
use hawthornrack_lib::ConfigChange;
use hawthornrack_lib::Envelope;
use hawthornrack_lib::MoveName;
use hawthornrack_lib::NodeName;
use hawthornrack_lib::Offset;
use hawthornrack_lib::ReadReply;
use hawthornrack_lib::RecordId;
use hawthornrack_lib::SendError;
use hawthornrack_lib::Timestamp;
use serde_json::Value;
use serde_json::json;

use self::testutils::Server;
use self::testutils::start;
use self::testutils::wait_until;

fn append_request(ids: &[u128]) -> AppendRequest {
    let records = ids.iter().map(|id| Envelope {
        id: RecordId::from_u128(*id),
        writer: NodeName::new("node-1").unwrap(),
        at: Timestamp(1),
        body: Body::Config(ConfigChange::CancelMove {
            name: MoveName::new("move-1").unwrap(),
        }),
    });
    AppendRequest {
        records: records.collect(),
    }
}

async fn append(log: &Server, ids: &[u128]) -> Result<Offset, SendError> {
    let reply: AppendReply = log
        .post("/streams/config/records", &append_request(ids))
        .await?;
    Ok(reply.first)
}

async fn read(log: &Server, query: &str) -> Result<ReadReply, SendError> {
    log.get(&format!("/streams/config/records?{query}")).await
}

async fn start_log() -> Server {
    start(|listener, stop| run_log(LogSettings::default(), listener, stop)).await
}

#[tokio::test]
async fn test_log_lost_response_leaves_the_record() {
    let log = start_log().await;
    log.change_settings(&json!({"lose_answers": 1})).await;
    let lost = append(&log, &[7]).await;
    assert!(matches!(lost, Err(SendError::MaybeSent(_))), "{lost:?}");
    assert_eq!(append(&log, &[7]).await.unwrap(), Offset(1));
    let reply = read(&log, "from=0").await.unwrap();
    let ids: Vec<u128> = reply
        .records
        .iter()
        .map(|r| r.envelope.id.as_u128())
        .collect();
    assert_eq!(ids, [7, 7]);
}

#[tokio::test]
async fn test_log_lost_request_has_no_effect() {
    let log = start_log().await;
    log.change_settings(&json!({"lose_requests": 1})).await;
    assert!(append(&log, &[7]).await.is_err());
    assert_eq!(append(&log, &[8, 9]).await.unwrap(), Offset(0));
    let reply = read(&log, "from=1&limit=5").await.unwrap();
    assert_eq!(reply.next, Offset(2));
    assert_eq!(reply.records.len(), 1);
    assert_eq!(reply.records[0].offset, Offset(1));
}

#[tokio::test]
async fn test_log_long_poll_ends_with_the_append() {
    let log = start_log().await;
    let (reply, appended) = tokio::join!(read(&log, "from=0&wait_ms=9000"), append(&log, &[1]));
    appended.unwrap();
    assert_eq!(reply.unwrap().records.len(), 1);
}

#[tokio::test]
async fn test_log_expired_offset_is_gone() {
    let log = start_log().await;
    append(&log, &[1, 2, 3]).await.unwrap();
    let request = json!({"stream": "config", "before": 2});
    let _ = log.post::<Value>("/control/expire", &request).await;
    let Err(SendError::Status(410, body)) = read(&log, "from=1").await else {
        panic!("read from an expired offset did not fail with status 410");
    };
    let reply: ReadReply = serde_json::from_slice(&body).unwrap();
    assert_eq!((reply.first, reply.next), (Offset(2), Offset(3)));
    assert!(reply.records.is_empty());
}

#[tokio::test]
async fn test_log_old_tail_hides_newer_records() {
    let log = start_log().await;
    append(&log, &[1, 2, 3]).await.unwrap();
    log.change_settings(&json!({"old_tail": 1})).await;
    let truncated = read(&log, "from=0").await.unwrap();
    assert_eq!((truncated.next, truncated.records.len()), (Offset(1), 1));
    let past = read(&log, "from=3").await.unwrap();
    assert_eq!((past.next, past.records.len()), (Offset(1), 0));
    assert_eq!(append(&log, &[4]).await.unwrap(), Offset(3));
    log.change_settings(&json!({"old_tail": null})).await;
    assert_eq!(read(&log, "from=0").await.unwrap().records.len(), 4);
}

#[tokio::test]
async fn test_log_refuses_appends_above_the_limit() {
    let log = start_log().await;
    log.change_settings(&json!({"per_sec": 0.1})).await;
    append(&log, &[1]).await.unwrap();
    let limited = append(&log, &[2]).await;
    assert!(
        matches!(limited, Err(SendError::Status(429, _))),
        "{limited:?}"
    );
    assert_eq!(read(&log, "from=0").await.unwrap().next, Offset(1));
}

#[tokio::test]
async fn test_log_outage_refuses_and_wrong_setting_is_reported() {
    let log = start_log().await;
    log.change_settings(&json!({"outage": "refuse"})).await;
    let refused = append(&log, &[1]).await;
    assert!(
        matches!(refused, Err(SendError::Status(503, _))),
        "{refused:?}"
    );
    let wrong = log
        .post::<Value>("/control", &json!({"outtage": "off"}))
        .await;
    assert!(matches!(wrong, Err(SendError::Status(400, _))), "{wrong:?}");
    log.change_settings(&json!({"outage": "off"})).await;
    append(&log, &[1]).await.unwrap();
}

#[tokio::test]
async fn test_log_keeps_records_by_count_and_by_time() {
    let log = start_log().await;
    log.change_settings(&json!({"keep_records": 2})).await;
    append(&log, &[1, 2, 3]).await.unwrap();
    assert_eq!(read(&log, "from=1").await.unwrap().first, Offset(1));
    log.change_settings(&json!({"keep_ms": 50})).await;
    wait_until(async || matches!(read(&log, "from=2").await, Err(SendError::Status(410, _)))).await;
    assert_eq!(append(&log, &[4]).await.unwrap(), Offset(3));
}

#[tokio::test]
async fn test_log_silent_outage_ends_for_new_requests() {
    let log = start_log().await;
    log.change_settings(&json!({"outage": "silent"})).await;
    let silent = tokio::time::timeout(Duration::from_millis(100), append(&log, &[1])).await;
    assert!(silent.is_err());
    log.change_settings(&json!({"outage": "off"})).await;
    assert_eq!(append(&log, &[2]).await.unwrap(), Offset(0));
}
