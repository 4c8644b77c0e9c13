//! Operator RPC: watching moves of traffic.

mod testutils;

use hawthornrack_lib::Counters;
use hawthornrack_lib::EvidenceKey;
use hawthornrack_lib::EvidenceRow;
use hawthornrack_lib::LiveView;
use hawthornrack_lib::MovePhase;
use hawthornrack_lib::MoveResult;
use hawthornrack_lib::OperatorBackend;
use hawthornrack_lib::Stop;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::Verdict;
use hawthornrack_lib::WINDOW_MS;
use hawthornrack_lib::operator_proto as proto;
use indexmap::IndexMap;
use rstest::rstest;
use std::sync::Arc;
use testutils::operator::PATIENCE;
use testutils::operator::kind;
use testutils::operator::name;
use testutils::operator::next;
use testutils::operator::start;
use testutils::operator::start_request;
use tokio::time::timeout;
use tonic::Code;

#[rstest]
#[case(MoveResult::Done, 1000)]
#[case(MoveResult::TakenBack, 0)]
#[tokio::test]
async fn test_operator_watch_ends_once(#[case] result: MoveResult, #[case] last: u32) {
    let mut bench = start().await;
    bench.start_move().await;
    *bench.backend.share.lock() = 50;
    let mut stream = bench.watch().await;
    let first = next(&mut stream).await.expect("progress");
    assert_eq!((first.phase, first.share), (MovePhase::Moving, 50));
    *bench.backend.share.lock() = 1000;
    let second = next(&mut stream).await.expect("progress");
    assert_eq!((second.phase, second.share), (MovePhase::Watching, 1000));
    assert_eq!(second.end, None);
    bench.backend.end_move(result);
    let third = next(&mut stream).await.expect("the end");
    assert_eq!((third.phase, third.share), (MovePhase::Ended, last));
    assert_eq!(third.end.expect("an end").result, result);
    assert_eq!(next(&mut stream).await, None, "nothing follows the end");
}

#[tokio::test]
async fn test_operator_watch_after_the_end_gets_the_end_first() {
    let mut bench = start().await;
    bench.start_move().await;
    bench.backend.end_move(MoveResult::Done);
    for _ in 0..2 {
        let mut stream = bench.watch().await;
        let only = next(&mut stream).await.expect("the end");
        assert_eq!(only.end.expect("an end").result, MoveResult::Done);
        assert_eq!(next(&mut stream).await, None);
    }
}

#[tokio::test]
async fn test_operator_watch_shows_a_stop_and_the_evidence() {
    let mut bench = start().await;
    bench.start_move().await;
    *bench.backend.share.lock() = 50;
    let window = bench.backend.now().0 / WINDOW_MS;
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
    *bench.backend.live.lock() = Arc::new(live);
    let mut stream = bench.watch().await;
    let progress = next(&mut stream).await.expect("progress");
    assert_eq!((progress.phase, progress.share), (MovePhase::Stopped, 0));
    assert_eq!(progress.stop.as_deref(), Some("it fails"));
    let seen: Vec<_> = progress
        .evidence
        .iter()
        .map(|e| (e.version.as_str(), e.ok, e.failed, e.p95))
        .collect();
    assert_eq!(seen, [("v1", 7, 0, Some(2)), ("v2", 13, 24, Some(2))]);
}

#[tokio::test]
async fn test_operator_watch_of_a_leaving_node_says_so() {
    let mut bench = start().await;
    bench.start_move().await;
    let mut stream = bench.watch().await;
    assert!(next(&mut stream).await.is_some());
    bench.stopping.cancel();
    let status = timeout(PATIENCE, stream.message()).await.expect("in time");
    let status = status.expect_err("the stream ends with an error");
    assert_eq!(status.code(), Code::Unavailable);
    assert_eq!(kind(&status), Some("leaving"));
}

#[tokio::test]
async fn test_operator_unknown_move_is_not_found() {
    let mut bench = start().await;
    let name = String::from("no-such");
    let request = proto::WatchMoveRequest { name };
    let status = bench.client.watch_move(request).await.expect_err("refused");
    assert_eq!(status.code(), Code::NotFound);
    assert!(status.message().contains("no-such"));
}

#[tokio::test]
async fn test_operator_cancelled_move_stays_cancelled() {
    let mut bench = start().await;
    bench.start_move().await;
    let name = String::from("to-v2");
    let request = proto::CancelMoveRequest { name };
    for _ in 0..2 {
        let reply = bench.client.cancel_move(request.clone()).await;
        let verdict = reply.expect("a verdict").into_inner().try_into();
        assert_eq!(verdict, Ok(Verdict::Accepted));
    }
    let mut stream = bench.watch().await;
    let progress = next(&mut stream).await.expect("the end");
    assert_eq!(progress.end.expect("an end").result, MoveResult::Cancelled);
    let again = bench.client.start_move(start_request(0)).await;
    let verdict = again.expect("a verdict").into_inner().try_into();
    assert_eq!(verdict, Ok(Verdict::Accepted), "the same move sent again");
}
