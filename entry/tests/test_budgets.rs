//! The retry budget and the record of crashing requests.

use std::time::Duration;

use hawthornrack_entry::CrashRecord;
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
    let mut repeats = Vec::new();
    for ms in (0..60_000_u64).step_by(20) {
        let now = start + Duration::from_millis(ms);
        let budget = &mut budgets[rng.random_range(0..entries)];
        // Load comes and goes; every request wants two repeats.
        if rng.random_bool(if ms / 7_000 % 2 == 0 { 0.9 } else { 0.1 }) {
            budget.note_request(&service, now);
            requests.push(ms);
            for _ in 0..2 {
                if budget.take(&service, entries, now) {
                    repeats.push(ms);
                }
            }
        }
    }
    for end in (10_000..60_000_u64).step_by(500) {
        let count = |of: &[u64], from: u64, to: u64| {
            of.iter().filter(|ms| (from..to).contains(ms)).count() as f64
        };
        let spent = count(&repeats, end - 10_000, end);
        let windows = [0, 5_000, 10_000];
        let most = windows.iter().map(|back| {
            let end = end.saturating_sub(*back);
            count(&requests, end.saturating_sub(10_000), end)
        });
        let limit = 0.2 * most.fold(0.0, f64::max) + 56.0;
        assert!(spent <= limit, "{spent} of {limit} at {end}, seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn test_budgets_remember_endpoints_that_a_request_crashed() {
    let mut record = CrashRecord::default();
    let request = Fingerprint(7);
    for (endpoint, crashing) in [("a", false), ("a", false), ("b", false), ("c", true)] {
        record.note(request, &EndpointId::from(endpoint), Instant::now());
        assert_eq!(record.is_crashing(request), crashing, "after {endpoint}");
    }
    assert!(!record.is_crashing(Fingerprint(8)));
    assert_eq!(record.to_share(8).len(), 3);
}
