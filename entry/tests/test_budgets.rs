//! Retry budget and detection of requests that crash endpoints.

use std::time::Duration;

use hawthornrack_entry::CrashTracker;
use hawthornrack_entry::EndpointId;
use hawthornrack_entry::Fingerprint;
use hawthornrack_entry::RetryBounds;
use hawthornrack_entry::RetryBudget;
use hawthornrack_entry::ServiceName;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use tokio::time::Instant;

// Entries spend their retry budgets without coordination: under overload the sum over all entries
// must stay within the bounds, or retries would add to the overload.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_budgets_of_all_entries_stay_within_the_ratio(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(1, 8, 88)] entries: usize,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let bounds = RetryBounds {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 56.0,
    };
    let service = ServiceName::from("desk");
    let mut budgets: Vec<_> = (0..entries).map(|_| RetryBudget::new(bounds)).collect();
    let start = Instant::now();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for ms in (0..60_000_u64).step_by(20) {
        let now = start + Duration::from_millis(ms);
        let budget = &mut budgets[rng.random_range(0..entries)];
        // Alternates between high and low load; every request asks for two retries.
        if rng.random_bool(if ms / 7_000 % 2 == 0 { 0.9 } else { 0.1 }) {
            budget.record_request(&service, now);
            requests.push(ms);
            for _ in 0..2 {
                if budget.try_take(&service, entries, now) {
                    retries.push(ms);
                }
            }
        }
    }
    for end in (10_000..60_000_u64).step_by(500) {
        let count = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|ms| (from..to).contains(ms)).count() as f64
        };
        let used = count(&retries, end - 10_000, end);
        let windows = [0, 5_000, 10_000];
        let request_counts = windows.iter().map(|offset| {
            let end = end.saturating_sub(*offset);
            count(&requests, end.saturating_sub(10_000), end)
        });
        let limit = 0.2 * request_counts.fold(0.0, f64::max) + 56.0;
        assert!(used <= limit, "{used} of {limit} at {end}, seed {seed}");
    }
}

// A request that crashes every endpoint on which it runs would take down the service if it were
// retried without limit. Repeated reports about one endpoint count once.
#[tokio::test(start_paused = true)]
async fn test_budgets_reject_a_request_that_crashed_three_endpoints() {
    let mut tracker = CrashTracker::default();
    let request = Fingerprint(7);
    for (endpoint, crashing) in [("a", false), ("a", false), ("b", false), ("c", true)] {
        tracker.record_crash(request, &EndpointId::from(endpoint), 1, Instant::now());
        assert_eq!(
            tracker.is_crashing(request, Instant::now()),
            crashing,
            "after {endpoint}"
        );
    }
    assert!(!tracker.is_crashing(Fingerprint(8), Instant::now()));
    assert_eq!(tracker.recent_crashes(8, Instant::now()).len(), 3);
}

// Guards against a request that is refused for good after crashes long ago: peers kept reporting the
// same crashes, and each report counted as a new one and was passed on; and crashes were discarded only
// when another request crashed an endpoint.
#[tokio::test(start_paused = true)]
async fn test_budgets_reports_of_known_crashes_do_not_keep_them() {
    let request = Fingerprint(7);
    let mut own = CrashTracker::default();
    let mut peer = CrashTracker::default();
    for endpoint in ["a", "b", "c"] {
        own.record_crash(request, &EndpointId::from(endpoint), 1, Instant::now());
    }
    for _ in 0..100 {
        for (fingerprint, endpoint, incarnation) in own.recent_crashes(8, Instant::now()) {
            peer.record_peer_crash(fingerprint, &endpoint, Some(incarnation), Instant::now());
        }
        for (fingerprint, endpoint, incarnation) in peer.recent_crashes(8, Instant::now()) {
            own.record_peer_crash(fingerprint, &endpoint, Some(incarnation), Instant::now());
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    assert!(!own.is_crashing(request, Instant::now()));
    assert!(!peer.is_crashing(request, Instant::now()));
    // Crashes of another request show that the old ones are discarded.
    let other = Fingerprint(8);
    own.record_crash(other, &EndpointId::from("a"), 1, Instant::now());
    peer.record_crash(other, &EndpointId::from("a"), 1, Instant::now());
    assert!(!own.is_crashing(request, Instant::now()));
    assert!(!peer.is_crashing(request, Instant::now()));
}

// An endpoint that a request crashes again after it is back under its id counts again; reports of a
// peer that names no incarnation, of the release before, do not count what is known twice.
#[tokio::test(start_paused = true)]
async fn test_budgets_crashes_are_counted_by_incarnation() {
    let mut tracker = CrashTracker::default();
    let request = Fingerprint(7);
    let endpoint = EndpointId::from("a");
    assert!(tracker.record_crash(request, &endpoint, 1, Instant::now()));
    assert!(!tracker.record_crash(request, &endpoint, 1, Instant::now()));
    assert!(!tracker.record_peer_crash(request, &endpoint, None, Instant::now()));
    assert!(tracker.record_peer_crash(request, &endpoint, Some(2), Instant::now()));
    assert!(!tracker.is_crashing(request, Instant::now()));
    assert!(tracker.record_crash(request, &endpoint, 3, Instant::now()));
    assert!(tracker.is_crashing(request, Instant::now()));
}

// A request that crashed several endpoints was not reported to peers, because one crash cut many other
// requests, or peers reported many.
#[rstest]
#[tokio::test(start_paused = true)]
async fn test_budgets_request_with_most_crashes_is_shared_first(
    #[values(true, false)] is_own: bool,
) {
    let mut tracker = CrashTracker::default();
    let request = Fingerprint(7);
    let now = Instant::now();
    for endpoint in ["a", "b"] {
        tracker.record_crash(request, &EndpointId::from(endpoint), 1, now);
    }
    let endpoint = EndpointId::from("c");
    for other in 100..160 {
        if is_own {
            tracker.record_crash(Fingerprint(other), &endpoint, 1, now);
        } else {
            tracker.record_peer_crash(Fingerprint(other), &endpoint, Some(1), now);
        }
    }
    let shared = tracker.recent_crashes(8, now);
    let endpoints = shared.iter().filter(|(f, _, _)| *f == request);
    assert_eq!(endpoints.count(), 2, "{shared:?}");
}
