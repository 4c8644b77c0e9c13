//! Tests of the parsing of server-sent events, reclaim plans, resume tokens, response texts, retry
//! budgets and rollout evidence.

use std::time::Duration;

use hawthornrack_lib::Clock;
use hawthornrack_lib::CustomerName;
use hawthornrack_lib::EVIDENCE_WINDOW_MS;
use hawthornrack_lib::Endpoint;
use hawthornrack_lib::EngineGeneration;
use hawthornrack_lib::ErrorKind;
use hawthornrack_lib::EvidenceRecorder;
use hawthornrack_lib::ReclaimInput;
use hawthornrack_lib::ReclaimPlan;
use hawthornrack_lib::RequestId;
use hawthornrack_lib::ResponseText;
use hawthornrack_lib::ResumeToken;
use hawthornrack_lib::RetryBudget;
use hawthornrack_lib::SampleOutcome;
use hawthornrack_lib::ServiceName;
use hawthornrack_lib::SharedKey;
use hawthornrack_lib::SseError;
use hawthornrack_lib::SseEvent;
use hawthornrack_lib::SseParser;
use hawthornrack_lib::Timestamp;
use hawthornrack_lib::VersionName;
use hawthornrack_lib::plan_reclaim;
use proptest::proptest;
use rstest::rstest;

/// Two events with data. The parser skips the comment before them and the event without data after
/// them.
const SSE_TEXT: &str = ": c\n\nid: 1\ndata: a\ndata: b\n\nevent: x\r\ndata:c\r\n\r\nid: 2\n\n";

fn expected_events() -> Vec<SseEvent> {
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
    /// Guards against events that are lost or altered when a network read ends inside a line, a
    /// line ending or an event.
    #[test]
    fn test_sse_events_are_independent_of_read_boundaries(
        cuts in proptest::collection::vec(0..SSE_TEXT.len(), 0..6)
    ) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut parser = SseParser::default();
        let mut found = Vec::new();
        let mut start = 0;
        for end in cuts.into_iter().chain([SSE_TEXT.len()]) {
            found.extend(parser.push(&SSE_TEXT.as_bytes()[start..end]).unwrap());
            start = end;
        }
        assert_eq!(found, expected_events());
    }
}

/// Guards against unbounded memory use when a server sends an event that never ends.
#[test]
fn test_sse_oversized_event_is_refused() {
    let mut parser = SseParser::default();
    let line = format!("data: {}\n", "a".repeat(100_000));
    let pushed = (0..20).map(|_| parser.push(line.as_bytes()));
    let refused = pushed.into_iter().find_map(Result::err);
    assert_eq!(refused, Some(SseError::TooLarge));
}

/// Guards against a plan that cannot complete before the VM is reclaimed, which loses the stream,
/// and against a more expensive plan than necessary: moving a stream that could finish in time, or
/// resuming one whose cache could be moved in time. Finishing or moving may take at most 70% of the
/// remaining time.
#[rstest]
#[case::rest_fits(10_000, 100, 50.0, 1e9, ReclaimPlan::Finish)]
#[case::cache_fits(10_000, 4000, 50.0, 1e9, ReclaimPlan::MoveCache)]
#[case::nothing_fits(150, 4000, 50.0, 1e9, ReclaimPlan::Resume)]
#[case::big_cache(10_000, 4000, 50.0, 1e12, ReclaimPlan::Resume)]
#[case::no_rate_yet(10_000, 100, 0.0, 1e9, ReclaimPlan::MoveCache)]
#[case::no_time(0, 1, 50.0, 1.0, ReclaimPlan::Resume)]
#[case::just_too_long(10_000, 400, 50.0, 1e12, ReclaimPlan::Resume)]
fn test_reclaim_plan_fits_remaining_time(
    #[case] remaining_ms: u64,
    #[case] tokens_left: u32,
    #[case] tokens_per_sec: f64,
    #[case] kv_bytes: f64,
    #[case] plan: ReclaimPlan,
) {
    let input = ReclaimInput {
        remaining: Duration::from_millis(remaining_ms),
        tokens_left,
        token_rate: tokens_per_sec,
        kv_bytes,
        transfer_rate: 1e9,
    };
    assert_eq!(plan_reclaim(input), plan);
}

fn new_token(customer: &CustomerName) -> ResumeToken {
    ResumeToken {
        request: RequestId::from_u128(7),
        customer: customer.clone(),
        service: "tutor".parse().unwrap(),
        digest: 1,
        deadline: Timestamp(5),
        generation: EngineGeneration {
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

/// Guards against a customer who resumes another customer's stream with a copied token, and against
/// tokens that are truncated or made with another key.
#[test]
fn test_resume_token_verifies_only_with_its_key_and_customer() {
    let key = SharedKey::new("first key").unwrap();
    let other_key = SharedKey::new("second key").unwrap();
    let customer: CustomerName = "lakeside".parse().unwrap();
    let other_customer: CustomerName = "harbour".parse().unwrap();
    let token = new_token(&customer);
    let signed = token.sign(&key);
    assert_eq!(
        ResumeToken::verify(&key, &signed, &customer).unwrap(),
        token
    );
    let refused = |key: &SharedKey, text: &str, customer: &CustomerName| {
        ResumeToken::verify(key, text, customer).unwrap_err().kind
    };
    assert_eq!(
        refused(&other_key, &signed, &customer),
        ErrorKind::BadRequest
    );
    assert_eq!(
        refused(&key, &signed, &other_customer),
        ErrorKind::Forbidden
    );
    for cut in 0..signed.len() {
        assert_eq!(
            refused(&key, &signed[..cut], &customer),
            ErrorKind::BadRequest
        );
    }
}

/// Guards against a resumed stream that repeats or skips tokens, and against continuing a response
/// whose prefix the gate does not know.
#[test]
fn test_response_text_returns_known_tokens() {
    let mut text = ResponseText::with_known_prefix(String::from("ab"), 2);
    text.push(String::from("c"));
    text.push(String::from("d"));
    assert_eq!(text.position(), 4);
    assert_eq!(text.full_text().as_deref(), Some("abcd"));
    assert_eq!(text.tokens_after(3), vec![(4, String::from("d"))]);
    let mut text = ResponseText::with_unknown_prefix(2);
    text.push(String::from("c"));
    assert_eq!((text.position(), text.full_text()), (3, None));
}

/// Guards against retries that multiply the load when all requests fail: retries are limited to a
/// ratio of the requests, and at most 50 unused retries accumulate.
#[test]
fn test_retry_budget_is_limited_to_ratio_of_requests() {
    let budget = RetryBudget::default();
    let service: ServiceName = "tutor".parse().unwrap();
    let spend_all = || (0..1000).take_while(|_| budget.withdraw(&service)).count();
    assert_eq!(spend_all(), 10, "the initial budget");
    for _ in 0..100 {
        budget.deposit(&service);
    }
    let spent = spend_all();
    assert!((9..=10).contains(&spent), "one in ten: {spent}");
    for _ in 0..100_000 {
        budget.deposit(&service);
    }
    assert_eq!(spend_all(), 50, "the maximum budget");
}

/// Guards against evidence that is attributed to the wrong route or time window, counted twice, or
/// distorted by the latency of failures.
#[tokio::test(start_paused = true)]
async fn test_evidence_is_counted_by_route_and_window() {
    let recorder = EvidenceRecorder::new(Clock::starting_at(Timestamp(10 * EVIDENCE_WINDOW_MS)));
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
    tokio::time::advance(Duration::from_millis(EVIDENCE_WINDOW_MS)).await;
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
