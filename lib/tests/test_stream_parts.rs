//! Tests of the parts that streams are built from.

use std::time::Duration;

use hawthornrack_lib::Clock;
use hawthornrack_lib::CustomerName;
use hawthornrack_lib::Endpoint;
use hawthornrack_lib::EngineRun;
use hawthornrack_lib::ErrorKind;
use hawthornrack_lib::EvidenceRecorder;
use hawthornrack_lib::ReclaimFacts;
use hawthornrack_lib::ReclaimPlan;
use hawthornrack_lib::RequestId;
use hawthornrack_lib::ResumeToken;
use hawthornrack_lib::RetryBudget;
use hawthornrack_lib::SampleOutcome;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::SharedKey;
use hawthornrack_lib::SseError;
use hawthornrack_lib::SseEvent;
use hawthornrack_lib::SseSplitter;
use hawthornrack_lib::TextSoFar;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::VersionName;
use hawthornrack_lib::WINDOW_MS;
use hawthornrack_lib::reclaim_plan;
use proptest::proptest;
use rstest::rstest;

const EVENTS: &str = ": c\n\nid: 1\ndata: a\ndata: b\n\nevent: x\r\ndata:c\r\n\r\nid: 2\n\n";

fn events() -> Vec<SseEvent> {
    vec![
        SseEvent {
            id: Some(String::from("1")),
            event: None,
            data: String::from("a\nb"),
        },
        SseEvent {
            id: None,
            event: Some(String::from("x")),
            data: String::from("c"),
        },
    ]
}

proptest! {
    #[test]
    fn test_sse_events_do_not_depend_on_how_bytes_arrive(cuts in proptest::collection::vec(0..EVENTS.len(), 0..6)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut splitter = SseSplitter::default();
        let mut found = Vec::new();
        let mut start = 0;
        for end in cuts.into_iter().chain([EVENTS.len()]) {
            found.extend(splitter.push(&EVENTS.as_bytes()[start..end]).unwrap());
            start = end;
        }
        assert_eq!(found, events());
    }
}

#[test]
fn test_sse_endless_event_is_refused() {
    let mut splitter = SseSplitter::default();
    let line = format!("data: {}\n", "a".repeat(100_000));
    let pushed = (0..20).map(|_| splitter.push(line.as_bytes()));
    let refused = pushed.into_iter().find_map(Result::err);
    assert_eq!(refused, Some(SseError::TooLarge));
}

#[rstest]
#[case::rest_fits(10_000, 100, 50.0, 1e9, ReclaimPlan::Finish)]
#[case::cache_fits(10_000, 4000, 50.0, 1e9, ReclaimPlan::MoveCache)]
#[case::nothing_fits(150, 4000, 50.0, 1e9, ReclaimPlan::Resume)]
#[case::big_cache(10_000, 4000, 50.0, 1e12, ReclaimPlan::Resume)]
#[case::no_rate_yet(10_000, 100, 0.0, 1e9, ReclaimPlan::MoveCache)]
#[case::no_time(0, 1, 50.0, 1.0, ReclaimPlan::Resume)]
#[case::just_too_long(10_000, 400, 50.0, 1e12, ReclaimPlan::Resume)]
fn test_reclaim_plan(
    #[case] remaining: u64,
    #[case] tokens_left: u32,
    #[case] token_rate: f64,
    #[case] kv_bytes: f64,
    #[case] plan: ReclaimPlan,
) {
    let facts = ReclaimFacts {
        remaining: Duration::from_millis(remaining),
        tokens_left,
        token_rate,
        kv_bytes,
        transfer_rate: 1e9,
    };
    assert_eq!(reclaim_plan(facts), plan);
}

fn token(customer: &CustomerName) -> ResumeToken {
    ResumeToken {
        request: RequestId::from_u128(7),
        customer: customer.clone(),
        service: "tutor".parse().unwrap(),
        digest: 1,
        deadline: Timestamp(5),
        run: EngineRun {
            endpoint: Endpoint {
                name: "e1".parse().unwrap(),
                service: "tutor".parse().unwrap(),
                version: "v1".parse().unwrap(),
                address: "127.0.0.1:1".parse().unwrap(),
                vm: "vm1".parse().unwrap(),
                domain: "d1".parse().unwrap(),
            },
            stream: String::from("s1"),
            base: 3,
        },
    }
}

