//! Tests of the operator RPC: watching and cancelling moves.

mod testutils;

use hawthornrack_lib::Counters;
use hawthornrack_lib::EVIDENCE_WINDOW_MS;
use hawthornrack_lib::EvidenceKey;
use hawthornrack_lib::EvidenceRow;
use hawthornrack_lib::LiveView;
use hawthornrack_lib::MovePhase;
use hawthornrack_lib::MoveResult;
use hawthornrack_lib::OperatorBackend;
use hawthornrack_lib::Stop;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::operator_proto as proto;
use indexmap::IndexMap;
use rstest::rstest;
use std::sync::Arc;
use testutils::operator::MESSAGE_TIMEOUT;
use testutils::operator::error_kind;
use testutils::operator::name;
use testutils::operator::next_progress;
use testutils::operator::start_move_request;
use testutils::operator::start_server;
use tokio::time::timeout;
use tonic::Code;

/// Guards against a watch that misses a phase, repeats the end or stays open after it.
#[rstest]
#[case(MoveResult::Done, 1000)]
#[case(MoveResult::TakenBack, 0)]
#[tokio::test]
async fn test_operator_watch_closes_after_the_end(
    #[case] result: MoveResult,
    #[case] final_share: u32,
) {
    let mut fixture = start_server().await;
    fixture.start_move().await;
    *fixture.backend.share.lock() = 50;
    let mut stream = fixture.watch().await;
    let first = next_progress(&mut stream).await.expect("progress");
    assert_eq!((first.phase, first.share), (MovePhase::Moving, 50));
    *fixture.backend.share.lock() = 1000;
    let second = next_progress(&mut stream).await.expect("progress");
    assert_eq!((second.phase, second.share), (MovePhase::Watching, 1000));
    assert_eq!(second.end, None);
    fixture.backend.end_move(result);
    let third = next_progress(&mut stream).await.expect("the end");
    assert_eq!((third.phase, third.share), (MovePhase::Ended, final_share));
    assert_eq!(third.end.expect("an end").result, result);
    assert_eq!(
        next_progress(&mut stream).await,
        None,
        "nothing follows the end"
    );
}

/// Guards against a watch that hangs because it is opened after its move has ended, and so gets
/// no further change.
#[tokio::test]
async fn test_operator_watch_of_ended_move_returns_the_end() {
    let mut fixture = start_server().await;
    fixture.start_move().await;
    fixture.backend.end_move(MoveResult::Done);
    for _ in 0..2 {
        let mut stream = fixture.watch().await;
        let only = next_progress(&mut stream).await.expect("the end");
        assert_eq!(only.end.expect("an end").result, MoveResult::Done);
        assert_eq!(next_progress(&mut stream).await, None);
    }
}

/// Guards against progress that omits a stop, reports traffic on a stopped version, counts evidence
/// that is too old, or does not add up the evidence by version.
#[tokio::test]
async fn test_operator_watch_reports_stop_and_evidence() {
    let mut fixture = start_server().await;
    fixture.start_move().await;
    *fixture.backend.share.lock() = 50;
    let window = fixture.backend.now().0 / EVIDENCE_WINDOW_MS;
    let row = |version: &str, window: u64, ok, failed| EvidenceRow {
        key: EvidenceKey {
            service: name("advisor"),
            version: name(version),
            route: String::from("fit-check"),
            window,
        },
        sum: Counters {
            ok,
            failed,
            latency: vec![0, ok + failed],
        },
    };
    let stop = Stop {
        reason: String::from("it fails"),
        at: Timestamp(5),
    };
    let live = LiveView {
        stops: IndexMap::from([(name("to-v2"), stop)]),
        evidence: vec![
            row("v2", window, 3, 4),
            row("v2", window - 1, 10, 20),
            row("v2", window - 1000, 500, 500),
            row("v1", window, 7, 0),
        ],
        ..LiveView::default()
    };
    *fixture.backend.live.lock() = Arc::new(live);
    let mut stream = fixture.watch().await;
    let progress = next_progress(&mut stream).await.expect("progress");
    assert_eq!((progress.phase, progress.share), (MovePhase::Stopped, 0));
    assert_eq!(progress.stop.as_deref(), Some("it fails"));
    let seen: Vec<_> = progress
        .evidence
        .iter()
        .map(|e| (e.version.as_str(), e.ok, e.failed, e.p95_ms))
        .collect();
    assert_eq!(seen, [("v1", 7, 0, Some(2)), ("v2", 13, 24, Some(2))]);
}

/// Guards against a watch that keeps a node from shutting down, or that ends as if the move had
/// ended.
#[tokio::test]
async fn test_operator_watch_fails_when_the_node_is_leaving() {
    let mut fixture = start_server().await;
    fixture.start_move().await;
    let mut stream = fixture.watch().await;
    assert!(next_progress(&mut stream).await.is_some());
    fixture.stopping.cancel();
    let status = timeout(MESSAGE_TIMEOUT, stream.message())
        .await
        .expect("in time");
    let status = status.expect_err("the stream ends with an error");
    assert_eq!(status.code(), Code::Unavailable);
    assert_eq!(error_kind(&status), Some("leaving"));
}

/// Guards against a watch of an unknown move that is accepted but never returns a message.
#[tokio::test]
async fn test_operator_watch_of_unknown_move_is_not_found() {
    let mut fixture = start_server().await;
    let name = String::from("no-such");
    let request = proto::WatchMoveRequest { name };
    let status = fixture
        .client
        .watch_move(request)
        .await
        .expect_err("refused");
    assert_eq!(status.code(), Code::NotFound);
    assert!(status.message().contains("no-such"));
}

/// Guards against a cancellation that fails when it is resent, and against a resent request to
/// start the move that is rejected or restarts the cancelled move.
#[tokio::test]
async fn test_operator_cancelled_move_stays_cancelled() {
    let mut fixture = start_server().await;
    fixture.start_move().await;
    let name = String::from("to-v2");
    let request = proto::CancelMoveRequest { name };
    for _ in 0..2 {
        let reply = fixture.client.cancel_move(request.clone()).await;
        let verdict = reply.expect("a verdict").into_inner().try_into();
        assert_eq!(verdict, Ok(Verdict::Accepted));
    }
    let mut stream = fixture.watch().await;
    let progress = next_progress(&mut stream).await.expect("the end");
    assert_eq!(progress.end.expect("an end").result, MoveResult::Cancelled);
    let again = fixture.client.start_move(start_move_request(0)).await;
    let verdict = again.expect("a verdict").into_inner().try_into();
    assert_eq!(verdict, Ok(Verdict::Accepted), "the same move sent again");
}