#[test]
fn test_resume_token_opens_with_the_same_key_and_customer_only() {
    let key = SharedKey::new("first key").unwrap();
    let other_key = SharedKey::new("second key").unwrap();
    let customer: CustomerName = "lakeside".parse().unwrap();
    let stranger: CustomerName = "harbour".parse().unwrap();
    let token = token(&customer);
    let sealed = token.seal(&key);
    assert_eq!(ResumeToken::open(&key, &sealed, &customer).unwrap(), token);
    let refused = |key: &SharedKey, text: &str, customer: &CustomerName| {
        ResumeToken::open(key, text, customer).unwrap_err().kind
    };
    assert_eq!(
        refused(&other_key, &sealed, &customer),
        ErrorKind::BadRequest
    );
    assert_eq!(refused(&key, &sealed, &stranger), ErrorKind::Forbidden);
    for cut in 0..sealed.len() {
        assert_eq!(
            refused(&key, &sealed[..cut], &customer),
            ErrorKind::BadRequest
        );
    }
}

#[test]
fn test_text_so_far_gives_what_is_known() {
    let mut text = TextSoFar::known(String::from("ab"), 2);
    text.push(String::from("c"));
    text.push(String::from("d"));
    assert_eq!(text.position(), 4);
    assert_eq!(text.whole().as_deref(), Some("abcd"));
    assert_eq!(text.after(3), vec![(4, String::from("d"))]);
    let mut text = TextSoFar::unknown(2);
    text.push(String::from("c"));
    assert_eq!((text.position(), text.whole()), (3, None));
}

#[test]
fn test_retry_budget_is_a_share_of_the_requests() {
    let budget = RetryBudget::default();
    let service: ServiceName = "tutor".parse().unwrap();
    let spend_all = || (0..1000).take_while(|_| budget.spend(&service)).count();
    assert_eq!(spend_all(), 10, "the floor");
    for _ in 0..100 {
        budget.earn(&service);
    }
    let spent = spend_all();
    assert!((9..=10).contains(&spent), "one in ten: {spent}");
    for _ in 0..100_000 {
        budget.earn(&service);
    }
    assert_eq!(spend_all(), 50, "not saved up without bound");
}

#[tokio::test(start_paused = true)]
async fn test_evidence_is_counted_by_version_route_and_window() {
    let recorder = EvidenceRecorder::new(Clock::anchored_at(Timestamp(10 * WINDOW_MS)));
    let service: ServiceName = "tutor".parse().unwrap();
    let version: VersionName = "v1".parse().unwrap();
    let record = |route: &str, outcome: SampleOutcome, ms: u64| {
        recorder.record(
            &service,
            &version,
            route,
            outcome,
            Duration::from_millis(ms),
        );
    };
    record("v1/", SampleOutcome::Ok, 1);
    record("v1/", SampleOutcome::Ok, 40_000);
    record("v1/", SampleOutcome::Failed, 3);
    record("", SampleOutcome::Ok, 3);
    tokio::time::advance(Duration::from_millis(WINDOW_MS)).await;
    record("v1/", SampleOutcome::Ok, 2);
    let mut rows = recorder.take_rows();
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    let sums: Vec<_> = rows
        .iter()
        .map(|r| (r.key.route.as_str(), r.key.window, r.sum.ok, r.sum.failed))
        .collect();
    assert_eq!(sums, [("", 10, 1, 0), ("v1/", 10, 2, 1), ("v1/", 11, 1, 0)]);
    let latency = &rows[1].sum.latency;
    assert_eq!((latency[0], latency.last().copied()), (1, Some(1)));
    assert_eq!(latency.iter().sum::<u64>(), 2, "failures have no latency");
    assert!(recorder.take_rows().is_empty());
}
